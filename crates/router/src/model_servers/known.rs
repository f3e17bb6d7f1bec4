//! One model server as this edge knows it.

use super::circuit_breaker::CircuitBreaker;
use super::error_rate::ErrorRate;
use super::outcome::{AttemptOutcome, Outcomes};
use crate::Millis;
use crate::prompt::ModelName;
use pathbank_control::urgency::{Urgency, open_slots};
use pathbank_protocol::message::{ModelServer, ModelServerLoad, ModelServerState};
use std::collections::BTreeMap;

/// The weight of a rejected request in the error rate; a failed request counts 1.
const REJECTED_ERROR: f64 = 0.3;
/// A load report counts for this long; its weight falls linearly to 0.
const LOAD_TTL_MS: Millis = 1_000;
/// After a server said that it does not hold a model, requests for the model avoid the server for this long.
const MISSING_MODEL_TTL_MS: Millis = 800;
/// The error rate over all edges, as the leader reported it, counts for this long.
const TOTAL_ERROR_RATE_TTL_MS: Millis = 3_000;

/// A model server: the reports of cores, and the outcomes of this edge's own requests.
#[derive(Clone, Debug)]
pub struct KnownModelServer {
    /// The last report of a core.
    pub server: ModelServer,
    /// Requests of this edge in flight there.
    pub in_flight: u32,
    /// Prompt tokens of this edge's requests that the server has not begun to answer, by request.
    prefill_backlog: BTreeMap<u64, u64>,
    /// Requests of other edges in flight there, by the last load report.
    others_in_flight: f64,
    /// When the last load report came.
    load_at: Millis,
    breaker: CircuitBreaker,
    errors: ErrorRate,
    /// How requests ended there since the last report to the leader.
    pub(super) outcomes: Outcomes,
    /// The error rate over all edges as the leader reported it, and when.
    total_error_rate: f64,
    total_error_rate_at: Millis,
    /// Models that the server said it does not hold, and until when requests for them avoid it.
    missing_models: BTreeMap<ModelName, Millis>,
    /// Since when the subscribed core's complete list does not name it.
    pub(super) unlisted_since: Option<Millis>,
    ends_at: Option<Millis>,
}

impl KnownModelServer {
    pub(super) fn new(server: ModelServer) -> KnownModelServer {
        KnownModelServer {
            server,
            in_flight: 0,
            prefill_backlog: BTreeMap::new(),
            others_in_flight: 0.0,
            load_at: 0,
            breaker: CircuitBreaker::default(),
            errors: ErrorRate::default(),
            outcomes: Outcomes::default(),
            total_error_rate: 0.0,
            total_error_rate_at: 0,
            missing_models: BTreeMap::new(),
            unlisted_since: None,
            ends_at: None,
        }
    }

    /// Takes a core's report.
    pub(super) fn update(&mut self, now: Millis, server: ModelServer) {
        let is_ending = server.state == ModelServerState::Draining && server.remaining_ms > 0;
        let ends_at = is_ending.then(|| now + server.remaining_ms);
        // Reports may be delayed on their way, so the earliest end counts.
        self.ends_at = match (self.ends_at, ends_at) {
            (Some(known), Some(reported)) => Some(known.min(reported)),
            (known, reported) => known.or(reported),
        };
        (self.server, self.unlisted_since) = (server, None);
    }

    /// When the server ends, whatever it runs; `None`: it has not announced an end.
    pub fn ends_at(&self) -> Option<Millis> {
        self.ends_at
    }

