//! Answers of the HTTP interface, and what all of its calls share.

use crate::core::event::Event;
use http_body_util::Full;
use pathbank_control::operator_calls::Reply;
use pathbank_control::result_code::ResultCode;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use viz::{Body, IntoResponse, Response, StatusCode};

const RESULT_CODE: &str = "x-pathbank-result-code";
/// Every call is answered within this.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Seconds; by then a leader is elected.
const RETRY_AFTER_S: &str = "0.5";
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Where calls become events.
pub type Events = UnboundedSender<Event>;

/// The answer of a call with a numbered result.
pub fn result_answer(code: ResultCode, message: &str) -> Response {
    let body = serde_json::json!({ "result_code": code.number(), "result": code.name(), "message": message });
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(Body::Full(Full::new(body.to_string().into())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert("content-type", viz::header::HeaderValue::from_static("application/json"));
    headers.insert(RESULT_CODE, viz::header::HeaderValue::from(code.number()));
    if status.is_server_error() {
        headers.insert("retry-after", viz::header::HeaderValue::from_static(RETRY_AFTER_S));
    }
    response
}

/// A JSON answer with status 200.
pub fn json(body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::Full(Full::new(body.into())));
    response.headers_mut().insert("content-type", viz::header::HeaderValue::from_static("application/json"));
    response
}

/// Reads a body, within a time-out and a limit of its size. The error is the answer to send.
pub async fn body_of(request: &mut viz::Request) -> Result<Vec<u8>, Response> {
    use http_body_util::{BodyExt, Limited};
    let body = std::mem::replace(request.body_mut(), Body::Empty);
    match tokio::time::timeout(ANSWER_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(result_answer(ResultCode::BodyTooLarge, "the body is too large"))
        }
        // A call that was late is not invalid: its caller may retry.
        Ok(Err(_)) | Err(_) => {
            Err(result_answer(ResultCode::BodyLate, "the body did not come whole in time"))
        }
    }
}

/// Sends an event to the node, and turns its reply into an answer.
pub async fn ask(
    events: Events,
    path: &str,
    event: impl FnOnce(oneshot::Sender<Reply>) -> Event,
) -> viz::Result<Response> {
    let (sender, receiver) = oneshot::channel();
    let _ = events.send(event(sender));
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, receiver).await;
    Ok(match reply {
        Ok(Ok(Reply::Json(body))) => json(body),
        Ok(Ok(Reply::Result(code, message))) => result_answer(code, &message),
        Ok(Ok(Reply::LeaderAt(control_address))) => {
            let mut response = StatusCode::TEMPORARY_REDIRECT.into_response();
            let location = format!("http://{control_address}{path}");
            if let Ok(location) = location.parse() {
                response.headers_mut().insert("location", location);
            }
            response
        }
        Ok(Err(_)) | Err(_) => result_answer(ResultCode::Unclear, "no clear result in time"),
    })
}
