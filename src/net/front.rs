//! The platform's front: clients' HTTP/1.1 requests become the core's, and its answers theirs.

use crate::classes::Directory;
use crate::core::{Answer, Arrival, Handle, Pending, less_margin};
use crate::event;
use crate::figures::Count;
use crate::life::Phase;
use crate::net::back::{
    Back, Forward, ForwardWork, IDEMPOTENCY_KEY, MOST_BODY, MOST_LARGE, Passing, Payload, REQUEST_ID, TIMEOUT,
};
use crate::net::body::{Fault, Reading};
use crate::net::ids::Ids;
use crate::net::inbound::{Inbound, Presence};
use crate::net::lifecycle::until;
use crate::net::slots::{Slot, Slots};
use crate::net::source::Source;
use crate::replay_buffer::Over;
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
use std::fmt;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::panic::AssertUnwindSafe;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot, watch};
use tokio::time::{Duration, Instant};
use tower_service::Service;

const METHOD: &str = "method";
const CLASS: &str = "x-priority-class";
const PLAN: &str = "x-storage-class";
const EXTENT: &str = "x-extent";
const RETRIED: &str = "x-retried";
/// What a connection may hold of a request's head.
const MOST_HEAD: usize = 16 * 1024;
/// The most that ids and keys may hold, and paths with their queries.
const MOST_TOKEN: usize = 128;
const MOST_TARGET: usize = 1024;
/// A body beyond 64 KiB, or of no told length, is held up to this before it is sent on.
const MOST_UPLOAD: usize = 1024 * 1024;
/// When a client that found no room is asked to come again.
const NO_ROOM: Duration = Duration::from_secs(1);

/// The HTTP front.
#[derive(Clone)]
pub struct Front {
    /// The core.
    pub handle: Handle,
    /// Connections to nodes.
    pub back: Back,
    /// The names that are in force; a reload changes them.
    pub names: watch::Receiver<Arc<Directory>>,
    /// Time kept back from a client's time.
    pub answer_margin: Duration,
    /// The process's phase.
    pub phase: watch::Receiver<Phase>,
    /// The memory for bodies, in bytes.
    pub bodies: Arc<Semaphore>,
    /// The memory for those beyond 64 KiB and those of no told length.
    pub uploads: Arc<Semaphore>,
    /// Ids of recent requests.
    pub ids: Ids,
}

/// Accepts connections until the phase ends it.
pub async fn serve(listener: TcpListener, front: Front, slots: Slots) {
    let phase = front.phase.clone();
    let router = Router::new().route("/up", get(up)).fallback(take).with_state(front);
    let connection = |stream, slot, phase: &watch::Receiver<Phase>| {
        connection(stream, slot, router.clone(), phase.clone())
    };
    accept_all(listener, slots, phase, connection).await;
}

