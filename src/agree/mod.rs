//! Replicated documents of settings. A few voters replicate one log by Raft; every process applies the log and acts on
//! it under leases (Raft thesis, section 6.4.1). The module has no I/O and no clock: callers pass in messages, times
//! and random numbers, and get back the changes to save and the messages to send. `docs/design/agreement.md` states the
//! guarantee and why it holds.
//!
//! `voter` is the Raft server that also grants leases, `document_state` the state machine, `lease_holder` the process
//! that acts under leases, and `rules` what that process may do. `archive` verifies the log's digests; `report` parses
//! and formats documents as text.

pub mod archive;
pub mod document;
pub mod document_state;
pub mod lease_holder;
pub mod report;
pub mod rules;
pub mod voter;

use document::Edit;
use document_state::DocumentState;
use pathbank_coordination::consensus::lease;
use pathbank_coordination::consensus::log_tail::LogEntry;
use serde::{Deserialize, Serialize};
use voter::Voters;

/// Microseconds of the monotonic clock of the process that uses them; never Unix time.
pub type Micros = u64;
/// A voter's random number, created with its database: a voter that has lost its database gets a new one.
pub type VoterId = u64;
pub use pathbank_coordination::consensus::{Index, Term};

/// One process that holds leases. The old and the new process of an upgrade or a restart are separate lease holders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId {
    /// The host's name from its configuration.
    pub head: String,
    /// A number that differs between processes of one host.
    pub start: u64,
}

/// The operation of a log entry on the state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing. It is a leader's first entry, which commits the entries before it (section 3.6.2), and the
    /// barrier of a linearizable read: once it is committed, the voter that appended it was still the leader.
    #[serde(rename = "Begin")]
    Noop,
    /// An edit of documents: prepared once it is committed, in force once it is activated.
    Edit(Edit),
    /// Activates all edits up to that entry: every process that may still act has prepared for them.
    #[serde(rename = "Activate")]
    ActivateUpTo(Index),
    /// Sets the membership from this entry on, committed or not (section 4.1).
    Voters(Voters),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its operation on the state.
    pub command: Command,
}

impl LogEntry for Entry {
    fn term(&self) -> Term {
        self.term
    }
}

impl Entry {
    /// The entry's estimated size in bytes.
    fn weight(&self) -> usize {
        match &self.command {
            Command::Edit(edit) => edit.weight(),
            Command::Voters(voters) => voters.values().map(|at| at.len() + ENTRY_OVERHEAD_BYTES).sum(),
            Command::Noop | Command::ActivateUpTo(_) => ENTRY_OVERHEAD_BYTES,
        }
    }
}

const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// A message that has reached this size gets no further entry.
const MAX_BYTES_PER_MESSAGE: usize = 1024 * 1024;
const ENTRY_OVERHEAD_BYTES: usize = 32;

fn message_batch<'a>(entries: impl Iterator<Item = &'a Entry>) -> Vec<Entry> {
    let mut bytes = 0;
    let fits = |entry: &&Entry| {
        let fits = bytes < MAX_BYTES_PER_MESSAGE;
        bytes += entry.weight();
        fits
    };
    entries.take(MAX_ENTRIES_PER_MESSAGE).take_while(fits).cloned().collect()
}

/// The times on which the guarantee depends; they must be the same in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a process may act on all rules that it knows, counted from the sending of the granted request.
    pub lease: Micros,
    /// How long a process may act on the lists of nodes and the `least` rates of limits. A stricter value of these
    /// comes into force only after this time.
    pub long_lease: Micros,
    /// The bound on the drift of clocks, in parts per million.
    pub drift_ppm: u64,
    /// A voter that receives nothing from a leader for this long, plus a random time of at most the same length, starts
    /// an election (section 3.4).
    pub election_timeout: Micros,
    /// The interval at which a leader sends to each peer, also without entries.
    pub heartbeat_interval: Micros,
    /// Applied entries that a voter keeps in memory for peers and processes that lag slightly.
    pub retained_entries: usize,
}

