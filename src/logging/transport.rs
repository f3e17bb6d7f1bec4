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

const CONNECT: Duration = Duration::from_secs(2);

pub enum Connection {
    Udp(UdpSocket),
    Tcp(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

/// Lines that go out together.
#[derive(Default)]
pub struct Batch {
    bytes: Vec<u8>,
    /// Where each line ends, for transports that send each by itself.
    ends: Vec<usize>,
}

impl Batch {
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.ends.clear();
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    pub fn push(&mut self, connection: &Connection, line: &[u8]) {
        match connection {
            Connection::Udp(_) => self.bytes.extend_from_slice(line),
            _ => frame(&mut self.bytes, line),
        }
        self.ends.push(self.bytes.len());
    }
}

/// What the system may hold of what was written: with the connection all of it is in doubt.
const SEND_BUFFER: usize = 32 * 1024;

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    // A line that the system holds back is none that a collector could have taken in its moment.
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER)?;
    Ok(stream)
}

impl Connection {
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
        tokio::time::timeout(CONNECT, opening).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Whether what was written can be lost with the connection.
    pub fn is_stream(&self) -> bool {
        !matches!(self, Connection::Udp(_))
    }

    pub async fn write(&mut self, batch: &Batch) -> io::Result<()> {
        match self {
            Connection::Udp(socket) => {
                let mut start = 0;
                for end in &batch.ends {
                    // Nobody listening is told by the system with a later send: the line before is gone, as with UDP.
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

    /// Waits for the collector to end the connection. True: in order. What it says is passed over.
    pub async fn ended(&mut self) -> bool {
        let mut bytes = [0; 256];
        loop {
            let read = match self {
                Connection::Udp(_) => return std::future::pending().await,
                Connection::Tcp(stream) => stream.read(&mut bytes).await,
                Connection::Tls(stream) => stream.read(&mut bytes).await,
            };
            match read {
                Ok(0) => return self.broken().is_none(),
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    }

    /// What was written behind the collector's end was turned away: the end is still read first.
    fn broken(&self) -> Option<io::Error> {
        let stream = match self {
            Connection::Udp(_) => return None,
            Connection::Tcp(stream) => stream,
            Connection::Tls(stream) => stream.get_ref().0,
        };
        stream.take_error().unwrap_or_else(Some)
    }

    /// In order: what was written is read by a collector that is there.
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
