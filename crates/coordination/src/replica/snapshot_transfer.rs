//! Transfer of snapshots to followers (section 5.3): a snapshot is encoded once and sent chunk by chunk; an
//! interrupted transfer resumes after the last acknowledged chunk.

use super::{Effects, Outgoing, Replica, Role};
use crate::record::Record;
use crate::types::{Member, Message, Millis, Snapshot, SnapshotChunk, SnapshotId, StoreId, Term};
use std::sync::Arc;

/// The bytes of one chunk. On a link of 10 Mbit/s a heartbeat behind a chunk waits for 0.1 s, well within the
/// election timeout.
pub const SNAPSHOT_CHUNK_BYTES: usize = 128 * 1024;

/// An encoded snapshot that a leader sends.
#[derive(Clone, Debug)]
pub(super) struct EncodedSnapshot {
    id: SnapshotId,
    bytes: Arc<[u8]>,
}

impl EncodedSnapshot {
    #[expect(
        clippy::expect_used,
        reason = "a snapshot has no sequence of unknown length, postcard's only error here"
    )]
    fn new(snapshot: &Snapshot) -> EncodedSnapshot {
        let bytes: Arc<[u8]> =
            postcard::to_allocvec(snapshot).expect("a snapshot has no sequence of unknown length").into();
        let checksum = crc32fast::hash(&bytes);
        EncodedSnapshot {
            id: SnapshotId { index: snapshot.index, length: bytes.len() as u64, checksum },
            bytes,
        }
    }

    fn chunk(&self, offset: u64) -> Vec<u8> {
        let start = (offset as usize).min(self.bytes.len());
        let end = (start + SNAPSHOT_CHUNK_BYTES).min(self.bytes.len());
        self.bytes[start..end].to_vec()
    }
}

/// The leader's record of a transfer: how much of the snapshot the follower has.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    id: SnapshotId,
    /// How many bytes the follower has acknowledged, from the start without gaps.
    received: u64,
    /// When the chunk after those bytes was sent; `None` if it has not been sent yet.
    chunk_sent_at: Option<Millis>,
}

/// The bytes of a snapshot that a follower has received so far, from the start without gaps.
#[derive(Debug)]
pub(super) struct PartialSnapshot {
    id: SnapshotId,
    bytes: Vec<u8>,
}

impl PartialSnapshot {
    /// Appends the chunk if it is the next one; ignores it otherwise.
    fn add(&mut self, chunk: &SnapshotChunk) {
        let fits = self.bytes.len() + chunk.bytes.len() <= self.id.length as usize;
        if chunk.offset == self.bytes.len() as u64 && fits {
            self.bytes.extend_from_slice(&chunk.bytes);
        }
    }

    fn is_complete(&self) -> bool {
        self.bytes.len() as u64 == self.id.length
    }

    fn decode(&self) -> Option<Snapshot> {
        let is_intact = crc32fast::hash(&self.bytes) == self.id.checksum;
        let snapshot: Snapshot = is_intact.then(|| postcard::from_bytes(&self.bytes).ok())??;
        (snapshot.index == self.id.index).then_some(snapshot)
    }
}

/// A follower's reply to a chunk.
pub(super) struct SnapshotReply {
    pub(super) term: Term,
    /// The last entry that the snapshot covers.
    pub(super) index: u64,
    /// How many bytes the follower has, from the start without gaps.
    pub(super) received: u64,
    /// When the leader sent the chunk, by the leader's clock.
    pub(super) sent_at: Millis,
}

// ---- the leader's side ----

impl Replica {
    /// Whether this leader is sending a snapshot to a store that still answers. A newer snapshot would
    /// restart that transfer.
    pub fn is_sending_snapshot(&self, now: Millis) -> bool {
        let timeout = 2 * self.timing.election_timeout_ms;
        self.peers.values().any(|peer| peer.transfer.is_some() && now < peer.last_heard_at + timeout)
    }

    /// The newest snapshot, encoded once for all stores that need it.
    fn encoded_snapshot(&mut self) -> EncodedSnapshot {
        let is_newest = |encoded: &EncodedSnapshot| encoded.id.index == self.durable.snapshot.index;
        match self.encoded_snapshot.clone().filter(is_newest) {
            Some(encoded) => encoded,
            None => {
                let encoded = EncodedSnapshot::new(&self.durable.snapshot);
                self.encoded_snapshot = Some(encoded.clone());
                encoded
            }
        }
    }

