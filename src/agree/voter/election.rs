//! Elections: the timeout, pre-votes (Raft thesis, section 9.6) and votes (section 3.4).

use super::{MAX_TIMEOUT_DOUBLINGS, Output, Peer, PersistentChange, RAPID_TERM_TIMEOUTS, Recipient, Voter};
use crate::agree::{Message, Micros, Term, VoterId};
use pathbank_coordination::consensus::election::{LogPosition, Role, VoteRequest, VoteTally, VoterState};
use pathbank_coordination::consensus::quorum::has_majority;

impl Voter {
    /// How long the voter waits for a leader's heartbeat or a peer's answer, in microseconds. The timeout is doubled
    /// while terms are rapid: otherwise a large entry on a busy machine, which delays the leader's heartbeats, would
    /// depose one leader after another.
    pub fn current_election_timeout(&self, now: Micros) -> Micros {
        let current_election_timeout = self.times.election_timeout << self.timeout_doublings;
        match self.term_began_at {
            Some(term_began_at)
                if now.saturating_sub(term_began_at) < RAPID_TERM_TIMEOUTS * current_election_timeout =>
            {
                current_election_timeout
            }
            _ => self.times.election_timeout,
        }
    }

    pub(super) fn reset_election_timer(&mut self, now: Micros, draw: u64) {
        let current_election_timeout = self.current_election_timeout(now);
        self.election_at = now + current_election_timeout + draw % current_election_timeout.max(1);
    }

    /// Enters a term as a follower and saves the vote in it.
    pub(super) fn enter_term(&mut self, now: Micros, term: Term, voted: Option<VoterId>, out: &mut Output) {
        if term > self.saved.term {
            let is_rapid = |term_began_at| {
                now.saturating_sub(term_began_at)
                    < RAPID_TERM_TIMEOUTS * (self.times.election_timeout << self.timeout_doublings)
            };
            self.timeout_doublings = if self.term_began_at.is_some_and(is_rapid) {
                (self.timeout_doublings + 1).min(MAX_TIMEOUT_DOUBLINGS)
            } else {
                0
            };
            self.term_began_at = Some(now);
        }
        self.save(PersistentChange::Vote { term, voted }, out);
        (self.role, self.leader, self.leader_heard_at) = (Role::Follower, None, None);
    }

    /// Whether a majority has answered this leader within twice the election timeout (section 6.2).
    pub(super) fn has_quorum_contact(&self, now: Micros) -> bool {
        let contact_timeout = 2 * self.current_election_timeout(now);
        let in_contact = |peer: &Peer| now.saturating_sub(peer.heard_at) < contact_timeout;
        has_majority(self.voters.keys(), |id| *id == self.id || self.peers.get(id).is_some_and(in_contact))
    }

    pub(super) fn request_votes(&mut self, pre: bool, term: Term, out: &mut Output) {
        self.votes = VoteTally::with_own_vote(self.id);
        let LogPosition { term: last_term, index: last_index } = self.saved.log.position();
        let vote = Message::VoteRequest { pre, term, last_index, last_term };
        out.send.extend(self.peer_ids().into_iter().map(|other| (Recipient::Voter(other), vote.clone())));
    }

    pub(super) fn tally_votes(&mut self, now: Micros, draw: u64, out: &mut Output) {
        if !has_majority(self.voters.keys(), |id| self.votes.contains(id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => {
                self.reset_election_timer(now, draw);
                self.enter_term(now, self.saved.term + 1, Some(self.id), out);
                self.role = Role::Candidate;
                self.request_votes(false, self.saved.term, out);
                self.tally_votes(now, draw, out);
            }
            Role::Candidate => self.become_leader(now, out),
            Role::Follower | Role::Leader => {}
        }
    }

    /// Handles a candidate's request: grants the vote if the rules of sections 3.4, 3.6.1 and 9.6 allow it.
    pub(super) fn step_vote_request(
        &mut self,
        now: Micros,
        draw: u64,
        request: VoteRequest<VoterId>,
        out: &mut Output,
    ) {
        let VoteRequest { candidate, term, pre, .. } = request;
        if !pre && term > self.saved.term {
            self.enter_term(now, term, None, out);
        }
        let granted = self.voter_state(now).grants(&request);
        if granted && !pre {
            self.save(PersistentChange::Vote { term, voted: Some(candidate) }, out);
            self.reset_election_timer(now, draw);
        }
        out.send
            .push((Recipient::Voter(candidate), Message::VoteReply { pre, term: self.saved.term, granted }));
    }

    fn voter_state(&self, now: Micros) -> VoterState<VoterId> {
        let hears_leader = self
            .leader_heard_at
            .is_some_and(|at| now.saturating_sub(at) < self.current_election_timeout(now));
        VoterState {
            term: self.saved.term,
            voted_for: self.saved.voted,
            role: self.role,
            has_live_leader: hears_leader || self.is_leader(),
            log: self.saved.log.position(),
        }
    }

    /// Handles the answer to this candidate's request.
    pub(super) fn step_vote_reply(
        &mut self,
        now: Micros,
        draw: u64,
        from: VoterId,
        (pre, term, granted): (bool, Term, bool),
        out: &mut Output,
    ) {
        if term > self.saved.term {
            self.enter_term(now, term, None, out);
            return;
        }
        let is_current = pre || term == self.saved.term;
        if granted && is_current && self.votes.record(from, pre, self.role) {
            self.tally_votes(now, draw, out);
        }
    }
}
