//! Roles, and who gets a vote (sections 3.4, 3.6.1 and 9.6).

use super::{Index, Term};
use std::collections::BTreeSet;

/// The role of a replica (section 3.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected (pre-vote, section 9.6).
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads its term.
    Leader,
}

/// The last entry of a log. The log whose last entry has the later term is more up to date; with equal terms,
/// the longer log is (section 3.6.1). The derived order relies on the order of the fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// The last entry's term.
    pub term: Term,
    /// The last entry's index.
    pub index: Index,
}

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRequest<Id> {
    /// The candidate.
    pub candidate: Id,
    /// The term that it wants to lead.
    pub term: Term,
    /// A pre-vote: asks whether the vote would be granted, and changes nothing.
    pub pre: bool,
    /// Its last entry.
    pub log: LogPosition,
}

/// The state of the voter that is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterState<Id> {
    /// Its term.
    pub term: Term,
    /// Whom it has voted for in that term.
    pub voted_for: Option<Id>,
    /// Its role.
    pub role: Role,
    /// Whether the voter leads, or has heard a leader within the election timeout.
    pub has_live_leader: bool,
    /// Its last entry.
    pub log: LogPosition,
}

impl<Id: PartialEq> VoterState<Id> {
    /// Whether the voter grants the request. A request that is not a pre-vote is judged after the voter has
    /// entered its term.
    ///
    /// ```
    /// use pathbank_coordination::consensus::election::{LogPosition, Role, VoterState, VoteRequest};
    ///
    /// let log = LogPosition { term: 2, index: 9 };
    /// let voter = VoterState { term: 3, voted_for: Some(1), role: Role::Follower, has_live_leader: false,
    /// log }; let request = VoteRequest { candidate: 2, term: 3, pre: false, log };
    /// assert!(!voter.grants(&request), "one vote a term"); assert!(voter.grants(&VoteRequest { candidate: 1,
    /// ..request }), "the same vote again");
    /// ```
    pub fn grants(&self, request: &VoteRequest<Id>) -> bool {
        let is_up_to_date = request.log >= self.log;
        if request.pre {
            // A voter with a live leader does not help to depose it (section 4.2.3).
            return is_up_to_date && request.term > self.term && !self.has_live_leader;
        }
        let has_vote_left = self.voted_for.as_ref().is_none_or(|voted| *voted == request.candidate);
        is_up_to_date && has_vote_left && request.term == self.term && self.role == Role::Follower
    }
}

/// The votes that a candidate has received in one election.
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
    /// A tally that starts with the candidate's vote for itself.
    pub fn with_own_vote(candidate: Id) -> VoteTally<Id> {
        VoteTally { granted: BTreeSet::from([candidate]) }
    }

    /// Records a granted vote, or pre-vote if `pre` is set. Returns whether it counts: it is the voter's
    /// first in this election, and the replica still has the role that requested it.
    pub fn record(&mut self, voter: Id, pre: bool, role: Role) -> bool {
        let requested_by = if pre { Role::PreCandidate } else { Role::Candidate };
        role == requested_by && self.granted.insert(voter)
    }

    /// Whether a voter has granted its vote.
    pub fn contains(&self, voter: &Id) -> bool {
        self.granted.contains(voter)
    }
}
