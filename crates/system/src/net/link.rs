//! A framed connection between two processes. Each side sends pings while it has no other messages, and
//! closes the connection if it receives nothing for a while.

use crate::clock;
use crate::memory::arrivals::{ArrivalGuard, BodySize};
use crate::memory::plan::LinkMemory;
use crate::memory::share::{MemoryLease, MemoryShare, ShareExhausted};
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

/// How often an otherwise idle link sends a ping.
const PING_INTERVAL: Duration = Duration::from_millis(700);
/// A link that receives no byte for this time is closed.
const READ_TIMEOUT: Duration = Duration::from_millis(2_200);
/// A write that makes no progress for this time closes the link, because the other side does not read.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The most messages that wait for a slow reader. One more closes the link.
const MAX_QUEUED_MESSAGES: usize = 512;
/// Short messages that wait are joined into one write until it has this length.
const MAX_BATCH_BYTES: usize = 16 * 1024;
/// The most bytes that one read takes from the socket.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The most bytes that wait for a slow reader. More of them close the link.
const MAX_QUEUED_BYTES: u64 = 2 * 1024 * 1024;
/// The most bytes that one message counts for in [`MAX_QUEUED_BYTES`], so that a message longer than that
/// limit, and others behind it, may still wait.
const MAX_COUNTED_BYTES: u64 = MAX_QUEUED_BYTES / 2;

/// What an idle link holds: buffers and tasks, and short messages that wait to be handled.
const LINK_BYTES: usize = 40 * 1024 + OWN_MESSAGE_BYTES;
/// Short messages of a link that may wait to be handled whatever other links hold.
const OWN_MESSAGE_BYTES: usize = 8 * 1024;
/// The longest introduction of a process.
const MAX_HELLO_BYTES: usize = 16 * 1024;
/// What a message holds until it is handled, beside its body: its event in the queue.
const MESSAGE_BYTES: usize = 1024;
/// A decoded message takes so many times its body.
const DECODED_FACTOR: usize = 2;
/// How often a link that waits for memory looks again.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(50);

static RECEIVED: AtomicU64 = AtomicU64::new(0);
static SENT: AtomicU64 = AtomicU64::new(0);

/// The bytes that all links of this process have carried so far.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Bytes read.
    pub received: u64,
    /// Bytes written.
    pub sent: u64,
}

/// Returns the bytes that all links of this process have carried so far.
pub fn traffic() -> Traffic {
    Traffic { received: RECEIVED.load(Ordering::Relaxed), sent: SENT.load(Ordering::Relaxed) }
}

/// How many bytes of a link's messages are waiting, queued and written.
#[derive(Debug, Default)]
struct Progress {
    /// Bytes of messages that are not taken for writing yet, with at most [`MAX_COUNTED_BYTES`] for each.
    waiting: AtomicU64,
    /// Bytes queued since the link opened.
    queued: AtomicU64,
    /// Bytes written since the link opened.
    written: AtomicU64,
}

/// A position in the bytes of a link, behind everything that was queued when [`Link::mark`] was called.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mark(u64);

/// The sending end of a link.
#[derive(Clone, Debug)]
pub struct Link {
    queue: mpsc::Sender<Bytes>,
    progress: Arc<Progress>,
    /// Whether the link has to end: its reader was too slow, or this side closed it.
    closing: Arc<AtomicBool>,
}

impl Link {
    /// Queues a message. Returns `false` if the link is closed, or if its reader is too slow, which closes
    /// it.
    pub fn send(&self, frame: &Frame) -> bool {
        self.send_encoded(codec::encode(frame).into())
    }

    /// Queues a message that is already encoded, like [`Link::send`].
    pub fn send_encoded(&self, bytes: Bytes) -> bool {
        let (length, counted) = (bytes.len() as u64, counted(&bytes));
        let waiting = self.progress.waiting.fetch_add(counted, Ordering::Relaxed) + counted;
        self.progress.queued.fetch_add(length, Ordering::Relaxed);
        let is_lost = self.closing.load(Ordering::Relaxed) || waiting > MAX_QUEUED_BYTES;
        if is_lost || self.queue.try_send(bytes).is_err() {
            // The other side must not miss a message and get later ones, so the link ends; the next one
            // starts anew.
            self.closing.store(true, Ordering::Relaxed);
            return false;
        }
        true
    }

    /// Returns the position behind everything that is queued so far.
    pub fn mark(&self) -> Mark {
        Mark(self.progress.queued.load(Ordering::Relaxed))
    }

    /// Whether everything up to a mark has been written.
    pub fn has_written(&self, mark: Mark) -> bool {
        self.progress.written.load(Ordering::Relaxed) >= mark.0
    }

