//! The model servers that this edge knows, merged from all cores, and what it learned of each by itself.

use crate::Millis;
use crate::draw::unit_draw;
use crate::prompt::ModelName;
use pathbank_control::address_index::AddressIndex;
use pathbank_control::urgency::{Urgency, open_slots};
use pathbank_protocol::message::{ModelServer, ModelServerLoad, ModelServerState, ModelServerUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// A model server that could not be reached rests for so long, doubled with each failure in a row up to the
/// longest.
const BASE_EJECTION_MS: Millis = 250;
const MAX_EJECTION_MS: Millis = 5_000;
/// A rest is longer or shorter by up to this part of it.
const EJECTION_JITTER: f64 = 0.3;
/// A model server that turned a request away because it is full rests for so long.
const FULL_BACKOFF_MS: Millis = 60;
/// Weight of one answer in a model server's part of errors, how fast that fades (milliseconds), and what a
/// request that was turned away counts for.
const ERROR_WEIGHT: f64 = 0.25;
const ERROR_DECAY_MS: f64 = 8_000.0;
const REJECTED_ERROR_WEIGHT: f64 = 0.3;
/// What a model server said of its load counts for so long.
const LOAD_TTL_MS: Millis = 1_000;
/// A model that a model server said it does not hold is not asked for there for so long.
const MISSING_TTL_MS: Millis = 800;
/// Requests in a row without an answer that make a model server rest.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 2;

/// A model server that the core does not list any more is kept for so long.
const UNLISTED_RETENTION_MS: Millis = 10_000;
/// A model server that has gone is remembered for so long.
const REMOVED_RETENTION_MS: Millis = 120_000;

/// A model server that says so often in a row that it is not the one rests: it may be another incarnation by
/// now.
const CONSECUTIVE_MISDIRECTED_TO_EJECT: u32 = 3;

/// What the leader told of a model server's errors counts for so long.
const TOTAL_ERROR_RATE_TTL_MS: Millis = 3_000;

/// What this edge's own requests say of a model server (a circuit breaker).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Circuit {
    /// It takes as many requests as it has slots for.
    Closed,
    /// It rests, or has rested: one request at a time tries it, until one is answered.
    HalfOpen,
}

/// How requests ended at a model server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Outcomes {
    failed: u32,
    answered: u32,
}

/// A model server by its incarnation.
pub type Instance = String;

/// What this edge knows of one model server.
#[derive(Clone, Debug)]
pub struct KnownModelServer {
    /// What the cores told.
    pub server: ModelServer,
    /// Requests of this edge out there.
    pub in_flight: u32,
    /// Tokens of prompts of this edge that it has not begun to answer, by request.
    prefill_backlog: BTreeMap<u64, u64>,
    /// Of other edges, by what the model server said last, and when.
    others_in_flight: f64,
    load_at: Millis,
    ejected_until: Millis,
    circuit: Circuit,
    failures: u32,
    /// Answers in a row that it is another model server or holds nothing of what was asked.
    misdirected: u32,
    /// Running part of requests that went wrong there, and when it was worked out.
    errors: f64,
    errors_at: Millis,
    /// Requests that failed and that were answered there since this was told last.
    outcomes: Outcomes,
    /// Of all edges' requests the part that failed there lately, as the leader told, and when.
    total_error_rate: f64,
    total_error_rate_at: Millis,
    missing: BTreeMap<ModelName, Millis>,
    /// Since when the core that is listened to does not list it.
    unlisted_since: Option<Millis>,
    /// When it is gone for good, if it told how long it has.
    ends_at: Option<Millis>,
}

impl KnownModelServer {
    fn new(server: ModelServer) -> KnownModelServer {
        KnownModelServer {
            server,
            in_flight: 0,
            prefill_backlog: BTreeMap::new(),
            others_in_flight: 0.0,
            load_at: 0,
            ejected_until: 0,
            circuit: Circuit::Closed,
            failures: 0,
            misdirected: 0,
            errors: 0.0,
            errors_at: 0,
            outcomes: Outcomes::default(),
            total_error_rate: 0.0,
            total_error_rate_at: 0,
            missing: BTreeMap::new(),
            unlisted_since: None,
            ends_at: None,
        }
    }

    /// Takes what a core told of it.
    fn update(&mut self, now: Millis, server: ModelServer) {
        let ends = server.state == ModelServerState::Draining && server.remaining_ms > 0;
        let ends_at = ends.then(|| now + server.remaining_ms);
        // The first word counts where later ones would give it longer: they may have been on their way.
        self.ends_at = match (self.ends_at, ends_at) {
            (Some(known), Some(reported)) => Some(known.min(reported)),
            (known, reported) => known.or(reported),
        };
        (self.server, self.unlisted_since) = (server, None);
    }

