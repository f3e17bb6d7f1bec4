//! Client connections of the gRPC front. A connection's task owns the tasks of its calls. Only a call's task
//! responds to the client: it forwards the response of the attempt that the call is bound to, and ends every
//! call with one status.

use super::back::{CallWork, NodeChannels};
use super::call::{Call, ResponsePart};
use super::observed_io::{IoObserver, ObservedIo};
use super::{CONTENT_TYPE, DETAILS, MESSAGE, PUSHBACK, STATUS, TIMEOUT};
use crate::clock::micros;
use crate::config::grpc::GrpcFront;
use crate::core::{Answer, Arrival, Handle, Pending, wait_less_margin};
use crate::event;
use crate::grpc::frames::{FrameEvent, FrameKind, PREFACE_BYTES, Scanner};
use crate::grpc::guard::{Guard, Offence};
use crate::grpc::status::{Final, Pushback, details};
use crate::grpc::timeout;
use crate::lifecycle_state::Phase;
use crate::net::front::accept_all;
use crate::net::inbound::{Inbound, Presence};
use crate::net::lifecycle::until;
use crate::net::slots::{Slot, Slots};
use crate::replay_buffer::BodyEnd;
use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use hyper::header::{CONTENT_TYPE as TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use log::debug;
use pathbank_memory::share::{MemoryLease, MemoryShare};
use std::future::poll_fn;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Duration, Instant, timeout as within, timeout_at};

/// How often the front checks whether a client's socket accepts bytes.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long the last frames of a connection that the front cuts off may take.
const LAST_FRAMES_TIMEOUT: Duration = Duration::from_millis(200);
/// What a call holds beside its metadata: its task, its stream, and channels.
const CALL_BYTES: usize = 3 * 1024;
/// What a field of metadata costs beside its bytes.
const METADATA_FIELD_BYTES: usize = 128;
/// The retry delay for a client whose call found no room.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// How long after the call's deadline a client may take to receive the rest of a response that is complete.
const LAST_BYTES_TIMEOUT: Duration = Duration::from_millis(100);
/// The capacity of the channel that carries the parts of a response from its attempt to its call's task. A
/// response with one message has three parts (headers, message, trailers), which are sent together only if
/// all of them fit.
const RESPONSE_PARTS: usize = 4;
/// The value of two limits of h2: on streams that the client has reset before the front accepted them, and on
/// streams that this side has reset and h2 still remembers.
const PENDING_RESETS: usize = 200;

/// The gRPC front. Clones share its state.
#[derive(Clone)]
pub struct Front {
    /// Submits calls to the core.
    pub handle: Handle,
    /// The channels to nodes.
    pub nodes: NodeChannels,
    /// The front's configuration.
    pub config: Arc<GrpcFront>,
    /// How long before a call's deadline the front answers.
    pub answer_margin: Duration,
    /// The phase of the process's life, which tells when to stop accepting.
    pub phase: watch::Receiver<Phase>,
    /// The memory for request bodies, shared with the HTTP front.
    pub bodies: MemoryShare,
    /// The memory for calls: their metadata and tasks.
    pub memory: MemoryShare,
    /// What the front has counted.
    pub counters: Arc<Counters>,
}

/// Counts of calls and offences since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Calls received.
    pub calls: AtomicU64,
    offences: [AtomicU64; Offence::ALL.len()],
}

impl Counters {
    /// Adds `count` offences and returns the new total.
    fn add(&self, offence: Offence, count: u64) -> u64 {
        let index = Offence::ALL.iter().position(|known| *known == offence).unwrap_or(0);
        self.offences[index].fetch_add(count, Ordering::Relaxed) + count
    }

    /// Formats the count of each offence for the event log.
    pub fn format_offences(&self) -> String {
        let counts = Offence::ALL.iter().zip(&self.offences);
        let texts =
            counts.map(|(offence, count)| format!("{}={}", offence.name(), count.load(Ordering::Relaxed)));
        texts.collect::<Vec<_>>().join(" ")
    }
}

/// Accepts and serves clients until the phase no longer accepts connections, which happens only while the
/// process stops: a draining process still accepts.
pub async fn serve(listener: TcpListener, front: Front, slots: Slots) {
    let phase = front.phase.clone();
    accept_all(listener, slots, phase, |stream, slot, _| serve_client(stream, slot, front.clone())).await;
}

