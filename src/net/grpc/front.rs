//! Clients of the gRPC front. A connection's task owns its calls, and a call's task alone speaks to its client: what
//! the one attempt passes on that the call is bound to, and one status at its end, whatever happens.

use super::back::{CallWork, Nodes};
use super::call::{Call, Down};
use super::tap::{Tap, Tapped};
use super::{CONTENT_TYPE, DETAILS, MESSAGE, PUSHBACK, STATUS, TIMEOUT};
use crate::clock::micros;
use crate::config::grpc::GrpcFront;
use crate::core::{Answer, Arrival, Handle, Pending, less_margin};
use crate::event;
use crate::grpc::frames::{Kind, PREFACE, Scanner, Seen};
use crate::grpc::guard::{Guard, Offence};
use crate::grpc::status::{Final, Pushback, details};
use crate::grpc::timeout;
use crate::life::Phase;
use crate::net::front::accept_all;
use crate::net::inbound::{Inbound, Presence};
use crate::net::lifecycle::until;
use crate::net::slots::{Slot, Slots};
use crate::replay_buffer::Over;
use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use hyper::header::{CONTENT_TYPE as TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use log::debug;
use std::future::poll_fn;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, timeout as within, timeout_at};

/// How often it is looked whether a client's socket takes what is sent.
const LOOK: Duration = Duration::from_millis(250);
/// For the last frames of a connection that is cut off.
const LAST_FRAMES: Duration = Duration::from_millis(200);
/// When a client that found no room is asked to come again.
const NO_ROOM: Duration = Duration::from_secs(1);
/// A client that takes no more of an answer that is there has so long after the call's time.
const LAST_BYTES: Duration = Duration::from_millis(100);
/// Parts of an answer on their way from its attempt to its client: enough for headers, one message and trailers, which
/// then go out together.
const PASSED_ON: usize = 4;
/// Streams that a client may reset before they are even looked at, and those that h2 resets for their faults.
const PENDING_RESETS: usize = 200;

#[derive(Clone)]
pub struct Front {
    pub handle: Handle,
    pub nodes: Nodes,
    pub config: Arc<GrpcFront>,
    pub answer_margin: Duration,
    pub phase: watch::Receiver<Phase>,
    /// The memory for requests' bodies, in bytes; the first front's too.
    pub bodies: Arc<Semaphore>,
    pub counters: Arc<Counters>,
}

/// What the front has seen so far.
#[derive(Debug, Default)]
pub struct Counters {
    pub calls: AtomicU64,
    offences: [AtomicU64; Offence::ALL.len()],
}

impl Counters {
    /// Returns how many there are now.
    fn count(&self, offence: Offence, more: u64) -> u64 {
        let place = Offence::ALL.iter().position(|known| *known == offence).unwrap_or(0);
        self.offences[place].fetch_add(more, Ordering::Relaxed) + more
    }

    /// All of them, for the log.
    pub fn tell(&self) -> String {
        let each = Offence::ALL.iter().zip(&self.offences);
        let each =
            each.map(|(offence, count)| format!("{}={}", offence.name(), count.load(Ordering::Relaxed)));
        each.collect::<Vec<_>>().join(" ")
    }
}

pub async fn serve(listener: TcpListener, front: Front, slots: Slots) {
    let phase = front.phase.clone();
    accept_all(listener, slots, phase, |stream, slot, _| client(stream, slot, front.clone())).await;
}

/// What is noted of a client's connection as its frames pass.
struct Noted {
    guard: Guard,
    start: Instant,
    offence: Option<Offence>,
    /// Streams beyond the bound, as h2 turns them away.
    refused: u64,
    blocked: Option<Instant>,
}

#[derive(Clone)]
struct Notes(Arc<(Mutex<Noted>, Notify)>);

impl Notes {
    fn new(header_bytes: usize) -> Notes {
        let noted = Noted {
            guard: Guard::new(header_bytes),
            start: Instant::now(),
            offence: None,
            refused: 0,
            blocked: None,
        };
        Notes(Arc::new((Mutex::new(noted), Notify::new())))
    }

