//! The HTTP/1.1 front: submits clients' requests to the core and sends the core's answers to the clients.

mod request_body;

use crate::classes::Directory;
use crate::core::{Answer, Arrival, Handle, Pending, wait_less_margin};
use crate::event;
use crate::lifecycle_state::Phase;
use crate::memory::ProxyMemory;
use crate::metrics::Count;
use crate::net::back::{
    Forward, ForwardWork, IDEMPOTENCY_KEY, MAX_BODY_BYTES, NodeClient, Passing, REQUEST_ID, TIMEOUT,
};
use crate::net::body::{BodyReader, Fault};
use crate::net::ids::Ids;
use crate::net::inbound::{Inbound, Presence};
use crate::net::incoming_body::IncomingBody;
use crate::net::lifecycle::until;
use crate::net::slots::{HeadMemory, Slot, Slots};
use crate::net::socket;
use crate::replay_buffer::BodyEnd;
use axum::Extension;
use axum::Router;
use axum::body::{Body, HttpBody};
use axum::extract::{Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::Bytes;
use futures_util::FutureExt;
use hyper::body::{Frame, Incoming};
use hyper::rt::ReadBufCursor;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use pathbank_memory::share::MemoryShare;
use request_body::{BodyRefusal, ReceivedBody, read_while_room};
use std::fmt;
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::panic::AssertUnwindSafe;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::{Duration, Instant};
use tower_service::Service;

/// The part of a request that [`Malformed`] names when the method is not served.
const METHOD_PART: &str = "method";
const CLASS_HEADER: &str = "x-priority-class";
const PLAN_HEADER: &str = "x-storage-class";
const EXTENT_HEADER: &str = "x-extent";
const RETRIED_HEADER: &str = "x-retried";
/// The most bytes of one read.
const READ_BYTES: usize = 4 * 1024;
/// What of a head, and of the read behind it, every connection's memory covers.
const COVERED_HEAD_BYTES: usize = 8 * 1024;
/// The most bytes that a connection buffers of a request's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most bytes of an id or a key.
const MAX_TOKEN_BYTES: usize = 128;
/// The most bytes of a path with its query.
const MAX_TARGET_BYTES: usize = 1024;
/// The `Retry-After` time of a request that is refused because memory or the queue is full.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The HTTP front.
#[derive(Clone)]
pub struct HttpFront {
    /// The handle to the core.
    pub handle: Handle,
    /// The connections to storage nodes.
    pub back: NodeClient,
    /// The names of classes and plans that are in force; a reload changes them.
    pub names: watch::Receiver<Arc<Directory>>,
    /// The time subtracted from a client's timeout, so that the answer arrives before the timeout.
    pub answer_margin: Duration,
    /// The process's phase.
    pub phase: watch::Receiver<Phase>,
    /// The memory for what clients send.
    pub memory: ProxyMemory,
    /// The ids of recent requests.
    pub ids: Ids,
}

/// Accepts and serves connections until the phase no longer accepts.
pub async fn serve(listener: TcpListener, front: HttpFront, slots: Slots) {
    let phase = front.phase.clone();
    let heads = front.memory.heads.clone();
    let router = Router::new().route("/up", get(readiness)).fallback(handle_request).with_state(front);
    let connection = |stream, slot, phase: &watch::Receiver<Phase>| {
        connection(stream, slot, heads.clone(), router.clone(), phase.clone())
    };
    accept_all(listener, slots, phase, connection).await;
}

/// Accepts connections while the phase accepts. Then, unless the listener was handed over, accepts those that
/// wait in the kernel's queue. Each connection runs in a task of its own.
pub async fn accept_all<C: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    slots: Slots,
    mut phase: watch::Receiver<Phase>,
    connection: impl Fn(TcpStream, Slot, &watch::Receiver<Phase>) -> C,
) {
    socket::limit_unread(&listener);
    loop {
        let accepted = tokio::select! {
            () = until(&mut phase, |phase| !phase.accept) => break,
            accepted = listener.accept() => accepted,
        };
        // An accepted connection waits for its slot even if the phase changes: dropping the connection would
        // reset it.
        match accepted {
            Ok((stream, _)) => drop(tokio::spawn(connection(stream, slots.take().await, &phase))),
            Err(problem) => {
                event!(ACCEPT_FAILED, problem:%);
                // Pauses rather than spin when no file descriptor is left.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    if phase.borrow().handed_over {
        return;
    }
    // The kernel resets the connections in its queue when the listener closes. Accepting from the std
    // listener takes every connection queued by now, also those that the runtime has not been notified of.
    let waiting = listener.into_std();
    while let Ok((stream, _)) =
        waiting.as_ref().map_err(|_| ErrorKind::NotConnected.into()).and_then(std::net::TcpListener::accept)
    {
        if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            tokio::spawn(connection(stream, slots.take().await, &phase));
        }
    }
}

/// Answers `GET /up`: 200 while the process is up, 503 while it drains.
async fn readiness(State(front): State<HttpFront>) -> Response {
    let phase = *front.phase.borrow();
    let response = match phase.up {
        true => "up".into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "draining").into_response(),
    };
    if phase.close_after_answer { with_connection_close(response) } else { response }
}

