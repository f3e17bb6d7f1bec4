//! The bytes of answers, from model servers to clients.

use super::answer::{self, Answer, BodyError};
use super::job::Job;
use super::proxy::{self, Try};
use super::shared::{Departure, Shared};
use super::ticket::Ticket;
use crate::clock;
use crate::net::client::{ConnectionLease, Exchange};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use pathbank_router::evacuation::{EVACUATION_MARGIN_MS, Progress};
use pathbank_router::events::EventTracker;
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::request_log::Step;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::time::error::Elapsed;

/// Bytes of an answer that is held whole before it goes to the client.
const MOST_WHOLE_BYTES: usize = 32 * 1024 * 1024;

/// Reads an answer whole; its connection is used again.
pub async fn whole(shared: &Arc<Shared>, exchange: Exchange) -> Result<Answer, BodyError> {
    let Exchange { response, lease } = exchange;
    let mut answer = proxy::head_for_client(&response, answer::whole(Bytes::new()));
    let body = Limited::new(response.into_body(), MOST_WHOLE_BYTES).collect().await?.to_bytes();
    shared.pool.give_back(lease);
    *answer.body_mut() = answer::whole(body);
    Ok(answer)
}

/// A stream on its way to its client.
pub struct Stream {
    shared: Arc<Shared>,
    job: Job,
    /// What its model server sends; `None`: it has left its model server.
    body: Option<Incoming>,
    head: Option<Answer>,
    lease: Option<ConnectionLease>,
    ticket: Ticket,
    tracker: EventTracker,
    pauses: Pauses,
    /// Word that its model server is taken away, where another one may take the stream up.
    departure: Option<Arc<Departure>>,
    /// It leaves its model server at this time.
    leaves_at: Option<u64>,
    done: bool,
}

/// What a stream waits for.
enum Event {
    /// The model server's next bytes; `None`: there are no more.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// Its model server is gone at this time.
    Notice(u64),
    /// It has to leave its model server now.
    Leave,
    /// Its client's time is over.
    Late(Elapsed),
}

/// Pieces over which a stream's pace is taken: several may come together.
const PACE_PIECES: usize = 5;

/// Pauses between a stream's pieces.
struct Pauses {
    began: u64,
    last: u64,
    longest: u64,
    /// When the latest pieces came.
    latest: VecDeque<u64>,
    /// The shortest time in which so many came.
    shortest: Option<u64>,
}

impl Pauses {
    fn new() -> Pauses {
        let now = clock::now();
        Pauses { began: now, last: now, longest: 0, latest: VecDeque::new(), shortest: None }
    }

    fn note(&mut self) {
        let now = clock::now();
        self.longest = self.longest.max(now - self.last);
        self.last = now;
        self.latest.push_back(now);
        if self.latest.len() > PACE_PIECES {
            let passed = now - self.latest.pop_front().unwrap_or(now);
            self.shortest = Some(self.shortest.map_or(passed, |known| known.min(passed)));
        }
    }

    /// Milliseconds between two pieces while nothing held them up; `None`: too few came.
    fn pace(&self) -> Option<f64> {
        self.shortest.map(|shortest| shortest as f64 / PACE_PIECES as f64).filter(|pace| *pace > 0.0)
    }
}

impl Stream {
    /// A stream whose answer's head has come.
    pub fn new(shared: Arc<Shared>, mut job: Job, exchange: Exchange, ticket: Ticket) -> Stream {
        let Exchange { response, lease } = exchange;
        job.answered_by(response.headers());
        let mut head = proxy::head_for_client(&response, answer::whole(Bytes::new()));
        if job.resumable() {
            head.headers_mut().remove(hyper::header::CONTENT_LENGTH);
        }
        let departure = job.resumable().then(|| shared.departure(ticket.id()));
        Stream {
            shared,
            job,
            body: Some(response.into_body()),
            head: Some(head),
            lease: Some(lease),
            ticket,
            tracker: EventTracker::default(),
            pauses: Pauses::new(),
            departure,
            leaves_at: None,
            done: false,
        }
    }

    async fn event(&mut self) -> Event {
        let Some(body) = &mut self.body else { return Event::Leave };
        let frame = tokio::time::timeout(clock::until(self.job.deadline), body.frame());
        let leaving = leaving(self.departure.as_deref(), self.leaves_at);
        tokio::select! {
            biased;
            frame = frame => frame.map_or_else(Event::Late, Event::Frame),
            event = leaving => event,
        }
    }