    /// Requests of other edges in flight there, by the last load report.
    pub fn others_in_flight(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.load_at) as f64 / LOAD_TTL_MS as f64;
        self.others_in_flight * (1.0 - age).max(0.0)
    }

    /// Prompt tokens of this edge's requests that the server has still to prefill.
    pub fn prefill_backlog_tokens(&self) -> u64 {
        self.prefill_backlog.values().sum()
    }

    /// Requests in flight as a fraction of its slots; above 1 requests are queued there.
    pub fn occupancy(&self, now: Millis) -> f64 {
        (f64::from(self.in_flight) + self.others_in_flight(now)) / f64::from(self.server.capacity.max(1))
    }

    /// The limit of this edge's requests in flight there: the slots that other edges leave, one at least.
    pub fn limit(&self, now: Millis) -> u32 {
        let left = f64::from(self.server.capacity.max(1)) - self.others_in_flight(now);
        if self.breaker.is_half_open() { 1 } else { left.max(1.0) as u32 }
    }

    /// The slots that other edges leave to requests of an urgency class, one at least.
    pub fn slots_for(&self, now: Millis, urgency: Urgency) -> f64 {
        let open = open_slots(f64::from(self.server.capacity.max(1)), urgency);
        (open - self.others_in_flight(now)).max(1.0)
    }

    /// Whether it has a free slot for a request of this edge.
    pub fn has_slot(&self, now: Millis) -> bool {
        self.accepts_requests(now) && self.in_flight < self.limit(now)
    }

    /// Whether it has a free slot for a request of an urgency class: the last slots are reserved for the most
    /// urgent requests.
    pub fn has_slot_for(&self, now: Millis, urgency: Urgency) -> bool {
        let taken = f64::from(self.in_flight) + self.others_in_flight(now);
        self.has_slot(now)
            && (urgency == 0 || taken + 1.0 <= open_slots(f64::from(self.server.capacity), urgency))
    }

    /// Whether it is ready and not ejected.
    pub fn accepts_requests(&self, now: Millis) -> bool {
        self.server.state == ModelServerState::Ready && !self.breaker.is_ejected(now)
    }

    /// Remaining time of its ejection, milliseconds; 0: it is not ejected.
    pub fn ejected_for_ms(&self, now: Millis) -> Millis {
        self.breaker.ejected_for_ms(now)
    }

    /// Whether a model (and its adapter) is resident there.
    pub fn has_model(&self, now: Millis, name: &ModelName) -> bool {
        if name.model.is_empty() {
            return true;
        }
        let is_missing = self.missing_models.get(name).is_some_and(|until| now < *until);
        let loaded = self.server.models.iter().find(|loaded| loaded.name == name.model);
        let is_resident =
            loaded.is_some_and(|loaded| name.adapter.is_empty() || loaded.adapters.contains(&name.adapter));
        is_resident && !is_missing
    }

    /// Whether the resident version of a model is the given one; `None`: any version.
    pub fn has_version(&self, model: &str, version: Option<u64>) -> bool {
        let resident = || self.server.models.iter().find(|loaded| loaded.name == model);
        version.is_none_or(|version| resident().is_some_and(|resident| resident.version == version))
    }

    /// The recent error rate of this edge's requests there, 0 to 1. It decays over time, so that the server
    /// is used again.
    pub fn local_error_rate(&self, now: Millis) -> f64 {
        self.errors.value(now)
    }

    /// The recent error rate there, by this edge or by all edges together, whichever is higher.
    pub fn error_rate(&self, now: Millis) -> f64 {
        let is_fresh = now < self.total_error_rate_at + TOTAL_ERROR_RATE_TTL_MS;
        self.local_error_rate(now).max(if is_fresh { self.total_error_rate } else { 0.0 })
    }

    pub(super) fn request_sent(&mut self, request: u64, prompt_tokens: u64) {
        self.in_flight += 1;
        self.prefill_backlog.insert(request, prompt_tokens);
    }

    pub(super) fn response_started(&mut self, request: u64) {
        self.prefill_backlog.remove(&request);
    }

    /// Records that a request of this edge ended there. `jitter`: from 0 to 1.
    pub(super) fn request_ended(
        &mut self,
        now: Millis,
        name: &ModelName,
        outcome: AttemptOutcome,
        jitter: f64,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Failed => {
                self.record_failure(now);
                self.breaker.on_failure(now, jitter);
            }
            AttemptOutcome::ServerError => self.record_failure(now),
            AttemptOutcome::Full => {
                self.errors.record(now, REJECTED_ERROR);
                self.breaker.on_full(now);
            }
            AttemptOutcome::Answered => {
                self.outcomes.answered += 1;
                self.errors.record(now, 0.0);
                self.breaker.on_success();
            }
            AttemptOutcome::Misdirected => {
                self.missing_models.retain(|_, until| now < *until);
                self.missing_models.insert(name.clone(), now + MISSING_MODEL_TTL_MS);
                self.breaker.on_misdirected(now, jitter);
            }
            AttemptOutcome::Abandoned => {}
        }
    }

    fn record_failure(&mut self, now: Millis) {
        self.outcomes.failed += 1;
        self.errors.record(now, 1.0);
    }

    pub(super) fn observe_load(&mut self, now: Millis, running: u32, waiting: u32) {
        self.others_in_flight = (f64::from(running + waiting) - f64::from(self.in_flight)).max(0.0);
        self.load_at = now;
    }

    pub(super) fn observe_total_load(&mut self, now: Millis, load: &ModelServerLoad) {
        self.observe_load(now, load.in_flight, 0);
        (self.total_error_rate, self.total_error_rate_at) = (f64::from(load.error_permille) / 1_000.0, now);
    }
}