/// Serves one client connection until it ends, is told to close, or its client leaves.
async fn connection(
    stream: TcpStream,
    slot: Slot,
    heads: MemoryShare,
    router: Router,
    mut phase: watch::Receiver<Phase>,
) {
    let (inbound, client) = Inbound::new(stream);
    let io = ObservedConnection { io: TokioIo::new(inbound), slot: slot.clone(), heads };
    let (of_request, of_client) = (slot.clone(), client.clone());
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        of_request.mark_awaiting_request();
        request.extensions_mut().insert(of_request.clone());
        request.extensions_mut().insert(of_client.clone());
        let (answer, slot, client) = (router.clone().call(request), of_request.clone(), of_client.clone());
        async move {
            let response = answer.await?;
            let still_out = response.extensions().get::<ResponseUnfinished>().is_some();
            if !still_out {
                client.answer_given();
            }
            let last = if still_out { slot.should_close() } else { slot.mark_answered() }
                || slot.was_asked_to_leave()
                || client.has_discarded();
            Ok::<_, std::convert::Infallible>(if last { with_connection_close(response) } else { response })
        }
    });
    let mut served =
        Box::pin(http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service));
    let mut client_left = pin!(client.left());
    let (mut asked_to_leave, mut closing, mut discarding) = (false, false, false);
    let ended = loop {
        // Bytes that have arrived are read before the connection is told to close.
        tokio::select! {
            biased;
            ended = served.as_mut() => break ended,
            // hyper does not read further while a request is open, so it would not notice that the client
            // closes.
            () = &mut client_left => {
                debug!("client closed its connection");
                return;
            }
            // What follows the request is lost, so that its answer is the last.
            () = client.discarded(), if !discarding => {
                discarding = true;
                served.as_mut().graceful_shutdown();
            }
            () = until(&mut phase, |phase| phase.close), if !closing => {
                closing = true;
                if !has_request_under_way(&slot, &client) {
                    served.as_mut().graceful_shutdown();
                }
            }
            orderly = slot.asked_to_leave() => {
                if asked_to_leave || !orderly {
                    debug!("client connection cut off");
                    return;
                }
                asked_to_leave = true;
                if !has_request_under_way(&slot, &client) {
                    served.as_mut().graceful_shutdown();
                }
            }
        }
    };
    if let Err(problem) = ended {
        debug!("client connection ended with an error: {problem}");
    }
    drop(served);
    client.linger(&slot).await;
}

/// Reports whether the connection awaits its first request, a request's head or body is being read, or bytes
/// have arrived unread. Returns false while a complete request awaits its answer. A graceful shutdown of
/// hyper would discard a request that is being read or unread; instead, its answer carries
/// `Connection: close`.
fn has_request_under_way(slot: &Slot, client: &Presence) -> bool {
    slot.is_asking() || client.has_unread()
}

/// A client's connection that reports the bytes it reads to its slot.
struct ObservedConnection {
    io: TokioIo<Inbound>,
    slot: Slot,
    /// The memory for long heads.
    heads: MemoryShare,
}

