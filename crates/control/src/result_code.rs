//! The numbered results of calls to the control plane, and of requests that the system answers itself; the
//! operators' table is `docs/operators/result-codes.md`.

/// A numbered result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultCode {
    /// The call was carried out.
    Done = 0,
    /// The document cannot be parsed.
    UnreadableDocument = 101,
    /// A route names a service that does not exist.
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
    /// The call's body is larger than allowed.
    BodyTooLarge = 110,
    /// The call's body was not complete in time.
    BodyLate = 111,
    /// No leader is known.
    NoLeader = 201,
    /// The leader could not make the change durable in time; it may still take effect.
    Unclear = 202,
    /// The call's path is not served.
    UnknownCall = 203,
    /// No route takes the request.
    NoRoute = 301,
    /// The key is unknown.
    UnknownKey = 302,
    /// A required header is missing or malformed.
    BadRequest = 303,
    /// No model server can take the request.
    NoModelServer = 304,
    /// All model servers that could take the request are busy.
    Overloaded = 305,
    /// The connection broke: the request may have run.
    BrokenOff = 306,
    /// The request timed out; it may have run.
    TimedOut = 307,
    /// The process shuts down.
    Stopping = 308,
    /// No configuration is known yet.
    NoConfiguration = 309,
    /// The process holds as many bytes of requests as its memory limit allows.
    OutOfMemory = 310,
    /// There is no such training step.
    UnknownStep = 401,
    /// The step's state does not allow the command.
    WrongStepState = 402,
    /// An earlier step of the model is not finished.
    EarlierStep = 403,
    /// The trainer's key names another request.
    StepKeyTaken = 404,
    /// The version is not the one with which the step generates.
    WrongVersion = 405,
    /// Fewer workers have the version than the step needs.
    BelowFloor = 406,
    /// Prompts have no generation that counts.
    MissingGenerations = 407,
    /// The step's prompts would exceed the limit of bytes.
    StepTooLarge = 408,
    /// The prompt's number is that of another prompt.
    PromptTaken = 409,
    /// Too many steps are unfinished.
    TooManySteps = 410,
    /// The request for a step is invalid.
    BadStep = 411,
}

impl ResultCode {
    /// The HTTP status of an answer with this result.
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
            | ResultCode::NoConfiguration
            | ResultCode::OutOfMemory => 503,
        }
    }

    /// The name that callers see beside the number. Names are part of the interface: they stay when a variant
    /// is renamed.
    pub fn name(self) -> &'static str {
        match self {
            ResultCode::Done => "Done",
            ResultCode::UnreadableDocument => "UnreadableDocument",
            ResultCode::UnknownBackend => "UnknownBackend",
            ResultCode::DuplicateRoute => "DuplicateRoute",
            ResultCode::NoWeight => "NoWeight",
            ResultCode::NoTimeout => "NoTimeout",
            ResultCode::VersionNotAbove => "VersionNotAbove",
            ResultCode::SharedKey => "SharedKey",
            ResultCode::BaseMismatch => "BaseMismatch",
            ResultCode::MissingBase => "MissingBase",
            ResultCode::BodyTooLarge => "BodyTooLarge",
            ResultCode::BodyLate => "BodyLate",
            ResultCode::NoLeader => "NoLeader",
            ResultCode::Unclear => "Unclear",
            ResultCode::UnknownCall => "UnknownCall",
            ResultCode::NoRoute => "NoRoute",
            ResultCode::UnknownKey => "UnknownKey",
            ResultCode::BadRequest => "BadRequest",
            ResultCode::NoModelServer => "NoBrick",
            ResultCode::Overloaded => "Overloaded",
            ResultCode::BrokenOff => "BrokenOff",
            ResultCode::TimedOut => "TimedOut",
            ResultCode::Stopping => "Stopping",
            ResultCode::NoConfiguration => "NoConfiguration",
            ResultCode::OutOfMemory => "OutOfMemory",
            ResultCode::UnknownStep => "UnknownStep",
            ResultCode::WrongStepState => "WrongStepState",
            ResultCode::EarlierStep => "EarlierStep",
            ResultCode::StepKeyTaken => "StepKeyTaken",
            ResultCode::WrongVersion => "WrongVersion",
            ResultCode::BelowFloor => "BelowFloor",
            ResultCode::MissingGenerations => "MissingGenerations",
            ResultCode::StepTooLarge => "StepTooLarge",
            ResultCode::PromptTaken => "PromptTaken",
            ResultCode::TooManySteps => "TooManySteps",
            ResultCode::BadStep => "BadStep",
        }
    }

    /// The number that callers see.
    pub fn number(self) -> u16 {
        self as u16
    }
}
