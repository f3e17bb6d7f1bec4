//! Turns a model server's answer into the one that the client gets.

use super::answer::{self, Answer, AnswerBody, BodyError};
use super::client_request::told_version;
use super::headers::{NOT_EXECUTED, REQUEST_ID, SIGNATURE, end_to_end, text};
use super::shared::Shared;
use crate::net::client::Exchange;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use pathbank_router::answer::head::AnswerHead;
use std::sync::Arc;

/// The largest answer that is buffered before it goes to the client.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// Reads an answer to its end and returns its connection to the pool.
pub async fn read_complete(shared: &Arc<Shared>, exchange: Exchange) -> Result<Answer, BodyError> {
    let Exchange { response, lease } = exchange;
    let mut answer = head_for_client(&response, answer::full_body(Bytes::new()));
    let body = Limited::new(response.into_body(), MAX_BUFFERED_BYTES).collect().await?.to_bytes();
    shared.pool.give_back(lease);
    *answer.body_mut() = answer::full_body(body);
    Ok(answer)
}

/// The content coding that changes nothing.
const IDENTITY: &str = "identity";

/// What the head of a model server's answer says.
pub(super) fn answer_head(response: &Response<Incoming>) -> AnswerHead<'_> {
    let headers = response.headers();
    AnswerHead {
        status: response.status().as_u16(),
        request_id: headers.get(REQUEST_ID).map(HeaderValue::as_bytes),
        signed: headers.contains_key(SIGNATURE),
        not_executed: headers.contains_key(NOT_EXECUTED),
        framed: headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING),
        encoded: headers.get(CONTENT_ENCODING).is_some_and(|coding| coding != IDENTITY),
        content_type: text(headers, &CONTENT_TYPE),
        version: told_version(headers),
    }
}

/// Returns an answer with the model server's status and end-to-end headers, and this body.
pub(super) fn head_for_client(response: &Response<Incoming>, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = response.status();
    *answer.headers_mut() = end_to_end(response.headers());
    answer.headers_mut().remove(NOT_EXECUTED);
    answer
}