impl hyper::rt::Read for ObservedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        match self.slot.cover_head(READ_BYTES, COVERED_HEAD_BYTES, &self.heads) {
            HeadMemory::Taken => {}
            HeadMemory::Refused => return Poll::Ready(Err(ErrorKind::OutOfMemory.into())),
            HeadMemory::Awaited => {
                // The memory comes back once the task of the other connection has run.
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        }
        // Reads into a local buffer first: bytes written to the cursor can't be inspected afterwards.
        let mut part = [0; READ_BYTES];
        let most = part.len().min(buf.remaining());
        let mut own = ReadBuf::new(&mut part[..most]);
        std::task::ready!(Pin::new(self.io.inner_mut()).poll_read(cx, &mut own))?;
        self.slot.bytes_came(own.filled());
        buf.put_slice(own.filled());
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for ObservedConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    /// Without this hyper would copy an answer into its write buffer, and drop its lease.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Answers one request. A panic in its handling is answered with 500.
async fn handle_request(
    State(front): State<HttpFront>,
    Extension(slot): Extension<Slot>,
    Extension(client): Extension<Presence>,
    request: Request,
) -> Response {
    let received = Instant::now();
    let leaving = front.phase.clone();
    let answered = AssertUnwindSafe(answer(&front, &slot, client, request, received)).catch_unwind().await;
    let mut response = answered.unwrap_or_else(|_| {
        event!(HANDLER_PANIC, front = "HTTP/1.1");
        StatusCode::INTERNAL_SERVER_ERROR.into_response()
    });
    if leaving.borrow().close_after_answer {
        response = with_connection_close(response);
    }
    response
}

/// Announces that the connection closes after this response.
fn with_connection_close(mut response: Response) -> Response {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Checks a request, reads its body, submits it to the core and returns the response.
async fn answer(
    front: &HttpFront,
    slot: &Slot,
    client: Presence,
    request: Request,
    received: Instant,
) -> Response {
    let (head, body) = request.into_parts();
    let names = front.names.borrow().clone();
    let arrival = match parse_request(&head, &names, received, front.answer_margin) {
        Ok(arrival) => arrival,
        Err(Malformed(METHOD_PART)) => return not_allowed(),
        Err(malformed) => return denied(StatusCode::BAD_REQUEST, &malformed.to_string()),
    };
    // A Content-Length beside a Transfer-Encoding may smuggle another request in the body (RFC 9112, 6.3).
    // hyper ignores a Content-Length that follows a Transfer-Encoding, so the bytes read for the head are
    // searched too.
    let coded = head.headers.contains_key(header::TRANSFER_ENCODING);
    if coded && (head.headers.contains_key(header::CONTENT_LENGTH) || slot.head_has_length()) {
        return denied(StatusCode::BAD_REQUEST, "a body with a length and a coding");
    }
    let mut reading = BodyReader::new(body, MAX_BODY_BYTES);
    let length = reading.length();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return denied(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    }
    let Some(id) = head.headers.get(REQUEST_ID).cloned() else {
        return denied(StatusCode::BAD_REQUEST, &Malformed(REQUEST_ID).to_string());
    };
    // Copied: the head's parts would keep its whole read buffer.
    let (id, key) = (copied(&id), head.headers.get(IDEMPOTENCY_KEY).map(copied));
    let (method, target) = (head.method.clone(), copied_target(&head.uri));
    drop(head);
    let forward = |payload, wait| {
        let (begins, response_start) = oneshot::channel();
        let forward = Forward {
            method: method.clone(),
            target: target.clone(),
            id: Some(id.clone()),
            key: key.clone(),
            payload,
            wait,
            begins: Mutex::new(Some(begins)),
        };
        (
            Arc::new(ForwardWork {
                back: front.back.clone(),
                forward: Arc::new(forward),
                client: client.clone(),
            }),
            response_start,
        )
    };
    let wait = arrival.answer_by.saturating_duration_since(received);
    slot.mark_reading();
    let ReceivedBody { payload, rest } =
        match request_body::receive(&front.memory, &client, &mut reading).await {
            Ok(body) => body,
            Err(BodyRefusal::Fault(fault)) => return fault_response(fault),
            Err(BodyRefusal::NoMemory) => {
                front.handle.metrics().count(arrival.class, Count::Dropped);
                return drain_body_after(reading, slot, refused(NO_ROOM_RETRY_AFTER));
            }
        };
    if !front.ids.first_time(id.as_bytes(), received) {
        return denied(StatusCode::CONFLICT, "this id has been used");
    }
    slot.mark_waiting();
    // A request's timeout counts from its last held byte.
    let answer_by = Instant::now() + wait;
    let arrival = Arrival { answer_by, body_time: rest.as_ref().map(|_| wait), ..arrival };
    let (work, response_start) = forward(payload, wait);
    if rest.is_none() {
        client.request_complete();
    }
    let Some(pending) = front.handle.submit(arrival, work) else {
        return match rest {
            // The connection closes after this answer, so that its slot is free for another client.
            None => with_connection_close(refused(NO_ROOM_RETRY_AFTER)),
            Some(_) => drain_body_after(reading, slot, refused(NO_ROOM_RETRY_AFTER)),
        };
    };
    match rest {
        None => await_answer(pending, response_start, slot, &client).await,
        Some(upload) => {
            let source = &upload.source;
            let response =
                answer_while_receiving(reading, source, pending, response_start, slot, &client).await;
            client.widen(false);
            response
        }
    }
}

/// Reads the rest of a request's body while the core queues and forwards the request. The answer may come
/// before the body's end.
async fn answer_while_receiving(
    mut reading: BodyReader,
    source: &IncomingBody,
    pending: Pending,
    response_start: oneshot::Receiver<Passing>,
    slot: &Slot,
    client: &Presence,
) -> Response {
    let body_completion = pending.body_completion();
    let response = {
        let fault = async {
            while !source.is_over() {
                source.readable().await;
                if let Err(fault) = read_while_room(&mut reading, source).await {
                    source.end(BodyEnd::Reset);
                    return fault;
                }
            }
            body_completion.complete();
            client.request_complete();
            std::future::pending().await
        };
        tokio::select! {
            biased;
            response = await_answer(pending, response_start, slot, client) => response,
            // Returning drops `pending`, which cancels the request like one whose client has left.
            fault = fault => return fault_response(fault),
        }
    };
    if source.is_over() { response } else { drain_body_after(reading, slot, response) }
}

/// Returns a response that is sent before the request's body has ended, and reads the rest of the body in the
/// background. If the connection closed at once, a reset could overtake the response, and a client still
/// writing would never see it.
fn drain_body_after(mut reading: BodyReader, slot: &Slot, mut response: Response) -> Response {
    let slot = slot.clone();
    response.extensions_mut().insert(ResponseUnfinished);
    tokio::spawn(async move {
        slot.mark_reading();
        // On any fault, hyper closes the connection when the unread body is dropped.
        while let Ok(Some(_)) = reading.next().await {}
        slot.mark_answered();
    });
    response
}

/// Waits for the core's answer, or for the start of an answer that is streamed to the client.
async fn await_answer(
    mut pending: Pending,
    mut response_start: oneshot::Receiver<Passing>,
    slot: &Slot,
    client: &Presence,
) -> Response {
    let mut may_begin = true;
    loop {
        tokio::select! {
            biased;
            began = &mut response_start, if may_begin => match began {
                Ok(passing) => return streamed_response(passing, pending, slot, client),
                // No attempt will stream an answer: the request has ended.
                Err(_) => may_begin = false,
            },
            answer = &mut pending => return match answer {
                Answer::Served(body) => Response::new(Body::from(body)),
                Answer::Refused(after) => refused(after),
                Answer::Failed => StatusCode::BAD_GATEWAY.into_response(),
            },
        }
    }
}

/// Builds the response to a long answer, whose body is streamed.
fn streamed_response(passing: Passing, pending: Pending, slot: &Slot, client: &Presence) -> Response {
    let length = passing.length;
    let body = StreamedBody { passing, pending, given: 0, slot: slot.clone(), client: client.clone() };
    let mut response = Response::new(Body::new(body));
    if let Some(length) = length {
        response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    response.extensions_mut().insert(ResponseUnfinished);
    response
}

/// Marks a response whose slot becomes idle only when a body ends: the streamed answer or the rest of the
/// request.
#[derive(Clone)]
struct ResponseUnfinished;

/// The body of a long answer. It ends normally only if the core reports that the node's answer was complete;
/// otherwise the connection is aborted, so that the client notices the truncation.
struct StreamedBody {
    passing: Passing,
    pending: Pending,
    given: u64,
    slot: Slot,
    client: Presence,
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(piece) = std::task::ready!(self.passing.pieces.poll_recv(cx)) {
            self.given += piece.len() as u64;
            if self.passing.length.is_some_and(|length| self.given >= length) {
                self.pending.delivered();
            }
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        Poll::Ready(match std::task::ready!(Pin::new(&mut self.pending).poll(cx)) {
            Answer::Served(_) => None,
            _ => Some(Err(io::ErrorKind::ConnectionAborted.into())),
        })
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.client.answer_given();
        self.slot.mark_answered();
    }
}

/// The response to a request whose body could not be read.
fn fault_response(fault: Fault) -> Response {
    match fault {
        Fault::Slow => denied(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        Fault::Broken => denied(StatusCode::BAD_REQUEST, "the body did not come whole"),
        Fault::TooLong => denied(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
    }
}

/// The response to a method other than GET and PUT.
fn not_allowed() -> Response {
    let mut response = denied(StatusCode::METHOD_NOT_ALLOWED, "GET and PUT are served");
    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, PUT"));
    response
}

/// The response to a request that violates the protocol; the connection closes after it.
fn denied(status: StatusCode, why: &str) -> Response {
    with_connection_close((status, why.to_string()).into_response())
}

/// The response to a request that the client may repeat after the time `after`.
fn refused(after: Duration) -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64())) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// The part of a request that is missing or malformed.
#[derive(Debug, PartialEq)]
struct Malformed(&'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is missing or malformed", self.0)
    }
}

/// Returns the value of the header `name`, which must occur exactly once: with two values, neither is known
/// to apply.
fn single_header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Malformed> {
    let mut values = headers.get_all(name).iter();
    let (Some(value), None) = (values.next(), values.next()) else { return Err(Malformed(name)) };
    value.to_str().map_err(|_| Malformed(name))
}

/// Returns a value of its own memory.
fn copied(value: &HeaderValue) -> HeaderValue {
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// Returns the path and query, of their own memory.
fn copied_target(uri: &Uri) -> Uri {
    let Some(target) = uri.path_and_query() else { return Uri::default() };
    Uri::try_from(target.as_str()).unwrap_or_else(|_| target.clone().into())
}

/// Returns a header value of 1 to [`MAX_TOKEN_BYTES`] visible ASCII characters, which every reader parses
/// alike.
fn token<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Malformed> {
    let is_token = |text: &&str| {
        (1..=MAX_TOKEN_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
    };
    single_header(headers, name).ok().filter(is_token).ok_or(Malformed(name))
}

/// Parses exactly 16 hexadecimal digits.
fn parse_hex(part: Option<&str>) -> Option<u64> {
    let digits = part.filter(|p| p.len() == 16 && p.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u64::from_str_radix(digits, 16).ok()
}

/// Parses the head of a request.
///
/// # Errors
///
/// Names the first part that is missing or malformed.
fn parse_request(
    head: &Parts,
    names: &Directory,
    received: Instant,
    margin: Duration,
) -> Result<Arrival, Malformed> {
    if head.method != Method::GET && head.method != Method::PUT {
        return Err(Malformed(METHOD_PART));
    }
    if head.uri.path_and_query().is_none_or(|target| target.as_str().len() > MAX_TARGET_BYTES) {
        return Err(Malformed("path"));
    }
    let mut parts = head.uri.path().rsplit('/');
    let (key, volume) = (parse_hex(parts.next()), parse_hex(parts.next()));
    let (Some(key), Some(volume)) = (key, volume) else { return Err(Malformed("path")) };
    let (class, longest) =
        names.class(single_header(&head.headers, CLASS_HEADER)?).ok_or(Malformed(CLASS_HEADER))?;
    let plan = names.plan(single_header(&head.headers, PLAN_HEADER)?).ok_or(Malformed(PLAN_HEADER))?;
    token(&head.headers, REQUEST_ID)?;
    if head.headers.contains_key(IDEMPOTENCY_KEY) {
        token(&head.headers, IDEMPOTENCY_KEY)?;
    }
    let wait: u64 = single_header(&head.headers, TIMEOUT)?.parse().map_err(|_| Malformed(TIMEOUT))?;
    let (units, shard, volume_hosts) =
        parse_extent(single_header(&head.headers, EXTENT_HEADER)?).ok_or(Malformed(EXTENT_HEADER))?;
    // A client's timeout is capped at its class's longest deadline.
    let wait = Duration::from_millis(wait).min(longest);
    Ok(Arrival {
        body_time: None,
        volume,
        key,
        class,
        plan,
        units,
        volume_hosts,
        repeat: head.headers.get(RETRIED_HEADER).is_some_and(|value| value == "1"),
        shard,
        answer_by: received + wait_less_margin(wait, margin),
    })
}

/// Parses `units=2,shard=5,hosts=3`, in any order, into units, shard and hosts; shard -1 is a new object.
fn parse_extent(text: &str) -> Option<(f64, Option<u16>, f64)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    // Empty elements of a list are ignored (RFC 9110, 5.6.1).
    for field in text.split(',').map(str::trim).filter(|field| !field.is_empty()) {
        let (name, value) = field.split_once('=')?;
        let value: f64 = value.parse().ok().filter(|v: &f64| v.is_finite())?;
        match name {
            "units" if value >= 0.0 => units = Some(value),
            "hosts" if value >= 1.0 => hosts = Some(value),
            "shard" if value == -1.0 => shard = Some(None),
            "shard" if value.fract() == 0.0 && (0.0..=65535.0).contains(&value) => {
                shard = Some(Some(value as u16))
            }
            "units" | "hosts" | "shard" => return None,
            _ => {}
        }
    }
    Some((units?, shard?, hosts?))
}

#[cfg(test)]
mod tests;
