//! Answers of the HTTP interface, and what all of its calls share.

use crate::core::event::Event;
use crate::memory::body_reader::{BodyFault, BodyLimits};
use crate::memory::call_queue::CallLease;
use crate::memory::held_body::HeldBody;
use crate::memory::plan::CoreMemory;
use crate::net::server::Connection;
use bytes::Bytes;
use http_body_util::Full;
use pathbank_control::operator_calls::Reply;
use pathbank_control::result_code::ResultCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot::{self, error::RecvError};
use tokio::time::{error::Elapsed, timeout};
use viz::header::{CONNECTION, HeaderValue};
use viz::{Body, IntoResponse, Response, StatusCode};

const RESULT_CODE: &str = "x-pathbank-result-code";
/// Every call is answered within this.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Seconds; by then a leader is elected.
const RETRY_AFTER_S: &str = "0.5";

/// What calls need.
#[derive(Clone)]
pub struct CallContext {
    /// Where calls become events.
    pub events: UnboundedSender<Event>,
    /// The memory for what callers send.
    pub memory: CoreMemory,
    /// Held while a long answer is made.
    pub reading: Arc<Mutex<()>>,
}

impl CallContext {
    /// Waits until there is memory to carry out a call with this body. The error is the answer to send.
    pub async fn admit(&self, body: &HeldBody) -> Result<CallLease, Response> {
        let lease = self.memory.changes.admit(body.length(), ANSWER_TIMEOUT).await;
        lease.ok_or_else(|| result_answer(ResultCode::OutOfMemory, "other calls take the memory"))
    }
}

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
    json_bytes(body.into())
}

fn json_bytes(body: Bytes) -> Response {
    let mut response = Response::new(Body::Full(Full::new(body)));
    response.headers_mut().insert("content-type", viz::header::HeaderValue::from_static("application/json"));
    response
}

/// Reads a body, within a time-out and a limit of its size. The error is the answer to send.
pub async fn body_of(
    context: &CallContext,
    request: &mut viz::Request,
    most: usize,
) -> Result<HeldBody, Response> {
    let body = std::mem::replace(request.body_mut(), Body::Empty);
    let connection = request.extensions().get::<Arc<Connection>>().cloned();
    let limits = BodyLimits { bytes: most, timeout: ANSWER_TIMEOUT };
    let read = context.memory.bodies.read(body, limits).await;
    if let Some(connection) = connection {
        connection.body_complete();
    }
    read.map_err(|fault| {
        let code = match fault {
            BodyFault::TooLong => ResultCode::BodyTooLarge,
            // A call that was late is not invalid: its caller may retry.
            BodyFault::Late | BodyFault::Stalled | BodyFault::Broken => ResultCode::BodyLate,
            BodyFault::NoMemory => ResultCode::OutOfMemory,
        };
        let mut answer = result_answer(code, &fault.to_string());
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        answer
    })
}

/// Like [`ask`], for a call whose memory is held until the node is done with it, also where the caller gets no clear
/// answer before.
pub async fn ask_holding(
    context: CallContext,
    path: &str,
    lease: CallLease,
    event: impl FnOnce(oneshot::Sender<Reply>) -> Event,
) -> viz::Result<Response> {
    let (sender, receiver) = oneshot::channel();
    let (relayed, relay) = oneshot::channel();
    let _ = context.events.send(event(sender));
    tokio::spawn(async move {
        let reply = receiver.await;
        drop(lease);
        if let Ok(reply) = reply {
            let _ = relayed.send(reply);
        }
    });
    Ok(answer_of(timeout(ANSWER_TIMEOUT, relay).await, path))
}

/// Sends an event to the node, and turns its reply into an answer.
pub async fn ask(
    context: CallContext,
    path: &str,
    event: impl FnOnce(oneshot::Sender<Reply>) -> Event,
) -> viz::Result<Response> {
    let (sender, receiver) = oneshot::channel();
    let _ = context.events.send(event(sender));
    Ok(answer_of(timeout(ANSWER_TIMEOUT, receiver).await, path))
}

/// Like [`ask`], for a call whose answer may be long: one is made after the other, and each is held in leased memory
/// until its caller has taken it.
pub async fn read(
    context: CallContext,
    path: &str,
    event: impl FnOnce(oneshot::Sender<Reply>) -> Event,
) -> viz::Result<Response> {
    let busy = || result_answer(ResultCode::OutOfMemory, "other calls take the memory");
    let Ok(_turn) = timeout(ANSWER_TIMEOUT, context.reading.lock()).await else { return Ok(busy()) };
    let (sender, receiver) = oneshot::channel();
    let _ = context.events.send(event(sender));
    match timeout(ANSWER_TIMEOUT, receiver).await {
        Ok(Ok(Reply::Json(body))) => match context.memory.reads.admit_bytes(body.len(), ANSWER_TIMEOUT).await
        {
            Some(lease) => Ok(json_bytes(Bytes::from_owner(LeasedAnswer { body, _lease: lease }))),
            None => Ok(busy()),
        },
        reply => Ok(answer_of(reply, path)),
    }
}

/// An answer with the lease for it.
struct LeasedAnswer {
    body: Vec<u8>,
    _lease: CallLease,
}

impl AsRef<[u8]> for LeasedAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// The answer for the node's reply.
fn answer_of(reply: Result<Result<Reply, RecvError>, Elapsed>, path: &str) -> Response {
    match reply {
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
    }
}
