//! Answers that the edge itself gives: errors and refusals with a result code.

use crate::memory::held_body::HeldBody;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use pathbank_control::result_code::ResultCode;

/// Why a body ended before it was complete.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of an answer to a client.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;
/// An answer to a client.
pub type Answer = Response<AnswerBody>;

/// The header that holds the result code.
pub const RESULT_CODE: HeaderName = HeaderName::from_static("x-pathbank-result-code");
/// `Retry-After` of an edge that has no configuration or shuts down, milliseconds.
pub const RETRY_SOON_MS: u64 = 300;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Returns a body that consists of these bytes.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that is held in leased memory.
pub fn held_body(body: HeldBody) -> AnswerBody {
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer with a result code, in a header and in a JSON body.
pub fn error(code: ResultCode) -> Answer {
    let text = format!("{{\"result_code\":{},\"result\":\"{}\"}}\n", code.number(), code.name());
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.headers_mut().insert(RESULT_CODE, HeaderValue::from(code.number()));
    response
}

/// Adds that the connection closes after this answer.
pub fn closing(mut answer: Answer) -> Answer {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// Returns a refusal: the request has not run, and the client may retry it after `retry_after_ms`.
pub fn refusal(code: ResultCode, retry_after_ms: u64) -> Answer {
    let mut response = error(code);
    let seconds = format!("{:.3}", retry_after_ms as f64 / MILLIS_PER_SECOND);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
