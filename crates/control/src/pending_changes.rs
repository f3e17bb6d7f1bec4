//! What is new of model servers and waits to be told, and when it is due.

use crate::directory::Millis;
use std::collections::BTreeSet;

/// That model servers leave is told at once, but no more often than this: where many leave, what came
/// meanwhile goes together.
const MIN_UNAVAILABLE_INTERVAL_MS: Millis = 25;

/// Instances of which something is to be told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerChanges {
    /// They take no new work: for all edges.
    pub unavailable: BTreeSet<String>,
    /// Otherwise changed: for edges that listen to this core.
    pub changed: BTreeSet<String>,
    /// Heard here first: for the other cores.
    pub relayed: BTreeSet<String>,
}

/// News of model servers that waits.
#[derive(Clone, Debug, Default)]
pub struct PendingChanges {
    pending: ServerChanges,
    unavailable_sent_at: Option<Millis>,
}

impl PendingChanges {
    /// A model server takes no new work any more.
    pub fn record_unavailable(&mut self, instance: String) {
        self.pending.changed.remove(&instance);
        self.pending.unavailable.insert(instance);
    }

    /// Something else about a model server has changed.
    pub fn record_changed(&mut self, instance: String) {
        if !self.pending.unavailable.contains(&instance) {
            self.pending.changed.insert(instance);
        }
    }

    /// The other cores have to hear of a model server.
    pub fn record_relayed(&mut self, instance: String) {
        self.pending.relayed.insert(instance);
    }

    /// All that waits, if some of it cannot wait for others.
    pub fn take_urgent(&mut self, now: Millis) -> Option<ServerChanges> {
        let sent_recently =
            self.unavailable_sent_at.is_some_and(|sent_at| now < sent_at + MIN_UNAVAILABLE_INTERVAL_MS);
        (!self.pending.unavailable.is_empty() && !sent_recently).then(|| self.take(now))
    }

    /// All that waits.
    pub fn take(&mut self, now: Millis) -> ServerChanges {
        if !self.pending.unavailable.is_empty() {
            self.unavailable_sent_at = Some(now);
        }
        std::mem::take(&mut self.pending)
    }
}
