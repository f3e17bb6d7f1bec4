//! The system's time of day: the median of the cores' clocks, held against this machine's steady clock. A
//! machine whose own time of day jumps does not notice.

use crate::Millis;
use std::collections::BTreeMap;

/// What a core told longer ago does not count, milliseconds.
const CLOCK_SAMPLE_TTL_MS: Millis = 15_000;

#[derive(Clone, Copy, Debug)]
struct ClockSample {
    offset: i128,
    at: Millis,
}

/// Offsets of the cores' clocks from this machine's steady clock.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    samples: BTreeMap<String, ClockSample>,
}

impl WallClock {
    /// A core told its time of day.
    pub fn observe(&mut self, now: Millis, core: &str, wall_clock_ms: u64) {
        let offset = i128::from(wall_clock_ms) - i128::from(now);
        self.samples.insert(core.to_owned(), ClockSample { offset, at: now });
        self.samples.retain(|_, sample| now < sample.at + CLOCK_SAMPLE_TTL_MS);
    }

    /// The time of day, milliseconds since the start of 1970; `own`: this machine's, for as long as no core
    /// told.
    pub fn now(&self, now: Millis, own: u64) -> u64 {
        let mut offsets: Vec<i128> = self.samples.values().map(|sample| sample.offset).collect();
        offsets.sort_unstable();
        match offsets.get(offsets.len() / 2) {
            Some(offset) => u64::try_from(offset + i128::from(now)).unwrap_or(own),
            None => own,
        }
    }
}
