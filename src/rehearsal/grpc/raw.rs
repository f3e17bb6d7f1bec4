//! HTTP/2 by hand, frame by frame: for clients that break its bounds, and nodes that say what no library would.

use crate::rehearsal::{Outcome, STUCK};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const RESET: u8 = 3;
pub const SETTINGS: u8 = 4;
pub const PING: u8 = 6;
pub const GOAWAY: u8 = 7;
pub const WINDOW_UPDATE: u8 = 8;
pub const CONTINUATION: u8 = 9;
pub const END_STREAM: u8 = 1;
pub const ACK: u8 = 1;
pub const END_HEADERS: u8 = 4;

#[derive(Clone, Debug)]
pub struct Frame {
    pub kind: u8,
    pub flags: u8,
    pub stream: u32,
    pub payload: Vec<u8>,
}

impl Frame {
    pub fn ends_stream(&self) -> bool {
        matches!(self.kind, DATA | HEADERS) && self.flags & END_STREAM != 0
    }
}

pub struct Raw {
    pub stream: TcpStream,
}

impl Raw {
    /// A client that has said its preface and empty SETTINGS.
    pub fn connect(address: SocketAddr) -> Outcome<Raw> {
        let mut raw = Raw { stream: TcpStream::connect(address)? };
        raw.stream.set_read_timeout(Some(STUCK))?;
        raw.stream.set_write_timeout(Some(STUCK))?;
        raw.stream.set_nodelay(true)?;
        raw.stream.write_all(PREFACE)?;
        raw.send(SETTINGS, 0, 0, &[])?;
        Ok(raw)
    }

    /// A node that has read the preface and said its SETTINGS.
    pub fn accept(stream: TcpStream, most_streams: u32) -> Outcome<Raw> {
        let mut raw = Raw { stream };
        raw.stream.set_read_timeout(Some(STUCK))?;
        raw.stream.set_nodelay(true)?;
        raw.stream.read_exact(&mut [0; PREFACE.len()])?;
        raw.most_streams(most_streams)?;
        Ok(raw)
    }

    pub fn most_streams(&mut self, most: u32) -> Outcome {
        let mut setting = vec![0, 3];
        setting.extend(most.to_be_bytes());
        self.send(SETTINGS, 0, 0, &setting)
    }

    pub fn send(&mut self, kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Outcome {
        let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
        frame.extend([kind, flags]);
        frame.extend(stream.to_be_bytes());
        frame.extend(payload);
        Ok(self.stream.write_all(&frame)?)
    }

    /// `None`: the peer has closed the connection, in whatever way.
    pub fn receive(&mut self) -> Option<Frame> {
        let mut head = [0; 9];
        self.stream.read_exact(&mut head).ok()?;
        let [a, b, c, kind, flags, d, e, f, g] = head;
        let mut payload = vec![0; u32::from_be_bytes([0, a, b, c]) as usize];
        self.stream.read_exact(&mut payload).ok()?;
        Some(Frame { kind, flags, stream: u32::from_be_bytes([d, e, f, g]) & 0x7fff_ffff, payload })
    }

    /// Reads until the connection ends. Returns the code of a GOAWAY on the way.
    pub fn until_closed(&mut self) -> Option<u32> {
        let mut code = None;
        while let Some(frame) = self.receive() {
            if frame.kind == GOAWAY && frame.payload.len() >= 8 {
                code = frame.payload[4..8].try_into().ok().map(u32::from_be_bytes);
            }
        }
        code
    }

    /// A node's whole good answer: one empty message and status 0.
    pub fn answer(&mut self, stream: u32) -> Outcome {
        let headers = [&[0x88][..], &field("content-type", "application/grpc")].concat();
        self.send(HEADERS, END_HEADERS, stream, &headers)?;
        self.send(DATA, 0, stream, &[0; 5])?;
        self.send(HEADERS, END_HEADERS | END_STREAM, stream, &field("grpc-status", "0"))
    }

    /// A client's request without its body.
    pub fn ask(&mut self, stream: u32, path: &str, flags: u8) -> Outcome {
        self.send(HEADERS, flags, stream, &request(path))
    }
}

/// A header field as HPACK has it without its tables.
pub fn field(name: &str, value: &str) -> Vec<u8> {
    let mut bytes = vec![0];
    for text in [name, value] {
        bytes.push(text.len().min(126) as u8);
        bytes.extend(&text.as_bytes()[..text.len().min(126)]);
    }
    bytes
}

pub fn request(path: &str) -> Vec<u8> {
    [
        field(":method", "POST"),
        field(":scheme", "http"),
        field(":path", path),
        field("te", "trailers"),
        field("content-type", "application/grpc"),
    ]
    .concat()
}
