//! Named levels of how full the places for requests are, with bounds for going up and others for going down, and a
//! time that a level holds at least: a load at a bound does not make it swing.

use crate::interface::Micros;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    Calm,
    Busy,
    Full,
}

/// Parts of the places at which a level is entered from below, and left again.
const BUSY: (f64, f64) = (0.5, 0.35);
const FULL: (f64, f64) = (0.9, 0.75);
const HOLD: Micros = 1_000_000;

impl Level {
    pub fn name(self) -> &'static str {
        match self {
            Level::Calm => "calm",
            Level::Busy => "busy",
            Level::Full => "full",
        }
    }
}

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
    /// The level before and the one now, where it has changed. Going up is never put off.
    pub fn note(&mut self, now: Micros, open: usize, most: usize) -> Option<(Level, Level)> {
        let part = open as f64 / most.max(1) as f64;
        let bound =
            |level: Level, (up, down): (f64, f64)| part >= if self.level >= level { down } else { up };
        let level = match (bound(Level::Full, FULL), bound(Level::Busy, BUSY)) {
            (true, _) => Level::Full,
            (false, true) => Level::Busy,
            (false, false) => Level::Calm,
        };
        let was = self.level;
        if level == was || level < was && now < self.since + HOLD {
            return None;
        }
        (self.level, self.since) = (level, now);
        Some((was, level))
    }
}

#[cfg(test)]
mod tests;
