//! The system's wall clock: the median of the cores' wall clocks, as offsets from this machine's monotonic
//! clock. Jumps of the machine's own wall clock have no effect.

use crate::Millis;
use std::collections::BTreeMap;

/// For how long a sample of a core's clock is used.
const CLOCK_SAMPLE_TTL_MS: Millis = 15_000;

#[derive(Clone, Copy, Debug)]
struct ClockSample {
    offset: i128,
    at: Millis,
}

/// Offsets of the cores' clocks from this machine's monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    samples: BTreeMap<String, ClockSample>,
}

impl WallClock {
    /// Records a sample of a core's wall clock.
    pub fn observe(&mut self, now: Millis, core: &str, wall_clock_ms: u64) {
        let offset = i128::from(wall_clock_ms) - i128::from(now);
        self.samples.insert(core.to_owned(), ClockSample { offset, at: now });
        self.samples.retain(|_, sample| now < sample.at + CLOCK_SAMPLE_TTL_MS);
    }

    /// The wall clock, milliseconds since the Unix epoch. `own`: this machine's wall clock, returned while
    /// there is no sample.
    pub fn now(&self, now: Millis, own: u64) -> u64 {
        let mut offsets: Vec<i128> = self.samples.values().map(|sample| sample.offset).collect();
        offsets.sort_unstable();
        match offsets.get(offsets.len() / 2) {
            Some(offset) => u64::try_from(offset + i128::from(now)).unwrap_or(own),
            None => own,
        }
    }
}
