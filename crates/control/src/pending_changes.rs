//! What is new of model servers and waits to be told, and when it is due.

use crate::directory::Millis;
use std::collections::BTreeSet;

/// That model servers leave is told at once, but no more often than this: where many leave, what came
/// meanwhile goes together.
const LEAVING_APART: Millis = 25;

/// Instances of which something is to be told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerChanges {
    /// They take no new work: for all edges.
    pub leaving: BTreeSet<String>,
    /// Otherwise changed: for edges that listen to this core.
    pub changed: BTreeSet<String>,
    /// Heard here first: for the other cores.
    pub relayed: BTreeSet<String>,
}

/// News of model servers that waits.
#[derive(Clone, Debug, Default)]
pub struct PendingChanges {
    waiting: ServerChanges,
    leaving_told_at: Option<Millis>,
}

impl PendingChanges {
    /// A model server takes no new work any more.
    pub fn note_leaving(&mut self, instance: String) {
        self.waiting.changed.remove(&instance);
        self.waiting.leaving.insert(instance);
    }

    /// Something else about a model server has changed.
    pub fn note_changed(&mut self, instance: String) {
        if !self.waiting.leaving.contains(&instance) {
            self.waiting.changed.insert(instance);
        }
    }

    /// The other cores have to hear of a model server.
    pub fn note_relayed(&mut self, instance: String) {
        self.waiting.relayed.insert(instance);
    }

    /// All that waits, if some of it cannot wait for others.
    pub fn take_urgent(&mut self, now: Millis) -> Option<ServerChanges> {
        let told_lately = self.leaving_told_at.is_some_and(|told| now < told + LEAVING_APART);
        (!self.waiting.leaving.is_empty() && !told_lately).then(|| self.take(now))
    }

    /// All that waits.
    pub fn take(&mut self, now: Millis) -> ServerChanges {
        if !self.waiting.leaving.is_empty() {
            self.leaving_told_at = Some(now);
        }
        std::mem::take(&mut self.waiting)
    }
}
