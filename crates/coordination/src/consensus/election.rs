//! Elections: roles, and who gets a vote.

use super::{Index, Term};
use std::collections::BTreeSet;

/// What a replica is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// How far a log goes. Of two, the one whose last entry has the later term is the newer one, then the longer
/// one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// The last entry's term.
    pub term: Term,
    /// The last entry.
    pub index: Index,
}

/// A candidate asks for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRequest<Id> {
    /// Who asks.
    pub candidate: Id,
    /// The term that it would lead.
    pub term: Term,
    /// It asks whether it would be elected, and binds nobody.
    pub pre: bool,
    /// How far its log goes.
    pub log: LogPosition,
}

/// How the voter that is asked stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterState<Id> {
    /// Its term.
    pub term: Term,
    /// Who got its vote in that term.
    pub voted_for: Option<Id>,
    /// Its role.
    pub role: Role,
    /// It leads, or hears a leader.
    pub has_live_leader: bool,
    /// How far its log goes.
    pub log: LogPosition,
}

impl<Id: PartialEq> VoterState<Id> {
    /// Whether the candidate gets the vote. A binding request is judged once the voter has entered its term.
    ///
    /// ```
    /// use pathbank_coordination::consensus::election::{LogPosition, Role, VoterState, VoteRequest};
    ///
    /// let log = LogPosition { term: 2, index: 9 };
    /// let voter = VoterState { term: 3, voted_for: Some(1), role: Role::Follower, has_live_leader: false, log };
    /// let request = VoteRequest { candidate: 2, term: 3, pre: false, log };
    /// assert!(!voter.grants(&request), "one vote a term");
    /// assert!(voter.grants(&VoteRequest { candidate: 1, ..request }), "the same vote again");
    /// ```
    pub fn grants(&self, request: &VoteRequest<Id>) -> bool {
        let is_up_to_date = request.log >= self.log;
        if request.pre {
            // Whoever hears a leader wants no other, and whoever asks changes nothing by it.
            return is_up_to_date && request.term > self.term && !self.has_live_leader;
        }
        let is_free = self.voted_for.as_ref().is_none_or(|voted| *voted == request.candidate);
        is_up_to_date && is_free && request.term == self.term && self.role == Role::Follower
    }
}

/// The votes that a candidate has got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoteTally<Id: Ord> {
    granted: BTreeSet<Id>,
}

impl<Id: Ord> Default for VoteTally<Id> {
    fn default() -> Self {
        VoteTally { granted: BTreeSet::new() }
    }
}

impl<Id: Ord> VoteTally<Id> {
    /// A candidate's own vote comes first.
    pub fn own(candidate: Id) -> VoteTally<Id> {
        VoteTally { granted: BTreeSet::from([candidate]) }
    }

    /// A voter gave its vote. Votes count for the role that asked for them: `pre` tells which it was.
    pub fn grant(&mut self, voter: Id, pre: bool, role: Role) -> bool {
        let asked_by = if pre { Role::PreCandidate } else { Role::Candidate };
        role == asked_by && self.granted.insert(voter)
    }

    /// Whether a voter gave its vote.
    pub fn has(&self, voter: &Id) -> bool {
        self.granted.contains(voter)
    }
}
