//! Demand of clients by model and adapter, and requests in flight by model server, from the edges' reports.

use crate::decay::decay;
use crate::timestamped::Timestamped;
use pathbank_coordination::types::Millis;
use pathbank_protocol::message::{EdgeReport, ModelDemand, ModelServerLoad};
use std::collections::BTreeMap;

/// The time constant of the running means, milliseconds.
const TIME_CONSTANT_MS: f64 = 4_000.0;
/// The time constant of the mean that follows a rise faster, milliseconds.
const SHORT_TIME_CONSTANT_MS: f64 = 1_000.0;
/// For how long the shortest reported latency objective counts.
const OBJECTIVE_TTL_MS: Millis = 30_000;
/// For how long a report of waiting requests counts.
const WAITING_TTL_MS: Millis = 1_500;

/// For how long an edge's report of its requests in flight counts.
const LOAD_TTL_MS: Millis = 1_500;
/// For how long a key without new reports is kept.
const KEY_RETENTION_MS: Millis = 60_000;

/// A model of a service, or one of its adapters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelKey {
    /// The service.
    pub backend: String,
    /// The model.
    pub model: String,
    /// The adapter; empty: none.
    pub adapter: String,
}

/// The sums of one key's demand, which decay from `updated_at` on.
#[derive(Clone, Debug, Default)]
struct Demand {
    requests: f64,
    /// Requests, with the short time constant.
    recent_requests: f64,
    prefill_ms: f64,
    slot_time_ms: f64,
    updated_at: Millis,
    /// Requests that no model server could take.
    waiting: Timestamped<f64>,
    /// When the last request was reported; 0: never.
    last_request_at: Millis,
    /// The shortest latency objective, milliseconds.
    objective_ms: Option<Timestamped<u32>>,
}

impl Demand {
    fn decay(&mut self, now: Millis) {
        let factor = decay(self.updated_at, now, TIME_CONSTANT_MS);
        for mean in [&mut self.requests, &mut self.prefill_ms, &mut self.slot_time_ms] {
            *mean *= factor;
        }
        self.recent_requests *= decay(self.updated_at, now, SHORT_TIME_CONSTANT_MS);
        self.updated_at = now;
    }

    fn record_objective(&mut self, now: Millis, reported: u32) {
        let shorter =
            self.objective_ms.filter(|known| known.is_fresh(now, OBJECTIVE_TTL_MS) && known.value < reported);
        if reported > 0 && shorter.is_none() {
            self.objective_ms = Some(Timestamped { at: now, value: reported });
        }
    }
}

/// Running means of demand by model and adapter, and the requests in flight at each model server.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    by_key: BTreeMap<ModelKey, Demand>,
    /// The last report of each edge about its requests at model servers.
    loads: BTreeMap<String, Timestamped<Vec<ModelServerLoad>>>,
    /// When the first demand was reported.
    first_report_at: Option<Millis>,
    /// How far back the edges' reports reach, milliseconds.
    reported_span_ms: Millis,
}

impl DemandTable {
    /// Adds an edge's report.
    pub fn record(&mut self, now: Millis, report: &EdgeReport) {
        if !report.demand.is_empty() {
            self.first_report_at.get_or_insert(now);
            self.reported_span_ms = self.reported_span_ms.max(report.demand_span_ms);
        }
        report.demand.iter().for_each(|demand| self.record_demand(now, demand));
        self.loads.insert(report.edge.clone(), Timestamped { at: now, value: report.loads.clone() });
    }

    fn record_demand(&mut self, now: Millis, demand: &ModelDemand) {
        let key = ModelKey {
            backend: demand.backend.clone(),
            model: demand.model.clone(),
            adapter: demand.adapter.clone(),
        };
        let known = self.by_key.entry(key).or_default();
        known.decay(now);
        known.requests += demand.arrived as f64;
        known.recent_requests += demand.arrived as f64;
        if demand.arrived > 0 {
            known.last_request_at = now;
        }
        known.prefill_ms += demand.prefill_ms as f64;
        known.slot_time_ms += demand.slot_time_ms as f64;
        known.record_objective(now, demand.objective_ms);
        if demand.waiting > 0 {
            let before = known.waiting.fresh(now, WAITING_TTL_MS).map_or(0.0, |before| before / 2.0);
            known.waiting = Timestamped { at: now, value: f64::from(demand.waiting) + before };
        }
    }

    /// The fraction of the demand that is not known yet: 1 before the first report, near 0 after some time
    /// constants.
    pub fn unknown_fraction(&self, now: Millis) -> f64 {
        self.first_report_at.map_or(1.0, |first| decay(first, now, TIME_CONSTANT_MS))
    }

