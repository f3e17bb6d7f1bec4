//! Decides which store joins the voters, replaces a voter or leaves. The leader decides, and makes one joint
//! change at a time (section 4.3 of Ongaro's thesis).
//!
//! The number of voters is kept odd. An even number needs one more voter for a majority but tolerates no more
//! failures: if a voter left while another one was lost, the group could lose its quorum. The other stores
//! are learners, which receive the log without a vote and can replace a voter in one joint change.

use crate::consensus::quorum;
use crate::replica::{Effects, PeerStatus, Replica};
use crate::types::{Index, Member, Millis, StoreId};

/// A voter that was not heard for this long counts as lost.
pub const VOTER_TIMEOUT_MS: Millis = 2_500;
/// A learner has caught up when it lacks no more entries than this.
const MAX_LEARNER_LAG: Index = 2;

/// The voters that should replace the present ones. Returns `None` if no change is needed or none is possible
/// now.
pub fn next_voters(replica: &Replica, now: Millis) -> Option<Vec<Member>> {
    if !replica.is_established_leader() || replica.membership().is_joint() {
        return None;
    }
    let survey = Survey::new(replica, now);
    let next = survey.replacement().or_else(|| survey.growth()).or_else(|| survey.reduction())?;
    survey.has_live_majority(&next).then_some(next)
}

/// Proposes the next membership change, if one is due.
pub fn reconcile(replica: &mut Replica, now: Millis) -> Option<Effects> {
    let voters = next_voters(replica, now)?;
    replica.propose_membership(now, voters).ok()
}

/// The voters and learners as the leader sees them.
struct Survey<'a> {
    replica: &'a Replica,
    now: Millis,
    voters: &'a [Member],
    /// The learners that answer and have caught up.
    learners: Vec<&'a Member>,
}

impl<'a> Survey<'a> {
    fn new(replica: &'a Replica, now: Millis) -> Survey<'a> {
        let has_caught_up = |matched: Index| matched > 0 && matched + MAX_LEARNER_LAG >= replica.commit();
        let answering: Vec<StoreId> = replica.learners(now).collect();
        let learners = replica
            .peers()
            .filter(|peer| answering.contains(&peer.member.id) && has_caught_up(peer.match_index))
            .map(|peer| peer.member)
            .collect();
        Survey { replica, now, voters: &replica.membership().voters, learners }
    }

    fn is_lost(&self, id: StoreId) -> bool {
        let answers =
            |peer: PeerStatus<'_>| peer.member.id == id && self.now < peer.last_heard_at + VOTER_TIMEOUT_MS;
        id != self.replica.me().id && !self.replica.peers().any(answers)
    }

    fn is_leaving(&self, id: StoreId) -> bool {
        self.replica.is_leaving(self.now, id)
    }

    /// A voter that asked to leave, or else one that is lost.
    fn departing(&self) -> Option<&'a Member> {
        let leaving = self.voters.iter().find(|voter| self.is_leaving(voter.id));
        leaving.or_else(|| self.voters.iter().find(|voter| self.is_lost(voter.id)))
    }

    /// The voters with one of them replaced by a learner.
    fn replacement(&self) -> Option<Vec<Member>> {
        let voter_at_address_of =
            |learner: &Member| self.voters.iter().find(|voter| voter.address == learner.address);
        // A new store at a voter's address shows that the voter's disk was lost.
        let at_same_address =
            self.learners.iter().find_map(|learner| Some((*learner, voter_at_address_of(learner)?)));
        let (learner, replaced) = match at_same_address {
            Some(pair) => pair,
            None => (*self.learners.first()?, self.departing()?),
        };
        Some(self.without(replaced.id).chain([learner.clone()]).collect())
    }

    /// The voters and as many learners as it takes to reach the next odd number.
    fn growth(&self) -> Option<Vec<Member>> {
        let wanted = if self.voters.len().is_multiple_of(2) { 1 } else { 2 };
        let joining = self.learners.get(..wanted)?;
        Some(self.voters.iter().chain(joining.iter().copied()).cloned().collect())
    }

    /// The voters without the departing one, if their number is even: one voter fewer tolerates as many
    /// failures.
    fn reduction(&self) -> Option<Vec<Member>> {
        let departing = self.departing().filter(|_| self.voters.len().is_multiple_of(2))?;
        // Of two voters, the remaining one would hold the only replica.
        let is_pair = self.voters.len() == 2 && !self.is_lost(departing.id);
        (!is_pair).then(|| self.without(departing.id).collect())
    }

    fn without(&self, id: StoreId) -> impl Iterator<Item = Member> + use<'a> {
        self.voters.iter().filter(move |voter| voter.id != id).cloned()
    }

    /// Whether a majority of these voters answers and has not asked to leave.
    fn has_live_majority(&self, voters: &[Member]) -> bool {
        let is_live = |member: &Member| {
            let is_learner = self.learners.iter().any(|learner| learner.id == member.id);
            (is_learner || !self.is_lost(member.id)) && !self.is_leaving(member.id)
        };
        quorum::has_majority(voters, is_live)
    }
}