/// What the observer records of a client's connection.
struct ConnectionState {
    guard: Guard,
    start: Instant,
    /// The first offence, for which the connection is cut off.
    offence: Option<Offence>,
    /// Streams beyond the limit, which h2 refuses.
    refused: u64,
    /// Since when the socket has accepted no bytes.
    blocked_since: Option<Instant>,
}

/// The state of a client's connection, shared by its tasks. The `Notify` reports an offence.
#[derive(Clone)]
struct ConnectionMonitor(Arc<(Mutex<ConnectionState>, Notify)>);

impl ConnectionMonitor {
    fn new(header_bytes: usize) -> ConnectionMonitor {
        let state = ConnectionState {
            guard: Guard::new(header_bytes),
            start: Instant::now(),
            offence: None,
            refused: 0,
            blocked_since: None,
        };
        ConnectionMonitor(Arc::new((Mutex::new(state), Notify::new())))
    }

    fn with<T>(&self, f: impl FnOnce(&mut ConnectionState) -> T) -> T {
        f(&mut self.0.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs a check, and reports the offence that it finds.
    fn check(&self, check: impl FnOnce(&mut ConnectionState) -> Option<Offence>) {
        let offended = self.with(|state| {
            let found = check(state);
            state.offence = state.offence.or(found);
            state.offence.is_some()
        });
        if offended {
            self.0.1.notify_one();
        }
    }

    /// Waits for an offence, for which the connection is to be cut off.
    async fn offence(&self) -> Offence {
        loop {
            let notified = self.0.1.notified();
            if let Some(offence) = self.with(|state| state.offence) {
                return offence;
            }
            notified.await;
        }
    }

    /// Reports a client whose socket has accepted nothing for `patience`.
    fn check_stalled(&self, patience: Duration) {
        self.check(|state| {
            state.blocked_since.filter(|since| since.elapsed() >= patience).map(|_| Offence::Stalled)
        });
    }

    /// Records a request that did not arrive in time.
    fn record_slow_request(&self) {
        self.check(|state| state.guard.slow_request(micros(state.start.elapsed())));
    }
}

/// Follows the frames of a client's connection, in both directions.
struct ClientObserver {
    monitor: ConnectionMonitor,
    inbound: Scanner,
    outbound: Scanner,
}

impl IoObserver for ClientObserver {
    fn on_read(&mut self, bytes: &[u8]) {
        let inbound = &mut self.inbound;
        self.monitor.check(|state| {
            let now = micros(state.start.elapsed());
            let mut found = None;
            inbound.scan(bytes, |event| found = found.or(state.guard.frame(now, event)));
            found
        });
    }

    fn on_written(&mut self, bytes: &[u8]) {
        let outbound = &mut self.outbound;
        self.monitor.with(|state| {
            state.blocked_since = None;
            outbound.scan(bytes, |event| {
                if let FrameEvent::Complete(frame) = event
                    && frame.kind == FrameKind::Reset
                    && frame.payload_start[..4] == u32::from(Reason::REFUSED_STREAM).to_be_bytes()
                {
                    state.refused += 1;
                }
            });
        });
    }

    fn on_write_blocked(&mut self) {
        self.monitor.with(|state| state.blocked_since = state.blocked_since.or_else(|| Some(Instant::now())));
    }
}

async fn serve_client(stream: TcpStream, slot: Slot, front: Front) {
    let (inbound, client) = Inbound::new(stream);
    let monitor = ConnectionMonitor::new(front.config.header_bytes);
    let (calls, reason) = serve_connection(inbound, &client, &slot, &front, &monitor).await;
    let refused = monitor.with(|state| state.refused);
    front.counters.add(Offence::Streams, refused);
    if let Some(offence) = monitor.with(|state| state.offence) {
        let so_far = front.counters.add(offence, 1);
        event!(GRPC_CLIENT_CUT, offence = offence.name(), so_far, calls);
    }
    event!(GRPC_CLIENT_GONE, reason, calls, refused);
    client.linger(&slot).await;
}

/// Serves a connection until it ends. Returns the number of calls that were still open, and why the
/// connection ended.
async fn serve_connection(
    stream: Inbound,
    client: &Presence,
    slot: &Slot,
    front: &Front,
    monitor: &ConnectionMonitor,
) -> (usize, &'static str) {
    let config = &front.config;
    let observer = ClientObserver {
        monitor: monitor.clone(),
        inbound: Scanner::new(PREFACE_BYTES),
        outbound: Scanner::new(0),
    };
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(config.stream_window)
        .initial_connection_window_size(config.client_window.max(u32::from(u16::MAX)))
        .max_concurrent_streams(u32::try_from(config.streams).unwrap_or(u32::MAX))
        .max_header_list_size(config.header_bytes as u32)
        .max_send_buffer_size(config.stream_window as usize)
        .max_pending_accept_reset_streams(PENDING_RESETS)
        .max_concurrent_reset_streams(PENDING_RESETS);
    let handshake = builder.handshake::<_, Bytes>(ObservedIo::new(stream, observer));
    let handshake = tokio::select! {
        biased;
        _ = monitor.offence() => return (0, "it broke a bound before its first call"),
        handshake = handshake => handshake,
        _ = slot.asked_to_leave() => return (0, "its preface did not come in time"),
    };
    let Ok(mut connection) = handshake else {
        monitor.check(|_| Some(Offence::Protocol));
        return (0, "no preface");
    };
    slot.mark_answered();
    let mut phase = front.phase.clone();
    // `asked_to_leave`: the slot is wanted for another client, or a time limit has passed. `draining`: this
    // connection is shutting down, because the process drains or no longer accepts connections.
    let (mut calls, mut asked_to_leave, mut draining) = (JoinSet::new(), false, false);
    let mut stall_check = tokio::time::interval(STALL_CHECK_INTERVAL);
    let mut client_left = pin!(client.left());
    let reason = loop {
        tokio::select! {
            biased;
            _ = monitor.offence() => {
                connection.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM);
                let _ = within(LAST_FRAMES_TIMEOUT, poll_fn(|cx| connection.poll_closed(cx))).await;
                break "it broke a bound";
            }
            // h2 does not read while it cannot write, and would not notice that the client has left.
            () = &mut client_left => break "it closed the connection",
            Some(ended) = calls.join_next(), if !calls.is_empty() => {
                // A call that panicked has dropped its stream, which h2 has reset: the client has its one
                // end.
                if ended.is_err() {
                    event!(HANDLER_PANIC, front = "gRPC");
                }
                if calls.is_empty() {
                    slot.mark_answered();
                    if asked_to_leave {
                        connection.graceful_shutdown();
                    }
                }
            }
            () = until(&mut phase, |phase| phase.close_after_answer || !phase.accept), if !draining => {
                draining = true;
                connection.graceful_shutdown();
            }
            orderly = slot.asked_to_leave() => {
                if asked_to_leave || !orderly {
                    break "its place was wanted";
                }
                asked_to_leave = true;
                connection.graceful_shutdown();
            }
            _ = stall_check.tick() => monitor.check_stalled(config.patience),
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    front.counters.calls.fetch_add(1, Ordering::Relaxed);
                    let Ok(memory) = front.memory.lease(call_bytes(&request)) else {
                        front.memory.count_refusal();
                        ResponseSender::Unsent(respond).finish(&Final::NoRoom(NO_ROOM_RETRY_AFTER));
                        continue;
                    };
                    slot.mark_waiting();
                    calls.spawn(serve_call(front.clone(), client.clone(), monitor.clone(), request, respond, memory));
                }
                Some(Err(error)) => {
                    if !error.is_io() {
                        debug!("a gRPC client's connection failed: {error}");
                        let offence = match error.reason() {
                            Some(Reason::ENHANCE_YOUR_CALM) => Offence::Other,
                            _ => Offence::Protocol,
                        };
                        monitor.check(|_| Some(offence));
                    }
                    break "the connection broke";
                }
                None => break "it closed the connection",
            }
        }
    };
    (calls.len(), reason)
}