/// Accepts for as long as the phase has it, and then what has come until then; each connection is a task of its own.
pub async fn accept_all<C: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    slots: Slots,
    mut phase: watch::Receiver<Phase>,
    connection: impl Fn(TcpStream, Slot, &watch::Receiver<Phase>) -> C,
) {
    loop {
        let accepted = tokio::select! {
            () = until(&mut phase, |phase| !phase.accept) => break,
            accepted = listener.accept() => accepted,
        };
        // What is accepted gets its place whatever the phase becomes meanwhile: dropped, it would be reset.
        match accepted {
            Ok((stream, _)) => drop(tokio::spawn(connection(stream, slots.take().await, &phase))),
            Err(problem) => {
                event!(ACCEPT_FAILED, problem:%);
                // With no descriptor left it waits a moment rather than spin.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    if phase.borrow().handed_over {
        return;
    }
    // The system resets what is in its queue when the listener closes. Asked itself, it knows what has come by now.
    let waiting = listener.into_std();
    while let Ok((stream, _)) =
        waiting.as_ref().map_err(|_| ErrorKind::NotConnected.into()).and_then(std::net::TcpListener::accept)
    {
        if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            tokio::spawn(connection(stream, slots.take().await, &phase));
        }
    }
}

async fn up(State(front): State<Front>) -> Response {
    let phase = *front.phase.borrow();
    let response = match phase.up {
        true => "up".into_response(),
        false => (StatusCode::SERVICE_UNAVAILABLE, "draining").into_response(),
    };
    if phase.last { last_on_its_connection(response) } else { response }
}

async fn connection(stream: TcpStream, slot: Slot, router: Router, mut phase: watch::Receiver<Phase>) {
    let (inbound, client) = Inbound::new(stream);
    let io = Watched { io: TokioIo::new(inbound), slot: slot.clone() };
    let (of_request, of_client) = (slot.clone(), client.clone());
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        of_request.asking();
        request.extensions_mut().insert(of_request.clone());
        request.extensions_mut().insert(of_client.clone());
        let (answer, slot) = (router.clone().call(request), of_request.clone());
        async move {
            let response = answer.await?;
            let still_out = response.extensions().get::<StillOut>().is_some();
            let last = if still_out { slot.had_better_go() } else { slot.answered() } || slot.is_told();
            Ok::<_, std::convert::Infallible>(if last { last_on_its_connection(response) } else { response })
        }
    });
    let mut served = Box::pin(http1::Builder::new().max_buf_size(MOST_HEAD).serve_connection(io, service));
    let mut gone = pin!(client.left());
    let (mut told, mut ends) = (false, false);
    let ended = loop {
        // What has come is read before the connection is told to go.
        tokio::select! {
            biased;
            ended = served.as_mut() => break ended,
            // hyper does not read on behind a request that is open: its client's end would not be seen.
            () = &mut gone => {
                debug!("a client has left");
                return;
            }
            () = until(&mut phase, |phase| phase.close), if !ends => {
                ends = true;
                if !half_way(&slot, &client) {
                    served.as_mut().graceful_shutdown();
                }
            }
            orderly = slot.told_to_leave() => {
                if told || !orderly {
                    debug!("a client's connection is cut off");
                    return;
                }
                told = true;
                if !half_way(&slot, &client) {
                    served.as_mut().graceful_shutdown();
                }
            }
        }
    };
    if let Err(problem) = ended {
        debug!("a client's connection ended: {problem}");
    }
    drop(served);
    client.linger(&slot).await;
}

/// In the middle of a request, or with one that has come in this very moment: hyper would throw that away. Its answer says
/// by itself that it is the last.
fn half_way(slot: &Slot, client: &Presence) -> bool {
    slot.is_asking() || client.has_unread()
}

/// A client's connection that tells its place what comes.
struct Watched {
    io: TokioIo<Inbound>,
    slot: Slot,
}

impl hyper::rt::Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        // Read aside first: what went into the cursor could not be seen afterwards.
        let mut part = [0; 8192];
        let most = part.len().min(buf.remaining());
        let mut own = ReadBuf::new(&mut part[..most]);
        std::task::ready!(Pin::new(self.io.inner_mut()).poll_read(cx, &mut own))?;
        self.slot.bytes_came(own.filled(), MOST_HEAD);
        buf.put_slice(own.filled());
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

/// Whatever happens inside, a request gets one answer; a panic is one of the things that may.
async fn take(
    State(front): State<Front>,
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
    if leaving.borrow().last {
        response = last_on_its_connection(response);
    }
    response
}