    /// The fraction of the rates that is known once all edges have reported. Demand from before the first
    /// report that the reports cover counts in full, as if it had just come.
    pub fn known_fraction(&self, now: Millis) -> f64 {
        let not_covered = (1.0 - self.reported_span_ms as f64 / TIME_CONSTANT_MS).max(0.0);
        1.0 - self.unknown_fraction(now) * not_covered
    }

    /// Requests a second for a key. A rise that is too large for chance counts before the mean has followed
    /// it.
    pub fn requests_per_s(&self, now: Millis, key: &ModelKey) -> f64 {
        let mean = self.mean_requests_per_s(now, key);
        let Some(demand) = self.by_key.get(key) else { return mean };
        let recent = demand.recent_requests * decay(demand.updated_at, now, SHORT_TIME_CONSTANT_MS);
        let beyond_chance = (recent - recent.sqrt()).max(0.0) * 1_000.0 / SHORT_TIME_CONSTANT_MS;
        mean.max(beyond_chance)
    }

    /// The mean of requests a second for a key.
    pub fn mean_requests_per_s(&self, now: Millis, key: &ModelKey) -> f64 {
        self.mean(now, key, |demand| demand.requests)
    }

    /// Prefill time that a key takes of model servers, milliseconds a second.
    pub fn prefill_ms_per_s(&self, now: Millis, key: &ModelKey) -> f64 {
        self.mean(now, key, |demand| demand.prefill_ms)
    }

    /// Slot time that answers to a key take of model servers, milliseconds a second.
    pub fn slot_time_ms_per_s(&self, now: Millis, key: &ModelKey) -> f64 {
        self.mean(now, key, |demand| demand.slot_time_ms)
    }

    /// Whether a request for a key was reported within the last `within` milliseconds.
    pub fn requested_within(&self, now: Millis, key: &ModelKey, within: Millis) -> bool {
        self.by_key
            .get(key)
            .is_some_and(|demand| demand.last_request_at > 0 && now < demand.last_request_at + within)
    }

    /// The shortest latency objective that was reported for a key, milliseconds; `None`: no report has one.
    pub fn objective_ms(&self, key: &ModelKey) -> Option<u32> {
        self.by_key.get(key)?.objective_ms.map(|objective| objective.value)
    }

    fn mean(&self, now: Millis, key: &ModelKey, sum: impl Fn(&Demand) -> f64) -> f64 {
        let Some(demand) = self.by_key.get(key) else { return 0.0 };
        let factor = decay(demand.updated_at, now, TIME_CONSTANT_MS);
        sum(demand) * factor * 1_000.0 / TIME_CONSTANT_MS
    }

    /// Requests for a key that no model server could take, by the latest reports.
    pub fn waiting(&self, now: Millis, key: &ModelKey) -> f64 {
        let demand = self.by_key.get(key);
        demand.and_then(|demand| demand.waiting.fresh(now, WAITING_TTL_MS)).copied().unwrap_or(0.0)
    }

    /// All keys with demand.
    pub fn keys(&self) -> impl Iterator<Item = &ModelKey> {
        self.by_key.keys()
    }

    /// Requests in flight at each model server, over all edges.
    pub fn in_flight(&self, now: Millis) -> BTreeMap<String, u32> {
        let fresh = self.loads.values().filter_map(|loads| loads.fresh(now, LOAD_TTL_MS));
        let mut totals: BTreeMap<String, u32> = BTreeMap::new();
        for load in fresh.flatten() {
            *totals.entry(load.instance.clone()).or_default() += load.in_flight;
        }
        totals
    }

    /// The requests in flight as they are published to edges, with the fraction of failed requests at each
    /// outlier.
    pub fn joint_loads(&self, now: Millis, mut outliers: BTreeMap<String, f64>) -> Vec<ModelServerLoad> {
        let permille = |errors: f64| (errors * 1_000.0) as u16;
        let in_flight = self.in_flight(now).into_iter();
        let mut loads: Vec<ModelServerLoad> = in_flight
            .map(|(instance, in_flight)| {
                let error_permille = outliers.remove(&instance).map_or(0, permille);
                ModelServerLoad { instance, in_flight, error_permille, ..ModelServerLoad::default() }
            })
            .collect();
        let unused = outliers.into_iter().map(|(instance, errors)| ModelServerLoad {
            instance,
            error_permille: permille(errors),
            ..ModelServerLoad::default()
        });
        loads.extend(unused);
        loads
    }

    /// Removes keys and reports that no longer count.
    pub fn expire(&mut self, now: Millis) {
        self.by_key.retain(|_, demand| now < demand.updated_at + KEY_RETENTION_MS);
        self.loads.retain(|_, loads| loads.is_fresh(now, LOAD_TTL_MS));
    }
}
