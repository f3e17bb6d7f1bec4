//! Answers that are too long to be held: they are passed on while they arrive, no faster than the client reads.

use super::answer::{Answer, BodyError};
use super::client_request::ClientRequest;
use super::shared::Shared;
use super::ticket::Ticket;
use super::upstream_answer::LongAnswerStart;
use crate::clock;
use crate::net::client::ConnectionLease;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::request_log::Step;
use std::collections::VecDeque;
use std::sync::Arc;

/// An answer that is passed on.
pub struct LongAnswer {
    shared: Arc<Shared>,
    client_request: ClientRequest,
    head: Answer,
    source: Source,
}

/// Where the bytes of the answer come from.
struct Source {
    /// What has been read already.
    read: VecDeque<Bytes>,
    rest: Incoming,
    lease: Option<ConnectionLease>,
    ticket: Ticket,
    /// The outcome if the answer is complete.
    outcome: AttemptOutcome,
    ended: bool,
}

impl LongAnswer {
    /// Creates an answer of which the beginning has been read.
    pub fn new(
        shared: Arc<Shared>,
        client_request: ClientRequest,
        start: LongAnswerStart,
        ticket: Ticket,
    ) -> LongAnswer {
        let LongAnswerStart { head, beginning, unheld, rest, lease } = start;
        let is_server_error = head.status().is_server_error();
        let outcome = if is_server_error { AttemptOutcome::ServerError } else { AttemptOutcome::Answered };
        let mut read = beginning.into_blocks();
        read.push_back(unheld);
        let source = Source { read, rest, lease: Some(lease), ticket, outcome, ended: false };
        LongAnswer { shared, client_request, head, source }
    }

    /// The answer for the client.
    pub fn into_answer(self) -> Answer {
        let LongAnswer { shared, client_request, head, source } = self;
        let passing = Passing { shared, client_request, source };
        let frames = stream::unfold(passing, |mut passing| async move {
            let next = passing.next().await?;
            Some((next, passing))
        });
        head.map(|_| StreamBody::new(frames).boxed_unsync())
    }
}

/// A long answer whose body is being sent.
struct Passing {
    shared: Arc<Shared>,
    client_request: ClientRequest,
    source: Source,
}

impl Passing {
    /// The next bytes for the client; `None`: the answer is complete.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        while let Some(bytes) = self.source.read.pop_front() {
            if !bytes.is_empty() {
                return Some(Ok(Frame::data(bytes)));
            }
        }
        while !self.source.ended {
            let deadline = clock::until(self.client_request.deadline);
            match tokio::time::timeout(deadline, self.source.rest.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(Frame::data(data)));
                    }
                }
                Ok(None) => self.complete(),
                Ok(Some(Err(error))) => {
                    return Some(Err(self.broken(AttemptOutcome::Failed, Step::Broken, error.into())));
                }
                Err(elapsed) => {
                    return Some(Err(self.broken(AttemptOutcome::Abandoned, Step::TimedOut, elapsed.into())));
                }
            }
        }
        None
    }

    fn complete(&mut self) {
        self.end(self.source.outcome, Step::Complete);
        if let Some(lease) = self.source.lease.take() {
            self.shared.pool.give_back(lease);
        }
    }

    /// Ends the answer with an error, so that it does not look complete.
    fn broken(&mut self, outcome: AttemptOutcome, step: Step, error: BodyError) -> BodyError {
        self.end(outcome, step);
        error
    }

    fn end(&mut self, outcome: AttemptOutcome, step: Step) {
        self.source.ended = true;
        self.source.ticket.end(outcome);
        self.client_request.record_step(&self.shared, step);
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        if !self.source.ended {
            self.client_request.record_step(&self.shared, Step::Abandoned);
        }
    }
}
