//! Clients of the storage proxy that don't behave: the real program stays within the memory of its settings, and ordinary
//! requests are answered.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

#[path = "../crates/system/tests/misbehaving/meter.rs"]
mod meter;

use meter::{MIB, Meter};
use pathbank::rehearsal::stage::{Discovery, Head, HttpClient, Setup, entry};
use pathbank::rehearsal::storage_node::{Act, StandInNode, answer};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// `limits.memory_mb` of the program, which is the bound of its memory.
const MEMORY_MB: usize = 32;
const CLIENTS: usize = 8;
/// Under what is held of a body before it is passed on.
const BODY_BYTES: usize = 256 * 1_024;
const CHUNK: &[u8] = b"1\r\nx\r\n";
const CHUNKS_A_WRITE: usize = 4 * 1_024;
/// Far more than a test takes, in milliseconds.
const LONG: u64 = 3_600_000;
const SENDS_NOTHING_FOR: Duration = Duration::from_secs(1);
/// How long the crowd keeps its connections.
const CROWD_STAYS: Duration = Duration::from_secs(4);
/// Connections with a request that waits at its node, and what is sent behind each request.
const WAITING: usize = 250;
const SURPLUS_BYTES: usize = 256 * 1_024;
/// Enough descriptors for these clients.
const SOCKETS: usize = 1_000;

/// One case runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Sends a body in chunks of one byte without the last chunk, as far as the program takes it.
fn send_tiny_chunks(address: SocketAddr, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(SENDS_NOTHING_FOR)).unwrap();
    let head = format!(
        "PUT /api/00000003b4d60021/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: app.svc\r\n\
         X-Priority-Class: receipt-write\r\nX-Storage-Class: starter\r\nX-Timeout-Ms: {LONG}\r\n\
         X-Extent: units=1,shard=0,hosts=1\r\nX-Request-ID: tiny-{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let chunks = CHUNK.repeat(CHUNKS_A_WRITE);
    for _ in 0..BODY_BYTES / CHUNKS_A_WRITE {
        if stream.write_all(&chunks).is_err() {
            break;
        }
    }
    stream
}

/// The program, its node and its discovery.
struct Case {
    node: StandInNode,
    _discovery: Discovery,
    head: Head,
    _alone: MutexGuard<'static, ()>,
}

impl Case {
    fn started() -> Case {
        let node = StandInNode::start("b-1").unwrap();
        let address = node.address;
        Case::before(node, address)
    }

    /// The program sends its requests to a node at this address.
    fn before(node: StandInNode, address: SocketAddr) -> Case {
        let alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let nodes = vec![entry("s-1", address, 0, "in_service")];
        let discovery = Discovery::start(nodes.clone()).unwrap();
        let setup = Setup { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Setup::default() };
        let program = Path::new(env!("CARGO_BIN_EXE_pathbank"));
        let head = Head::start(program, &setup, discovery.address, nodes).unwrap();
        Case { node, _discovery: discovery, head, _alone: alone }
    }

    /// The crowd comes and stays; its memory is measured meanwhile.
    fn bears(&self, clients: usize, client: impl Fn(SocketAddr, usize) -> TcpStream + Copy + Send + 'static) {
        let meter = Meter::start(self.head.process());
        let address = self.head.http;
        let crowd: Vec<_> =
            (0..clients).map(|number| std::thread::spawn(move || client(address, number))).collect();
        let crowd: Vec<TcpStream> = crowd.into_iter().map(|client| client.join().unwrap()).collect();
        // What it sent is read meanwhile.
        std::thread::sleep(CROWD_STAYS);
        let peak = meter.finish();
        drop(crowd);
        let memory_mib = peak.memory_bytes / MIB;
        println!("peak: {memory_mib} MiB of {MEMORY_MB}, {} descriptors", peak.descriptors);
        assert!(memory_mib < MEMORY_MB as u64, "{memory_mib} MiB are over limits.memory_mb={MEMORY_MB}");
        assert!(peak.descriptors < SOCKETS as u64, "{peak:?}");
    }

    fn answers(&self) {
        self.node.next(Act::Answer(answer("200 OK", "", "a body")));
        let mut client = HttpClient::connect(self.head.http).unwrap();
        let (status, _, body) = client.ask("token-read", LONG, b"").expect("an ordinary request is answered");
        assert_eq!((status, &body[..]), (200, &b"a body"[..]));
    }
}

#[test]
fn uploads_in_tiny_chunks_stay_within_the_memory() {
    let case = Case::started();
    case.bears(CLIENTS, send_tiny_chunks);
    case.answers();
}

/// Sends a request, and more than the program reads behind it.
fn send_surplus(address: SocketAddr, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_write_timeout(Some(SENDS_NOTHING_FOR)).unwrap();
    let head = format!(
        "GET /api/00000003b4d60021/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: app.svc\r\n\
         X-Priority-Class: token-read\r\nX-Storage-Class: starter\r\nX-Timeout-Ms: {LONG}\r\n\
         X-Extent: units=1,shard=0,hosts=1\r\nX-Request-ID: surplus-{number}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let _ = stream.write_all(&vec![b'x'; SURPLUS_BYTES]);
    stream
}

#[test]
fn bytes_behind_requests_that_wait_stay_within_the_memory() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    std::thread::spawn(move || {
        let _open: Vec<_> = silent.incoming().collect();
    });
    let case = Case::before(StandInNode::start("b-1").unwrap(), address);
    case.bears(WAITING, send_surplus);
    assert!(is_up(case.head.http), "the program says that it is up");
}

fn is_up(address: SocketAddr) -> bool {
    const UP: &[u8] = b"HTTP/1.1 200";
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n").unwrap();
    let mut begin = [0; UP.len()];
    stream.read_exact(&mut begin).is_ok() && begin == UP
}
