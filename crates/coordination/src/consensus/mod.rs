//! The rules of agreement by terms and majorities, each stated once and used by every replicated log of this project.
//!
//! They are those of Raft (Ongaro and Ousterhout, 2014), with the question before an election that binds nobody.
//!
//! * [`quorum`]: majorities, and how far a majority has a log.
//! * [`election`]: roles, and who gets a vote.
//! * [`log_tail`]: the part of a log behind what a snapshot stands for, and what of a leader's entries is new to it.
//! * [`replication_progress`]: what a leader knows of another replica's log.
//! * [`lease`]: how long whoever granted a lease has to wait where clocks drift.

pub mod election;
pub mod lease;
pub mod log_tail;
pub mod quorum;
pub mod replication_progress;

/// Position of an entry in a log; the first entry has index 1.
pub type Index = u64;
/// A period with at most one leader.
pub type Term = u64;
