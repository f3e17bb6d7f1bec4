//! Sends requests to storage nodes over HTTP/1.1.
//!
//! Uses hyper's `client::conn` rather than hyper-util's pooled client, for two reasons. That client doesn't
//! report the arrival of an answer's first byte: in the test of malformed answers, an answer that stopped
//! halfway held its request until the client's deadline. It also runs each connection in a task of its own,
//! so that bytes on an idle connection are noticed only when that task next runs. Here each exchange owns its
//! connection, checks the socket before it writes, and returns the connection to the pool only when it is
//! clean. Dropping an attempt closes its connection at once, and nothing is retransmitted automatically.

use crate::attempt_end::AttemptEnd;
use crate::config::NodeLimits;
use crate::core::{Attempt, AttemptContext, AttemptSource, Report, WriteState};
use crate::handover::CapacityShare;
use crate::interface::Load;
use crate::memory::ProxyMemory;
use crate::net::inbound::Presence;
use crate::net::incoming_body::IncomingBody;
use crate::net::pool::{Pool, Quiet};
use crate::net::socket;
use crate::replay_buffer::{BodyEnd, Next};
use bytes::{Bytes, BytesMut};
use futures_util::stream::{BoxStream, unfold};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use hyper::rt::ReadBufCursor;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::TokioIo;
use pathbank_memory::held_body::{BodyBuffer, HeldBody};
use pathbank_memory::share::{MemoryLease, MemoryShare};
use std::collections::VecDeque;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout, timeout_at};

/// The most bytes of a body, of a request or an answer, that is held whole. A longer answer is streamed; of a
/// longer request body, the HTTP front holds up to 1 MiB before it forwards the request.
pub const MAX_HELD_BODY_BYTES: usize = 64 * 1024;
/// An answer of at most so many bytes is held without a lease: every client's connection has paid for it.
const SHORT_ANSWER_BYTES: usize = 2 * 1024;
/// What an answer holds that is passed on while it arrives: what the kernel holds unread, and its pieces.
const STREAMED_ANSWER_BYTES: usize = 48 * 1024;
/// How often an answer that waits for memory looks again.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The most bytes of any body.
pub const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// The header with the id of a request.
pub const REQUEST_ID: &str = "x-request-id";
/// The header with the idempotency key of a request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The header with the time that remains for a request, in milliseconds.
pub const TIMEOUT: &str = "x-timeout-ms";
/// The header by which a node states that it has not processed the request.
pub(super) const NOT_PROCESSED: &str = "x-not-processed";
/// The header with a node's load.
pub(super) const LOAD: &str = "x-server-load";
/// The header with the used share of the plan's rate, in percent.
pub(super) const METER: &str = "x-meter";
/// The most bytes of an answer's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most bytes before the final head has been parsed, 1xx answers included.
const MAX_BYTES_BEFORE_BODY: usize = MAX_HEAD_BYTES + 2 * MAX_HELD_BODY_BYTES;
/// The most bytes after the head for a body that is held; each byte may come as a chunk of its own.
const MAX_FRAMED_BODY_BYTES: usize = 8 * MAX_HELD_BODY_BYTES;
/// The longest pause within an answer that is held. After it, the declared length is taken to be wrong, or
/// the answer to have no end.
const ANSWER_STALL_LIMIT: Duration = Duration::from_millis(600);
/// The longest time without progress, by the node or the client, in a body that is streamed or in the writing
/// of any request.
const STREAM_STALL_LIMIT: Duration = Duration::from_secs(10);
/// The pieces buffered between a node and its client. Beyond them, the client's pace limits the node's.
const STREAM_BUFFER_PIECES: usize = 2;
/// How long a connection rests after its answer before reuse. Rested connections are preferred; the rest is
/// required once any node has sent unsolicited bytes. Also how often `connect` looks into the pool.
/// HTTP/1.1 answers carry no request id, and a node may send a second answer some milliseconds late.
const CONNECTION_REST: Duration = Duration::from_millis(25);
/// A connection established within this time after its attempt gave it up is kept for other attempts.
const LATE_CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Larger values in load and usage reports are ignored.
const MAX_REPORTED_VALUE: f64 = 1e6;

