//! Clients, callers and nodes of the storage proxy that don't behave: the real program stays within the memory of its
//! settings, and ordinary requests are answered.
//!
//! The crowds and the bounds follow from the settings in `case`; one case runs at a time.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod case;
mod clients;
#[path = "../../crates/system/tests/misbehaving/meter.rs"]
mod meter;
mod node;

use case::{CLIENT_PLACES, Case, MEMORY_MB, OPEN_REQUESTS};
use clients::{Opening, request_head};
use meter::MIB;
use node::ScriptedNode;
use pathbank::agree::VoterId;
use pathbank::net::agree::database::VoterDatabase;
use pathbank::net::agree::wire::{CLUSTER_HEADER, MESSAGE_PATH};
use pathbank::net::sftp::packet::{self, Command};
use pathbank::rehearsal::client::Client;
use pathbank::rehearsal::grpc::raw::{END_HEADERS, HEADERS, Raw, field, request};
use pathbank::rehearsal::grpc::routes;
use pathbank::rehearsal::stage::Setup;
use pathbank::rehearsal::storage_node::StandInNode;
use pathbank::rehearsal::store::{Fault, Files, Store, Verb};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::mpsc::channel;

/// Uploads in chunks of one byte; under what is held of a body before it is passed on.
const UPLOADS: usize = 8;
const UPLOAD_BYTES: usize = 256 * 1_024;
const CHUNK: &[u8] = b"1\r\nx\r\n";
/// Connections with a request that waits at its node, and what is sent behind each request.
const WAITING: usize = 250;
const SURPLUS_BYTES: usize = 256 * 1_024;
/// Under the longest head that is read.
const LONG_HEAD_BYTES: usize = 15 * 1_024;
/// Under the longest answer that is held.
const HELD_ANSWER_BYTES: usize = 60 * 1_024;
/// An answer that is passed on while it arrives.
const LONG_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;
/// So many nodes answer at once.
const NODES: usize = 8;
/// Clients of the file front at most, and the commands of each that are carried out at once.
const FILE_CLIENTS: usize = 64;
const FILE_COMMANDS: usize = 16;
/// Calls of the gRPC front: connections, and calls on each.
const CALL_CLIENTS: usize = 60;
const CALLS: usize = 100;
/// A call's metadata: so many values of this length are under the longest list that is read.
const METADATA_VALUES: usize = 90;
const METADATA_VALUE_BYTES: usize = 120;
/// The longest body of a call to a voter; so many are four times what the process may hold.
const VOTER_BODY_BYTES: usize = 16 * 1_024 * 1_024;
const VOTER_BODIES: usize = 4 * MEMORY_MB * MIB as usize / VOTER_BODY_BYTES;
const VOTER: VoterId = 71;
const STOPS_SHORT_BY: usize = 16;

fn get(number: usize, more: &str) -> Vec<u8> {
    request_head("GET", "token-read", number, more)
}

fn put(number: usize, more: &str) -> Vec<u8> {
    request_head("PUT", "receipt-write", number, more)
}

/// A node that accepts connections and says nothing.
fn silent_node() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let _open: Vec<_> = listener.incoming().collect();
    });
    address
}

#[test]
fn uploads_in_tiny_chunks_stay_within_the_memory() {
    let case = Case::started();
    let upload = move |number| Opening {
        head: put(number, "Transfer-Encoding: chunked\r\n\r\n"),
        body: CHUNK.repeat(UPLOAD_BYTES),
    };
    case.bears(case.head.http, UPLOADS, upload);
    case.answers();
}

#[test]
fn large_uploads_that_stop_short_of_their_end() {
    let case = Case::started();
    let length = VOTER_BODY_BYTES;
    let upload = move |number| Opening {
        head: put(number, &format!("Content-Length: {length}\r\n\r\n")),
        body: vec![b'x'; 2 * MIB as usize],
    };
    case.bears(case.head.http, OPEN_REQUESTS, upload);
    case.answers();
}

