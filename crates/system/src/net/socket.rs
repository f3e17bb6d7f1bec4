//! TCP sockets and their options.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// `TCP_USER_TIMEOUT`: a connection breaks when sent bytes stay unacknowledged for this time.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The kernel counts [`USER_TIMEOUT`] from the first retransmission, which follows the first transmission by no more than
/// this.
const MAX_FIRST_RETRANSMISSION: Duration = Duration::from_millis(500);
/// What was written to a connection arrives within this time, or never, whether or not its process still runs.
pub const MAX_DELIVERY: Duration = USER_TIMEOUT.saturating_add(MAX_FIRST_RETRANSMISSION);
/// An idle connection sends its first keepalive probe after this time.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// The time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The most new connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// `SO_RCVBUF` of connections whose other side is not trusted. Linux doubles it, for its own bookkeeping, and holds up to
/// one and a half times as many bytes unread.
pub const RECEIVE_BUFFER_BYTES: u32 = 16 * 1_024;

/// Sets the options of every connection: no delay of small writes, and timeouts that end a connection whose
/// other side is gone silently.
pub fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    // Failures are ignored: a connection without these options still works.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = socket
        .set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL));
}

/// Connects to an address.
///
/// # Errors
///
/// The connection failed, or was not established `within` this time.
pub async fn connect(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
    prepare(&stream);
    Ok(stream)
}

/// Connects to a server that is not trusted with more than [`RECEIVE_BUFFER_BYTES`] of this process's memory.
///
/// # Errors
///
/// The connection failed, or was not established `within` this time.
pub async fn connect_limited(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    // Failures are ignored, as in `prepare`.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let stream = tokio::time::timeout(within, socket.connect(address)).await??;
    prepare(&stream);
    Ok(stream)
}

/// Listens like [`listen`] for callers that are not trusted with more than [`RECEIVE_BUFFER_BYTES`] each.
///
/// # Errors
///
/// As for [`listen`].
pub fn listen_limited(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = listen(address)?;
    // Accepted connections inherit it. Failures are ignored, as in `prepare`.
    let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES as usize);
    Ok(listener)
}

/// Listens on an address, even if connections of an earlier process there are still in `TIME_WAIT`.
///
/// # Errors
///
/// The address cannot be bound, or is not an IPv4 address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
