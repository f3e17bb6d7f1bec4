//! Collects changes of model servers, and decides when they are published.

use pathbank_coordination::types::Millis;
use std::collections::BTreeSet;

/// The least time between two publications of model servers that became unavailable, so that many of them are
/// published in batches.
const MIN_UNAVAILABLE_INTERVAL_MS: Millis = 25;

/// Instances whose changes are to be published.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerChanges {
    /// Model servers that take no new requests: published to all edges.
    pub unavailable: BTreeSet<String>,
    /// Model servers with another change: published to the edges that subscribe to this core.
    pub changed: BTreeSet<String>,
    /// Model servers whose heartbeats came to this core: relayed to the other cores.
    pub relayed: BTreeSet<String>,
}

/// Collects changes of model servers until they are published.
#[derive(Clone, Debug, Default)]
pub struct PendingChanges {
    pending: ServerChanges,
    unavailable_sent_at: Option<Millis>,
}

impl PendingChanges {
    /// Records that a model server takes no new requests. This replaces its other changes.
    pub fn record_unavailable(&mut self, instance: String) {
        self.pending.changed.remove(&instance);
        self.pending.unavailable.insert(instance);
    }

    /// Records another change of a model server.
    pub fn record_changed(&mut self, instance: String) {
        if !self.pending.unavailable.contains(&instance) {
            self.pending.changed.insert(instance);
        }
    }

    /// Records that a model server has to be relayed to the other cores.
    pub fn record_relayed(&mut self, instance: String) {
        self.pending.relayed.insert(instance);
    }

    /// Takes all pending changes if a model server became unavailable and no such change was published
    /// lately.
    pub fn take_urgent(&mut self, now: Millis) -> Option<ServerChanges> {
        let sent_recently =
            self.unavailable_sent_at.is_some_and(|sent_at| now < sent_at + MIN_UNAVAILABLE_INTERVAL_MS);
        (!self.pending.unavailable.is_empty() && !sent_recently).then(|| self.take(now))
    }

    /// Takes all pending changes.
    pub fn take(&mut self, now: Millis) -> ServerChanges {
        if !self.pending.unavailable.is_empty() {
            self.unavailable_sent_at = Some(now);
        }
        std::mem::take(&mut self.pending)
    }
}
