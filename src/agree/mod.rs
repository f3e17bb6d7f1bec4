//! Settings and lists on which the heads agree: versioned documents in one log, kept by a few voters, held by
//! every head under leases. No I/O and no clock: messages, times and draws are passed in, what is to be saved
//! and sent comes out. `docs/design/agreement.md` has the promise and why it holds.

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

/// Microseconds of the monotonic clock of whoever is asked; never of the day.
pub type Micros = u64;
/// A voter's number is drawn with its disk: whoever has lost that is another voter.
pub type VoterId = u64;
pub use pathbank_coordination::consensus::{Index, Term};

/// One process of a head. Two of an upgrade, or one before and after a restart, hold leases of their own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderId {
    pub head: String,
    pub start: u64,
}

/// What the log holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A leader's first entry, by which what came before it counts; and one that shows, once it counts, that
    /// whoever wrote it led until then.
    #[serde(rename = "Begin")]
    Noop,
    /// Prepared from its commit on; in force with its activation.
    Edit(Edit),
    /// All edits up to that entry are in force.
    #[serde(rename = "Activate")]
    ActivateUpTo(Index),
    /// Who votes from this entry on.
    Voters(Voters),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub command: Command,
}

impl LogEntry for Entry {
    fn term(&self) -> Term {
        self.term
    }
}

impl Entry {
    /// About how many bytes it takes.
    fn weight(&self) -> usize {
        match &self.command {
            Command::Edit(edit) => edit.weight(),
            Command::Voters(voters) => voters.values().map(|at| at.len() + ENTRY_OVERHEAD_BYTES).sum(),
            Command::Noop | Command::ActivateUpTo(_) => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// Entries in one message: so many at most, and no further one beyond so many bytes.
const MAX_ENTRIES_PER_MESSAGE: usize = 256;
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

/// The times that the promise rests on. Voters and heads have to have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a head may act on what it was told, counted at the head from when it asked.
    pub lease: Micros,
    /// How long it may keep to its lists, and to what a limit is never set below.
    pub long_lease: Micros,
    /// How much a clock may run fast or slow, in parts of a million.
    pub drift_ppm: u64,
    /// A voter that hears no leader for this long, and for as long again at most, stands for election.
    pub election_timeout: Micros,
    pub heartbeat_interval: Micros,
    /// Entries that are in force and stay in a voter's memory, for those who are a little behind.
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
        pre: bool,
        term: Term,
        #[serde(rename = "last")]
        last_index: Index,
        last_term: Term,
    },
    #[serde(rename = "Voted")]
    VoteReply {
        pre: bool,
        term: Term,
        #[serde(rename = "yes")]
        granted: bool,
    },
    /// The leader's entries behind `previous_index`, or none as a heartbeat (section 3.5).
    #[serde(rename = "Append")]
    AppendRequest {
        term: Term,
        #[serde(rename = "before")]
        previous_index: Index,
        #[serde(rename = "before_term")]
        previous_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    },
    /// In place of entries that the leader has dropped: the state after them, and the last one's term (section 5.3).
    Snapshot {
        term: Term,
        last_term: Term,
        #[serde(rename = "ledger")]
        state: Box<DocumentState>,
    },
    #[serde(rename = "Appended")]
    AppendReply {
        term: Term,
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
        holder: HolderId,
        /// By the asking process's clock, microseconds; the reply repeats it.
        #[serde(rename = "asked")]
        requested_at: Micros,
        prepared: Index,
    },
    /// `entries` follow on `after`, or on `snapshot`; all of them are committed. `start` and `requested_at` repeat the
    /// request: a reply to an earlier process grants this one nothing.
    #[serde(rename = "Granted")]
    LeaseReply {
        start: u64,
        #[serde(rename = "asked")]
        requested_at: Micros,
        #[serde(rename = "yes")]
        granted: bool,
        after: Index,
        snapshot: Option<Box<DocumentState>>,
        entries: Vec<Entry>,
    },
}
