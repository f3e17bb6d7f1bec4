//! Snapshots on their way to a follower: encoded once, sent in parts one after the other, resumed where they
//! broke off.

use super::{Effects, Outgoing, Replica, Role};
use crate::record::Record;
use crate::types::{Member, Message, Millis, Snapshot, SnapshotChunk, SnapshotId, StoreId, Term};
use std::sync::Arc;

/// Bytes of one part: on a link of 10 Mbit/s a heartbeat behind it waits 0.1 s, well within an election's
/// wait.
pub const SNAPSHOT_CHUNK_BYTES: usize = 128 * 1024;

/// An encoded snapshot that a leader sends.
#[derive(Clone, Debug)]
pub(super) struct EncodedSnapshot {
    id: SnapshotId,
    bytes: Arc<[u8]>,
}

impl EncodedSnapshot {
    fn new(snapshot: &Snapshot) -> EncodedSnapshot {
        let bytes: Arc<[u8]> =
            postcard::to_allocvec(snapshot).expect("a snapshot has no unknown lengths").into();
        let checksum = crc32fast::hash(&bytes);
        EncodedSnapshot {
            id: SnapshotId { index: snapshot.index, length: bytes.len() as u64, checksum },
            bytes,
        }
    }

    fn part(&self, offset: u64) -> Vec<u8> {
        let start = (offset as usize).min(self.bytes.len());
        let end = (start + SNAPSHOT_CHUNK_BYTES).min(self.bytes.len());
        self.bytes[start..end].to_vec()
    }
}

/// How far a follower has a snapshot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    id: SnapshotId,
    /// Bytes that the follower said it has.
    received: u64,
    /// When the part behind them was sent.
    part_sent: Option<Millis>,
}

/// A snapshot of which a follower has the first bytes.
#[derive(Debug)]
pub(super) struct PartialSnapshot {
    id: SnapshotId,
    bytes: Vec<u8>,
}

impl PartialSnapshot {
    /// Takes the bytes that come next; others are left out.
    fn take(&mut self, part: &SnapshotChunk) {
        let fits = self.bytes.len() + part.bytes.len() <= self.id.length as usize;
        if part.offset == self.bytes.len() as u64 && fits {
            self.bytes.extend_from_slice(&part.bytes);
        }
    }

    fn is_whole(&self) -> bool {
        self.bytes.len() as u64 == self.id.length
    }

    fn decode(&self) -> Option<Snapshot> {
        let intact = crc32fast::hash(&self.bytes) == self.id.checksum;
        let snapshot: Snapshot = intact.then(|| postcard::from_bytes(&self.bytes).ok())??;
        (snapshot.index == self.id.index).then_some(snapshot)
    }
}

// ---- the leader's side ----

impl Replica {
    /// Whether a store that still answers is being sent a snapshot. A newer one would make it begin again.
    pub fn is_sending_snapshot(&self, now: Millis) -> bool {
        let answers = |heard: Millis| now < heard + 2 * self.timing.election_timeout_ms;
        self.progress.values().any(|other| other.transfer.is_some() && answers(other.heard))
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

    /// Sends the next part of the snapshot, or only a heartbeat while one is on its way.
    pub(super) fn send_snapshot_part(&mut self, now: Millis, to: StoreId, effects: &mut Effects) {
        let encoded = self.encoded_snapshot();
        let term = self.durable.term;
        let Some(other) = self.progress.get_mut(&to) else { return };
        let fresh = Transfer { id: encoded.id, received: 0, part_sent: None };
        let transfer = match &mut other.transfer {
            Some(transfer) if transfer.id == encoded.id => transfer,
            outdated => outdated.insert(fresh),
        };
        let offset = transfer.received;
        let bytes = match transfer.part_sent {
            Some(_) => Vec::new(),
            None => encoded.part(offset),
        };
        transfer.part_sent.get_or_insert(now);
        let part = SnapshotChunk { term, id: encoded.id, offset, bytes, sent_at: now };
        let message = Message::SnapshotChunk(part);
        effects.messages.push(Outgoing { to: other.member.clone(), message, after_save: false });
    }

    /// A follower told how much it has.
    pub(super) fn on_snapshot_reply(
        &mut self,
        now: Millis,
        from: &Member,
        reply: (Term, u64, u64, Millis),
        effects: &mut Effects,
    ) {
        let (term, index, received, sent_at) = reply;
        if !self.answers_this_leader(now, term, effects) {
            return;
        }
        let Some(other) = self.progress.get_mut(&from.id) else {
            return self.on_join(now, from.clone(), effects);
        };
        other.note_answer(now, from, sent_at);
        let Some(transfer) = other.transfer.as_mut().filter(|transfer| transfer.id.index == index) else {
            return;
        };
        // Messages keep their order on a link: whoever answers a later heartbeat without the part has lost
        // it.
        let part_lost = transfer.part_sent.is_some_and(|sent| sent_at > sent);
        if received != transfer.received || part_lost {
            transfer.received = received;
            transfer.part_sent = None;
            self.send_snapshot_part(now, from.id, effects);
        }
    }
}

// ---- the follower's side ----

impl Replica {
    pub(super) fn on_snapshot_part(
        &mut self,
        now: Millis,
        from: Member,
        part: SnapshotChunk,
        effects: &mut Effects,
    ) {
        if !self.follow(now, &from, part.term, part.sent_at, effects) {
            return;
        }
        let SnapshotId { index, .. } = part.id;
        if index <= self.commit {
            self.partial_snapshot = None;
            self.reply(from, true, index, part.sent_at, effects);
            return;
        }
        let known = self.partial_snapshot.take().filter(|known| known.id == part.id);
        let mut partial = known.unwrap_or(PartialSnapshot { id: part.id, bytes: Vec::new() });
        partial.take(&part);
        if partial.is_whole() {
            match partial.decode() {
                Some(snapshot) => return self.install(from, snapshot, part.sent_at, effects),
                None => partial.bytes.clear(),
            }
        }
        let received = partial.bytes.len() as u64;
        self.partial_snapshot = Some(partial);
        let message =
            Message::SnapshotReply { term: self.durable.term, index, received, sent_at: part.sent_at };
        effects.messages.push(Outgoing { to: from, message, after_save: true });
    }

    /// Puts a snapshot in the place of the entries that it covers. Entries behind it that follow on it stay:
    /// this replica may have acknowledged them.
    fn install(&mut self, from: Member, snapshot: Snapshot, sent_at: Millis, effects: &mut Effects) {
        let index = snapshot.index;
        let keep_tail = self.durable.term_at(index) == Some(snapshot.term);
        self.commit = index;
        self.applied = index;
        effects.install = Some(snapshot.clone());
        self.save(Record::Snapshot { snapshot, keep_tail }, effects);
        self.reply(from, true, index, sent_at, effects);
    }

    /// Whether an answer is for the present lead of this replica. One of a later term ends it.
    pub(super) fn answers_this_leader(&mut self, now: Millis, term: Term, effects: &mut Effects) -> bool {
        if term > self.durable.term {
            self.enter_term(now, term, None, effects);
            return false;
        }
        self.role == Role::Leader && term == self.durable.term
    }
}
