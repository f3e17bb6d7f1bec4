//! The ways in which an attempt can end, and the result that the policy gets for each.

use crate::interface::AttemptResult;

/// How an attempt ended, as the connection saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete, successful answer arrived.
    Answered,
    /// The node answered with an error, or with an answer that doesn't say whether the request ran.
    ErrorAnswer,
    /// The node answered that the request did not run.
    TurnedAway,
    /// No connection was established: refused, unreachable, or not in time.
    NoConnection,
    /// The connection broke before the request's last byte was written to it.
    BrokeUnsent,
    /// The connection broke after the last byte was written, or inside the answer.
    Broke,
    /// The answer is longer than the limit, or violates the protocol.
    BadAnswer,
    /// The time-out of the attempt or the deadline of the request passed.
    TimedOut,
    /// The attempt was cancelled.
    CalledOff,
    /// The attempt was cancelled before a byte was written: the node leaves, the request is over, or the time
    /// for the attempt has passed.
    Unsent,
    /// The attempt never started: the request is over or has used all its attempts, or the node is unknown.
    NotStarted,
}

impl AttemptEnd {
    /// Returns the result that the policy gets.
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
