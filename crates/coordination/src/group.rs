//! Which store joins, replaces or leaves the group of voters. Decided by the leader alone, one step at a time.

use crate::replica::Replica;
use crate::types::{Index, Member, Millis, StoreId};

/// A voter that says nothing for so long is taken for gone, milliseconds.
pub const VOTER_SILENCE: Millis = 2_500;
/// A store has caught up when it lacks no more entries than this.
const CAUGHT_UP_ENTRIES: Index = 2;

/// The group that should follow the present one, if another one should.
pub fn next_group(replica: &Replica, now: Millis) -> Option<Vec<Member>> {
    let membership = replica.membership();
    if !replica.is_settled_leader() || membership.is_joint() {
        return None;
    }
    let heard = |id: StoreId| {
        id == replica.me().id
            || replica.others().any(|(other, _, heard)| other.id == id && now < heard + VOTER_SILENCE)
    };
    let silent = membership.voters.iter().find(|voter| !heard(voter.id));
    let caught_up = |matched: Index| matched + CAUGHT_UP_ENTRIES >= replica.commit() && matched > 0;
    let learner = replica
        .others()
        .find(|(other, matched, heard)| {
            !membership.contains(other.id) && caught_up(*matched) && now < heard + VOTER_SILENCE
        })
        .map(|(other, ..)| other.clone());
    let voters = membership.voters.iter().cloned();
    if let Some(learner) = learner {
        // A store at the address of a voter is there in its place: that voter's disk is lost.
        let same_place = |voter: &&Member| voter.address == learner.address;
        let replaced = membership.voters.iter().find(same_place).or(silent).map(|voter| voter.id);
        let kept = voters.filter(|voter| Some(voter.id) != replaced);
        return Some(kept.chain([learner]).collect());
    }
    // An even group bears no more losses than the group without its silent voter.
    let silent = silent.filter(|_| membership.voters.len().is_multiple_of(2))?;
    Some(voters.filter(|voter| voter.id != silent.id).collect())
}

/// Takes the next step towards the group that should be, if there is one.
pub fn step(replica: &mut Replica, now: Millis) -> Option<crate::replica::Effects> {
    let voters = next_group(replica, now)?;
    replica.change_group(now, voters).ok()
}
