//! Until when a host may rest on its list of nodes: one small value, told what came and when. It knows no clock and no
//! sockets, and decides nothing; the module asks it.

use crate::interface::{Micros, News, Settings};

/// While nothing changes a watch says so this often.
pub const BEAT: Micros = 2_000_000;
/// What a watch misses that has fallen silent counts as told so long after that; and what there is to tell, so long
/// after discovery has moved.
const TOLD_SILENT: Micros = 6_000_000;
const TOLD_MOVED: Micros = 4_000_000;
/// The part of the time in which sends have to end that is kept back: for a turn on a busy core, and the way out.
const KEPT: f64 = 0.2;

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

#[derive(Clone, Debug, Default)]
pub struct Listing {
    stand: Stand,
    /// The watch tells its beat, so that its silence is seen.
    beats: bool,
    /// When the list was last known to be whole: by a line, by a beat, by the host's start.
    heard: Micros,
    /// The last call that failed.
    asked: Micros,
    called: Micros,
    moved: Option<Micros>,
}

impl Listing {
    pub fn note(&mut self, now: Micros, news: News, settings: &Settings) {
        match news {
            News::Beat if self.stand == Stand::Silent => {}
            News::Beat => (self.stand, self.heard, self.beats) = (Stand::Watched, now, true),
            News::Watched => {
                *self = Listing { stand: Stand::Watched, beats: true, heard: now, ..Listing::default() };
            }
            News::Changes | News::Full => {
                (self.heard, self.stand) = (now, Stand::Watched);
            }
            News::Cached if settings.must_subscribe => {
                *self = Listing { stand: Stand::Ended, heard: now, ..Listing::default() };
            }
            News::Cached => *self = Listing::default(),
            // A call without an answer may be a watch at the other end, silent since the call at the earliest.
            News::Silent if self.stand == Stand::Ended => {
                (self.stand, self.heard) = (Stand::Silent, self.called)
            }
            News::Silent => self.stand = Stand::Silent,
            News::Moved => self.moved = Some(now),
            // A call that fails tells nothing of what a silent watch missed. Where lists are pushed, an agent that
            // gives no answer at once has none: it learns nothing while discovery is down.
            News::Failed if self.stand == Stand::Silent && settings.must_subscribe => {}
            News::Failed if settings.must_subscribe => (self.stand, self.asked) = (Stand::Ended, self.called),
            News::Failed => (self.stand, self.asked, self.moved) = (Stand::Ended, now, None),
        }
    }

    /// The host asks for its list, at that time.
    pub fn call(&mut self, at: Micros) {
        self.called = at;
    }

    /// From then on a change may count as told that this host has not heard of, and the time is up in which sends to
    /// the node that it is about have to end.
    pub fn good_until(&self, settings: &Settings) -> Micros {
        let told = match self.stand {
            Stand::Untold => Micros::MAX,
            Stand::Watched if !self.beats => Micros::MAX,
            Stand::Watched | Stand::Silent => self.heard.saturating_add(TOLD_SILENT),
            Stand::Ended if settings.must_subscribe && settings.ask_within == 0 => Micros::MAX,
            Stand::Ended => {
                let within = if settings.must_subscribe { settings.ask_within } else { 0 };
                self.heard.max(self.asked).saturating_add(within)
            }
        };
        let moved = self.moved.map_or(Micros::MAX, |at| at.saturating_add(TOLD_MOVED));
        let left = ((1.0 - KEPT) * settings.stop_within as f64) as Micros;
        if settings.stop_within == 0 { Micros::MAX } else { told.min(moved).saturating_add(left) }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    /// What it shows, whether discovery is asked, the news, and how long the list is good.
    type Row = (&'static str, bool, &'static [(u64, News)], u64);

    /// The list's state after so much news, each so many tenths of a second after the start.
    fn after(asked: bool, news: &[(u64, News)]) -> u64 {
        let (ask_within, stop_within) = (10 * S, S);
        let settings = Settings { must_subscribe: asked, ask_within, stop_within, ..Settings::default() };
        let mut list = Listing::default();
        for (at, news) in news {
            let now = 100 * S + at * S / 10;
            list.call(now.saturating_sub(S));
            list.note(now, *news, &settings);
        }
        let until = list.good_until(&settings);
        if until == Micros::MAX { u64::MAX } else { (until - 100 * S) * 10 / S }
    }

    #[test]
    fn a_list_is_good_until_what_it_may_miss_is_told_and_the_time_to_stop_is_nearly_over() {
        use News::*;
        const EVER: u64 = u64::MAX;
        let rows: &[Row] = &[
            ("asked, a start", true, &[(0, Cached)], 108),
            ("asked, a start whose calls fail", true, &[(0, Cached), (50, Failed), (90, Failed)], 188),
            ("asked, it stands", true, &[(0, Cached), (10, Watched), (11, Full)], 79),
            ("asked, beats", true, &[(0, Cached), (10, Watched), (30, Beat), (50, Beat)], 118),
            ("asked, silent", true, &[(10, Watched), (30, Beat), (55, Silent)], 98),
            ("a failed call is no news", true, &[(10, Watched), (30, Beat), (55, Silent), (80, Failed)], 98),
            ("what a silent watch still says", true, &[(30, Watched), (55, Silent), (60, Beat)], 98),
            ("renewed", true, &[(30, Watched), (55, Silent), (80, Watched)], 148),
            ("asked, ended", true, &[(10, Watched), (30, Beat), (40, Failed)], 138),
            ("a call without an answer", true, &[(0, Cached), (40, Silent)], 98),
            ("and another one", true, &[(0, Cached), (40, Silent), (80, Silent)], 98),
            ("moved", true, &[(10, Watched), (30, Beat), (35, Moved), (50, Beat), (60, Failed)], 83),
            ("moved and stands there", true, &[(10, Watched), (35, Moved), (60, Watched)], 128),
            ("the module's new start beside a watch", true, &[(10, Watched), (20, Cached), (30, Beat)], 98),
            ("pushed, a start", false, &[(0, Cached)], EVER),
            ("pushed, beats", false, &[(0, Cached), (1, Watched), (21, Beat)], 89),
            ("pushed, silent", false, &[(1, Watched), (21, Beat), (46, Silent)], 89),
            ("pushed, the agent is silent", false, &[(1, Watched), (46, Silent), (47, Failed)], 55),
            ("pushed, on and on", false, &[(46, Silent), (47, Failed), (52, Failed), (57, Failed)], 65),
            ("no beats, as on the simulator", true, &[(0, Cached), (10, Full), (30, Changes)], EVER),
            ("no beats, broken", true, &[(0, Cached), (10, Full), (30, Failed)], 128),
        ];
        for (what, asked, news, until) in rows {
            assert_eq!(after(*asked, news), *until, "{what}");
        }
    }

    #[test]
    fn where_the_settings_have_no_rule_the_list_is_always_good() {
        let mut list = Listing::default();
        let settings = Settings { must_subscribe: true, ..Settings::default() };
        list.note(S, News::Watched, &settings);
        list.note(4 * S, News::Silent, &settings);
        assert_eq!(list.good_until(&settings), Micros::MAX);
    }
}
