//! A voter's persistent state (figure 3.1 of the Raft thesis, plus the barrier of leases) and the changes to it.

use crate::agree::document_state::DocumentState;
use crate::agree::{Entry, Index, Term, VoterId};
use pathbank_coordination::consensus::log_tail::LogTail;
use std::collections::BTreeMap;

/// The membership: each voter's address.
pub type Voters = BTreeMap<VoterId, String>;
/// Identifies one run of a voter: the number of times its database was opened (upper 32 bits) and a random number of
/// the run (lower 32 bits). A run from an older copy of the database repeats a count with another random number, by
/// which its peers recognize it.
pub type Incarnation = u64;

/// The incarnation of the next run; `draw` is a random number.
pub fn next_incarnation(before: Incarnation, draw: u64) -> Incarnation {
    ((before >> 32) + 1) << 32 | draw & 0xffff_ffff
}

/// Whether a peer with this incarnation runs on an older copy of its database than the incarnation that is known.
pub(super) fn is_older(incarnation: Incarnation, known: Incarnation) -> bool {
    incarnation != known && incarnation >> 32 <= known >> 32
}

/// The state that a voter must have on disk before it sends a message that depends on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// The incarnation of this run.
    pub incarnation: Incarnation,
    /// The current term (section 3.4).
    pub term: Term,
    /// The candidate that got this voter's vote in that term.
    pub voted: Option<VoterId>,
    /// A process that has not prepared for the edits up to this entry gets no lease, also after a restart.
    pub barrier: Index,
    /// The last known incarnation of each peer.
    pub peer_incarnations: BTreeMap<VoterId, Incarnation>,
    /// The state after the first entries of the log.
    pub state: DocumentState,
    /// The term of the last of these entries.
    pub state_term: Term,
    /// The entries that are still in memory.
    pub log: LogTail<Entry>,
}

/// One change of a [`PersistentState`]. Changes are saved in the order in which they are made.
#[derive(Clone, Debug, PartialEq)]
pub enum PersistentChange {
    /// Sets the term and the vote in it.
    Vote {
        /// The term, which never decreases.
        term: Term,
        /// The candidate that gets the vote; `None`: no vote in this term yet.
        voted: Option<VoterId>,
    },
    /// See [`PersistentState::barrier`].
    Barrier(Index),
    /// See [`PersistentState::peer_incarnations`].
    PeerIncarnation(VoterId, Incarnation),
    /// Removes the entries after this one.
    Truncate(Index),
    /// Appends an entry at this index. An entry that is already there is replaced, and the entries after it are
    /// removed.
    Append(Index, Entry),
    /// Sets the state after the entries up to `state.applied()`. With `replaces_after`, the leader sent the snapshot,
    /// which replaces the log after that entry; without it, the snapshot summarizes entries of the log.
    Snapshot {
        /// The state after the entries up to `state.applied()`.
        state: Box<DocumentState>,
        /// The term of the last of these entries.
        term: Term,
        /// The last entry that stays, which was committed here already; `None`: all entries stay.
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
