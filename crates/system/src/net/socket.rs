//! Options of TCP sockets.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Unacknowledged bytes break a connection after this.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A connection without a byte for so long is asked whether it still stands.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// New connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Sets what every connection gets: no delay, and an end when the other side is gone without a word.
pub fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    // Options are hints: a connection without them still carries bytes.
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = socket
        .set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL));
}

/// Connects within a time.
pub async fn connect(address: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(within, TcpStream::connect(address)).await??;
    prepare(&stream);
    Ok(stream)
}

/// Listens, also where connections of an earlier incarnation still linger.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
