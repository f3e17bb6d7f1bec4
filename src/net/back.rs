//! What is behind the platform's front: requests to nodes over HTTP/1.1 with hyper-util's client.
//!
//! The client's own resending is off (each resend would be an attempt that the module did not ask for), and what
//! of a request was written is counted where it is written: in the connection's IO.

use crate::core::{Attempt, Begun, Report, Try, Work};
use crate::ending::End;
use crate::interface::Load;
use bytes::Bytes;
use futures_util::FutureExt;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::rt::ReadBufCursor;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector, capture_connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tokio::time::{Duration, Instant};
use tower_service::Service;

/// A body holds this much at most, either way.
pub const MOST_BODY: usize = 64 * 1024;
pub const REQUEST_ID: &str = "x-request-id";
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
pub const TIMEOUT: &str = "x-timeout-ms";
const NOT_PROCESSED: &str = "x-not-processed";
const LOAD: &str = "x-server-load";
const METER: &str = "x-meter";

#[derive(Clone)]
pub struct Back {
    client: Client<Connector, Full<Bytes>>,
    opened: Arc<AtomicU64>,
    asked: Arc<AtomicU64>,
}

impl Back {
    pub fn new(connect_timeout: Duration, idle: Duration) -> Back {
        let mut http = HttpConnector::new();
        http.set_nodelay(true);
        http.set_connect_timeout(Some(connect_timeout));
        let opened = Arc::new(AtomicU64::new(0));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(idle)
            .pool_timer(TokioTimer::new())
            .build(Connector { http, opened: opened.clone() });
        Back { client, opened, asked: Arc::default() }
    }

    /// Connections opened to nodes and attempts begun, so far: more of the first than run at once are surplus.
    pub fn counts(&self) -> (u64, u64) {
        (self.opened.load(Ordering::Relaxed), self.asked.load(Ordering::Relaxed))
    }

    /// A pooled connection that turns out closed before a byte went out is replaced once: that is no attempt yet.
    async fn attempt(self, forward: Arc<Forward>, a_try: Try) -> Report {
        self.asked.fetch_add(1, Ordering::Relaxed);
        let first = self.exchange(&forward, &a_try).await;
        if first.end == End::BrokeUnsent && !a_try.begun.get() {
            return self.exchange(&forward, &a_try).await;
        }
        first
    }

    async fn exchange(&self, forward: &Forward, a_try: &Try) -> Report {
        let Some(mut request) = forward.request(a_try) else { return End::NotStarted.into() };
        let captured = capture_connection(&mut request);
        let mut response = self.client.request(request);
        let mut written: Option<Written> = None;
        let answer = std::future::poll_fn(|cx| {
            let polled = response.poll_unpin(cx);
            // In the same poll that handed the request to the connection's task, so before a byte is written.
            if written.is_none()
                && let Some(connected) = &*captured.connection_metadata()
            {
                let mut extras = hyper::http::Extensions::new();
                connected.get_extras(&mut extras);
                written = extras.remove::<Written>();
                if let Some(written) = &written {
                    written.start(a_try.begun.clone(), forward.body.len());
                }
            }
            polled
        })
        .await;
        match answer {
            Ok(response) => read_answer(response).await,
            Err(error) => broken(&error, written.as_ref()).into(),
        }
    }
}

fn broken(error: &Error, written: Option<&Written>) -> End {
    match written {
        _ if error.is_connect() => End::NoConnection,
        Some(written) if written.whole() => End::Broke,
        _ => End::BrokeUnsent,
    }
}

async fn read_answer(response: Response<Incoming>) -> Report {
    let (head, body) = response.into_parts();
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
    match Limited::new(body, MOST_BODY).collect().await {
        Ok(body) => Report { end, body: body.to_bytes(), load, used },
        // What never ran stays so, whatever became of the answer's body.
        Err(_) if end == End::TurnedAway => Report { end, body: Bytes::new(), load, used },
        Err(error) if error.is::<LengthLimitError>() => End::BadAnswer.into(),
        Err(_) => End::Broke.into(),
    }
}

/// `X-Server-Load: inflight=7,queue=2`; a value that is no number of requests tells nothing.
fn load(headers: &HeaderMap) -> Load {
    let text = headers.get(LOAD).and_then(|value| value.to_str().ok()).unwrap_or("");
    let fields = text.split(',').filter_map(|field| field.trim().split_once('='));
    let mut queues = fields.filter(|(name, _)| matches!(*name, "queue" | "backlog"));
    let queue = queues.next().and_then(|(_, value)| value.parse::<f64>().ok());
    Load { queue: queue.filter(|queue| queue.is_finite() && *queue >= 0.0) }
}

