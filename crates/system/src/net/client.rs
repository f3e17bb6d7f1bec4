//! An HTTP/1.1 client with a pool of connections to model servers and to the platform.

use crate::clock;
use crate::memory::held_body::{BodyBuffer, HeldBody};
use crate::memory::share::MemoryShare;
use crate::net::socket;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The time within which a connection has to be established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an idle connection may be reused if the server states no `Keep-Alive` timeout, milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 4_000;
/// An idle connection is no longer reused this long before the server's stated timeout, milliseconds.
const IDLE_MARGIN_MS: u64 = 700;
/// The longest body that [`ConnectionPool::call`] and its variants read.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// The longest head of an answer, and the longest read buffer.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

type Sender = SendRequest<HeldBody>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: u64,
}

/// Why an exchange has no answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// No byte of the request was written.
    NotSent(Box<Request<HeldBody>>),
    /// The connection broke, and the server may have read the request.
    Broken(hyper::Error),
}

/// An answer's head, and the connection that carries its body.
#[derive(Debug)]
pub struct Exchange {
    /// The answer, whose body has not been read.
    pub response: Response<Incoming>,
    /// The connection, to be given back once the body was read to its end.
    pub lease: ConnectionLease,
}

/// A connection in use. Dropping the lease closes the connection; [`ConnectionPool::give_back`] keeps it.
#[derive(Debug)]
pub struct ConnectionLease {
    address: SocketAddr,
    sender: Sender,
    idle_ms: Option<u64>,
}

/// A pool of idle connections by address.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Idle>>>>,
    /// The memory for answers that [`ConnectionPool::call`] and its variants read.
    answers: MemoryShare,
}

impl Default for ConnectionPool {
    fn default() -> ConnectionPool {
        ConnectionPool::new(MemoryShare::new("answers", usize::MAX))
    }
}

impl ConnectionPool {
    /// Creates a pool. The memory for answers to calls comes from `answers`.
    pub fn new(answers: MemoryShare) -> ConnectionPool {
        ConnectionPool { idle: Arc::default(), answers }
    }

    fn idle(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let now = clock::now();
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if now < connection.until && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        None
    }

