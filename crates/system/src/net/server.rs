//! HTTP/1.1 servers: accept loops that end in order.

use crate::net::socket;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// After an accept that failed (no descriptors left), the next one comes after this.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// What a server's connections may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Until a head is whole, and for how long a connection may rest before the next one.
    pub head_timeout: Duration,
    /// Connections at once; beyond, new ones are closed.
    pub connections: usize,
}

/// Tells connections to end: each finishes what it has begun.
pub type CloseSignal = watch::Receiver<bool>;

/// Connections that stand.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// How many.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

struct Counted(ConnectionCount);

impl Counted {
    fn new(count: &ConnectionCount) -> Counted {
        count.0.fetch_add(1, Ordering::Relaxed);
        Counted(count.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts and serves until the task is dropped.
pub async fn serve<S, B>(
    listener: TcpListener,
    service: impl Fn(SocketAddr) -> S,
    limits: Limits,
    close: CloseSignal,
    count: ConnectionCount,
) where
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if count.get() >= limits.connections {
            continue;
        }
        socket::prepare(&stream);
        let service = service(peer);
        let counted = Counted::new(&count);
        let close = close.clone();
        tokio::spawn(async move {
            let _counted = counted;
            serve_connection(stream, service, limits, close).await;
        });
    }
}

async fn serve_connection<S, B>(
    stream: tokio::net::TcpStream,
    service: S,
    limits: Limits,
    mut close: CloseSignal,
) where
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(8_192))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = close.wait_for(|closing| *closing) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