    /// When it is gone for good, if it told how long it has.
    pub fn ends_at(&self) -> Option<Millis> {
        self.ends_at
    }

    /// Requests of other edges out there, as far as is known.
    pub fn others_in_flight(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.load_at) as f64 / LOAD_TTL_MS as f64;
        self.others_in_flight * (1.0 - age).max(0.0)
    }

    /// Tokens of prompts of this edge that it has still to read.
    pub fn prefill_backlog_tokens(&self) -> u64 {
        self.prefill_backlog.values().sum()
    }

    /// Part of its slots that are taken; above 1: requests wait there.
    pub fn occupancy(&self, now: Millis) -> f64 {
        (f64::from(self.in_flight) + self.others_in_flight(now)) / f64::from(self.server.capacity.max(1))
    }

    /// The cap on what this edge keeps there: the slots that others leave, one at least.
    pub fn limit(&self, now: Millis) -> u32 {
        let left = f64::from(self.server.capacity.max(1)) - self.others_in_flight(now);
        match self.circuit {
            Circuit::Closed => left.max(1.0) as u32,
            Circuit::HalfOpen => 1,
        }
    }

    /// Whether a request of this edge may go there now.
    pub fn has_slot(&self, now: Millis) -> bool {
        self.accepts_requests(now) && self.in_flight < self.limit(now)
    }

    /// Whether a request of an urgency may go there now: the last slots are kept for the most urgent.
    pub fn has_slot_for(&self, now: Millis, urgency: Urgency) -> bool {
        let taken = f64::from(self.in_flight) + self.others_in_flight(now);
        self.has_slot(now)
            && (urgency == 0 || taken + 1.0 <= open_slots(f64::from(self.server.capacity), urgency))
    }

    /// Whether it takes requests at all now.
    pub fn accepts_requests(&self, now: Millis) -> bool {
        self.server.state == ModelServerState::Ready && now >= self.ejected_until
    }

    /// For how much longer it rests, milliseconds.
    pub fn ejected_for_ms(&self, now: Millis) -> Millis {
        self.ejected_until.saturating_sub(now)
    }

    /// Whether it holds a model (and its adapter).
    pub fn has_model(&self, now: Millis, name: &ModelName) -> bool {
        if name.model.is_empty() {
            return true;
        }
        let missing = self.missing.get(name).is_some_and(|until| now < *until);
        let loaded = self.server.models.iter().find(|loaded| loaded.name == name.model);
        let is_resident =
            loaded.is_some_and(|loaded| name.adapter.is_empty() || loaded.adapters.contains(&name.adapter));
        is_resident && !missing
    }

    /// Whether what it holds of a model is of a version; `None`: of any.
    pub fn has_version(&self, model: &str, version: Option<u64>) -> bool {
        let resident = || self.server.models.iter().find(|loaded| loaded.name == model);
        version.is_none_or(|version| resident().is_some_and(|resident| resident.version == version))
    }

    /// The part of requests that went wrong there lately, 0 to 1; it fades, so that the model server is tried
    /// again.
    pub fn local_error_rate(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.errors_at) as f64 / ERROR_DECAY_MS;
        self.errors * (-age).exp()
    }

    /// It rests after failures in a row: longer each time up to the longest, and for a time that differs by
    /// head, so that not all edges try it in the same moment. `draw`: from 0 to 1.
    fn eject(&mut self, now: Millis, doublings: u32, draw: f64) {
        let duration_ms = (BASE_EJECTION_MS << doublings.min(5)).min(MAX_EJECTION_MS) as f64;
        self.ejected_until =
            now + (duration_ms * (1.0 - EJECTION_JITTER + 2.0 * EJECTION_JITTER * draw)) as Millis;
        self.circuit = Circuit::HalfOpen;
    }

    fn observe_error(&mut self, now: Millis, weight: f64) {
        let known = self.local_error_rate(now);
        self.errors = known + ERROR_WEIGHT * (weight - known);
        self.errors_at = now;
    }

    /// The part of requests that go wrong there, by what this edge or all edges together have seen.
    pub fn error_rate(&self, now: Millis) -> f64 {
        let is_fresh = now < self.total_error_rate_at + TOTAL_ERROR_RATE_TTL_MS;
        self.local_error_rate(now).max(if is_fresh { self.total_error_rate } else { 0.0 })
    }
}

