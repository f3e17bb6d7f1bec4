//! The recent error rate of a model server.

use crate::Millis;

/// Weight of one request in the moving average.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Time in which the rate decays to 1/e without requests, milliseconds, so that the server is used again.
const DECAY_MS: f64 = 8_000.0;

/// An exponential moving average of errors, 0 to 1, that decays over time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ErrorRate {
    rate: f64,
    updated_at: Millis,
}

impl ErrorRate {
    /// Records how a request ended. `error`: 0 for an answer, 1 for a failure, or a number between.
    pub(super) fn record(&mut self, now: Millis, error: f64) {
        let known = self.value(now);
        self.rate = known + SAMPLE_WEIGHT * (error - known);
        self.updated_at = now;
    }

    /// The error rate at `now`.
    pub(super) fn value(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64 / DECAY_MS;
        self.rate * (-age).exp()
    }
}