/// The sending side of a call's response.
enum ResponseSender {
    /// Nothing was sent yet.
    Unsent(SendResponse<Bytes>),
    /// The headers were sent.
    Open(SendStream<Bytes>),
}

/// What happened on a response's stream.
enum StreamEvent {
    /// The client has reset the stream, or its connection is closed.
    Reset,
    /// This many bytes may be sent.
    Capacity(usize),
}

impl ResponseSender {
    /// Waits for a reset and, if `wants_capacity`, until bytes may be sent.
    fn poll(&mut self, cx: &mut Context<'_>, wants_capacity: bool) -> Poll<StreamEvent> {
        let reset = match self {
            ResponseSender::Unsent(respond) => respond.poll_reset(cx),
            ResponseSender::Open(stream) => stream.poll_reset(cx),
        };
        if reset.is_ready() {
            return Poll::Ready(StreamEvent::Reset);
        }
        match self {
            ResponseSender::Open(stream) if wants_capacity => match stream.capacity() {
                0 => match ready!(stream.poll_capacity(cx)) {
                    Some(Ok(0)) => {
                        cx.waker().wake_by_ref();
                        Poll::Pending
                    }
                    Some(Ok(capacity)) => Poll::Ready(StreamEvent::Capacity(capacity)),
                    _ => Poll::Ready(StreamEvent::Reset),
                },
                capacity => Poll::Ready(StreamEvent::Capacity(capacity)),
            },
            _ => Poll::Pending,
        }
    }

