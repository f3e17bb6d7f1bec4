//! Which store joins, replaces or leaves the group of voters. Decided by the leader alone, one step at a
//! time.
//!
//! The group keeps an odd size. An even one needs one voter more for a majority and bears no more losses, so
//! a voter that leaves while another one is lost would end it. Stores beyond the group follow the log without
//! a vote, and take a voter's place in one joint change.

use crate::consensus::quorum;
use crate::replica::{Effects, Replica};
use crate::types::{Index, Member, Millis, StoreId};

/// A voter that says nothing for so long is taken for gone, milliseconds.
pub const VOTER_TIMEOUT_MS: Millis = 2_500;
/// A store has caught up when it lacks no more entries than this.
const CAUGHT_UP_ENTRIES: Index = 2;

/// The group that should follow the present one, if another one should.
pub fn next_voters(replica: &Replica, now: Millis) -> Option<Vec<Member>> {
    if !replica.is_established_leader() || replica.membership().is_joint() {
        return None;
    }
    let survey = Survey::new(replica, now);
    let next = survey.replacement().or_else(|| survey.growth()).or_else(|| survey.reduction())?;
    survey.can_lead(&next).then_some(next)
}

/// Takes the next step towards the group that should be, if there is one.
pub fn reconcile(replica: &mut Replica, now: Millis) -> Option<Effects> {
    let voters = next_voters(replica, now)?;
    replica.propose_membership(now, voters).ok()
}

/// How voters and other stores stand, as the leader sees it.
struct Survey<'a> {
    replica: &'a Replica,
    now: Millis,
    voters: &'a [Member],
    /// Stores outside the group that have the log and answer.
    learners: Vec<&'a Member>,
}

impl<'a> Survey<'a> {
    fn new(replica: &'a Replica, now: Millis) -> Survey<'a> {
        let caught_up = |matched: Index| matched > 0 && matched + CAUGHT_UP_ENTRIES >= replica.commit();
        let answering: Vec<StoreId> = replica.learners(now).collect();
        let known = replica.peers().filter(|(other, ..)| answering.contains(&other.id));
        let learners = known.filter(|(_, matched, _)| caught_up(*matched)).map(|(other, ..)| other).collect();
        Survey { replica, now, voters: &replica.membership().voters, learners }
    }

    fn is_silent(&self, id: StoreId) -> bool {
        let heard = |(other, _, heard): (&Member, Index, Millis)| {
            other.id == id && self.now < heard + VOTER_TIMEOUT_MS
        };
        id != self.replica.me().id && !self.replica.peers().any(heard)
    }

    fn is_leaving(&self, id: StoreId) -> bool {
        self.replica.is_leaving(self.now, id)
    }

    /// A voter that is about to end, or else one that is taken for gone.
    fn departing(&self) -> Option<&'a Member> {
        let leaving = self.voters.iter().find(|voter| self.is_leaving(voter.id));
        leaving.or_else(|| self.voters.iter().find(|voter| self.is_silent(voter.id)))
    }

    /// A store in the place of a voter, in one step.
    fn replacement(&self) -> Option<Vec<Member>> {
        let place_of = |learner: &Member| self.voters.iter().find(|voter| voter.address == learner.address);
        // A store at the address of a voter is there in its place: that voter's disk is lost.
        let at_its_place = self.learners.iter().find_map(|learner| Some((*learner, place_of(learner)?)));
        let (learner, replaced) = match at_its_place {
            Some(pair) => pair,
            None => (*self.learners.first()?, self.departing()?),
        };
        Some(self.without(replaced.id).chain([learner.clone()]).collect())
    }

    /// The group with as many stores more as keep it odd.
    fn growth(&self) -> Option<Vec<Member>> {
        let wanted = if self.voters.len().is_multiple_of(2) { 1 } else { 2 };
        let joining = self.learners.get(..wanted)?;
        Some(self.voters.iter().chain(joining.iter().copied()).cloned().collect())
    }

    /// An even group bears no more losses than the group without its departing voter.
    fn reduction(&self) -> Option<Vec<Member>> {
        let departing = self.departing().filter(|_| self.voters.len().is_multiple_of(2))?;
        // Of two voters the one that stays would hold the only copy.
        let is_pair = self.voters.len() == 2 && !self.is_silent(departing.id);
        (!is_pair).then(|| self.without(departing.id).collect())
    }

    fn without(&self, id: StoreId) -> impl Iterator<Item = Member> + use<'a> {
        self.voters.iter().filter(move |voter| voter.id != id).cloned()
    }

    /// Whether a majority of a group answers and stays.
    fn can_lead(&self, group: &[Member]) -> bool {
        let stays = |member: &Member| {
            let learns = self.learners.iter().any(|learner| learner.id == member.id);
            (learns || !self.is_silent(member.id)) && !self.is_leaving(member.id)
        };
        quorum::has_majority(group, stays)
    }
}
