//! Generations of training steps: a leader offers them, an edge asks, is given some, and tells how each
//! ended.

/// Announces that generations are queued at the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawOffer {
    /// How many the edge may ask for.
    pub count: u32,
}

/// Asks for generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawRequest {
    /// The edge's steady clock, milliseconds. What it is given begins within a bound of that, or not at all:
    /// an edge that stood still meanwhile sees it by its own clock.
    pub requested_at: u64,
    /// How many the edge can run.
    pub count: u32,
}

/// Identifies a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrawId {
    /// The number of the training step.
    pub step: u64,
    /// The step's epoch (its fencing token).
    pub epoch: u64,
    /// The prompt.
    pub prompt: u64,
    /// The worker's incarnation.
    pub instance: String,
    /// The version of the weights that has to generate it.
    pub version: u64,
}

/// A generation that an edge is to run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrawTask {
    /// Its identity.
    pub id: DrawId,
    /// The worker's address, `ip:port`.
    pub address: String,
    /// The model.
    pub model: String,
    /// The path of the request.
    pub path: String,
    /// The request's body.
    pub body: String,
    /// Prompt tokens.
    pub input_tokens: u64,
    /// The limit of output tokens.
    pub output_tokens: u64,
    /// The prompt's parts as `X-Pathbank-Prompt-Prefix` has them; empty: not known.
    pub prefix: String,
    /// Time-out from its start, milliseconds.
    pub timeout_ms: u64,
    /// Tokens in one event of the answer.
    pub event_tokens: u32,
}

/// The answer to a [`DrawRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrawGrant {
    /// `requested_at` of the request.
    pub requested_at: u64,
    /// A generation that has not started within this time of `requested_at` must not start, milliseconds.
    pub start_timeout_ms: u64,
    /// The generations.
    pub tasks: Vec<DrawTask>,
}

/// What a complete answer contained.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrawnAnswer {
    /// The version that its headers name.
    pub header_version: Option<u64>,
    /// Versions that its events name, in order.
    pub event_versions: Vec<u64>,
    /// Output tokens.
    pub tokens: u64,
    /// The text of the events.
    pub text: String,
    /// `text` is cut off at a limit.
    pub truncated: bool,
}

/// The outcome of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrawEnding {
    /// The answer is complete.
    Complete(DrawnAnswer),
    /// It did not run, or has ended, without a complete answer.
    Over,
    /// There is no complete answer, and the worker may go on until the generation's time-out.
    Unknown,
}

/// How a generation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawResult {
    /// Its identity.
    pub id: DrawId,
    /// Its time-out, milliseconds.
    pub timeout_ms: u64,
    /// The outcome.
    pub ending: DrawEnding,
}

/// Versions of a model in training.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelVersions {
    /// The service.
    pub backend: String,
    /// The model.
    pub model: String,
    /// The version of the step that is open.
    pub open: Option<u64>,
    /// The version of the last step that was sealed.
    pub sealed: Option<u64>,
}