/// The client side towards storage nodes, with its pool of connections.
#[derive(Clone)]
pub struct NodeClient {
    pool: Pool<TcpStream>,
    /// Connections opened so far.
    opened: Arc<AtomicU64>,
    /// Attempts begun so far.
    attempts: Arc<AtomicU64>,
    memory: AnswerMemory,
}

/// The memory for nodes' answers.
#[derive(Clone)]
struct AnswerMemory {
    /// For those that are held.
    held: MemoryShare,
    /// For those that are passed on while they arrive.
    streams: MemoryShare,
}

impl NodeClient {
    /// Creates an empty pool with these limits, of which `capacity_share` is this process's share.
    pub fn new(limits: NodeLimits, capacity_share: CapacityShare, memory: &ProxyMemory) -> NodeClient {
        let pool = Pool::with_capacity_share(limits, capacity_share).resting(CONNECTION_REST);
        let memory = AnswerMemory { held: memory.answers.clone(), streams: memory.streams.clone() };
        NodeClient { pool, opened: Arc::default(), attempts: Arc::default(), memory }
    }

    /// Drops expired and closed idle connections, for as long as the program runs.
    pub fn watch(&self) -> impl Future<Output = ()> + use<> {
        self.pool.clone().watch()
    }

    /// Returns the numbers of connections opened to nodes and of attempts begun so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.opened.load(Ordering::Relaxed), self.attempts.load(Ordering::Relaxed))
    }

    /// Runs one attempt. A pooled connection that proves closed before a byte was written is replaced: the
    /// attempt has not started yet.
    async fn attempt(self, forward: Arc<Forward>, context: AttemptContext) -> Report {
        let context = Arc::new(context);
        self.attempts.fetch_add(1, Ordering::Relaxed);
        let Ok(address) = context.address.parse() else { return AttemptEnd::NotStarted.into() };
        let _in_use = self.pool.begin();
        while let Some(stream) = self.pool.take_latest(address) {
            let report = self.exchange(stream, address, &forward, &context).await;
            if report.end != AttemptEnd::BrokeUnsent
                || context.write_state.has_started()
                || context.write_state.is_refused()
            {
                return report;
            }
        }
        match self.connect(address).await {
            Some(stream) => self.exchange(stream, address, &forward, &context).await,
            None => AttemptEnd::NoConnection.into(),
        }
    }

    /// Opens a connection, or takes a pooled one that becomes usable while the connect is pending. A
    /// connection established too late for this attempt is kept for the next.
    async fn connect(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut opens = Box::pin(socket::connect(address));
        let until = Instant::now() + self.pool.limits.connect;
        loop {
            match timeout_at(until.min(Instant::now() + CONNECTION_REST), &mut opens).await {
                Ok(Ok(stream)) => return Some(self.opened(stream)),
                Ok(Err(_)) => return None,
                Err(_) => {}
            }
            let other = self.pool.take(address);
            if other.is_none() && Instant::now() < until {
                continue;
            }
            if let Some(spare) = self.pool.begin_spare() {
                let back = self.clone();
                tokio::spawn(async move {
                    let _spare = spare;
                    if let Ok(Ok(stream)) = timeout(LATE_CONNECT_LIMIT, opens).await {
                        back.pool.release(address, back.opened(stream));
                    }
                });
            }
            return other;
        }
    }

    fn opened(&self, stream: TcpStream) -> TcpStream {
        self.opened.fetch_add(1, Ordering::Relaxed);
        // TCP_NODELAY affects only latency; a broken stream fails when it is written to.
        let _ = stream.set_nodelay(true);
        stream
    }

    /// Sends the request on the connection, reads the answer, and pools the connection again if it is
    /// reusable.
    async fn exchange(
        &self,
        stream: TcpStream,
        address: SocketAddr,
        forward: &Forward,
        context: &Arc<AttemptContext>,
    ) -> Report {
        let progress = SharedProgress::new(context.write_state.clone(), forward.payload.length());
        let Some(mut request) = forward.request(context, &progress) else {
            return AttemptEnd::NotStarted.into();
        };
        // A 1xx answer is not the final one: the stall limit starts again after it.
        let interim = progress.clone();
        hyper::ext::on_informational(&mut request, move |_| interim.with(|p| p.last_byte = None));
        let watched = ObservedConnection { io: TokioIo::new(stream), progress: progress.clone() };
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(watched).await;
        let Ok((mut sender, mut connection)) = handshake else { return AttemptEnd::BrokeUnsent.into() };
        let read = progress.clone();
        let unanswered = UnansweredGuard { pool: &self.pool, address, progress: &progress };
        let mut ended = false;
        let got = {
            let mut answer = pin!(async move {
                match sender.send_request(request).await {
                    Ok(response) => read_answer(response, forward, context, &read, &self.memory).await,
                    Err(error) => Err(AnswerError::Broken(error)),
                }
            });
            let mut stall_timer = pin!(sleep_until(Instant::now() + ANSWER_STALL_LIMIT));
            let mut stall_since = None;
            poll_fn(|cx| {
                ended = ended || Pin::new(&mut connection).poll(cx).is_ready();
                if let Poll::Ready(got) = answer.as_mut().poll(cx) {
                    return Poll::Ready(Some(got));
                }
                let (limit, since) = progress.with(|p| p.stall_limit());
                if stall_since != since {
                    stall_since = since;
                    stall_timer.as_mut().reset(since.unwrap_or_else(Instant::now) + limit);
                }
                if stall_since.is_some() && stall_timer.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(None);
                }
                Poll::Pending
            })
            .await
        };
        drop(unanswered);
        if progress.with(|p| p.unsolicited) {
            self.pool.rest();
        }
        let whole = progress.with(|p| p.request_is_written());
        let (report, reusable) = match got {
            // An answer before the request's last byte can't belong to this request, unless it rejects the
            // request unread.
            Some(Ok((report, _))) if !whole && report.end == AttemptEnd::Answered => {
                (AttemptEnd::BadAnswer.into(), false)
            }
            Some(Ok(done)) => done,
            Some(Err(error)) => (progress.with(|p| error.end(p)).into(), false),
            None if progress.with(|p| p.request_is_written()) => (AttemptEnd::BadAnswer.into(), false),
            // The node no longer reads the request.
            None => (AttemptEnd::BrokeUnsent.into(), false),
        };
        if reusable && whole && !ended {
            let parts = connection.into_parts();
            // With bytes beyond the answer, the answer is valid, but the connection is not reused.
            if parts.read_buf.is_empty() {
                self.pool.release(address, parts.io.io.into_inner());
            } else {
                self.pool.rest();
            }
        }
        report
    }
}

