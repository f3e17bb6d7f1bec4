//! Anti-entropy: nodes whose views differ exchange digests of blocks, and the records of blocks that differ.

use super::datagram::{Body, MAX_RECORDS};
use super::types::{NodeId, NodeRecord};
use super::view::View;

/// Maximum number of repairs that a node starts in one probe interval; at most one of them with each peer.
const MAX_REPAIRS_PER_INTERVAL: u32 = 4;
/// Maximum number of datagrams that answer one list of digests.
const MAX_REPAIR_DATAGRAMS: usize = 4;

/// The repairs that were started in this probe interval.
#[derive(Debug, Default)]
pub(super) struct RepairBudget {
    started: u32,
    peers: Vec<NodeId>,
}

impl RepairBudget {
    /// A new probe interval begins.
    pub(super) fn reset(&mut self) {
        self.started = 0;
        self.peers.clear();
    }

    /// Whether a repair with that peer may start; if so, it counts.
    pub(super) fn try_start(&mut self, peer: NodeId) -> bool {
        let allowed = self.started < MAX_REPAIRS_PER_INTERVAL && !self.peers.contains(&peer);
        if allowed {
            self.started += 1;
            self.peers.push(peer);
        }
        allowed
    }
}

/// The records of blocks whose digests differ from a peer's. If they need too many datagrams, some of these
/// are drawn at random, and later repairs send the rest.
pub(super) fn repair_datagrams(view: &View, digests: &[u32], rng: &mut fastrand::Rng) -> Vec<Body> {
    let differing = view.differing(digests);
    let mut chunks: Vec<Vec<(NodeId, NodeRecord)>> =
        differing.chunks(MAX_RECORDS).map(<[(NodeId, NodeRecord)]>::to_vec).collect();
    rng.shuffle(&mut chunks);
    chunks.into_iter().take(MAX_REPAIR_DATAGRAMS).map(Body::Repair).collect()
}
