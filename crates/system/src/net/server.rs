//! HTTP/1.1 servers with limits and a graceful shutdown.

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

/// The pause after a failed accept, as when no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// The limits of a server's connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest request head.
    pub head_bytes: usize,
    /// The time within which the head of a connection's next request must be complete. Idle time counts.
    pub head_timeout: Duration,
    /// The most connections at once. A server closes further ones.
    pub connections: usize,
}

/// Tells connections to close, each after the request that it is serving.
pub type CloseSignal = watch::Receiver<bool>;

/// Counts a server's open connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// The number of open connections.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts one connection for as long as it lives.
struct ConnectionGuard(ConnectionCount);

impl ConnectionGuard {
    fn new(count: &ConnectionCount) -> ConnectionGuard {
        count.0.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(count.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts connections and serves them until the task is aborted. Connections that are open then go on.
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
        let guard = ConnectionGuard::new(&count);
        let close = close.clone();
        tokio::spawn(async move {
            let _guard = guard;
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