/// Drops a node's idle connections when an attempt ends without a byte of an answer although its request was
/// written in full: the machine may have vanished without closing any of its connections.
struct UnansweredGuard<'a> {
    pool: &'a Pool<TcpStream>,
    address: SocketAddr,
    progress: &'a SharedProgress,
}

impl Drop for UnansweredGuard<'_> {
    fn drop(&mut self) {
        if self.progress.with(|p| p.request_is_written() && p.read == 0) {
            self.pool.close_idle_to(self.address);
        }
    }
}

/// Why an exchange yields no valid answer.
enum AnswerError {
    /// hyper failed to send the request or to read the answer.
    Broken(hyper::Error),
    /// The answer declares its length in no way or in two, or is too long.
    Framing,
    /// The answer could not be streamed to its end: the node sent no more, or the client took no more.
    Stopped(AttemptEnd),
}

impl AnswerError {
    /// The end to report for the attempt.
    fn end(&self, progress: &Progress) -> AttemptEnd {
        match self {
            _ if progress.exceeds_limit => AttemptEnd::BadAnswer,
            AnswerError::Framing => AttemptEnd::BadAnswer,
            AnswerError::Stopped(end) => *end,
            AnswerError::Broken(error) if error.is_parse() || is_body_parse_error(error) => {
                AttemptEnd::BadAnswer
            }
            AnswerError::Broken(_) if progress.request_is_written() => AttemptEnd::Broke,
            AnswerError::Broken(_) => AttemptEnd::BrokeUnsent,
        }
    }
}

