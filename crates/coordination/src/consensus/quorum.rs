//! Majorities, and what a leader may commit by them (sections 3.5 and 3.6.2).

use super::{Index, Term};

/// How many voters are a majority of a group of `voters`.
pub fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Whether a majority of a group agrees. A group without voters agrees on nothing.
pub fn has_majority<Voter>(group: impl IntoIterator<Item = Voter>, agrees: impl Fn(Voter) -> bool) -> bool {
    let (mut voters, mut agreeing) = (0, 0);
    for voter in group {
        voters += 1;
        agreeing += usize::from(agrees(voter));
    }
    agreeing >= majority(voters)
}

/// The highest index up to which a majority of a group has the log, given each voter's match index.
///
/// ```
/// use pathbank_coordination::consensus::quorum::majority_match_index;
///
/// assert_eq!(majority_match_index([9, 4, 7]), 7);
/// assert_eq!(majority_match_index([9, 4, 7, 1]), 4);
/// ```
pub fn majority_match_index(match_indexes: impl IntoIterator<Item = Index>) -> Index {
    let mut descending: Vec<Index> = match_indexes.into_iter().collect();
    descending.sort_unstable_by(|one, other| other.cmp(one));
    descending.get(majority(descending.len()) - 1).copied().unwrap_or(0)
}

/// Whether a leader of `term` may commit every entry up to `candidate`, which a majority has. Entries of
/// earlier terms are committed only together with a later entry of the leader's own term (section 3.6.2):
/// even if a majority has them, a leader whose log ends with a later term may still overwrite them.
pub fn may_commit(candidate: Index, committed: Index, term_of_candidate: Option<Term>, term: Term) -> bool {
    candidate > committed && term_of_candidate == Some(term)
}
