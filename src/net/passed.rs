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
    /// There is no such descriptor.
    NotOpen(String),
    /// It is no TCP socket.
    NoSocket(io::Error),
    /// The socket does not listen.
    NotListening,
    Elsewhere {
        at: SocketAddr,
        wanted: SocketAddr,
    },
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

/// Takes over a listening socket.
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
mod tests;
