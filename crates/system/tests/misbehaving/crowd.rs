//! A crowd of clients that send what a well-behaved client does not, and keep their connections open.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CONNECT_WITHIN: Duration = Duration::from_secs(5);
/// A client that can send nothing for so long has sent what it can.
const SENDS_NOTHING_FOR: Duration = Duration::from_secs(2);
/// Everybody has sent what it can within this.
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK_EVERY: Duration = Duration::from_millis(20);
const PIECE_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 4 * 1024;
/// What a slow reader takes at a time.
const SLOW_READ_BYTES: usize = 4 * 1024;
const SLOW_READ_EVERY: Duration = Duration::from_millis(500);
const CLIENT_STACK_BYTES: usize = 128 * 1024;

/// Whether the answer to a script begins as a success.
pub fn begins_answer(address: SocketAddr, script: &Script) -> bool {
    const SUCCESS: &[u8] = b"HTTP/1.1 200";
    let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_WITHIN) else { return false };
    let mut begin = [0; SUCCESS.len()];
    send(&mut stream, script, &AtomicBool::new(false)).is_ok()
        && stream.read_exact(&mut begin).is_ok()
        && begin == SUCCESS
}

/// What one client of a crowd sends.
#[derive(Clone, Debug)]
pub struct Script {
    /// Sent first, whole.
    pub head: Vec<u8>,
    /// Sent again and again behind the head.
    pub part: Vec<u8>,
    /// How often.
    pub parts: usize,
    /// Sent at the end.
    pub end: Vec<u8>,
}

impl Script {
    /// A body with a length, of which this many bytes are sent.
    pub fn with_length(path: &str, announced: usize, sent: usize) -> Script {
        let head = format!("{}Content-Length: {announced}\r\n\r\n", head(path));
        let whole = sent / PIECE_BYTES;
        Script {
            head: head.into_bytes(),
            part: vec![b'x'; PIECE_BYTES],
            parts: whole,
            end: vec![b'x'; sent - whole * PIECE_BYTES],
        }
    }

    /// A request with a short deadline and no body.
    pub fn in_a_hurry(path: &str, deadline_ms: u64) -> Script {
        let head = head(path).replace("-Deadline-Ms: 30000", &format!("-Deadline-Ms: {deadline_ms}"));
        Script {
            head: format!("{head}Content-Length: 0\r\n\r\n").into_bytes(),
            part: Vec::new(),
            parts: 0,
            end: Vec::new(),
        }
    }

    /// A body in chunks of `chunk` bytes, without the last chunk.
    pub fn chunked(path: &str, chunk: usize, bytes: usize) -> Script {
        let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", head(path));
        let one = [format!("{chunk:x}\r\n").into_bytes(), vec![b'x'; chunk], b"\r\n".to_vec()].concat();
        let together = (PIECE_BYTES / one.len()).max(1);
        let chunks = bytes / chunk;
        Script {
            head: head.into_bytes(),
            part: one.repeat(together),
            parts: chunks / together,
            end: one.repeat(chunks % together),
        }
    }

    /// A head that does not end, of this many bytes.
    pub fn endless_head(bytes: usize) -> Script {
        let mut head = b"POST /app/x HTTP/1.1\r\nHost: shop.example\r\nX-Long: ".to_vec();
        head.resize(bytes, b'x');
        Script { head, part: Vec::new(), parts: 0, end: Vec::new() }
    }

    /// A call without a body.
    pub fn get(path: &str) -> Script {
        let head = format!("GET {path} HTTP/1.1\r\nHost: core\r\n\r\n").into_bytes();
        Script { head, part: Vec::new(), parts: 0, end: Vec::new() }
    }

    /// Heartbeats of so many model servers, one after the other, each with so many models.
    pub fn heartbeats(servers: usize, models: usize) -> Script {
        let heartbeat = |_| {
            let number = next_number();
            let model =
                |model| serde_json::json!({ "name": format!("model-{number}-{model}"), "version": 1 });
            let models: Vec<serde_json::Value> = (0..models).map(model).collect();
            let body = serde_json::json!({
                "backend": "other", "address": format!("127.0.0.1:{}", number % 60_000 + 1), "zone": "z1",
                "state": "ready", "capacity": 4, "sequence": 1, "models": models,
            });
            let body = body.to_string();
            let path = format!("/api/instances/never-there-{number}/heartbeat");
            format!("{}Content-Length: {}\r\n\r\n{body}", head(&path), body.len()).into_bytes()
        };
        let head = (0..servers).flat_map(heartbeat).collect();
        Script { head, part: Vec::new(), parts: 0, end: Vec::new() }
    }

