//! Streams from model servers to clients, which may be resumed at another model server.

use super::answer::{self, Answer, BodyError};
use super::attempt::{self, AttemptEnd};
use super::client_request::ClientRequest;
use super::evacuation::EvacuationNotice;
use super::shared::Shared;
use super::ticket::Ticket;
use super::upstream_answer;
use crate::clock;
use crate::net::client::{ConnectionLease, Exchange};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use pathbank_router::answer::event_stream::{EventReader, StreamError};
use pathbank_router::evacuation::{EVACUATION_MARGIN_MS, Progress};
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::request_log::Step;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::time::error::Elapsed;

/// A stream that is forwarded to its client.
pub struct Stream {
    shared: Arc<Shared>,
    client_request: ClientRequest,
    /// The body of the model server's answer; `None`: the stream is moving between two model servers.
    body: Option<Incoming>,
    head: Option<Answer>,
    lease: Option<ConnectionLease>,
    ticket: Ticket,
    /// Tells the stream's pieces from other bytes.
    reader: EventReader,
    /// What followed the last pieces is none.
    malformed: Option<StreamError>,
    pacing: Pacing,
    /// The notice that the model server will stop, if the stream can be resumed at another one.
    notice: Option<Arc<EvacuationNotice>>,
    /// When the stream moves to another model server, milliseconds of the steady clock.
    evacuate_at: Option<u64>,
    done: bool,
}

/// An event that a stream waits for.
enum Event {
    /// The model server's next bytes; `None`: the body is complete.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// The model server sent something else than a piece.
    Malformed(StreamError),
    /// The model server stops at this time, milliseconds of the steady clock.
    Notice(u64),
    /// The stream has to move to another model server now.
    Evacuate,
    /// The client's deadline has passed.
    Late(Elapsed),
}

/// The number of chunks over which a stream's pace is measured. A single gap says little, for several chunks
/// may arrive together.
const PACE_WINDOW_CHUNKS: usize = 5;

/// The times between a stream's chunks.
struct Pacing {
    began: u64,
    last: u64,
    longest: u64,
    /// When the latest chunks arrived.
    latest: VecDeque<u64>,
    /// The shortest time in which `PACE_WINDOW_CHUNKS` arrived.
    shortest: Option<u64>,
}

impl Pacing {
    fn new() -> Pacing {
        let now = clock::now();
        Pacing { began: now, last: now, longest: 0, latest: VecDeque::new(), shortest: None }
    }

    fn record(&mut self) {
        let now = clock::now();
        self.longest = self.longest.max(now - self.last);
        self.last = now;
        self.latest.push_back(now);
        if self.latest.len() > PACE_WINDOW_CHUNKS {
            let passed = now - self.latest.pop_front().unwrap_or(now);
            self.shortest = Some(self.shortest.map_or(passed, |known| known.min(passed)));
        }
    }

    /// Milliseconds between two chunks where the stream was fastest; `None`: too few chunks arrived.
    fn pace(&self) -> Option<f64> {
        self.shortest.map(|shortest| shortest as f64 / PACE_WINDOW_CHUNKS as f64).filter(|pace| *pace > 0.0)
    }
}

impl Stream {
    /// Creates a stream from an answer whose head has arrived.
    pub fn new(
        shared: Arc<Shared>,
        mut client_request: ClientRequest,
        exchange: Exchange,
        ticket: Ticket,
    ) -> Stream {
        let Exchange { response, lease } = exchange;
        client_request.record_version(response.headers());
        let mut head = upstream_answer::head_for_client(&response, answer::full_body(Bytes::new()));
        // Several model servers may send the stream, and what is no piece of it is left out.
        head.headers_mut().remove(hyper::header::CONTENT_LENGTH);
        let reader = EventReader::after(client_request.last_event_id());
        if !client_request.is_resumable() {
            client_request.release_body();
        }
        let notice = client_request.is_resumable().then(|| shared.evacuation_notice(ticket.id()));
        Stream {
            shared,
            client_request,
            body: Some(response.into_body()),
            head: Some(head),
            lease: Some(lease),
            ticket,
            reader,
            malformed: None,
            pacing: Pacing::new(),
            notice,
            evacuate_at: None,
            done: false,
        }
    }

    /// Waits for the stream's next event.
    async fn event(&mut self) -> Event {
        if let Some(error) = self.malformed.take() {
            return Event::Malformed(error);
        }
        let Some(body) = &mut self.body else { return Event::Evacuate };
        let frame = tokio::time::timeout(clock::until(self.client_request.deadline), body.frame());
        let evacuation = next_evacuation_event(self.notice.as_deref(), self.evacuate_at);
        tokio::select! {
            biased;
            frame = frame => frame.map_or_else(Event::Late, Event::Frame),
            event = evacuation => event,
        }
    }

