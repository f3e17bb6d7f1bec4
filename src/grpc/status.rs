//! The mapping from gRPC status codes to ends of attempts, and from ends of calls to status codes. The
//! module `attempt_end` says what an end means to the policy; `docs/operators/grpc.md` describes the mapping
//! for operators.

use crate::attempt_end::AttemptEnd;
use std::time::Duration;

/// Success.
pub const OK: u32 = 0;
/// The caller cancelled the call.
pub const CANCELLED: u32 = 1;
/// An error of unknown kind.
pub const UNKNOWN: u32 = 2;
/// The request is malformed.
pub const INVALID_ARGUMENT: u32 = 3;
/// The deadline passed; the call may have run.
pub const DEADLINE_EXCEEDED: u32 = 4;
/// A limit is exceeded.
pub const RESOURCE_EXHAUSTED: u32 = 8;
/// There is no such method.
pub const UNIMPLEMENTED: u32 = 12;
/// An invariant was violated.
pub const INTERNAL: u32 = 13;
/// The call did not run; a retry is harmless.
pub const UNAVAILABLE: u32 = 14;
/// The response is incomplete.
pub const DATA_LOSS: u32 = 15;
/// The highest status code.
const LAST: u32 = 16;

/// Parses a node's `grpc-status`. `None`: the status is missing, or is not a known code.
pub fn parse_code(text: Option<&[u8]>) -> Option<u32> {
    let text = text?;
    let digits = (1..=2).contains(&text.len()) && text.iter().all(u8::is_ascii_digit);
    let code = std::str::from_utf8(text).ok().filter(|_| digits)?.parse().ok()?;
    (code <= LAST).then_some(code)
}

/// Returns the end of an attempt whose node sent this status. Codes that only an application returns mean
/// that the node ran the call, which is then answered, also with an error. `not_processed`: the node says
/// that it never ran the call.
pub fn attempt_end(code: Option<u32>, not_processed: bool) -> AttemptEnd {
    match code {
        None => AttemptEnd::BadAnswer,
        Some(UNAVAILABLE | RESOURCE_EXHAUSTED | DEADLINE_EXCEEDED) if not_processed => AttemptEnd::TurnedAway,
        Some(CANCELLED | UNKNOWN | DEADLINE_EXCEEDED | RESOURCE_EXHAUSTED) => AttemptEnd::ErrorAnswer,
        Some(INTERNAL | UNAVAILABLE | DATA_LOSS) => AttemptEnd::ErrorAnswer,
        Some(_) => AttemptEnd::Answered,
    }
}

/// The end of a call whose status the proxy itself creates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    /// The call did not run, or repeating it is harmless. The client may retry after this time.
    Refused(Duration),
    /// The proxy holds as many calls, or as many of their bytes, as it may. The client may retry after this
    /// time.
    NoRoom(Duration),
    /// The call may have run. Holds the node's status, if the node sent one.
    Failed(Option<u32>),
    /// The deadline passed.
    OutOfTime,
    /// The route needs the complete request, which did not arrive in time.
    SlowRequest,
    /// The request is larger than the proxy may hold, so that it could not be sent again.
    TooLong,
    /// No route matches the path.
    NoRoute,
    /// The call is malformed.
    Malformed(&'static str),
}

/// Whether and when the client may retry (`grpc-retry-pushback-ms`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushback {
    /// The client may retry after this time, which is sent as `grpc-retry-pushback-ms` and as RetryInfo.
    After(Duration),
    /// The client must not retry; sent as -1.
    Never,
}

/// A status of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The status code.
    pub code: u32,
    /// The text for the client.
    pub message: &'static str,
    /// Whether and when to retry.
    pub pushback: Pushback,
}

