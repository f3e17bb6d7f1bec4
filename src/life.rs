//! What the program is doing: serving, draining and back, ending. Decides which phase that is at any time and
//! when the next one begins; knows nothing of sockets, tasks or signals.

use std::fmt;
use std::time::{Duration, Instant};

/// In a drain the front still sends new connections for 0.2 s after it heard that the head says no, and asks
/// every 0.1 s.
const KEEP_ON: Duration = Duration::from_millis(500);
/// From then on idle connections are closed, and nobody new stays: 4 s after the call nothing of the last 2 s
/// is there.
const EMPTY: Duration = Duration::from_millis(1_700);
/// After SIGTERM: new connections keep coming for up to 0.4 s.
const ACCEPT_ON: Duration = Duration::from_millis(600);
/// SIGKILL comes no sooner than the longest deadline, 3 s at most, and 0.7 s: be gone well before.
const LONGEST: Duration = Duration::from_secs(3);
const LAST_ANSWERS: Duration = Duration::from_millis(500);
/// So long before the last answers connections begin to close: until then their clients go on using them, and
/// have nowhere else to go.
const CLOSE: Duration = Duration::from_millis(250);

/// What fronts go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase {
    /// `/up` says yes.
    pub up: bool,
    /// New connections are taken.
    pub accept: bool,
    /// Each answer is its connection's last.
    pub last: bool,
    /// Idle connections are closed.
    pub close: bool,
    /// The program ends.
    pub ends: bool,
    /// Another process takes what comes from here on.
    pub handed_over: bool,
}

/// The phase of a process that serves normally.
pub const SERVING: Phase =
    Phase { up: true, accept: true, last: false, close: false, ends: false, handed_over: false };

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    Serving,
    Draining { since: Instant },
    AttemptResult { since: Instant, shared: bool },
}

/// Why a call is turned down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ends;

impl fmt::Display for Ends {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the head is ending")
    }
}

/// A process's lifecycle: serving, draining, ending.
#[derive(Debug)]
pub struct Life {
    doing: Doing,
    longest: Duration,
}

impl Life {
    /// `longest`: what a class's client waits at most.
    pub fn new(longest: Duration) -> Life {
        Life { doing: Doing::Serving, longest }
    }

    /// The longest deadline of a request, which bounds how long draining takes.
    pub fn set_longest(&mut self, longest: Duration) {
        self.longest = longest;
    }

    /// A drain begins; one that has begun goes on.
    pub fn drain(&mut self, now: Instant) -> Result<(), Ends> {
        match self.doing {
            Doing::Serving => self.doing = Doing::Draining { since: now },
            Doing::Draining { .. } => {}
            Doing::AttemptResult { .. } => return Err(Ends),
        }
        Ok(())
    }

    /// The drain is over, however far it has come; without one there is nothing to do.
    pub fn undrain(&mut self) -> Result<(), Ends> {
        match self.doing {
            Doing::AttemptResult { .. } => return Err(Ends),
            _ => self.doing = Doing::Serving,
        }
        Ok(())
    }

    /// The program ends. `shared`: another process listens on the same socket, so that nobody is left at the
    /// door.
    pub fn end(&mut self, now: Instant, shared: bool) {
        if !matches!(self.doing, Doing::AttemptResult { .. }) {
            self.doing = Doing::AttemptResult { since: now, shared };
        }
    }

    /// What is allowed now.
    pub fn phase(&self, now: Instant) -> Phase {
        match self.doing {
            Doing::Serving => SERVING,
            Doing::Draining { since } => {
                Phase { up: false, last: now >= since + KEEP_ON, close: now >= since + EMPTY, ..SERVING }
            }
            Doing::AttemptResult { since, shared } => {
                let closing = now + CLOSE >= self.last_answers(since);
                Phase {
                    up: !shared,
                    accept: !shared && now < since + ACCEPT_ON && !closing,
                    last: shared || closing,
                    // Its client comes back to the other process at once.
                    close: shared || closing,
                    ends: true,
                    handed_over: shared,
                }
            }
        }
    }

    /// When the phase changes by itself, if it does.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let times = match self.doing {
            Doing::Serving => [None, None],
            Doing::Draining { since } => [Some(since + KEEP_ON), Some(since + EMPTY)],
            Doing::AttemptResult { since, .. } => {
                [Some(since + ACCEPT_ON), self.last_answers(since).checked_sub(CLOSE)]
            }
        };
        times.into_iter().flatten().filter(|at| *at > now).min()
    }

    /// While the program ends: when what is still open has to fail.
    pub fn last(&self) -> Option<Instant> {
        match self.doing {
            Doing::AttemptResult { since, .. } => Some(self.last_answers(since)),
            _ => None,
        }
    }

    fn last_answers(&self, since: Instant) -> Instant {
        since + self.longest.min(LONGEST) + LAST_ANSWERS
    }
}

#[cfg(test)]
mod tests;
