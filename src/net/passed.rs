//! Takes over a listening socket that this process inherited, by its descriptor's number, and checks it
//! against the configuration.
//!
//! `filedescriptor` duplicates a descriptor by number without `unsafe` in this crate. This process owns the
//! duplicate; the inherited descriptor stays open beside it, without an owner.

use filedescriptor::FileDescriptor;
use socket2::{SockRef, Type};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

/// Why an inherited descriptor cannot be used.
#[derive(Debug)]
pub enum Unusable {
    /// The descriptor is not open.
    NotOpen(String),
    /// A property of the socket could not be read, as for a descriptor that is not a socket.
    NoSocket(io::Error),
    /// The socket is not a stream socket (it is a UDP socket, for example), or does not listen.
    NotListening,
    /// The socket listens at another address than the configured one.
    Elsewhere {
        /// The address at which the socket listens.
        at: SocketAddr,
        /// The configured address.
        wanted: SocketAddr,
    },
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unusable::NotOpen(why) => write!(f, "the descriptor is not open: {why}"),
            Unusable::NoSocket(why) => write!(f, "the descriptor is not a TCP socket: {why}"),
            Unusable::NotListening => write!(f, "the socket does not listen"),
            Unusable::Elsewhere { at, wanted } => write!(f, "the socket listens at {at}, not at {wanted}"),
        }
    }
}

impl std::error::Error for Unusable {}

/// Takes over the listening TCP socket `descriptor`, which must listen at `wanted`.
///
/// # Errors
///
/// Fails if the descriptor is not open, or is not a TCP socket that listens at that address.
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
