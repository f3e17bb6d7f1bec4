//! Sockets whose machine loses what is sent to them, and requests read from them. The sender's kernel goes on sending what
//! is lost, whatever becomes of the sender's process.

use socket2::{SockFilter, SockRef};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;

/// From now on a socket loses segments that carry data; connections still come up. Connections that a listening socket
/// accepts do the same.
pub fn lose_data(socket: &SockRef) {
    // Compares the length of the TCP header with that of the segment.
    let filter = [
        SockFilter::new(0x30, 0, 0, 12),
        SockFilter::new(0x74, 0, 0, 4),
        SockFilter::new(0x64, 0, 0, 2),
        SockFilter::new(0x07, 0, 0, 0),
        SockFilter::new(0x80, 0, 0, 0),
        SockFilter::new(0x1d, 0, 1, 0),
        SockFilter::new(0x06, 0, 0, u32::MAX),
        SockFilter::new(0x06, 0, 0, 0),
    ];
    socket.attach_filter(&filter).expect("a filter");
}

/// From now on a socket loses nothing. Returns whether it did before.
pub fn lose_nothing(socket: &SockRef) -> bool {
    socket.detach_filter().is_ok()
}

/// A request as it arrived.
pub struct ReceivedRequest {
    pub path: String,
    /// By name, in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// The next request on a connection. `None`: the connection has ended.
pub fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = head.lines();
            let path = lines.next()?.split(' ').nth(1)?.to_owned();
            let header = |line: &str| {
                let (name, value) = line.split_once(':')?;
                Some((name.to_ascii_lowercase(), value.trim().to_owned()))
            };
            let headers: BTreeMap<String, String> = lines.filter_map(header).collect();
            let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                return Some(ReceivedRequest { path, headers, body });
            }
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// Answers a request. Returns whether the connection still stands.
pub fn write_answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) -> bool {
    let named: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let answer = format!("HTTP/1.1 {status} X\r\n{named}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(answer.as_bytes()).is_ok()
}