    /// Closes the link. Messages that wait are not sent.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
        // An empty message wakes the writer. If the queue is full, the writer is awake already.
        let _ = self.queue.try_send(Bytes::new());
    }

    /// Whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// The bytes for which a message counts in [`MAX_QUEUED_BYTES`].
fn counted(message: &Bytes) -> u64 {
    MAX_COUNTED_BYTES.min(message.len() as u64)
}

/// The messages that wait to be written on a link.
#[derive(Debug)]
pub struct Outbox {
    messages: mpsc::Receiver<Bytes>,
    progress: Arc<Progress>,
    closing: Arc<AtomicBool>,
}

impl Outbox {
    /// The bytes to write next: one or more messages, or a ping if none came for a while. `None`: the link
    /// ends.
    async fn next(&mut self) -> Option<Bytes> {
        let first = match timeout(PING_INTERVAL, self.messages.recv()).await {
            Ok(bytes) => bytes?,
            Err(_) => return Some(self.ping()),
        };
        self.progress.waiting.fetch_sub(counted(&first), Ordering::Relaxed);
        if self.closing.load(Ordering::Relaxed) {
            return None;
        }
        if first.len() >= MAX_BATCH_BYTES || self.messages.is_empty() {
            return Some(first);
        }
        // Joins short messages that wait into one write.
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

/// Creates the sending end of a link that is about to open, and the messages that [`run`] writes on it.
pub fn channel() -> (Link, Outbox) {
    let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let (progress, closing) = (Arc::<Progress>::default(), Arc::<AtomicBool>::default());
    let outbox = Outbox { messages, progress: progress.clone(), closing: closing.clone() };
    (Link { queue, progress, closing }, outbox)
}

/// Runs a connection to a process that this one trusts until it ends. `on_frame` gets each message except pings, and
/// returns whether the link goes on.
pub async fn run(stream: TcpStream, outbox: Outbox, mut on_frame: impl FnMut(Frame) -> bool) {
    run_metered(stream, outbox, Inbox::trusted(), |frame, _| on_frame(frame)).await;
}

/// Like [`run`], for a connection that another process opened, with the memory for its messages. `on_frame` also gets
/// the memory of each message, which lasts until it has been handled.
pub async fn run_metered(
    stream: TcpStream,
    outbox: Outbox,
    inbox: Inbox,
    mut on_frame: impl FnMut(Frame, MemoryLease) -> bool,
) {
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = read_frames(reader, inbox, &mut on_frame) => {}
        () = write_frames(writer, outbox) => {}
    }
}

/// The memory for messages that arrive on a link.
#[derive(Debug)]
pub struct Inbox {
    /// Grows with the message that is arriving.
    lease: MemoryLease,
    /// For messages that wait to be handled.
    share: MemoryShare,
    /// The part of `lease` that is for them.
    own_messages: MemoryShare,
    /// Whether the message that is arriving gives way; `None`: the other side is trusted.
    arrival: Option<ArrivalGuard>,
    /// Bytes of the arriving message when it last moved.
    moved_bytes: usize,
    /// The longest first message, bytes, of a link whose other side has to introduce itself.
    introduction_bytes: Option<usize>,
}

impl Inbox {
    /// The memory for a link that another process opened, whose first message introduces it.
    ///
    /// # Errors
    ///
    /// The share is exhausted.
    pub fn accepted(memory: &LinkMemory) -> Result<Inbox, ShareExhausted> {
        Ok(Inbox {
            lease: memory.share.lease(LINK_BYTES)?,
            share: memory.share.clone(),
            own_messages: MemoryShare::new("link", OWN_MESSAGE_BYTES),
            arrival: Some(memory.arrivals.begin()),
            moved_bytes: 0,
            introduction_bytes: Some(MAX_HELLO_BYTES),
        })
    }

    /// The memory for a link to a process that this one trusts.
    fn trusted() -> Inbox {
        let share = MemoryShare::new("trusted_links", usize::MAX);
        Inbox {
            lease: share.empty_lease(),
            own_messages: share.clone(),
            share,
            arrival: None,
            moved_bytes: 0,
            introduction_bytes: None,
        }
    }

    /// Takes the memory to read on behind so many bytes that arrived and are not decoded.
    async fn cover(&mut self, arrived: usize) -> Result<(), ShareExhausted> {
        let missing = (arrived + READ_BUFFER_BYTES).saturating_sub(self.lease.bytes());
        if missing > 0 {
            let more = self.take(missing).await?;
            self.lease.merge(more);
        }
        // A byte now and then is no movement; fewer bytes are left where a message was taken.
        let has_moved = arrived < self.moved_bytes || arrived >= self.moved_bytes + READ_BUFFER_BYTES;
        if has_moved && let Some(arrival) = &self.arrival {
            arrival.moved(BodySize::Large);
            self.moved_bytes = arrived;
        }
        Ok(())
    }

