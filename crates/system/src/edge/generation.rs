//! Generations of training steps that the leader assigns to this edge.
//!
//! The leader offers generations and the edge requests some of them. Each has to start within a timeout that
//! begins with that request, by the edge's own clock, so that none starts late after a stall or over a slow
//! link. The edge reports each result to the core that leads at that time.

use super::client_request::{cover_event, told_version};
use super::headers::{
    DEADLINE, EXPECT_VERSION, MODEL, PRIORITY, PROMPT_PREFIX, REQUEST_ID, TARGET_INSTANCE, TOKEN_COUNT,
};
use super::shared::Shared;
use super::upstream_answer::answer_head;
use crate::clock;
use crate::memory::held_body::HeldBody;
use crate::memory::share::MemoryLease;
use crate::net::client::{Exchange, ExchangeError};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode};
use pathbank_control::urgency::LOWEST_PRIORITY;
use pathbank_protocol::message::{
    DrawEnding, DrawGrant, DrawId, DrawOffer, DrawRequest, DrawResult, DrawTask, DrawnAnswer, Frame,
};
use pathbank_router::answer::AnswerError;
use pathbank_router::answer::event_stream::{EventReader, StreamError};
use pathbank_router::answer::head::{AnswerKind, SentRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The most generations that one edge runs at once.
const MAX_GENERATIONS: usize = 32;
/// The most bytes of a generation's text that the edge reports. Longer texts are truncated.
const MAX_TEXT_BYTES: usize = 64 * 1024;

/// Counts one running generation for as long as it lives.
struct RunningGeneration(Arc<Shared>);

impl RunningGeneration {
    fn new(shared: &Arc<Shared>) -> RunningGeneration {
        shared.generations.running.fetch_add(1, Ordering::Relaxed);
        RunningGeneration(shared.clone())
    }
}

impl Drop for RunningGeneration {
    fn drop(&mut self) {
        self.0.generations.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles an offer of the leader's waiting generations: requests as many as this edge has room for.
pub fn on_offer(shared: &Arc<Shared>, leader: SocketAddr, offer: DrawOffer) {
    let free = MAX_GENERATIONS.saturating_sub(shared.generations.running.load(Ordering::Relaxed));
    let count = offer.count.min(free as u32);
    if count == 0 || shared.stopping.load(Ordering::Relaxed) {
        return;
    }
    let request = Frame::DrawRequest(DrawRequest { requested_at: clock::now(), count });
    if let Some(mesh) = shared.mesh.get() {
        mesh.send(leader, &request);
    }
}

/// Starts the generations that the leader assigned, unless their time to start has passed.
pub fn on_grant(shared: &Arc<Shared>, grant: DrawGrant) {
    let begin_by = grant.requested_at + grant.start_timeout_ms;
    for task in grant.tasks {
        let running = RunningGeneration::new(shared);
        tokio::spawn(async move {
            let ending = draw(&running.0, &task, begin_by).await;
            report(&running.0, DrawResult { id: task.id, timeout_ms: task.timeout_ms, ending });
        });
    }
}

/// Reports a result to the current leader. If no leader is known, the result is dropped: the generation times
/// out, and the next leader has it run again.
fn report(shared: &Arc<Shared>, result: DrawResult) {
    let leader = shared.decisions().core_choice.leader();
    if let (Some(leader), Some(mesh)) = (leader, shared.mesh.get()) {
        mesh.send(leader, &Frame::DrawResult(result));
    }
}

async fn draw(shared: &Arc<Shared>, task: &DrawTask, begin_by: u64) -> DrawEnding {
    let Ok(address) = task.address.parse::<SocketAddr>() else { return DrawEnding::Over };
    let Some(request) = request(task) else { return DrawEnding::Over };
    let request_id = request.headers().get(REQUEST_ID).cloned();
    let exchange = async {
        match shared.pool.exchange_if(address, request, || clock::now() < begin_by).await {
            Ok(exchange) => read(shared, task, exchange, request_id.as_ref()).await,
            Err(ExchangeError::NotSent(_)) => DrawEnding::Over,
            Err(ExchangeError::Broken(_)) => DrawEnding::Unknown,
        }
    };
    let latest = clock::until(begin_by + task.timeout_ms);
    tokio::time::timeout(latest, exchange).await.unwrap_or(DrawEnding::Unknown)
}

/// Names a generation at its worker, the same at every try.
fn request_id(id: &DrawId) -> String {
    let DrawId { step, epoch, prompt, .. } = id;
    format!("step-{step}.{epoch}.{prompt}.{:08x}", fastrand::u32(..))
}

fn request(task: &DrawTask) -> Option<Request<HeldBody>> {
    let mut request = Request::new(HeldBody::from(Bytes::from(task.body.clone())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = task.path.parse().ok()?;
    let headers = request.headers_mut();
    let mut set = |name: HeaderName, value: &str| {
        headers.insert(name, HeaderValue::from_str(value).ok()?);
        Some(())
    };
    set(HOST, &task.address)?;
    set(REQUEST_ID, &request_id(&task.id))?;
    set(TARGET_INSTANCE, &task.id.instance)?;
    set(MODEL, &task.model)?;
    set(TOKEN_COUNT, &format!("{},{}", task.input_tokens, task.output_tokens))?;
    set(DEADLINE, &task.timeout_ms.to_string())?;
    set(EXPECT_VERSION, &task.id.version.to_string())?;
    // Clients' requests go before generations.
    set(PRIORITY, &LOWEST_PRIORITY.to_string())?;
    if !task.prefix.is_empty() {
        set(PROMPT_PREFIX, &task.prefix)?;
    }
    Some(request)
}

/// Reads a model server's answer to its end.
async fn read(
    shared: &Arc<Shared>,
    task: &DrawTask,
    exchange: Exchange,
    request_id: Option<&HeaderValue>,
) -> DrawEnding {
    let Exchange { response, lease } = exchange;
    let sent = SentRequest {
        id: request_id.map(HeaderValue::as_bytes),
        streaming: true,
        accepts_encoding: false,
        // The leader judges the versions of a generation.
        version: None,
    };
    match answer_head(&response).check(sent) {
        Ok(AnswerKind::Stream) if response.status() == StatusCode::OK => {}
        Ok(_) => return DrawEnding::Over,
        Err(error) => {
            record_error(shared, task, error.into());
            return DrawEnding::Unknown;
        }
    }
    let header_version = told_version(response.headers());
    let mut answer = Reading {
        answer: DrawnAnswer { header_version, ..DrawnAnswer::default() },
        reader: EventReader::default(),
        memory: shared.memory.requests.empty_lease(),
    };
    match answer.read_all(response.into_body()).await {
        Ok(()) => {}
        Err(ReadError::Broken) => return DrawEnding::Unknown,
        Err(ReadError::Malformed(error)) => {
            record_error(shared, task, error.into());
            return DrawEnding::Unknown;
        }
    }
    shared.pool.give_back(lease);
    DrawEnding::Complete(answer.finish(task))
}

/// Records that a model server sent something else than a generation or a part of one.
fn record_error(shared: &Shared, task: &DrawTask, error: AnswerError) {
    tracing::warn!(instance = task.id.instance, %error, "a model server sent no generation");
    shared.answer_errors.record(error);
}

/// An answer that is being read.
struct Reading {
    answer: DrawnAnswer,
    reader: EventReader,
    /// The memory for an event that is not complete.
    memory: MemoryLease,
}

/// Why a generation's answer is not complete.
enum ReadError {
    /// The connection broke.
    Broken,
    /// The model server sent something else than events.
    Malformed(StreamError),
}

impl From<StreamError> for ReadError {
    fn from(error: StreamError) -> ReadError {
        ReadError::Malformed(error)
    }
}

impl Reading {
    /// Reads the body to its end.
    async fn read_all(&mut self, mut body: Incoming) -> Result<(), ReadError> {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| ReadError::Broken)?.into_data() else { continue };
            let pieces = self.reader.read(&data);
            if let Some(error) = pieces.error {
                return Err(error.into());
            }
            cover_event(&mut self.memory, self.reader.held_bytes()).map_err(|_| ReadError::Broken)?;
            self.answer.event_versions.extend(pieces.versions);
            self.append(&pieces.bytes);
        }
        Ok(self.reader.finish()?)
    }

    fn append(&mut self, events: &[u8]) {
        let free = MAX_TEXT_BYTES - self.answer.text.len();
        let text = String::from_utf8_lossy(events);
        let end = text.floor_char_boundary(free.min(text.len()));
        self.answer.truncated |= end < text.len();
        self.answer.text.push_str(&text[..end]);
    }

    fn finish(mut self, task: &DrawTask) -> DrawnAnswer {
        let tokens = self.reader.events() * u64::from(task.event_tokens.max(1));
        self.answer.tokens = tokens.min(task.output_tokens.max(1));
        self.answer
    }
}
