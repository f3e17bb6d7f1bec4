//! The operators' line: a TCP listener that answers one command per connection. It runs on a thread and a
//! runtime of its own, so that no answer waits for client requests.

use crate::event;
use crate::metrics::Metrics;
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

/// The most bytes of a line, its end included.
const MAX_LINE_BYTES: usize = 64;
/// The time within which a caller must send its line.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// The time within which a caller must take the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long bytes after the line are read once the answer is written; otherwise a reset could overtake the
/// answer.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// The core reports that it runs every 0.1 s; after this silence it is taken to decide nothing.
const CORE_SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// An operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Asks whether the proxy is ready to serve.
    Ready,
    /// Asks for the metrics.
    Stats,
    /// Starts draining.
    Drain,
    /// Stops draining.
    Undrain,
    /// Asks for the view of the fleet, or of one host.
    Fleet(Option<u16>),
}

/// Why a line is not a valid command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadLine {
    /// The line is empty.
    Empty,
    /// The line is too long.
    TooLong,
    /// The connection ended before the end of the line.
    NoEnd,
    /// The line is not valid UTF-8.
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
    /// Parses the bytes received so far; `None` if the line is not complete.
    fn read(bytes: &[u8], ended: bool) -> Option<Result<Command, BadLine>> {
        let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
            return match bytes.len() >= MAX_LINE_BYTES {
                true => Some(Err(BadLine::TooLong)),
                false => ended.then_some(Err(BadLine::NoEnd)),
            };
        };
        let Ok(line) = std::str::from_utf8(&bytes[..end]) else { return Some(Err(BadLine::NoText)) };
        // Callers end their line with LF or with CR LF.
        Some(match line.strip_suffix('\r').unwrap_or(line) {
            _ if end >= MAX_LINE_BYTES => Err(BadLine::TooLong),
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

/// The state that the commands read and change.
#[derive(Clone)]
pub struct CommandContext {
    /// The metrics.
    pub metrics: Metrics,
    /// The lifecycle.
    pub lifecycle: Lifecycle,
    /// The view of the fleet; `None` if this host keeps none, which makes `FLEET` an unknown command.
    pub fleet: Option<Fleet>,
}

impl CommandContext {
    fn answer(&self, command: Result<Command, BadLine>) -> String {
        let outcome = match command {
            Ok(Command::Stats) => return format!("{}END\n", self.metrics.text()),
            Ok(Command::Fleet(only)) => match &self.fleet {
                Some(fleet) => match fleet.text(only) {
                    Ok(text) => return text,
                    Err(reason) => Err(reason),
                },
                None => Err(BadLine::Unknown.to_string()),
            },
            Ok(Command::Ready) => self.ready().map(|()| "ready"),
            Ok(Command::Drain) => {
                self.lifecycle.drain().map(|()| "draining").map_err(|error| error.to_string())
            }
            Ok(Command::Undrain) => {
                self.lifecycle.undrain().map(|()| "serving").map_err(|error| error.to_string())
            }
            Err(bad) => Err(bad.to_string()),
        };
        match outcome {
            Ok(word) => format!("OK {word}\n"),
            Err(reason) => format!("ERR {reason}\n"),
        }
    }

    /// Checks whether a request that arrives now would be handled.
    fn ready(&self) -> Result<(), String> {
        let phase = self.lifecycle.phase();
        let faults = [
            (phase.ends, "the head is ending"),
            (!phase.up, "the head is draining"),
            (self.metrics.known_nodes() == 0, "no brick is known yet"),
            (self.metrics.silent_for(Instant::now()) > CORE_SILENCE_LIMIT, "the core does not run"),
        ];
        match faults.iter().find(|(fault, _)| *fault) {
            Some((_, reason)) => Err(reason.to_string()),
            None => Ok(()),
        }
    }
}

/// Starts the listener on a thread that serves for as long as the program runs, at most `most` callers at
/// once.
///
/// # Errors
///
/// Fails if the address cannot be bound or the thread cannot be started.
pub fn start(address: SocketAddr, most: usize, context: CommandContext) -> io::Result<SocketAddr> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // Bound here, so that a bad address ends the program. The listener is registered with the runtime on its
    // thread.
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let bound = listener.local_addr()?;
    let serving = async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => serve(listener, most, context).await,
            Err(problem) => event!(ACCEPT_FAILED, problem:%),
        }
    };
    thread::Builder::new().name("ops".to_string()).spawn(move || runtime.block_on(serving))?;
    Ok(bound)
}

async fn serve(listener: TcpListener, most: usize, context: CommandContext) {
    let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true); // a socket that rejects the option fails when it is read
                callers.retain(|caller| !caller.is_finished());
                // The oldest caller has had the most time to send its line.
                while callers.len() >= most {
                    callers.pop_front().into_iter().for_each(|caller| caller.abort());
                }
                callers.push_back(tokio::spawn(call(stream, context.clone())));
            }
            Err(problem) => {
                event!(ACCEPT_FAILED, problem:%);
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn call(mut stream: TcpStream, context: CommandContext) {
    // On any failure the caller sees its connection closed, and can call again.
    let Ok(Some(command)) = timeout(LINE_TIMEOUT, line(&mut stream)).await else { return };
    let answer = context.answer(command);
    let exchange = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await
    };
    if let Ok(Ok(())) = timeout(ANSWER_TIMEOUT, exchange).await {
        let mut rest = [0; MAX_LINE_BYTES];
        let _ =
            timeout(LINGER_TIME, async { while matches!(stream.read(&mut rest).await, Ok(1..)) {} }).await;
    }
}

/// Reads the line; `None` if the caller left without sending a byte, or a read failed.
async fn line(stream: &mut TcpStream) -> Option<Result<Command, BadLine>> {
    let (mut bytes, mut used) = ([0; MAX_LINE_BYTES], 0);
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
