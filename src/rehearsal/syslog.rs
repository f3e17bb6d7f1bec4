//! Collectors' stand-ins, one for each transport. Each is strict: a frame that is not as its specification has it, or
//! a message that is not RFC 5424, is told as an error.

use super::Outcome;
use crate::events;
use crate::syslog::Severity;
use crate::syslog::parse::parse;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// The most that a frame's length may say.
const MOST_FRAME: usize = 1_000_000;
/// Bytes in which that length and the space behind it have to come.
const MOST_LENGTH: usize = 8;

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub facility: u8,
    pub severity: Severity,
    pub app: String,
    pub id: String,
    pub sequence: u64,
    /// Parameters by the id of their element.
    pub data: BTreeMap<String, BTreeMap<String, String>>,
    pub text: String,
    pub bytes: usize,
}

impl Message {
    pub fn get(&self, name: &str) -> &str {
        self.data.values().find_map(|parameters| parameters.get(name)).map_or("", String::as_str)
    }
}

pub type Received = Result<Message, String>;

/// How a collector goes about its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    #[default]
    Good,
    /// Closes each connection after one frame.
    OneFrame,
    /// Reads this many bytes and then nothing until it is let go on.
    StopsAfter(usize),
    /// Takes so many lines a second at most.
    Slow(u64),
}

#[derive(Default)]
struct Gate {
    open: Mutex<bool>,
    changed: Condvar,
}

impl Gate {
    fn pass(&self) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        while !*open {
            open = self.changed.wait(open).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

pub struct Syslog {
    pub address: SocketAddr,
    /// Each message as it came: read, or what is wrong with it.
    pub messages: Receiver<Received>,
    gate: Arc<Gate>,
    /// Nothing new is accepted any more.
    gone: Arc<AtomicBool>,
}

impl Drop for Syslog {
    fn drop(&mut self) {
        self.gone.store(true, Ordering::Relaxed);
        self.go_on();
        // Wakes the thread that accepts, so that the port is free again.
        let _ = TcpStream::connect(self.address);
    }
}

impl Syslog {
    pub fn start() -> Outcome<Syslog> {
        Syslog::at(([127, 0, 0, 1], 0).into(), Manner::Good)
    }

    pub fn with(manner: Manner) -> Outcome<Syslog> {
        Syslog::at(([127, 0, 0, 1], 0).into(), manner)
    }

    /// At an address that was another's before.
    pub fn at(address: SocketAddr, manner: Manner) -> Outcome<Syslog> {
        let listener = TcpListener::bind(address)?;
        if matches!(manner, Manner::StopsAfter(_)) {
            // So that little fits between the head and one that does not read.
            SockRef::from(&listener).set_recv_buffer_size(8 * 1024)?;
        }
        let address = listener.local_addr()?;
        let (sender, messages) = channel();
        let (gate, gone) = (Arc::new(Gate::default()), Arc::new(AtomicBool::new(false)));
        let (passes, ends) = (gate.clone(), gone.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                let (sender, passes) = (sender.clone(), passes.clone());
                thread::spawn(move || receive(stream, &sender, manner, &passes));
            }
        });
        Ok(Syslog { address, messages, gate, gone })
    }

    /// One message a datagram.
    pub fn udp() -> Outcome<Syslog> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let (sender, messages) = channel();
        thread::spawn(move || {
            let mut bytes = vec![0; 65_536];
            while let Ok(length) = socket.recv(&mut bytes) {
                if sender.send(read(&bytes[..length])).is_err() {
                    return;
                }
            }
        });
        Ok(Syslog { address, messages, gate: Arc::default(), gone: Arc::default() })
    }

    /// Over TLS, with that certificate; clients need one that their authority has signed, where one is given.
    pub fn tls(config: Arc<rustls::ServerConfig>) -> Outcome<Syslog> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, messages) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (sender, config) = (sender.clone(), config.clone());
                thread::spawn(move || {
                    let Ok(connection) = rustls::ServerConnection::new(config) else { return };
                    frames(rustls::StreamOwned::new(connection, stream), &sender, Manner::Good);
                });
            }
        });
        Ok(Syslog { address, messages, gate: Arc::default(), gone: Arc::default() })
    }

    /// The messages, for another thread to read.
    pub fn take(&mut self) -> Receiver<Received> {
        std::mem::replace(&mut self.messages, channel().1)
    }

    /// A collector that had stopped reads on.
    pub fn go_on(&self) {
        *self.gate.open.lock().unwrap_or_else(PoisonError::into_inner) = true;
        self.gate.changed.notify_all();
    }
}

