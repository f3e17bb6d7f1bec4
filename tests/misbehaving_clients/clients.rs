//! Clients that send what a well-behaved client does not, read nothing, and keep their connections.

use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Far more than a test takes, in milliseconds.
pub const LONG_MS: u64 = 3_600_000;
/// A client that can send nothing for so long has sent what it can.
pub const SENDS_NOTHING_FOR: Duration = Duration::from_secs(1);
/// What the kernel takes for a client that does not read.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1_024;
const CLIENT_STACK_BYTES: usize = 128 * 1_024;

/// What a client sends once it is connected.
pub struct Opening {
    pub head: Vec<u8>,
    pub body: Vec<u8>,
}

/// The head of a request with these last lines.
pub fn request_head(method: &str, class: &str, number: usize, more: &str) -> Vec<u8> {
    format!(
        "{method} /api/00000003b4d60021/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: app.svc\r\n\
         X-Priority-Class: {class}\r\nX-Storage-Class: starter\r\nX-Timeout-Ms: {LONG_MS}\r\n\
         X-Extent: units=1,shard=0,hosts=1\r\nX-Request-ID: crowd-{number}\r\n{more}"
    )
    .into_bytes()
}

/// So many clients, all at once. Returns their connections once each has sent what it can.
pub fn each<C: Send + 'static>(
    count: usize,
    client: impl Fn(usize) -> Option<C> + Clone + Send + 'static,
) -> Vec<C> {
    let start = |number| {
        let (thread, client) = (std::thread::Builder::new().stack_size(CLIENT_STACK_BYTES), client.clone());
        thread.spawn(move || client(number)).expect("a thread starts")
    };
    let crowd: Vec<_> = (0..count).map(start).collect();
    crowd.into_iter().filter_map(|client| client.join().expect("a client runs to its end")).collect()
}

/// Connects and sends as far as the program takes it.
pub fn open(address: SocketAddr, opening: &Opening) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    socket.connect(&address.into()).ok()?;
    let mut stream = TcpStream::from(socket);
    stream.set_write_timeout(Some(SENDS_NOTHING_FOR)).ok()?;
    // An error: the program closed its side, or takes nothing more.
    let _ = stream.write_all(&opening.head).and_then(|()| stream.write_all(&opening.body));
    Some(stream)
}
