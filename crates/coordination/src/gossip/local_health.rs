//! Estimates whether this node itself is slow or cut off (Lifeguard's local health multiplier).

/// The score of a node in the worst health.
const MAX_SCORE: u32 = 8;

/// A score from 0 (healthy). For each point, the node waits one interval longer before it suspects others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalHealth(u32);

impl LocalHealth {
    /// Intervals to wait beyond the usual ones.
    pub(super) fn extra_intervals(self) -> u64 {
        u64::from(self.0)
    }

    /// Records a sign that this node may be the faulty one.
    pub(super) fn degrade(&mut self) {
        self.0 = (self.0 + 1).min(MAX_SCORE);
    }

    /// Records that a probe of this node was answered.
    pub(super) fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }
}
