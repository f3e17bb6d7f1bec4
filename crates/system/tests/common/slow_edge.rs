//! A link to a core like that of an edge on a slow network: messages wait in the sender's buffers until the
//! test reads them.

use pathbank_protocol::codec;
use pathbank_protocol::framing;
use pathbank_protocol::message::{Frame, Hello, ProcessRole, Subscription};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The size of the socket's receive buffer; the kernel accepts hardly more bytes than this before the test
/// reads them.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
const READ_BYTES: usize = 64 * 1024;

pub struct SlowEdge {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl SlowEdge {
    /// Connects and subscribes without a known configuration, and reads nothing yet.
    pub fn subscribed_to(core: SocketAddr, name: &str) -> SlowEdge {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.connect(&core.into()).unwrap();
        let mut edge = SlowEdge { stream: socket.into(), buffer: Vec::new() };
        let hello = Hello {
            role: ProcessRole::Edge,
            name: name.into(),
            zone: "z1".into(),
            incarnation: 1,
            accepts_compression: false,
            compares_states: false,
            command_format: 0,
        };
        edge.say(&Frame::Hello(hello));
        edge.say(&Frame::Subscribe(Subscription { wanted: true, known_index: 0 }));
        edge
    }

    pub fn say(&mut self, frame: &Frame) {
        let written = self.stream.write_all(&codec::encode(frame));
        written.expect("the core keeps the link of an edge that reads slowly");
    }

    /// Reads all messages until none has come for this time, or the link has ended.
    pub fn read_until_silent_for(&mut self, silence: Duration) -> Vec<Frame> {
        self.stream.set_read_timeout(Some(silence)).unwrap();
        let mut chunk = vec![0; READ_BYTES];
        let mut frames = Vec::new();
        while let Ok(count) = self.stream.read(&mut chunk) {
            if count == 0 {
                break;
            }
            self.buffer.extend_from_slice(&chunk[..count]);
            while let Ok(Some(body)) = framing::take_body(&mut self.buffer) {
                frames.push(codec::decode(&body).unwrap());
            }
        }
        frames
    }
}
