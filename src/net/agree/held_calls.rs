//! The memory of calls to a voter: bodies are read into leased blocks, and answers are leased until they are written.

use super::wire::MAX_MESSAGE_BYTES;
use crate::net::body::{BodyReader, Fault};
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http_body_util::BodyExt;
use pathbank_memory::held_body::{BodyBuffer, HeldBody};
use pathbank_memory::share::{MemoryLease, MemoryShare};

/// An answer of at most so many bytes is held without a lease.
const SHORT_ANSWER_BYTES: usize = 4 * 1024;

/// Reads a call's body into leased memory, and leases its answer.
pub(super) async fn hold(State(memory): State<MemoryShare>, request: Request, next: Next) -> Response {
    let (head, body) = request.into_parts();
    let body = match read(&memory, body).await {
        Ok(body) => body,
        Err(fault) => return fault.into_response(),
    };
    let answer = next.run(Request::from_parts(head, Body::from(body))).await;
    hold_answer(&memory, answer).await
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyFault {
    /// It did not come.
    Reader(Fault),
    /// There is no memory for it.
    NoMemory,
}

impl IntoResponse for BodyFault {
    fn into_response(self) -> Response {
        match self {
            BodyFault::Reader(Fault::Slow) => StatusCode::REQUEST_TIMEOUT.into_response(),
            BodyFault::Reader(Fault::Broken) => StatusCode::BAD_REQUEST.into_response(),
            BodyFault::Reader(Fault::TooLong) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
            BodyFault::NoMemory => no_memory(),
        }
    }
}

fn no_memory() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, "other calls take the memory").into_response()
}

async fn read(memory: &MemoryShare, body: Body) -> Result<Bytes, BodyFault> {
    let mut reader = BodyReader::new(body, MAX_MESSAGE_BYTES as u64);
    let mut buffer = BodyBuffer::new(reader.length().map(|length| length as usize));
    while let Some(mut piece) = reader.next().await.map_err(BodyFault::Reader)? {
        if buffer.push(&mut piece, memory).is_err() {
            memory.count_refusal();
            return Err(BodyFault::NoMemory);
        }
    }
    Ok(joined(memory, buffer.finish()))
}

/// The body in one piece. Its blocks are given back before the piece takes their place; nothing else runs meanwhile.
fn joined(memory: &MemoryShare, held: HeldBody) -> Bytes {
    let bytes = Bytes::from(held.into_vec());
    match memory.lease(bytes.len()) {
        Ok(lease) => Bytes::from_owner(LeasedBytes { bytes, _lease: lease }),
        Err(_) => bytes,
    }
}

/// Bytes with the lease for them.
struct LeasedBytes {
    bytes: Bytes,
    _lease: MemoryLease,
}

impl AsRef<[u8]> for LeasedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Leases an answer until its last byte is written.
async fn hold_answer(memory: &MemoryShare, answer: Response) -> Response {
    let (head, body) = answer.into_parts();
    let Ok(body) = body.collect().await else { return StatusCode::INTERNAL_SERVER_ERROR.into_response() };
    let bytes = body.to_bytes();
    if bytes.len() <= SHORT_ANSWER_BYTES {
        return Response::from_parts(head, Body::from(bytes));
    }
    match memory.lease(bytes.len()) {
        Ok(lease) => {
            let leased = Bytes::from_owner(LeasedBytes { bytes, _lease: lease });
            Response::from_parts(head, Body::from(leased))
        }
        Err(_) => {
            memory.count_refusal();
            no_memory()
        }
    }
}