    /// Takes memory. Messages of other links that do not move give way; waits for the rest as long as the other side
    /// may be silent.
    async fn take(&self, bytes: usize) -> Result<MemoryLease, ShareExhausted> {
        let end = tokio::time::Instant::now() + READ_TIMEOUT;
        loop {
            if let Ok(lease) = self.share.lease(bytes) {
                return Ok(lease);
            }
            let has_room = match &self.arrival {
                Some(arrival) => arrival.make_room(BodySize::Large, &self.share, bytes).await,
                None => false,
            };
            if !has_room {
                if tokio::time::Instant::now() >= end {
                    self.share.count_refusal();
                    return Err(ShareExhausted);
                }
                tokio::time::sleep(MEMORY_POLL_INTERVAL).await;
            }
        }
    }

    /// Takes the memory for a message that has arrived, until it has been handled.
    async fn take_message(&mut self, body_bytes: usize) -> Result<MemoryLease, ShareExhausted> {
        if body_bytes > READ_BUFFER_BYTES {
            // It keeps what it took while it arrived; another message takes its own.
            let missing = (LINK_BYTES + body_bytes).saturating_sub(self.lease.bytes());
            let more = self.take(missing).await?;
            self.lease.merge(more);
            return Ok(self.lease.split(body_bytes));
        }
        let bytes = MESSAGE_BYTES + DECODED_FACTOR * body_bytes;
        match self.own_messages.lease(bytes) {
            Ok(lease) => Ok(lease),
            Err(ShareExhausted) => self.take(bytes).await,
        }
    }

    /// No part of a message is held any more.
    fn message_taken(&mut self) {
        self.lease.shrink(LINK_BYTES);
        self.moved_bytes = 0;
        if let Some(arrival) = &self.arrival {
            arrival.gave_back(BodySize::Large);
        }
    }

    /// Waits until the message that is arriving has to give way.
    async fn evicted(&self) {
        match &self.arrival {
            Some(arrival) => arrival.evicted().await,
            None => std::future::pending().await,
        }
    }
}

/// The length that the next message announces, once its first bytes are there.
fn announced(buffer: &[u8]) -> Option<usize> {
    let length = buffer.get(..framing::LENGTH_BYTES)?;
    Some(u32::from_le_bytes(length.try_into().ok()?) as usize)
}

async fn read_frames(
    mut reader: OwnedReadHalf,
    mut inbox: Inbox,
    on_frame: &mut impl FnMut(Frame, MemoryLease) -> bool,
) {
    let mut buffer = Vec::new();
    let mut chunk = vec![0; READ_BUFFER_BYTES];
    let opened = tokio::time::Instant::now();
    let mut introduction_bytes = inbox.introduction_bytes;
    loop {
        if inbox.cover(buffer.len()).await.is_err() {
            return tracing::warn!("link closed: the memory for messages is exhausted");
        }
        let read = tokio::select! {
            read = timeout(READ_TIMEOUT, reader.read(&mut chunk)) => read,
            () = inbox.evicted() => return tracing::warn!("link closed: its message stalled while memory was short"),
        };
        let Ok(Ok(count)) = read else { return };
        if count == 0 {
            return;
        }
        RECEIVED.fetch_add(count as u64, Ordering::Relaxed);
        buffer.extend_from_slice(&chunk[..count]);
        if let Some(most) = introduction_bytes {
            let is_long = announced(&buffer).is_some_and(|length| length > most);
            if is_long || opened.elapsed() > READ_TIMEOUT {
                return tracing::debug!("link closed: the other side does not introduce itself");
            }
        }
        loop {
            match framing::take_body(&mut buffer) {
                Ok(Some(body)) => {
                    let Ok(lease) = inbox.take_message(body.len()).await else {
                        return tracing::warn!("link closed: the memory for messages is exhausted");
                    };
                    match codec::decode(&body) {
                        Ok(Frame::Ping(_)) => {}
                        Ok(frame) => {
                            introduction_bytes = None;
                            if !on_frame(frame, lease) {
                                return;
                            }
                        }
                        Err(error) => {
                            tracing::warn!(%error, "message from another process cannot be decoded")
                        }
                    }
                }
                Ok(None) => break,
                Err(error) => return tracing::warn!(%error, "link closed: invalid framing"),
            }
        }
        if buffer.is_empty() && buffer.capacity() > LINK_BYTES {
            buffer = Vec::new();
            inbox.message_taken();
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

/// Writes bytes for as long as the write makes progress. Returns `false` if the link has ended or its reader
/// stalls.
async fn write_all(writer: &mut OwnedWriteHalf, bytes: &[u8], progress: &Progress) -> bool {
    let mut rest = bytes;
    while !rest.is_empty() {
        // The timeout is for each part of the bytes, not for all of them: when many readers come back at once
        // and share the network, a long message takes long.
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
