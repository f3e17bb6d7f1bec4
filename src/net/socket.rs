//! Bounds of what the kernel holds unread for a connection: it counts as this process's memory.

use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// `SO_RCVBUF` of clients' connections. Linux doubles it, for its own bookkeeping, and holds up to one and a half times
/// as many bytes unread.
const CLIENT_BUFFER_BYTES: usize = 4 * 1_024;
/// The same while a body arrives for which there is memory.
const BODY_BUFFER_BYTES: usize = 16 * 1_024;
/// The same of connections to nodes.
const NODE_BUFFER_BYTES: u32 = 8 * 1_024;

/// Bounds the connections that a listener accepts. Failures are ignored: connections without the bound still work.
pub fn limit_unread(listener: &TcpListener) {
    // Set before they are accepted, as their window is announced then.
    let _ = SockRef::from(listener).set_recv_buffer_size(CLIENT_BUFFER_BYTES);
}

/// Has the kernel hold more of a client's connection, or as much as before. Failures are ignored likewise.
pub fn widen(socket: &SockRef<'_>, wide: bool) {
    let _ = socket.set_recv_buffer_size(if wide { BODY_BUFFER_BYTES } else { CLIENT_BUFFER_BYTES });
}

/// Connects to a node.
///
/// # Errors
///
/// The connection failed.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    let _ = socket.set_recv_buffer_size(NODE_BUFFER_BYTES);
    socket.connect(address).await
}
