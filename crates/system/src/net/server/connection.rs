//! The connections of a server: how many there are, what each holds, and which one gives way to a new one.

use crate::clock;
use crate::memory::share::{MemoryLease, MemoryShare, ShareExhausted};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The bytes of one read at most, so that read buffers stay short.
pub const READ_BYTES: usize = 8 * 1_024;
/// What the kernel holds unread for a connection at most; see [`crate::net::socket::RECEIVE_BUFFER_BYTES`].
const KERNEL_BYTES: usize = 32 * 1_024;
/// Buffers for reading and writing, and the connection's task.
const BUFFER_BYTES: usize = 24 * 1_024;
/// What every connection holds.
pub const CONNECTION_BYTES: usize = KERNEL_BYTES + BUFFER_BYTES;
/// The part of a head that the buffers of every connection hold.
const SHORT_HEAD_BYTES: usize = READ_BYTES;
/// A longer head grows its buffer, which at times is twice as long as what it holds.
const HEAD_GROWTH_FACTOR: usize = 2;
/// A connection on which no byte came or went for this time gives way to a new one, milliseconds.
const STALLED_AFTER_MS: u64 = 500;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// It is idle, or the head of a request arrives.
    Head = 0,
    /// The body of a request arrives.
    Body = 1,
    /// The request is complete, and its answer is not written yet.
    Serving = 2,
}

/// One connection, as far as its server and its requests share it.
#[derive(Debug)]
pub struct Connection {
    phase: AtomicU8,
    /// When a byte last came or went, milliseconds of the steady clock.
    moved_at: AtomicU64,
    /// Bytes of the head that is arriving.
    head_bytes: AtomicUsize,
    /// The length of a head for which there is a lease.
    covered_bytes: AtomicUsize,
    lease: Mutex<MemoryLease>,
    evict: Notify,
}

impl Connection {
    fn new(lease: MemoryLease) -> Connection {
        Connection {
            phase: AtomicU8::new(Phase::Head as u8),
            moved_at: AtomicU64::new(clock::now()),
            head_bytes: AtomicUsize::new(0),
            covered_bytes: AtomicUsize::new(SHORT_HEAD_BYTES),
            lease: Mutex::new(lease),
            evict: Notify::new(),
        }
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
        self.moved();
    }

    fn is_in(&self, phase: Phase) -> bool {
        self.phase.load(Ordering::Relaxed) == phase as u8
    }

    /// The head of a request is complete.
    pub(super) fn head_complete(&self) {
        self.head_bytes.store(0, Ordering::Relaxed);
        self.set_phase(Phase::Body);
    }

    /// The body of a request is complete: until it is answered, the connection does not give way.
    pub fn body_complete(&self) {
        self.set_phase(Phase::Serving);
    }

    /// The answer is written, or given up.
    pub(super) fn answered(&self) {
        self.set_phase(Phase::Head);
    }

    /// A byte came or went.
    pub(super) fn moved(&self) {
        self.moved_at.store(clock::now(), Ordering::Relaxed);
    }

    /// Records bytes that came.
    pub(super) fn received(&self, bytes: usize) {
        self.moved();
        if self.is_in(Phase::Head) {
            self.head_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }

    /// Takes the memory for the next read.
    pub(super) fn cover_next_read(&self) -> Result<(), ShareExhausted> {
        if !self.is_in(Phase::Head) {
            return Ok(());
        }
        let head = self.head_bytes.load(Ordering::Relaxed) + READ_BYTES;
        let covered = self.covered_bytes.load(Ordering::Relaxed);
        let missing = head.saturating_sub(covered);
        if missing > 0 {
            self.lease.lock().unwrap_or_else(PoisonError::into_inner).grow(missing * HEAD_GROWTH_FACTOR)?;
            self.covered_bytes.store(head, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until this connection has to give way.
    pub(super) async fn evicted(&self) {
        self.evict.notified().await;
    }
}

#[derive(Debug, Default)]
struct State {
    open: Mutex<BTreeMap<u64, Arc<Connection>>>,
    next: AtomicU64,
}

/// A server's open connections. Clones are the same table.
#[derive(Clone, Debug, Default)]
pub struct ConnectionTable(Arc<State>);

/// Keeps a connection in its table for as long as it lives.
#[derive(Debug)]
pub(super) struct ConnectionGuard {
    table: ConnectionTable,
    id: u64,
    pub(super) connection: Arc<Connection>,
}

impl ConnectionTable {
    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.open().len()
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Connection>>> {
        self.0.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection. `None`: there are `most` already, or the share is exhausted.
    pub(super) fn admit(&self, most: usize, share: &MemoryShare) -> Option<ConnectionGuard> {
        let mut open = self.open();
        if open.len() >= most {
            return None;
        }
        let connection = Arc::new(Connection::new(share.lease(CONNECTION_BYTES).ok()?));
        let id = self.0.next.fetch_add(1, Ordering::Relaxed);
        open.insert(id, connection.clone());
        drop(open);
        Some(ConnectionGuard { table: self.clone(), id, connection })
    }

    /// Has the connection end on which no byte came or went for the longest time, unless it serves a request.
    /// Returns whether there is one.
    pub(super) fn evict_stalled(&self) -> bool {
        let moved_before = clock::now().saturating_sub(STALLED_AFTER_MS);
        let mut open = self.open();
        let moved_at = |connection: &Connection| connection.moved_at.load(Ordering::Relaxed);
        let stalled = open.iter().filter(|(_, connection)| {
            !connection.is_in(Phase::Serving) && moved_at(connection) <= moved_before
        });
        let Some(id) = stalled.min_by_key(|(_, connection)| moved_at(connection)).map(|(id, _)| *id) else {
            return false;
        };
        if let Some(connection) = open.remove(&id) {
            connection.evict.notify_one();
        }
        true
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.table.open().remove(&self.id);
    }
}
