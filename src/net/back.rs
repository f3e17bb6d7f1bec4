//! What is behind the platform's front: requests to nodes over HTTP/1.1.
//!
//! Spoken with hyper's `client::conn`, the nearest relative of hyper-util's client. That one was measured
//! with the test of spoilt answers: an answer that stops halfway held its request until the client's
//! deadline, for nobody is told when a first byte came; and each connection runs in a task of its own, so
//! that what comes on an idle one is known only from that task's next turn on. Here each exchange owns its
//! connection, looks at the socket itself before it writes, and hands the connection back only when it is
//! clean; giving an attempt up closes it at once, and nothing is ever sent again by itself.

use crate::attempt_end::AttemptEnd;
use crate::config::NodeLimits;
use crate::core::{Attempt, AttemptContext, AttemptSource, Report, WriteState};
use crate::handover::Part;
use crate::interface::Load;
use crate::net::inbound::Presence;
use crate::net::pool::{Pool, Quiet};
use crate::net::source::Source;
use crate::replay_buffer::{Next, Over};
use bytes::Bytes;
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
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::{Duration, Instant, sleep_until, timeout, timeout_at};

/// A body is held up to this, either way, and is passed on as it comes beyond it.
pub const MOST_BODY: usize = 64 * 1024;
/// No body is longer.
pub const MOST_LARGE: u64 = 32 * 1024 * 1024;
pub const REQUEST_ID: &str = "x-request-id";
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub const TIMEOUT: &str = "x-timeout-ms";
pub(super) const NOT_PROCESSED: &str = "x-not-processed";
pub(super) const LOAD: &str = "x-server-load";
pub(super) const METER: &str = "x-meter";
/// The most that an answer's head may hold, and all that may come in front of it with 1xx answers; from the
/// head on, all that may come for a body that is held, of which each byte may be a chunk.
const MOST_HEAD: usize = 16 * 1024;
const MOST_BEFORE: usize = MOST_HEAD + 2 * MOST_BODY;
const MOST_FRAMED: usize = 8 * MOST_BODY;
/// An answer that is held and of which nothing more came for so long has a length that does not fit, or no
/// end.
const ANSWER_TIME: Duration = Duration::from_millis(600);
/// A node or a client that gives or takes nothing for so long, in the middle of what is passed on, is cut
/// off.
const PASS_TIME: Duration = Duration::from_secs(10);
/// Pieces between a node and its client. The node's pace is the client's beyond them.
const PIECES: usize = 2;
/// Answers name no request, and a node may send a second one some milliseconds late: a connection on which
/// nothing has come for so long since its last answer may be asked on again, once a node has said more than
/// it was asked.
const REST: Duration = Duration::from_millis(25);
/// A connection that comes up within so long after its attempt gave it up is kept for others.
const LATE: Duration = Duration::from_secs(2);
/// Figures in reports beyond this are none.
const MOST_FIGURE: f64 = 1e6;

#[derive(Clone)]
pub struct Back {
    pool: Pool<TcpStream>,
    opened: Arc<AtomicU64>,
    asked: Arc<AtomicU64>,
}

impl Back {
    pub fn new(limits: NodeLimits, part: Part) -> Back {
        let pool = Pool::shared(limits, part).resting(REST);
        Back { pool, opened: Arc::default(), asked: Arc::default() }
    }

    /// Drops idle connections in time, for as long as the program runs.
    pub fn watch(&self) -> impl Future<Output = ()> + use<> {
        self.pool.clone().watch()
    }

    /// Connections opened to nodes and attempts begun, so far: more of the first than run at once are
    /// surplus.
    pub fn counts(&self) -> (u64, u64) {
        (self.opened.load(Ordering::Relaxed), self.asked.load(Ordering::Relaxed))
    }

    /// A kept connection that turns out closed before a byte went out is replaced: that is no attempt yet.
    async fn attempt(self, forward: Arc<Forward>, context: AttemptContext) -> Report {
        let context = Arc::new(context);
        self.asked.fetch_add(1, Ordering::Relaxed);
        let Ok(address) = context.address.parse() else { return AttemptEnd::NotStarted.into() };
        let _in_use = self.pool.begin();
        while let Some(stream) = self.pool.latest(address) {
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

    /// A new connection, or one that has rested by the time at which that one is still not up. What comes up
    /// too late for this attempt is kept for the next.
    async fn connect(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut opens = Box::pin(TcpStream::connect(address));
        let until = Instant::now() + self.pool.limits.connect;
        loop {
            match timeout_at(until.min(Instant::now() + REST), &mut opens).await {
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
                    if let Ok(Ok(stream)) = timeout(LATE, opens).await {
                        back.pool.put(address, back.opened(stream));
                    }
                });
            }
            return other;
        }
    }

