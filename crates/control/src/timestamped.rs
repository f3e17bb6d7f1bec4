//! Values that count for a limited time after they were reported.

use pathbank_coordination::types::Millis;

/// A value and the time at which it was reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timestamped<T> {
    /// When it was reported, milliseconds.
    pub at: Millis,
    /// The value.
    pub value: T,
}

impl<T> Timestamped<T> {
    /// Whether the value is younger than `ttl_ms`.
    pub fn is_fresh(&self, now: Millis, ttl_ms: Millis) -> bool {
        now < self.at + ttl_ms
    }

    /// The value, if it is younger than `ttl_ms`.
    pub fn fresh(&self, now: Millis, ttl_ms: Millis) -> Option<&T> {
        self.is_fresh(now, ttl_ms).then_some(&self.value)
    }
}
