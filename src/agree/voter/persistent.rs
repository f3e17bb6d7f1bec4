//! What a voter keeps on disk, and each change of it.

use crate::agree::document_state::DocumentState;
use crate::agree::{Entry, Index, Term, VoterId};
use pathbank_coordination::consensus::log_tail::LogTail;
use std::collections::BTreeMap;

/// The voters, and where each is reached.
pub type Voters = BTreeMap<VoterId, String>;
/// How often a voter was started on its disk (the upper half), and a draw at each start: a copy of the disk
/// from before its last start shows by it, for a second start of one count draws another number.
pub type Incarnation = u64;

pub fn next_incarnation(before: Incarnation, draw: u64) -> Incarnation {
    ((before >> 32) + 1) << 32 | draw & 0xffff_ffff
}

/// Whether somebody speaks from an older disk than was heard of.
pub(super) fn is_older(incarnation: Incarnation, known: Incarnation) -> bool {
    incarnation != known && incarnation >> 32 <= known >> 32
}

/// What a voter must never forget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    pub incarnation: Incarnation,
    pub term: Term,
    pub voted: Option<VoterId>,
    /// Heads that are not prepared up to there get no lease.
    pub barrier: Index,
    /// The last incarnation of each other voter that was heard of.
    pub peer_incarnations: BTreeMap<VoterId, Incarnation>,
    /// What a first part of the log came to, and the term of its last entry.
    pub state: DocumentState,
    pub state_term: Term,
    /// The entries that are still in memory.
    pub log: LogTail<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum PersistentChange {
    Vote {
        term: Term,
        voted: Option<VoterId>,
    },
    Barrier(Index),
    PeerIncarnation(VoterId, Incarnation),
    /// The log ends with this entry.
    Truncate(Index),
    Append(Index, Entry),
    /// The state after the entries up to `state.applied()`, the last of them of `term`. `replaces_after`: it was
    /// installed by the leader and replaces the log behind that entry, which was committed here already; `None`: it
    /// only summarizes what the log holds.
    Snapshot {
        state: Box<DocumentState>,
        term: Term,
        replaces_after: Option<Index>,
    },
}

impl PersistentState {
    /// Applies one change, as the database does.
    pub fn apply(&mut self, save: &PersistentChange) {
        match save {
            PersistentChange::Vote { term, voted } => (self.term, self.voted) = (*term, *voted),
            PersistentChange::Barrier(to) => self.barrier = self.barrier.max(*to),
            PersistentChange::PeerIncarnation(id, incarnation) => {
                self.peer_incarnations.insert(*id, *incarnation);
            }
            PersistentChange::Truncate(at) => self.log.truncate(*at),
            PersistentChange::Append(at, entry) => self.log.insert(*at, entry.clone()),
            PersistentChange::Snapshot { state, term, replaces_after } => {
                if replaces_after.is_some() {
                    self.log.reset(state.applied(), *term);
                }
                (self.state, self.state_term) = ((**state).clone(), *term);
            }
        }
    }
}