/// How a send to a model server ended, as far as the model server is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Answered,
    /// It said that it is full, or that a time was over in its queue.
    Full,
    /// It answered with a failure of its own.
    ServerError,
    /// It does not hold what was asked for, or is another model server.
    Misdirected,
    /// No connection, a reset, or no answer.
    Failed,
    /// The client left, or the edge gave up by itself.
    Abandoned,
}

/// All model servers that this edge knows.
#[derive(Clone, Debug, Default)]
pub struct ModelServerTable {
    /// Another number at each edge.
    seed: u64,
    known: BTreeMap<Instance, KnownModelServer>,
    addresses: AddressIndex,
    /// Model servers that have gone; a late word of another core does not bring them back.
    removed: BTreeMap<Instance, (u64, Millis)>,
}

impl ModelServerTable {
    /// A table that knows no model server. `seed`: any number, another one at each edge.
    pub fn new(seed: u64) -> ModelServerTable {
        ModelServerTable { seed, ..ModelServerTable::default() }
    }

    /// A core told of model servers. Returns the model servers that take no new work from now on.
    pub fn update(&mut self, now: Millis, update: ModelServerUpdate) -> BTreeSet<Instance> {
        let mut closed = BTreeSet::new();
        if update.complete {
            self.mark_unlisted(now, &update);
        }
        for server in update.servers {
            let instance = server.instance.clone();
            // What fell silent comes back with the same word; what said that it ends does not.
            if self.removed.get(&instance).is_some_and(|(sequence, _)| server.sequence < *sequence) {
                continue;
            }
            if server.state != ModelServerState::Ready {
                closed.insert(instance.clone());
            }
            if server.state != ModelServerState::Removed && !self.known.contains_key(&instance) {
                closed.extend(self.displace(now, &server));
            }
            match self.known.get_mut(&instance) {
                _ if server.state == ModelServerState::Removed => self.forget(now, server),
                Some(known) if server.sequence < known.server.sequence => known.unlisted_since = None,
                Some(known) => {
                    self.addresses.relocate(&known.server.address, &server.address, &instance);
                    known.update(now, server);
                }
                None => {
                    self.addresses.insert(&server.address, &instance);
                    let mut known = KnownModelServer::new(server.clone());
                    known.update(now, server);
                    self.known.insert(instance, known);
                }
            }
        }
        self.removed.retain(|_, (_, at)| now < *at + REMOVED_RETENTION_MS);
        closed
    }

    /// Another incarnation at a model server's address is gone once a new one speaks there.
    fn displace(&mut self, now: Millis, server: &ModelServer) -> Vec<Instance> {
        let known = |instance| self.known.get(instance).map(|known| known.server.clone());
        let displaced: Vec<ModelServer> = self.addresses.at(&server.address).filter_map(known).collect();
        let instances = displaced.iter().map(|server| server.instance.clone()).collect();
        for server in displaced {
            let sequence = server.sequence + 1;
            self.forget(now, ModelServer { sequence, ..server });
        }
        instances
    }

    /// A whole list came: what is not on it goes after a while, unless it is told of again. A core that has
    /// just started knows few model servers yet.
    fn mark_unlisted(&mut self, now: Millis, update: &ModelServerUpdate) {
        let listed: BTreeSet<&str> = update.servers.iter().map(|server| server.instance.as_str()).collect();
        for (instance, known) in &mut self.known {
            if !listed.contains(instance.as_str()) {
                known.unlisted_since.get_or_insert(now);
            }
        }
    }

    /// Forgets model servers that no list names any more.
    pub fn tidy(&mut self, now: Millis) {
        let names = |known: &KnownModelServer| {
            known.unlisted_since.is_none_or(|since| now < since + UNLISTED_RETENTION_MS)
        };
        let is_over = |known: &KnownModelServer| known.in_flight == 0 && !names(known);
        for (instance, known) in self.known.extract_if(.., |_, known| is_over(known)) {
            self.addresses.remove(&known.server.address, &instance);
        }
    }

    fn forget(&mut self, now: Millis, server: ModelServer) {
        let known = self.known.get(&server.instance).map_or(0, |known| known.server.sequence);
        if server.sequence >= known {
            self.removed.insert(server.instance.clone(), (server.sequence, now));
            if let Some(known) = self.known.remove(&server.instance) {
                self.addresses.remove(&known.server.address, &server.instance);
            }
        }
    }

    /// One model server.
    pub fn get(&self, instance: &str) -> Option<&KnownModelServer> {
        self.known.get(instance)
    }

