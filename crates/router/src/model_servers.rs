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
const FIRST_REST: Millis = 250;
const LONGEST_REST: Millis = 5_000;
/// A rest is longer or shorter by up to this part of it.
const REST_JITTER: f64 = 0.3;
/// A model server that turned a request away because it is full rests for so long.
const FULL_REST: Millis = 60;
/// Weight of one answer in a model server's part of errors, how fast that fades (milliseconds), and what a
/// request that was turned away counts for.
const ERROR_LEARN: f64 = 0.25;
const ERRORS_FADE: f64 = 8_000.0;
const TURNED_AWAY: f64 = 0.3;
/// What a model server said of its load counts for so long.
const LOAD_COUNTS: Millis = 1_000;
/// A model that a model server said it does not hold is not asked for there for so long.
const MISSING_COUNTS: Millis = 800;
/// Requests in a row without an answer that make a model server rest.
const FAILURES_TO_REST: u32 = 2;

/// A model server that the core does not list any more is kept for so long.
const UNLISTED_KEPT: Millis = 10_000;
/// A model server that has gone is remembered for so long.
const GONE_KEPT: Millis = 120_000;

/// A model server that says so often in a row that it is not the one rests: it may be another incarnation by
/// now.
const MISDIRECTED_TO_REST: u32 = 3;

/// What the leader told of a model server's errors counts for so long.
const JOINT_ERRORS_COUNT: Millis = 3_000;

/// What this edge's own requests say of a model server (a circuit breaker).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// It takes as many requests as it has slots for.
    Sound,
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
    unread: BTreeMap<u64, u64>,
    /// Of other edges, by what the model server said last, and when.
    others: f64,
    others_at: Millis,
    rest_until: Millis,
    health: Health,
    failures: u32,
    /// Answers in a row that it is another model server or holds nothing of what was asked.
    misdirected: u32,
    /// Running part of requests that went wrong there, and when it was worked out.
    errors: f64,
    errors_at: Millis,
    /// Requests that failed and that were answered there since this was told last.
    outcomes: Outcomes,
    /// Of all edges' requests the part that failed there lately, as the leader told, and when.
    joint_errors: f64,
    joint_errors_at: Millis,
    missing: BTreeMap<ModelName, Millis>,
    /// Since when the core that is listened to does not list it.
    unlisted_since: Option<Millis>,
    /// When it is gone for good, if it told how long it has.
    gone_at: Option<Millis>,
}

impl KnownModelServer {
    fn new(server: ModelServer) -> KnownModelServer {
        KnownModelServer {
            server,
            in_flight: 0,
            unread: BTreeMap::new(),
            others: 0.0,
            others_at: 0,
            rest_until: 0,
            health: Health::Sound,
            failures: 0,
            misdirected: 0,
            errors: 0.0,
            errors_at: 0,
            outcomes: Outcomes::default(),
            joint_errors: 0.0,
            joint_errors_at: 0,
            missing: BTreeMap::new(),
            unlisted_since: None,
            gone_at: None,
        }
    }

    /// Takes what a core told of it.
    fn told(&mut self, now: Millis, server: ModelServer) {
        let ends = server.state == ModelServerState::Draining && server.remaining_ms > 0;
        let gone_at = ends.then(|| now + server.remaining_ms);
        // The first word counts where later ones would give it longer: they may have been on their way.
        self.gone_at = match (self.gone_at, gone_at) {
            (Some(known), Some(told)) => Some(known.min(told)),
            (known, told) => known.or(told),
        };
        (self.server, self.unlisted_since) = (server, None);
    }

    /// When it is gone for good, if it told how long it has.
    pub fn gone_at(&self) -> Option<Millis> {
        self.gone_at
    }

