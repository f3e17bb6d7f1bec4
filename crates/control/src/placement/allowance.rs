//! Loads that the weight store permits.

use crate::directory::Millis;

/// Of the loads that the weight store permits, so much is used.
const LOADS_USED: f64 = 0.95;
/// Loads that may follow each other at once.
const LOAD_BURST: f64 = 3.0;

/// Loads that may still begin.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadAllowance {
    level: f64,
    filled: Option<Millis>,
}

impl LoadAllowance {
    /// Time has passed at a store that permits so many loads a second.
    pub(super) fn fill(&mut self, now: Millis, per_s: f64) {
        let passed = now.saturating_sub(self.filled.unwrap_or(now)) as f64 / 1_000.0;
        self.level = (self.level + LOADS_USED * per_s * passed).min(LOAD_BURST);
        self.filled = Some(now);
    }

    /// Takes a load that counts for so much. Returns whether it may begin.
    pub(super) fn take(&mut self, cost: f64) -> bool {
        let allowed = self.level >= cost;
        if allowed {
            self.level -= cost;
        }
        allowed
    }
}
