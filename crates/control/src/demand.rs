//! What clients ask of each model, from the edges' reports.

use crate::directory::Millis;
use pathbank_protocol::message::{EdgeReport, ModelDemand, ModelServerLoad};
use std::collections::BTreeMap;

/// The memory of the running means, milliseconds.
const SPAN: f64 = 4_000.0;
/// The memory of a mean that follows a rise sooner, milliseconds.
const SHORT_SPAN: f64 = 1_000.0;
/// The shortest objective that was told holds for so long, milliseconds.
const OBJECTIVE_HOLDS: Millis = 30_000;
/// Word that requests wait for a model counts for so long.
const WAITING_COUNTS: Millis = 1_500;

/// What an edge said of its requests at model servers counts for so long.
const LOAD_COUNTS: Millis = 1_500;

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

#[derive(Clone, Debug, Default)]
struct Demand {
    tokens: f64,
    requests: f64,
    /// Requests, remembered for a short while.
    lately: f64,
    prefill_ms: f64,
    slot_time_ms: f64,
    at: Millis,
    waiting: f64,
    waiting_at: Millis,
    /// When a request came last.
    asked_at: Millis,
    objective: Option<(Millis, u32)>,
}

impl Demand {
    fn fade(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.at) as f64;
        let faded = (-passed / SPAN).exp();
        for mean in [&mut self.tokens, &mut self.requests, &mut self.prefill_ms, &mut self.slot_time_ms] {
            *mean *= faded;
        }
        self.lately *= (-passed / SHORT_SPAN).exp();
        self.at = now;
    }

    fn record_objective(&mut self, now: Millis, told: u32) {
        let holds = self.objective.filter(|(at, known)| now < at + OBJECTIVE_HOLDS && *known < told);
        if told > 0 && holds.is_none() {
            self.objective = Some((now, told));
        }
    }
}

/// Running means of demand by model and adapter, and what is out at each model server.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    by_key: BTreeMap<ModelKey, Demand>,
    /// What each edge has out at model servers, and when it said so.
    loads: BTreeMap<String, (Millis, Vec<ModelServerLoad>)>,
    /// When the first demand was told.
    since: Option<Millis>,
    /// How far back the first words of edges reached.
    remembered: Millis,
}

impl DemandTable {
    /// Takes an edge's report.
    pub fn record(&mut self, now: Millis, report: &EdgeReport) {
        if !report.demand.is_empty() {
            self.since.get_or_insert(now);
            self.remembered = self.remembered.max(report.demand_span_ms);
        }
        report.demand.iter().for_each(|demand| self.record_demand(now, demand));
        self.loads.insert(report.edge.clone(), (now, report.loads.clone()));
    }

    fn record_demand(&mut self, now: Millis, demand: &ModelDemand) {
        let key = ModelKey {
            backend: demand.backend.clone(),
            model: demand.model.clone(),
            adapter: demand.adapter.clone(),
        };
        let known = self.by_key.entry(key).or_default();
        known.fade(now);
        known.tokens += demand.tokens as f64;
        known.requests += demand.arrived as f64;
        known.lately += demand.arrived as f64;
        if demand.arrived > 0 {
            known.asked_at = now;
        }
        known.prefill_ms += demand.prefill_ms as f64;
        known.slot_time_ms += demand.slot_time_ms as f64;
        known.record_objective(now, demand.objective_ms);
        if demand.waiting > 0 {
            let still = now < known.waiting_at + WAITING_COUNTS;
            known.waiting = f64::from(demand.waiting) + if still { known.waiting / 2.0 } else { 0.0 };
            known.waiting_at = now;
        }
    }

    /// The part of the demand that is not known yet: 1 before the first word, 0 after some time.
    pub fn unknown_fraction(&self, now: Millis) -> f64 {
        let passed = self.since.map_or(0, |since| now.saturating_sub(since));
        (-(passed as f64) / SPAN).exp()
    }

