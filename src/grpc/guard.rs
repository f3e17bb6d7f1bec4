//! What a client's connection may cost. Each limit is a store of frames that fills with time; who overdraws one has
//! its connection closed, and nobody else notices. Legitimate clients stay far below all of them.

use super::frames::{Frame, Kind, Seen};
use crate::interface::Micros;

/// RST_STREAM with CANCEL: what `rapid reset` sends by the thousand.
const RESETS: (f64, f64) = (200.0, 50.0);
const SETTINGS: (f64, f64) = (20.0, 1.0);
const PINGS: (f64, f64) = (50.0, 5.0);
/// DATA without a byte or an end, PRIORITY, and frames of kinds that nobody knows: each costs a turn, none does
/// anything.
const EMPTY: (f64, f64) = (50.0, 50.0);
/// A window's updates go with bytes that were read; these are for more than 60,000 of them a second.
const UPDATES: (f64, f64) = (20_000.0, 60_000.0);
/// Requests that did not come whole in time.
const SLOW: (f64, f64) = (8.0, 1.0);
/// Frames of one header block. h2 gives up with its sixth CONTINUATION, and would not say why.
const BLOCK_FRAMES: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Offence {
    RapidReset,
    SettingsFlood,
    PingFlood,
    EmptyFlood,
    UpdateFlood,
    Continuations,
    HeaderBytes,
    /// A request did not come whole in time.
    Slow,
    /// It takes nothing of what is sent to it.
    Stalled,
    /// More streams at once than it may have.
    Streams,
    /// Too much of something that h2 counts by itself.
    Other,
    /// No preface, or frames that break the protocol.
    Protocol,
}

impl Offence {
    pub const ALL: [Offence; 12] = [
        Offence::RapidReset,
        Offence::SettingsFlood,
        Offence::PingFlood,
        Offence::EmptyFlood,
        Offence::UpdateFlood,
        Offence::Continuations,
        Offence::HeaderBytes,
        Offence::Slow,
        Offence::Stalled,
        Offence::Streams,
        Offence::Other,
        Offence::Protocol,
    ];

    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Offence::RapidReset => "rapid_reset",
            Offence::SettingsFlood => "settings_flood",
            Offence::PingFlood => "ping_flood",
            Offence::EmptyFlood => "empty_flood",
            Offence::UpdateFlood => "update_flood",
            Offence::Continuations => "continuations",
            Offence::HeaderBytes => "header_bytes",
            Offence::Slow => "slow_request",
            Offence::Stalled => "stalled",
            Offence::Streams => "streams",
            Offence::Other => "other_flood",
            Offence::Protocol => "protocol",
        }
    }
}

#[derive(Debug)]
struct Store {
    level: f64,
    at: Micros,
    cap: f64,
    rate: f64,
}

impl Store {
    fn new((cap, rate): (f64, f64)) -> Store {
        Store { level: cap, at: 0, cap, rate }
    }

    fn draw(&mut self, now: Micros) -> bool {
        let filled = self.rate * now.saturating_sub(self.at) as f64 / 1e6;
        (self.level, self.at) = ((self.level + filled).min(self.cap), now);
        let drawn = self.level >= 1.0;
        if drawn {
            self.level -= 1.0;
        }
        drawn
    }
}

/// One client's connection, as its frames come in.
#[derive(Debug)]
pub struct Guard {
    resets: Store,
    settings: Store,
    pings: Store,
    empty: Store,
    updates: Store,
    slow: Store,
    most_block: usize,
    block_frames: usize,
    block_bytes: usize,
}

impl Guard {
    /// `most_block`: the bytes of one header block, as sent.
    pub fn new(most_block: usize) -> Guard {
        Guard {
            resets: Store::new(RESETS),
            settings: Store::new(SETTINGS),
            pings: Store::new(PINGS),
            empty: Store::new(EMPTY),
            updates: Store::new(UPDATES),
            slow: Store::new(SLOW),
            most_block,
            block_frames: 0,
            block_bytes: 0,
        }
    }

    /// Frames are judged as they begin: what they announce need not be waited for.
    pub fn frame(&mut self, now: Micros, seen: Seen) -> Option<Offence> {
        let Seen::Begins(frame) = seen else { return None };
        match frame.kind {
            Kind::Reset => Self::over(&mut self.resets, now, Offence::RapidReset),
            Kind::Settings => Self::over(&mut self.settings, now, Offence::SettingsFlood),
            Kind::Ping if !frame.is_ack() => Self::over(&mut self.pings, now, Offence::PingFlood),
            Kind::Ping => Self::over(&mut self.empty, now, Offence::PingFlood),
            Kind::Data if frame.length > 0 || frame.ends_stream() => None,
            Kind::Data | Kind::Priority | Kind::Other => {
                Self::over(&mut self.empty, now, Offence::EmptyFlood)
            }
            Kind::WindowUpdate => Self::over(&mut self.updates, now, Offence::UpdateFlood),
            Kind::Headers | Kind::Continuation => self.block(&frame),
            Kind::PushPromise | Kind::GoAway => None,
        }
    }

    /// A request that its route wants whole did not come so in time.
    pub fn slow(&mut self, now: Micros) -> Option<Offence> {
        Self::over(&mut self.slow, now, Offence::Slow)
    }

    fn over(store: &mut Store, now: Micros, offence: Offence) -> Option<Offence> {
        if store.draw(now) { None } else { Some(offence) }
    }

    fn block(&mut self, frame: &Frame) -> Option<Offence> {
        if frame.kind == Kind::Headers {
            (self.block_frames, self.block_bytes) = (0, 0);
        }
        self.block_frames += 1;
        self.block_bytes += frame.length;
        if self.block_bytes > self.most_block {
            return Some(Offence::HeaderBytes);
        }
        (self.block_frames > BLOCK_FRAMES).then_some(Offence::Continuations)
    }
}

#[cfg(test)]
mod tests;
