//! A model server on real sockets whose streams go wrong as a test says: after some pieces it sends bytes that
//! are no piece, and then goes on, ends, closes or resets.

use crate::common::{System, call};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// A reset discards what the receiver has not read by then.
const PAUSE_BEFORE_RESET: Duration = Duration::from_millis(30);
/// The pieces of a whole stream.
pub const PIECES: u64 = 5;

/// What a model server does after garbage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// Goes on with the stream as if nothing had happened.
    GoOn,
    /// Ends the body as a complete one ends.
    End,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// How a stream goes wrong.
#[derive(Clone, Debug)]
pub struct Garbage {
    /// The pieces sent before.
    pub after: u64,
    /// What is sent.
    pub bytes: Vec<u8>,
    /// Whether the bytes are a chunk of the body, or lie on the connection where a chunk is due.
    pub in_chunk: bool,
    /// Whether the body has a length instead of chunks: that of a sound stream with the garbage in it.
    pub by_length: bool,
    pub then: Then,
}

/// The next stream of a request with this id goes wrong, at whichever server it runs; later ones are sound.
#[derive(Clone, Default)]
pub struct Plan(Arc<Mutex<BTreeMap<String, Garbage>>>);

impl Plan {
    pub fn set(&self, id: &str, garbage: Garbage) {
        self.0.lock().unwrap().insert(id.to_owned(), garbage);
    }

    fn take(&self, id: &str) -> Option<Garbage> {
        self.0.lock().unwrap().remove(id)
    }
}

/// A run: the request's id, and the event after which it was asked to go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub id: String,
    pub last_event_id: Option<String>,
}

/// The model servers of a test.
#[derive(Clone)]
pub struct StreamServers {
    pub plan: Plan,
    /// Requests that go on from weights of another version than they began with, whatever was asked for.
    pub change_version: Arc<Mutex<BTreeSet<String>>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// The event of a piece, the same in each run.
pub fn event(id: &str, piece: u64) -> String {
    format!("id: {piece}\ndata: piece {piece} of {id}\n\n")
}

impl StreamServers {
    /// Starts model servers of the backend `llm` that hold `m1`.
    pub fn start(system: &System, instances: &[&str]) -> StreamServers {
        let servers =
            StreamServers { plan: Plan::default(), change_version: Arc::default(), runs: Arc::default() };
        for instance in instances {
            let listener = TcpListener::bind((system.ingress.ip(), 0)).unwrap();
            let address = listener.local_addr().unwrap();
            let accepting = servers.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let serving = accepting.clone();
                    std::thread::spawn(move || drop(serving.serve(stream)));
                }
            });
            let (control, instance) = (system.control.clone(), (*instance).to_owned());
            std::thread::spawn(move || send_heartbeats(&control, &instance, address));
        }
        servers
    }

    /// The runs of a request, in order.
    pub fn runs(&self, id: &str) -> Vec<Run> {
        self.runs.lock().unwrap().iter().filter(|run| run.id == id).cloned().collect()
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(head) = read_request(&mut stream, &mut buffer)? {
            let value = |name: &str| {
                let lower = head.to_ascii_lowercase();
                lower.lines().find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
            };
            if head.starts_with("GET ") {
                respond(&mut stream, &report())?;
                continue;
            }
            let Some(id) = value("x-pathbank-request-id:") else {
                respond(&mut stream, "{}")?;
                continue;
            };
            let last_event_id = value("last-event-id:");
            // A server that is asked to go on after something that is no event begins at the start.
            let after = last_event_id.as_deref().and_then(|id| id.parse().ok()).unwrap_or(0);
            self.runs.lock().unwrap().push(Run { id: id.clone(), last_event_id });
            let version = if after > 0 && self.change_version.lock().unwrap().contains(&id) { 2 } else { 1 };
            if !send_stream(&mut stream, &id, after, version, self.plan.take(&id))? {
                return Ok(());
            }
        }
        Ok(())
    }
}

fn send_heartbeats(control: &[SocketAddr], instance: &str, address: SocketAddr) {
    let path = format!("/api/instances/{instance}/heartbeat");
    for sequence in 1_u64.. {
        let body = serde_json::json!({
            "backend": "llm", "address": address.to_string(), "zone": "z1", "capacity": 8, "state": "ready",
            "models": [{ "name": "m1", "version": 1, "adapters": [] }], "sequence": sequence,
        });
        control.iter().find(|core| {
            call(**core, "POST", &path, &[], &body.to_string()).is_some_and(|answer| answer.status == 200)
        });
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
}

fn report() -> String {
    let models = serde_json::json!([{ "name": "m1", "version": 1, "adapters": [] }]);
    serde_json::json!({ "phase": "prefill_decode", "models": models, "busy": false, "sequence": 0, "queued": 0,
        "active": 0, "kv_used": 0, "kv_total": 1000, "handles": 0 })
    .to_string()
}

fn respond(stream: &mut TcpStream, body: &str) -> std::io::Result<()> {
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Sends a stream from the piece after `after`. Returns whether the connection stays open.
fn send_stream(
    stream: &mut TcpStream,
    id: &str,
    after: u64,
    version: u64,
    garbage: Option<Garbage>,
) -> std::io::Result<bool> {
    let length = garbage.as_ref().filter(|garbage| garbage.by_length).map(|garbage| {
        let pieces = (after + 1..=PIECES).map(|piece| event(id, piece).len());
        pieces.sum::<usize>() + garbage.bytes.len()
    });
    let framing = match length {
        Some(length) => format!("Content-Length: {length}"),
        None => "Transfer-Encoding: chunked".to_owned(),
    };
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nX-Pathbank-Request-Id: {id}\r\nX-Pathbank-Response-Signature: garbage\r\n\
         Content-Type: text/event-stream\r\nVersions: {version}\r\n{framing}\r\n\r\n"
    )?;
    let write_chunk = |stream: &mut TcpStream, bytes: &[u8]| match length {
        Some(_) => stream.write_all(bytes),
        None => write_chunk(stream, bytes),
    };
    for piece in after..=PIECES {
        if piece > after {
            write_chunk(stream, event(id, piece).as_bytes())?;
        }
        let Some(garbage) = garbage.as_ref().filter(|garbage| garbage.after == piece) else { continue };
        match garbage.in_chunk {
            true => write_chunk(stream, &garbage.bytes)?,
            false => stream.write_all(&garbage.bytes)?,
        }
        match garbage.then {
            Then::GoOn => {}
            Then::End => break,
            Then::Close => return Ok(false),
            Then::Reset => {
                std::thread::sleep(PAUSE_BEFORE_RESET);
                socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
                return Ok(false);
            }
        }
    }
    if length.is_none() {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(true)
}

fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    if bytes.is_empty() {
        return Ok(());
    }
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}

/// Reads a request to its end and returns its head.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<String>> {
    let mut chunk = [0; 4_096];
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let lower = head.to_ascii_lowercase();
            let length =
                lower.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if buffer.len() >= whole {
                buffer.drain(..whole);
                return Ok(Some(head));
            }
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}
