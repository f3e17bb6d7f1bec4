//! What a leader does: entries to the others, what they have saved, what is committed by that.

use super::transfer::Transfer;
use super::{Effects, Outgoing, Replica, Role};
use crate::consensus::quorum;
use crate::consensus::replication_progress::ReplicationProgress;
use crate::record::Record;
use crate::types::{Entry, Index, Member, Membership, Message, Millis, Payload, StoreId, Term};

/// Bytes of entries that one message carries at most, beyond its first entry.
const MOST_APPEND_BYTES: usize = 256 * 1024;
/// A message without an answer for so many heartbeats is sent again.
const RESEND_HEARTBEATS: Millis = 4;

/// What a leader knows of another replica.
#[derive(Clone, Debug)]
pub(super) struct Progress {
    pub(super) member: Member,
    /// How far its log is known.
    pub(super) cursor: ReplicationProgress,
    /// When the newest message that it answered was sent.
    pub(super) answered: Millis,
    /// When it last joined or answered.
    pub(super) heard: Millis,
    /// When entries that it has not answered were sent.
    pub(super) in_flight: Option<Millis>,
    /// A snapshot that is on its way to it.
    pub(super) transfer: Option<Transfer>,
}

impl Progress {
    /// Nothing is known of it yet but that it is there.
    fn new(member: Member, last: Index, now: Millis) -> Progress {
        let cursor = ReplicationProgress::after(last);
        Progress { member, cursor, answered: 0, heard: now, in_flight: None, transfer: None }
    }

    /// It answered a message of `sent_at`.
    pub(super) fn note_answer(&mut self, now: Millis, member: &Member, sent_at: Millis) {
        self.heard = now;
        self.answered = self.answered.max(sent_at);
        self.member = member.clone();
    }
}

/// A replica's answer to entries, or to the end of a snapshot.
pub(super) struct AppendReply {
    /// The replica's term.
    pub term: Term,
    /// It has what was sent.
    pub accepted: bool,
    /// All up to here is on its disk, or where to go on from.
    pub index: Index,
    /// When the message that it answers was sent.
    pub sent_at: Millis,
}

impl Replica {
    /// Every voter has its progress; what voters were are kept while they answer.
    pub(super) fn sync_progress(&mut self, now: Millis) {
        let last = self.durable.last_index();
        for member in self.membership.members().filter(|member| member.id != self.me.id) {
            self.progress.entry(member.id).or_insert_with(|| Progress::new(member.clone(), last, now));
        }
    }

    pub(super) fn lead_on(&mut self, now: Millis, effects: &mut Effects) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + self.timing.heartbeat_interval_ms;
        let patience = 2 * self.timing.election_timeout_ms;
        let heard = |id| self.progress.get(&id).is_some_and(|other: &Progress| now < other.heard + patience);
        if !self.membership.has_quorum(|id| id == self.me.id || heard(id)) {
            self.step_down(now);
            return;
        }
        let membership = &self.membership;
        self.progress.retain(|id, other| membership.contains(*id) || now < other.heard + patience);
        let ids: Vec<StoreId> = self.progress.keys().copied().collect();
        ids.into_iter().for_each(|id| self.send_append(now, id, true, effects));
    }

    /// Sends what a replica lacks, or nothing but a heartbeat.
    pub(super) fn send_append(&mut self, now: Millis, id: StoreId, heartbeat: bool, effects: &mut Effects) {
        let patience = RESEND_HEARTBEATS * self.timing.heartbeat_interval_ms;
        let Some(other) = self.progress.get_mut(&id) else { return };
        let awaits_reply = other.in_flight.is_some_and(|sent| now < sent + patience);
        if other.in_flight.is_some() && !awaits_reply {
            other.cursor.resend_after_match();
            other.in_flight = None;
        }
        let lacks = other.cursor.next_index <= self.durable.last_index();
        if !heartbeat && (awaits_reply || !lacks) {
            return;
        }
        let term = self.durable.term;
        let previous_index = other.cursor.next_index - 1;
        let Some(previous_term) = self.durable.term_at(previous_index) else {
            return self.send_snapshot_part(now, id, effects);
        };
        other.transfer = None;
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) =
            self.durable.entry(other.cursor.next_index).filter(|_| !awaits_reply && bytes < MOST_APPEND_BYTES)
        {
            bytes += entry.payload.size();
            entries.push(entry.clone());
            other.cursor.next_index += 1;
        }
        if !entries.is_empty() {
            other.in_flight = Some(now);
        }
        let commit = self.commit;
        let message = Message::Append { term, previous_index, previous_term, entries, commit, sent_at: now };
        effects.messages.push(Outgoing { to: other.member.clone(), message, after_save: false });
    }

    pub(super) fn append(&mut self, now: Millis, payload: Payload, effects: &mut Effects) -> Index {
        let index = self.durable.last_index() + 1;
        let entry = Entry { index, term: self.durable.term, payload };
        self.save(Record::Entry(entry), effects);
        self.sync_progress(now);
        let ids: Vec<StoreId> = self.progress.keys().copied().collect();
        ids.into_iter().for_each(|id| self.send_append(now, id, false, effects));
        index
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Millis,
        from: Member,
        reply: AppendReply,
        effects: &mut Effects,
    ) {
        let AppendReply { term, accepted, index, sent_at } = reply;
        if !self.answers_this_leader(now, term, effects) {
            return;
        }
        let Some(other) = self.progress.get_mut(&from.id) else {
            // A new store at a voter's address hears what is said to that voter, and so never asks to join.
            return self.on_join(now, from, effects);
        };
        other.note_answer(now, &from, sent_at);
        if accepted {
            other.cursor.on_accepted(index);
            if other.in_flight.is_some_and(|sent| sent <= sent_at) {
                other.in_flight = None;
            }
            self.advance_commit(now, effects);
        } else {
            match index < other.cursor.match_index {
                // It lacks what it had acknowledged: its disk lost it. It gets that again.
                true => other.cursor = ReplicationProgress::after(index),
                false => other.cursor.on_rejected(index + 1),
            }
            other.in_flight = None;
        }
        self.send_append(now, from.id, false, effects);
    }

    pub(super) fn on_join(&mut self, now: Millis, from: Member, effects: &mut Effects) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.durable.last_index();
        let id = from.id;
        let other = self.progress.entry(id).or_insert_with(|| Progress::new(from, last, now));
        other.heard = now;
        self.send_append(now, id, true, effects);
    }

    pub(super) fn advance_commit(&mut self, now: Millis, effects: &mut Effects) {
        let saved = |id: StoreId| match id == self.me.id {
            true => self.saved,
            false => self.progress.get(&id).map_or(0, |other| other.cursor.match_index),
        };
        let reached = self.membership.quorum_match_index(saved);
        if !quorum::may_commit(reached, self.commit, self.durable.term_at(reached), self.durable.term) {
            return;
        }
        self.commit = reached;
        self.finish_group_change(now, effects);
        let ids: Vec<StoreId> = self.progress.keys().copied().collect();
        ids.into_iter().for_each(|id| self.send_append(now, id, true, effects));
    }

    /// A committed joint group is followed by the new one alone; a leader outside the new group goes.
    pub(super) fn finish_group_change(&mut self, now: Millis, effects: &mut Effects) {
        if self.commit < self.membership_index {
            return;
        }
        if self.membership.is_joint() {
            let voters = self.membership.voters.clone();
            self.append(now, Payload::Membership(Membership::of(voters)), effects);
        } else if !self.membership.contains(self.me.id) {
            self.transfer_to_best_voter(now, effects);
            self.step_down(now);
        }
    }
}
