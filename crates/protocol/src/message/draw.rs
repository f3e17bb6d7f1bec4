//! Generations of training steps: a leader offers them, an edge asks, is given some, and tells how each
//! ended.

/// Generations wait: the edge may ask for so many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawOffer {
    /// How many.
    pub count: u32,
}

/// An edge asks for generations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawRequest {
    /// The edge's steady clock, milliseconds. What it is given begins within a bound of that, or not at all:
    /// an edge that stood still meanwhile sees it by its own clock.
    pub requested_at: u64,
    /// How many it takes.
    pub count: u32,
}

/// What names a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrawId {
    /// The step.
    pub step: u64,
    /// Its epoch.
    pub epoch: u64,
    /// The prompt.
    pub prompt: u64,
    /// The worker's incarnation.
    pub instance: String,
    /// The version that it has to draw from.
    pub version: u64,
}

/// A generation to be drawn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrawTask {
    /// Its name.
    pub id: DrawId,
    /// Where the worker is reached, `ip:port`.
    pub address: String,
    /// The model.
    pub model: String,
    /// The path of the request.
    pub path: String,
    /// The request's body.
    pub body: String,
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Tokens that may come out.
    pub output_tokens: u64,
    /// The prompt's parts; empty: not told.
    pub prefix: String,
    /// It is over so long after it began, milliseconds.
    pub timeout_ms: u64,
    /// Tokens that one event of the answer holds.
    pub event_tokens: u32,
}

/// Generations that an edge is given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrawGrant {
    /// From the edge's request.
    pub requested_at: u64,
    /// Nothing of it begins later than so long after the edge asked, milliseconds.
    pub start_timeout_ms: u64,
    /// The generations.
    pub tasks: Vec<DrawTask>,
}

/// What an answer that came whole said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrawnAnswer {
    /// The version that its head told.
    pub header_version: Option<u64>,
    /// Versions that its events told, in order.
    pub event_versions: Vec<u64>,
    /// Tokens that came out.
    pub tokens: u64,
    /// The events' text.
    pub text: String,
    /// There was more text than is told.
    pub truncated: bool,
}

/// What came of a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrawEnding {
    /// The answer came whole.
    Complete(DrawnAnswer),
    /// It did not run, or runs no more, and there is no whole answer.
    Over,
    /// There is no whole answer, and the worker may draw on until the generation's time is over.
    Unknown,
}

/// How a generation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawResult {
    /// Its name.
    pub id: DrawId,
    /// The time that it had, milliseconds.
    pub timeout_ms: u64,
    /// What came of it.
    pub ending: DrawEnding,
}

/// Versions of a model in training.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelVersions {
    /// The service.
    pub backend: String,
    /// The model.
    pub model: String,
    /// Of the step that is open.
    pub open: Option<u64>,
    /// Of the last step that was sealed.
    pub sealed: Option<u64>,
}
