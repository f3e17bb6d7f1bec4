//! What a follower does with what its leader sends.

use super::{Effects, Outgoing, Replica, Role};
use crate::record::Record;
use crate::types::{Entry, Index, Member, Message, Millis, Term};

impl Replica {
    /// Whether `from` leads in a term that counts; then it is the leader from now on.
    pub(super) fn follow(
        &mut self,
        now: Millis,
        from: &Member,
        term: Term,
        sent_at: Millis,
        effects: &mut Effects,
    ) -> bool {
        if term < self.durable.term {
            let message =
                Message::AppendReply { term: self.durable.term, accepted: false, index: 0, sent_at };
            effects.messages.push(Outgoing { to: from.clone(), message, after_save: true });
            return false;
        }
        if term > self.durable.term {
            self.enter_term(now, term, None, effects);
        }
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.leader_heard = Some(now);
        self.wait_for_leader(now);
        true
    }

    pub(super) fn on_append(
        &mut self,
        from: Member,
        previous: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        sent_at: Millis,
        effects: &mut Effects,
    ) {
        let (previous_index, previous_term) = previous;
        self.leader_commit = self.leader_commit.max(commit);
        let covered = previous_index < self.durable.snapshot.index;
        if !covered && self.durable.term_at(previous_index) != Some(previous_term) {
            let retry_from = previous_index.saturating_sub(1).min(self.durable.last_index()).max(self.commit);
            self.reply(from, false, retry_from, sent_at, effects);
            return;
        }
        let last = previous_index + entries.len() as Index;
        let known = self.durable.log.matching_prefix(self.commit, previous_index, &entries);
        entries.into_iter().skip(known).for_each(|entry| self.save(Record::Entry(entry), effects));
        self.commit = self.commit.max(commit.min(last));
        self.reply(from, true, last, sent_at, effects);
    }

    pub(super) fn reply(
        &mut self,
        to: Member,
        accepted: bool,
        index: Index,
        sent_at: Millis,
        effects: &mut Effects,
    ) {
        let message = Message::AppendReply { term: self.durable.term, accepted, index, sent_at };
        effects.messages.push(Outgoing { to, message, after_save: true });
    }
}