    fn with<T>(&self, f: impl FnOnce(&mut Noted) -> T) -> T {
        f(&mut self.0.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn judge(&self, f: impl FnOnce(&mut Noted) -> Option<Offence>) {
        let found = self.with(|noted| {
            let found = f(noted);
            noted.offence = noted.offence.or(found);
            noted.offence.is_some()
        });
        if found {
            self.0.1.notify_one();
        }
    }

    /// Waits for something that costs the client its connection.
    async fn offended(&self) -> Offence {
        loop {
            let noticed = self.0.1.notified();
            if let Some(offence) = self.with(|noted| noted.offence) {
                return offence;
            }
            noticed.await;
        }
    }

    fn look(&self, patience: Duration) {
        self.judge(|noted| {
            noted.blocked.filter(|since| since.elapsed() >= patience).map(|_| Offence::Stalled)
        });
    }

    fn slow(&self) {
        self.judge(|noted| noted.guard.slow(micros(noted.start.elapsed())));
    }
}

struct ClientTap {
    notes: Notes,
    inwards: Scanner,
    outwards: Scanner,
}

impl Tap for ClientTap {
    fn read(&mut self, bytes: &[u8]) {
        let inwards = &mut self.inwards;
        self.notes.judge(|noted| {
            let now = micros(noted.start.elapsed());
            let mut found = None;
            inwards.pass(bytes, |seen| found = found.or(noted.guard.frame(now, seen)));
            found
        });
    }

    fn wrote(&mut self, bytes: &[u8]) {
        let outwards = &mut self.outwards;
        self.notes.with(|noted| {
            noted.blocked = None;
            outwards.pass(bytes, |seen| {
                if let Seen::Whole(frame) = seen
                    && frame.kind == Kind::Reset
                    && frame.start[..4] == u32::from(Reason::REFUSED_STREAM).to_be_bytes()
                {
                    noted.refused += 1;
                }
            });
        });
    }

    fn blocked(&mut self) {
        self.notes.with(|noted| noted.blocked = noted.blocked.or_else(|| Some(Instant::now())));
    }
}

async fn client(stream: TcpStream, slot: Slot, front: Front) {
    let (inbound, client) = Inbound::new(stream);
    let notes = Notes::new(front.config.header_bytes);
    let (calls, reason) = connection(inbound, &client, &slot, &front, &notes).await;
    let refused = notes.with(|noted| noted.refused);
    front.counters.count(Offence::Streams, refused);
    if let Some(offence) = notes.with(|noted| noted.offence) {
        let so_far = front.counters.count(offence, 1);
        event!(GRPC_CLIENT_CUT, offence = offence.name(), so_far, calls);
    }
    event!(GRPC_CLIENT_GONE, reason, calls, refused);
    client.linger(&slot).await;
}

/// Serves until the connection ends; returns the calls that still were open, and why.
async fn connection(
    stream: Inbound,
    client: &Presence,
    slot: &Slot,
    front: &Front,
    notes: &Notes,
) -> (usize, &'static str) {
    let config = &front.config;
    let tap = ClientTap { notes: notes.clone(), inwards: Scanner::new(PREFACE), outwards: Scanner::new(0) };
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(config.stream_window)
        .initial_connection_window_size(config.client_window.max(u32::from(u16::MAX)))
        .max_concurrent_streams(u32::try_from(config.streams).unwrap_or(u32::MAX))
        .max_header_list_size(config.header_bytes as u32)
        .max_send_buffer_size(config.stream_window as usize)
        .max_pending_accept_reset_streams(PENDING_RESETS)
        .max_concurrent_reset_streams(PENDING_RESETS);
    let handshake = builder.handshake::<_, Bytes>(Tapped::new(stream, tap));
    let handshake = tokio::select! {
        biased;
        _ = notes.offended() => return (0, "it broke a bound before its first call"),
        handshake = handshake => handshake,
        _ = slot.told_to_leave() => return (0, "its preface did not come in time"),
    };
    let Ok(mut connection) = handshake else {
        notes.judge(|_| Some(Offence::Protocol));
        return (0, "no preface");
    };
    slot.answered();
    let mut phase = front.phase.clone();
    let (mut calls, mut told, mut leaving) = (JoinSet::new(), false, false);
    let mut look = tokio::time::interval(LOOK);
    let mut gone = pin!(client.left());
    let reason = loop {
        tokio::select! {
            biased;
            _ = notes.offended() => {
                connection.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM);
                let _ = within(LAST_FRAMES, poll_fn(|cx| connection.poll_closed(cx))).await;
                break "it broke a bound";
            }
            // h2 does not read on while it cannot write.
            () = &mut gone => break "it closed the connection",
            Some(ended) = calls.join_next(), if !calls.is_empty() => {
                // Its stream was reset when it went: that is its one end.
                if ended.is_err() {
                    event!(HANDLER_PANIC, front = "gRPC");
                }
                if calls.is_empty() {
                    slot.answered();
                    if told {
                        connection.graceful_shutdown();
                    }
                }
            }
            () = until(&mut phase, |phase| phase.last || !phase.accept), if !leaving => {
                leaving = true;
                connection.graceful_shutdown();
            }
            orderly = slot.told_to_leave() => {
                if told || !orderly {
                    break "its place was wanted";
                }
                told = true;
                connection.graceful_shutdown();
            }
            _ = look.tick() => notes.look(config.patience),
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    front.counters.calls.fetch_add(1, Ordering::Relaxed);
                    slot.waiting();
                    calls.spawn(serve_call(front.clone(), client.clone(), notes.clone(), request, respond));
                }
                Some(Err(error)) => {
                    if !error.is_io() {
                        debug!("a gRPC client's connection ended: {error}");
                        let offence = match error.reason() {
                            Some(Reason::ENHANCE_YOUR_CALM) => Offence::Other,
                            _ => Offence::Protocol,
                        };
                        notes.judge(|_| Some(offence));
                    }
                    break "the connection broke";
                }
                None => break "it closed the connection",
            }
        }
    };
    (calls.len(), reason)
}

