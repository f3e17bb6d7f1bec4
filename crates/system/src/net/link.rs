//! A framed connection between two processes. Both sides send a ping regularly; one that hears nothing closes.

use crate::clock;
use bytes::{Bytes, BytesMut};
use pathbank_protocol::codec;
use pathbank_protocol::framing;
use pathbank_protocol::message::Frame;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
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
/// Messages are joined into one write up to this.
const JOINED_BYTES: usize = 16 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Bytes that wait for a slow reader; beyond, the link is closed. One message may be longer.
const QUEUE_BYTES: usize = 2 * 1024 * 1024;

static RECEIVED: AtomicU64 = AtomicU64::new(0);
static SENT: AtomicU64 = AtomicU64::new(0);

/// Bytes of all links of this process so far.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Read.
    pub received: u64,
    /// Written.
    pub sent: u64,
}

/// What went over this process's links so far.
pub fn traffic() -> Traffic {
    Traffic { received: RECEIVED.load(Ordering::Relaxed), sent: SENT.load(Ordering::Relaxed) }
}

/// The sending end of a link.
#[derive(Clone, Debug)]
pub struct Link {
    queue: mpsc::Sender<Bytes>,
    waiting: Arc<AtomicUsize>,
    /// The reader was too slow.
    overrun: Arc<AtomicBool>,
}

impl Link {
    /// Queues a message. `false`: the link is closed, or its reader is too slow; then it closes.
    pub fn send(&self, frame: &Frame) -> bool {
        self.send_encoded(codec::encode(frame).into())
    }

    /// Queues a message that is encoded already.
    pub fn send_encoded(&self, bytes: Bytes) -> bool {
        let length = bytes.len();
        let waiting = self.waiting.load(Ordering::Relaxed);
        let fits = waiting == 0 || waiting + length <= QUEUE_BYTES;
        if self.overrun.load(Ordering::Relaxed) || !fits || self.queue.try_send(bytes).is_err() {
            // What is lost here cannot be made good on this link: the next one begins anew.
            self.overrun.store(true, Ordering::Relaxed);
            return false;
        }
        self.waiting.fetch_add(length, Ordering::Relaxed);
        true
    }

    /// Whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// What waits to be written on a link.
#[derive(Debug)]
pub struct Outbox {
    messages: mpsc::Receiver<Bytes>,
    waiting: Arc<AtomicUsize>,
    overrun: Arc<AtomicBool>,
}

impl Outbox {
    /// What is to be written next, or a ping after a while. `None`: the link ends.
    async fn next(&mut self) -> Option<Bytes> {
        let first = match timeout(PING_EVERY, self.messages.recv()).await {
            Ok(bytes) => bytes?,
            Err(_) => return Some(codec::encode(&Frame::Ping(clock::now())).into()),
        };
        self.waiting.fetch_sub(first.len(), Ordering::Relaxed);
        if self.overrun.load(Ordering::Relaxed) {
            return None;
        }
        if first.len() >= JOINED_BYTES || self.messages.is_empty() {
            return Some(first);
        }
        // Short messages that wait go in one write.
        let mut joined = BytesMut::from(&first[..]);
        while joined.len() < JOINED_BYTES {
            let Ok(more) = self.messages.try_recv() else { break };
            self.waiting.fetch_sub(more.len(), Ordering::Relaxed);
            joined.extend_from_slice(&more);
        }
        Some(joined.freeze())
    }
}

/// The sending end of a link that is about to open, and what is to be written on it.
pub fn channel() -> (Link, Outbox) {
    let (queue, messages) = mpsc::channel(QUEUE_LENGTH);
    let (waiting, overrun) = (Arc::<AtomicUsize>::default(), Arc::<AtomicBool>::default());
    let outbox = Outbox { messages, waiting: waiting.clone(), overrun: overrun.clone() };
    (Link { queue, waiting, overrun }, outbox)
}

/// Runs a connection until it ends. `on_frame` gets each message, and answers whether the link goes on.
pub async fn run(stream: TcpStream, outbox: Outbox, mut on_frame: impl FnMut(Frame) -> bool) {
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = read_frames(reader, &mut on_frame) => {}
        () = write_frames(writer, outbox) => {}
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
        RECEIVED.fetch_add(count as u64, Ordering::Relaxed);
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

async fn write_frames(mut writer: OwnedWriteHalf, mut outbox: Outbox) {
    while let Some(bytes) = outbox.next().await {
        SENT.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if !matches!(timeout(WRITE_PATIENCE, writer.write_all(&bytes)).await, Ok(Ok(()))) {
            return;
        }
    }
}
