//! Clients of the storage proxy whose uploads come in tiny chunks and stop short of their end: the real program stays
//! within the memory of its settings, and ordinary requests are answered.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::rehearsal::stage::{Discovery, Head, HttpClient, Setup, entry};
use pathbank::rehearsal::storage_node::{Act, StandInNode, answer};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
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
const SENDS_NOTHING_FOR: Duration = Duration::from_secs(5);
/// How long the crowd keeps its connections.
const CROWD_STAYS: Duration = Duration::from_secs(4);
const KIB_PER_MB: u64 = 1_024;

/// The most memory that a process has had, MB.
fn peak_memory_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the program lives");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("its memory is told");
    let kib: u64 = line.split_ascii_whitespace().next().unwrap().parse().unwrap();
    kib / KIB_PER_MB
}

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

#[test]
fn uploads_in_tiny_chunks_stay_within_the_memory() {
    let node = StandInNode::start("b-1").unwrap();
    let nodes = vec![entry("s-1", node.address, 0, "in_service")];
    let discovery = Discovery::start(nodes.clone()).unwrap();
    let setup = Setup { memory_mb: MEMORY_MB, ..Setup::default() };
    let program = Path::new(env!("CARGO_BIN_EXE_pathbank"));
    let head = Head::start(program, &setup, discovery.address, nodes).unwrap();
    let address = head.http;
    let crowd: Vec<_> =
        (0..CLIENTS).map(|number| std::thread::spawn(move || send_tiny_chunks(address, number))).collect();
    let crowd: Vec<TcpStream> = crowd.into_iter().map(|client| client.join().unwrap()).collect();
    // What it sent is read meanwhile.
    std::thread::sleep(CROWD_STAYS);
    node.next(Act::Answer(answer("200 OK", "", "a body")));
    let (status, _, body) = HttpClient::connect(address)
        .unwrap()
        .ask("token-read", LONG, b"")
        .expect("an ordinary request is answered");
    assert_eq!((status, &body[..]), (200, &b"a body"[..]));
    let peak = peak_memory_mb(head.process());
    println!("peak: {peak} MiB of {MEMORY_MB}");
    assert!(peak < MEMORY_MB as u64, "{peak} MiB are over limits.memory_mb={MEMORY_MB}");
    drop(crowd);
}
