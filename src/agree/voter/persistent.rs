//! The state that a voter must not forget (the persistent state of Raft's figure 3.1, with the barrier of leases), and
//! each change of it.

use crate::agree::document_state::DocumentState;
use crate::agree::{Entry, Index, Term, VoterId};
use pathbank_coordination::consensus::log_tail::LogTail;
use std::collections::BTreeMap;

/// The voters, and where each is reached.
pub type Voters = BTreeMap<VoterId, String>;
/// One run of a voter: how often its database was opened (the upper 32 bits), and a random number of each run (the
/// lower). A second run from an older copy of the database has the same count and another number, which its peers see.
pub type Incarnation = u64;

/// The incarnation of the next run; `draw` is any random number.
pub fn next_incarnation(before: Incarnation, draw: u64) -> Incarnation {
    ((before >> 32) + 1) << 32 | draw & 0xffff_ffff
}

/// Whether a peer runs on an older copy of its database than the one that was heard of.
pub(super) fn is_older(incarnation: Incarnation, known: Incarnation) -> bool {
    incarnation != known && incarnation >> 32 <= known >> 32
}

/// What a voter must have on disk before it sends anything that rests on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// Of this start.
    pub incarnation: Incarnation,
    /// The current term (section 3.4).
    pub term: Term,
    /// Who got the vote in that term.
    pub voted: Option<VoterId>,
    /// Processes that have not prepared for the edits up to there get no lease, also after a restart.
    pub barrier: Index,
    /// The last incarnation of each other voter that was heard of.
    pub peer_incarnations: BTreeMap<VoterId, Incarnation>,
    /// What the first entries of the log came to.
    pub state: DocumentState,
    /// The term of the last of these entries.
    pub state_term: Term,
    /// The entries that are still in memory.
    pub log: LogTail<Entry>,
}

/// One change of a [`PersistentState`], saved in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum PersistentChange {
    /// A term, and the vote in it.
    Vote {
        /// Never falls.
        term: Term,
        /// `None`: no vote in this term yet.
        voted: Option<VoterId>,
    },
    /// See [`PersistentState::barrier`].
    Barrier(Index),
    /// See [`PersistentState::peer_incarnations`].
    PeerIncarnation(VoterId, Incarnation),
    /// The log ends with this entry.
    Truncate(Index),
    /// The next entry of the log; one that is there already is replaced, with all behind it.
    Append(Index, Entry),
    /// The state after the entries up to `state.applied()`, the last of them of `term`. `replaces_after`: it was
    /// installed by the leader and replaces the log behind that entry, which was committed here already; `None`: it
    /// only summarizes what the log holds.
    Snapshot {
        /// After the entries up to `state.applied()`.
        state: Box<DocumentState>,
        /// Of the last of them.
        term: Term,
        /// The last entry that stays, or `None`.
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
