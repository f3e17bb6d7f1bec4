//! The clocks of the policy and of leases. The policy's clock counts Unix microseconds at the start plus
//! monotonic time, so that a node's `started_ms` is comparable to it and a step of the system clock never
//! sets it back.

use crate::interface::Micros;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{Duration, Instant};

/// The policy's clock: Unix time in microseconds at the start, monotonic from then on.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The Unix time at `start`.
    unix: Micros,
    start: Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: micros(unix), start: Instant::now() }
    }

    /// Returns the current time in microseconds.
    pub fn now(&self) -> Micros {
        self.unix + micros(self.start.elapsed())
    }

    /// Converts a time of this clock to tokio's `Instant`.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

/// The clock of leases: monotonic, with an arbitrary start. The offset and drift let rehearsals run hosts
/// with different clocks.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    start: Instant,
    ahead: Micros,
    ppm: i64,
}

impl LeaseClock {
    /// Starts a clock that is `ahead` microseconds ahead and runs faster by `ppm` parts per million.
    pub fn new(ahead: Micros, ppm: i64) -> LeaseClock {
        LeaseClock { start: Instant::now(), ahead, ppm }
    }

    /// Returns the current time in microseconds.
    pub fn now(&self) -> Micros {
        let passed = i128::from(micros(self.start.elapsed()));
        let drifted = passed + passed * i128::from(self.ppm) / 1_000_000;
        // The clock starts at 1, because a time of 0 means none.
        self.ahead + 1 + u64::try_from(drifted).unwrap_or(0)
    }
}

/// Converts a duration to microseconds, at most `u64::MAX`.
pub fn micros(time: Duration) -> Micros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
