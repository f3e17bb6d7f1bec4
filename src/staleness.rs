//! Until when a host may rest on its list of nodes: one small value, told what came and when. It knows no
//! clock and no sockets, and decides nothing; the module asks it.

use crate::interface::{ListUpdate, Micros, Settings};

/// While nothing changes a watch says so this often.
pub const BEAT: Micros = 2_000_000;
/// A change counts as told so long after discovery had it and could be reached, whatever fell silent, failed,
/// was refused or given up; and so long after discovery has moved.
pub const TOLD: Micros = 6_000_000;
const TOLD_MOVED: Micros = 4_000_000;
/// Discovery works through its calls in turn, each in about `CALL_TAKES` (7.2 s for 300 hosts, as measured),
/// and fails those that wait for `CALL_WAITS`.
pub const CALL_TAKES: Micros = 24_000;
const CALL_WAITS: Micros = 2_000_000;
/// The part of the time in which sends have to end that is kept back: for a turn on a busy core, and the way
/// out.
const KEPT: f64 = 0.2;

/// Hosts draw their calls over the time in which their list is still good. While what is left in the queue at
/// its end takes less than a call may wait, one that fails does so because discovery is down; of more hosts
/// that cannot be said.
fn failed_when_down(hosts: u32) -> bool {
    CALL_TAKES * u64::from(hosts) < TOLD + CALL_WAITS
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stand {
    /// Whoever tells of the list tells nothing of a watch.
    #[default]
    Untold,
    /// A watch stands.
    Watched,
    /// Its connection stands, but nothing comes; what it misses is on its way to count as told.
    Silent,
    /// There is none: it ended in order, or the host has just started.
    Ended,
}

/// Until when the node list may be used.
#[derive(Clone, Debug, Default)]
pub struct Staleness {
    stand: Stand,
    /// The watch tells its beat, so that its silence is seen.
    beats: bool,
    /// When the list was last known to be whole: by a line, by a beat, by the host's start.
    heard: Micros,
    /// The last call that failed; and the last that failed because discovery could not be reached.
    asked: Micros,
    down: Micros,
    called: Micros,
    moved: Option<Micros>,
}

impl Staleness {
    /// Something came of the node list.
    pub fn note(&mut self, now: Micros, news: ListUpdate, settings: &Settings) {
        match news {
            ListUpdate::Heartbeat if self.stand == Stand::Silent => {}
            ListUpdate::Heartbeat => (self.stand, self.heard, self.beats) = (Stand::Watched, now, true),
            ListUpdate::Subscribed => {
                *self = Staleness { stand: Stand::Watched, beats: true, heard: now, ..Staleness::default() };
            }
            ListUpdate::Changes | ListUpdate::Full => {
                (self.heard, self.stand) = (now, Stand::Watched);
            }
            ListUpdate::Cached if settings.must_subscribe => {
                *self = Staleness { stand: Stand::Ended, heard: now, ..Staleness::default() };
            }
            ListUpdate::Cached => *self = Staleness::default(),
            // So is a call without an answer: it may be a watch at the other end. What was missed before it
            // counts too.
            ListUpdate::TimedOut => self.stand = Stand::Silent,
            // What the first of several places had is not told later for the second.
            ListUpdate::Moved => self.moved = self.moved.or(Some(now)),
            // A call that fails tells nothing of what a silent watch missed. Where lists are pushed, an agent
            // that gives no answer at once has none: it learns nothing while discovery is down.
            ListUpdate::Failed if self.stand == Stand::Silent && settings.must_subscribe => {}
            ListUpdate::Failed if settings.must_subscribe => {
                (self.stand, self.asked) = (Stand::Ended, self.called);
                if failed_when_down(settings.hosts) {
                    self.down = self.called;
                }
            }
            ListUpdate::Failed => (self.stand, self.asked, self.moved) = (Stand::Ended, now, None),
        }
    }

    /// The host asks for its list, at that time.
    pub fn call(&mut self, at: Micros) {
        self.called = at;
    }

    /// From then on a change may count as told that this host has not heard of, and the time is up in which
    /// sends to the node that it is about have to end.
    pub fn good_until(&self, settings: &Settings) -> Micros {
        let told = match self.stand {
            Stand::Untold => Micros::MAX,
            Stand::Watched if !self.beats => Micros::MAX,
            Stand::Watched | Stand::Silent => self.heard.max(self.down).saturating_add(TOLD),
            Stand::Ended if settings.must_subscribe && settings.ask_within == 0 => Micros::MAX,
            Stand::Ended if settings.must_subscribe => {
                let by_settings = self.heard.max(self.asked).saturating_add(settings.ask_within);
                by_settings.min(self.heard.max(self.down).saturating_add(TOLD))
            }
            Stand::Ended => self.heard.max(self.asked),
        };
        let moved = self.moved.map_or(Micros::MAX, |at| at.saturating_add(TOLD_MOVED));
        let left = ((1.0 - KEPT) * settings.stop_within as f64) as Micros;
        if settings.stop_within == 0 { Micros::MAX } else { told.min(moved).saturating_add(left) }
    }
}

#[cfg(test)]
mod tests;
