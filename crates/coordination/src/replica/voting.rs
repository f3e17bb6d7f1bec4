//! Elections: who asks for votes, who gives them, and how a term begins and ends.

use super::{Effects, Outgoing, Replica, Role};
use crate::consensus::election::{LogPosition, VoteRequest, VoteTally, VoterState};
use crate::record::Record;
use crate::types::{Member, Message, Millis, Payload, StoreId, Term};

/// A candidate asks for a vote.
pub(super) struct VoteQuestion {
    /// The term that it would lead.
    pub term: Term,
    /// It asks whether it would be elected, and binds nobody.
    pub pre: bool,
    /// The leader asked it to stand: nobody has to wait for that leader's silence.
    pub leadership_transfer: bool,
    /// How far its log goes.
    pub log: LogPosition,
}

/// An answer to it.
pub(super) struct VoteReply {
    /// The term that the vote is for, or the voter's own where it is refused.
    pub term: Term,
    /// It answers a question that binds nobody.
    pub pre: bool,
    /// Whether the vote is given.
    pub granted: bool,
}

impl Replica {
    pub(super) fn draw(&mut self) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    pub(super) fn wait_for_leader(&mut self, now: Millis) {
        let spread = self.draw() % self.timing.election_timeout_ms;
        self.election_at = now + self.timing.election_timeout_ms + spread;
    }

    pub(super) fn step_down(&mut self, now: Millis) {
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        self.leaving.clear();
        self.encoded_snapshot = None;
        self.wait_for_leader(now);
    }

    /// Leads no more, and asks the voter that has most of the log to stand for election at once.
    pub(super) fn transfer_to_best_voter(&mut self, now: Millis, effects: &mut Effects) {
        let voters = self.progress.values().filter(|other| self.membership.contains(other.member.id));
        let answers = |heard: Millis| now < heard + self.timing.election_timeout_ms;
        let best =
            voters.max_by_key(|other| (answers(other.heard), other.cursor.match_index, other.answered));
        let Some(to) = best.map(|best| best.member.clone()) else { return };
        let message = Message::CampaignNow { term: self.durable.term };
        self.step_down(now);
        effects.messages.push(Outgoing { to, message, after_save: false });
    }

    pub(super) fn enter_term(
        &mut self,
        now: Millis,
        term: Term,
        voted_for: Option<StoreId>,
        effects: &mut Effects,
    ) {
        self.step_down(now);
        self.leader_commit = 0;
        self.save(Record::Vote { term, voted_for }, effects);
    }

    pub(super) fn ask_for_votes(
        &mut self,
        now: Millis,
        pre: bool,
        leadership_transfer: bool,
        effects: &mut Effects,
    ) {
        self.wait_for_leader(now);
        if self.impaired || !self.membership.contains(self.me.id) {
            self.role = Role::Follower;
            return;
        }
        let term = self.durable.term + 1;
        if !pre {
            self.enter_term(now, term, Some(self.me.id), effects);
        }
        self.role = if pre { Role::PreCandidate } else { Role::Candidate };
        self.votes = VoteTally::with_own_vote(self.me.id);
        let LogPosition { term: last_term, index: last_index } = self.durable.position();
        let message = Message::VoteRequest { term, pre, leadership_transfer, last_index, last_term };
        let others = self.membership.members().filter(|member| member.id != self.me.id);
        let requests =
            others.map(|to| Outgoing { to: to.clone(), message: message.clone(), after_save: true });
        effects.messages.extend(requests);
        self.count_votes(now, leadership_transfer, effects);
    }

    pub(super) fn count_votes(&mut self, now: Millis, leadership_transfer: bool, effects: &mut Effects) {
        if !self.membership.has_quorum(|id| self.votes.contains(&id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.ask_for_votes(now, false, leadership_transfer, effects),
            Role::Candidate => self.become_leader(now, effects),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Millis,
        from: Member,
        question: VoteQuestion,
        effects: &mut Effects,
    ) {
        let VoteQuestion { term, pre, leadership_transfer, log } = question;
        let request = VoteRequest { candidate: from.id, term, pre, log };
        let leader_lives = match self.role {
            Role::Leader => true,
            _ => self.leader_heard.is_some_and(|heard| now < heard + self.timing.election_timeout_ms),
        };
        let bound = !leadership_transfer && (leader_lives || now < self.votes_from);
        if bound || term < self.durable.term {
            let reply = Message::VoteReply { term: self.durable.term, pre, granted: false };
            effects.messages.push(Outgoing { to: from, message: reply, after_save: true });
            return;
        }
        if pre {
            let granted = self.voter_state(false).grants(&request);
            let reply =
                Message::VoteReply { term: if granted { term } else { self.durable.term }, pre, granted };
            effects.messages.push(Outgoing { to: from, message: reply, after_save: true });
            return;
        }
        if term > self.durable.term {
            self.enter_term(now, term, None, effects);
        }
        let granted = self.voter_state(false).grants(&request);
        if granted {
            self.save(Record::Vote { term, voted_for: Some(from.id) }, effects);
            self.wait_for_leader(now);
        }
        let reply = Message::VoteReply { term, pre, granted };
        effects.messages.push(Outgoing { to: from, message: reply, after_save: true });
    }

    fn voter_state(&self, has_live_leader: bool) -> VoterState<StoreId> {
        VoterState {
            term: self.durable.term,
            voted_for: self.durable.voted_for,
            role: self.role,
            has_live_leader,
            log: self.durable.position(),
        }
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: Millis,
        from: Member,
        reply: VoteReply,
        effects: &mut Effects,
    ) {
        let VoteReply { term, pre, granted } = reply;
        if !granted {
            if term > self.durable.term {
                self.enter_term(now, term, None, effects);
            }
            return;
        }
        let asked_in = if pre { self.durable.term + 1 } else { self.durable.term };
        if term == asked_in && self.votes.record(from.id, pre, self.role) {
            self.count_votes(now, false, effects);
        }
    }

    pub(super) fn become_leader(&mut self, now: Millis, effects: &mut Effects) {
        self.role = Role::Leader;
        self.leader = None;
        self.partial_snapshot = None;
        self.progress.clear();
        self.sync_progress(now);
        self.term_start = self.append(now, Payload::LeaderStart(self.me.name.clone()), effects);
        self.heartbeat_at = now;
        self.lead_on(now, effects);
    }
}