    /// A whole request with this body, and more bytes behind it.
    pub fn with_surplus(path: &str, more: &str, body: &[u8], surplus: usize) -> Script {
        let head = format!("{}{more}Content-Length: {}\r\n\r\n", head(path), body.len());
        Script {
            head: [head.as_bytes(), body].concat(),
            part: vec![b'x'; PIECE_BYTES],
            parts: surplus / PIECE_BYTES,
            end: Vec::new(),
        }
    }
}

/// A number that nothing before has.
fn next_number() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A head without its last headers.
fn head(path: &str) -> String {
    let number = next_number();
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Pathbank-Request-Id: crowd-{number}\r\n\
         X-Pathbank-Deadline-Ms: 30000\r\nX-Pathbank-Credential: key-1\r\nX-Pathbank-Base-Version: 0\r\n"
    )
}

/// Whether a client takes what the process sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reads {
    Everything,
    /// A few bytes now and then.
    Slowly,
    Nothing,
}

/// Clients that run at once.
pub struct Crowd {
    leave: Arc<AtomicBool>,
    /// Clients that have sent what they can.
    done: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts a client for each script.
    pub fn start(address: SocketAddr, scripts: Vec<Script>, reads: Reads) -> Crowd {
        let (leave, done) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let clients = scripts.into_iter().map(|script| {
            let (leave, done) = (leave.clone(), done.clone());
            let client = std::thread::Builder::new().stack_size(CLIENT_STACK_BYTES);
            let started = client.spawn(move || {
                let connection = play(address, &script, reads, &leave);
                done.fetch_add(1, Ordering::Relaxed);
                while !leave.load(Ordering::Relaxed) {
                    std::thread::sleep(LOOK_EVERY);
                }
                if let Some(connection) = connection {
                    let _ = connection.shutdown(Shutdown::Both);
                }
            });
            started.expect("a thread starts")
        });
        Crowd { leave: leave.clone(), done: done.clone(), clients: clients.collect() }
    }

    /// Waits until each client has sent all, was answered, or can send no more.
    pub fn until_sent(&self) {
        let start = Instant::now();
        while self.done.load(Ordering::Relaxed) < self.clients.len() {
            assert!(start.elapsed() < PATIENCE, "the crowd sends for longer than {PATIENCE:?}");
            std::thread::sleep(LOOK_EVERY);
        }
    }

    /// All clients go.
    pub fn leave(self) {
        self.leave.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().expect("a client runs to its end");
        }
    }
}

/// Sends what the script says, as far as the process takes it. Returns the open connection.
fn play(address: SocketAddr, script: &Script, reads: Reads, leave: &AtomicBool) -> Option<TcpStream> {
    let mut stream = connect(address, reads)?;
    stream.set_write_timeout(Some(SENDS_NOTHING_FOR)).ok()?;
    match reads {
        Reads::Everything => spawn_reader(stream.try_clone().ok()?, READ_BYTES, Duration::ZERO),
        Reads::Slowly => spawn_reader(stream.try_clone().ok()?, SLOW_READ_BYTES, SLOW_READ_EVERY),
        Reads::Nothing => {}
    }
    // An error: the process closed its side, or takes nothing more. The connection stays as it is.
    let _ = send(&mut stream, script, leave);
    Some(stream)
}

fn send(stream: &mut TcpStream, script: &Script, leave: &AtomicBool) -> std::io::Result<()> {
    stream.write_all(&script.head)?;
    for _ in 0..script.parts {
        if leave.load(Ordering::Relaxed) {
            return Err(ErrorKind::Interrupted.into());
        }
        stream.write_all(&script.part)?;
    }
    stream.write_all(&script.end)
}

/// Connects. A slow reader's kernel takes little, so that the process notices it.
fn connect(address: SocketAddr, reads: Reads) -> Option<TcpStream> {
    if reads != Reads::Slowly {
        return TcpStream::connect_timeout(&address, CONNECT_WITHIN).ok();
    }
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(SLOW_READ_BYTES).ok()?;
    socket.connect_timeout(&address.into(), CONNECT_WITHIN).ok()?;
    Some(socket.into())
}

/// Reads until the process closes, so many bytes at a time with a pause behind each, on a thread of its own.
fn spawn_reader(mut stream: TcpStream, bytes: usize, pause: Duration) {
    let thread = std::thread::Builder::new().stack_size(CLIENT_STACK_BYTES);
    let started = thread.spawn(move || {
        let mut bytes = vec![0; bytes];
        while stream.read(&mut bytes).is_ok_and(|count| count > 0) {
            std::thread::sleep(pause);
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
    started.expect("a thread starts");
}