#[test]
fn bodies_that_stop_short_of_their_end() {
    let case = Case::started();
    let length = 64 * 1_024;
    let upload = move |number| Opening {
        head: put(number, &format!("Content-Length: {length}\r\n\r\n")),
        body: vec![b'x'; length - STOPS_SHORT_BY],
    };
    case.bears(case.head.http, OPEN_REQUESTS, upload);
    case.answers();
}

#[test]
fn heads_of_requests_that_do_not_end() {
    let case = Case::started();
    let endless = |number| {
        let mut head = get(number, "X-Long: ");
        head.resize(LONG_HEAD_BYTES, b'x');
        Opening { head, body: Vec::new() }
    };
    case.bears(case.head.http, CLIENT_PLACES, endless);
    case.answers();
}

#[test]
fn bytes_behind_requests_that_wait_stay_within_the_memory() {
    let case = Case::before(silent_node());
    let surplus = |number| Opening { head: get(number, "\r\n"), body: vec![b'x'; SURPLUS_BYTES] };
    case.bears(case.head.http, WAITING, surplus);
    case.is_up();
}

#[test]
fn bytes_behind_long_requests_that_wait() {
    let case = Case::before(silent_node());
    let surplus = |number| {
        let mut head = get(number, "X-Long: ");
        head.resize(LONG_HEAD_BYTES, b'x');
        head.extend(b"\r\n\r\n");
        Opening { head, body: vec![b'x'; SURPLUS_BYTES] }
    };
    case.bears(case.head.http, OPEN_REQUESTS, surplus);
    case.is_up();
}

#[test]
fn answers_of_nodes_in_tiny_chunks() {
    let mut answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    answer.extend(CHUNK.repeat(HELD_ANSWER_BYTES));
    let nodes: Vec<ScriptedNode> = (0..NODES).map(|_| ScriptedNode::start(answer.clone())).collect();
    let case = Case::among(&nodes);
    case.bears(case.head.http, OPEN_REQUESTS, |number| Opening {
        head: get(number, "\r\n"),
        body: Vec::new(),
    });
    nodes.iter().for_each(ScriptedNode::calm_down);
    case.is_served();
}

#[test]
fn answers_of_nodes_that_are_not_read() {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {HELD_ANSWER_BYTES}\r\n\r\n");
    let answer = [head.into_bytes(), vec![b'x'; HELD_ANSWER_BYTES]].concat();
    let nodes: Vec<ScriptedNode> = (0..NODES).map(|_| ScriptedNode::start(answer.clone())).collect();
    let case = Case::among(&nodes);
    case.bears(case.head.http, OPEN_REQUESTS, |number| Opening {
        head: get(number, "\r\n"),
        body: Vec::new(),
    });
    nodes.iter().for_each(ScriptedNode::calm_down);
    case.is_served();
}

#[test]
fn long_answers_of_nodes_that_are_not_read() {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_ANSWER_BYTES}\r\n\r\n");
    let answer = [head.into_bytes(), vec![b'x'; LONG_ANSWER_BYTES]].concat();
    let nodes: Vec<ScriptedNode> = (0..NODES).map(|_| ScriptedNode::start(answer.clone())).collect();
    let case = Case::among(&nodes);
    case.bears(case.head.http, OPEN_REQUESTS, |number| Opening {
        head: get(number, "\r\n"),
        body: Vec::new(),
    });
    nodes.iter().for_each(ScriptedNode::calm_down);
    case.is_served();
}

/// Writes of the file front that wait for their node.
#[test]
fn file_commands_that_wait() {
    let store = Store::start(Files::default()).unwrap();
    // A write is answered once its sender here is dropped.
    let mut holds = Vec::new();
    for _ in 0..FILE_CLIENTS * FILE_COMMANDS {
        let (hold, held) = channel::<()>();
        holds.push(hold);
        store.fail(Verb::Write, Fault::Hold(held));
    }
    let setup = Setup { files: true, file_clients: FILE_CLIENTS, ..case::setup() };
    let case = Case::with(setup, store.address);
    let files = case.head.files().unwrap();
    case.bears_connections(|| clients::each(FILE_CLIENTS, move |number| send_writes(files, number)));
    case.is_up();
}