/// `X-Meter: 85`: percent of the plan's rate.
fn used(headers: &HeaderMap) -> Option<f64> {
    let percent: f64 = headers.get(METER)?.to_str().ok()?.trim().parse().ok()?;
    (percent.is_finite() && percent >= 0.0).then_some(percent / 100.0)
}

/// What passes on to a node unchanged.
#[derive(Debug)]
pub struct Forward {
    pub method: Method,
    pub path_and_query: String,
    pub id: HeaderValue,
    pub key: Option<HeaderValue>,
    pub body: Bytes,
}

impl Forward {
    /// `None`: the address is none.
    fn request(&self, a_try: &Try) -> Option<Request<Full<Bytes>>> {
        let uri: Uri = format!("http://{}{}", a_try.address, self.path_and_query).parse().ok()?;
        let left = a_try.answer_by.saturating_duration_since(Instant::now()).as_millis() as u64;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        let headers = request.headers_mut();
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

/// How much of the request that a connection carries now was written to its socket.
#[derive(Clone, Debug, Default)]
struct Written(Arc<Mutex<Progress>>);

#[derive(Debug, Default)]
struct Progress {
    begun: Option<Arc<Begun>>,
    /// How much of the empty line that ends the head has been seen.
    matched: usize,
    body_left: usize,
}

const HEAD_END: &[u8] = b"\r\n\r\n";

impl Written {
    fn with<T>(&self, f: impl FnOnce(&mut Progress) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn start(&self, begun: Arc<Begun>, body: usize) {
        self.with(|p| *p = Progress { begun: Some(begun), matched: 0, body_left: body });
    }

    fn add(&self, bytes: &[u8]) {
        self.with(|p| {
            if let Some(begun) = p.begun.as_ref().filter(|_| !bytes.is_empty()) {
                begun.set();
            }
            for byte in bytes {
                if p.matched == HEAD_END.len() {
                    p.body_left = p.body_left.saturating_sub(1);
                } else if *byte == HEAD_END[p.matched] {
                    p.matched += 1;
                } else {
                    p.matched = usize::from(*byte == HEAD_END[0]);
                }
            }
        });
    }

    fn whole(&self) -> bool {
        self.with(|p| p.matched == HEAD_END.len() && p.body_left == 0)
    }
}

#[derive(Clone)]
struct Connector {
    http: HttpConnector,
    opened: Arc<AtomicU64>,
}

impl Service<Uri> for Connector {
    type Response = Counted;
    type Error = Box<dyn std::error::Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<Counted, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.http.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (connecting, opened) = (self.http.call(uri), self.opened.clone());
        Box::pin(async move {
            let io = connecting.await?;
            opened.fetch_add(1, Ordering::Relaxed);
            Ok(Counted { io, written: Written::default() })
        })
    }
}

/// A connection to a node that notes what is written to it.
struct Counted {
    io: TokioIo<TcpStream>,
    written: Written,
}

impl Connection for Counted {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.written.clone())
    }
}

impl hyper::rt::Read for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl hyper::rt::Write for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = std::task::ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.written.add(&buf[..written]);
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
        let written = Written::default();
        for (parts, body, whole) in [
            (&["GET / HTTP/1.1\r\nhost: x\r\n\r\n"][..], 0, true),
            (&["GET / HTTP/1.1\r\nhost: x\r\n\r"], 0, false),
            (&["PUT / HTTP/1.1\r", "\n\r\n", "abc"], 3, true),
            (&["PUT / HTTP/1.1\r\n\r\n", "ab"], 3, false),
            (&["PUT / HTTP/1.1\r\n\r\n"], 3, false),
            (&[], 0, false),
        ] {
            let begun = Arc::new(Begun::default());
            written.start(begun.clone(), body);
            parts.iter().for_each(|part| written.add(part.as_bytes()));
            assert_eq!((written.whole(), begun.get()), (whole, !parts.is_empty()), "{parts:?}");
        }
    }

    #[test]
    fn reports_of_load_and_use_are_read_and_nonsense_is_not() {
        for (text, queue) in [
            ("inflight=7,queue=2,util=0.61", Some(2.0)),
            ("inflight=7, queue=2.5", Some(2.5)),
            ("queue=-1", None),
            ("queue=NaN", None),
            ("queue", None),
            ("", None),
        ] {
            let headers = HeaderMap::from_iter([(HeaderName::from_static(LOAD), text.parse().unwrap())]);
            assert_eq!(load(&headers).queue, queue, "{text}");
        }
        for (text, percent) in [("85", Some(0.85)), ("0", Some(0.0)), ("-3", None), ("x", None)] {
            let headers = HeaderMap::from_iter([(HeaderName::from_static(METER), text.parse().unwrap())]);
            assert_eq!(used(&headers), percent, "{text}");
        }
    }
}