    /// The next bytes for the client; `None`: the stream is complete.
    async fn next(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        while !self.done {
            match self.event().await {
                Event::Frame(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.pauses.note();
                    let passed = if self.job.resumable() { self.tracker.pass(&data).into() } else { data };
                    if !passed.is_empty() {
                        return Some(Ok(Frame::data(passed)));
                    }
                }
                Event::Frame(None) => return self.complete(),
                Event::Frame(Some(Err(error))) => {
                    self.ticket.end(AttemptOutcome::Failed);
                    if !self.resume().await {
                        return Some(Err(self.broken(Step::Broken, error.into())));
                    }
                }
                Event::Notice(gone_at) => self.plan_to_leave(gone_at),
                Event::Leave => {
                    if !self.leave().await {
                        return Some(Err(
                            self.broken(Step::Broken, "no model server took the stream up".into())
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

    fn broken(&mut self, step: Step, error: BodyError) -> BodyError {
        self.done = true;
        self.job.note(&self.shared, step);
        error
    }

    fn complete(&mut self) -> Option<Result<Frame<Bytes>, BodyError>> {
        self.done = true;
        if let Some(pace) = self.pauses.pace() {
            self.shared.deciding().dispatcher.observe_decode_pace(clock::now(), self.ticket.id(), pace);
        }
        self.ticket.end(AttemptOutcome::Answered);
        self.shared.deciding().event_rate.observe(self.job.output_tokens(), self.tracker.events());
        let first_ms = self.pauses.began.saturating_sub(self.job.arrived());
        let (longest_pause_ms, took_ms) =
            (self.pauses.longest, clock::now().saturating_sub(self.pauses.began));
        let (id, name) = self.job.told();
        tracing::debug!(id, ?name, first_ms, longest_pause_ms, took_ms, "stream complete");
        self.job.note(&self.shared, Step::Complete);
        if let Some(lease) = self.lease.take() {
            self.shared.pool.give_back(lease);
        }
        let rest = self.tracker.finish();
        (!rest.is_empty()).then(|| Ok(Frame::data(rest.into())))
    }

    /// Its model server is taken away: it leaves now, or, where it should be complete before, at the last
    /// moment.
    fn plan_to_leave(&mut self, gone_at: u64) {
        let now = clock::now();
        let expected = self.shared.deciding().event_rate.expected(self.job.output_tokens());
        let progress = Progress { started_at: self.pauses.began, events: self.tracker.events(), expected };
        let stays = progress.completes_before(now, gone_at);
        self.departure = None;
        self.leaves_at = Some(if stays { gone_at.saturating_sub(EVACUATION_MARGIN_MS) } else { now });
    }

    /// Leaves its model server for another one; where it may not be sent once more it stays. Returns whether
    /// the stream goes on.
    async fn leave(&mut self) -> bool {
        self.leaves_at = None;
        if !proxy::may_send_again(&self.shared, &self.job) {
            return true;
        }
        self.ticket.end(AttemptOutcome::Abandoned);
        (self.body, self.lease) = (None, None);
        self.take_up(true).await
    }

    /// Its model server broke off: another one takes it up, where that may be.
    async fn resume(&mut self) -> bool {
        self.job.resumable() && self.take_up(false).await
    }

    /// Takes the stream up at another model server, behind the last event that the client got. `allowed`: the
    /// first try is.
    async fn take_up(&mut self, mut allowed: bool) -> bool {
        self.job.note(&self.shared, Step::Resuming);
        self.tracker.broke();
        if let Some(id) = self.tracker.last_id() {
            self.job.resume_at = Some(id.to_owned());
        }
        while std::mem::take(&mut allowed) || proxy::may_send_again(&self.shared, &self.job) {
            match proxy::attempt(&self.shared, &mut self.job).await {
                Try::Answered(exchange, ticket) if exchange.response.status().is_success() => {
                    self.go_on(*exchange, ticket);
                    return true;
                }
                Try::Answered(..) | Try::Refused(..) | Try::TimedOut => return false,
                Try::NotRun(_) | Try::Broken => {}
            }
        }
        false
    }

    fn go_on(&mut self, exchange: Exchange, ticket: Ticket) {
        let Exchange { response, lease } = exchange;
        self.departure = Some(self.shared.departure(ticket.id()));
        (self.body, self.lease, self.ticket) = (Some(response.into_body()), Some(lease), ticket);
    }
}

/// Waits for word that a stream's model server is taken away, or, once it came, for the time to leave.
async fn leaving(departure: Option<&Departure>, leaves_at: Option<u64>) -> Event {
    match (departure, leaves_at) {
        (_, Some(leaves_at)) => {
            tokio::time::sleep(clock::until(leaves_at)).await;
            Event::Leave
        }
        (Some(departure), None) => Event::Notice(departure.told().await),
        (None, None) => std::future::pending().await,
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.done {
            self.job.note(&self.shared, Step::Abandoned);
        }
    }
}

/// The answer whose body is the stream.
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
