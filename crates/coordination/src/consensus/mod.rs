//! The rules of Raft, each stated once and used by every replicated log of this project. Sections are those
//! of Ongaro's thesis, *Consensus: Bridging Theory and Practice* (2014).
//!
//! * [`quorum`]: majorities, and the index up to which a majority has a log.
//! * [`election`]: roles, and the rules for granting votes.
//! * [`log_tail`]: the entries of a log after its snapshot.
//! * [`replication_progress`]: what a leader knows of another replica's log.
//! * [`lease`]: how long the grantor of a lease waits where clocks drift.

pub mod election;
pub mod lease;
pub mod log_tail;
pub mod quorum;
pub mod replication_progress;

/// Position of an entry in a log. The first entry has index 1; 0 is the position before it.
pub type Index = u64;
/// A period with at most one leader (section 3.3).
pub type Term = u64;
