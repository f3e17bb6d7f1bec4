//! Connections to collectors: UDP (RFC 5426), TCP with octet counting (RFC 6587), TLS (RFC 5425).

use crate::config::syslog::{Collector, Transport};
use crate::syslog::encode::frame;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;

/// Time limit for opening a connection, with the TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to a collector.
pub enum Connection {
    Udp(UdpSocket),
    Tcp(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

/// Lines that are written together, framed for their transport.
#[derive(Default)]
pub struct Batch {
    bytes: Vec<u8>,
    /// End offset of each line, for UDP, which sends each line as a datagram.
    ends: Vec<usize>,
}

impl Batch {
    /// Removes all lines.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.ends.clear();
    }

    /// Length of all lines with their frames, in bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the batch holds no line.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Appends a line, framed for the transport of `connection`.
    pub fn push(&mut self, connection: &Connection, line: &[u8]) {
        match connection {
            Connection::Udp(_) => self.bytes.extend_from_slice(line),
            _ => frame(&mut self.bytes, line),
        }
        self.ends.push(self.bytes.len());
    }
}

/// Bytes that the kernel may buffer. All of them may be lost when the connection breaks.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    // With Nagle's algorithm the kernel could delay a line past the wait for the collector to read it and close.
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
    Ok(stream)
}

impl Connection {
    /// Opens a connection, with the TLS handshake if the transport is TLS.
    ///
    /// # Errors
    ///
    /// Fails if the collector cannot be reached within two seconds or the handshake fails.
    pub async fn open(collector: &Collector) -> io::Result<Connection> {
        let opening = async {
            Ok(match &collector.transport {
                Transport::Udp => {
                    let any: SocketAddr = if collector.address.is_ipv4() {
                        ([0, 0, 0, 0], 0).into()
                    } else {
                        (std::net::Ipv6Addr::UNSPECIFIED, 0).into()
                    };
                    let socket = UdpSocket::bind(any).await?;
                    socket.connect(collector.address).await?;
                    Connection::Udp(socket)
                }
                Transport::Tcp => Connection::Tcp(connect(collector.address).await?),
                Transport::Tls { name, config } => {
                    let stream = connect(collector.address).await?;
                    let connector = TlsConnector::from(config.clone());
                    Connection::Tls(Box::new(connector.connect(name.clone(), stream).await?))
                }
            })
        };
        tokio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Whether the connection is a byte stream, whose written lines may be lost when it breaks.
    pub fn is_stream(&self) -> bool {
        !matches!(self, Connection::Udp(_))
    }

    /// Writes all lines of the batch.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn write(&mut self, batch: &Batch) -> io::Result<()> {
        match self {
            Connection::Udp(socket) => {
                let mut start = 0;
                for end in &batch.ends {
                    // If no collector listens, the kernel reports it on a later send; the earlier line is lost.
                    socket.send(&batch.bytes[start..*end]).await?;
                    start = *end;
                }
                Ok(())
            }
            Connection::Tcp(stream) => stream.write_all(&batch.bytes).await,
            Connection::Tls(stream) => {
                stream.write_all(&batch.bytes).await?;
                stream.flush().await
            }
        }
    }

    /// Waits for the collector to end the connection and returns whether the end was orderly. Bytes that the collector
    /// sends are discarded. Never completes for UDP.
    pub async fn ended(&mut self) -> bool {
        let mut bytes = [0; 256];
        loop {
            let read = match self {
                Connection::Udp(_) => return std::future::pending().await,
                Connection::Tcp(stream) => stream.read(&mut bytes).await,
                Connection::Tls(stream) => stream.read(&mut bytes).await,
            };
            match read {
                Ok(0) => return self.pending_error().is_none(),
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    }

    /// Takes the pending socket error. If the collector rejected bytes written after its close, the close is read first
    /// and the error is still pending.
    fn pending_error(&self) -> Option<io::Error> {
        let stream = match self {
            Connection::Udp(_) => return None,
            Connection::Tcp(stream) => stream,
            Connection::Tls(stream) => stream.get_ref().0,
        };
        stream.take_error().unwrap_or_else(Some)
    }

    /// Closes the connection and waits at most `most` for the collector to close its side. Returns whether the end was
    /// orderly, which means that a running collector has read all that was written.
    pub async fn close(mut self, most: Duration) -> bool {
        let closing = async {
            match &mut self {
                Connection::Udp(_) => return true,
                Connection::Tcp(stream) => {
                    if stream.shutdown().await.is_err() {
                        return false;
                    }
                }
                Connection::Tls(stream) => {
                    if stream.shutdown().await.is_err() {
                        return false;
                    }
                }
            }
            self.ended().await
        };
        tokio::time::timeout(most, closing).await.unwrap_or(false)
    }
}

#[cfg(test)]
mod tests;
