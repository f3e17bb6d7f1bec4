//! How a voter waits for a leader, stands for election, and gives its vote.

use super::{MOST_DOUBLED, Other, Output, SOON, Save, To, Voter};
use crate::agree::{Message, Micros, Term, VoterId};
use pathbank_coordination::consensus::election::{LogPosition, Role, VoteRequest, VoteTally, VoterState};
use pathbank_coordination::consensus::quorum::has_majority;

impl Voter {
    /// How long it waits for a leader's word or another voter's answer. Longer where leaders follow each other fast: a
    /// large entry on a busy machine holds up its leader's beats, and would bring down one leader after the other.
    pub fn patience(&self, now: Micros) -> Micros {
        let patience = self.times.election << self.hasty;
        match self.began {
            Some(began) if now.saturating_sub(began) < SOON * patience => patience,
            _ => self.times.election,
        }
    }

    pub(super) fn wait_for_leader(&mut self, now: Micros, draw: u64) {
        let patience = self.patience(now);
        self.election_at = now + patience + draw % patience.max(1);
    }

    pub(super) fn enter(&mut self, now: Micros, term: Term, voted: Option<VoterId>, out: &mut Output) {
        if term > self.saved.term {
            let soon = |began| now.saturating_sub(began) < SOON * (self.times.election << self.hasty);
            self.hasty = if self.began.is_some_and(soon) { (self.hasty + 1).min(MOST_DOUBLED) } else { 0 };
            self.began = Some(now);
        }
        self.save(Save::Vote { term, voted }, out);
        (self.role, self.leader, self.led_at) = (Role::Follower, None, None);
    }

    /// A majority has answered within twice that wait.
    pub(super) fn is_heard(&self, now: Micros) -> bool {
        let patience = 2 * self.patience(now);
        let lately = |other: &Other| now.saturating_sub(other.heard) < patience;
        has_majority(self.voters.keys(), |id| *id == self.id || self.known.get(id).is_some_and(lately))
    }

    pub(super) fn ask_for_votes(&mut self, pre: bool, term: Term, out: &mut Output) {
        self.votes = VoteTally::own(self.id);
        let LogPosition { term: last_term, index: last } = self.saved.log.position();
        let vote = Message::Vote { pre, term, last, last_term };
        out.send.extend(self.others().into_iter().map(|other| (To::Voter(other), vote.clone())));
    }

    pub(super) fn count_votes(&mut self, now: Micros, draw: u64, out: &mut Output) {
        if !has_majority(self.voters.keys(), |id| self.votes.has(id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => {
                self.wait_for_leader(now, draw);
                self.enter(now, self.saved.term + 1, Some(self.id), out);
                self.role = Role::Candidate;
                self.ask_for_votes(false, self.saved.term, out);
                self.count_votes(now, draw, out);
            }
            Role::Candidate => self.lead(now, out),
            Role::Follower | Role::Leader => {}
        }
    }

    /// Another voter asks for this one's vote.
    pub(super) fn hear_vote(
        &mut self,
        now: Micros,
        draw: u64,
        request: VoteRequest<VoterId>,
        out: &mut Output,
    ) {
        let VoteRequest { candidate, term, pre, .. } = request;
        if !pre && term > self.saved.term {
            self.enter(now, term, None, out);
        }
        let yes = self.standing(now).grants(&request);
        if yes && !pre {
            self.save(Save::Vote { term, voted: Some(candidate) }, out);
            self.wait_for_leader(now, draw);
        }
        out.send.push((To::Voter(candidate), Message::Voted { pre, term: self.saved.term, yes }));
    }

    fn standing(&self, now: Micros) -> VoterState<VoterId> {
        let heard = self.led_at.is_some_and(|at| now.saturating_sub(at) < self.patience(now));
        VoterState {
            term: self.saved.term,
            voted_for: self.saved.voted,
            role: self.role,
            has_live_leader: heard || self.leads(),
            log: self.saved.log.position(),
        }
    }

    /// What another voter said to this one's question.
    pub(super) fn hear_voted(
        &mut self,
        now: Micros,
        draw: u64,
        from: VoterId,
        (pre, term, yes): (bool, Term, bool),
        out: &mut Output,
    ) {
        if term > self.saved.term {
            self.enter(now, term, None, out);
            return;
        }
        let of_this_question = pre || term == self.saved.term;
        if yes && of_this_question && self.votes.grant(from, pre, self.role) {
            self.count_votes(now, draw, out);
        }
    }
}