    fn opened(&self, stream: TcpStream) -> TcpStream {
        self.opened.fetch_add(1, Ordering::Relaxed);
        // Only a matter of speed; a stream that is broken already tells so when it is written to.
        let _ = stream.set_nodelay(true);
        stream
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        address: SocketAddr,
        forward: &Forward,
        context: &Arc<AttemptContext>,
    ) -> Report {
        let wire = Wire::new(context.write_state.clone(), forward.payload.length());
        let Some(mut request) = forward.request(context, &wire) else { return AttemptEnd::NotStarted.into() };
        // A 1xx answer is none yet: the time for one begins anew behind it.
        let interim = wire.clone();
        hyper::ext::on_informational(&mut request, move |_| interim.with(|p| p.last_byte = None));
        let watched = Watched { io: TokioIo::new(stream), wire: wire.clone() };
        let handshake = http1::Builder::new().max_buf_size(MOST_HEAD).handshake(watched).await;
        let Ok((mut sender, mut connection)) = handshake else { return AttemptEnd::BrokeUnsent.into() };
        let read = wire.clone();
        let unanswered = Unanswered { pool: &self.pool, address, wire: &wire };
        let mut ended = false;
        let got = {
            let mut answer = pin!(async move {
                match sender.send_request(request).await {
                    Ok(response) => read_answer(response, forward, context, &read).await,
                    Err(error) => Err(Spoilt::Broken(error)),
                }
            });
            let mut late = pin!(sleep_until(Instant::now() + ANSWER_TIME));
            let mut late_set = None;
            poll_fn(|cx| {
                ended = ended || Pin::new(&mut connection).poll(cx).is_ready();
                if let Poll::Ready(got) = answer.as_mut().poll(cx) {
                    return Poll::Ready(Some(got));
                }
                let (patience, since) = wire.with(|p| p.patience());
                if late_set != since {
                    late_set = since;
                    late.as_mut().reset(since.unwrap_or_else(Instant::now) + patience);
                }
                if late_set.is_some() && late.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(None);
                }
                Poll::Pending
            })
            .await
        };
        drop(unanswered);
        if wire.with(|p| p.talked) {
            self.pool.rest();
        }
        let whole = wire.with(|p| p.whole());
        let (report, reusable) = match got {
            // An answer before the request's last byte is not to this request, unless it turns it away
            // unread.
            Some(Ok((report, _))) if !whole && report.end == AttemptEnd::Answered => {
                (AttemptEnd::BadAnswer.into(), false)
            }
            Some(Ok(done)) => done,
            Some(Err(spoilt)) => (wire.with(|p| spoilt.end(p)).into(), false),
            None if wire.with(|p| p.whole()) => (AttemptEnd::BadAnswer.into(), false),
            // Its node takes nothing of the request any more.
            None => (AttemptEnd::BrokeUnsent.into(), false),
        };
        if reusable && whole && !ended {
            let parts = connection.into_parts();
            // Bytes beyond the answer: it stands, but nothing else is asked on this connection.
            if parts.read_buf.is_empty() {
                self.pool.put(address, parts.io.io.into_inner());
            } else {
                self.pool.rest();
            }
        }
        report
    }
}

/// An attempt that ends without a byte of an answer, though all of it was written, makes its node's idle
/// connections doubtful: the machine may have vanished, and said nothing on any of them.
struct Unanswered<'a> {
    pool: &'a Pool<TcpStream>,
    address: SocketAddr,
    wire: &'a Wire,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if self.wire.with(|p| p.whole() && p.read == 0) {
            self.pool.distrust(self.address);
        }
    }
}

/// Why there is no answer to pass on.
enum Spoilt {
    Broken(hyper::Error),
    /// Its length is told in no way or in two, it is too long, or its chunks cannot be read.
    Framing,
    /// Some of it is with the client, and no more came, or no more was taken.
    Stopped(AttemptEnd),
}

impl Spoilt {
    fn end(&self, progress: &Progress) -> AttemptEnd {
        match self {
            _ if progress.overrun => AttemptEnd::BadAnswer,
            Spoilt::Framing => AttemptEnd::BadAnswer,
            Spoilt::Stopped(end) => *end,
            Spoilt::Broken(error) if error.is_parse() || unreadable(error) => AttemptEnd::BadAnswer,
            Spoilt::Broken(_) if progress.whole() => AttemptEnd::Broke,
            Spoilt::Broken(_) => AttemptEnd::BrokeUnsent,
        }
    }
}