    /// Requests of other edges out there, as far as is known.
    pub fn others(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.others_at) as f64 / LOAD_COUNTS as f64;
        self.others * (1.0 - age).max(0.0)
    }

    /// Tokens of prompts of this edge that it has still to read.
    pub fn unread_tokens(&self) -> u64 {
        self.unread.values().sum()
    }

    /// Part of its slots that are taken; above 1: requests wait there.
    pub fn occupancy(&self, now: Millis) -> f64 {
        (f64::from(self.in_flight) + self.others(now)) / f64::from(self.server.capacity.max(1))
    }

    /// The cap on what this edge keeps there: the slots that others leave, one at least.
    pub fn cap(&self, now: Millis) -> u32 {
        let left = f64::from(self.server.capacity.max(1)) - self.others(now);
        match self.health {
            Health::Sound => left.max(1.0) as u32,
            Health::HalfOpen => 1,
        }
    }

    /// Whether a request of this edge may go there now.
    pub fn has_slot(&self, now: Millis) -> bool {
        self.takes_work(now) && self.in_flight < self.cap(now)
    }

    /// Whether a request of an urgency may go there now: the last slots are kept for the most urgent.
    pub fn has_slot_for(&self, now: Millis, urgency: Urgency) -> bool {
        let taken = f64::from(self.in_flight) + self.others(now);
        self.has_slot(now)
            && (urgency == 0 || taken + 1.0 <= open_slots(f64::from(self.server.capacity), urgency))
    }

    /// Whether it takes requests at all now.
    pub fn takes_work(&self, now: Millis) -> bool {
        self.server.state == ModelServerState::Ready && now >= self.rest_until
    }

    /// For how much longer it rests, milliseconds.
    pub fn rests_for(&self, now: Millis) -> Millis {
        self.rest_until.saturating_sub(now)
    }

    /// Whether it holds a model (and its adapter).
    pub fn holds(&self, now: Millis, name: &ModelName) -> bool {
        if name.model.is_empty() {
            return true;
        }
        let missing = self.missing.get(name).is_some_and(|until| now < *until);
        let loaded = self.server.models.iter().find(|loaded| loaded.name == name.model);
        let held =
            loaded.is_some_and(|loaded| name.adapter.is_empty() || loaded.adapters.contains(&name.adapter));
        held && !missing
    }

    /// Whether what it holds of a model is of a version; `None`: of any.
    pub fn holds_version(&self, model: &str, version: Option<u64>) -> bool {
        let held = || self.server.models.iter().find(|loaded| loaded.name == model);
        version.is_none_or(|version| held().is_some_and(|held| held.version == version))
    }

    /// The part of requests that went wrong there lately, 0 to 1; it fades, so that the model server is tried
    /// again.
    pub fn error_part(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.errors_at) as f64 / ERRORS_FADE;
        self.errors * (-age).exp()
    }

    /// It rests after failures in a row: longer each time up to the longest, and for a time that differs by
    /// head, so that not all edges try it in the same moment. `draw`: from 0 to 1.
    fn rest(&mut self, now: Millis, doublings: u32, draw: f64) {
        let rest = (FIRST_REST << doublings.min(5)).min(LONGEST_REST) as f64;
        self.rest_until = now + (rest * (1.0 - REST_JITTER + 2.0 * REST_JITTER * draw)) as Millis;
        self.health = Health::HalfOpen;
    }

    fn note_error(&mut self, now: Millis, weight: f64) {
        let known = self.error_part(now);
        self.errors = known + ERROR_LEARN * (weight - known);
        self.errors_at = now;
    }

    /// The part of requests that go wrong there, by what this edge or all edges together have seen.
    pub fn known_errors(&self, now: Millis) -> f64 {
        let told = now < self.joint_errors_at + JOINT_ERRORS_COUNT;
        self.error_part(now).max(if told { self.joint_errors } else { 0.0 })
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
    Erred,
    /// It does not hold what was asked for, or is another model server.
    NotThere,
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
    gone: BTreeMap<Instance, (u64, Millis)>,
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
            self.note_unlisted(now, &update);
        }
        for server in update.servers {
            let instance = server.instance.clone();
            // What fell silent comes back with the same word; what said that it ends does not.
            if self.gone.get(&instance).is_some_and(|(sequence, _)| server.sequence < *sequence) {
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
                    self.addresses.change(&known.server.address, &server.address, &instance);
                    known.told(now, server);
                }
                None => {
                    self.addresses.insert(&server.address, &instance);
                    let mut known = KnownModelServer::new(server.clone());
                    known.told(now, server);
                    self.known.insert(instance, known);
                }
            }
        }
        self.gone.retain(|_, (_, at)| now < *at + GONE_KEPT);
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
    fn note_unlisted(&mut self, now: Millis, update: &ModelServerUpdate) {
        let listed: BTreeSet<&str> = update.servers.iter().map(|server| server.instance.as_str()).collect();
        for (instance, known) in &mut self.known {
            if !listed.contains(instance.as_str()) {
                known.unlisted_since.get_or_insert(now);
            }
        }
    }

    /// Forgets model servers that no list names any more.
    pub fn tidy(&mut self, now: Millis) {
        let names =
            |known: &KnownModelServer| known.unlisted_since.is_none_or(|since| now < since + UNLISTED_KEPT);
        let is_over = |known: &KnownModelServer| known.in_flight == 0 && !names(known);
        for (instance, known) in self.known.extract_if(.., |_, known| is_over(known)) {
            self.addresses.remove(&known.server.address, &instance);
        }
    }

    fn forget(&mut self, now: Millis, server: ModelServer) {
        let known = self.known.get(&server.instance).map_or(0, |known| known.server.sequence);
        if server.sequence >= known {
            self.gone.insert(server.instance.clone(), (server.sequence, now));
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
    pub fn holding<'a>(
        &'a self,
        now: Millis,
        backend: &'a str,
        name: &'a ModelName,
    ) -> impl Iterator<Item = (&'a Instance, &'a KnownModelServer)> {
        self.known.iter().filter(move |(_, known)| {
            known.server.backend == backend
                && known.server.state == ModelServerState::Ready
                && known.holds(now, name)
        })
    }

    /// Whether any model server of a service is known.
    pub fn has_backend(&self, backend: &str) -> bool {
        self.known
            .values()
            .any(|known| known.server.backend == backend && known.server.state == ModelServerState::Ready)
    }

    /// A request of this edge went there.
    pub fn sent(&mut self, instance: &str, request: u64, tokens: u64) {
        if let Some(known) = self.known.get_mut(instance) {
            known.in_flight += 1;
            known.unread.insert(request, tokens);
        }
    }

    /// It began to answer a request, or will not.
    pub fn began(&mut self, instance: &str, request: u64) {
        if let Some(known) = self.known.get_mut(instance) {
            known.unread.remove(&request);
        }
    }

    /// A request of this edge ended there.
    pub fn ended(&mut self, now: Millis, instance: &str, name: &ModelName, outcome: AttemptOutcome) {
        let draw = unit_draw(self.seed ^ now, instance);
        let Some(known) = self.known.get_mut(instance) else { return };
        known.in_flight = known.in_flight.saturating_sub(1);
        match outcome {
            AttemptOutcome::Failed | AttemptOutcome::Erred => {
                known.outcomes.failed += 1;
                known.note_error(now, 1.0);
            }
            AttemptOutcome::Full => known.note_error(now, TURNED_AWAY),
            AttemptOutcome::Answered => {
                known.outcomes.answered += 1;
                known.note_error(now, 0.0);
            }
            AttemptOutcome::NotThere | AttemptOutcome::Abandoned => {}
        }
        match outcome {
            AttemptOutcome::Answered => {
                (known.failures, known.misdirected, known.health) = (0, 0, Health::Sound);
            }
            AttemptOutcome::Full => known.rest_until = known.rest_until.max(now + FULL_REST),
            AttemptOutcome::NotThere => {
                known.missing.retain(|_, until| now < *until);
                known.missing.insert(name.clone(), now + MISSING_COUNTS);
                known.misdirected += 1;
                if known.misdirected >= MISDIRECTED_TO_REST {
                    known.rest(now, known.misdirected - MISDIRECTED_TO_REST, draw);
                }
            }
            AttemptOutcome::Failed => {
                known.failures += 1;
                if known.failures >= FAILURES_TO_REST {
                    known.rest(now, known.failures - FAILURES_TO_REST, draw);
                }
            }
            AttemptOutcome::Erred | AttemptOutcome::Abandoned => {}
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
    pub fn note_joint(&mut self, now: Millis, load: &ModelServerLoad) {
        self.note_load(now, &load.instance, load.in_flight, 0);
        if let Some(known) = self.known.get_mut(&load.instance) {
            (known.joint_errors, known.joint_errors_at) = (f64::from(load.error_permille) / 1_000.0, now);
        }
    }

    /// An answer told the model server's load: requests running and waiting, this edge's among them.
    pub fn note_load(&mut self, now: Millis, instance: &str, running: u32, waiting: u32) {
        if let Some(known) = self.known.get_mut(instance) {
            known.others = (f64::from(running + waiting) - f64::from(known.in_flight)).max(0.0);
            known.others_at = now;
        }
    }
}
