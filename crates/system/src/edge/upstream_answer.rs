//! Turns a model server's answer into the one that the client gets.

use super::answer::{self, Answer, AnswerBody, BodyError};
use super::client_request::told_version;
use super::headers::{NOT_EXECUTED, REQUEST_ID, SIGNATURE, end_to_end, text};
use super::shared::Shared;
use crate::memory::held_body::{BodyBuffer, HeldBody};
use crate::net::client::{ConnectionLease, Exchange};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use pathbank_router::answer::head::AnswerHead;
use std::sync::Arc;

/// A longer answer is passed on while it arrives: its first byte reaches the client before its last one is there.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// An answer of which all, or the beginning, has been read.
pub enum ReadAnswer {
    /// It is complete.
    Complete(Answer),
    /// It is longer than what is held of an answer.
    Long(LongAnswerStart),
}

impl ReadAnswer {
    /// The answer if it is complete.
    pub fn complete(self) -> Option<Answer> {
        match self {
            ReadAnswer::Complete(answer) => Some(answer),
            ReadAnswer::Long(_) => None,
        }
    }
}

/// The beginning of a long answer.
pub struct LongAnswerStart {
    /// Its head, with an empty body.
    pub head: Answer,
    /// What has been read.
    pub beginning: HeldBody,
    /// What has been read and found no memory to be held in.
    pub unheld: Bytes,
    /// The rest.
    pub rest: Incoming,
    /// The connection that carries the rest.
    pub lease: ConnectionLease,
}

/// Reads an answer. At its end, returns its connection to the pool.
pub async fn read(shared: &Arc<Shared>, exchange: Exchange) -> Result<ReadAnswer, BodyError> {
    let Exchange { response, lease } = exchange;
    let mut head = head_for_client(&response, answer::full_body(Bytes::new()));
    let mut rest = response.into_body();
    let announced = rest.size_hint().exact().map(|length| length as usize);
    let mut buffer = BodyBuffer::new(announced);
    while let Some(frame) = rest.frame().await {
        let Ok(mut unheld) = frame?.into_data() else { continue };
        let share = &shared.memory.answers;
        if buffer.push(&mut unheld, share).is_err() || buffer.length() > MAX_HELD_BYTES {
            let beginning = buffer.finish();
            return Ok(ReadAnswer::Long(LongAnswerStart { head, beginning, unheld, rest, lease }));
        }
    }
    shared.pool.give_back(lease);
    *head.body_mut() = answer::held_body(buffer.finish());
    Ok(ReadAnswer::Complete(head))
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
