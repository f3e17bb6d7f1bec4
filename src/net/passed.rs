//! A listening socket that this process inherited: taken over by its descriptor's number, and checked to be what the
//! configuration says.
//!
//! `filedescriptor` duplicates a descriptor by number without `unsafe` of ours. What it gives is an open file of ours
//! alone; the inherited descriptor itself stays open beside it, held by nobody.

use filedescriptor::FileDescriptor;
use socket2::{SockRef, Type};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

/// What is wrong with the descriptor.
#[derive(Debug)]
pub enum Unusable {
    NotOpen(String),
    NoSocket(io::Error),
    NotListening,
    Elsewhere { at: SocketAddr, wanted: SocketAddr },
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::NotOpen(why) => write!(f, "it is not open: {why}"),
            Unusable::NoSocket(why) => write!(f, "it is no TCP socket: {why}"),
            Unusable::NotListening => write!(f, "it does not listen"),
            Unusable::Elsewhere { at, wanted } => write!(f, "it listens at {at}, not at {wanted}"),
        }
    }
}

impl std::error::Error for Unusable {}

pub fn take(descriptor: i32, wanted: SocketAddr) -> Result<TcpListener, Unusable> {
    let not_open = |error: filedescriptor::Error| Unusable::NotOpen(error.to_string());
    let file = FileDescriptor::dup(&descriptor).and_then(|ours| ours.as_file()).map_err(not_open)?;
    let listener = TcpListener::from(OwnedFd::from(file));
    let socket = SockRef::from(&listener);
    if socket.r#type().map_err(Unusable::NoSocket)? != Type::STREAM
        || !socket.is_listener().map_err(Unusable::NoSocket)?
    {
        return Err(Unusable::NotListening);
    }
    let at = listener.local_addr().map_err(Unusable::NoSocket)?;
    if at != wanted {
        return Err(Unusable::Elsewhere { at, wanted });
    }
    listener.set_nonblocking(true).map_err(Unusable::NoSocket)?;
    Ok(listener)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;

    #[test]
    fn only_a_listening_tcp_socket_at_the_right_address_is_taken() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (other, udp) = (SocketAddr::from(([127, 0, 0, 1], 1)), UdpSocket::bind("127.0.0.1:0").unwrap());
        let mut client = TcpStream::connect(address).unwrap();
        let file = std::fs::File::open("/dev/null").unwrap();
        for (descriptor, wanted, fault) in [
            (1_000_000, address, "not open"),
            (file.as_raw_fd(), address, "no TCP socket"),
            (udp.as_raw_fd(), address, "does not listen"),
            (client.as_raw_fd(), address, "does not listen"),
            (listener.as_raw_fd(), other, "not at 127.0.0.1:1"),
        ] {
            let error = take(descriptor, wanted).unwrap_err().to_string();
            assert!(error.contains(fault), "{error}");
        }
        let ours = take(listener.as_raw_fd(), address).unwrap();
        // The queue is one: what came before is there, whoever else held the socket.
        drop(listener);
        client.write_all(b"x").unwrap();
        ours.set_nonblocking(false).unwrap();
        assert_eq!(ours.accept().unwrap().1, client.local_addr().unwrap());
    }
}