    fn has_started(&self) -> bool {
        matches!(self, ResponseSender::Open(_))
    }

    /// Sends the headers. Errors are ignored: they only come from a client that has left.
    fn open(&mut self, metadata: HeaderMap) {
        if let ResponseSender::Unsent(respond) = self
            && let Ok(stream) = respond.send_response(response_head(metadata), false)
        {
            *self = ResponseSender::Open(stream);
        }
    }

    /// Ends the response with `trailers`, in a Trailers-Only response if nothing was sent before.
    fn close(self, trailers: HeaderMap) {
        match self {
            ResponseSender::Unsent(mut respond) => drop(respond.send_response(response_head(trailers), true)),
            ResponseSender::Open(mut stream) => drop(stream.send_trailers(trailers)),
        }
    }

    /// Ends the response with a status of the proxy's own.
    fn finish(self, end: &Final) {
        let started = self.has_started();
        self.close(status_trailers(end, started));
    }
}

fn response_head(metadata: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.headers_mut() = metadata;
    response.headers_mut().entry(TYPE).or_insert(HeaderValue::from_static(CONTENT_TYPE));
    response
}

/// Returns the trailers for a status of the proxy's own; `started`: the client has a part of the response.
fn status_trailers(end: &Final, started: bool) -> HeaderMap {
    let status = end.status(started);
    let mut trailers = HeaderMap::with_capacity(4);
    trailers.insert(STATUS, HeaderValue::from(status.code));
    trailers.insert(MESSAGE, HeaderValue::from_static(status.message));
    match status.pushback {
        Pushback::Never => drop(trailers.insert(PUSHBACK, HeaderValue::from_static("-1"))),
        Pushback::After(after) => {
            let millis = u64::try_from(after.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX);
            trailers.insert(PUSHBACK, HeaderValue::from(millis));
            let details = details::encode(status.code, status.message, after);
            // Never fails: base64 is valid in a header.
            if let Ok(details) = HeaderValue::try_from(BASE64_STANDARD_NO_PAD.encode(details)) {
                trailers.insert(DETAILS, details);
            }
        }
    }
    trailers
}

/// What a call holds: its task, and its metadata.
fn call_bytes(request: &Request<RecvStream>) -> usize {
    let fields = request.headers().iter();
    let metadata = fields.map(|(name, value)| name.as_str().len() + value.len() + METADATA_FIELD_BYTES);
    CALL_BYTES + metadata.sum::<usize>()
}

/// Returns metadata of its own memory.
fn copied_metadata(metadata: &HeaderMap) -> HeaderMap {
    let copied = |(name, value): (&HeaderName, &HeaderValue)| {
        let name = HeaderName::from_bytes(name.as_str().as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value.as_bytes()).ok()?))
    };
    let mut copy = HeaderMap::with_capacity(metadata.len());
    for (name, value) in metadata.iter().filter_map(copied) {
        copy.append(name, value);
    }
    copy
}

/// Returns a URI of its own memory.
fn copied_uri(uri: &Uri) -> Uri {
    Uri::try_from(uri.to_string()).unwrap_or_else(|_| uri.clone())
}

/// Cancels a call's attempts when the call's task ends, also by a panic.
struct CancelOnDrop(Arc<Call>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.cancelled.cancel();
    }
}

