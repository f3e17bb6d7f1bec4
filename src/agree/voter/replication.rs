//! Log replication (Raft thesis, section 3.5), snapshots (section 5.3), the commit index, and the activation of edits.

use super::{MAX_TAIL_BYTES, Output, Peer, PersistentChange, Recipient, Voter};
use crate::agree::document_state::DocumentState;
use crate::agree::{Command, Entry, Index, Message, Micros, Term, VoterId, message_batch};
use pathbank_coordination::consensus::election::Role;
use pathbank_coordination::consensus::quorum::{majority_match_index, may_commit};

/// The fields of a [`Message::AppendRequest`].
pub(super) struct AppendRequest {
    pub term: Term,
    pub previous_index: Index,
    pub previous_term: Term,
    pub entries: Vec<Entry>,
    pub commit: Index,
}

/// The fields of a [`Message::AppendReply`].
pub(super) struct AppendReply {
    pub term: Term,
    pub accepted: bool,
    pub matched: Index,
    pub cleared: Index,
}

impl Voter {
    /// Whether the sender is the leader of the current term, which has at most one (section 3.4). If so, the voter
    /// follows that leader.
    pub(super) fn follow_leader(
        &mut self,
        now: Micros,
        draw: u64,
        from: VoterId,
        term: Term,
        out: &mut Output,
    ) -> bool {
        if term > self.saved.term || term == self.saved.term && self.role != Role::Follower {
            let voted = if term > self.saved.term { None } else { self.saved.voted };
            self.enter_term(now, term, voted, out);
        }
        if term < self.saved.term {
            return false;
        }
        (self.leader, self.leader_heard_at) = (Some(from), Some(now));
        self.reset_election_timer(now, draw);
        true
    }

    pub(super) fn send_append_reply(
        &self,
        now: Micros,
        to: VoterId,
        accepted: bool,
        matched: Index,
        out: &mut Output,
    ) {
        let (term, cleared) = (self.saved.term, self.cleared(now));
        out.send.push((Recipient::Voter(to), Message::AppendReply { term, accepted, matched, cleared }));
    }

    pub(super) fn become_leader(&mut self, now: Micros, out: &mut Output) {
        (self.role, self.leader, self.leader_heard_at, self.heartbeat_at) =
            (Role::Leader, Some(self.id), Some(now), now);
        self.peers.clear();
        self.caught_up = true;
        self.read_voters();
        self.append_own(Command::Noop, out);
        self.activate_cleared(now, out);
        self.append_to_all(out);
    }

    pub(super) fn append_own(&mut self, command: Command, out: &mut Output) -> Index {
        let entry = Entry { term: self.saved.term, command };
        self.save(PersistentChange::Append(self.last_index() + 1, entry), out);
        self.last_index()
    }

    pub(super) fn append_to_all(&self, out: &mut Output) {
        self.peers.keys().for_each(|other| self.append_to(*other, out));
    }

    pub(super) fn append_to(&self, to: VoterId, out: &mut Output) {
        let Some(other) = self.peers.get(&to) else { return };
        let previous_index = other.progress.next_index - 1;
        let (term, commit) = (self.saved.term, self.commit);
        let message = match self.saved.log.term_at(previous_index) {
            Some(previous_term) => {
                let entries = message_batch(self.saved.log.entries_after(previous_index).iter());
                Message::AppendRequest { term, previous_index, previous_term, entries, commit }
            }
            None => {
                let last_term = self.saved.log.term_at(commit).unwrap_or(0);
                Message::Snapshot { term, last_term, state: Box::new(self.state.clone()) }
            }
        };
        out.send.push((Recipient::Voter(to), message));
    }

    /// Appends the leader's entries and removes entries that conflict with them (section 3.5). A delayed message
    /// removes nothing. Returns the last entry that matches the leader's log.
    pub(super) fn append_entries(
        &mut self,
        previous_index: Index,
        entries: Vec<Entry>,
        out: &mut Output,
    ) -> Index {
        let matched = previous_index + entries.len() as Index;
        let known = self.saved.log.matching_prefix(self.commit, previous_index, &entries);
        for (entry, index) in entries.into_iter().zip(previous_index + 1..).skip(known) {
            if index <= self.last_index() {
                self.save(PersistentChange::Truncate(index - 1), out);
            }
            self.save(PersistentChange::Append(index, entry), out);
        }
        matched
    }

    /// The largest index that a majority of voters has reached; `own` is this voter's.
    pub(super) fn reached_by_quorum(&self, own: Index, of: impl Fn(&Peer) -> Index) -> Index {
        let each = |id: &VoterId| match self.peers.get(id) {
            Some(other) => of(other),
            None if *id == self.id => own,
            None => 0,
        };
        majority_match_index(self.voters.keys().map(each))
    }

    /// Commits entries of the leader's own term that a majority has, and with them all entries before (section 3.6.2).
    pub(super) fn advance_commit(&mut self, out: &mut Output) {
        let reached = self.reached_by_quorum(self.last_index(), |other| other.progress.match_index);
        if may_commit(reached, self.commit, self.saved.log.term_at(reached), self.saved.term) {
            self.commit_up_to(reached, out);
        }
    }