impl Final {
    /// Returns the status for the client. `started`: the client has a part of the response, so that it must
    /// not retry, whatever the call's class allows.
    pub fn status(&self, started: bool) -> Status {
        let (code, message, pushback) = match *self {
            Final::Refused(_) | Final::Failed(_) if started => {
                (UNKNOWN, "the answer was cut off; it may have been done", Pushback::Never)
            }
            Final::Refused(after) => {
                (UNAVAILABLE, "refused; trying again is harmless", Pushback::After(after))
            }
            Final::NoRoom(after) => {
                (RESOURCE_EXHAUSTED, "no room; trying again is harmless", Pushback::After(after))
            }
            // UNAVAILABLE and RESOURCE_EXHAUSTED are not forwarded: clients may retry on them of their own
            // accord.
            Final::Failed(Some(code @ (CANCELLED | DEADLINE_EXCEEDED | INTERNAL | DATA_LOSS))) => {
                (code, "failed at the node; it may have been done", Pushback::Never)
            }
            Final::Failed(_) => (UNKNOWN, "failed; it may have been done", Pushback::Never),
            Final::OutOfTime => (DEADLINE_EXCEEDED, "out of time; it may have been done", Pushback::Never),
            Final::SlowRequest => {
                let message = "the request did not come whole in time; nothing was done";
                (DEADLINE_EXCEEDED, message, Pushback::Never)
            }
            Final::TooLong => (RESOURCE_EXHAUSTED, "the request is too long", Pushback::Never),
            Final::NoRoute => (UNIMPLEMENTED, "not served here", Pushback::Never),
            Final::Malformed(problem) => (INVALID_ARGUMENT, problem, Pushback::Never),
        };
        Status { code, message, pushback }
    }
}

/// The value of `grpc-status-details-bin`: a `google.rpc.Status` with one `google.rpc.RetryInfo`.
pub mod details {
    use prost::Message;
    use std::time::Duration;

    const RETRY_INFO: &str = "type.googleapis.com/google.rpc.RetryInfo";

    /// `google.rpc.Status`.
    #[derive(Clone, PartialEq, Message)]
    pub struct Status {
        /// The status code.
        #[prost(int32, tag = "1")]
        pub code: i32,
        /// The text for the client.
        #[prost(string, tag = "2")]
        pub message: String,
        /// Further messages on the error.
        #[prost(message, repeated, tag = "3")]
        pub details: Vec<Any>,
    }

    /// `google.protobuf.Any`.
    #[derive(Clone, PartialEq, Message)]
    pub struct Any {
        /// The URL of the message's type.
        #[prost(string, tag = "1")]
        pub type_url: String,
        /// The encoded message.
        #[prost(bytes = "vec", tag = "2")]
        pub value: Vec<u8>,
    }

    /// `google.rpc.RetryInfo`.
    #[derive(Clone, PartialEq, Message)]
    pub struct RetryInfo {
        /// How long the client should wait before it retries.
        #[prost(message, optional, tag = "1")]
        pub retry_delay: Option<Span>,
    }

    /// `google.protobuf.Duration`.
    #[derive(Clone, PartialEq, Message)]
    pub struct Span {
        /// Whole seconds.
        #[prost(int64, tag = "1")]
        pub seconds: i64,
        /// Nanoseconds beyond the whole seconds.
        #[prost(int32, tag = "2")]
        pub nanos: i32,
    }

    /// Encodes a status that allows a retry after `after`.
    pub fn encode(code: u32, message: &str, after: Duration) -> Vec<u8> {
        let span = Span {
            seconds: i64::try_from(after.as_secs()).unwrap_or(i64::MAX),
            nanos: after.subsec_nanos() as i32,
        };
        let info = RetryInfo { retry_delay: Some(span) };
        let any = Any { type_url: RETRY_INFO.to_string(), value: info.encode_to_vec() };
        Status { code: code as i32, message: message.to_string(), details: vec![any] }.encode_to_vec()
    }

    /// Decodes the retry delay from an encoded status, as a client does.
    pub fn retry_delay(bytes: &[u8]) -> Option<Duration> {
        let status = Status::decode(bytes).ok()?;
        let any = status.details.iter().find(|any| any.type_url == RETRY_INFO)?;
        let span = RetryInfo::decode(&any.value[..]).ok()?.retry_delay?;
        Some(Duration::new(span.seconds.try_into().ok()?, span.nanos.try_into().ok()?))
    }
}

#[cfg(test)]
mod tests;
