//! The rehearsal kit: stand-ins for what a head meets (clients, store nodes, nodes, discovery, a syslog
//! receiver), a stage that starts the real program among them, and named cases that say what must come of it.
//! All of it is on loopback, at ports from the system, and waits on events.

pub mod cases;
pub mod client;
pub mod daily_cases;
pub mod disk;
pub mod fleet;
pub mod grpc;
pub mod leaving;
pub mod peer;
pub mod stage;
pub mod storage_node;
pub mod store;
pub mod syslog;
pub mod syslog_cases;

use std::fmt;
use std::io::{self, Read, Write};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// How long anything may take before a rehearsal is called stuck. No case passes or fails by being quick.
pub const STUCK: Duration = Duration::from_secs(20);
/// How long one event is waited for while others go on coming: a program that tells of the same thing again
/// and again is as stuck as one that says nothing.
pub const STUCK_AMID_OTHERS: Duration = Duration::from_secs(60);

#[derive(Debug)]
pub enum Failure {
    Unmet(String),
    Io(io::Error),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unmet(what) => f.write_str(what),
            Failure::Io(error) => write!(f, "input or output: {error}"),
        }
    }
}

impl std::error::Error for Failure {}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Failure::Io(error)
    }
}

pub type Outcome<T = ()> = Result<T, Failure>;

pub fn check(met: bool, what: impl Into<String>) -> Outcome {
    if met { Ok(()) } else { Err(Failure::Unmet(what.into())) }
}

pub fn expect<T: PartialEq + fmt::Debug>(got: T, wanted: T, what: &str) -> Outcome {
    check(got == wanted, format!("{what}: wanted {wanted:?}, got {got:?}"))
}

/// The next event that fits; others before it are passed over. An error once nothing has come for [`STUCK`],
/// or nothing that fits for [`STUCK_AMID_OTHERS`].
pub fn wait_for<T>(events: &Receiver<T>, what: &str, fits: impl Fn(&T) -> bool) -> Outcome<T> {
    wait_within(events, what, (STUCK, STUCK_AMID_OTHERS), fits)
}

/// The same with other bounds: the longest silence, and the longest wait while other events come.
pub fn wait_within<T>(
    events: &Receiver<T>,
    what: &str,
    (silence, amid_others): (Duration, Duration),
    fits: impl Fn(&T) -> bool,
) -> Outcome<T> {
    let until = Instant::now() + amid_others;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        match events.recv_timeout(silence.min(left)) {
            Ok(event) if fits(&event) => return Ok(event),
            Ok(_) if left.is_zero() => {
                return Err(Failure::Unmet(format!("never came among other events: {what}")));
            }
            Ok(_) => {}
            Err(RecvTimeoutError::Timeout) => return Err(Failure::Unmet(format!("never came: {what}"))),
            Err(RecvTimeoutError::Disconnected) => {
                return Err(Failure::Unmet(format!("ended before: {what}")));
            }
        }
    }
}

/// One packet with its length before it; `None` at the end of the stream.
fn read_packet(stream: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut length = [0; 4];
    if stream.read(&mut length[..1])? == 0 {
        return Ok(None);
    }
    stream.read_exact(&mut length[1..])?;
    let length = u32::from_be_bytes(length) as usize;
    if length > crate::net::sftp::packet::MAX_PACKET_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "a packet is too long"));
    }
    let mut packet = vec![0; length];
    stream.read_exact(&mut packet)?;
    Ok(Some(packet))
}

fn write_packet(stream: &mut impl Write, packet: &[u8]) -> io::Result<()> {
    let mut framed = (packet.len() as u32).to_be_bytes().to_vec();
    framed.extend_from_slice(packet);
    stream.write_all(&framed)
}

/// An HTTP/1.1 message: its head and its body, by Content-Length. `None` at the end of the stream.
fn read_http(stream: &mut impl Read) -> io::Result<Option<(String, Vec<u8>)>> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return if head.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let body = read_body(stream, &head)?;
    Ok(Some((head, body)))
}

/// The body that a head tells of.
fn read_body(stream: &mut impl Read, head: &str) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(head, "transfer-encoding").is_some() {
        while read_chunk(stream, &mut body)? > 0 {}
    } else {
        let length = header(head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        body.resize(length, 0);
        stream.read_exact(&mut body)?;
    }
    Ok(body)
}

/// One chunk with its end; no trailers come behind the last one.
fn read_chunk(stream: &mut impl Read, body: &mut Vec<u8>) -> io::Result<usize> {
    let (mut line, mut byte) = (Vec::new(), [0]);
    while !line.ends_with(b"\r\n") {
        stream.read_exact(&mut byte)?;
        line.push(byte[0]);
    }
    let digits = String::from_utf8_lossy(&line);
    let length = usize::from_str_radix(digits.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let begun = body.len();
    body.resize(begun + length + 2, 0);
    stream.read_exact(&mut body[begun..])?;
    body.truncate(begun + length);
    Ok(length)
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.into_iter().find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}
