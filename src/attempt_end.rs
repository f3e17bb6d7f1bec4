//! Every way in which a connection or an attempt can end, and what the module is told of it.

use crate::interface::AttemptResult;

/// How an attempt ended, as the connection saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole good answer.
    Answered,
    /// The node said that it failed, or answered in a way that promises nothing.
    ErrorAnswer,
    /// The node said that the request never ran.
    TurnedAway,
    /// No connection came up: refused, unreachable, or not in time.
    NoConnection,
    /// The connection broke before the request's last byte was written to it.
    BrokeUnsent,
    /// The connection broke after that, or inside the answer.
    Broke,
    /// The answer is longer than any may be, or no answer of the protocol.
    BadAnswer,
    /// The head stopped waiting.
    TimedOut,
    /// The module called the attempt off.
    CalledOff,
    /// Given up before a byte of it was written: its node leaves, its request is over, or it is too late for
    /// it.
    Unsent,
    /// Never started: the request is over, has had its attempts, or the node is unknown.
    NotStarted,
}

impl AttemptEnd {
    /// The only place that says what an end means to the module.
    pub fn result(self) -> AttemptResult {
        match self {
            AttemptEnd::Answered => AttemptResult::Served,
            AttemptEnd::ErrorAnswer | AttemptEnd::BadAnswer => AttemptResult::Error,
            AttemptEnd::TurnedAway => AttemptResult::Overloaded,
            AttemptEnd::NoConnection | AttemptEnd::BrokeUnsent => AttemptResult::ConnectFailed,
            AttemptEnd::Broke => AttemptResult::Reset,
            AttemptEnd::TimedOut => AttemptResult::TimedOut,
            AttemptEnd::CalledOff => AttemptResult::Cancelled,
            AttemptEnd::Unsent | AttemptEnd::NotStarted => AttemptResult::NotSent,
        }
    }
}
