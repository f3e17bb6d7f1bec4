//! Pressure levels by the number of open requests. A level is left at a lower threshold than it is entered
//! at, and only after a minimum time, so that a load close to a threshold does not make the level alternate.

use crate::interface::Micros;

/// How close the number of open requests is to its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Below all thresholds.
    Calm,
    /// Above the first threshold.
    Busy,
    /// Close to the limit.
    Full,
}

/// Fractions of the limit at which the level `Busy` is entered and left.
const BUSY: (f64, f64) = (0.5, 0.35);
/// Fractions of the limit at which the level `Full` is entered and left.
const FULL: (f64, f64) = (0.9, 0.75);
/// Minimum time in a level before it is left for a lower one, microseconds.
const MIN_LEVEL_TIME: Micros = 1_000_000;

impl Level {
    /// Returns the name in events.
    pub fn name(self) -> &'static str {
        match self {
            Level::Calm => "calm",
            Level::Busy => "busy",
            Level::Full => "full",
        }
    }
}

/// The current pressure level.
#[derive(Debug)]
pub struct Pressure {
    level: Level,
    since: Micros,
}

impl Default for Pressure {
    fn default() -> Pressure {
        Pressure { level: Level::Calm, since: 0 }
    }
}

impl Pressure {
    /// Updates the level from the number of open requests. Returns the previous and the new level if it
    /// changed. A higher level is entered without delay.
    pub fn note(&mut self, now: Micros, open: usize, most: usize) -> Option<(Level, Level)> {
        let fraction = open as f64 / most.max(1) as f64;
        let reached =
            |level: Level, (up, down): (f64, f64)| fraction >= if self.level >= level { down } else { up };
        let level = match (reached(Level::Full, FULL), reached(Level::Busy, BUSY)) {
            (true, _) => Level::Full,
            (false, true) => Level::Busy,
            (false, false) => Level::Calm,
        };
        let was = self.level;
        if level == was || level < was && now < self.since + MIN_LEVEL_TIME {
            return None;
        }
        (self.level, self.since) = (level, now);
        Some((was, level))
    }
}

#[cfg(test)]
mod tests;