    /// All model servers.
    pub fn iter(&self) -> impl Iterator<Item = (&Instance, &KnownModelServer)> {
        self.known.iter()
    }

    /// The model servers of a service that hold a model.
    pub fn with_model<'a>(
        &'a self,
        now: Millis,
        backend: &'a str,
        name: &'a ModelName,
    ) -> impl Iterator<Item = (&'a Instance, &'a KnownModelServer)> {
        self.known.iter().filter(move |(_, known)| {
            known.server.backend == backend
                && known.server.state == ModelServerState::Ready
                && known.has_model(now, name)
        })
    }

    /// Whether any model server of a service is known.
    pub fn has_backend(&self, backend: &str) -> bool {
        self.known
            .values()
            .any(|known| known.server.backend == backend && known.server.state == ModelServerState::Ready)
    }

    /// A request of this edge went there.
    pub fn request_sent(&mut self, instance: &str, request: u64, tokens: u64) {
        if let Some(known) = self.known.get_mut(instance) {
            known.in_flight += 1;
            known.prefill_backlog.insert(request, tokens);
        }
    }

    /// It began to answer a request, or will not.
    pub fn response_started(&mut self, instance: &str, request: u64) {
        if let Some(known) = self.known.get_mut(instance) {
            known.prefill_backlog.remove(&request);
        }
    }

    /// A request of this edge ended there.
    pub fn request_ended(&mut self, now: Millis, instance: &str, name: &ModelName, outcome: AttemptOutcome) {
        let draw = unit_draw(self.seed ^ now, instance);
        let Some(known) = self.known.get_mut(instance) else { return };
        known.in_flight = known.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Failed | AttemptOutcome::ServerError => {
                known.outcomes.failed += 1;
                known.observe_error(now, 1.0);
            }
            AttemptOutcome::Full => known.observe_error(now, REJECTED_ERROR_WEIGHT),
            AttemptOutcome::Answered => {
                known.outcomes.answered += 1;
                known.observe_error(now, 0.0);
            }
            AttemptOutcome::Misdirected | AttemptOutcome::Abandoned => {}
        }
        match outcome {
            AttemptOutcome::Answered => {
                (known.failures, known.misdirected, known.circuit) = (0, 0, Circuit::Closed);
            }
            AttemptOutcome::Full => known.ejected_until = known.ejected_until.max(now + FULL_BACKOFF_MS),
            AttemptOutcome::Misdirected => {
                known.missing.retain(|_, until| now < *until);
                known.missing.insert(name.clone(), now + MISSING_TTL_MS);
                known.misdirected += 1;
                if known.misdirected >= CONSECUTIVE_MISDIRECTED_TO_EJECT {
                    known.eject(now, known.misdirected - CONSECUTIVE_MISDIRECTED_TO_EJECT, draw);
                }
            }
            AttemptOutcome::Failed => {
                known.failures += 1;
                if known.failures >= CONSECUTIVE_FAILURES_TO_EJECT {
                    known.eject(now, known.failures - CONSECUTIVE_FAILURES_TO_EJECT, draw);
                }
            }
            AttemptOutcome::ServerError | AttemptOutcome::Abandoned => {}
        }
    }

    /// What is out at each model server, and how requests ended there since the last call.
    pub fn take_loads(&mut self) -> Vec<ModelServerLoad> {
        let mut loads = Vec::new();
        for (instance, known) in &mut self.known {
            let outcomes = std::mem::take(&mut known.outcomes);
            if known.in_flight > 0 || outcomes != Outcomes::default() {
                loads.push(ModelServerLoad {
                    instance: instance.clone(),
                    in_flight: known.in_flight,
                    failed: outcomes.failed,
                    answered: outcomes.answered,
                    error_permille: 0,
                });
            }
        }
        loads
    }

    /// The leader told what all edges together see of a model server.
    pub fn observe_total_load(&mut self, now: Millis, load: &ModelServerLoad) {
        self.observe_load(now, &load.instance, load.in_flight, 0);
        if let Some(known) = self.known.get_mut(&load.instance) {
            (known.total_error_rate, known.total_error_rate_at) =
                (f64::from(load.error_permille) / 1_000.0, now);
        }
    }

    /// An answer told the model server's load: requests running and waiting, this edge's among them.
    pub fn observe_load(&mut self, now: Millis, instance: &str, running: u32, waiting: u32) {
        if let Some(known) = self.known.get_mut(instance) {
            known.others_in_flight = (f64::from(running + waiting) - f64::from(known.in_flight)).max(0.0);
            known.load_at = now;
        }
    }
}
