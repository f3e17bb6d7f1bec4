//! How requests end at a model server.

/// How a request to a model server ended, from the model server's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The model server answered.
    Answered,
    /// The model server rejected the request because it is full, or because the request timed out in its
    /// queue.
    Full,
    /// The model server answered with an error of its own.
    ServerError,
    /// The model server does not hold the model, or is another incarnation.
    Misdirected,
    /// The connection failed or was reset, or no answer came.
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