/// Reports whether hyper could not parse the chunks of a body, which it shows by the kind of the source
/// error.
fn is_body_parse_error(error: &hyper::Error) -> bool {
    let inside = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    inside.is_some_and(|e| matches!(e.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData))
}

/// Reads an answer. Returns the report, and whether the connection may be reused.
async fn read_answer(
    response: Response<Incoming>,
    forward: &Forward,
    context: &AttemptContext,
    progress: &SharedProgress,
    memory: &AnswerMemory,
) -> Result<(Report, bool), AnswerError> {
    let (head, mut body) = response.into_parts();
    progress.with(|p| p.head_end = Some(p.read));
    let last = list_elements(&head.headers, CONNECTION)
        .is_none_or(|options| options.iter().any(|o| o.eq_ignore_ascii_case("close")));
    if !has_valid_framing(&head.headers, last) {
        return Err(AnswerError::Framing);
    }
    let end = match head.status {
        StatusCode::OK => AttemptEnd::Answered,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
            if head.headers.get(NOT_PROCESSED).is_some_and(|value| value == "1") =>
        {
            AttemptEnd::TurnedAway
        }
        _ => AttemptEnd::ErrorAnswer,
    };
    let (load, used) = (load(&head.headers), used(&head.headers));
    let length = body.size_hint().exact();
    let held = match length {
        Some(length) if length > MAX_HELD_BODY_BYTES as u64 => {
            ReceivedBody::More(first_piece(&mut body).await?)
        }
        _ if end != AttemptEnd::Answered => discard_body(&mut body).await?,
        _ => buffer_body(&mut body, length, &memory.held).await?,
    };
    let mut stream_memory = memory.streams.empty_lease();
    let body = match held {
        ReceivedBody::Whole(body) => body,
        // A long body that is not to be streamed is of no use.
        ReceivedBody::More(_)
            if end != AttemptEnd::Answered || !progress.with(|p| p.request_is_written()) =>
        {
            return Err(AnswerError::Framing);
        }
        ReceivedBody::More(pieces) => {
            progress.with(|p| p.streaming = true);
            let wait = timeout(STREAM_STALL_LIMIT, cover_stream(&mut stream_memory)).await;
            if wait.is_err() {
                memory.streams.count_refusal();
                return Err(AnswerError::Stopped(AttemptEnd::Broke));
            }
            if !context.binder.begin_answer(load, used).await {
                return Err(AnswerError::Stopped(AttemptEnd::CalledOff));
            }
            stream_to_client(pieces, body, length, forward).await?;
            Bytes::new()
        }
    };
    Ok((Report { end, body, load, used }, head.version == Version::HTTP_11 && !last))
}

/// A body received whole, or the first pieces of a longer one.
enum ReceivedBody {
    Whole(Bytes),
    More(Vec<Bytes>),
}

async fn first_piece(body: &mut Incoming) -> Result<Vec<Bytes>, AnswerError> {
    Ok(next_piece(body).await?.into_iter().collect())
}

/// Returns the next piece that is not empty; `None` at the end of the body.
async fn next_piece(body: &mut Incoming) -> Result<Option<Bytes>, AnswerError> {
    while let Some(frame) = body.frame().await {
        match frame.map_err(AnswerError::Broken)?.into_data() {
            Ok(data) if !data.is_empty() => return Ok(Some(data)),
            // Trailers are ignored: clients are promised none.
            _ => {}
        }
    }
    Ok(None)
}

/// Reads a body up to [`MAX_HELD_BODY_BYTES`] bytes, or as far as there is memory to hold it; returns the pieces so far
/// of a longer one.
async fn buffer_body(
    body: &mut Incoming,
    length: Option<u64>,
    memory: &MemoryShare,
) -> Result<ReceivedBody, AnswerError> {
    let length = length.map(|length| length as usize);
    if let Some(length) = length.filter(|length| *length <= SHORT_ANSWER_BYTES) {
        return short_body(body, length).await;
    }
    let mut buffer = BodyBuffer::new(length);
    while let Some(mut piece) = next_piece(body).await? {
        if buffer.push(&mut piece, memory).is_err() || buffer.length() > MAX_HELD_BODY_BYTES {
            return Ok(received_so_far(buffer.finish(), piece));
        }
    }
    match buffer.finish().into_bytes(memory) {
        Ok(whole) => Ok(ReceivedBody::Whole(whole)),
        Err(blocks) => Ok(received_so_far(blocks, Bytes::new())),
    }
}