/// Reads so many bytes of a stream and then waits at the gate.
struct Stops<'a, R> {
    inner: R,
    left: usize,
    gate: &'a Gate,
}

impl<R: Read> Read for Stops<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        if self.left == 0 {
            self.gate.pass();
            return self.inner.read(buffer);
        }
        let most = self.left.min(buffer.len());
        let count = self.inner.read(&mut buffer[..most])?;
        self.left -= count;
        Ok(count)
    }
}

fn receive(stream: TcpStream, messages: &Sender<Received>, manner: Manner, gate: &Gate) {
    match manner {
        Manner::StopsAfter(left) => frames(Stops { inner: stream, left, gate }, messages, manner),
        _ => frames(stream, messages, manner),
    }
}

/// Reads frames until the connection ends or its framing is lost: by octet counting, or where the first byte is a
/// message's own, by line ends (RFC 6587, 3.4.2).
fn frames(stream: impl Read, messages: &Sender<Received>, manner: Manner) {
    let mut stream = BufReader::with_capacity(if manner == Manner::OneFrame { 1 } else { 8192 }, stream);
    if stream.fill_buf().is_ok_and(|bytes| bytes.first() == Some(&b'<')) {
        for line in stream.split(b'\n').map_while(Result::ok) {
            if messages.send(read(&line)).is_err() {
                return;
            }
        }
        return;
    }
    loop {
        let mut digits = Vec::new();
        match stream.by_ref().take(MOST_LENGTH as u64).read_until(b' ', &mut digits) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
        let number = |bytes: &[u8]| bytes.first() != Some(&b'0') && bytes.iter().all(u8::is_ascii_digit);
        if digits.len() < MOST_LENGTH && number(&digits) {
            return; // cut off inside the length, as a sender that gives its connection up may leave it
        }
        let length = digits
            .strip_suffix(b" ")
            .filter(|digits| !digits.is_empty() && number(digits))
            .and_then(|digits| std::str::from_utf8(digits).ok()?.parse::<usize>().ok())
            .filter(|length| *length <= MOST_FRAME);
        let Some(length) = length else {
            // The rehearsal may be over.
            let _ =
                messages.send(Err(format!("no frame begins with {:?}", String::from_utf8_lossy(&digits))));
            return;
        };
        let mut bytes = vec![0; length];
        if stream.read_exact(&mut bytes).is_err() {
            return; // cut off in the middle: nothing that was handed over
        }
        if messages.send(read(&bytes)).is_err() || manner == Manner::OneFrame {
            return;
        }
        if let Manner::Slow(rate) = manner {
            thread::sleep(Duration::from_micros(1_000_000 / rate));
        }
    }
}

/// A message that is as RFC 5424 has it, and, where its MSGID is the catalogue's, as the catalogue has it.
pub fn read(bytes: &[u8]) -> Received {
    let text = || String::from_utf8_lossy(bytes).into_owned();
    let message = parse(bytes).map_err(|error| format!("{error} in {}", text()))?;
    let id = message.id.unwrap_or("-");
    if let Some(entry) = events::ALL.iter().find(|entry| entry.id == id) {
        let names: Vec<&str> = message
            .element(entry.element)
            .map(|element| element.parameters.iter().map(|(name, _)| *name).filter(|n| *n != "cut").collect())
            .unwrap_or_default();
        let wanted: Vec<&str> = entry.parameters.iter().map(|(name, _)| *name).collect();
        if names != wanted || message.severity != entry.severity {
            return Err(format!("not as the catalogue has {id}: {}", text()));
        }
    } else if id != "-" {
        return Err(format!("the catalogue has no {id}: {}", text()));
    }
    let sequence = message.parameter("meta", "sequenceId").and_then(|value| value.parse().ok());
    let data = message.elements.iter().map(|element| {
        let parameters = element.parameters.iter().map(|(name, value)| (name.to_string(), value.to_string()));
        (element.id.to_string(), parameters.collect())
    });
    Ok(Message {
        facility: message.facility,
        severity: message.severity,
        app: message.app.unwrap_or("-").to_string(),
        id: id.to_string(),
        sequence: sequence.ok_or_else(|| format!("no sequenceId in {}", text()))?,
        data: data.collect(),
        text: message.text.unwrap_or_default().into_owned(),
        bytes: bytes.len(),
    })
}

#[cfg(test)]
mod tests;
