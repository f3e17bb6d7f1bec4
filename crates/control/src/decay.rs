//! Exponential decay: how much an observation still counts after some time.

use pathbank_coordination::types::Millis;

/// The factor by which a value of time `from` has decayed at time `to`. After `time_constant_ms` it is 1/e. A time before
/// `from` counts as `from`.
///
/// ```
/// use pathbank_control::decay::decay;
///
/// assert_eq!(decay(5, 5, 1_000.0), 1.0);
/// assert_eq!(decay(0, 1_000, 1_000.0), (-1.0_f64).exp());
/// ```
pub fn decay(from: Millis, to: Millis, time_constant_ms: f64) -> f64 {
    (-(to.saturating_sub(from) as f64) / time_constant_ms).exp()
}