fn last_on_its_connection(mut response: Response) -> Response {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

async fn answer(
    front: &Front,
    slot: &Slot,
    client: Presence,
    request: Request,
    received: Instant,
) -> Response {
    let (head, body) = request.into_parts();
    let names = front.names.borrow().clone();
    let arrival = match read(&head, &names, received, front.answer_margin) {
        Ok(arrival) => arrival,
        Err(Malformed(METHOD)) => return not_allowed(),
        Err(malformed) => return denied(StatusCode::BAD_REQUEST, &malformed.to_string()),
    };
    // A length beside a coding may hide another request in the body (RFC 9112, 6.3). hyper passes over a length that
    // comes behind a coding: that is looked for in what was read.
    let coded = head.headers.contains_key(header::TRANSFER_ENCODING);
    if coded
        && (head.headers.contains_key(header::CONTENT_LENGTH)
            || slot.head_has(header::CONTENT_LENGTH.as_str()))
    {
        return denied(StatusCode::BAD_REQUEST, "a body with a length and a coding");
    }
    let mut reading = Reading::new(body, MOST_LARGE);
    let length = reading.length();
    if length.is_some_and(|length| length > MOST_LARGE) {
        return denied(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    }
    let Some(id) = head.headers.get(REQUEST_ID).cloned() else {
        return denied(StatusCode::BAD_REQUEST, &Malformed(REQUEST_ID).to_string());
    };
    let forward = |payload, wait| {
        let (begins, begun) = oneshot::channel();
        let forward = Forward {
            method: head.method.clone(),
            target: head.uri.path_and_query().map_or_else(Uri::default, |target| target.clone().into()),
            id: Some(id.clone()),
            key: head.headers.get(IDEMPOTENCY_KEY).cloned(),
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
            begun,
        )
    };
    let wait = arrival.answer_by.saturating_duration_since(received);
    let held = length.unwrap_or(0).min(MOST_BODY as u64) as u32;
    let Ok(memory) = front.bodies.clone().try_acquire_many_owned(held) else {
        front.handle.figures().count(arrival.class, Count::Dropped);
        return behind(reading, slot, refused(NO_ROOM));
    };
    slot.reading();
    let body = if length.is_some_and(|length| length <= MOST_BODY as u64) {
        match reading.whole().await {
            Ok(body) => Payload::Held { body, _memory: Some(memory) },
            Err(fault) => return faulty(fault),
        }
    } else {
        // Sent on only when it is whole or can no longer be held: a slow client keeps no token and no connection.
        let source = Arc::new(Source::new(MOST_UPLOAD, front.uploads.clone()));
        if let Err(fault) = pump(&mut reading, &source).await {
            return faulty(fault);
        }
        Payload::Coming { source, length }
    };
    if !front.ids.first_time(id.as_bytes(), received) {
        return denied(StatusCode::CONFLICT, "this id has been used");
    }
    slot.waiting();
    // A request's time counts from its last byte.
    let answer_by = Instant::now() + wait;
    let source = match &body {
        Payload::Coming { source, .. } if !source.is_over() => Some(source.clone()),
        _ => None,
    };
    let arrival = Arrival { answer_by, body_time: source.as_ref().map(|_| wait), ..arrival };
    let (work, begun) = forward(body, wait);
    let Some(pending) = front.handle.submit(arrival, work) else {
        return match source {
            // The connection goes with it, so that its place is free for the next one.
            None => last_on_its_connection(refused(NO_ROOM)),
            Some(_) => behind(reading, slot, refused(NO_ROOM)),
        };
    };
    match source {
        None => result(pending, begun, slot).await,
        Some(source) => coming(reading, &source, pending, begun, slot).await,
    }
}

/// Reads on while there is room to hold it.
async fn pump(reading: &mut Reading, source: &Source) -> Result<(), Fault> {
    while source.has_room() {
        match reading.next().await? {
            Some(piece) => drop(source.push(piece, source.is_bound())),
            None => source.end(Over::Whole),
        }
    }
    Ok(())
}

/// A request that is still being read while it is decided on and sent on. Its answer may come before its end.
async fn coming(
    mut reading: Reading,
    source: &Source,
    pending: Pending,
    begun: oneshot::Receiver<Passing>,
    slot: &Slot,
) -> Response {
    let body_completion = pending.body_completion();
    let response = {
        let fault = async {
            while !source.is_over() {
                source.room().await;
                if let Err(fault) = pump(&mut reading, source).await {
                    source.end(Over::Cut);
                    return fault;
                }
            }
            body_completion.whole();
            std::future::pending().await
        };
        tokio::select! {
            biased;
            response = result(pending, begun, slot) => response,
            // Dropped with it, the request is its client's that has gone.
            fault = fault => return faulty(fault),
        }
    };
    if source.is_over() { response } else { behind(reading, slot, response) }
}

/// An answer before its request's end. What is still to come is read behind it: closed at once, a reset could overtake
/// the answer, and a client that goes on writing would hear of none.
fn behind(mut reading: Reading, slot: &Slot, mut response: Response) -> Response {
    let slot = slot.clone();
    response.extensions_mut().insert(StillOut);
    tokio::spawn(async move {
        slot.reading();
        // Whatever is wrong with it, hyper closes the connection when the body is dropped unread.
        while let Ok(Some(_)) = reading.next().await {}
        slot.answered();
    });
    response
}

/// The one answer, whole or as it comes.
async fn result(mut pending: Pending, mut begun: oneshot::Receiver<Passing>, slot: &Slot) -> Response {
    let mut may_begin = true;
    loop {
        tokio::select! {
            biased;
            began = &mut begun, if may_begin => match began {
                Ok(passing) => return passed_on(passing, pending, slot),
                // No attempt will: the request is over.
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

fn passed_on(passing: Passing, pending: Pending, slot: &Slot) -> Response {
    let length = passing.length;
    let body = PassedOn { passing, pending, given: 0, slot: slot.clone() };
    let mut response = Response::new(Body::new(body));
    if let Some(length) = length {
        response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    response.extensions_mut().insert(StillOut);
    response
}

/// Marks an answer whose body holds its connection's slot until its end.
#[derive(Clone)]
struct StillOut;

/// The body of a long answer. Its end is good only with the core's word that the node's was; otherwise the connection
/// breaks off, and the client can tell.
struct PassedOn {
    passing: Passing,
    pending: Pending,
    given: u64,
    slot: Slot,
}

impl HttpBody for PassedOn {
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

impl Drop for PassedOn {
    fn drop(&mut self) {
        self.slot.answered();
    }
}

fn faulty(fault: Fault) -> Response {
    match fault {
        Fault::Slow => denied(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        Fault::Broken => denied(StatusCode::BAD_REQUEST, "the body did not come whole"),
        Fault::TooLong => denied(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
    }
}

fn not_allowed() -> Response {
    let mut response = denied(StatusCode::METHOD_NOT_ALLOWED, "GET and PUT are served");
    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, PUT"));
    response
}

/// What is not as the protocol has it is the last that is read on its connection.
fn denied(status: StatusCode, why: &str) -> Response {
    last_on_its_connection((status, why.to_string()).into_response())
}

fn refused(after: Duration) -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", after.as_secs_f64())) {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// The part of a request that is not as the protocol has it.
#[derive(Debug, PartialEq)]
struct Malformed(&'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is missing or malformed", self.0)
    }
}

/// The only value of that name: of two it could not be said which one holds.
fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Malformed> {
    let mut values = headers.get_all(name).iter();
    let (Some(value), None) = (values.next(), values.next()) else { return Err(Malformed(name)) };
    value.to_str().map_err(|_| Malformed(name))
}

/// Short and without spaces, so that it means the same to whoever reads it.
fn token<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, Malformed> {
    let sound =
        |text: &&str| (1..=MOST_TOKEN).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
    text(headers, name).ok().filter(sound).ok_or(Malformed(name))
}

fn hex(part: Option<&str>) -> Option<u64> {
    let digits = part.filter(|p| p.len() == 16 && p.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u64::from_str_radix(digits, 16).ok()
}

fn read(head: &Parts, names: &Directory, received: Instant, margin: Duration) -> Result<Arrival, Malformed> {
    if head.method != Method::GET && head.method != Method::PUT {
        return Err(Malformed(METHOD));
    }
    if head.uri.path_and_query().is_none_or(|target| target.as_str().len() > MOST_TARGET) {
        return Err(Malformed("path"));
    }
    let mut parts = head.uri.path().rsplit('/');
    let (key, volume) = (hex(parts.next()), hex(parts.next()));
    let (Some(key), Some(volume)) = (key, volume) else { return Err(Malformed("path")) };
    let (class, longest) = names.class(text(&head.headers, CLASS)?).ok_or(Malformed(CLASS))?;
    let plan = names.plan(text(&head.headers, PLAN)?).ok_or(Malformed(PLAN))?;
    token(&head.headers, REQUEST_ID)?;
    if head.headers.contains_key(IDEMPOTENCY_KEY) {
        token(&head.headers, IDEMPOTENCY_KEY)?;
    }
    let wait: u64 = text(&head.headers, TIMEOUT)?.parse().map_err(|_| Malformed(TIMEOUT))?;
    let (units, shard, volume_hosts) = extent(text(&head.headers, EXTENT)?).ok_or(Malformed(EXTENT))?;
    // No client of a class waits longer than that.
    let wait = Duration::from_millis(wait).min(longest);
    Ok(Arrival {
        body_time: None,
        volume,
        key,
        class,
        plan,
        units,
        volume_hosts,
        repeat: head.headers.get(RETRIED).is_some_and(|value| value == "1"),
        shard,
        answer_by: received + less_margin(wait, margin),
    })
}

/// `units=2,shard=5,hosts=3`, in any order; shard -1 is a new object.
fn extent(text: &str) -> Option<(f64, Option<u16>, f64)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    // Empty elements of a list are none (RFC 9110, 5.6.1).
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
