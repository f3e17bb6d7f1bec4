//! The lifecycle of the process: serving, draining, serving again, stopping. Decides the current phase and
//! when the next one begins, without sockets, tasks or signals.

use std::fmt;
use std::time::{Duration, Instant};

/// Time from the start of a drain during which connections stay open after an answer. The load balancer
/// checks `/up` every 0.1 s and still sends new connections for 0.2 s after the first negative answer.
const KEEP_CONNECTIONS: Duration = Duration::from_millis(500);
/// Time from the start of a drain after which idle connections are closed and no new one stays open. 4 s
/// after the operator's call there must be no connection or request that came within the last 2 s.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(1_700);
/// Time after SIGTERM during which connections are accepted; new ones arrive for up to 0.4 s.
const ACCEPT_AFTER_TERM: Duration = Duration::from_millis(600);
/// Upper limit of the longest deadline in the time to stop. SIGKILL comes no earlier than the longest
/// deadline, 3 s at most, plus 0.7 s; the process must end well before.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the longest deadline at which the requests that are still open fail.
const FINAL_ANSWERS: Duration = Duration::from_millis(500);
/// Time before the final answers at which connections begin to close. They stay open until then, because the
/// clients still use them and have no other host to connect to.
const CLOSE_BEFORE_END: Duration = Duration::from_millis(250);

/// What the fronts may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phase {
    /// `/up` answers positively.
    pub up: bool,
    /// New connections are accepted.
    pub accept: bool,
    /// Each connection is closed after its next answer.
    pub close_after_answer: bool,
    /// Idle connections are closed.
    pub close: bool,
    /// The process is stopping.
    pub ends: bool,
    /// Another process accepts the connections from now on.
    pub handed_over: bool,
}

/// The phase of a process that serves normally.
pub const SERVING: Phase = Phase {
    up: true,
    accept: true,
    close_after_answer: false,
    close: false,
    ends: false,
    handed_over: false,
};

/// What the process does, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    Serving,
    Draining {
        since: Instant,
    },
    /// `shared`: another process listens on the same socket.
    Stopping {
        since: Instant,
        shared: bool,
    },
}

/// Error: the process is stopping and rejects the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyStopping;

impl fmt::Display for AlreadyStopping {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the head is ending")
    }
}

/// A process's lifecycle: serving, draining, ending.
#[derive(Debug)]
pub struct LifecycleState {
    activity: Activity,
    longest: Duration,
}

impl LifecycleState {
    /// Creates the lifecycle of a serving process. `longest` is the longest deadline of any class.
    pub fn new(longest: Duration) -> LifecycleState {
        LifecycleState { activity: Activity::Serving, longest }
    }

    /// Sets the longest deadline of any class, which limits how long stopping takes.
    pub fn set_longest(&mut self, longest: Duration) {
        self.longest = longest;
    }

    /// Starts a drain; a running drain continues.
    ///
    /// # Errors
    /// The process is stopping.
    pub fn drain(&mut self, now: Instant) -> Result<(), AlreadyStopping> {
        match self.activity {
            Activity::Serving => self.activity = Activity::Draining { since: now },
            Activity::Draining { .. } => {}
            Activity::Stopping { .. } => return Err(AlreadyStopping),
        }
        Ok(())
    }

    /// Ends a drain at any stage; without one it does nothing.
    ///
    /// # Errors
    /// The process is stopping.
    pub fn undrain(&mut self) -> Result<(), AlreadyStopping> {
        match self.activity {
            Activity::Stopping { .. } => return Err(AlreadyStopping),
            _ => self.activity = Activity::Serving,
        }
        Ok(())
    }

    /// Starts to stop the process. `shared`: another process listens on the same socket and accepts the new
    /// connections.
    pub fn end(&mut self, now: Instant, shared: bool) {
        if !matches!(self.activity, Activity::Stopping { .. }) {
            self.activity = Activity::Stopping { since: now, shared };
        }
    }

    /// Returns the phase at the given time.
    pub fn phase(&self, now: Instant) -> Phase {
        match self.activity {
            Activity::Serving => SERVING,
            Activity::Draining { since } => Phase {
                up: false,
                close_after_answer: now >= since + KEEP_CONNECTIONS,
                close: now >= since + CLOSE_IDLE_AFTER,
                ..SERVING
            },
            Activity::Stopping { since, shared } => {
                let closing = now + CLOSE_BEFORE_END >= self.final_answers_after(since);
                Phase {
                    up: !shared,
                    accept: !shared && now < since + ACCEPT_AFTER_TERM && !closing,
                    close_after_answer: shared || closing,
                    // The client can reconnect to the other process at once.
                    close: shared || closing,
                    ends: true,
                    handed_over: shared,
                }
            }
        }
    }

    /// Returns the time of the next change of the phase without a call, if there is one.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let times = match self.activity {
            Activity::Serving => [None, None],
            Activity::Draining { since } => [Some(since + KEEP_CONNECTIONS), Some(since + CLOSE_IDLE_AFTER)],
            Activity::Stopping { since, .. } => [
                Some(since + ACCEPT_AFTER_TERM),
                self.final_answers_after(since).checked_sub(CLOSE_BEFORE_END),
            ],
        };
        times.into_iter().flatten().filter(|at| *at > now).min()
    }

    /// Returns the time at which the requests that are still open must fail; `None` unless the process is
    /// stopping.
    pub fn final_answers_at(&self) -> Option<Instant> {
        match self.activity {
            Activity::Stopping { since, .. } => Some(self.final_answers_after(since)),
            _ => None,
        }
    }

    fn final_answers_after(&self, since: Instant) -> Instant {
        since + self.longest.min(MAX_DEADLINE) + FINAL_ANSWERS
    }
}

#[cfg(test)]
mod tests;
