//! Two processes of one head, while one takes over from the other: what each may use, and when the new one may begin.
//! Decides from what is seen of the other; knows no files.
//!
//! To everybody outside they are one head. While both live each keeps to half of what is the head's, and the new one
//! begins only once the old one has said that it does so. What a store of a limit held is not handed over: the old one
//! goes on with no more than half of it, and the new one begins with nothing.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The other process looks every `LOOK`; one that has not answered after this hangs, or is another program's. What it
/// spends is then not known, and the new one goes on with its half.
const NO_WORD: Duration = Duration::from_secs(3);
/// How often each looks for the other.
pub const LOOK: Duration = Duration::from_millis(50);
/// A look may come while the other one is being looked at: it is gone only when it was not seen so often in a row.
const GONE: u32 = 2;

/// What is seen of the other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// It runs.
    pub lives: bool,
    /// It says that it keeps to its half.
    pub halved: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Another one lives and may still spend all; nothing is accepted.
    Arriving,
    Together,
    Alone,
}

/// What this process does from here on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stand {
    /// This process may accept connections.
    pub accept: bool,
    /// It keeps to half, and says so.
    pub halved: bool,
}

/// Two processes of one host during an upgrade, as one of them sees the other.
#[derive(Debug)]
pub struct Pair {
    state: State,
    since: Instant,
    missed: u32,
}

impl Pair {
    /// A process that has just started.
    pub fn new(now: Instant) -> Pair {
        Pair { state: State::Arriving, since: now, missed: 0 }
    }

    /// What follows from how the other process is seen now.
    pub fn look(&mut self, now: Instant, other: Seen) -> Stand {
        self.missed = if other.lives { 0 } else { self.missed + 1 };
        self.state = match self.state {
            _ if self.missed >= GONE => State::Alone,
            State::Arriving if other.lives && other.halved || now >= self.since + NO_WORD => State::Together,
            State::Alone if other.lives => State::Together,
            state => state,
        };
        Stand { accept: self.state != State::Arriving, halved: self.state != State::Alone }
    }
}

/// The part of its bounds that this process may use: all of them, or half.
#[derive(Clone, Debug, Default)]
pub struct Part(Arc<AtomicBool>);

impl Part {
    /// Sets whether this process may use half of the limits or all.
    pub fn halve(&self, halved: bool) {
        self.0.store(halved, Ordering::Relaxed);
    }

    /// This process's share of a limit.
    pub fn of(&self, bound: usize) -> usize {
        if self.0.load(Ordering::Relaxed) { (bound / 2).max(1) } else { bound }
    }
}

#[cfg(test)]
mod tests;