/// What can still be said to the client.
enum Out {
    Fresh(SendResponse<Bytes>),
    Open(SendStream<Bytes>),
}

enum Happened {
    /// The client has reset the stream, or is gone.
    Reset,
    Room(usize),
}

impl Out {
    fn poll(&mut self, cx: &mut Context<'_>, wants_room: bool) -> Poll<Happened> {
        let reset = match self {
            Out::Fresh(respond) => respond.poll_reset(cx),
            Out::Open(stream) => stream.poll_reset(cx),
        };
        if reset.is_ready() {
            return Poll::Ready(Happened::Reset);
        }
        match self {
            Out::Open(stream) if wants_room => match stream.capacity() {
                0 => match ready!(stream.poll_capacity(cx)) {
                    Some(Ok(0)) => {
                        cx.waker().wake_by_ref();
                        Poll::Pending
                    }
                    Some(Ok(room)) => Poll::Ready(Happened::Room(room)),
                    _ => Poll::Ready(Happened::Reset),
                },
                room => Poll::Ready(Happened::Room(room)),
            },
            _ => Poll::Pending,
        }
    }

    fn begun(&self) -> bool {
        matches!(self, Out::Open(_))
    }

    /// Nothing can be done about a client that is gone by now: that is where errors here come from.
    fn open(&mut self, metadata: HeaderMap) {
        if let Out::Fresh(respond) = self
            && let Ok(stream) = respond.send_response(head(metadata), false)
        {
            *self = Out::Open(stream);
        }
    }

    /// The last word.
    fn close(self, trailers: HeaderMap) {
        match self {
            Out::Fresh(mut respond) => drop(respond.send_response(head(trailers), true)),
            Out::Open(mut stream) => drop(stream.send_trailers(trailers)),
        }
    }

    fn finish(self, last: &Final) {
        let begun = self.begun();
        self.close(trailers(last, begun));
    }
}

fn head(metadata: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.headers_mut() = metadata;
    response.headers_mut().entry(TYPE).or_insert(HeaderValue::from_static(CONTENT_TYPE));
    response
}

/// The status that the head words itself.
fn trailers(last: &Final, begun: bool) -> HeaderMap {
    let status = last.status(begun);
    let mut trailers = HeaderMap::with_capacity(4);
    trailers.insert(STATUS, HeaderValue::from(status.code));
    trailers.insert(MESSAGE, HeaderValue::from_static(status.message));
    match status.pushback {
        Pushback::Never => drop(trailers.insert(PUSHBACK, HeaderValue::from_static("-1"))),
        Pushback::After(after) => {
            let millis = u64::try_from(after.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX);
            trailers.insert(PUSHBACK, HeaderValue::from(millis));
            let details = details::encode(status.code, status.message, after);
            // Base64 is fit for a header.
            if let Ok(details) = HeaderValue::try_from(BASE64_STANDARD_NO_PAD.encode(details)) {
                trailers.insert(DETAILS, details);
            }
        }
    }
    trailers
}

