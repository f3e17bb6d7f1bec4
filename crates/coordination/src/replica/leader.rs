//! The leader's side of replication (section 3.5): sends entries to the peers, records which of them each
//! peer has saved, and advances the commit index.

use super::peer::Peer;
use super::{Effects, Outgoing, Replica, Role};
use crate::consensus::quorum;
use crate::consensus::replication_progress::ReplicationProgress;
use crate::record::Record;
use crate::types::{Entry, Index, Member, Membership, Message, Millis, Payload, StoreId, Term};

/// A message gets no further entry once its entries have this many bytes.
const MAX_APPEND_BYTES: usize = 256 * 1024;
/// Entries without a reply are sent again after this many heartbeat intervals.
const RESEND_HEARTBEATS: Millis = 4;

/// A peer's reply to entries, or to the end of a snapshot.
pub(super) struct AppendReply {
    /// The peer's term.
    pub(super) term: Term,
    /// Whether the peer's log matched and the peer has saved the entries.
    pub(super) accepted: bool,
    /// If accepted, every entry up to this index is on the peer's disk; otherwise the index that the leader
    /// should try next.
    pub(super) index: Index,
    /// When the message that it answers was sent.
    pub(super) sent_at: Millis,
}

impl Replica {
    /// Adds each voter of the membership to the peers. Former voters stay among the peers while they answer.
    pub(super) fn add_voters_to_peers(&mut self, now: Millis) {
        let last = self.durable.last_index();
        for member in self.membership.members().filter(|member| member.id != self.me.id) {
            self.peers.entry(member.id).or_insert_with(|| Peer::new(member.clone(), last, now));
        }
    }

    /// When heartbeats are due, sends them, or steps down if no quorum of peers answers (check quorum,
    /// section 6.2).
    pub(super) fn tick_leader(&mut self, now: Millis, effects: &mut Effects) {
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now + self.timing.heartbeat_interval_ms;
        let timeout = 2 * self.timing.election_timeout_ms;
        let answers = |id| self.peers.get(&id).is_some_and(|peer: &Peer| now < peer.last_heard_at + timeout);
        if !self.membership.has_quorum(|id| id == self.me.id || answers(id)) {
            self.step_down(now);
            return;
        }
        let membership = &self.membership;
        self.peers.retain(|id, peer| membership.contains(*id) || now < peer.last_heard_at + timeout);
        self.send_to_all(now, true, effects);
    }

    fn send_to_all(&mut self, now: Millis, heartbeat: bool, effects: &mut Effects) {
        let ids: Vec<StoreId> = self.peers.keys().copied().collect();
        ids.into_iter().for_each(|id| self.send_append(now, id, heartbeat, effects));
    }

    /// Sends the entries that a peer lacks. With `heartbeat`, sends a message without entries if there are
    /// none to send.
    pub(super) fn send_append(&mut self, now: Millis, id: StoreId, heartbeat: bool, effects: &mut Effects) {
        let timeout = RESEND_HEARTBEATS * self.timing.heartbeat_interval_ms;
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let awaits_reply = peer.in_flight_since.is_some_and(|sent_at| now < sent_at + timeout);
        if peer.in_flight_since.is_some() && !awaits_reply {
            peer.progress.resend_after_match();
            peer.in_flight_since = None;
        }
        let lacks_entries = peer.progress.next_index <= self.durable.last_index();
        if !heartbeat && (awaits_reply || !lacks_entries) {
            return;
        }
        let term = self.durable.term;
        let previous_index = peer.progress.next_index - 1;
        let Some(previous_term) = self.durable.term_at(previous_index) else {
            return self.send_snapshot_chunk(now, id, effects);
        };
        peer.transfer = None;
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) =
            self.durable.entry(peer.progress.next_index).filter(|_| !awaits_reply && bytes < MAX_APPEND_BYTES)
        {
            bytes += entry.payload.size();
            entries.push(entry.clone());
            peer.progress.next_index += 1;
        }
        if !entries.is_empty() {
            peer.in_flight_since = Some(now);
        }
        let commit = self.commit_index;
        let message = Message::Append { term, previous_index, previous_term, entries, commit, sent_at: now };
        effects.messages.push(Outgoing { to: peer.member.clone(), message, after_save: false });
    }

    /// Appends an entry of this term to the log and sends it to the peers.
    pub(super) fn append(&mut self, now: Millis, payload: Payload, effects: &mut Effects) -> Index {
        let index = self.durable.last_index() + 1;
        let entry = Entry { index, term: self.durable.term, payload };
        self.save(Record::Entry(entry), effects);
        self.add_voters_to_peers(now);
        self.send_to_all(now, false, effects);
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
        if !self.is_reply_to_this_leader(now, term, effects) {
            return;
        }
        let Some(peer) = self.peers.get_mut(&from.id) else {
            // A new store at a voter's address receives that voter's messages, so it never sends `Join`.
            return self.on_join(now, from, effects);
        };
        peer.record_reply(now, &from, sent_at);
        if accepted {
            peer.progress.on_accepted(index);
            if peer.in_flight_since.is_some_and(|in_flight_since| in_flight_since <= sent_at) {
                peer.in_flight_since = None;
            }
            self.advance_commit(now, effects);
        } else {
            if index < peer.progress.match_index {
                // The peer's disk lost entries that it had acknowledged: they are sent again.
                peer.progress = ReplicationProgress::after(index);
            } else {
                peer.progress.on_rejected(index + 1);
            }
            peer.in_flight_since = None;
        }
        self.send_append(now, from.id, false, effects);
    }

    /// Handles a store's request to join: the store receives the log as a learner.
    pub(super) fn on_join(&mut self, now: Millis, from: Member, effects: &mut Effects) {
        if self.role != Role::Leader {
            return;
        }
        let last = self.durable.last_index();
        let id = from.id;
        let peer = self.peers.entry(id).or_insert_with(|| Peer::new(from, last, now));
        peer.last_heard_at = now;
        self.send_append(now, id, true, effects);
    }

    /// Commits the entries that a quorum has saved, and notifies the peers at once.
    pub(super) fn advance_commit(&mut self, now: Millis, effects: &mut Effects) {
        let match_index = |id: StoreId| match id == self.me.id {
            true => self.persisted_index,
            false => self.peers.get(&id).map_or(0, |peer| peer.progress.match_index),
        };
        let candidate = self.membership.quorum_match_index(match_index);
        let term_of_candidate = self.durable.term_at(candidate);
        if !quorum::may_commit(candidate, self.commit_index, term_of_candidate, self.durable.term) {
            return;
        }
        self.commit_index = candidate;
        self.finish_membership_change(now, effects);
        self.send_to_all(now, true, effects);
    }

    /// Once a joint membership is committed, proposes the new membership alone (section 4.3). Once that is
    /// committed, a leader that is not part of it hands over.
    fn finish_membership_change(&mut self, now: Millis, effects: &mut Effects) {
        if self.commit_index < self.membership_index {
            return;
        }
        if self.membership.is_joint() {
            let voters = self.membership.voters.clone();
            self.append(now, Payload::Membership(Membership::of(voters)), effects);
        } else if !self.membership.contains(self.me.id) {
            self.hand_over();
        }
    }
}
