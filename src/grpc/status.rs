//! The one table between gRPC's statuses and the ends of attempts and calls, both ways. `ending` then says what an
//! end means to the module; `docs/operators/grpc.md` tells operators the same.

use crate::attempt_end::AttemptEnd;
use std::time::Duration;

/// Success.
pub const OK: u32 = 0;
/// The caller cancelled the call.
pub const CANCELLED: u32 = 1;
/// No more is known.
pub const UNKNOWN: u32 = 2;
/// The request is malformed.
pub const INVALID_ARGUMENT: u32 = 3;
/// The deadline passed; the call may have run.
pub const DEADLINE_EXCEEDED: u32 = 4;
/// A limit is exceeded.
pub const RESOURCE_EXHAUSTED: u32 = 8;
/// There is no such method.
pub const UNIMPLEMENTED: u32 = 12;
/// A broken invariant.
pub const INTERNAL: u32 = 13;
/// The call did not run; a retry is harmless.
pub const UNAVAILABLE: u32 = 14;
/// The answer broke off.
pub const DATA_LOSS: u32 = 15;
const LAST: u32 = 16;

/// What a node's trailers come to. `None`: it sent no status, or none that is a number of the table.
pub fn read(text: Option<&[u8]>) -> Option<u32> {
    let text = text?;
    let digits = (1..=2).contains(&text.len()) && text.iter().all(u8::is_ascii_digit);
    let code = std::str::from_utf8(text).ok().filter(|_| digits)?.parse().ok()?;
    (code <= LAST).then_some(code)
}

/// How an attempt ended at which the node gave this status. The program's own answers, whatever they say, have been
/// given by a node that ran the call: they are served. `not_processed` is the node's word that it never ran.
pub fn attempt(code: Option<u32>, not_processed: bool) -> AttemptEnd {
    match code {
        None => AttemptEnd::BadAnswer,
        Some(UNAVAILABLE | RESOURCE_EXHAUSTED | DEADLINE_EXCEEDED) if not_processed => AttemptEnd::TurnedAway,
        Some(CANCELLED | UNKNOWN | DEADLINE_EXCEEDED | RESOURCE_EXHAUSTED) => AttemptEnd::ErrorAnswer,
        Some(INTERNAL | UNAVAILABLE | DATA_LOSS) => AttemptEnd::ErrorAnswer,
        Some(_) => AttemptEnd::Answered,
    }
}

/// How a call ends for its client where the head itself words the status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Final {
    /// Nothing was done, or repeating is harmless.
    Refused(Duration),
    /// The head holds as many calls, or as much of them, as it may.
    NoRoom(Duration),
    /// It may have been done; with the node's own status, where one came.
    Failed(Option<u32>),
    /// The deadline passed.
    OutOfTime,
    /// Its route wants the request whole, and it did not come so in time.
    Slow,
    /// It says more before its end than may be held, and could not be sent again.
    TooLong,
    /// No route matches the path.
    NoRoute,
    /// The call is malformed.
    Malformed(&'static str),
}

/// What the client's retry policy is told (`grpc-retry-pushback-ms`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushback {
    /// `grpc-retry-pushback-ms`, and the same as RetryInfo in the status's details.
    After(Duration),
    /// -1: the client's own retries are to stop.
    Never,
}

/// A status of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The status's code.
    pub code: u32,
    /// The message.
    pub message: &'static str,
    /// Whether and when to retry.
    pub pushback: Pushback,
}