    /// The part of the rates that is known, once all edges have said something: what they remembered from
    /// before the first word counts whole, as if it had just come.
    pub fn known_fraction(&self, now: Millis) -> f64 {
        let not_remembered = (1.0 - self.remembered as f64 / SPAN).max(0.0);
        1.0 - self.unknown_fraction(now) * not_remembered
    }

    /// Tokens a second asked of a key.
    pub fn tokens_per_s(&self, now: Millis, key: &ModelKey) -> f64 {
        self.mean(now, key, |demand| demand.tokens)
    }

    /// Requests a second asked of a key. A rise beyond chance counts sooner than the mean has it.
    pub fn requests_per_s(&self, now: Millis, key: &ModelKey) -> f64 {
        let mean = self.mean_requests_per_s(now, key);
        let Some(demand) = self.by_key.get(key) else { return mean };
        let lately = demand.lately * (-(now.saturating_sub(demand.at) as f64) / SHORT_SPAN).exp();
        let beyond_chance = (lately - lately.sqrt()).max(0.0) * 1_000.0 / SHORT_SPAN;
        mean.max(beyond_chance)
    }

    /// The same without what rises beyond the mean.
    pub fn mean_requests_per_s(&self, now: Millis, key: &ModelKey) -> f64 {
        self.mean(now, key, |demand| demand.requests)
    }

    /// Time that model servers take a second to read prompts for a key, milliseconds.
    pub fn read_ms_per_s(&self, now: Millis, key: &ModelKey) -> f64 {
        self.mean(now, key, |demand| demand.prefill_ms)
    }

    /// Slots that answers to a key take at a time, in milliseconds a second.
    pub fn slot_time_ms_per_s(&self, now: Millis, key: &ModelKey) -> f64 {
        self.mean(now, key, |demand| demand.slot_time_ms)
    }

    /// Whether a request for a key came within some time, milliseconds.
    pub fn requested_within(&self, now: Millis, key: &ModelKey, within: Millis) -> bool {
        self.by_key.get(key).is_some_and(|demand| demand.asked_at > 0 && now < demand.asked_at + within)
    }

    /// The shortest objective of requests for a key, milliseconds; `None`: none was told lately.
    pub fn objective_ms(&self, key: &ModelKey) -> Option<u32> {
        self.by_key.get(key)?.objective.map(|(_, objective)| objective)
    }

    fn mean(&self, now: Millis, key: &ModelKey, figure: impl Fn(&Demand) -> f64) -> f64 {
        let Some(demand) = self.by_key.get(key) else { return 0.0 };
        let faded = (-(now.saturating_sub(demand.at) as f64) / SPAN).exp();
        figure(demand) * faded * 1_000.0 / SPAN
    }

    /// Requests that no model server could take lately.
    pub fn waiting(&self, now: Millis, key: &ModelKey) -> f64 {
        let demand = self.by_key.get(key);
        demand.filter(|demand| now < demand.waiting_at + WAITING_COUNTS).map_or(0.0, |demand| demand.waiting)
    }

    /// All keys with demand.
    pub fn keys(&self) -> impl Iterator<Item = &ModelKey> {
        self.by_key.keys()
    }

    /// Requests out at each model server, from all edges that said so lately.
    pub fn in_flight(&self, now: Millis) -> BTreeMap<String, u32> {
        let lately = self.loads.values().filter(|(at, _)| now < at + LOAD_COUNTS);
        let mut totals: BTreeMap<String, u32> = BTreeMap::new();
        for load in lately.flat_map(|(_, loads)| loads) {
            *totals.entry(load.instance.clone()).or_default() += load.in_flight;
        }
        totals
    }

    /// The same, to be told to edges, with the model servers that fail much and the part of requests that
    /// failed there.
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

    /// Forgets what has faded.
    pub fn expire(&mut self, now: Millis) {
        self.by_key.retain(|_, demand| now < demand.at + 60_000);
        self.loads.retain(|_, (at, _)| now < *at + LOAD_COUNTS);
    }
}
