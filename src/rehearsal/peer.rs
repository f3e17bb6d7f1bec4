//! A peer of which a rehearsal has every byte: what it says, where it stops, and how its connection ends. Two events that
//! cross are forced with it, in either order.

use super::{Failure, Outcome, STUCK, read_body};
use socket2::SockRef;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// By the other side's end, in order.
    InOrder,
    /// By a reset.
    Reset,
}

/// How this peer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Going {
    /// Both ways at once.
    Closes,
    /// It says nothing more, and would still listen.
    HalfCloses,
    Resets,
}

impl Going {
    pub const ALL: [Going; 3] = [Going::Closes, Going::HalfCloses, Going::Resets];
}

pub struct Peer {
    stream: TcpStream,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Outcome<Peer> {
        stream.set_read_timeout(Some(STUCK))?;
        stream.set_nodelay(true)?;
        Ok(Peer { stream })
    }

    pub fn connect(address: SocketAddr) -> Outcome<Peer> {
        Peer::new(TcpStream::connect(address)?)
    }

    /// The next connection that comes.
    pub fn accept(listener: &TcpListener) -> Outcome<Peer> {
        Peer::new(listener.accept()?.0)
    }

    pub fn say(&mut self, bytes: impl AsRef<[u8]>) -> Outcome {
        Ok(self.stream.write_all(bytes.as_ref())?)
    }

    /// Says more and more until the other side has taken nothing for a while.
    pub fn fill(&mut self) -> Outcome {
        const QUIET: Duration = Duration::from_millis(200);
        self.stream.set_nonblocking(true)?;
        let mut last = Instant::now();
        while last.elapsed() < QUIET {
            match self.stream.write(&[b'x'; 64 * 1024]) {
                Ok(_) => last = Instant::now(),
                Err(error) if error.kind() == ErrorKind::WouldBlock => thread::sleep(QUIET / 20),
                Err(error) => return Err(error.into()),
            }
        }
        Ok(self.stream.set_nonblocking(false)?)
    }

    /// What comes up to an empty line.
    pub fn head(&mut self) -> Outcome<String> {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            self.stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        String::from_utf8(head).map_err(|_| Failure::Unmet("a head that is no text".into()))
    }

    /// Fails where the connection has been reset, by the system's word.
    pub fn whole(&self) -> Outcome {
        self.stream.take_error()?.map_or(Ok(()), |error| Err(error.into()))
    }

    /// Whether something has come that was not read yet.
    pub fn is_readable(&self) -> Outcome<bool> {
        self.stream.set_nonblocking(true)?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false)?;
        Ok(matches!(peeked, Ok(1..)))
    }

    /// The next head, on this connection or on the next one that comes.
    pub fn head_or_next(&mut self, listener: &TcpListener) -> Outcome<String> {
        listener.set_nonblocking(true)?;
        let since = Instant::now();
        while since.elapsed() < STUCK {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false)?;
                    *self = Peer::new(stream)?;
                    return self.head();
                }
                Err(_) if self.is_readable()? => return self.head(),
                Err(_) => thread::yield_now(),
            }
        }
        Err(Failure::Unmet("no further request came".into()))
    }

    /// The body that a head tells of, in whichever form.
    pub fn body(&mut self, head: &str) -> Outcome<Vec<u8>> {
        Ok(read_body(&mut self.stream, head)?)
    }

    /// So many bytes of what comes.
    pub fn take(&mut self, count: usize) -> Outcome<Vec<u8>> {
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    /// All that still comes, and how it ended.
    pub fn rest(&mut self) -> Outcome<(Vec<u8>, Ended)> {
        let mut all = Vec::new();
        match self.stream.read_to_end(&mut all) {
            Ok(_) => Ok((all, Ended::InOrder)),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => Ok((all, Ended::Reset)),
            Err(error) => Err(error.into()),
        }
    }

    /// Returns itself where it still listens.
    pub fn go(self, going: Going) -> Outcome<Option<Peer>> {
        match going {
            Going::Closes => Ok(None),
            Going::HalfCloses => {
                self.stream.shutdown(Shutdown::Write)?;
                Ok(Some(self))
            }
            Going::Resets => {
                SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
                Ok(None)
            }
        }
    }
}

/// A request of the platform's protocol, for shard 0.
pub fn request(method: &str, class: &str, id: &str, timeout_ms: u64, more: &str) -> String {
    request_of((0x3_b4d6_0021, "starter"), method, class, id, timeout_ms, more)
}

/// The same of that volume, and under that plan.
pub fn request_of(
    (volume, plan): (u64, &str),
    method: &str,
    class: &str,
    id: &str,
    timeout_ms: u64,
    more: &str,
) -> String {
    format!(
        "{method} /api/{volume:016x}/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: {class}\r\nX-Storage-Class: {plan}\r\nX-Timeout-Ms: {timeout_ms}\r\n\
         X-Extent: units=1,shard=0,hosts=1\r\n{more}\r\n"
    )
}