/// Chunks that cannot be read, as hyper tells it: by the kind of an error inside its own.
fn unreadable(error: &hyper::Error) -> bool {
    let inside = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    inside.is_some_and(|e| matches!(e.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData))
}

/// The report, and whether another request may follow on the connection.
async fn read_answer(
    response: Response<Incoming>,
    forward: &Forward,
    context: &AttemptContext,
    wire: &Wire,
) -> Result<(Report, bool), Spoilt> {
    let (head, mut body) = response.into_parts();
    wire.with(|p| p.head_end = Some(p.read));
    let last = elements(&head.headers, CONNECTION)
        .is_none_or(|options| options.iter().any(|o| o.eq_ignore_ascii_case("close")));
    if !framed(&head.headers, last) {
        return Err(Spoilt::Framing);
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
        Some(length) if length > MOST_BODY as u64 => Held::More(first(&mut body).await?),
        _ => hold(&mut body).await?,
    };
    let body = match held {
        Held::Whole(body) => body,
        // What is not to be passed on is of no use at that length.
        Held::More(_) if end != AttemptEnd::Answered || !wire.with(|p| p.whole()) => {
            return Err(Spoilt::Framing);
        }
        Held::More(pieces) => {
            if !context.binder.begin_answer(load, used).await {
                return Err(Spoilt::Stopped(AttemptEnd::CalledOff));
            }
            wire.with(|p| p.passing = true);
            pass(pieces, body, length, forward).await?;
            Bytes::new()
        }
    };
    Ok((Report { end, body, load, used }, head.version == Version::HTTP_11 && !last))
}

/// A body that is held, or what has come of one that is longer.
enum Held {
    Whole(Bytes),
    More(Vec<Bytes>),
}

async fn first(body: &mut Incoming) -> Result<Vec<Bytes>, Spoilt> {
    Ok(next(body).await?.into_iter().collect())
}

async fn next(body: &mut Incoming) -> Result<Option<Bytes>, Spoilt> {
    while let Some(frame) = body.frame().await {
        match frame.map_err(Spoilt::Broken)?.into_data() {
            Ok(data) if !data.is_empty() => return Ok(Some(data)),
            // Trailers tell a client nothing that it was promised.
            _ => {}
        }
    }
    Ok(None)
}

async fn hold(body: &mut Incoming) -> Result<Held, Spoilt> {
    let (mut pieces, mut bytes) = (Vec::new(), 0);
    while let Some(piece) = next(body).await? {
        bytes += piece.len();
        pieces.push(piece);
        if bytes > MOST_BODY {
            return Ok(Held::More(pieces));
        }
    }
    Ok(Held::Whole(if pieces.len() == 1 { pieces.swap_remove(0) } else { pieces.concat().into() }))
}

/// Gives a long answer to its client piece by piece, at the pace of the slower of the two.
async fn pass(
    pieces: Vec<Bytes>,
    mut body: Incoming,
    length: Option<u64>,
    forward: &Forward,
) -> Result<(), Spoilt> {
    let Some(begins) = forward.begins.lock().unwrap_or_else(PoisonError::into_inner).take() else {
        return Err(Spoilt::Stopped(AttemptEnd::CalledOff));
    };
    let (down, taken) = mpsc::channel(PIECES);
    let gone = || Spoilt::Stopped(AttemptEnd::CalledOff);
    begins.send(Passing { length, pieces: taken }).map_err(|_| gone())?;
    let mut bytes = 0;
    let mut pieces = VecDeque::from(pieces);
    loop {
        let piece = match pieces.pop_front() {
            Some(piece) => piece,
            None => match timeout(PASS_TIME, next(&mut body)).await {
                Ok(piece) => match piece? {
                    Some(piece) => piece,
                    None => return Ok(()),
                },
                Err(_) => return Err(Spoilt::Stopped(AttemptEnd::Broke)),
            },
        };
        bytes += piece.len() as u64;
        if bytes > MOST_LARGE {
            return Err(Spoilt::Framing);
        }
        timeout(PASS_TIME, down.send(piece)).await.map_err(|_| gone())?.map_err(|_| gone())?;
    }
}

/// A list's elements over all fields of that name; empty ones are none (RFC 9110, 5.6.1). `None`: unreadable.
fn elements(headers: &HeaderMap, name: HeaderName) -> Option<Vec<&str>> {
    let mut all = Vec::new();
    for value in headers.get_all(name) {
        all.extend(value.to_str().ok()?.split(',').map(str::trim).filter(|element| !element.is_empty()));
    }
    Some(all)
}