    /// Advances the commit index, and appends an activation of the edits that a majority of voters has cleared.
    pub(super) fn activate_cleared(&mut self, now: Micros, out: &mut Output) {
        if !self.is_leader() {
            return;
        }
        self.advance_commit(out);
        let cleared = self.reached_by_quorum(self.cleared(now), |other| other.cleared);
        let activated = (self.commit + 1..=self.last_index())
            .filter_map(|index| match self.saved.log.entry(index)?.command {
                Command::ActivateUpTo(to) => Some(to),
                _ => None,
            })
            .max()
            .unwrap_or(0);
        if let Some(edit) = self.state.last_pending_up_to(cleared).filter(|edit| *edit > activated) {
            self.append_own(Command::ActivateUpTo(edit), out);
            self.advance_commit(out);
            self.append_to_all(out);
        }
        // A leader that is no longer a voter steps down once its removal is committed (section 4.2.2).
        if !self.voters.contains_key(&self.id) && self.commit >= self.state.voters_at() {
            (self.role, self.leader, self.leader_heard_at) = (Role::Follower, None, None);
        }
    }

    pub(super) fn commit_up_to(&mut self, to: Index, out: &mut Output) {
        while self.commit < to {
            let Some(entry) = self.saved.log.entry(self.commit + 1) else { return };
            self.state.apply(entry);
            self.commit += 1;
        }
        self.raise_barrier(out);
        self.compact_log(out);
    }

    /// Raises the barrier to the last prepared edit: from now on a process that has not prepared for it gets no lease,
    /// also after a restart of the voter.
    pub(super) fn raise_barrier(&mut self, out: &mut Output) {
        let prepared = self.state.prepared();
        if prepared > self.saved.barrier {
            self.save(PersistentChange::Barrier(prepared), out);
        }
    }

    /// Saves a snapshot and drops old entries from memory. The database keeps the entries.
    pub(super) fn compact_log(&mut self, out: &mut Output) {
        let committed = (self.commit - self.saved.log.base().index) as usize;
        let bytes: usize = self.saved.log.entries()[..committed].iter().map(Entry::weight).sum();
        if committed <= 2 * self.times.retained_entries && bytes <= MAX_TAIL_BYTES {
            return;
        }
        let term = self.saved.log.term_at(self.commit).unwrap_or(0);
        let state = Box::new(self.state.clone());
        self.save(PersistentChange::Snapshot { state, term, replaces_after: None }, out);
        let dropped = if bytes > MAX_TAIL_BYTES {
            committed
        } else {
            committed - self.times.retained_entries.min(committed)
        };
        let base = self.saved.log.base().index + dropped as Index;
        self.saved.log.compact_to(base);
    }

    /// Handles a leader's entries or heartbeat.
    pub(super) fn step_append_request(
        &mut self,
        now: Micros,
        draw: u64,
        from: VoterId,
        AppendRequest { term, previous_index, previous_term, entries, commit }: AppendRequest,
        out: &mut Output,
    ) {
        let (mut accepted, mut matched) = (false, 0);
        if self.follow_leader(now, draw, from, term, out) {
            // Committed entries are the same on all voters, so the check also holds for an entry dropped from memory.
            accepted = previous_index <= self.commit
                || self.saved.log.term_at(previous_index) == Some(previous_term);
            if accepted {
                matched = self.append_entries(previous_index, entries, out);
                self.commit_up_to(commit.min(matched), out);
                self.caught_up |= matched >= commit;
            }
        }
        self.send_append_reply(now, from, accepted, matched, out);
    }

    /// Handles a leader's snapshot.
    pub(super) fn step_snapshot(
        &mut self,
        now: Micros,
        draw: u64,
        from: VoterId,
        (term, last_term, state): (Term, Term, Box<DocumentState>),
        out: &mut Output,
    ) {
        let (mut accepted, mut matched) = (false, 0);
        if self.follow_leader(now, draw, from, term, out) {
            (accepted, matched, self.caught_up) = (true, state.applied(), true);
            if self.saved.log.term_at(state.applied()) == Some(last_term) {
                // The snapshot is delayed: the log already has all its entries, and maybe later ones that this voter
                // has acknowledged. Installing it would remove those, possibly from the majority that commits them.
                self.commit_up_to(state.applied(), out);
            } else if state.applied() > self.commit {
                let replaces_after = Some(self.commit);
                (self.commit, self.state) = (state.applied(), (*state).clone());
                self.save(PersistentChange::Snapshot { state, term: last_term, replaces_after }, out);
                self.raise_barrier(out);
            }
        }
        self.send_append_reply(now, from, accepted, matched, out);
    }

    /// Handles a peer's answer, which reports how much of this leader's log the peer has.
    pub(super) fn step_append_reply(
        &mut self,
        now: Micros,
        from: VoterId,
        AppendReply { term, accepted, matched, cleared }: AppendReply,
        out: &mut Output,
    ) {
        if term > self.saved.term {
            self.enter_term(now, term, None, out);
            return;
        }
        if term != self.saved.term || !self.is_leader() {
            return;
        }
        let last = self.last_index();
        let Some(other) = self.peers.get_mut(&from) else { return };
        let tried = other.progress.next_index;
        other.heard_at = now;
        if accepted {
            other.progress.on_accepted(matched.min(last));
            // The next message is sent only after the last one was answered.
            other.progress.resend_after_match();
            other.cleared = cleared;
        } else {
            other.progress.on_rejected(tried / 2);
        }
        self.activate_cleared(now, out);
        // If the answer changed nothing, the next message waits for the heartbeat.
        let has_more = |other: &Peer| {
            other.progress.next_index != tried && other.progress.next_index <= self.last_index()
        };
        if self.peers.get(&from).is_some_and(has_more) {
            self.append_to(from, out);
        }
    }
}
