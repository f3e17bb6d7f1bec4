//! The process's clocks.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time of the steady clock: milliseconds since the first call in this process, plus one second, so that
/// 0 is always in the past.
pub fn now() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64 + 1_000
}

/// This machine's time of day, milliseconds since the start of 1970.
pub fn wall_clock() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// How long it is until a time of the steady clock; zero if that time has passed.
pub fn until(time: u64) -> Duration {
    Duration::from_millis(time.saturating_sub(now()))
}

/// A random number that differs at each start of a process.
pub fn entropy() -> u64 {
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64);
    fastrand::u64(..) ^ clock.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
