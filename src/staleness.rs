//! Computes until when a host may use its node list, from the updates that arrived and their times. It has no
//! clock and does no I/O; the policy reads the result.
//!
//! Discovery is the service that serves the node list. A watch is a call to it that stays open and receives
//! changes. A change counts as told from the time at which the platform expects the host to know it. Lists
//! are pushed where `must_subscribe` is false: an agent, which answers calls at once, then passes them on
//! to the host.

use crate::interface::{ListUpdate, Micros, Settings};

/// Interval of heartbeats on a watch without changes, microseconds.
pub const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// Time after which a change counts as told (see the module), microseconds. The time runs from the moment
/// at which discovery had the change and was reachable, whether the watch became silent or calls failed,
/// were refused or were given up.
pub const CHANGE_TOLD_AFTER: Micros = 6_000_000;
/// The same time where discovery has moved to another address, counted from the move, microseconds.
const CHANGE_TOLD_AFTER_MOVE: Micros = 4_000_000;
/// Time that discovery takes for one call, microseconds. It serves calls one after the other: 300 hosts take
/// 7.2 s.
pub const CALL_DURATION: Micros = 24_000;
/// Time after which discovery fails a waiting call, microseconds.
const CALL_WAITS: Micros = 2_000_000;
/// Fraction of the time for stopping sends that is reserved for the scheduling delay of a busy event loop and
/// for the transfer.
const RESERVED: f64 = 0.2;

/// Whether a failed call shows that discovery is down. Hosts spread their calls at random over the time in
/// which their lists are still usable. If discovery can serve the calls that remain at its end before one of
/// them waits too long, a call fails only because discovery is down. With more hosts, a call may also fail
/// because it waited too long.
fn failed_when_down(hosts: u32) -> bool {
    CALL_DURATION * u64::from(hosts) < CHANGE_TOLD_AFTER + CALL_WAITS
}

/// The state of the watch on the node list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum WatchState {
    /// The source of the list reports nothing of a watch.
    #[default]
    Unknown,
    /// A watch is established.
    Watched,
    /// The connection of the watch is open, but nothing arrives: the changes that it misses count as told
    /// after `CHANGE_TOLD_AFTER`.
    Silent,
    /// There is no watch: it was closed, or the host has just started.
    Ended,
}

/// Until when the node list may be used.
#[derive(Clone, Debug, Default)]
pub struct Staleness {
    watch: WatchState,
    /// The watch sends heartbeats, so that its silence is detected.
    has_heartbeat: bool,
    /// When the list was last known to be complete: by an update, by a heartbeat, or by the host's start.
    complete_at: Micros,
    /// With `must_subscribe`, when the last call that failed was made; otherwise when the last failure
    /// arrived.
    failed_call: Micros,
    /// When the last call that failed because discovery was unreachable was made.
    unreachable_call: Micros,
    /// When the last call was made.
    last_call: Micros,
    /// When discovery moved to another address.
    moved: Option<Micros>,
}

impl Staleness {
    /// Applies an update of the node list.
    pub fn note(&mut self, now: Micros, news: ListUpdate, settings: &Settings) {
        match news {
            ListUpdate::Heartbeat if self.watch == WatchState::Silent => {}
            ListUpdate::Heartbeat => {
                (self.watch, self.complete_at, self.has_heartbeat) = (WatchState::Watched, now, true)
            }
            ListUpdate::Subscribed => {
                *self = Staleness {
                    watch: WatchState::Watched,
                    has_heartbeat: true,
                    complete_at: now,
                    ..Staleness::default()
                };
            }
            ListUpdate::Changes | ListUpdate::Full => {
                (self.complete_at, self.watch) = (now, WatchState::Watched);
            }
            ListUpdate::Cached if settings.must_subscribe => {
                *self = Staleness { watch: WatchState::Ended, complete_at: now, ..Staleness::default() };
            }
            ListUpdate::Cached => *self = Staleness::default(),
            // A call without an answer counts as a silent watch too, since discovery may have established
            // one. Changes that were missed before the call count as well.
            ListUpdate::TimedOut => self.watch = WatchState::Silent,
            // After several moves, the time runs from the first: its missed changes don't wait for the second
            // move.
            ListUpdate::Moved => self.moved = self.moved.or(Some(now)),
            // A failed call doesn't show what a silent watch missed. Where lists are pushed, the failed
            // call ends the watch even so: an agent that does not answer at once has no list, and learns
            // nothing while discovery is down.
            ListUpdate::Failed if self.watch == WatchState::Silent && settings.must_subscribe => {}
            ListUpdate::Failed if settings.must_subscribe => {
                (self.watch, self.failed_call) = (WatchState::Ended, self.last_call);
                if failed_when_down(settings.hosts) {
                    self.unreachable_call = self.last_call;
                }
            }
            ListUpdate::Failed => (self.watch, self.failed_call, self.moved) = (WatchState::Ended, now, None),
        }
    }

    /// Records that the host calls discovery for its list at the given time.
    pub fn call(&mut self, at: Micros) {
        self.last_call = at;
    }

    /// Returns the time until which the list may be used. After it, there may be a change that counts as told
    /// although this host did not receive it, and whose time for stopping sends to the node has passed.
    pub fn good_until(&self, settings: &Settings) -> Micros {
        let told = match self.watch {
            WatchState::Unknown => Micros::MAX,
            WatchState::Watched if !self.has_heartbeat => Micros::MAX,
            WatchState::Watched | WatchState::Silent => {
                self.complete_at.max(self.unreachable_call).saturating_add(CHANGE_TOLD_AFTER)
            }
            WatchState::Ended if settings.must_subscribe && settings.max_unsubscribed == 0 => Micros::MAX,
            WatchState::Ended if settings.must_subscribe => {
                let by_settings =
                    self.complete_at.max(self.failed_call).saturating_add(settings.max_unsubscribed);
                by_settings.min(self.complete_at.max(self.unreachable_call).saturating_add(CHANGE_TOLD_AFTER))
            }
            WatchState::Ended => self.complete_at.max(self.failed_call),
        };
        let moved = self.moved.map_or(Micros::MAX, |at| at.saturating_add(CHANGE_TOLD_AFTER_MOVE));
        let stop_time = ((1.0 - RESERVED) * settings.drain_grace as f64) as Micros;
        if settings.drain_grace == 0 { Micros::MAX } else { told.min(moved).saturating_add(stop_time) }
    }
}

#[cfg(test)]
mod tests;
