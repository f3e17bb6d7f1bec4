//! Majorities.

use super::{Index, Term};

/// Voters that are a majority of a group of so many.
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

/// The highest index that a majority of a group has reached; `reached`: each voter's.
///
/// ```
/// use pathbank_coordination::consensus::quorum::majority_match_index;
///
/// assert_eq!(majority_match_index([9, 4, 7]), 7);
/// assert_eq!(majority_match_index([9, 4, 7, 1]), 4);
/// ```
pub fn majority_match_index(reached: impl IntoIterator<Item = Index>) -> Index {
    let mut reached: Vec<Index> = reached.into_iter().collect();
    reached.sort_unstable_by(|one, other| other.cmp(one));
    reached.get(majority(reached.len()) - 1).copied().unwrap_or(0)
}

/// Whether a leader of `term` may take all up to `reached` as committed. Entries of earlier terms count only
/// together with one of its own: a majority that has them may still be outvoted by a log with a later term.
pub fn may_commit(reached: Index, committed: Index, term_of_reached: Option<Term>, term: Term) -> bool {
    reached > committed && term_of_reached == Some(term)
}
