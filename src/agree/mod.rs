//! Replicated documents of settings: a few voters keep one log by Raft, every process applies it and acts on it under
//! leases (Raft thesis, section 6.4.1). No I/O and no clock: messages, times and random numbers are passed in, what is to
//! be saved and sent comes out. `docs/design/agreement.md` has the guarantee and why it holds.
//!
//! `voter` is the Raft server with its grants, `document_state` the state machine, `lease_holder` the side of a process
//! that acts, `rules` what it may do; `archive` verifies the log's digests, `report` reads and writes documents as text.

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
/// A voter's number is drawn with its database: one that has lost its database is another voter.
pub type VoterId = u64;
pub use pathbank_coordination::consensus::{Index, Term};

/// One process that holds leases. Two of an upgrade, or one before and after a restart, hold leases of their own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId {
    /// The name of the host's service, as its configuration has it.
    pub head: String,
    /// Differs from one process to the next.
    pub start: u64,
}

/// What an entry does to the state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes nothing. A leader's first entry, which commits those before it (section 3.6.2); and the barrier of a
    /// linearizable read: once it is committed, its writer led until then.
    #[serde(rename = "Begin")]
    Noop,
    /// An edit of documents: prepared from its commit on, in force with its activation.
    Edit(Edit),
    /// All edits up to that entry are in force: no process can act any more without knowing of them.
    #[serde(rename = "Activate")]
    ActivateUpTo(Index),
    /// Who votes from this entry on, committed or not (section 4.1).
    Voters(Voters),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The leader's that wrote it.
    pub term: Term,
    /// What it does to the state.
    pub command: Command,
}

impl LogEntry for Entry {
    fn term(&self) -> Term {
        self.term
    }
}

impl Entry {
    /// An estimate of its size in bytes.
    fn weight(&self) -> usize {
        match &self.command {
            Command::Edit(edit) => edit.weight(),
            Command::Voters(voters) => voters.values().map(|at| at.len() + ENTRY_OVERHEAD_BYTES).sum(),
            Command::Noop | Command::ActivateUpTo(_) => ENTRY_OVERHEAD_BYTES,
        }
    }
}

const MAX_ENTRIES_PER_MESSAGE: usize = 256;
/// No further entry is added to a message that has this many bytes.
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

/// The times that the guarantee rests on; the same in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a process may act on all that it knows, from when it sent the request that was granted.
    pub lease: Micros,
    /// How long it may act on the lists of nodes and the `least` of limits, which change only after this time.
    pub long_lease: Micros,
    /// The bound on the drift of clocks, in parts of a million.
    pub drift_ppm: u64,
    /// A voter that hears no leader for this long, and a random time of at most as long again, stands for election
    /// (section 3.4).
    pub election_timeout: Micros,
    /// How often a leader sends to each peer, also without entries.
    pub heartbeat_interval: Micros,
    /// Applied entries that stay in a voter's memory, for those that lag a little.
    pub retained_entries: usize,
}

impl Timings {
    /// How long whoever granted a lease has to wait, by its own clock, until it is surely over by its
    /// holder's.
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

/// Between voters, and between a voter and the processes that hold leases. The sender is known by the connection: a
/// message names it only where it has to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A candidate asks for a vote (thesis, section 3.4). `pre`: whether it would get that vote, were it to ask for it
    /// (pre-vote, section 9.6).
    #[serde(rename = "Vote")]
    VoteRequest {
        /// Whether this is a pre-vote.
        pre: bool,
        /// The term that the candidate stands in.
        term: Term,
        /// Of the candidate's log.
        #[serde(rename = "last")]
        last_index: Index,
        /// Of that entry.
        last_term: Term,
    },
    /// The answer to a [`Message::VoteRequest`].
    #[serde(rename = "Voted")]
    VoteReply {
        /// As in the request.
        pre: bool,
        /// The voter's own term: a candidate that is behind steps down.
        term: Term,
        /// Whether the candidate has the vote.
        #[serde(rename = "yes")]
        granted: bool,
    },
    /// The leader's entries behind `previous_index`, or none as a heartbeat (section 3.5).
    #[serde(rename = "Append")]
    AppendRequest {
        /// The leader's.
        term: Term,
        /// The entry in front of `entries`; the receiver rejects them where it has another one there.
        #[serde(rename = "before")]
        previous_index: Index,
        /// Of that entry.
        #[serde(rename = "before_term")]
        previous_term: Term,
        /// None in a heartbeat.
        entries: Vec<Entry>,
        /// The leader's last committed entry.
        commit: Index,
    },
    /// In place of entries that the leader has dropped: the state after them, and the last one's term (section 5.3).
    Snapshot {
        /// The leader's.
        term: Term,
        /// Of the last entry that the state has applied.
        last_term: Term,
        /// All that the entries came to.
        #[serde(rename = "ledger")]
        state: Box<DocumentState>,
    },
    /// The answer to a [`Message::AppendRequest`] or a [`Message::Snapshot`].
    #[serde(rename = "Appended")]
    AppendReply {
        /// The sender's own term.
        term: Term,
        /// Whether the entries follow on the sender's log.
        #[serde(rename = "yes")]
        accepted: bool,
        /// Up to this entry the sender's saved log equals the leader's.
        matched: Index,
        /// As far as the sender's grants go, no process can act any more without having prepared for the entries up to
        /// this one.
        cleared: Index,
    },
    /// A process asks for a lease, having prepared for all entries up to `prepared` (leases: section 6.4.1).
    #[serde(rename = "Renew")]
    LeaseRequest {
        /// The asking process.
        holder: HolderId,
        /// By the asking process's clock, microseconds; the reply repeats it.
        #[serde(rename = "asked")]
        requested_at: Micros,
        /// The last entry that it has applied.
        prepared: Index,
    },
    /// `entries` follow on `after`, or on `snapshot`; all of them are committed. `start` and `requested_at` repeat the
    /// request: a reply to an earlier process grants this one nothing.
    #[serde(rename = "Granted")]
    LeaseReply {
        /// As [`HolderId::start`].
        start: u64,
        /// As in the request: the lease runs from then.
        #[serde(rename = "asked")]
        requested_at: Micros,
        /// Whether this voter grants the lease.
        #[serde(rename = "yes")]
        granted: bool,
        /// The entry in front of `entries`.
        after: Index,
        /// For a process that lacks entries which the voter has dropped from memory.
        snapshot: Option<Box<DocumentState>>,
        /// Committed entries that the process lacks, as far as one message takes them.
        entries: Vec<Entry>,
    },
}