impl Final {
    /// `begun`: some of the answer has reached the client, so that nothing may be tried again, whatever the class.
    pub fn status(&self, begun: bool) -> Status {
        let (code, message, pushback) = match *self {
            Final::Refused(_) | Final::Failed(_) if begun => {
                (UNKNOWN, "the answer was cut off; it may have been done", Pushback::Never)
            }
            Final::Refused(after) => {
                (UNAVAILABLE, "refused; trying again is harmless", Pushback::After(after))
            }
            Final::NoRoom(after) => {
                (RESOURCE_EXHAUSTED, "no room; trying again is harmless", Pushback::After(after))
            }
            // Clients may retry on UNAVAILABLE and RESOURCE_EXHAUSTED by themselves: those never pass on.
            Final::Failed(Some(code @ (CANCELLED | DEADLINE_EXCEEDED | INTERNAL | DATA_LOSS))) => {
                (code, "failed at the node; it may have been done", Pushback::Never)
            }
            Final::Failed(_) => (UNKNOWN, "failed; it may have been done", Pushback::Never),
            Final::OutOfTime => (DEADLINE_EXCEEDED, "out of time; it may have been done", Pushback::Never),
            Final::Slow => {
                let message = "the request did not come whole in time; nothing was done";
                (DEADLINE_EXCEEDED, message, Pushback::Never)
            }
            Final::TooLong => (RESOURCE_EXHAUSTED, "the request is too long", Pushback::Never),
            Final::NoRoute => (UNIMPLEMENTED, "not served here", Pushback::Never),
            Final::Malformed(what) => (INVALID_ARGUMENT, what, Pushback::Never),
        };
        Status { code, message, pushback }
    }
}

/// google.rpc.Status with one RetryInfo, as `grpc-status-details-bin` carries it.
pub mod details {
    use prost::Message;
    use std::time::Duration;

    const RETRY_INFO: &str = "type.googleapis.com/google.rpc.RetryInfo";

    /// A status of a call.
    #[derive(Clone, PartialEq, Message)]
    pub struct Status {
        /// The status's code.
        #[prost(int32, tag = "1")]
        pub code: i32,
        /// The message.
        #[prost(string, tag = "2")]
        pub message: String,
        /// Further messages.
        #[prost(message, repeated, tag = "3")]
        pub details: Vec<Any>,
    }

    /// `google.protobuf.Any`.
    #[derive(Clone, PartialEq, Message)]
    pub struct Any {
        /// The message's type.
        #[prost(string, tag = "1")]
        pub type_url: String,
        /// The message's bytes.
        #[prost(bytes = "vec", tag = "2")]
        pub value: Vec<u8>,
    }

    /// `google.rpc.RetryInfo`.
    #[derive(Clone, PartialEq, Message)]
    pub struct RetryInfo {
        /// When to retry.
        #[prost(message, optional, tag = "1")]
        pub retry_delay: Option<Span>,
    }

    /// google.protobuf.Duration.
    #[derive(Clone, PartialEq, Message)]
    pub struct Span {
        /// Whole seconds.
        #[prost(int64, tag = "1")]
        pub seconds: i64,
        /// Nanoseconds beyond them.
        #[prost(int32, tag = "2")]
        pub nanos: i32,
    }

    /// The bytes of `grpc-status-details-bin` with a time to retry.
    pub fn encode(code: u32, message: &str, after: Duration) -> Vec<u8> {
        let span = Span {
            seconds: i64::try_from(after.as_secs()).unwrap_or(i64::MAX),
            nanos: after.subsec_nanos() as i32,
        };
        let info = RetryInfo { retry_delay: Some(span) };
        let any = Any { type_url: RETRY_INFO.to_string(), value: info.encode_to_vec() };
        Status { code: code as i32, message: message.to_string(), details: vec![any] }.encode_to_vec()
    }

    /// The delay that a client reads from it.
    pub fn retry_delay(bytes: &[u8]) -> Option<Duration> {
        let status = Status::decode(bytes).ok()?;
        let any = status.details.iter().find(|any| any.type_url == RETRY_INFO)?;
        let span = RetryInfo::decode(&any.value[..]).ok()?.retry_delay?;
        Some(Duration::new(span.seconds.try_into().ok()?, span.nanos.try_into().ok()?))
    }
}

#[cfg(test)]
mod tests;
