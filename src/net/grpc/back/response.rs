//! Reads a node's response and forwards it to the call's task.

use super::progress::TrackedStream;
use crate::attempt_end::AttemptEnd;
use crate::core::{AnswerBinder, Report};
use crate::grpc::messages::{MessageBoundaries, MessageError};
use crate::grpc::status;
use crate::interface::Load;
use crate::net::back::{NOT_PROCESSED, load, used};
use crate::net::grpc::call::{Call, ResponsePart};
use crate::net::grpc::{NODE_TO_PROXY, PUSHBACK, STATUS, forwarded};
use bytes::Bytes;
use h2::Reason;
use h2::client::ResponseFuture;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use log::debug;

/// Reads a node's response and forwards it to the call's task.
pub(super) struct ResponseReader<'a> {
    pub(super) call: &'a Call,
    pub(super) binder: &'a AnswerBinder,
    pub(super) tracked: &'a TrackedStream,
    /// The call is bound to this attempt: no other may answer it.
    pub(super) bound: bool,
    /// A part of the response was forwarded to the client.
    pub(super) forwarded: bool,
}

/// Why reading a response stopped.
pub(super) enum ReadError {
    /// The attempt has ended in this way.
    Ended(AttemptEnd),
    /// The stream or its channel failed.
    Broken(h2::Error),
}

impl From<AttemptEnd> for ReadError {
    fn from(end: AttemptEnd) -> ReadError {
        ReadError::Ended(end)
    }
}

impl From<MessageError> for ReadError {
    fn from(error: MessageError) -> ReadError {
        debug!("a node's response is no sequence of messages: {error}");
        ReadError::Ended(AttemptEnd::BadAnswer)
    }
}

impl From<h2::Error> for ReadError {
    fn from(error: h2::Error) -> ReadError {
        ReadError::Broken(error)
    }
}

impl ResponseReader<'_> {
    /// Reads the response to its end and reports how the attempt ended.
    pub(super) async fn read(&mut self, response: ResponseFuture) -> Report {
        let (mut node_load, mut usage) = (Load::default(), None);
        let mut read_metadata = |metadata: &HeaderMap| {
            if let Some(queue) = load(metadata).queue {
                node_load.queue = Some(queue);
            }
            usage = used(metadata).or(usage);
        };
        let end = match self.forward(response, &mut read_metadata).await {
            Ok(end) | Err(ReadError::Ended(end)) => end,
            Err(ReadError::Broken(error)) => self.end_of_broken_stream(&error),
        };
        Report { end, body: Bytes::new(), load: node_load, used: usage }
    }

    pub(super) async fn forward(
        &mut self,
        response: ResponseFuture,
        read_metadata: &mut impl FnMut(&HeaderMap),
    ) -> Result<AttemptEnd, ReadError> {
        let (head, mut body) = response.await?.into_parts();
        read_metadata(&head.headers);
        if head.status != StatusCode::OK {
            let turned_away = head.status == StatusCode::SERVICE_UNAVAILABLE && not_processed(&head.headers);
            return Ok(if turned_away { AttemptEnd::TurnedAway } else { AttemptEnd::ErrorAnswer });
        }
        // A Trailers-Only response: the headers hold the trailers.
        if body.is_end_stream() {
            return self.finish(None, head.headers, Ok(())).await;
        }
        let mut headers = Some(head.headers);
        if self.call.route.early_headers {
            self.send_headers(&mut headers).await?;
        }
        let mut messages = MessageBoundaries::default();
        while let Some(piece) = body.data().await {
            let piece = piece?;
            let length = piece.len();
            messages.scan(&piece)?;
            if length > 0 {
                self.send_headers(&mut headers).await?;
                self.send(ResponsePart::Data(piece)).await?;
            }
            // Only now may the node send as many bytes again, so that it sends no faster than the client
            // reads.
            let _ = body.flow_control().release_capacity(length);
        }
        let trailers = body.trailers().await?.ok_or(AttemptEnd::BadAnswer)?;
        read_metadata(&trailers);
        self.finish(headers, trailers, messages.finish()).await
    }

    /// Binds the call to this attempt, so that it is not retried elsewhere, and forwards the headers, each
    /// once.
    pub(super) async fn send_headers(&mut self, headers: &mut Option<HeaderMap>) -> Result<(), ReadError> {
        if !self.bound {
            if !self.binder.bind().await {
                return Err(AttemptEnd::CalledOff.into());
            }
            self.bound = true;
        }
        if let Some(headers) = headers.take() {
            self.forwarded = true;
            self.send(ResponsePart::Headers(forwarded(&headers, &NODE_TO_PROXY))).await?;
        }
        Ok(())
    }

    /// Waits until the call's task has room for the part.
    pub(super) async fn send(&self, part: ResponsePart) -> Result<(), ReadError> {
        self.call.response.send(part).await.map_err(|_| AttemptEnd::CalledOff.into())
    }

    /// Ends the response: forwards its trailers, or records the status of a failure that may be retried.
    /// `messages`: whether the response ends after a whole message, without which it must not look complete.
    pub(super) async fn finish(
        &mut self,
        headers: Option<HeaderMap>,
        trailers: HeaderMap,
        messages: Result<(), MessageError>,
    ) -> Result<AttemptEnd, ReadError> {
        let mut statuses = trailers.get_all(STATUS).iter();
        let code = match (statuses.next(), statuses.next()) {
            (Some(code), None) => status::parse_code(Some(code.as_bytes())),
            _ => None,
        };
        let end = status::attempt_end(code, not_processed(&trailers));
        if end == AttemptEnd::Answered {
            messages?;
            let mut headers = headers;
            self.send_headers(&mut headers).await?;
            self.send(ResponsePart::Trailers(forwarded(&trailers, &NODE_TO_PROXY))).await?;
        } else if self.forwarded && code.is_some() {
            // The client has a part of the response, and the node's own status describes its end best.
            let mut last = forwarded(&trailers, &NODE_TO_PROXY);
            last.insert(PUSHBACK, HeaderValue::from_static("-1"));
            self.send(ResponsePart::Trailers(last)).await?;
        } else {
            self.call.record_failure_status(code);
        }
        Ok(end)
    }

    /// Returns how an attempt ended whose stream failed with `error`.
    pub(super) fn end_of_broken_stream(&self, error: &h2::Error) -> AttemptEnd {
        let complete = self.tracked.progress(|progress| progress.complete).unwrap_or(true);
        let data = self.tracked.progress(|progress| progress.data).unwrap_or(true);
        debug!(stream = self.tracked.stream, whole = complete; "a stream to a node failed: {error}");
        if error.is_reset() && error.is_remote() {
            return match error.reason() {
                Some(Reason::REFUSED_STREAM) => AttemptEnd::TurnedAway,
                _ => AttemptEnd::ErrorAnswer,
            };
        }
        if self.tracked.above_goaway() {
            return AttemptEnd::TurnedAway;
        }
        // A node may start a streaming call with the first piece of the request; it starts others with the
        // last.
        let may_have_begun = complete || self.call.route.streams_request && data;
        if !may_have_begun {
            return AttemptEnd::BrokeUnsent;
        }
        if error.is_io() || error.is_go_away() { AttemptEnd::Broke } else { AttemptEnd::BadAnswer }
    }
}

/// Returns whether the node says that it has not processed the call.
pub(super) fn not_processed(metadata: &HeaderMap) -> bool {
    metadata.get(HeaderName::from_static(NOT_PROCESSED)).is_some_and(|value| value == "1")
}
