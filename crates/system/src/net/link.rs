//! A framed connection between two processes. Both sides send a ping regularly; one that hears nothing closes.

use crate::clock;
use pathbank_protocol::codec;
use pathbank_protocol::framing;
use pathbank_protocol::message::Frame;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// How often a link that says nothing else sends a ping.
const PING_EVERY: Duration = Duration::from_millis(700);
/// A link without a byte for so long is closed.
const SILENCE: Duration = Duration::from_millis(2_200);
/// A write that takes longer closes the link: the other side does not read.
const WRITE_PATIENCE: Duration = Duration::from_millis(2_500);
/// Messages that wait for a slow reader; beyond, the link is closed.
const QUEUE_LENGTH: usize = 512;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The sending end of a link.
#[derive(Clone, Debug)]
pub struct Link {
    queue: mpsc::Sender<Vec<u8>>,
}

impl Link {
    /// Queues a message. `false`: the link is closed, or its reader is too slow; then it closes.
    pub fn send(&self, frame: &Frame) -> bool {
        self.send_encoded(codec::encode(frame))
    }

    /// Queues a message that is encoded already.
    pub fn send_encoded(&self, bytes: Vec<u8>) -> bool {
        self.queue.try_send(bytes).is_ok()
    }

    /// Whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// What waits to be written on a link.
pub type Outbox = mpsc::Receiver<Vec<u8>>;

/// The sending end of a link that is about to open, and what is to be written on it.
pub fn channel() -> (Link, Outbox) {
    let (queue, messages) = mpsc::channel(QUEUE_LENGTH);
    (Link { queue }, messages)
}

/// Runs a connection until it ends. `on_frame` gets each message, and answers whether the link goes on.
pub async fn run(stream: TcpStream, messages: Outbox, mut on_frame: impl FnMut(Frame) -> bool) {
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = read_frames(reader, &mut on_frame) => {}
        () = write_frames(writer, messages) => {}
    }
}

async fn read_frames(mut reader: OwnedReadHalf, on_frame: &mut impl FnMut(Frame) -> bool) {
    let mut buffer = Vec::new();
    let mut chunk = vec![0; READ_BUFFER_BYTES];
    loop {
        let Ok(Ok(count)) = timeout(SILENCE, reader.read(&mut chunk)).await else { return };
        if count == 0 {
            return;
        }
        buffer.extend_from_slice(&chunk[..count]);
        loop {
            match framing::take_body(&mut buffer) {
                Ok(Some(body)) => match codec::decode(&body) {
                    Ok(Frame::Ping(_)) => {}
                    Ok(frame) => {
                        if !on_frame(frame) {
                            return;
                        }
                    }
                    Err(error) => tracing::warn!(%error, "message not understood"),
                },
                Ok(None) => break,
                Err(error) => return tracing::warn!(%error, "link closed"),
            }
        }
    }
}

async fn write_frames(mut writer: OwnedWriteHalf, mut messages: Outbox) {
    loop {
        let mut bytes = match timeout(PING_EVERY, messages.recv()).await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return,
            Err(_) => codec::encode(&Frame::Ping(clock::now())),
        };
        while let Ok(more) = messages.try_recv() {
            bytes.extend_from_slice(&more);
        }
        if !matches!(timeout(WRITE_PATIENCE, writer.write_all(&bytes)).await, Ok(Ok(()))) {
            return;
        }
    }
}
