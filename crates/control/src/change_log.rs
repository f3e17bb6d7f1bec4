//! The operators' accepted changes, so that a repeated change is acknowledged and not applied again.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// The limit of recorded changes. At 4,600 changes a day these are the changes of 42 hours.
pub const MAX_RECORDED_CHANGES: usize = 8_192;

/// A change that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcceptedChange {
    digest: u128,
    /// The version on which the change built.
    base: u64,
}

/// Whether a change that arrives was accepted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeLookup {
    /// The change was accepted.
    Accepted,
    /// The change was not accepted: it would be recorded.
    Unknown,
    /// The change builds on a version whose changes are no longer recorded: it may have been accepted.
    Evicted,
}

/// The newest accepted changes by their digests. Each change builds on a higher base than the one before, so
/// the base alone shows whether changes on it are still recorded.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "StoredChangeLog", into = "StoredChangeLog")]
pub struct ChangeLog {
    /// Oldest first.
    accepted: VecDeque<AcceptedChange>,
    digests: BTreeSet<u128>,
    /// All changes on this base and later ones are recorded.
    complete_from: u64,
}

/// The form of the log in a snapshot.
#[derive(Clone, Serialize, Deserialize)]
struct StoredChangeLog {
    #[serde(rename = "taken")]
    accepted: VecDeque<AcceptedChange>,
    #[serde(rename = "remembered_from")]
    complete_from: u64,
}

impl From<StoredChangeLog> for ChangeLog {
    fn from(stored: StoredChangeLog) -> ChangeLog {
        let digests = stored.accepted.iter().map(|change| change.digest).collect();
        ChangeLog { accepted: stored.accepted, digests, complete_from: stored.complete_from }
    }
}

impl From<ChangeLog> for StoredChangeLog {
    fn from(log: ChangeLog) -> StoredChangeLog {
        StoredChangeLog { accepted: log.accepted, complete_from: log.complete_from }
    }
}

impl ChangeLog {
    /// An empty log that has no record of changes on bases below `base`.
    pub fn complete_from(base: u64) -> ChangeLog {
        ChangeLog { complete_from: base, ..ChangeLog::default() }
    }

    /// Looks a change up by its digest and the version on which it builds.
    pub fn lookup(&self, digest: u128, base: u64) -> ChangeLookup {
        match self.digests.contains(&digest) {
            true => ChangeLookup::Accepted,
            false if base < self.complete_from => ChangeLookup::Evicted,
            false => ChangeLookup::Unknown,
        }
    }

    /// Records an accepted change. Beyond `MAX_RECORDED_CHANGES` the oldest one is evicted.
    pub fn record(&mut self, digest: u128, base: u64) {
        self.accepted.push_back(AcceptedChange { digest, base });
        self.digests.insert(digest);
        if self.accepted.len() > MAX_RECORDED_CHANGES
            && let Some(oldest) = self.accepted.pop_front()
        {
            self.digests.remove(&oldest.digest);
            self.complete_from = oldest.base + 1;
        }
    }
}
