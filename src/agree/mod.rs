//! Settings and lists on which the heads agree: versioned documents in one log, kept by a few voters, held by every head
//! under leases. No I/O and no clock: messages, times and draws are passed in, what is to be saved and sent comes out.
//! `docs/design/agreement.md` has the promise and why it holds.

pub mod archive;
pub mod document;
pub mod holder;
pub mod ledger;
pub mod report;
pub mod rules;
pub mod voter;

use document::Edit;
use ledger::Ledger;
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
    /// A leader's first entry, by which what came before it counts; and one that shows, once it counts, that whoever
    /// wrote it led until then.
    Begin,
    /// Prepared from its commit on; in force with its activation.
    Edit(Edit),
    /// All edits up to that entry are in force.
    Activate(Index),
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
            Command::Voters(voters) => voters.values().map(|at| at.len() + ENTRY_BYTES).sum(),
            Command::Begin | Command::Activate(_) => ENTRY_BYTES,
        }
    }
}

/// Entries in one message: so many at most, and no further one beyond so many bytes.
const AT_ONCE: usize = 256;
const AT_ONCE_BYTES: usize = 1024 * 1024;
const ENTRY_BYTES: usize = 32;

fn at_once<'a>(entries: impl Iterator<Item = &'a Entry>) -> Vec<Entry> {
    let mut bytes = 0;
    let fits = |entry: &&Entry| {
        let fits = bytes < AT_ONCE_BYTES;
        bytes += entry.weight();
        fits
    };
    entries.take(AT_ONCE).take_while(fits).cloned().collect()
}

/// The times that the promise rests on. Voters and heads have to have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long a head may act on what it was told, counted at the head from when it asked.
    pub lease: Micros,
    /// How long it may keep to its lists, and to what a limit is never set below.
    pub long_lease: Micros,
    /// How much a clock may run fast or slow, in parts of a million.
    pub drift_ppm: u64,
    /// A voter that hears no leader for this long, and for as long again at most, stands for election.
    pub election: Micros,
    pub beat: Micros,
    /// Entries that are in force and stay in a voter's memory, for those who are a little behind.
    pub kept: usize,
}

impl Times {
    /// How long whoever granted a lease has to wait, by its own clock, until it is surely over by its holder's.
    pub fn surely_over(&self, lease: Micros) -> Micros {
        lease::grantor_wait(lease, self.drift_ppm)
    }
}

impl Default for Times {
    fn default() -> Self {
        Times {
            lease: 1_000_000,
            long_lease: 60_000_000,
            drift_ppm: 10_000,
            election: 500_000,
            beat: 100_000,
            kept: 512,
        }
    }
}

/// Who says it is known by how it came.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// `pre`: whether it would get that vote, were it to ask for it.
    Vote {
        pre: bool,
        term: Term,
        last: Index,
        last_term: Term,
    },
    Voted {
        pre: bool,
        term: Term,
        yes: bool,
    },
    Append {
        term: Term,
        before: Index,
        before_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    },
    /// In place of entries that the leader has no more: all that they came to, and the last one's term.
    Snapshot {
        term: Term,
        last_term: Term,
        ledger: Box<Ledger>,
    },
    /// `matched`: all up to there is saved as the leader has it; `cleared`: no head can still act without knowing of that
    /// entry, as far as this voter's grants go.
    Appended {
        term: Term,
        yes: bool,
        matched: Index,
        cleared: Index,
    },
    /// A head asks for its lease, having prepared for all up to `prepared`; `asked` comes back as it is.
    Renew {
        holder: HolderId,
        asked: Micros,
        prepared: Index,
    },
    /// `entries` follow on `after`, or on `snapshot`; all of them are committed. `start` and `asked` as they came: an answer to an earlier
    /// process of the head grants this one nothing.
    Granted {
        start: u64,
        asked: Micros,
        yes: bool,
        after: Index,
        snapshot: Option<Box<Ledger>>,
        entries: Vec<Entry>,
    },
}
