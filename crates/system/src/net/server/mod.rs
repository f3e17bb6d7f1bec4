//! HTTP/1.1 servers with limits and a graceful shutdown.

mod connection;
mod metered_stream;
mod router_service;
mod tracked_body;

pub use connection::{Connection, ConnectionTable};
pub use router_service::RouterService;
pub use tracked_body::TrackedBody;

use crate::memory::share::MemoryShare;
use crate::net::socket;
use connection::ConnectionGuard;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use metered_stream::MeteredStream;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The pause after a failed accept, as when no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How many connections give way to a new one at most.
const MAX_EVICTIONS: usize = 4;

/// The limits of a server's connections.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The longest request head.
    pub head_bytes: usize,
    /// The time within which the head of a connection's next request must be complete. Idle time counts.
    pub head_timeout: Duration,
    /// The most connections at once. Beyond them, one that does not move gives way to a new one, or the new one is
    /// closed.
    pub connections: usize,
    /// The memory for connections.
    pub memory: MemoryShare,
}

/// Tells connections to close, each after the request that it is serving.
pub type CloseSignal = watch::Receiver<bool>;

/// Accepts connections and serves them until the task is aborted. Connections that are open then go on. Each
/// request has its [`Connection`] among its extensions.
pub async fn serve<S, B>(
    listener: TcpListener,
    service: impl Fn(SocketAddr) -> S,
    limits: Limits,
    close: CloseSignal,
    table: ConnectionTable,
) where
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Some(guard) = admit(&table, &limits).await else {
            limits.memory.count_refusal();
            continue;
        };
        socket::prepare(&stream);
        tokio::spawn(serve_connection(
            stream,
            service(peer),
            limits.clone(),
            close.clone(),
            guard,
            table.clone(),
        ));
    }
}

/// Finds room for a new connection.
async fn admit(table: &ConnectionTable, limits: &Limits) -> Option<ConnectionGuard> {
    for _ in 0..MAX_EVICTIONS {
        if let Some(guard) = table.admit(limits.connections, &limits.memory) {
            return Some(guard);
        }
        if !table.evict_stalled() {
            return None;
        }
        // The memory comes back once the task of that connection has run.
        tokio::task::yield_now().await;
    }
    table.admit(limits.connections, &limits.memory)
}

async fn serve_connection<S, B>(
    stream: TcpStream,
    service: S,
    limits: Limits,
    mut close: CloseSignal,
    guard: ConnectionGuard,
    table: ConnectionTable,
) where
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let metered = MeteredStream::new(stream, guard.connection.clone(), table);
    let served_connection = guard.connection.clone();
    let tracked = service_fn(move |mut request: Request<Incoming>| {
        let connection = served_connection.clone();
        connection.head_complete();
        if request.body().is_end_stream() {
            connection.body_complete();
        }
        request.extensions_mut().insert(connection.clone());
        let answer = service.call(request);
        async move { Ok::<_, S::Error>(answer.await?.map(|body| TrackedBody::new(body, connection))) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes.max(8_192))
        .serve_connection(TokioIo::new(metered), tracked);
    let mut served = std::pin::pin!(served);
    tokio::select! {
        _ = served.as_mut() => return,
        () = guard.connection.evicted() => return,
        _ = close.wait_for(|closing| *closing) => served.as_mut().graceful_shutdown(),
    }
    let _ = served.await;
}