/// The beginning of a body that is not held, and the piece behind it.
fn received_so_far(held: HeldBody, unheld: Bytes) -> ReceivedBody {
    let pieces = held.into_blocks().into_iter().chain([unheld]);
    ReceivedBody::More(pieces.filter(|piece| !piece.is_empty()).collect())
}

/// Reads a body of a declared length for which every client's connection has paid.
async fn short_body(body: &mut Incoming, length: usize) -> Result<ReceivedBody, AnswerError> {
    let mut whole = BytesMut::with_capacity(length);
    while let Some(piece) = next_piece(body).await? {
        whole.extend_from_slice(&piece);
    }
    Ok(ReceivedBody::Whole(whole.freeze()))
}

/// Reads a body that nobody needs; returns a piece of one that is longer than those that are held.
async fn discard_body(body: &mut Incoming) -> Result<ReceivedBody, AnswerError> {
    let mut bytes = 0;
    while let Some(piece) = next_piece(body).await? {
        bytes += piece.len();
        if bytes > MAX_HELD_BODY_BYTES {
            return Ok(ReceivedBody::More(vec![piece]));
        }
    }
    Ok(ReceivedBody::Whole(Bytes::new()))
}

/// Waits for the memory of an answer that is passed on while it arrives.
async fn cover_stream(lease: &mut MemoryLease) {
    while lease.grow(STREAMED_ANSWER_BYTES).is_err() {
        sleep(MEMORY_POLL_INTERVAL).await;
    }
}

/// Streams a long answer to the client, at the pace of the slower of node and client.
async fn stream_to_client(
    pieces: Vec<Bytes>,
    mut body: Incoming,
    length: Option<u64>,
    forward: &Forward,
) -> Result<(), AnswerError> {
    let Some(begins) = forward.begins.lock().unwrap_or_else(PoisonError::into_inner).take() else {
        return Err(AnswerError::Stopped(AttemptEnd::CalledOff));
    };
    let (down, taken) = mpsc::channel(STREAM_BUFFER_PIECES);
    let gone = || AnswerError::Stopped(AttemptEnd::CalledOff);
    begins.send(Passing { length, pieces: taken }).map_err(|_| gone())?;
    let mut bytes = 0;
    let mut pieces = VecDeque::from(pieces);
    loop {
        let piece = match pieces.pop_front() {
            Some(piece) => piece,
            None => match timeout(STREAM_STALL_LIMIT, next_piece(&mut body)).await {
                Ok(piece) => match piece? {
                    Some(piece) => piece,
                    None => return Ok(()),
                },
                Err(_) => return Err(AnswerError::Stopped(AttemptEnd::Broke)),
            },
        };
        bytes += piece.len() as u64;
        if bytes > MAX_BODY_BYTES {
            return Err(AnswerError::Framing);
        }
        timeout(STREAM_STALL_LIMIT, down.send(piece)).await.map_err(|_| gone())?.map_err(|_| gone())?;
    }
}

/// Returns the list elements of all headers `name`, without empty ones (RFC 9110, 5.6.1); `None` if a value
/// is not text.
fn list_elements(headers: &HeaderMap, name: HeaderName) -> Option<Vec<&str>> {
    let mut all = Vec::new();
    for value in headers.get_all(name) {
        all.extend(value.to_str().ok()?.split(',').map(str::trim).filter(|element| !element.is_empty()));
    }
    Some(all)
}

