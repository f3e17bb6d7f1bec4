//! Handover between two processes of one host during an upgrade: the share of the host's limits that each
//! process may use, and when the new process may accept connections. Decides from the observed state of the
//! other process and does no I/O.
//!
//! For clients and peers, both processes are one host. While both run, each uses half of the host's limits;
//! the new process accepts connections only after the old one has announced that it does so. The tokens of a
//! rate limit are not handed over: the old process keeps at most half of them, and the new one starts with
//! none.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time after which the new process accepts connections although the other has not announced the half share.
/// The other process checks every `CHECK_INTERVAL`, so it hangs or is another program; what it uses is
/// unknown, and the new process keeps to its half.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(3);
/// Interval at which each process checks for the other.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of consecutive checks that must miss the other process before it counts as ended. A single check
/// may miss it while it makes a check itself.
const MISSES_UNTIL_ENDED: u32 = 2;

/// The observed state of the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerProcess {
    /// It runs.
    pub lives: bool,
    /// It announces that it uses half of the limits.
    pub halved: bool,
}

/// The state of this process in the handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Another process may run and use all of the limits; this one accepts no connections.
    Arriving,
    /// Both processes run, each with half of the limits.
    Together,
    /// Only this process runs, with all of the limits.
    Alone,
}

/// What this process may do until the next check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// This process may accept connections.
    pub accept: bool,
    /// It uses half of the limits and announces this.
    pub halved: bool,
}

/// Two processes of one host during an upgrade, from the view of one of them.
#[derive(Debug)]
pub struct Pair {
    state: State,
    started_at: Instant,
    /// Consecutive checks that did not find the other process.
    missed: u32,
}

impl Pair {
    /// Creates the state of a process that has just started.
    pub fn new(now: Instant) -> Pair {
        Pair { state: State::Arriving, started_at: now, missed: 0 }
    }

    /// Updates the state from a check of the other process, and returns what this process may do.
    pub fn check(&mut self, now: Instant, other: PeerProcess) -> Permissions {
        self.missed = if other.lives { 0 } else { self.missed + 1 };
        self.state = match self.state {
            _ if self.missed >= MISSES_UNTIL_ENDED => State::Alone,
            State::Arriving if other.lives && other.halved || now >= self.started_at + UNRESPONSIVE_AFTER => {
                State::Together
            }
            State::Alone if other.lives => State::Together,
            state => state,
        };
        Permissions { accept: self.state != State::Arriving, halved: self.state != State::Alone }
    }
}

/// The share of its limits that this process may use: all or half. Clones share the setting.
#[derive(Clone, Debug, Default)]
pub struct CapacityShare(Arc<AtomicBool>);

impl CapacityShare {
    /// Sets whether this process may use half of the limits or all.
    pub fn halve(&self, halved: bool) {
        self.0.store(halved, Ordering::Relaxed);
    }

    /// Returns this process's share of a limit; at least 1 while halved.
    pub fn of(&self, bound: usize) -> usize {
        if self.0.load(Ordering::Relaxed) { (bound / 2).max(1) } else { bound }
    }
}

#[cfg(test)]
mod tests;
