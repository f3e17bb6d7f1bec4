//! The follower's side of replication (section 3.5).

use super::{Effects, Outgoing, Replica, Role};
use crate::record::Record;
use crate::types::{Entry, Index, Member, Message, Millis, Term};

/// A leader's entries, or none as its heartbeat.
pub(super) struct AppendEntries {
    /// The entry before the first one here, and its term.
    pub(super) previous_index: Index,
    pub(super) previous_term: Term,
    pub(super) entries: Vec<Entry>,
    /// The leader's commit index.
    pub(super) commit: Index,
    /// When the leader sent it, by the leader's clock.
    pub(super) sent_at: Millis,
}

impl Replica {
    /// Accepts the sender as leader unless its term is over. Returns whether it was accepted.
    pub(super) fn follow(
        &mut self,
        now: Millis,
        from: &Member,
        term: Term,
        sent_at: Millis,
        effects: &mut Effects,
    ) -> bool {
        if term < self.durable.term {
            self.reply_to_append(from.clone(), false, 0, sent_at, effects);
            return false;
        }
        if term > self.durable.term {
            self.enter_term(now, term, None, effects);
        }
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.leader_heard_at = Some(now);
        self.reset_election_timer(now);
        true
    }

    pub(super) fn on_append(&mut self, from: Member, append: AppendEntries, effects: &mut Effects) {
        let AppendEntries { previous_index, previous_term, entries, commit, sent_at } = append;
        self.leader_commit_index = self.leader_commit_index.max(commit);
        let is_compacted = previous_index < self.durable.snapshot.index;
        if !is_compacted && self.durable.term_at(previous_index) != Some(previous_term) {
            let retry_from =
                previous_index.saturating_sub(1).min(self.durable.last_index()).max(self.commit_index);
            self.reply_to_append(from, false, retry_from, sent_at, effects);
            return;
        }
        let last = previous_index + entries.len() as Index;
        let present = self.durable.log.matching_prefix(self.commit_index, previous_index, &entries);
        entries.into_iter().skip(present).for_each(|entry| self.save(Record::Entry(entry), effects));
        self.commit_index = self.commit_index.max(commit.min(last));
        self.reply_to_append(from, true, last, sent_at, effects);
    }

    pub(super) fn reply_to_append(
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
