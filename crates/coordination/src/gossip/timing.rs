//! The intervals of the failure detector, and the bound on convergence that follows from them.

use super::types::Micros;

/// A probe fails after this many intervals plus the extra ones of [`super::local_health`]. One lost datagram,
/// or the loss of all datagrams of one attempt, does not make a node suspect.
pub(super) const ACK_TIMEOUT_INTERVALS: u64 = 2;
/// How many intervals a suspect has to refute the suspicion, in a fleet of up to ten nodes. A fleet ten times
/// as large adds as many again: the suspicion has to reach the suspect, and the refutation has to come back.
const SUSPICION_INTERVALS: f64 = 3.0;
/// A node counts as joined after this many intervals even if its view is not complete.
pub(super) const JOIN_INTERVALS: u64 = 10;
/// A node that was not ticked for more than this many intervals has missed datagrams.
pub(super) const STALL_INTERVALS: u64 = 3;

/// The intervals of the failure detector. All nodes of a fleet must have the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipTiming {
    /// The interval in which each node probes one other node (SWIM's protocol period).
    pub probe_interval_us: Micros,
    /// How many nodes are asked to probe a node that did not answer (SWIM's k).
    pub indirect_probes: usize,
}

impl Default for GossipTiming {
    fn default() -> Self {
        GossipTiming { probe_interval_us: 150_000, indirect_probes: 3 }
    }
}

impl GossipTiming {
    /// How long after the last fault the views of `node_count` nodes are all the same and correct, with one
    /// datagram in ten lost, microseconds. A dead node is probed within 7 intervals, suspected after two more
    /// and declared dead after the suspicion timeout. All nodes learn of it within one and a half intervals
    /// for each doubling of the fleet.
    pub fn convergence_bound(&self, node_count: usize) -> Micros {
        let doublings = f64::from(usize::BITS - node_count.leading_zeros());
        let intervals =
            7.0 + ACK_TIMEOUT_INTERVALS as f64 + suspicion_intervals(node_count) + 1.5 * doublings;
        (intervals * self.probe_interval_us as f64) as Micros
    }

    /// How long a suspect among `node_count` nodes has to refute the suspicion, microseconds.
    pub(super) fn suspicion_timeout(&self, node_count: usize) -> Micros {
        (suspicion_intervals(node_count) * self.probe_interval_us as f64) as Micros
    }
}

fn suspicion_intervals(node_count: usize) -> f64 {
    SUSPICION_INTERVALS * (1.0 + (node_count as f64 / 10.0).log10().max(0.0))
}