    /// Closes connections that have been idle too long.
    pub fn tidy(&self) {
        let now = clock::now();
        let mut idle = self.idle();
        for connections in idle.values_mut() {
            connections.retain(|connection| now < connection.until && !connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    async fn open(address: SocketAddr) -> std::io::Result<Sender> {
        let stream = socket::connect_limited(address, CONNECT_TIMEOUT).await?;
        let handshake =
            http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        tokio::spawn(async move {
            // The task that waits for the answer gets the error as well, so it may be ignored here.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// Sends a request and reads the answer's head. If an idle connection turns out to be closed, the request
    /// goes over a new one.
    ///
    /// # Errors
    ///
    /// No connection could be established, or it broke before the answer's head was complete.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<HeldBody>,
    ) -> Result<Exchange, ExchangeError> {
        self.exchange_if(address, request, || true).await
    }

    /// Like [`ConnectionPool::exchange`], but writes nothing of the request unless `may_send` returns true
    /// once the connection is there.
    ///
    /// # Errors
    ///
    /// As for [`ConnectionPool::exchange`], or `may_send` returned false.
    pub async fn exchange_if(
        &self,
        address: SocketAddr,
        request: Request<HeldBody>,
        may_send: impl Fn() -> bool,
    ) -> Result<Exchange, ExchangeError> {
        let request = match self.take_idle(address).filter(|_| may_send()) {
            Some(sender) => match send(address, sender, request).await {
                Err(ExchangeError::NotSent(request)) => *request,
                other => return other,
            },
            None => request,
        };
        Self::exchange_anew(address, request, may_send).await
    }

    /// Like [`ConnectionPool::exchange_if`], on a new connection, over which no late answer to an earlier
    /// request can arrive.
    async fn exchange_anew(
        address: SocketAddr,
        request: Request<HeldBody>,
        may_send: impl Fn() -> bool,
    ) -> Result<Exchange, ExchangeError> {
        match Self::open(address).await {
            Ok(sender) if may_send() => send(address, sender, request).await,
            Ok(_) | Err(_) => Err(ExchangeError::NotSent(Box::new(request))),
        }
    }

    /// Returns a connection to the pool. The body of its answer must have been read to its end.
    pub fn give_back(&self, lease: ConnectionLease) {
        let Some(idle_ms) = lease.idle_ms else { return };
        let until = clock::now() + idle_ms;
        self.idle().entry(lease.address).or_default().push(Idle { sender: lease.sender, until });
    }

    /// Sends a request and reads the whole answer. Returns its status and body; `None`: no whole answer came
    /// in time, or its body was too long.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<HeldBody>,
        within: Duration,
    ) -> Option<(u16, Bytes)> {
        self.call_if(address, request, within, || true).await
    }

    /// Like [`ConnectionPool::call`], but writes nothing of the request unless `may_send` returns true once
    /// the connection is there.
    pub async fn call_if(
        &self,
        address: SocketAddr,
        request: Request<HeldBody>,
        within: Duration,
        may_send: impl Fn() -> bool,
    ) -> Option<(u16, Bytes)> {
        let whole = |status, body| Some((status, body));
        self.read_whole(self.exchange_if(address, request, may_send), within, whole).await
    }

    /// Like [`ConnectionPool::call`], for an answer that has to be of a certain kind: `parse` returns `None` for
    /// any other one, after which the connection is not reused, as what follows there may belong to another
    /// call.
    pub async fn call_for<T>(
        &self,
        address: SocketAddr,
        request: Request<HeldBody>,
        within: Duration,
        parse: impl FnOnce(u16, &[u8]) -> Option<T>,
    ) -> Option<T> {
        let parse = |status, body: Bytes| parse(status, &body);
        self.read_whole(self.exchange(address, request), within, parse).await
    }

    /// Like [`ConnectionPool::call_if`], for a call that must not be made twice and whose answer must not be
    /// mistaken for that of another call: uses a new connection, and writes the request once at most.
    pub async fn call_once(
        &self,
        address: SocketAddr,
        request: Request<HeldBody>,
        within: Duration,
        may_send: impl Fn() -> bool,
    ) -> Option<(u16, Bytes)> {
        let whole = |status, body| Some((status, body));
        self.read_whole(Self::exchange_anew(address, request, may_send), within, whole).await
    }

    /// Reads and parses the whole answer of an exchange. `None`: it did not come in time, was too long, or does
    /// not parse.
    async fn read_whole<T>(
        &self,
        exchange: impl Future<Output = Result<Exchange, ExchangeError>>,
        within: Duration,
        parse: impl FnOnce(u16, Bytes) -> Option<T>,
    ) -> Option<T> {
        let whole = async {
            let Exchange { response, lease } = exchange.await.ok()?;
            let status = response.status().as_u16();
            let body = read_body(response.into_body(), &self.answers).await?;
            let parsed = parse(status, body)?;
            self.give_back(lease);
            Some(parsed)
        };
        tokio::time::timeout(within, whole).await.ok().flatten()
    }
}

/// Reads a body until its end. `None`: it is too long or breaks off, or memory is short.
async fn read_body(mut body: Incoming, share: &MemoryShare) -> Option<Bytes> {
    let mut buffer = BodyBuffer::new(None);
    while let Some(frame) = body.frame().await {
        let Ok(mut data) = frame.ok()?.into_data() else { continue };
        if buffer.length() + data.len() > MAX_ANSWER_BYTES {
            return None;
        }
        if buffer.push(&mut data, share).is_err() {
            share.count_refusal();
            return None;
        }
    }
    Some(buffer.finish().into_vec().into())
}

async fn send(
    address: SocketAddr,
    mut sender: Sender,
    request: Request<HeldBody>,
) -> Result<Exchange, ExchangeError> {
    match sender.try_send_request(request).await {
        Ok(response) => {
            let idle_ms = idle_time(&response);
            Ok(Exchange { response, lease: ConnectionLease { address, sender, idle_ms } })
        }
        Err(mut error) => match error.take_message() {
            Some(request) => Err(ExchangeError::NotSent(Box::new(request))),
            None => Err(ExchangeError::Broken(error.into_error())),
        },
    }
}

/// For how many milliseconds the connection may be idle and still be reused; `None`: it must not be reused.
fn idle_time(response: &Response<Incoming>) -> Option<u64> {
    let headers = response.headers();
    let has = |name: &HeaderName, word: &str| {
        let values = headers.get_all(name).into_iter().filter_map(|value: &HeaderValue| value.to_str().ok());
        values.flat_map(|value| value.split(',')).any(|item| item.trim().eq_ignore_ascii_case(word))
    };
    if has(&CONNECTION, "close") {
        return None;
    }
    let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let Some(keep_alive) = keep_alive else { return Some(DEFAULT_IDLE_TIMEOUT_MS) };
    let stated = keep_alive.split(',').find_map(|item| item.trim().strip_prefix("timeout="));
    let seconds: Option<u64> = stated.and_then(|seconds| seconds.trim().parse().ok());
    let Some(seconds) = seconds else { return Some(DEFAULT_IDLE_TIMEOUT_MS) };
    Some((seconds * 1_000).saturating_sub(IDLE_MARGIN_MS)).filter(|left| *left > 0)
}