    /// The next bytes for the client; `None`: the stream is complete.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        while !self.done {
            match self.event().await {
                Event::Frame(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let pieces = self.reader.read(&data);
                    self.malformed = pieces.error;
                    if let Err(exhausted) = self.client_request.cover_event(self.reader.held_bytes()) {
                        self.shared.memory.requests.count_refusal();
                        self.ticket.end(AttemptOutcome::Abandoned);
                        return Some(Err(self.broken(Step::Broken, exhausted.into())));
                    }
                    if !pieces.bytes.is_empty() {
                        self.pacing.record();
                        return Some(Ok(Frame::data(pieces.bytes)));
                    }
                }
                Event::Frame(None) => match self.reader.finish() {
                    Ok(()) => self.complete(),
                    Err(error) => self.malformed = Some(error),
                },
                Event::Frame(Some(Err(error))) => {
                    if !self.resume().await {
                        return Some(Err(self.broken(Step::Broken, error.into())));
                    }
                }
                Event::Malformed(error) => {
                    self.client_request.record_answer_error(
                        &self.shared,
                        self.ticket.instance(),
                        error.into(),
                    );
                    if !self.resume().await {
                        return Some(Err(self.broken(Step::Broken, error.into())));
                    }
                }
                Event::Notice(ends_at) => self.plan_evacuation(ends_at),
                Event::Evacuate => {
                    if !self.evacuate().await {
                        return Some(Err(
                            self.broken(Step::Broken, "no other model server continued the stream".into())
                        ));
                    }
                }
                Event::Late(elapsed) => {
                    self.ticket.end(AttemptOutcome::Abandoned);
                    return Some(Err(self.broken(Step::TimedOut, elapsed.into())));
                }
            }
        }
        None
    }

    /// Ends the stream with an error.
    fn broken(&mut self, step: Step, error: BodyError) -> BodyError {
        self.done = true;
        self.client_request.record_step(&self.shared, step);
        error
    }

    /// Ends a stream that is complete.
    fn complete(&mut self) {
        self.done = true;
        if let Some(pace) = self.pacing.pace() {
            self.shared.decisions().dispatcher.observe_decode_pace(clock::now(), self.ticket.id(), pace);
        }
        self.ticket.end(AttemptOutcome::Answered);
        self.shared.decisions().event_rate.observe(self.client_request.output_tokens(), self.reader.events());
        let first_ms = self.pacing.began.saturating_sub(self.client_request.arrived());
        let (longest_pause_ms, took_ms) =
            (self.pacing.longest, clock::now().saturating_sub(self.pacing.began));
        let (id, name) = self.client_request.log_fields();
        tracing::debug!(id, ?name, first_ms, longest_pause_ms, took_ms, "stream complete");
        self.client_request.record_step(&self.shared, Step::Complete);
        if let Some(lease) = self.lease.take() {
            self.shared.pool.give_back(lease);
        }
    }

    /// Sets when the stream leaves a model server that will stop: now, or, if the stream should be complete
    /// before, at the last moment.
    fn plan_evacuation(&mut self, ends_at: u64) {
        let now = clock::now();
        let expected = self.shared.decisions().event_rate.expected(self.client_request.output_tokens());
        let progress = Progress { started_at: self.pacing.began, events: self.reader.events(), expected };
        let stays = progress.completes_before(now, ends_at);
        self.notice = None;
        self.evacuate_at = Some(if stays { ends_at.saturating_sub(EVACUATION_MARGIN_MS) } else { now });
    }

    /// Moves the stream to another model server if a further attempt is allowed. Returns whether the stream
    /// goes on.
    async fn evacuate(&mut self) -> bool {
        self.evacuate_at = None;
        if !attempt::may_send_again(&self.shared, &self.client_request) {
            return true;
        }
        self.ticket.end(AttemptOutcome::Abandoned);
        (self.body, self.lease) = (None, None);
        self.resume_elsewhere(true).await
    }

    /// Resumes a stream that its model server broke off or spoiled, if that is allowed. Returns whether the
    /// stream goes on.
    async fn resume(&mut self) -> bool {
        self.ticket.end(AttemptOutcome::Failed);
        (self.body, self.lease) = (None, None);
        self.client_request.is_resumable() && self.resume_elsewhere(false).await
    }

    /// Resumes the stream at another model server after the last event that the client got. `allowed`: the
    /// caller has already spent the retry budget for the first attempt. Returns whether the stream goes on.
    async fn resume_elsewhere(&mut self, mut allowed: bool) -> bool {
        self.client_request.record_step(&self.shared, Step::Resuming);
        self.reader.restart();
        self.client_request.silent_since = self.pacing.last;
        self.client_request.resume_after = self.reader.last_id();
        let (id, name) = self.client_request.log_fields();
        tracing::debug!(id, ?name, after = self.reader.last_id(), "stream is resumed");
        while std::mem::take(&mut allowed) || attempt::may_send_again(&self.shared, &self.client_request) {
            match attempt::attempt(&self.shared, &mut self.client_request).await {
                AttemptEnd::Streams(exchange, ticket) => {
                    self.continue_with(*exchange, ticket);
                    return true;
                }
                AttemptEnd::Answered(..) | AttemptEnd::Refused(..) | AttemptEnd::TimedOut => return false,
                AttemptEnd::NotRun(_) | AttemptEnd::Broken => {}
            }
        }
        false
    }

    /// Continues the stream with another model server's answer.
    fn continue_with(&mut self, exchange: Exchange, ticket: Ticket) {
        let Exchange { response, lease } = exchange;
        self.notice = Some(self.shared.evacuation_notice(ticket.id()));
        (self.body, self.lease, self.ticket) = (Some(response.into_body()), Some(lease), ticket);
    }
}

/// Waits for the notice that the model server will stop, or, after the notice, for the time to move.
async fn next_evacuation_event(notice: Option<&EvacuationNotice>, evacuate_at: Option<u64>) -> Event {
    match (notice, evacuate_at) {
        (_, Some(evacuate_at)) => {
            tokio::time::sleep(clock::until(evacuate_at)).await;
            Event::Evacuate
        }
        (Some(notice), None) => Event::Notice(notice.notified().await),
        (None, None) => std::future::pending().await,
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.done {
            self.client_request.record_step(&self.shared, Step::Abandoned);
        }
    }
}

/// Returns the answer whose body is the stream.
pub fn stream(mut stream: Stream) -> Answer {
    let head = stream.head.take();
    let frames = stream::unfold(stream, |mut stream| async move {
        let next = stream.next().await?;
        Some((next, stream))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    match head {
        Some(head) => head.map(|_| body),
        None => hyper::Response::new(body),
    }
}
