//! The platform's front: clients' HTTP/1.1 requests become the core's, and its answers theirs.

use crate::classes::Directory;
use crate::core::{Answer, Arrival, Handle};
use crate::event;
use crate::figures::Count;
use crate::life::Phase;
use crate::net::back::{Back, Forward, ForwardWork, IDEMPOTENCY_KEY, MOST_BODY, REQUEST_ID, TIMEOUT};
use crate::net::helm::until;
use crate::net::ids::Ids;
use crate::net::places::{Places, Seat};
use axum::Extension;
use axum::Router;
use axum::body::{Body, HttpBody, to_bytes};
use axum::extract::{Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode, Uri, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::rt::ReadBufCursor;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use std::fmt;
use std::future::Future;
use std::io;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Duration, Instant};
use tower_service::Service;

const CLASS: &str = "x-priority-class";
const PLAN: &str = "x-storage-class";
const EXTENT: &str = "x-extent";
const RETRIED: &str = "x-retried";
/// What a connection may hold of a request's head.
const MOST_HEAD: usize = 16 * 1024;
/// The most that ids and keys may hold, and paths with their queries.
const MOST_TOKEN: usize = 128;
const MOST_TARGET: usize = 1024;
/// When a client that found no room is asked to come again.
const NO_ROOM: Duration = Duration::from_secs(1);

#[derive(Clone)]
pub struct Front {
    pub handle: Handle,
    pub back: Back,
    /// The names that are in force; a reload changes them.
    pub names: watch::Receiver<Arc<Directory>>,
    pub answer_margin: Duration,
    pub phase: watch::Receiver<Phase>,
    /// The memory for bodies, in bytes.
    pub bodies: Arc<Semaphore>,
    pub ids: Ids,
}

pub async fn serve(listener: TcpListener, front: Front, places: Places) {
    let phase = front.phase.clone();
    let router = Router::new().route("/up", get(up)).fallback(take).with_state(front);
    let connection = |stream, seat, phase: &watch::Receiver<Phase>| {
        connection(stream, seat, router.clone(), phase.clone())
    };
    accept_all(listener, places, phase, connection).await;
}

/// Accepts for as long as the phase has it; each connection is a task of its own.
pub async fn accept_all<C: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    places: Places,
    mut phase: watch::Receiver<Phase>,
    connection: impl Fn(TcpStream, Seat, &watch::Receiver<Phase>) -> C,
) {
    loop {
        let accepted = tokio::select! {
            () = until(&mut phase, |phase| !phase.accept) => return,
            accepted = accept(&listener, &places) => accepted,
        };
        if let Some((stream, seat)) = accepted {
            tokio::spawn(connection(stream, seat, &phase));
        }
    }
}