/// Reports whether the head declares the body's length in exactly one way and within [`MAX_BODY_BYTES`]. A
/// body that lasts until the connection closes is valid only if the head announces the close (`last`), since
/// a process that dies resets its connections, which differs from a close.
fn has_valid_framing(headers: &HeaderMap, last: bool) -> bool {
    // The same length several times is one length (RFC 9110, 8.6).
    let (Some(lengths), Some(codings)) =
        (list_elements(headers, CONTENT_LENGTH), list_elements(headers, TRANSFER_ENCODING))
    else {
        return false;
    };
    match (&lengths[..], &codings[..]) {
        ([length, others @ ..], []) => {
            let digits = length.bytes().all(|byte| byte.is_ascii_digit());
            let fits = length.parse().is_ok_and(|length: u64| length <= MAX_BODY_BYTES);
            digits && fits && others.iter().all(|other| other == length)
        }
        ([], [coding]) => coding.eq_ignore_ascii_case("chunked"),
        ([], []) => last && !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING),
        _ => false,
    }
}

/// Parses `X-Server-Load: inflight=7,queue=2`. The name `backlog` is accepted for `queue`. A value that is
/// not a plausible number of requests is ignored.
pub(super) fn load(headers: &HeaderMap) -> Load {
    read_load(headers.get(LOAD).and_then(|value| value.to_str().ok()).unwrap_or(""))
}

fn read_load(text: &str) -> Load {
    let fields = text.split(',').filter_map(|field| field.trim().split_once('='));
    let mut queues = fields.filter(|(name, _)| matches!(*name, "queue" | "backlog"));
    let queue = queues.next().and_then(|(_, value)| value.parse::<f64>().ok());
    Load { queue: queue.filter(|queue| (0.0..=MAX_REPORTED_VALUE).contains(queue)) }
}

/// Parses `X-Meter: 85`, a percentage of the plan's rate, into a fraction.
pub(super) fn used(headers: &HeaderMap) -> Option<f64> {
    let percent: f64 = headers.get(METER)?.to_str().ok()?.trim().parse().ok()?;
    (0.0..=MAX_REPORTED_VALUE).contains(&percent).then_some(percent / 100.0)
}

/// The parts of a request that are forwarded to a node unchanged.
#[derive(Debug)]
pub struct Forward {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The request's id; `None` for a probe.
    pub id: Option<HeaderValue>,
    /// The idempotency key, if the client sent one.
    pub key: Option<HeaderValue>,
    /// The body.
    pub payload: Payload,
    /// How long the client waits.
    pub wait: Duration,
    /// Receives a long answer when its streaming begins.
    pub begins: Mutex<Option<oneshot::Sender<Passing>>>,
}

/// A request's body.
#[derive(Debug)]
pub enum Payload {
    /// The whole body, with its memory.
    Held {
        /// The bytes of the body.
        body: Bytes,
        /// The memory for it; `None`: there is no body.
        _memory: Option<MemoryLease>,
    },
    /// A body that is still arriving from the client.
    Coming {
        /// The pieces held, and those still to come.
        source: Arc<IncomingBody>,
        /// The length that the client declared, in bytes.
        length: Option<u64>,
    },
}

impl Payload {
    fn length(&self) -> Option<u64> {
        match self {
            Payload::Held { body, .. } => Some(body.len() as u64),
            Payload::Coming { length, .. } => *length,
        }
    }
}

/// A long answer that is streamed to the client.
#[derive(Debug)]
pub struct Passing {
    /// The length that the node declared, in bytes.
    pub length: Option<u64>,
    /// The pieces of the body, in order.
    pub pieces: mpsc::Receiver<Bytes>,
}

type Upload = StreamBody<BoxStream<'static, io::Result<Frame<Bytes>>>>;