/// Serves one call: reads its request, submits it to the core and sends its response.
async fn serve_call(
    front: Front,
    client: Presence,
    monitor: ConnectionMonitor,
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    _memory: MemoryLease,
) {
    let received = Instant::now();
    let (head, mut body) = request.into_parts();
    let mut response = ResponseSender::Unsent(respond);
    let is_call = head.headers.get(TYPE).and_then(|value| value.to_str().ok()).is_some_and(is_grpc);
    if head.method != Method::POST || !is_call {
        // The request is no gRPC call. The protocol prescribes this HTTP status, which clients turn into
        // UNKNOWN.
        if let ResponseSender::Unsent(respond) = &mut response {
            let mut unsupported = Response::new(());
            *unsupported.status_mut() = StatusCode::UNSUPPORTED_MEDIA_TYPE;
            let _ = respond.send_response(unsupported, true);
        }
        return;
    }
    let (arrival, route) = match read_call(&front, &head.uri, &head.headers, received) {
        Ok(call) => call,
        Err(end) => return response.finish(&end),
    };
    let (parts_sender, parts) = mpsc::channel(RESPONSE_PARTS);
    let (streams, answer_by) = (route.streams_request, arrival.answer_by);
    let hold = front.config.hold;
    let memory = front.bodies.clone();
    // Copied: the metadata would keep the whole read buffer from which it came.
    let (uri, metadata) = (copied_uri(&head.uri), copied_metadata(&head.headers));
    drop((head.uri, head.headers));
    let call = Arc::new(Call::new(uri, metadata, route, hold, memory, parts_sender, client));
    let _cancel = CancelOnDrop(call.clone());
    let (mut reading, complete_by) =
        (!body.is_end_stream(), answer_by.min(received + front.config.request_time));
    if !reading {
        call.end(BodyEnd::Complete);
    }
    // Reads until the call may go to a node: a streaming call with its first bytes, others once complete.
    while reading && !(streams && call.bytes() > 0) {
        let has_room = tokio::select! {
            biased;
            event = poll_fn(|cx| response.poll(cx, false)) => match event {
                StreamEvent::Reset | StreamEvent::Capacity(_) => return,
            },
            piece = timeout_at(complete_by, body.data()) => match piece {
                Ok(piece) => read_piece(&call, &mut body, piece, &mut reading),
                Err(_) => {
                    monitor.record_slow_request();
                    return response.finish(&Final::SlowRequest);
                }
            }
        };
        if reading && !streams && !has_room {
            let too_long = call.bytes() >= front.config.hold;
            let end = if too_long { Final::TooLong } else { Final::NoRoom(NO_ROOM_RETRY_AFTER) };
            return response.finish(&end);
        }
        if !reading && call.is_cut() {
            return;
        }
    }
    let work = Arc::new(CallWork { nodes: front.nodes.clone(), call: call.clone() });
    match front.handle.submit(arrival, work) {
        None => response.finish(&Final::NoRoom(NO_ROOM_RETRY_AFTER)),
        Some(pending) => forward_response(&call, response, body, reading, parts, pending, answer_by).await,
    }
}

/// Stores a piece of the request, or records its end. Returns false if more bytes have arrived than may be
/// held.
fn read_piece(
    call: &Call,
    body: &mut RecvStream,
    piece: Option<Result<Bytes, h2::Error>>,
    reading: &mut bool,
) -> bool {
    match piece {
        Some(Ok(piece)) => {
            // The call limits the bytes that are held or on their way to a node, so that h2 need not withhold
            // capacity.
            let _ = body.flow_control().release_capacity(piece.len());
            let has_room = call.push(piece, call.is_bound());
            if body.is_end_stream() {
                *reading = false;
                call.end(BodyEnd::Complete);
            }
            has_room
        }
        Some(Err(_)) => {
            *reading = false;
            call.end(BodyEnd::Reset);
            true
        }
        None => {
            *reading = false;
            call.end(BodyEnd::Complete);
            true
        }
    }
}

