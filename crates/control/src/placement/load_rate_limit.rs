//! The rate limit of a service's weight store, as a token bucket.

use pathbank_coordination::types::Millis;

/// The fraction of the permitted loads that is used.
const USED_FRACTION: f64 = 0.95;
/// Loads that may begin at once.
const MAX_BURST: f64 = 3.0;

/// The tokens of one service: a load from the weight store takes one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadRateLimit {
    tokens: f64,
    refilled_at: Option<Millis>,
}

impl LoadRateLimit {
    /// Adds the tokens of the time since the last refill, for a store that permits `loads_per_s`.
    pub(super) fn refill(&mut self, now: Millis, loads_per_s: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at.unwrap_or(now)) as f64 / 1_000.0;
        self.tokens = (self.tokens + USED_FRACTION * loads_per_s * elapsed_s).min(MAX_BURST);
        self.refilled_at = Some(now);
    }

    /// Takes `cost` tokens. Returns whether there were as many; if not, none is taken.
    pub(super) fn try_take(&mut self, cost: f64) -> bool {
        let permitted = self.tokens >= cost;
        if permitted {
            self.tokens -= cost;
        }
        permitted
    }
}
