//! The intervals of the failure detector, and the bound on convergence that follows from them.

use super::types::Micros;

/// A probe is given up after this many intervals, and local health more: one lost datagram, or one round of
/// them, does not make a node suspect.
pub(super) const ACK_TIMEOUT_INTERVALS: u64 = 2;
/// A suspect has this many intervals to refute, and as many again for each tenfold of the fleet beyond ten:
/// the suspicion has to reach it, and its refutation has to come back.
const SUSPICION_INTERVALS: f64 = 3.0;
/// A node takes part like all others after this many intervals, whether its view is complete or not.
pub(super) const JOIN_INTERVALS: u64 = 10;
/// A node that was not ticked for this many intervals has missed what was sent meanwhile.
pub(super) const STALL_INTERVALS: u64 = 3;

/// The intervals of the failure detector. All nodes of a fleet have to have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipTiming {
    /// Each node probes one other node in each of these (SWIM's protocol period).
    pub probe_interval_us: Micros,
    /// Nodes that are asked to probe one that did not answer (SWIM's k).
    pub indirect_probes: usize,
}

impl Default for GossipTiming {
    fn default() -> Self {
        GossipTiming { probe_interval_us: 150_000, indirect_probes: 3 }
    }
}

impl GossipTiming {
    /// How long after the last fault all views of so many nodes are the same and true, with one datagram in
    /// ten lost, microseconds. A dead node is probed within 7 intervals, suspected after two more and
    /// declared dead after the suspicion's timeout; all learn of it in one and a half intervals for each
    /// doubling of the fleet.
    pub fn convergence_bound(&self, node_count: usize) -> Micros {
        let doublings = f64::from(usize::BITS - node_count.leading_zeros());
        let intervals =
            7.0 + ACK_TIMEOUT_INTERVALS as f64 + suspicion_intervals(node_count) + 1.5 * doublings;
        (intervals * self.probe_interval_us as f64) as Micros
    }

    /// How long a suspect among so many nodes has to refute, microseconds.
    pub(super) fn suspicion_timeout(&self, node_count: usize) -> Micros {
        (suspicion_intervals(node_count) * self.probe_interval_us as f64) as Micros
    }
}

fn suspicion_intervals(node_count: usize) -> f64 {
    SUSPICION_INTERVALS * (1.0 + (node_count as f64 / 10.0).log10().max(0.0))
}