/// Ends a call's attempts with its task, however that ends.
struct Leaves(Arc<Call>);

impl Drop for Leaves {
    fn drop(&mut self) {
        self.0.left.cancel();
    }
}

async fn serve_call(
    front: Front,
    client: Presence,
    notes: Notes,
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
) {
    let received = Instant::now();
    let (head, mut body) = request.into_parts();
    let mut out = Out::Fresh(respond);
    let typed = head.headers.get(TYPE).and_then(|value| value.to_str().ok()).is_some_and(is_grpc);
    if head.method != Method::POST || !typed {
        // Not a call at all: the protocol has an HTTP status for it, and clients make UNKNOWN of that.
        if let Out::Fresh(respond) = &mut out {
            let mut response = Response::new(());
            *response.status_mut() = StatusCode::UNSUPPORTED_MEDIA_TYPE;
            let _ = respond.send_response(response, true);
        }
        return;
    }
    let (arrival, route) = match read(&front, &head.uri, &head.headers, received) {
        Ok(read) => read,
        Err(last) => return out.finish(&last),
    };
    let (down, passed) = mpsc::channel(PASSED_ON);
    let (streams, answer_by) = (route.streams, arrival.answer_by);
    let hold = front.config.hold;
    let call = Arc::new(Call::new(head.uri, head.headers, route, hold, front.bodies.clone(), down, client));
    let _leaves = Leaves(call.clone());
    let (mut reading, whole_by) =
        (!body.is_end_stream(), answer_by.min(received + front.config.request_time));
    if !reading {
        call.end(Over::Whole);
    }
    // Until a node may have it, only the client's own time passes.
    while reading && !(streams && call.bytes() > 0) {
        let room = tokio::select! {
            biased;
            happened = poll_fn(|cx| out.poll(cx, false)) => match happened {
                Happened::Reset | Happened::Room(_) => return,
            },
            piece = timeout_at(whole_by, body.data()) => match piece {
                Ok(piece) => take(&call, &mut body, piece, &mut reading),
                Err(_) => {
                    notes.slow();
                    return out.finish(&Final::Slow);
                }
            }
        };
        if reading && !streams && !room {
            let last =
                if call.bytes() >= front.config.hold { Final::TooLong } else { Final::NoRoom(NO_ROOM) };
            return out.finish(&last);
        }
        if !reading && call.cut() {
            return;
        }
    }
    let work = Arc::new(CallWork { nodes: front.nodes.clone(), call: call.clone() });
    match front.handle.submit(arrival, work) {
        None => out.finish(&Final::NoRoom(NO_ROOM)),
        Some(pending) => carry(&call, out, body, reading, passed, pending, answer_by).await,
    }
}

/// Takes a piece of the request, or its end. False: more has come than may be held.
fn take(
    call: &Call,
    body: &mut RecvStream,
    piece: Option<Result<Bytes, h2::Error>>,
    reading: &mut bool,
) -> bool {
    match piece {
        Some(Ok(piece)) => {
            // What is held or on its way to the node is counted there; h2 may let the client go on.
            let _ = body.flow_control().release_capacity(piece.len());
            let room = call.push(piece, call.is_bound());
            if body.is_end_stream() {
                *reading = false;
                call.end(Over::Whole);
            }
            room
        }
        Some(Err(_)) => {
            *reading = false;
            call.end(Over::Cut);
            true
        }
        None => {
            *reading = false;
            call.end(Over::Whole);
            true
        }
    }
}

