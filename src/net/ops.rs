//! The operators' line: one line in, one answer out, on a thread and a runtime of its own, so that an answer
//! waits for no client's request.

use crate::event;
use crate::figures::Figures;
use crate::net::fleet::Fleet;
use crate::net::lifecycle::Lifecycle;
use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::thread;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Duration, Instant, sleep, timeout};

/// A line holds this much at most, its end included.
const MOST_LINE: usize = 64;
/// A caller has so long for its line, and so long to take the answer.
const LINE_TIME: Duration = Duration::from_secs(5);
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// What comes behind the line is read for so long after the answer, or a reset could overtake it.
const LINGER: Duration = Duration::from_millis(200);
/// The core notes that it runs every 0.1 s; silent for so long, it decides nothing.
const CORE_SILENT: Duration = Duration::from_secs(1);

/// A command of operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether the proxy serves.
    Ready,
    /// The metrics.
    Stats,
    /// Begin to drain.
    Drain,
    /// Serve again.
    Undrain,
    /// The view of the fleet, or what is known of one head.
    Fleet(Option<u16>),
}

/// Why a line is no command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadLine {
    /// The line is empty.
    Empty,
    /// The line is too long.
    TooLong,
    /// The line has no end.
    NoEnd,
    /// The line is no text.
    NoText,
    /// There is no such command.
    Unknown,
}

impl fmt::Display for BadLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BadLine::Empty => "the line is empty",
            BadLine::TooLong => "the line is too long",
            BadLine::NoEnd => "the line has no end",
            BadLine::NoText => "the line is no UTF-8",
            BadLine::Unknown => "no such command; there are READY, STATS, DRAIN and UNDRAIN",
        })
    }
}

impl Command {
    /// What has come so far. `None`: the line goes on.
    fn read(bytes: &[u8], ended: bool) -> Option<Result<Command, BadLine>> {
        let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
            return match bytes.len() >= MOST_LINE {
                true => Some(Err(BadLine::TooLong)),
                false => ended.then_some(Err(BadLine::NoEnd)),
            };
        };
        let Ok(line) = std::str::from_utf8(&bytes[..end]) else { return Some(Err(BadLine::NoText)) };
        // Callers end their line with LF or with CR LF.
        Some(match line.strip_suffix('\r').unwrap_or(line) {
            _ if end >= MOST_LINE => Err(BadLine::TooLong),
            "READY" => Ok(Command::Ready),
            "STATS" => Ok(Command::Stats),
            "DRAIN" => Ok(Command::Drain),
            "UNDRAIN" => Ok(Command::Undrain),
            "FLEET" => Ok(Command::Fleet(None)),
            "" => Err(BadLine::Empty),
            line => {
                let head = line.strip_prefix("FLEET ").and_then(|head| head.parse().ok());
                head.map(|head| Command::Fleet(Some(head))).ok_or(BadLine::Unknown)
            }
        })
    }
}

/// What the line reads and what it may do.
#[derive(Clone)]
pub struct Desk {
    /// The metrics.
    pub figures: Figures,
    /// The lifecycle.
    pub lifecycle: Lifecycle,
    /// `None`: this head keeps no view, and the line knows no such command.
    pub fleet: Option<Fleet>,
}

impl Desk {
    fn answer(&self, command: Result<Command, BadLine>) -> String {
        let said = match command {
            Ok(Command::Stats) => return format!("{}END\n", self.figures.text()),
            Ok(Command::Fleet(only)) => match &self.fleet {
                Some(fleet) => match fleet.text(only) {
                    Ok(text) => return text,
                    Err(reason) => Err(reason),
                },
                None => Err(BadLine::Unknown.to_string()),
            },
            Ok(Command::Ready) => self.ready().map(|()| "ready"),
            Ok(Command::Drain) => {
                self.lifecycle.drain().map(|()| "draining").map_err(|ends| ends.to_string())
            }
            Ok(Command::Undrain) => {
                self.lifecycle.undrain().map(|()| "serving").map_err(|ends| ends.to_string())
            }
            Err(bad) => Err(bad.to_string()),
        };
        match said {
            Ok(word) => format!("OK {word}\n"),
            Err(reason) => format!("ERR {reason}\n"),
        }
    }

    /// Whether a request that came now would be decided on.
    fn ready(&self) -> Result<(), String> {
        let phase = self.lifecycle.phase();
        let faults = [
            (phase.ends, "the head is ending"),
            (!phase.up, "the head is draining"),
            (self.figures.known_nodes() == 0, "no brick is known yet"),
            (self.figures.silent_for(Instant::now()) > CORE_SILENT, "the core does not run"),
        ];
        match faults.iter().find(|(fault, _)| *fault) {
            Some((_, reason)) => Err(reason.to_string()),
            None => Ok(()),
        }
    }
}

/// Listens; the thread serves for as long as the program runs. `most` callers are there at once.
pub fn start(address: SocketAddr, most: usize, desk: Desk) -> io::Result<SocketAddr> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // Bound here, so that a bad address ends the program; on the runtime only within its own thread.
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let serving = async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => serve(listener, most, desk).await,
            Err(problem) => event!(ACCEPT_FAILED, problem:%),
        }
    };
    thread::Builder::new().name("ops".to_string()).spawn(move || runtime.block_on(serving))?;
    Ok(bound)
}

async fn serve(listener: TcpListener, most: usize, desk: Desk) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true); // one that cannot be set is broken, and tells so when it is read
                callers.retain(|caller| !caller.is_finished());
                // The oldest has had the most time to say its line.
                while callers.len() >= most {
                    callers.pop_front().into_iter().for_each(|caller| caller.abort());
                }
                callers.push_back(tokio::spawn(call(stream, desk.clone())));
            }
            Err(problem) => {
                event!(ACCEPT_FAILED, problem:%);
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn call(mut stream: TcpStream, desk: Desk) {
    // Whatever goes wrong on the way, the caller sees its connection closed, and calls again.
    let Ok(Some(command)) = timeout(LINE_TIME, line(&mut stream)).await else { return };
    let answer = desk.answer(command);
    let told = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    };
    if let Ok(Ok(())) = timeout(ANSWER_TIME, told).await {
        let mut rest = [0; MOST_LINE];
        let _ = timeout(LINGER, async { while matches!(stream.read(&mut rest).await, Ok(1..)) {} }).await;
    }
}

/// `None`: the caller has gone without a byte.
async fn line(stream: &mut TcpStream) -> Option<Result<Command, BadLine>> {
    let (mut bytes, mut used) = ([0; MOST_LINE], 0);
    loop {
        let read = stream.read(&mut bytes[used..]).await.ok()?;
        used += read;
        match Command::read(&bytes[..used], read == 0) {
            Some(_) if used == 0 => return None,
            Some(command) => return Some(command),
            None => {}
        }
    }
}

#[cfg(test)]
mod tests;
