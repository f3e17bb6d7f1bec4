//! Clients that ask for streams all the while, and count what they got.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const READ_WITHIN: Duration = Duration::from_secs(5);
/// A client that got nothing tries other edges.
const TRIES: usize = 3;

/// What clients got.
#[derive(Debug, Default)]
struct Counts {
    asked: AtomicU64,
    served: AtomicU64,
    first_piece_ms: Mutex<Vec<u64>>,
}

/// What clients got in a span.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Requests.
    pub asked: u64,
    /// Those that got a whole stream.
    pub served: u64,
    /// The first piece was there within this for 95 in 100, milliseconds.
    pub first_piece_p95_ms: u64,
}

impl Served {
    /// The part that was served.
    pub fn part(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// Clients on threads of their own.
pub struct Merchants {
    counts: Arc<Counts>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Merchants {
    /// Starts so many clients; each asks again so long after its last answer.
    pub fn start(
        ingress: &[SocketAddr],
        clients: usize,
        pause: Duration,
        last_piece: u32,
    ) -> std::io::Result<Self> {
        let (counts, over) = (Arc::<Counts>::default(), Arc::<AtomicBool>::default());
        let mut threads = Vec::new();
        for client in 0..clients {
            let (counts, over, ingress) = (counts.clone(), over.clone(), ingress.to_vec());
            let ask_all = move || {
                let last = format!("data: piece {last_piece}\n");
                for round in 0_u64.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    ask_once(&ingress, client, round, &last, &counts);
                    std::thread::sleep(pause);
                }
            };
            threads.push(std::thread::Builder::new().name(format!("merchant-{client}")).spawn(ask_all)?);
        }
        Ok(Merchants { counts, over, threads })
    }

    /// What was got since the last call.
    pub fn take(&self) -> Served {
        let mut times = self.counts.first_piece_ms.lock().unwrap_or_else(PoisonError::into_inner);
        let mut times = std::mem::take(&mut *times);
        times.sort_unstable();
        let p95 = times.get(times.len() * 95 / 100).copied().unwrap_or(0);
        Served {
            asked: self.counts.asked.swap(0, Ordering::Relaxed),
            served: self.counts.served.swap(0, Ordering::Relaxed),
            first_piece_p95_ms: p95,
        }
    }
}

impl Drop for Merchants {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A client that panicked has been counted as not served.
            let _ = thread.join();
        }
    }
}

fn ask_once(ingress: &[SocketAddr], client: usize, round: u64, last: &str, counts: &Counts) {
    let start = Instant::now();
    let mut got = None;
    for turn in 0..TRIES {
        let head = ingress[(client + round as usize + turn) % ingress.len()];
        got = ask(head, &format!("merchant-{client}-{round}-{turn}"), last, start);
        if got.is_some() {
            break;
        }
    }
    counts.asked.fetch_add(1, Ordering::Relaxed);
    if let Some(first_piece) = got {
        counts.served.fetch_add(1, Ordering::Relaxed);
        let mut times = counts.first_piece_ms.lock().unwrap_or_else(PoisonError::into_inner);
        times.push(first_piece.as_millis() as u64);
    }
}

/// One stream. Returns when its first piece came, if it came whole.
fn ask(head: SocketAddr, id: &str, last: &str, start: Instant) -> Option<Duration> {
    let mut stream = TcpStream::connect_timeout(&head, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_WITHIN)).ok()?;
    let request = format!(
        "POST /llm/x HTTP/1.1\r\nHost: shop.example\r\nX-Pathbank-Request-Id: {id}\r\nX-Pathbank-Model: m1\r\n\
         X-Pathbank-Token-Count: 10,10\r\nX-Pathbank-Deadline-Ms: 5000\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (mut text, mut chunk) = (Vec::new(), [0; 4_096]);
    let mut first_piece = None;
    loop {
        let count = stream.read(&mut chunk).ok()?;
        if count == 0 {
            break;
        }
        text.extend_from_slice(&chunk[..count]);
        let has_piece = text.windows(6).any(|bytes| bytes == b"data: ");
        if has_piece {
            first_piece.get_or_insert_with(|| start.elapsed());
        }
    }
    let text = String::from_utf8_lossy(&text);
    first_piece.filter(|_| text.starts_with("HTTP/1.1 200") && text.contains(last))
}
