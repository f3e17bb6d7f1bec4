//! What is behind the platform's front: requests to nodes over HTTP/1.1.
//!
//! Spoken with hyper's `client::conn`, the nearest relative of hyper-util's client. That one was measured with the
//! test of spoilt answers: an answer that stops halfway held its request until the client's deadline, for nobody is
//! told when a first byte came; and each connection runs in a task of its own, so that what comes on an idle one is
//! known only from that task's next turn on. Here each exchange owns its connection, looks at the socket itself
//! before it writes, and hands the connection back only when it is clean; giving an attempt up closes it at once,
//! and nothing is ever sent again by itself.

use crate::config::NodeLimits;
use crate::core::{Attempt, Begun, Report, Try, Work};
use crate::ending::End;
use crate::handover::Part;
use crate::interface::Load;
use crate::net::pool::Pool;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::rt::ReadBufCursor;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::TokioIo;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Duration, Instant, sleep_until, timeout};

/// A body holds this much at most, either way.
pub const MOST_BODY: usize = 64 * 1024;
pub const REQUEST_ID: &str = "x-request-id";
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub const TIMEOUT: &str = "x-timeout-ms";
pub(super) const NOT_PROCESSED: &str = "x-not-processed";
pub(super) const LOAD: &str = "x-server-load";
pub(super) const METER: &str = "x-meter";
/// The most that an answer's head may hold, and all that may come for one answer: 1xx answers in front and the
/// framing of a chunked body count.
const MOST_HEAD: usize = 16 * 1024;
const MOST_ANSWER: usize = MOST_HEAD + 2 * MOST_BODY;
/// From an answer's first byte to its last. A node sends its answer when it is done: one that stops halfway has a
/// length that does not fit, or no end.
const ANSWER_TIME: Duration = Duration::from_millis(600);
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
        Back { pool: Pool::shared(limits, part), opened: Arc::default(), asked: Arc::default() }
    }

    /// Drops idle connections in time, for as long as the program runs.
    pub fn watch(&self) -> impl Future<Output = ()> + use<> {
        self.pool.clone().watch()
    }

    /// Connections opened to nodes and attempts begun, so far: more of the first than run at once are surplus.
    pub fn counts(&self) -> (u64, u64) {
        (self.opened.load(Ordering::Relaxed), self.asked.load(Ordering::Relaxed))
    }

    /// A kept connection that turns out closed before a byte went out is replaced once: that is no attempt yet.
    async fn attempt(self, forward: Arc<Forward>, a_try: Try) -> Report {
        self.asked.fetch_add(1, Ordering::Relaxed);
        let Ok(address) = a_try.address.parse() else { return End::NotStarted.into() };
        let _in_use = self.pool.begin();
        if let Some(stream) = self.pool.take(address) {
            let first = self.exchange(stream, address, &forward, &a_try).await;
            if first.end != End::BrokeUnsent || a_try.begun.get() {
                return first;
            }
        }
        match timeout(self.pool.limits.connect, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                self.opened.fetch_add(1, Ordering::Relaxed);
                // Only a matter of speed; a stream that is broken already tells so when it is written to.
                let _ = stream.set_nodelay(true);
                self.exchange(stream, address, &forward, &a_try).await
            }
            _ => End::NoConnection.into(),
        }
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        address: SocketAddr,
        forward: &Forward,
        a_try: &Try,
    ) -> Report {
        let Some(mut request) = forward.request(a_try) else { return End::NotStarted.into() };
        let wire = Wire::new(a_try.begun.clone(), forward.body.len());
        // A 1xx answer is none yet: the time for one begins anew behind it.
        let interim = wire.clone();
        hyper::ext::on_informational(&mut request, move |_| interim.with(|p| p.first_byte = None));
        let watched = Watched { io: TokioIo::new(stream), wire: wire.clone() };
        let handshake = http1::Builder::new().max_buf_size(MOST_HEAD).handshake(watched).await;
        let Ok((mut sender, mut connection)) = handshake else { return End::BrokeUnsent.into() };
        let unanswered = Unanswered { pool: &self.pool, address, wire: &wire };
        let mut ended = false;
        let got = {
            let mut answer = pin!(async move {
                match sender.send_request(request).await {
                    Ok(response) => read_answer(response).await,
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
                let first_byte = wire.with(|p| p.first_byte);
                if late_set != first_byte {
                    late_set = first_byte;
                    late.as_mut().reset(first_byte.unwrap_or_else(Instant::now) + ANSWER_TIME);
                }
                if late_set.is_some() && late.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(None);
                }
                Poll::Pending
            })
            .await
        };
        drop(unanswered);
        let whole = wire.with(|p| p.whole());
        let (report, reusable) = match got {
            // An answer before the request's last byte is not to this request, unless it turns it away unread.
            Some(Ok((report, _))) if !whole && report.end == End::Answered => (End::BadAnswer.into(), false),
            Some(Ok(done)) => done,
            Some(Err(spoilt)) => (wire.with(|p| spoilt.end(p)).into(), false),
            None => (End::BadAnswer.into(), false),
        };
        if reusable && whole && !ended {
            let parts = connection.into_parts();
            // Bytes beyond the answer: it stands, but nothing else is asked on this connection.
            if parts.read_buf.is_empty() {
                self.pool.put(address, parts.io.io.into_inner());
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
}

impl Spoilt {
    fn end(&self, progress: &Progress) -> End {
        match self {
            _ if progress.overrun => End::BadAnswer,
            Spoilt::Framing => End::BadAnswer,
            Spoilt::Broken(error) if error.is_parse() || unreadable(error) => End::BadAnswer,
            Spoilt::Broken(_) if progress.whole() => End::Broke,
            Spoilt::Broken(_) => End::BrokeUnsent,
        }
    }
}

/// Chunks that cannot be read, as hyper tells it: by the kind of an error inside its own.
fn unreadable(error: &hyper::Error) -> bool {
    let inside = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    inside.is_some_and(|e| matches!(e.kind(), io::ErrorKind::InvalidInput | io::ErrorKind::InvalidData))
}

/// The report, and whether another request may follow on the connection.
async fn read_answer(response: Response<Incoming>) -> Result<(Report, bool), Spoilt> {
    let (head, body) = response.into_parts();
    if !framed(&head.headers) {
        return Err(Spoilt::Framing);
    }
    let end = match head.status {
        StatusCode::OK => End::Answered,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
            if head.headers.get(NOT_PROCESSED).is_some_and(|value| value == "1") =>
        {
            End::TurnedAway
        }
        _ => End::ErrorAnswer,
    };
    let (load, used) = (load(&head.headers), used(&head.headers));
    let body = match Limited::new(body, MOST_BODY).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return Err(Spoilt::Framing),
        Err(error) => {
            return Err(error.downcast().map_or(Spoilt::Framing, |error| Spoilt::Broken(*error)));
        }
    };
    let last = head.headers.get_all(CONNECTION).iter().any(|value| {
        value.to_str().map_or(true, |v| v.split(',').any(|v| v.trim().eq_ignore_ascii_case("close")))
    });
    Ok((Report { end, body, load, used }, head.version == Version::HTTP_11 && !last))
}

/// Whether the head says in exactly one way how long the body is, and no longer than any may be. Up to the
/// connection's end is no way: that end comes as well when a node dies.
fn framed(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (Some(length), None, None, None) => {
            let digits = length.to_str().ok().filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
            digits.and_then(|text| text.parse().ok()).is_some_and(|length: usize| length <= MOST_BODY)
        }
        (None, None, Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        _ => false,
    }
}

/// `X-Server-Load: inflight=7,queue=2`; a value that is no number of requests tells nothing.
pub(super) fn load(headers: &HeaderMap) -> Load {
    let text = headers.get(LOAD).and_then(|value| value.to_str().ok()).unwrap_or("");
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
    pub id: HeaderValue,
    pub key: Option<HeaderValue>,
    pub body: Bytes,
    /// The body's part of the memory for bodies.
    pub held: Option<OwnedSemaphorePermit>,
}

impl Forward {
    /// `None`: the address is none.
    fn request(&self, a_try: &Try) -> Option<Request<Full<Bytes>>> {
        let host = HeaderValue::try_from(&a_try.address).ok()?;
        let left = a_try.answer_by.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, host);
        headers.insert(REQUEST_ID, self.id.clone());
        headers.insert(TIMEOUT, HeaderValue::from(left.max(1)));
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
}

impl Work for ForwardWork {
    fn attempt(&self, a_try: Try) -> Attempt {
        Box::pin(self.back.clone().attempt(self.forward.clone(), a_try))
    }
}

/// What one exchange has written to and read from its socket.
#[derive(Clone, Debug)]
struct Wire(Arc<Mutex<Progress>>);

#[derive(Debug, Default)]
struct Progress {
    begun: Arc<Begun>,
    /// How much of the empty line that ends the head has been seen.
    matched: usize,
    body_left: usize,
    read: usize,
    first_byte: Option<Instant>,
    /// More came than any answer holds.
    overrun: bool,
}

const HEAD_END: &[u8] = b"\r\n\r\n";

impl Wire {
    fn new(begun: Arc<Begun>, body: usize) -> Wire {
        Wire(Arc::new(Mutex::new(Progress { begun, body_left: body, ..Progress::default() })))
    }

    fn with<T>(&self, f: impl FnOnce(&mut Progress) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Progress {
    fn wrote(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.begun.set();
        }
        for byte in bytes {
            if self.matched == HEAD_END.len() {
                self.body_left = self.body_left.saturating_sub(1);
            } else if *byte == HEAD_END[self.matched] {
                self.matched += 1;
            } else {
                self.matched = usize::from(*byte == HEAD_END[0]);
            }
        }
        if self.whole() {
            self.begun.set_whole();
        }
    }

    /// The request's last byte was written.
    fn whole(&self) -> bool {
        self.matched == HEAD_END.len() && self.body_left == 0
    }

    /// Whether so many more bytes are still within an answer's bounds.
    fn got(&mut self, bytes: usize) -> bool {
        self.read += bytes;
        if bytes > 0 {
            self.first_byte.get_or_insert_with(Instant::now);
        }
        self.overrun = self.read > MOST_ANSWER;
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
        let mut part = [0; 4096];
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
mod tests {
    use super::*;
    use hyper::header::HeaderName;

    #[test]
    fn a_request_is_whole_with_its_last_byte_and_not_before() {
        for (parts, body, whole) in [
            (&["GET / HTTP/1.1\r\nhost: x\r\n\r\n"][..], 0, true),
            (&["GET / HTTP/1.1\r\nhost: x\r\n\r"], 0, false),
            (&["PUT / HTTP/1.1\r", "\n\r\n", "abc"], 3, true),
            (&["PUT / HTTP/1.1\r\n\r\n", "ab"], 3, false),
            (&["PUT / HTTP/1.1\r\n\r\n"], 3, false),
            (&[], 0, false),
        ] {
            let mut progress = Progress { body_left: body, ..Progress::default() };
            parts.iter().for_each(|part| progress.wrote(part.as_bytes()));
            assert_eq!((progress.whole(), progress.begun.get()), (whole, !parts.is_empty()), "{parts:?}");
        }
    }

    #[test]
    fn reports_of_load_and_use_are_read_and_nonsense_is_not() {
        for (text, queue) in [
            ("inflight=7,queue=2,util=0.61", Some(2.0)),
            ("inflight=7, queue=2.5", Some(2.5)),
            ("queue=-1", None),
            ("queue=NaN", None),
            ("queue=9e99,inflight=1", None),
            ("queue", None),
            ("", None),
        ] {
            let headers = HeaderMap::from_iter([(HeaderName::from_static(LOAD), text.parse().unwrap())]);
            assert_eq!(load(&headers).queue, queue, "{text}");
        }
        for (text, percent) in
            [("85", Some(0.85)), ("0", Some(0.0)), ("-3", None), ("x", None), ("1e300", None)]
        {
            let headers = HeaderMap::from_iter([(HeaderName::from_static(METER), text.parse().unwrap())]);
            assert_eq!(used(&headers), percent, "{text}");
        }
    }

    #[test]
    fn an_answers_length_is_told_in_one_way_or_the_answer_is_spoilt() {
        for (fields, sound) in [
            (&[("content-length", "3")][..], true),
            (&[("transfer-encoding", "chunked")], true),
            (&[], false),
            (&[("content-length", "3"), ("transfer-encoding", "chunked")], false),
            (&[("content-length", "3"), ("content-length", "3")], false),
            (&[("content-length", "3, 3")], false),
            (&[("content-length", "-3")], false),
            (&[("content-length", "+3")], false),
            (&[("content-length", "")], false),
            (&[("content-length", "65537")], false),
            (&[("content-length", "3221225472")], false),
            (&[("transfer-encoding", "gzip, chunked")], false),
        ] {
            let mut headers = HeaderMap::new();
            for (name, value) in fields {
                headers.append(HeaderName::from_static(name), value.parse().unwrap());
            }
            assert_eq!(framed(&headers), sound, "{fields:?}");
        }
    }
}
