//! A framed connection between two processes. Both sides send a ping regularly; one that hears nothing
//! closes.

use crate::clock;
use bytes::{Bytes, BytesMut};
use pathbank_protocol::codec;
use pathbank_protocol::framing;
use pathbank_protocol::message::Frame;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// How often a link that says nothing else sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(700);
/// A link without a byte for so long is closed.
const READ_TIMEOUT: Duration = Duration::from_millis(2_200);
/// A write of which nothing goes for so long closes the link: the other side does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Messages that wait for a slow reader; beyond, the link is closed.
const MAX_QUEUED_MESSAGES: usize = 512;
/// Messages are joined into one write up to this.
const MAX_BATCH_BYTES: usize = 16 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Bytes that wait for a slow reader; beyond, the link is closed.
const MAX_QUEUED_BYTES: u64 = 2 * 1024 * 1024;
/// What one message counts for among them at most: a long one may wait, and others behind it.
const MAX_COUNTED_BYTES: u64 = MAX_QUEUED_BYTES / 2;

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

/// How far the messages of a link are, bytes.
#[derive(Debug, Default)]
struct Progress {
    /// Of messages that wait for their turn, as counted.
    waiting: AtomicU64,
    /// From the link's beginning.
    queued: AtomicU64,
    /// From the link's beginning.
    written: AtomicU64,
}

/// A place in what a link carries: everything that was queued up to a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mark(u64);

/// The sending end of a link.
#[derive(Clone, Debug)]
pub struct Link {
    queue: mpsc::Sender<Bytes>,
    progress: Arc<Progress>,
    /// The reader was too slow, or this side ends the link.
    overrun: Arc<AtomicBool>,
}

impl Link {
    /// Queues a message. `false`: the link is closed, or its reader is too slow; then it closes.
    pub fn send(&self, frame: &Frame) -> bool {
        self.send_encoded(codec::encode(frame).into())
    }

    /// Queues a message that is encoded already.
    pub fn send_encoded(&self, bytes: Bytes) -> bool {
        let (length, counted) = (bytes.len() as u64, counted(&bytes));
        let waiting = self.progress.waiting.fetch_add(counted, Ordering::Relaxed) + counted;
        self.progress.queued.fetch_add(length, Ordering::Relaxed);
        let is_lost = self.overrun.load(Ordering::Relaxed) || waiting > MAX_QUEUED_BYTES;
        if is_lost || self.queue.try_send(bytes).is_err() {
            // What is lost here cannot be made good on this link: the next one begins anew.
            self.overrun.store(true, Ordering::Relaxed);
            return false;
        }
        true
    }

    /// All that was queued until now.
    pub fn mark(&self) -> Mark {
        Mark(self.progress.queued.load(Ordering::Relaxed))
    }

    /// Whether all up to a mark has been written.
    pub fn has_written(&self, mark: Mark) -> bool {
        self.progress.written.load(Ordering::Relaxed) >= mark.0
    }

    /// Ends the link. What waits on it is not sent.
    pub fn close(&self) {
        self.overrun.store(true, Ordering::Relaxed);
        // Wakes the writer; a full queue does so too.
        let _ = self.queue.try_send(Bytes::new());
    }

    /// Whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

fn counted(message: &Bytes) -> u64 {
    MAX_COUNTED_BYTES.min(message.len() as u64)
}

/// What waits to be written on a link.
#[derive(Debug)]
pub struct Outbox {
    messages: mpsc::Receiver<Bytes>,
    progress: Arc<Progress>,
    overrun: Arc<AtomicBool>,
}

impl Outbox {
    /// What is to be written next, or a ping after a while. `None`: the link ends.
    async fn next(&mut self) -> Option<Bytes> {
        let first = match timeout(PING_INTERVAL, self.messages.recv()).await {
            Ok(bytes) => bytes?,
            Err(_) => return Some(self.ping()),
        };
        self.progress.waiting.fetch_sub(counted(&first), Ordering::Relaxed);
        if self.overrun.load(Ordering::Relaxed) {
            return None;
        }
        if first.len() >= MAX_BATCH_BYTES || self.messages.is_empty() {
            return Some(first);
        }
        // Short messages that wait go in one write.
        let mut joined = BytesMut::from(&first[..]);
        while joined.len() < MAX_BATCH_BYTES {
            let Ok(more) = self.messages.try_recv() else { break };
            self.progress.waiting.fetch_sub(counted(&more), Ordering::Relaxed);
            joined.extend_from_slice(&more);
        }
        Some(joined.freeze())
    }

    fn ping(&self) -> Bytes {
        let ping: Bytes = codec::encode(&Frame::Ping(clock::now())).into();
        self.progress.queued.fetch_add(ping.len() as u64, Ordering::Relaxed);
        ping
    }
}

/// The sending end of a link that is about to open, and what is to be written on it.
pub fn channel() -> (Link, Outbox) {
    let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (progress, overrun) = (Arc::<Progress>::default(), Arc::<AtomicBool>::default());
    let outbox = Outbox { messages, progress: progress.clone(), overrun: overrun.clone() };
    (Link { queue, progress, overrun }, outbox)
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
        let Ok(Ok(count)) = timeout(READ_TIMEOUT, reader.read(&mut chunk)).await else { return };
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
        if !write_all(&mut writer, &bytes, &outbox.progress).await {
            return;
        }
    }
}

/// Writes a message, however long that takes while some of it goes. `false`: the link has ended, or its
/// reader stands still.
async fn write_all(writer: &mut OwnedWriteHalf, bytes: &[u8], progress: &Progress) -> bool {
    let mut rest = bytes;
    while !rest.is_empty() {
        // Patience is with each part: many readers that come back at once share a link, and a long message
        // takes its time.
        let Ok(Ok(count)) = timeout(WRITE_TIMEOUT, writer.write(rest)).await else { return false };
        if count == 0 {
            return false;
        }
        SENT.fetch_add(count as u64, Ordering::Relaxed);
        progress.written.fetch_add(count as u64, Ordering::Relaxed);
        rest = &rest[count..];
    }
    true
}
