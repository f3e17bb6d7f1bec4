//! The model servers that this edge knows: the merged reports of all cores, and the outcomes of the edge's
//! own requests.

mod circuit_breaker;
mod error_rate;
mod known;
mod outcome;

use crate::Millis;
use crate::draw::unit_draw;
use crate::prompt::ModelName;
pub use known::KnownModelServer;
pub use outcome::AttemptOutcome;
use outcome::Outcomes;
use pathbank_control::address_index::AddressIndex;
use pathbank_protocol::message::{ModelServer, ModelServerLoad, ModelServerState, ModelServerUpdate};
use std::collections::{BTreeMap, BTreeSet};

/// A model server that the complete lists no longer name is kept for this long.
const UNLISTED_RETENTION_MS: Millis = 10_000;
/// A removed model server is remembered for this long, so that late reports do not bring it back.
const REMOVED_RETENTION_MS: Millis = 120_000;

/// Names a model server by its incarnation.
pub type Instance = String;

/// A removed model server.
#[derive(Clone, Copy, Debug)]
struct RemovedServer {
    /// Its last known sequence.
    sequence: u64,
    removed_at: Millis,
}

/// All model servers that this edge knows.
#[derive(Clone, Debug, Default)]
pub struct ModelServerTable {
    seed: u64,
    known: BTreeMap<Instance, KnownModelServer>,
    addresses: AddressIndex,
    removed: BTreeMap<Instance, RemovedServer>,
}

impl ModelServerTable {
    /// An empty table. `seed`: any number that differs by edge.
    pub fn new(seed: u64) -> ModelServerTable {
        ModelServerTable { seed, ..ModelServerTable::default() }
    }

    /// Merges a core's report. Returns the model servers that take no new requests from now on.
    pub fn update(&mut self, now: Millis, update: ModelServerUpdate) -> BTreeSet<Instance> {
        let mut closed = BTreeSet::new();
        if update.complete {
            self.mark_unlisted(now, &update);
        }
        for server in update.servers {
            let instance = server.instance.clone();
            // A server whose heartbeats timed out may return with the same sequence. A server that announced
            // its end has a higher one by then and does not return.
            if self.removed.get(&instance).is_some_and(|removed| server.sequence < removed.sequence) {
                continue;
            }
            if server.state != ModelServerState::Ready {
                closed.insert(instance.clone());
            }
            if server.state != ModelServerState::Removed && !self.known.contains_key(&instance) {
                closed.extend(self.displace(now, &server));
            }
            match self.known.get_mut(&instance) {
                _ if server.state == ModelServerState::Removed => self.remove(now, server),
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
        self.removed.retain(|_, removed| now < removed.removed_at + REMOVED_RETENTION_MS);
        closed
    }

    /// Removes other incarnations at a model server's address, which a new incarnation has taken over.
    fn displace(&mut self, now: Millis, server: &ModelServer) -> Vec<Instance> {
        let known = |instance| self.known.get(instance).map(|known| known.server.clone());
        let displaced: Vec<ModelServer> = self.addresses.at(&server.address).filter_map(known).collect();
        let instances = displaced.iter().map(|server| server.instance.clone()).collect();
        for server in displaced {
            let sequence = server.sequence + 1;
            self.remove(now, ModelServer { sequence, ..server });
        }
        instances
    }

    /// Marks model servers that a complete list does not name. [`ModelServerTable::tidy`] removes them later,
    /// unless a report names them again: a core that has just started knows few model servers yet.
    fn mark_unlisted(&mut self, now: Millis, update: &ModelServerUpdate) {
        let listed: BTreeSet<&str> = update.servers.iter().map(|server| server.instance.as_str()).collect();
        for (instance, known) in &mut self.known {
            if !listed.contains(instance.as_str()) {
                known.unlisted_since.get_or_insert(now);
            }
        }
    }

    /// Removes model servers that have been unlisted for long and have no request of this edge in flight.
    pub fn tidy(&mut self, now: Millis) {
        let is_listed = |known: &KnownModelServer| {
            known.unlisted_since.is_none_or(|since| now < since + UNLISTED_RETENTION_MS)
        };
        let is_expired = |known: &KnownModelServer| known.in_flight == 0 && !is_listed(known);
        for (instance, known) in self.known.extract_if(.., |_, known| is_expired(known)) {
            self.addresses.remove(&known.server.address, &instance);
        }
    }

    fn remove(&mut self, now: Millis, server: ModelServer) {
        let known = self.known.get(&server.instance).map_or(0, |known| known.server.sequence);
        if server.sequence >= known {
            let removed = RemovedServer { sequence: server.sequence, removed_at: now };
            self.removed.insert(server.instance.clone(), removed);
            if let Some(known) = self.known.remove(&server.instance) {
                self.addresses.remove(&known.server.address, &server.instance);
            }
        }
    }

    /// The model server of an incarnation.
    pub fn get(&self, instance: &str) -> Option<&KnownModelServer> {
        self.known.get(instance)
    }

    /// All model servers.
    pub fn iter(&self) -> impl Iterator<Item = (&Instance, &KnownModelServer)> {
        self.known.iter()
    }

    /// The ready model servers of a backend where a model is resident.
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

    /// Whether a backend has a ready model server.
    pub fn has_backend(&self, backend: &str) -> bool {
        self.known
            .values()
            .any(|known| known.server.backend == backend && known.server.state == ModelServerState::Ready)
    }

    /// Records that a request of this edge was sent to a model server.
    pub fn request_sent(&mut self, instance: &str, request: u64, prompt_tokens: u64) {
        if let Some(known) = self.known.get_mut(instance) {
            known.request_sent(request, prompt_tokens);
        }
    }

    /// Records that a model server has prefilled a request's prompt, or will not prefill it any more.
    pub fn response_started(&mut self, instance: &str, request: u64) {
        if let Some(known) = self.known.get_mut(instance) {
            known.response_started(request);
        }
    }

    /// Records that a request of this edge ended at a model server.
    pub fn request_ended(&mut self, now: Millis, instance: &str, name: &ModelName, outcome: AttemptOutcome) {
        let jitter = unit_draw(self.seed ^ now, instance);
        if let Some(known) = self.known.get_mut(instance) {
            known.request_ended(now, name, outcome, jitter);
        }
    }

    /// The load of each model server, and how requests ended there since the last call.
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

    /// Takes the leader's report of a model server's load and error rate over all edges.
    pub fn observe_total_load(&mut self, now: Millis, load: &ModelServerLoad) {
        if let Some(known) = self.known.get_mut(&load.instance) {
            known.observe_total_load(now, load);
        }
    }

    /// Takes a model server's load from its answer: requests running and queued, including this edge's.
    pub fn observe_load(&mut self, now: Millis, instance: &str, running: u32, waiting: u32) {
        if let Some(known) = self.known.get_mut(instance) {
            known.observe_load(now, running, waiting);
        }
    }
}
