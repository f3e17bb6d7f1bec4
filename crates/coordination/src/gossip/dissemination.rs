//! Chooses the records that are piggybacked on other messages (SWIM, section 4.1).

use super::datagram::MAX_RECORDS;
use super::types::{NodeId, NodeRecord, NodeState};
use super::view::View;
use std::collections::BTreeMap;

/// Each node sends a record this many times for each doubling of the fleet.
const RETRANSMIT_FACTOR: u32 = 3;

/// Nodes whose records are being passed on, and how often each has been.
#[derive(Debug, Default)]
pub(super) struct Dissemination {
    transmissions: BTreeMap<NodeId, u32>,
}

impl Dissemination {
    /// Starts to pass on a node's changed record.
    pub(super) fn enqueue(&mut self, node: NodeId) {
        self.transmissions.insert(node, 0);
    }

    /// The records for a datagram to a node: first the record of that node if it says that the node is
    /// suspect, dead or has left, so that the node can refute it; then the records that were sent least
    /// often.
    pub(super) fn piggyback(&mut self, to: NodeId, view: &View) -> Vec<(NodeId, NodeRecord)> {
        let mut records = Vec::with_capacity(MAX_RECORDS);
        let receivers_own = view.record(to).filter(|known| !known.incarnation.is_unknown());
        records.extend(receivers_own.filter(|known| known.state > NodeState::Alive).map(|known| (to, known)));
        let mut least_sent: Vec<(u32, NodeId)> =
            self.transmissions.iter().map(|(node, sent)| (*sent, *node)).collect();
        least_sent.sort_unstable();
        let free = MAX_RECORDS - records.len();
        for (sent, node) in least_sent.into_iter().take(free) {
            records.extend(view.record(node).map(|record| (node, record)));
            if sent + 1 >= max_transmissions(view.node_count()) {
                self.transmissions.remove(&node);
            } else {
                self.transmissions.insert(node, sent + 1);
            }
        }
        records
    }
}

fn max_transmissions(node_count: usize) -> u32 {
    RETRANSMIT_FACTOR * (usize::BITS - node_count.leading_zeros())
}
