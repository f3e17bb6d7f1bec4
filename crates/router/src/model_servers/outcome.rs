//! How requests end at a model server.

/// How a request to a model server ended, as far as the model server is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It answered.
    Answered,
    /// It rejected the request because it is full, or because the request timed out in its queue.
    Full,
    /// It answered with an error of its own.
    ServerError,
    /// It does not hold what was asked for, or is another incarnation.
    Misdirected,
    /// No connection, a reset, or no answer.
    Failed,
    /// The client disconnected, or the edge cancelled the request.
    Abandoned,
}

/// Counts of ended requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Outcomes {
    pub(super) failed: u32,
    pub(super) answered: u32,
}