/// Forwards the response of a submitted call to the client, and the rest of a streaming request to the call,
/// until the call ends.
async fn forward_response(
    call: &Call,
    mut response: ResponseSender,
    mut body: RecvStream,
    mut reading: bool,
    mut parts: mpsc::Receiver<ResponsePart>,
    mut pending: Pending,
    answer_by: Instant,
) {
    let (mut piece, mut trailers, mut answer) = (Bytes::new(), None, None);
    loop {
        let wants_capacity = !piece.is_empty();
        tokio::select! {
            biased;
            event = poll_fn(|cx| response.poll(cx, wants_capacity)) => match (event, &mut response) {
                (StreamEvent::Capacity(capacity), ResponseSender::Open(stream)) => {
                    let part = piece.split_to(capacity.min(piece.len()));
                    if stream.send_data(part, false).is_err() {
                        return;
                    }
                    if !piece.is_empty() {
                        stream.reserve_capacity(piece.len());
                    }
                }
                _ => return,
            },
            part = parts.recv(), if !wants_capacity && trailers.is_none() => match part {
                Some(ResponsePart::Headers(metadata)) => response.open(metadata),
                Some(ResponsePart::Data(data)) => {
                    if let ResponseSender::Open(stream) = &mut response {
                        stream.reserve_capacity(data.len());
                    }
                    piece = data;
                }
                Some(ResponsePart::Trailers(metadata)) => trailers = Some(metadata),
                None => return,
            },
            outcome = &mut pending, if answer.is_none() => answer = Some(outcome),
            data = next_piece(call, &mut body), if reading => {
                read_piece(call, &mut body, data, &mut reading);
            }
            () = tokio::time::sleep_until(send_by(answer.as_ref(), answer_by)), if answer.is_some() => {
                return response.finish(&Final::OutOfTime);
            }
        }
        let Some(answer) = &answer else { continue };
        // The parts that the attempt forwarded before its end are sent first, until the deadline.
        let all_sent = piece.is_empty() && parts.is_empty();
        let late = Instant::now() >= answer_by;
        if !all_sent && (!late || matches!(answer, Answer::Served(_))) {
            continue;
        }
        if let Some(trailers) = trailers.take_if(|_| piece.is_empty()) {
            return response.close(trailers);
        }
        match answer {
            // The attempt's trailers have not arrived yet.
            Answer::Served(_) => {}
            Answer::Refused(_) | Answer::Failed if late => return response.finish(&Final::OutOfTime),
            Answer::Refused(after) => return response.finish(&Final::Refused(*after)),
            Answer::Failed => return response.finish(&Final::Failed(call.failure_status())),
        }
    }
}

/// Returns when the response must have been sent.
fn send_by(answer: Option<&Answer>, answer_by: Instant) -> Instant {
    match answer {
        Some(Answer::Served(_)) => answer_by + LAST_BYTES_TIMEOUT,
        _ => answer_by,
    }
}

/// Waits until the call has room for another piece of the request, then reads one.
async fn next_piece(call: &Call, body: &mut RecvStream) -> Option<Result<Bytes, h2::Error>> {
    call.readable().await;
    body.data().await
}

/// Returns whether a content type is `application/grpc`, alone or followed by `+` and a format or `;` and
/// parameters.
fn is_grpc(value: &str) -> bool {
    value.strip_prefix(CONTENT_TYPE).is_some_and(|rest| rest.is_empty() || rest.starts_with(['+', ';']))
}

/// Reads the route, deadline and metadata of a call. `Err` is the end of a call that cannot be served.
fn read_call(
    front: &Front,
    uri: &hyper::Uri,
    metadata: &HeaderMap,
    received: Instant,
) -> Result<(Arrival, crate::config::grpc::Route), Final> {
    let route = *front.config.routes.find(uri.path()).ok_or(Final::NoRoute)?;
    if !metadata.get_all("te").iter().any(|value| value == "trailers") {
        return Err(Final::Malformed("te: trailers is missing"));
    }
    let mut timeouts = metadata.get_all(HeaderName::from_static(TIMEOUT)).iter();
    let wait = match (timeouts.next(), timeouts.next()) {
        (None, _) => route.wait,
        (Some(text), None) => text
            .to_str()
            .ok()
            .and_then(timeout::parse)
            .ok_or(Final::Malformed("grpc-timeout is malformed"))?
            .min(route.wait),
        _ => return Err(Final::Malformed("grpc-timeout is there twice")),
    };
    let values = front.config.sources.read(&route, uri.path(), metadata).map_err(Final::Malformed)?;
    let arrival = Arrival {
        body_time: None,
        volume: values.volume,
        key: values.key,
        class: route.class,
        plan: route.plan,
        units: values.units,
        volume_hosts: values.hosts,
        repeat: metadata.contains_key(super::PREVIOUS_ATTEMPTS),
        shard: values.shard,
        answer_by: received + wait_less_margin(wait, front.answer_margin),
    };
    if arrival.answer_by <= received {
        return Err(Final::OutOfTime);
    }
    Ok((arrival, route))
}

#[cfg(test)]
mod tests;
