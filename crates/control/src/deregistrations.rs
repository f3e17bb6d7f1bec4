//! Deregistrations of model servers: the replicated list of deregistered instances, and what a core keeps of a
//! deregistration until it is committed.

use pathbank_coordination::types::{Millis, Term};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The limit of replicated deregistrations. Edges remember a removal for two minutes, so that these are enough
/// for 17 deregistrations a second.
pub const MAX_DEREGISTERED_INSTANCES: usize = 2_048;
/// A caller is answered within this: a model server gives up a core that has not answered within a second.
const COMMIT_TIMEOUT_MS: Millis = 800;
/// A deregistration for which a caller waits is relayed to the other cores again after this.
const RELAY_INTERVAL_MS: Millis = 200;
/// A deregistration without a caller that waits is forgotten after this if it is not committed.
const PENDING_RETENTION_MS: Millis = 60_000;

/// The instances that deregistered last, oldest first. Part of the replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "VecDeque<String>", into = "VecDeque<String>")]
pub struct DeregisteredInstances {
    ordered: VecDeque<String>,
    known: BTreeSet<String>,
}

impl From<VecDeque<String>> for DeregisteredInstances {
    fn from(ordered: VecDeque<String>) -> DeregisteredInstances {
        let known = ordered.iter().cloned().collect();
        DeregisteredInstances { ordered, known }
    }
}

impl From<DeregisteredInstances> for VecDeque<String> {
    fn from(instances: DeregisteredInstances) -> VecDeque<String> {
        instances.ordered
    }
}

impl DeregisteredInstances {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.ordered.is_empty()
    }

    /// Whether an instance is among them.
    pub fn contains(&self, instance: &str) -> bool {
        self.known.contains(instance)
    }

    /// All of them, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &String> {
        self.ordered.iter()
    }

    /// Records a deregistration. Returns whether it was not there yet. Beyond `MAX_DEREGISTERED_INSTANCES` the
    /// oldest one is evicted.
    pub fn record(&mut self, instance: &str) -> bool {
        if !self.known.insert(instance.to_owned()) {
            return false;
        }
        self.ordered.push_back(instance.to_owned());
        if self.ordered.len() > MAX_DEREGISTERED_INSTANCES
            && let Some(oldest) = self.ordered.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}

/// A deregistration that is not committed yet.
#[derive(Debug)]
struct PendingDeregistration<Caller> {
    callers: Vec<(Millis, Caller)>,
    first_heard_at: Millis,
    last_relayed_at: Millis,
    /// The term in which this core proposed it.
    proposed_in: Option<Term>,
}

/// The deregistrations that a core has heard and that are not committed yet, with the callers that wait.
#[derive(Debug)]
pub struct PendingDeregistrations<Caller> {
    pending: BTreeMap<String, PendingDeregistration<Caller>>,
}

impl<Caller> Default for PendingDeregistrations<Caller> {
    fn default() -> PendingDeregistrations<Caller> {
        PendingDeregistrations { pending: BTreeMap::new() }
    }
}

impl<Caller> PendingDeregistrations<Caller> {
    /// Records a deregistration that another core relayed, or that this core has just relayed itself.
    pub fn record(&mut self, now: Millis, instance: &str) {
        if !self.pending.contains_key(instance) {
            self.pending.insert(instance.to_owned(), PendingDeregistration::new(now));
        }
    }

    /// A caller waits until the deregistration is committed.
    pub fn await_commit(&mut self, now: Millis, instance: &str, caller: Caller) {
        self.record(now, instance);
        if let Some(pending) = self.pending.get_mut(instance) {
            pending.callers.push((now, caller));
        }
    }

    /// Deregistrations that the leader of a term has not proposed in it. They count as proposed from now on.
    pub fn take_unproposed(&mut self, term: Term) -> Vec<String> {
        let unproposed = self.pending.iter_mut().filter(|(_, pending)| pending.proposed_in != Some(term));
        let propose = |(instance, pending): (&String, &mut PendingDeregistration<Caller>)| {
            pending.proposed_in = Some(term);
            instance.clone()
        };
        unproposed.map(propose).collect()
    }

    /// Deregistrations that have to be relayed again, because a caller waits and the leader may not have heard
    /// of them.
    pub fn take_due_relays(&mut self, now: Millis) -> Vec<String> {
        let is_due = |pending: &PendingDeregistration<Caller>| {
            !pending.callers.is_empty() && now >= pending.last_relayed_at + RELAY_INTERVAL_MS
        };
        let due = self.pending.iter_mut().filter(|(_, pending)| is_due(pending));
        let relay = |(instance, pending): (&String, &mut PendingDeregistration<Caller>)| {
            pending.last_relayed_at = now;
            instance.clone()
        };
        due.map(relay).collect()
    }

    /// A deregistration is committed. Returns the callers that waited for it.
    pub fn on_committed(&mut self, instance: &str) -> Vec<Caller> {
        let callers = self.pending.remove(instance).map(|pending| pending.callers).unwrap_or_default();
        callers.into_iter().map(|(_, caller)| caller).collect()
    }

    /// Returns the callers that have waited for too long, and forgets what has been pending for long.
    pub fn expire(&mut self, now: Millis) -> Vec<Caller> {
        let mut expired = Vec::new();
        for pending in self.pending.values_mut() {
            let timed_out = |(since, _): &mut (Millis, Caller)| now >= *since + COMMIT_TIMEOUT_MS;
            expired.extend(pending.callers.extract_if(.., timed_out).map(|(_, caller)| caller));
        }
        self.pending.retain(|_, pending| {
            !pending.callers.is_empty() || now < pending.first_heard_at + PENDING_RETENTION_MS
        });
        expired
    }

    /// How many are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

impl<Caller> PendingDeregistration<Caller> {
    fn new(now: Millis) -> PendingDeregistration<Caller> {
        PendingDeregistration {
            callers: Vec::new(),
            first_heard_at: now,
            last_relayed_at: now,
            proposed_in: None,
        }
    }
}