/// The body that one attempt sends while it still arrives from the client. The body is bound to the attempt
/// before its first pieces are released.
fn upload(source: Arc<IncomingBody>, context: Arc<AttemptContext>, progress: SharedProgress) -> Upload {
    let over = || io::Error::from(io::ErrorKind::BrokenPipe);
    StreamBody::new(Box::pin(unfold(
        (source, context, progress, 0),
        move |(source, context, progress, sent)| async move {
            let attempt = context.binder.attempt();
            source.sent(attempt, sent);
            loop {
                match source.next(attempt, sent).await {
                    Next::Piece(piece) => {
                        return Some((Ok(Frame::data(piece)), (source, context, progress, sent + 1)));
                    }
                    Next::Bind if context.binder.bind().await => source.bind(attempt, sent),
                    Next::Wait => {}
                    Next::End(BodyEnd::Complete) => {
                        progress.with(|p| p.all_given = true);
                        return None;
                    }
                    Next::Bind | Next::End(BodyEnd::Reset) | Next::Lost => {
                        return Some((Err(over()), (source, context, progress, sent)));
                    }
                }
            }
        },
    )))
}

impl Forward {
    /// Builds the request for one attempt; `None` if the address is not a valid `Host` value.
    fn request(
        &self,
        context: &Arc<AttemptContext>,
        progress: &SharedProgress,
    ) -> Option<Request<Either<Full<Bytes>, Upload>>> {
        let host = HeaderValue::try_from(&context.address).ok()?;
        let left = context.answer_by.saturating_duration_since(Instant::now()).min(self.wait);
        let body = match &self.payload {
            Payload::Held { body, .. } => Either::Left(Full::new(body.clone())),
            Payload::Coming { source, .. } => {
                Either::Right(upload(source.clone(), context.clone(), progress.clone()))
            }
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, host);
        if let Some(id) = &self.id {
            headers.insert(REQUEST_ID, id.clone());
        }
        headers.insert(TIMEOUT, HeaderValue::from((left.as_millis() as u64).max(1)));
        if let Payload::Coming { length: Some(length), .. } = &self.payload {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(*length));
        }
        if let Some(key) = &self.key {
            headers.insert(IDEMPOTENCY_KEY, key.clone());
        }
        Some(request)
    }
}

/// Runs the attempts of a client's request.
pub struct ForwardWork {
    /// The connections to nodes.
    pub back: NodeClient,
    /// The request.
    pub forward: Arc<Forward>,
    /// Tells whether the client is still connected.
    pub client: Presence,
}

impl AttemptSource for ForwardWork {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        Box::pin(self.back.clone().attempt(self.forward.clone(), context))
    }

    fn client_left(&self) -> bool {
        self.client.has_left()
    }
}

/// Runs probes of nodes.
pub struct ProbeWork {
    /// The connections to nodes.
    pub back: NodeClient,
    /// Whether the probe asks for the load report too, where nodes send it only on request.
    pub load: bool,
}

impl AttemptSource for ProbeWork {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let (back, load) = (self.back.clone(), self.load);
        let target = Uri::from_static(if load { "/metrics/load" } else { "/alive" });
        let payload = Payload::Held { body: Bytes::new(), _memory: None };
        let wait = context.answer_by.saturating_duration_since(Instant::now());
        let (method, begins) = (Method::GET, Mutex::new(None));
        let forward = Forward { method, target, id: None, key: None, payload, wait, begins };
        Box::pin(async move {
            let report = back.attempt(Arc::new(forward), context).await;
            match std::str::from_utf8(&report.body) {
                Ok(text) if load && report.end == AttemptEnd::Answered => {
                    Report { load: read_load(text), ..report }
                }
                _ => report,
            }
        })
    }
}

/// The progress of one exchange, shared by its connection and its reader.
#[derive(Clone, Debug)]
struct SharedProgress(Arc<Mutex<Progress>>);

/// What one exchange has written to and read from its socket.
#[derive(Debug, Default)]
struct Progress {
    write_state: Arc<WriteState>,
    /// How many bytes of [`HEAD_END`] have matched.
    head_end_matched: usize,
    /// Bytes of the body still to be written; `None` for a chunked body, which ends with its last chunk.
    body_left: Option<u64>,
    /// Whether all of a chunked body was given to hyper.
    all_given: bool,
    /// The last bytes written of a chunked body.
    tail: [u8; 5],
    /// Bytes read so far.
    read: usize,
    /// When a byte of the answer was last read.
    last_byte: Option<Instant>,
    /// When a byte of the request was last written.
    wrote_at: Option<Instant>,
    /// How many bytes had been read when the head was parsed.
    head_end: Option<usize>,
    /// The answer is being streamed: `stream_to_client` enforces its limits of size and time.
    streaming: bool,
    /// More bytes arrived than a valid answer may have.
    exceeds_limit: bool,
    /// Bytes arrived before the request's first byte was written.
    unsolicited: bool,
}

