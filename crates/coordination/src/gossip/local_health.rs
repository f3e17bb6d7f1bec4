//! How well this node itself hears others (Lifeguard's local health multiplier).

/// The worst score.
const MAX_SCORE: u32 = 8;

/// A score from 0, healthy. Each point makes the node wait for one interval more before it suspects others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalHealth(u32);

impl LocalHealth {
    /// Intervals to wait beyond the usual ones.
    pub(super) fn extra_intervals(self) -> u64 {
        u64::from(self.0)
    }

    /// The node may be at fault itself.
    pub(super) fn degrade(&mut self) {
        self.0 = (self.0 + 1).min(MAX_SCORE);
    }

    /// A probe was answered.
    pub(super) fn improve(&mut self) {
        self.0 = self.0.saturating_sub(1);
    }
}
