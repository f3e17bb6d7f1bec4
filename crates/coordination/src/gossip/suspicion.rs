//! The suspects, and the time by which each has to refute the suspicion (SWIM, section 4.2).

use super::types::{Micros, NodeId};
use std::collections::BTreeMap;

/// The suspects, each with its deadline.
#[derive(Debug, Default)]
pub(super) struct Suspicions {
    deadlines: BTreeMap<NodeId, Micros>,
}

impl Suspicions {
    pub(super) fn start(&mut self, node: NodeId, deadline: Micros) {
        self.deadlines.insert(node, deadline);
    }

    pub(super) fn end(&mut self, node: NodeId) {
        self.deadlines.remove(&node);
    }

    /// Extends the deadline of every suspect.
    pub(super) fn extend_all(&mut self, by: Micros) {
        self.deadlines.values_mut().for_each(|deadline| *deadline += by);
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = NodeId> {
        self.deadlines.keys().copied()
    }

    pub(super) fn deadlines(&self) -> impl Iterator<Item = Micros> {
        self.deadlines.values().copied()
    }

    /// The suspects whose deadline has passed.
    pub(super) fn expired(&self, now: Micros) -> Vec<NodeId> {
        self.deadlines.iter().filter(|(_, deadline)| now >= **deadline).map(|(node, _)| *node).collect()
    }
}
