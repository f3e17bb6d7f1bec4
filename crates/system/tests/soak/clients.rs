//! Clients that keep a connection for as long as it stands, and ask for routes that were confirmed.

use crate::common::System;
use crate::findings::Findings;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

const CONNECT_WITHIN: Duration = Duration::from_millis(500);
const ANSWER_WITHIN: Duration = Duration::from_secs(12);
const PAUSE: Duration = Duration::from_millis(25);
/// The routes that are asked for: one of so many that were confirmed last.
const NEWEST: usize = 12;

/// How a request ended.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    /// With a whole answer.
    Answered { status: u16, body: String },
    /// It could not be written whole.
    NotSent,
    /// It was written, and no whole answer came.
    Unanswered,
}

/// A request as a client sends it; its id is its body as well.
#[derive(Clone, Copy)]
pub struct Ask<'a> {
    pub path: &'a str,
    pub key: &'a str,
    pub model: Option<&'a str>,
    pub id: &'a str,
}

impl<'a> Ask<'a> {
    /// A request with the tenant's key, for no model.
    pub fn of(path: &'a str, id: &'a str) -> Ask<'a> {
        Ask { path, key: "key-1", model: None, id }
    }
}

/// A kept connection to an edge.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    /// The head said that it closes.
    pub closing: bool,
}

impl Connection {
    pub fn open(edge: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&edge, CONNECT_WITHIN).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(ANSWER_WITHIN)).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Connection { stream, reader, closing: false })
    }

    pub fn ask(&mut self, ask: &Ask) -> Outcome {
        let Ask { path, key, model, id } = ask;
        let model = model.map(|model| format!("X-Pathbank-Model: {model}\r\n")).unwrap_or_default();
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Pathbank-Request-Id: {id}\r\n{model}\
             X-Pathbank-Deadline-Ms: 5000\r\nX-Pathbank-Credential: {key}\r\nContent-Length: {}\r\n\r\n{id}",
            id.len()
        );
        if self.stream.write_all(request.as_bytes()).is_err() {
            return Outcome::NotSent;
        }
        self.read_answer().unwrap_or(Outcome::Unanswered)
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        let count = self.reader.read_line(&mut line).ok()?;
        (count > 0).then(|| line.trim_end().to_ascii_lowercase())
    }

    fn read_answer(&mut self) -> Option<Outcome> {
        let status = self.read_line()?.split(' ').nth(1)?.parse().ok()?;
        let mut length = 0;
        loop {
            let line = self.read_line()?;
            match line.split_once(':') {
                Some(("content-length", value)) => length = value.trim().parse().ok()?,
                Some(("connection", value)) => self.closing |= value.trim() == "close",
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).ok()?;
        Some(Outcome::Answered { status, body: String::from_utf8(body).ok()? })
    }
}

pub struct Clients {
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn start(
        system: &System,
        seed: u64,
        count: usize,
        findings: Arc<Findings>,
        stop: Arc<AtomicBool>,
    ) -> Clients {
        let edges: Vec<SocketAddr> = system.local.edges.iter().map(|edge| edge.ingress).collect();
        let client = |number: usize| {
            let client = Client {
                number,
                random: fastrand::Rng::with_seed(seed * 1_000 + number as u64),
                findings: findings.clone(),
                asked: 0,
            };
            let (edges, stop) = (edges.clone(), stop.clone());
            std::thread::spawn(move || client.run(&edges, &stop))
        };
        Clients { threads: (0..count).map(client).collect() }
    }

    pub fn join(self) {
        self.threads.into_iter().for_each(|thread| thread.join().expect("a client ends"));
    }
}

struct Client {
    number: usize,
    random: fastrand::Rng,
    findings: Arc<Findings>,
    asked: u64,
}

/// Asks on connections to drawn edges, each of which is kept until it ends, whatever its edge goes through. `ask` returns
/// whether the connection still stands.
pub fn ask_on_kept_connections(
    edges: &[SocketAddr],
    mut random: fastrand::Rng,
    stop: &AtomicBool,
    mut ask: impl FnMut(usize, &mut Connection) -> bool,
) {
    while !stop.load(Ordering::Relaxed) {
        let edge = random.usize(..edges.len());
        let Some(mut connection) = Connection::open(edges[edge]) else {
            std::thread::sleep(PAUSE);
            continue;
        };
        while !stop.load(Ordering::Relaxed) && !connection.closing && ask(edge, &mut connection) {
            std::thread::sleep(PAUSE);
        }
    }
}

impl Client {
    fn run(mut self, edges: &[SocketAddr], stop: &AtomicBool) {
        let random = self.random.fork();
        ask_on_kept_connections(edges, random, stop, |edge, connection| self.ask(edge, connection));
    }

    /// Asks for a route. Returns whether the connection still stands.
    fn ask(&mut self, edge: usize, connection: &mut Connection) -> bool {
        self.asked += 1;
        let id = format!("c{}-{}", self.number, self.asked);
        let (version, path) = self.any_route();
        let mark = self.findings.mark(edge);
        self.findings.contact().sent(&id, edge);
        let outcome = connection.ask(&Ask::of(&path, &id));
        self.findings.note(edge, mark, &id, version, &outcome);
        matches!(outcome, Outcome::Answered { .. })
    }

    fn any_route(&mut self) -> (u64, String) {
        let confirmed = self.findings.confirmed();
        let confirmed = confirmed.lock().unwrap();
        let newest = &confirmed[confirmed.len().saturating_sub(NEWEST)..];
        match newest.is_empty() || self.random.u8(..4) == 0 {
            true => (0, "/app/x".to_owned()),
            false => {
                let change = &newest[self.random.usize(..newest.len())];
                (change.version, change.path())
            }
        }
    }
}