/// Whether the head says in exactly one way how long the body is, and no longer than any may be. Up to the
/// connection's end is one only where the head announces that end (`last`): a process that dies resets its
/// connections.
fn framed(headers: &HeaderMap, last: bool) -> bool {
    // The same length several times is one length (RFC 9110, 8.6).
    let (Some(lengths), Some(codings)) =
        (elements(headers, CONTENT_LENGTH), elements(headers, TRANSFER_ENCODING))
    else {
        return false;
    };
    match (&lengths[..], &codings[..]) {
        ([length, others @ ..], []) => {
            let digits = length.bytes().all(|byte| byte.is_ascii_digit());
            let fits = length.parse().is_ok_and(|length: u64| length <= MOST_LARGE);
            digits && fits && others.iter().all(|other| other == length)
        }
        ([], [coding]) => coding.eq_ignore_ascii_case("chunked"),
        ([], []) => last && !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING),
        _ => false,
    }
}

/// `X-Server-Load: inflight=7,queue=2`; a value that is no number of requests tells nothing.
pub(super) fn load(headers: &HeaderMap) -> Load {
    read_load(headers.get(LOAD).and_then(|value| value.to_str().ok()).unwrap_or(""))
}

fn read_load(text: &str) -> Load {
    let fields = text.split(',').filter_map(|field| field.trim().split_once('='));
    let mut queues = fields.filter(|(name, _)| matches!(*name, "queue" | "backlog"));
    let queue = queues.next().and_then(|(_, value)| value.parse::<f64>().ok());
    Load { queue: queue.filter(|queue| (0.0..=MOST_FIGURE).contains(queue)) }
}

/// `X-Meter: 85`: percent of the plan's rate.
pub(super) fn used(headers: &HeaderMap) -> Option<f64> {
    let percent: f64 = headers.get(METER)?.to_str().ok()?.trim().parse().ok()?;
    (0.0..=MOST_FIGURE).contains(&percent).then_some(percent / 100.0)
}

/// What passes on to a node unchanged.
#[derive(Debug)]
pub struct Forward {
    pub method: Method,
    pub target: Uri,
    /// `None`: a probe, which is no client's request.
    pub id: Option<HeaderValue>,
    pub key: Option<HeaderValue>,
    pub payload: Payload,
    /// How long the client waits.
    pub wait: Duration,
    /// Takes what begins to be passed on of a long answer.
    pub begins: Mutex<Option<oneshot::Sender<Passing>>>,
}

/// A request's body.
#[derive(Debug)]
pub enum Payload {
    /// Whole, with its part of the memory for bodies.
    Held { body: Bytes, _memory: Option<OwnedSemaphorePermit> },
    /// Still on its way from the client.
    Coming { source: Arc<Source>, length: Option<u64> },
}

impl Payload {
    fn length(&self) -> Option<u64> {
        match self {
            Payload::Held { body, .. } => Some(body.len() as u64),
            Payload::Coming { length, .. } => *length,
        }
    }
}

/// A long answer on its way to the client.
#[derive(Debug)]
pub struct Passing {
    pub length: Option<u64>,
    pub pieces: mpsc::Receiver<Bytes>,
}

type Upload = StreamBody<BoxStream<'static, io::Result<Frame<Bytes>>>>;

/// A body that still comes, as one attempt sends it: bound to that attempt before what is held of it is let
/// go of.
fn upload(source: Arc<Source>, context: Arc<AttemptContext>, wire: Wire) -> Upload {
    let over = || io::Error::from(io::ErrorKind::BrokenPipe);
    StreamBody::new(Box::pin(unfold(
        (source, context, wire, 0),
        move |(source, context, wire, sent)| async move {
            let attempt = context.binder.attempt();
            source.sent(attempt, sent);
            loop {
                match source.next(attempt, sent).await {
                    Next::Piece(piece) => {
                        return Some((Ok(Frame::data(piece)), (source, context, wire, sent + 1)));
                    }
                    Next::Bind if context.binder.bind().await => source.bind(attempt, sent),
                    Next::Wait => {}
                    Next::End(Over::Whole) => {
                        wire.with(|p| p.all_given = true);
                        return None;
                    }
                    Next::Bind | Next::End(Over::Cut) | Next::Lost => {
                        return Some((Err(over()), (source, context, wire, sent)));
                    }
                }
            }
        },
    )))
}

