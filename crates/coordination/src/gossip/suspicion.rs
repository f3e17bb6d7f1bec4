//! Suspects, and until when each may refute (SWIM, section 4.2).

use super::types::{Micros, NodeId};
use std::collections::BTreeMap;

/// The suspects by node, each with the end of its timeout.
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

    /// Gives all suspects that much more time.
    pub(super) fn extend_all(&mut self, by: Micros) {
        self.deadlines.values_mut().for_each(|deadline| *deadline += by);
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = NodeId> {
        self.deadlines.keys().copied()
    }

    pub(super) fn deadlines(&self) -> impl Iterator<Item = Micros> {
        self.deadlines.values().copied()
    }

    /// Suspects whose timeout is over.
    pub(super) fn expired(&self, now: Micros) -> Vec<NodeId> {
        self.deadlines.iter().filter(|(_, deadline)| now >= **deadline).map(|(node, _)| *node).collect()
    }
}