impl Timings {
    /// How long the grantor of a lease must wait, by its own clock, until the lease has certainly expired by the
    /// holder's clock.
    pub fn grantor_wait(&self, lease: Micros) -> Micros {
        lease::grantor_wait(lease, self.drift_ppm)
    }
}

impl Default for Timings {
    fn default() -> Self {
        Timings {
            lease: 1_000_000,
            long_lease: 60_000_000,
            drift_ppm: 10_000,
            election_timeout: 500_000,
            heartbeat_interval: 100_000,
            retained_entries: 512,
        }
    }
}

/// A message between two voters, or between a voter and a lease holder. The connection identifies the sender; a message
/// names the sender only where the receiver needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A candidate requests a vote (thesis, section 3.4), or asks in a pre-vote whether it would get that vote
    /// (section 9.6).
    #[serde(rename = "Vote")]
    VoteRequest {
        /// Whether this is a pre-vote.
        pre: bool,
        /// The term of the election.
        term: Term,
        /// The last entry of the candidate's log.
        #[serde(rename = "last")]
        last_index: Index,
        /// The term of the entry at `last_index`.
        last_term: Term,
    },
    /// The answer to a [`Message::VoteRequest`].
    #[serde(rename = "Voted")]
    VoteReply {
        /// As in the request.
        pre: bool,
        /// The voter's own term: a candidate of an earlier term steps down.
        term: Term,
        /// Whether the voter grants the vote.
        #[serde(rename = "yes")]
        granted: bool,
    },
    /// The leader's entries after `previous_index`, or none as a heartbeat (section 3.5).
    #[serde(rename = "Append")]
    AppendRequest {
        /// The leader's term.
        term: Term,
        /// The entry before `entries`; the receiver rejects the message if its own entry there differs.
        #[serde(rename = "before")]
        previous_index: Index,
        /// The term of the entry at `previous_index`.
        #[serde(rename = "before_term")]
        previous_term: Term,
        /// The entries to append; empty in a heartbeat.
        entries: Vec<Entry>,
        /// The leader's last committed entry.
        commit: Index,
    },
    /// The state that replaces entries which the leader has dropped from memory (section 5.3).
    Snapshot {
        /// The leader's term.
        term: Term,
        /// The term of the last entry that the state has applied.
        last_term: Term,
        /// The state after these entries.
        #[serde(rename = "ledger")]
        state: Box<DocumentState>,
    },
    /// The answer to a [`Message::AppendRequest`] or a [`Message::Snapshot`].
    #[serde(rename = "Appended")]
    AppendReply {
        /// The sender's own term.
        term: Term,
        /// Whether the sender's log has the entry before the message's entries, or has installed the snapshot.
        #[serde(rename = "yes")]
        accepted: bool,
        /// The last entry up to which the sender's saved log equals the leader's.
        matched: Index,
        /// By the sender's grants, every process that may still act has prepared for the entries up to this one.
        cleared: Index,
    },
    /// A process that has prepared for all entries up to `prepared` requests a lease (section 6.4.1).
    #[serde(rename = "Renew")]
    LeaseRequest {
        /// The requesting process.
        holder: HolderId,
        /// When the request was sent, by the requesting process's clock; the reply repeats it.
        #[serde(rename = "asked")]
        requested_at: Micros,
        /// The last entry that the process has applied.
        prepared: Index,
    },
    /// A voter's answer to a [`Message::LeaseRequest`]. `entries` follow `after`, or `snapshot` where there is one; all
    /// are committed. `start` and `requested_at` repeat the request, so that a process ignores the grant in a reply to
    /// an earlier process.
    #[serde(rename = "Granted")]
    LeaseReply {
        /// As [`HolderId::start`].
        start: u64,
        /// As in the request: the start of the lease.
        #[serde(rename = "asked")]
        requested_at: Micros,
        /// Whether this voter grants the lease.
        #[serde(rename = "yes")]
        granted: bool,
        /// The entry before `entries`.
        after: Index,
        /// The state, for a process that lacks entries which the voter has dropped from memory.
        snapshot: Option<Box<DocumentState>>,
        /// Committed entries that the process lacks, as many as fit into one message.
        entries: Vec<Entry>,
    },
}
