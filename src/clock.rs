//! The module's one clock: Unix microseconds at the start plus monotonic time, so that a node's `started_ms`
//! fits it and a step of the system's clock never takes it back.

use crate::interface::Micros;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{Duration, Instant};

/// The policy's clock: microseconds since 1970 at the start, monotonic from then on.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: micros(unix), start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.unix + micros(self.start.elapsed())
    }

    /// A time of this clock as tokio's `Instant`.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

/// The time of leases: monotonic, from any beginning. What is set off is for rehearsals with clocks that differ.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    start: Instant,
    ahead: Micros,
    ppm: i64,
}

impl Pace {
    /// A clock that is `ahead` microseconds ahead and runs faster by `ppm` millionths.
    pub fn new(ahead: Micros, ppm: i64) -> Pace {
        Pace { start: Instant::now(), ahead, ppm }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        let passed = i128::from(micros(self.start.elapsed()));
        let set = passed + passed * i128::from(self.ppm) / 1_000_000;
        // It begins at 1: a time of 0 is none.
        self.ahead + 1 + u64::try_from(set).unwrap_or(0)
    }
}

/// A duration in microseconds.
pub fn micros(time: Duration) -> Micros {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