/// Carries a call that the core has taken to its one end.
async fn carry(
    call: &Call,
    mut out: Out,
    mut body: RecvStream,
    mut reading: bool,
    mut passed: mpsc::Receiver<Down>,
    mut pending: Pending,
    answer_by: Instant,
) {
    let (mut piece, mut last, mut answer) = (Bytes::new(), None, None);
    loop {
        let wants_room = !piece.is_empty();
        tokio::select! {
            biased;
            happened = poll_fn(|cx| out.poll(cx, wants_room)) => match (happened, &mut out) {
                (Happened::Room(room), Out::Open(stream)) => {
                    let part = piece.split_to(room.min(piece.len()));
                    if stream.send_data(part, false).is_err() {
                        return;
                    }
                    if !piece.is_empty() {
                        stream.reserve_capacity(piece.len());
                    }
                }
                _ => return,
            },
            down = passed.recv(), if !wants_room && last.is_none() => match down {
                Some(Down::Headers(metadata)) => out.open(metadata),
                Some(Down::Data(data)) => {
                    if let Out::Open(stream) = &mut out {
                        stream.reserve_capacity(data.len());
                    }
                    piece = data;
                }
                Some(Down::Trailers(trailers)) => last = Some(trailers),
                None => return,
            },
            came = &mut pending, if answer.is_none() => answer = Some(came),
            data = next(call, &mut body), if reading => {
                take(call, &mut body, data, &mut reading);
            }
            () = tokio::time::sleep_until(patience(answer.as_ref(), answer_by)), if answer.is_some() => {
                return out.finish(&Final::OutOfTime);
            }
        }
        let Some(answer) = &answer else { continue };
        // What the attempt passed on before its end goes first, for as long as there is time.
        let all_out = piece.is_empty() && passed.is_empty();
        let late = Instant::now() >= answer_by;
        if !all_out && (!late || matches!(answer, Answer::Served(_))) {
            continue;
        }
        if let Some(trailers) = last.take_if(|_| piece.is_empty()) {
            return out.close(trailers);
        }
        match answer {
            // Its trailers are on their way.
            Answer::Served(_) => {}
            Answer::Refused(_) | Answer::Failed if late => return out.finish(&Final::OutOfTime),
            Answer::Refused(after) => return out.finish(&Final::Refused(*after)),
            Answer::Failed => return out.finish(&Final::Failed(call.status())),
        }
    }
}

/// How long an answer that is there may take to reach its client.
fn patience(answer: Option<&Answer>, answer_by: Instant) -> Instant {
    match answer {
        Some(Answer::Served(_)) => answer_by + LAST_BYTES,
        _ => answer_by,
    }
}

async fn next(call: &Call, body: &mut RecvStream) -> Option<Result<Bytes, h2::Error>> {
    call.room().await;
    body.data().await
}

/// `application/grpc`, with a format behind a plus or parameters behind a semicolon.
fn is_grpc(value: &str) -> bool {
    value.strip_prefix(CONTENT_TYPE).is_some_and(|rest| rest.is_empty() || rest.starts_with(['+', ';']))
}

fn read(
    front: &Front,
    uri: &hyper::Uri,
    metadata: &HeaderMap,
    received: Instant,
) -> Result<(Arrival, crate::config::grpc::Route), Final> {
    let route = *front.config.routes.find(uri.path()).ok_or(Final::NoRoute)?;
    if !metadata.get_all("te").iter().any(|value| value == "trailers") {
        return Err(Final::Malformed("te: trailers is missing"));
    }
    let mut limits = metadata.get_all(HeaderName::from_static(TIMEOUT)).iter();
    let wait = match (limits.next(), limits.next()) {
        (None, _) => route.wait,
        (Some(limit), None) => limit
            .to_str()
            .ok()
            .and_then(timeout::parse)
            .ok_or(Final::Malformed("grpc-timeout is malformed"))?
            .min(route.wait),
        _ => return Err(Final::Malformed("grpc-timeout is there twice")),
    };
    let told = front.config.sources.told(&route, uri.path(), metadata).map_err(Final::Malformed)?;
    let arrival = Arrival {
        body_time: None,
        volume: told.volume,
        key: told.key,
        class: route.class,
        plan: route.plan,
        units: told.units,
        volume_hosts: told.hosts,
        repeat: metadata.contains_key(super::PREVIOUS),
        shard: told.shard,
        answer_by: received + less_margin(wait, front.answer_margin),
    };
    if arrival.answer_by <= received {
        return Err(Final::OutOfTime);
    }
    Ok((arrival, route))
}

#[cfg(test)]
mod tests;
