//! The numbered results of calls to the control plane and of requests that the system itself answers. The
//! table for people is in `docs/operators/result-codes.md`.

/// A numbered result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultCode {
    /// The call was carried out.
    Done = 0,
    /// The document cannot be read whole.
    UnreadableDocument = 101,
    /// A route names a service that is not there.
    UnknownBackend = 102,
    /// Two routes share host and prefix.
    DuplicateRoute = 103,
    /// A route's weights sum to 0, or it has neither service nor weights.
    NoWeight = 104,
    /// A route's time-out is 0.
    NoTimeout = 105,
    /// The document's version is not above the current one.
    VersionNotAbove = 106,
    /// Two tenants share a key.
    SharedKey = 107,
    /// Another version than the one named as base is current.
    BaseMismatch = 108,
    /// The header with the base version is missing or no number.
    MissingBase = 109,
    /// The call's body is larger than what is taken.
    BodyTooLarge = 110,
    /// The call's body did not come whole in time.
    BodyLate = 111,
    /// No leader is known.
    NoLeader = 201,
    /// The leader could not make the change durable in time; it may still take effect.
    Unclear = 202,
    /// The call's path is not one that is served.
    UnknownCall = 203,
    /// No route takes the request.
    NoRoute = 301,
    /// The key is unknown.
    UnknownKey = 302,
    /// A header that decides something is missing or malformed.
    BadRequest = 303,
    /// No model server that could take the request is there.
    NoModelServer = 304,
    /// All model servers that could take the request are busy.
    Overloaded = 305,
    /// The request may have run and has no answer.
    BrokenOff = 306,
    /// The request's time is over; it may have run.
    TimedOut = 307,
    /// The process stops.
    Stopping = 308,
    /// No configuration is known yet.
    NoConfiguration = 309,
    /// There is no such training step.
    UnknownStep = 401,
    /// The step's state does not allow it.
    WrongStepState = 402,
    /// An earlier step of the model is not over.
    EarlierStep = 403,
    /// The trainer's key names another request.
    StepKeyTaken = 404,
    /// Not the version that the step may draw from.
    WrongVersion = 405,
    /// Fewer workers hold the version than the step's floor.
    BelowFloor = 406,
    /// Prompts have no generation that counts.
    MissingGenerations = 407,
    /// The step's prompts would take more room than a step has.
    StepTooLarge = 408,
    /// The prompt's number stands for another prompt.
    PromptTaken = 409,
    /// So many steps are not over that no more are taken.
    TooManySteps = 410,
    /// What is asked of a step makes no sense.
    BadStep = 411,
}

impl ResultCode {
    /// The HTTP status that goes with it.
    pub fn status(self) -> u16 {
        match self {
            ResultCode::Done => 200,
            ResultCode::UnreadableDocument
            | ResultCode::UnknownBackend
            | ResultCode::DuplicateRoute
            | ResultCode::NoWeight
            | ResultCode::NoTimeout
            | ResultCode::VersionNotAbove
            | ResultCode::SharedKey
            | ResultCode::MissingBase
            | ResultCode::BadRequest
            | ResultCode::BadStep => 400,
            ResultCode::UnknownKey => 401,
            ResultCode::UnknownCall | ResultCode::NoRoute | ResultCode::UnknownStep => 404,
            ResultCode::BodyLate => 408,
            ResultCode::WrongStepState
            | ResultCode::EarlierStep
            | ResultCode::StepKeyTaken
            | ResultCode::WrongVersion
            | ResultCode::BelowFloor
            | ResultCode::MissingGenerations
            | ResultCode::PromptTaken => 409,
            ResultCode::BaseMismatch => 412,
            ResultCode::BodyTooLarge | ResultCode::StepTooLarge => 413,
            ResultCode::TooManySteps => 429,
            ResultCode::BrokenOff => 502,
            ResultCode::TimedOut => 504,
            ResultCode::Unclear => 500,
            ResultCode::NoLeader
            | ResultCode::NoModelServer
            | ResultCode::Overloaded
            | ResultCode::Stopping
            | ResultCode::NoConfiguration => 503,
        }
    }

    /// The number that callers see.
    pub fn number(self) -> u16 {
        self as u16
    }
}