/// Opens a file, and sends as many writes as are carried out at once. `None`: the program has no place for the client.
fn send_writes(address: SocketAddr, number: usize) -> Option<Client> {
    let mut client = Client::start(address).ok()?;
    let path = format!("/bundles/customer/{number}");
    let handle = client.open(&path, packet::WRITE | packet::CREAT).ok()?;
    let data = bytes::Bytes::from(vec![b'x'; packet::MAX_DATA_BYTES]);
    client.set_write_timeout(clients::SENDS_NOTHING_FOR).ok()?;
    for offset in 0..FILE_COMMANDS as u64 {
        let (handle, data) = (handle.clone(), data.clone());
        if client.send(Command::Write { handle, offset, data }).is_err() {
            break;
        }
    }
    Some(client)
}

/// Calls of the gRPC front with long metadata whose requests do not end.
#[test]
fn calls_with_long_metadata() {
    let setup = Setup { grpc: Some(routes("clients = 64")), ..case::setup() };
    let node = StandInNode::start("b-1").unwrap();
    let case = Case::with(setup, node.address);
    let calls = case.head.grpc().unwrap();
    case.bears_connections(|| clients::each(CALL_CLIENTS, move |_| send_calls(calls)));
    case.is_served();
}

fn send_calls(address: SocketAddr) -> Option<Raw> {
    let mut client = Raw::connect(address).ok()?;
    client.stream.set_write_timeout(Some(clients::SENDS_NOTHING_FOR)).ok()?;
    let value = "v".repeat(METADATA_VALUE_BYTES);
    let metadata = (0..METADATA_VALUES).flat_map(|at| field(&format!("x-long-{at}"), &value));
    let block: Vec<u8> = request("/kit.Safe/Get").into_iter().chain(metadata).collect();
    for call in 0..CALLS as u32 {
        if client.send(HEADERS, END_HEADERS, 2 * call + 1, &block).is_err() {
            break;
        }
    }
    Some(client)
}

/// A program with a voter, whose address others know.
fn with_voter() -> (Case, SocketAddr) {
    static NEXT_PORT: std::sync::atomic::AtomicU16 = std::sync::atomic::AtomicU16::new(20_000);
    let process = std::process::id().to_le_bytes();
    let host = Ipv4Addr::new(127, 79, process[0], process[1].max(1));
    let port = NEXT_PORT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let address = SocketAddr::from((host, port));
    let folder = std::env::temp_dir().join(format!("pathbank-voter-{}-{port}", std::process::id()));
    VoterDatabase::create(&folder, VOTER).unwrap();
    let agree = format!(
        "enabled = true\ncluster = \"few\"\nlisten = \"{address}\"\ndirectory = \"{}\"\ndisk_mb = 64\n\
         [voters]\n{VOTER} = \"{address}\"\n",
        folder.display()
    );
    let setup = Setup { agree: Some(agree), ..case::setup() };
    let node = StandInNode::start("b-1").unwrap();
    (Case::with(setup, node.address), address)
}

fn voter_call(body_bytes: usize) -> Vec<u8> {
    format!(
        "POST {MESSAGE_PATH} HTTP/1.1\r\nHost: voter\r\n{CLUSTER_HEADER}: few\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    .into_bytes()
}

#[test]
fn bodies_to_a_voter_that_stop_short_of_their_end() {
    let (case, voter) = with_voter();
    let opening = |_| Opening {
        head: voter_call(VOTER_BODY_BYTES),
        body: vec![b'x'; VOTER_BODY_BYTES - STOPS_SHORT_BY],
    };
    case.bears(voter, VOTER_BODIES, opening);
    case.is_served();
}

#[test]
fn heads_to_a_voter_that_do_not_end() {
    let (case, voter) = with_voter();
    let endless = |_| Opening {
        head: [&b"POST /agree/1/hear HTTP/1.1\r\nHost: voter\r\nX-Long: "[..], &[b'x'; 380 * 1_024]].concat(),
        body: Vec::new(),
    };
    case.bears(voter, CLIENT_PLACES / 4, endless);
    case.is_served();
}
