//! Elections: who requests votes, who grants them, and how a term begins and ends (sections 3.4, 3.10 and
//! 9.6).

use super::{Effects, Outgoing, Replica, Role};
use crate::consensus::election::{LogPosition, VoteRequest, VoteTally, VoterState};
use crate::record::Record;
use crate::types::{Member, Message, Millis, Payload, StoreId, Term};

/// How a candidate campaigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Campaign {
    /// Asks whether it would be elected, and changes nothing.
    PreVote,
    /// Requests votes in a new term.
    Election,
    /// Requests votes in a new term because the leader asked for it; voters ignore the leader's lease.
    LeadershipTransfer,
}

/// The fields of [`Message::VoteRequest`](crate::types::Message::VoteRequest).
pub(super) struct VoteRequestFields {
    pub(super) term: Term,
    pub(super) pre: bool,
    pub(super) leadership_transfer: bool,
    /// The candidate's last entry.
    pub(super) log: LogPosition,
}

/// The fields of [`Message::VoteReply`](crate::types::Message::VoteReply).
pub(super) struct VoteReply {
    /// The term that the vote is for; the voter's own where it is refused.
    pub(super) term: Term,
    pub(super) pre: bool,
    pub(super) granted: bool,
}

impl Replica {
    fn next_random(&mut self) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    /// Sets the next election to a random time between one and two election timeouts from now.
    pub(super) fn reset_election_timer(&mut self, now: Millis) {
        let spread = self.next_random() % self.timing.election_timeout_ms;
        self.election_deadline = now + self.timing.election_timeout_ms + spread;
    }

    pub(super) fn step_down(&mut self, now: Millis) {
        self.role = Role::Follower;
        self.leader = None;
        self.handing_over = false;
        self.peers.clear();
        self.leave_requests.clear();
        self.encoded_snapshot = None;
        self.reset_election_timer(now);
    }

    /// Steps down, and asks the voter with the most up-to-date log to start an election at once (section
    /// 3.10).
    pub(super) fn transfer_to_best_voter(&mut self, now: Millis, calls_settled: bool, effects: &mut Effects) {
        let voters = self.peers.values().filter(|peer| self.membership.contains(peer.member.id));
        let answers = |last_heard_at: Millis| now < last_heard_at + self.timing.election_timeout_ms;
        let best = voters.max_by_key(|peer| {
            (answers(peer.last_heard_at), peer.progress.match_index, peer.last_answered_sent_at)
        });
        let Some(to) = best.map(|best| best.member.clone()) else { return };
        let message = Message::CampaignNow { term: self.durable.term, calls_settled };
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
        self.leader_commit_index = 0;
        self.save(Record::Vote { term, voted_for }, effects);
    }

    /// Requests votes, unless this replica cannot be elected.
    pub(super) fn campaign(&mut self, now: Millis, campaign: Campaign, effects: &mut Effects) {
        self.reset_election_timer(now);
        if self.impaired || !self.membership.contains(self.me.id) {
            self.role = Role::Follower;
            return;
        }
        let term = self.durable.term + 1;
        let pre = campaign == Campaign::PreVote;
        if !pre {
            self.enter_term(now, term, Some(self.me.id), effects);
        }
        self.role = if pre { Role::PreCandidate } else { Role::Candidate };
        self.votes = VoteTally::with_own_vote(self.me.id);
        let LogPosition { term: last_term, index: last_index } = self.durable.position();
        let leadership_transfer = campaign == Campaign::LeadershipTransfer;
        let message = Message::VoteRequest { term, pre, leadership_transfer, last_index, last_term };
        let others = self.membership.members().filter(|member| member.id != self.me.id);
        let requests =
            others.map(|to| Outgoing { to: to.clone(), message: message.clone(), after_save: true });
        effects.messages.extend(requests);
        self.count_votes(now, effects);
    }

    fn count_votes(&mut self, now: Millis, effects: &mut Effects) {
        if !self.membership.has_quorum(|id| self.votes.contains(&id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(now, Campaign::Election, effects),
            Role::Candidate => self.become_leader(now, effects),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Millis,
        from: Member,
        fields: VoteRequestFields,
        effects: &mut Effects,
    ) {
        let VoteRequestFields { term, pre, leadership_transfer, log } = fields;
        let request = VoteRequest { candidate: from.id, term, pre, log };
        let protects_leader =
            !leadership_transfer && (self.has_live_leader(now) || now < self.no_votes_before);
        if protects_leader || term < self.durable.term {
            return self.reply_to_vote(from, self.durable.term, pre, false, effects);
        }
        if pre {
            let granted = self.voter_state().grants(&request);
            let reply_term = if granted { term } else { self.durable.term };
            return self.reply_to_vote(from, reply_term, pre, granted, effects);
        }
        if term > self.durable.term {
            self.enter_term(now, term, None, effects);
        }
        let granted = self.voter_state().grants(&request);
        if granted {
            self.save(Record::Vote { term, voted_for: Some(from.id) }, effects);
            self.reset_election_timer(now);
        }
        self.reply_to_vote(from, term, pre, granted, effects);
    }

    fn reply_to_vote(&self, to: Member, term: Term, pre: bool, granted: bool, effects: &mut Effects) {
        let message = Message::VoteReply { term, pre, granted };
        effects.messages.push(Outgoing { to, message, after_save: true });
    }

    /// Whether this replica leads, or has heard a leader within the election timeout.
    fn has_live_leader(&self, now: Millis) -> bool {
        let timeout = self.timing.election_timeout_ms;
        self.role == Role::Leader || self.leader_heard_at.is_some_and(|heard_at| now < heard_at + timeout)
    }

    /// This replica's state as a voter. `has_live_leader` is false because [`Replica::on_vote_request`] has
    /// already refused requests against a live leader.
    fn voter_state(&self) -> VoterState<StoreId> {
        VoterState {
            term: self.durable.term,
            voted_for: self.durable.voted_for,
            role: self.role,
            has_live_leader: false,
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
        let requested_term = if pre { self.durable.term + 1 } else { self.durable.term };
        if term == requested_term && self.votes.record(from.id, pre, self.role) {
            self.count_votes(now, effects);
        }
    }

    /// Becomes leader and appends an entry of its term: entries of earlier terms are committed only with one
    /// of the leader's own term (section 3.6.2).
    fn become_leader(&mut self, now: Millis, effects: &mut Effects) {
        self.role = Role::Leader;
        self.leader = None;
        self.partial_snapshot = None;
        self.peers.clear();
        self.add_voters_to_peers(now);
        self.term_start_index = self.append(now, Payload::LeaderStart(self.me.name.clone()), effects);
        self.next_heartbeat_at = now;
        self.tick_leader(now, effects);
    }
}