    /// Sends the next chunk of the snapshot, or a heartbeat without bytes while a chunk is in flight.
    pub(super) fn send_snapshot_chunk(&mut self, now: Millis, to: StoreId, effects: &mut Effects) {
        let encoded = self.encoded_snapshot();
        let term = self.durable.term;
        let Some(peer) = self.peers.get_mut(&to) else { return };
        let fresh = Transfer { id: encoded.id, received: 0, chunk_sent_at: None };
        let transfer = match &mut peer.transfer {
            Some(transfer) if transfer.id == encoded.id => transfer,
            outdated => outdated.insert(fresh),
        };
        let offset = transfer.received;
        let bytes = match transfer.chunk_sent_at {
            Some(_) => Vec::new(),
            None => encoded.chunk(offset),
        };
        transfer.chunk_sent_at.get_or_insert(now);
        let chunk = SnapshotChunk { term, id: encoded.id, offset, bytes, sent_at: now };
        let message = Message::SnapshotChunk(chunk);
        effects.messages.push(Outgoing { to: peer.member.clone(), message, after_save: false });
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        now: Millis,
        from: &Member,
        reply: SnapshotReply,
        effects: &mut Effects,
    ) {
        let SnapshotReply { term, index, received, sent_at } = reply;
        if !self.is_reply_to_this_leader(now, term, effects) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&from.id) else {
            return self.on_join(now, from.clone(), effects);
        };
        peer.record_reply(now, from, sent_at);
        let Some(transfer) = peer.transfer.as_mut().filter(|transfer| transfer.id.index == index) else {
            return;
        };
        // Messages keep their order on a link: a reply to a later heartbeat shows that the chunk was lost.
        let is_chunk_lost = transfer.chunk_sent_at.is_some_and(|chunk_sent_at| sent_at > chunk_sent_at);
        if received != transfer.received || is_chunk_lost {
            transfer.received = received;
            transfer.chunk_sent_at = None;
            self.send_snapshot_chunk(now, from.id, effects);
        }
    }

    /// Whether this replica still leads in the term of a reply. A reply of a later term makes it step down.
    pub(super) fn is_reply_to_this_leader(&mut self, now: Millis, term: Term, effects: &mut Effects) -> bool {
        if term > self.durable.term {
            self.enter_term(now, term, None, effects);
            return false;
        }
        self.role == Role::Leader && term == self.durable.term
    }
}

// ---- the follower's side ----

impl Replica {
    pub(super) fn on_snapshot_chunk(
        &mut self,
        now: Millis,
        from: Member,
        chunk: SnapshotChunk,
        effects: &mut Effects,
    ) {
        if !self.follow(now, &from, chunk.term, chunk.sent_at, effects) {
            return;
        }
        let SnapshotId { index, .. } = chunk.id;
        if index <= self.commit_index {
            self.partial_snapshot = None;
            self.reply_to_append(from, true, index, chunk.sent_at, effects);
            return;
        }
        let started = self.partial_snapshot.take().filter(|partial| partial.id == chunk.id);
        let mut partial = started.unwrap_or(PartialSnapshot { id: chunk.id, bytes: Vec::new() });
        partial.add(&chunk);
        if partial.is_complete() {
            match partial.decode() {
                Some(snapshot) => return self.install(from, snapshot, chunk.sent_at, effects),
                None => partial.bytes.clear(),
            }
        }
        let received = partial.bytes.len() as u64;
        self.partial_snapshot = Some(partial);
        let message =
            Message::SnapshotReply { term: self.durable.term, index, received, sent_at: chunk.sent_at };
        effects.messages.push(Outgoing { to: from, message, after_save: true });
    }

    /// Replaces the entries that a snapshot covers by the snapshot. Keeps the entries after it if the log
    /// agrees with the snapshot: this replica may have acknowledged them.
    fn install(&mut self, from: Member, snapshot: Snapshot, sent_at: Millis, effects: &mut Effects) {
        let index = snapshot.index;
        let keep_tail = self.durable.term_at(index) == Some(snapshot.term);
        self.commit_index = index;
        self.applied_index = index;
        effects.install = Some(snapshot.clone());
        self.save(Record::Snapshot { snapshot, keep_tail }, effects);
        self.reply_to_append(from, true, index, sent_at, effects);
    }
}