/// One accepted connection and its place. With no descriptor left it waits a moment rather than spin.
async fn accept(listener: &TcpListener, places: &Places) -> Option<(TcpStream, Seat)> {
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, places.take().await)),
        Err(problem) => {
            event!(ACCEPT_FAILED, problem:%);
            tokio::time::sleep(Duration::from_millis(10)).await;
            None
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

async fn connection(stream: TcpStream, seat: Seat, router: Router, mut phase: watch::Receiver<Phase>) {
    if let Err(problem) = stream.set_nodelay(true) {
        debug!("nodelay: {problem}");
    }
    let io = Watched { io: TokioIo::new(stream), seat: seat.clone() };
    let of_request = seat.clone();
    let service = service_fn(move |mut request: hyper::Request<Incoming>| {
        of_request.asking();
        request.extensions_mut().insert(of_request.clone());
        let (answer, seat) = (router.clone().call(request), of_request.clone());
        async move {
            let response = answer.await?;
            Ok::<_, std::convert::Infallible>(if seat.answered() {
                last_on_its_connection(response)
            } else {
                response
            })
        }
    });
    let served = http1::Builder::new().max_buf_size(MOST_HEAD).serve_connection(io, service);
    tokio::pin!(served);
    let (mut told, mut ends) = (false, false);
    let ended = loop {
        // What has come is read before the connection is told to go.
        tokio::select! {
            biased;
            ended = served.as_mut() => break ended,
            () = until(&mut phase, |phase| phase.close), if !ends => {
                ends = true;
                // hyper would throw half a request away; that one's answer says by itself that it is the last.
                if !seat.is_asking() {
                    served.as_mut().graceful_shutdown();
                }
            }
            orderly = seat.told_to_leave() => {
                if told || !orderly {
                    debug!("a client's connection is cut off");
                    return;
                }
                told = true;
                served.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(problem) = ended {
        debug!("a client's connection ended: {problem}");
    }
}

/// A client's connection that tells its place when bytes come.
struct Watched {
    io: TokioIo<TcpStream>,
    seat: Seat,
}

impl hyper::rt::Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) {
            self.seat.byte_came();
        }
        read
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
async fn take(State(front): State<Front>, Extension(seat): Extension<Seat>, request: Request) -> Response {
    let received = Instant::now();
    let leaving = front.phase.clone();
    let answered = AssertUnwindSafe(answer(&front, &seat, request, received)).catch_unwind().await;
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

async fn answer(front: &Front, seat: &Seat, request: Request, received: Instant) -> Response {
    let (head, body) = request.into_parts();
    let names = front.names.borrow().clone();
    let arrival = match read(&head, &names, received, front.answer_margin) {
        Ok(arrival) => arrival,
        Err(malformed) => return denied(StatusCode::BAD_REQUEST, &malformed.to_string()),
    };
    // hyper passes over a length that stands beside a coding, and so hides that the body may hold another request.
    // The protocol's bodies have a length: any coding is refused.
    if head.headers.contains_key(header::TRANSFER_ENCODING) {
        return denied(StatusCode::LENGTH_REQUIRED, "a body needs a Content-Length");
    }
    let length = body.size_hint().exact().unwrap_or(u64::MAX);
    let Some(length) = u32::try_from(length).ok().filter(|length| *length as usize <= MOST_BODY) else {
        return denied(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    };
    let Ok(held) = front.bodies.clone().try_acquire_many_owned(length) else {
        front.handle.figures().count(arrival.class, Count::Dropped);
        return last_on_its_connection(refused(NO_ROOM));
    };
    let Ok(body) = to_bytes(body, MOST_BODY).await else {
        return denied(StatusCode::BAD_REQUEST, "the body did not come whole");
    };
    let Some(id) = head.headers.get(REQUEST_ID).cloned() else {
        return denied(StatusCode::BAD_REQUEST, &Malformed(REQUEST_ID).to_string());
    };
    if !front.ids.first_time(id.as_bytes(), received) {
        return denied(StatusCode::CONFLICT, "this id has been used");
    }
    let forward = Arc::new(Forward {
        method: head.method,
        target: head.uri.path_and_query().map_or_else(Uri::default, |target| target.clone().into()),
        id,
        key: head.headers.get(IDEMPOTENCY_KEY).cloned(),
        body,
        held: Some(held),
    });
    seat.waiting();
    let work = Box::new(ForwardWork { back: front.back.clone(), forward });
    match front.handle.submit(arrival, work) {
        // The connection goes with it, so that its place is free for the next one.
        None => last_on_its_connection(refused(NO_ROOM)),
        Some(pending) => match pending.await {
            Answer::Served(body) => Response::new(Body::from(body)),
            Answer::Refused(after) => refused(after),
            Answer::Failed => StatusCode::BAD_GATEWAY.into_response(),
        },
    }
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
        return Err(Malformed("method"));
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
        volume,
        key,
        class,
        plan,
        units,
        volume_hosts,
        repeat: head.headers.get(RETRIED).is_some_and(|value| value == "1"),
        shard,
        answer_by: received + wait.saturating_sub(margin),
    })
}

/// `units=2,shard=5,hosts=3`, in any order; shard -1 is a new object.
fn extent(text: &str) -> Option<(f64, Option<u16>, f64)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for field in text.split(',') {
        let (name, value) = field.trim().split_once('=')?;
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
mod tests {
    use super::*;
    use crate::classes::Numbers;
    use crate::clock::Clock;
    use crate::config::{ClientLimits, Names, NodeLimits};
    use crate::core::Core;
    use crate::interface::Settings;
    use crate::life::SERVING;

    #[test]
    fn while_it_leaves_the_head_takes_nobody_new_and_serves_who_is_there_until_it_closes() {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let (core, _wanted) = Core::new(Settings::default(), 7, 10, Clock::start());
            let (phase, watched) = watch::channel(SERVING);
            let (times, (_names, names)) = (Duration::from_secs(1), watch::channel(Arc::default()));
            let front = Front {
                handle: core.handle(),
                back: Back::new(NodeLimits { most: 4, idle: times, connect: times }, core.handle().part()),
                names,
                answer_margin: times,
                phase: watched,
                bodies: Arc::new(Semaphore::new(0)),
                ids: Ids::new(4, times),
            };
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let places = Places::new(ClientLimits {
                most: 4,
                spare: 0,
                most_idle: 4,
                request: times,
                idle: times,
                idle_if_many: times,
            });
            let serving = tokio::spawn(serve(listener, front, places.clone()));
            let mut idle = TcpStream::connect(address).await.unwrap();
            idle.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
            let mut seen = [0; 12];
            idle.read_exact(&mut seen).await.unwrap();
            assert_eq!(&seen, b"HTTP/1.1 200");
            let mut busy = TcpStream::connect(address).await.unwrap();
            busy.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
            busy.read_exact(&mut seen).await.unwrap();
            phase.send_replace(Phase { accept: false, ..SERVING });
            serving.await.unwrap();
            assert!(TcpStream::connect(address).await.is_err());
            let mut rest = [0; 512];
            let ok = |n: usize, rest: &[u8]| String::from_utf8_lossy(&rest[..n]).contains("HTTP/1.1 200");
            let _ = busy.read(&mut rest).await.unwrap();
            busy.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
            let n = busy.read(&mut rest).await.unwrap();
            assert!(ok(n, &rest));
            // Half a request crosses the end: it is still read, and its answer is the last.
            busy.write_all(b"GET /x HTTP/1.1\r\n").await.unwrap();
            while places.idle() > 1 {
                tokio::task::yield_now().await;
            }
            phase.send_replace(Phase { accept: false, last: true, close: true, ..SERVING });
            idle.read_to_end(&mut Vec::new()).await.unwrap();
            busy.write_all(b"Host: x\r\n\r\n").await.unwrap();
            let mut answer = String::new();
            busy.read_to_string(&mut answer).await.unwrap();
            assert!(answer.starts_with("HTTP/1.1 400") && answer.contains("connection: close"), "{answer}");
            places.empty().await;
        });
    }

    const GOOD: [(&str, &str); 5] = [
        ("x-request-id", "9b1f03aa5c7e2d41"),
        (CLASS, "checkout"),
        (PLAN, "gold"),
        ("x-timeout-ms", "480"),
        (EXTENT, "units=2,shard=5,hosts=3"),
    ];

    fn parse(path: &str, change: Option<(&str, &str)>) -> Result<Arrival, Malformed> {
        let mut request = axum::http::Request::builder().method("PUT").uri(path);
        for (name, value) in GOOD {
            let value = change.filter(|(changed, _)| *changed == name).map_or(value, |(_, to)| to);
            request = request.header(name, value);
        }
        let (classes, plans) = (vec!["checkout".into()], vec!["free".into(), "gold".into()]);
        let names = Names { classes, plans, ..Names::default() };
        let class = crate::interface::Class { deadline: 3_000_000, ..Default::default() };
        let settings =
            Settings { classes: vec![class], plans: vec![Default::default(); 2], ..Settings::default() };
        let (_, names) = Numbers::new(&names, &settings, false).adopt(&names, &settings);
        let (head, ()) = request.body(()).unwrap().into_parts();
        read(&head, &names, Instant::now(), Duration::from_millis(5))
    }

    #[test]
    fn a_request_as_the_protocol_has_it_is_read_whole() {
        let got = parse("/api/00000003b4d60021/7f3a9c21e0b4d655", None).unwrap();
        assert_eq!((got.volume, got.key), (0x3_b4d6_0021, 0x7f3a_9c21_e0b4_d655));
        assert_eq!((got.class, got.plan, got.units, got.shard, got.volume_hosts), (0, 1, 2.0, Some(5), 3.0));
        assert!(got.answer_by <= Instant::now() + Duration::from_millis(475));
    }

    #[test]
    fn what_is_malformed_is_named() {
        let path = "/api/00000003b4d60021/7f3a9c21e0b4d655";
        for (path, change, fault) in [
            ("/api/3/7f3a9c21e0b4d655", None, "path"),
            ("/api/00000003b4d60021/7f3a9c21e0b4d6zz", None, "path"),
            (path, Some((CLASS, "none")), CLASS),
            (path, Some((PLAN, "")), PLAN),
            (path, Some(("x-timeout-ms", "-4")), "x-timeout-ms"),
            (path, Some(("x-request-id", "")), "x-request-id"),
            (path, Some(("x-request-id", "a b")), "x-request-id"),
            (path, Some((EXTENT, "units=2,hosts=3")), EXTENT),
            (path, Some((EXTENT, "units=2,shard=-2,hosts=3")), EXTENT),
            (path, Some((EXTENT, "units=inf,shard=1,hosts=3")), EXTENT),
        ] {
            assert_eq!(parse(path, change), Err(Malformed(fault)), "{path} {change:?}");
        }
        assert_eq!(extent("hosts=1,units=0.5,shard=-1,later=x9").map(|e| e.1), None);
        assert_eq!(extent("hosts=1,units=0.5,shard=-1"), Some((0.5, None, 1.0)));
    }
}