impl Forward {
    /// `None`: the address is none.
    fn request(
        &self,
        context: &Arc<AttemptContext>,
        wire: &Wire,
    ) -> Option<Request<Either<Full<Bytes>, Upload>>> {
        let host = HeaderValue::try_from(&context.address).ok()?;
        let left = context.answer_by.saturating_duration_since(Instant::now()).min(self.wait);
        let body = match &self.payload {
            Payload::Held { body, .. } => Either::Left(Full::new(body.clone())),
            Payload::Coming { source, .. } => {
                Either::Right(upload(source.clone(), context.clone(), wire.clone()))
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

/// A client's request on its way to a node.
pub struct ForwardWork {
    pub back: Back,
    pub forward: Arc<Forward>,
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

/// Probes of nodes: whether one answers, and where reports come only so, its load.
pub struct ProbeWork {
    pub back: Back,
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

/// What one exchange has written to and read from its socket.
#[derive(Clone, Debug)]
struct Wire(Arc<Mutex<Progress>>);

#[derive(Debug, Default)]
struct Progress {
    write_state: Arc<WriteState>,
    /// How much of the empty line that ends the head has been seen.
    matched: usize,
    /// `None`: it goes out in chunks, and is whole with the last one.
    body_left: Option<u64>,
    /// All of a body in chunks is given to the connection; what it wrote last.
    all_given: bool,
    tail: [u8; 5],
    read: usize,
    /// Since which the answer is waited for: its last byte so far.
    last_byte: Option<Instant>,
    /// The last byte of a request that went out.
    wrote_at: Option<Instant>,
    /// How much had come when its head was read.
    head_end: Option<usize>,
    /// Some of the answer is with the client: how long it may be, and take, is judged there.
    passing: bool,
    /// More came than any answer holds.
    overrun: bool,
    /// Something came before the request's first byte.
    talked: bool,
}

const HEAD_END: &[u8] = b"\r\n\r\n";
const LAST_CHUNK: &[u8; 5] = b"0\r\n\r\n";

impl Wire {
    fn new(write_state: Arc<WriteState>, body_left: Option<u64>) -> Wire {
        Wire(Arc::new(Mutex::new(Progress { write_state, body_left, ..Progress::default() })))
    }

    fn with<T>(&self, f: impl FnOnce(&mut Progress) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Progress {
    fn wrote(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.write_state.mark_started();
        }
        let mut rest = bytes.iter();
        while self.matched < HEAD_END.len()
            && let Some(byte) = rest.next()
        {
            self.matched = if *byte == HEAD_END[self.matched] {
                self.matched + 1
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
        if self.whole() {
            self.write_state.mark_complete();
        }
    }

    /// The request's last byte was written.
    fn whole(&self) -> bool {
        let body = match self.body_left {
            Some(left) => left == 0,
            None => self.all_given && self.tail == *LAST_CHUNK,
        };
        self.matched == HEAD_END.len() && body
    }

    /// For how long, and since when, something has to happen; since never: no time but the request's own.
    fn patience(&self) -> (Duration, Option<Instant>) {
        match self.last_byte.filter(|_| !self.passing) {
            None if self.wrote_at.is_some() && !self.whole() => (PASS_TIME, self.wrote_at),
            since => (ANSWER_TIME, since),
        }
    }

    /// Whether so many more bytes are still within an answer's bounds.
    fn got(&mut self, bytes: usize) -> bool {
        self.read += bytes;
        if bytes > 0 {
            self.last_byte = Some(Instant::now());
        }
        self.overrun = !self.passing && self.read > self.head_end.map_or(MOST_BEFORE, |at| at + MOST_FRAMED);
        !self.overrun
    }
}

/// A connection to a node that notes what is written to it and read from it.
struct Watched {
    io: TokioIo<TcpStream>,
    wire: Wire,
}

impl hyper::rt::Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // Read aside first: how much went into the cursor could not be told afterwards.
        let mut part = [0; 8192];
        let most = part.len().min(buf.remaining());
        let mut own = tokio::io::ReadBuf::new(&mut part[..most]);
        std::task::ready!(tokio::io::AsyncRead::poll_read(Pin::new(self.io.inner_mut()), cx, &mut own))?;
        if !self.wire.with(|p| p.got(own.filled().len())) {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        buf.put_slice(own.filled());
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        // Before the first byte nothing may have come: it would be taken for the answer, or the node has
        // closed.
        let first = self.wire.with(|p| (!p.write_state.has_started()).then(|| p.write_state.clone()));
        if let Some(write_state) = first {
            let quiet = self.io.inner().quiet();
            if !quiet && self.io.inner().talks() {
                self.wire.with(|p| p.talked = true);
            }
            if !quiet || !write_state.may_start_writing() {
                return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
            }
        }
        let written = std::task::ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.wire.with(|p| p.wrote(&buf[..written]));
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