const HEAD_END: &[u8] = b"\r\n\r\n";
const LAST_CHUNK: &[u8; 5] = b"0\r\n\r\n";

impl SharedProgress {
    fn new(write_state: Arc<WriteState>, body_left: Option<u64>) -> SharedProgress {
        SharedProgress(Arc::new(Mutex::new(Progress { write_state, body_left, ..Progress::default() })))
    }

    fn with<T>(&self, f: impl FnOnce(&mut Progress) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Progress {
    fn record_written(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.write_state.mark_started();
        }
        let mut rest = bytes.iter();
        while self.head_end_matched < HEAD_END.len()
            && let Some(byte) = rest.next()
        {
            self.head_end_matched = if *byte == HEAD_END[self.head_end_matched] {
                self.head_end_matched + 1
            } else {
                usize::from(*byte == HEAD_END[0])
            };
        }
        let body = rest.as_slice();
        match &mut self.body_left {
            Some(left) => *left = left.saturating_sub(body.len() as u64),
            None => {
                for byte in &body[body.len().saturating_sub(self.tail.len())..] {
                    self.tail.rotate_left(1);
                    self.tail[4] = *byte;
                }
            }
        }
        self.wrote_at = Some(Instant::now());
        if self.request_is_written() {
            self.write_state.mark_complete();
        }
    }

    /// Reports whether the request's last byte was written.
    fn request_is_written(&self) -> bool {
        let body = match self.body_left {
            Some(left) => left == 0,
            None => self.all_given && self.tail == *LAST_CHUNK,
        };
        self.head_end_matched == HEAD_END.len() && body
    }

    /// Returns the longest time without progress and its start; without a start, only the request's deadline
    /// applies.
    fn stall_limit(&self) -> (Duration, Option<Instant>) {
        match self.last_byte.filter(|_| !self.streaming) {
            None if self.wrote_at.is_some() && !self.request_is_written() => {
                (STREAM_STALL_LIMIT, self.wrote_at)
            }
            since => (ANSWER_STALL_LIMIT, since),
        }
    }

    /// Records bytes read; returns whether the answer is still within its size limits.
    fn record_read(&mut self, bytes: usize) -> bool {
        self.read += bytes;
        if bytes > 0 {
            self.last_byte = Some(Instant::now());
        }
        self.exceeds_limit = !self.streaming
            && self.read > self.head_end.map_or(MAX_BYTES_BEFORE_BODY, |at| at + MAX_FRAMED_BODY_BYTES);
        !self.exceeds_limit
    }
}

/// A connection to a node that records the bytes written and read.
struct ObservedConnection {
    io: TokioIo<TcpStream>,
    progress: SharedProgress,
}

impl hyper::rt::Read for ObservedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // Reads into a local buffer first: bytes written to the cursor can't be counted afterwards.
        let mut part = [0; 8192];
        let most = part.len().min(buf.remaining());
        let mut own = tokio::io::ReadBuf::new(&mut part[..most]);
        std::task::ready!(tokio::io::AsyncRead::poll_read(Pin::new(self.io.inner_mut()), cx, &mut own))?;
        if !self.progress.with(|p| p.record_read(own.filled().len())) {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        buf.put_slice(own.filled());
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for ObservedConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        // Bytes that arrived before the first write would be taken for the answer; an end means that the node
        // has closed the connection.
        let first = self.progress.with(|p| (!p.write_state.has_started()).then(|| p.write_state.clone()));
        if let Some(write_state) = first {
            let quiet = self.io.inner().quiet();
            if !quiet && self.io.inner().has_unsolicited_bytes() {
                self.progress.with(|p| p.unsolicited = true);
            }
            if !quiet || !write_state.may_start_writing() {
                return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
            }
        }
        let written = std::task::ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.progress.with(|p| p.record_written(&buf[..written]));
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
