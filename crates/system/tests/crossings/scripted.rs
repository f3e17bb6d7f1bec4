//! A server that follows a script, answer by answer, and records each request with its connection.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The server's pause between a second answer and reading the next request.
const PAUSE_AFTER_SECOND_ANSWER: Duration = Duration::from_millis(30);

/// What the server does with one request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Answers the request.
    Answer,
    /// Answers the request after this time.
    Late(Duration),
    /// Sends this many bytes of the answer, then resets the connection.
    ResetAfter(usize),
    /// Sends this many bytes of the answer, then closes the connection.
    CloseAfter(usize),
    /// Sends the answer twice in one write.
    Twice,
    /// Sends the answer, and sends it again after this time.
    AgainLater(Duration),
    /// Sends an answer to the request with this id first, then the proper one.
    AnotherFirst(String),
    /// Answers as soon as the request's head is complete, and reads the body afterwards.
    Early,
    /// Answers the request and closes the connection.
    AnswerAndClose,
    /// Sends an answer without a length, which ends with the connection: by a close, or by a reset after this
    /// many bytes.
    Unframed(Option<usize>),
    /// Redirects the request to another address.
    Redirect(SocketAddr),
}

/// A request that the server has read.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub id: String,
    pub body: Vec<u8>,
    pub connection: usize,
}

#[derive(Default)]
struct Shared {
    script: Mutex<VecDeque<Step>>,
    seen: Mutex<Vec<Seen>>,
    /// Bytes that arrived where a request should begin, and are not one.
    strays: Mutex<Vec<String>>,
}

/// The scripted server. It runs until the process ends.
#[derive(Clone)]
pub struct Scripted {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// The whole answer to a request.
pub fn answer(id: &str) -> Vec<u8> {
    let body = format!("answer to {id}");
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nX-Pathbank-Request-Id: {id}\r\nX-Pathbank-Response-Signature: scripted\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

impl Scripted {
    pub fn start(ip: IpAddr) -> Scripted {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let server = Scripted { address: listener.local_addr().unwrap(), shared: Arc::default() };
        let shared = server.shared.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let shared = shared.clone();
                std::thread::spawn(move || drop(serve(&shared, connection, stream.unwrap())));
            }
        });
        server
    }

    /// Sets what the server does with the next requests. It answers those after them.
    pub fn script(&self, steps: impl IntoIterator<Item = Step>) {
        self.shared.script.lock().unwrap().extend(steps);
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.shared.seen.lock().unwrap().clone()
    }

    pub fn times_seen(&self, id: &str) -> usize {
        self.seen().iter().filter(|seen| seen.id == id).count()
    }

    pub fn strays(&self) -> Vec<String> {
        self.shared.strays.lock().unwrap().clone()
    }
}

fn serve(shared: &Shared, connection: usize, mut stream: TcpStream) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    loop {
        let Some(head) = read_head(&mut stream, &mut buffer)? else { return Ok(()) };
        let lower = head.to_ascii_lowercase();
        let value = |name: &str| {
            lower.lines().find_map(|line| line.strip_prefix(name)).map(|value| value.trim().to_owned())
        };
        if !head.starts_with("POST ") {
            shared.strays.lock().unwrap().push(head);
            return Ok(());
        }
        let id = value("x-pathbank-request-id:").unwrap_or_default();
        let length: usize = value("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
        let step = shared.script.lock().unwrap().pop_front().unwrap_or(Step::Answer);
        if matches!(step, Step::Early) {
            stream.write_all(&answer(&id))?;
            std::thread::sleep(Duration::from_millis(100));
        }
        while buffer.len() < length {
            read_more(&mut stream, &mut buffer)?;
        }
        let body: Vec<u8> = buffer.drain(..length).collect();
        shared.seen.lock().unwrap().push(Seen { id: id.clone(), body, connection });
        if !carry_out(&mut stream, &id, step)? {
            return Ok(());
        }
    }
}

/// Answers a request as the step says. Returns whether the connection stays open.
fn carry_out(stream: &mut TcpStream, id: &str, step: Step) -> std::io::Result<bool> {
    let whole = answer(id);
    match step {
        Step::Answer => stream.write_all(&whole)?,
        Step::Early => {}
        Step::Late(pause) => {
            std::thread::sleep(pause);
            stream.write_all(&whole)?;
        }
        Step::ResetAfter(count) => {
            stream.write_all(&whole[..count])?;
            // The client has to read these bytes before the reset, which discards unread ones.
            std::thread::sleep(Duration::from_millis(20));
            socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            return Ok(false);
        }
        Step::CloseAfter(count) => {
            stream.write_all(&whole[..count])?;
            return Ok(false);
        }
        Step::Twice => stream.write_all(&[whole.clone(), whole].concat())?,
        Step::AgainLater(pause) => {
            stream.write_all(&whole)?;
            std::thread::sleep(pause);
            stream.write_all(&whole)?;
            // The client of a request that crossed this answer gets it before the server reads the request.
            std::thread::sleep(PAUSE_AFTER_SECOND_ANSWER);
        }
        Step::AnotherFirst(other) => stream.write_all(&[answer(&other), whole].concat())?,
        Step::AnswerAndClose => {
            stream.write_all(&whole)?;
            return Ok(false);
        }
        Step::Unframed(reset_after) => {
            let whole = String::from_utf8_lossy(&whole).into_owned();
            let (head, body) = whole.split_once("\r\n\r\n").unwrap_or_default();
            let lines: Vec<&str> = head.lines().filter(|line| !line.starts_with("Content-Length")).collect();
            let bytes = format!("{}\r\n\r\n{body}", lines.join("\r\n")).into_bytes();
            stream.write_all(&bytes[..reset_after.unwrap_or(bytes.len()).min(bytes.len())])?;
            if reset_after.is_some() {
                std::thread::sleep(Duration::from_millis(20));
                socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            }
            return Ok(false);
        }
        Step::Redirect(address) => {
            let head = format!(
                "HTTP/1.1 307 Temporary Redirect\r\nX-Pathbank-Request-Id: {id}\r\nLocation: http://{address}/app/x\r\n\
                 X-Pathbank-Response-Signature: scripted\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(head.as_bytes())?;
        }
    }
    Ok(true)
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
        }
        if read_more(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<usize> {
    let mut chunk = [0; 16 * 1024];
    let count = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..count]);
    Ok(count)
}
