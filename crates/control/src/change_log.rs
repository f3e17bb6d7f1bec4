//! What is remembered of operators' changes, so that one that comes again is acknowledged again.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Changes that are remembered: at 4,600 a day, those of one day and three quarters.
pub const MAX_RECORDED_CHANGES: usize = 8_192;

/// A change that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct AcceptedChange {
    digest: u128,
    /// The version on which it built.
    base: u64,
}

/// What is known of a change that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeLookup {
    /// It was accepted.
    Accepted,
    /// It is not recorded, and would be if it had been accepted.
    Unknown,
    /// It builds on a version so old that what was taken on it is forgotten: it may have been taken.
    Evicted,
}

/// The changes that were taken, the newest ones by their digests. Bases rise from change to change, so what
/// is forgotten is known by its base.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "StoredChangeLog", into = "StoredChangeLog")]
pub struct ChangeLog {
    taken: VecDeque<AcceptedChange>,
    digests: BTreeSet<u128>,
    /// Changes on bases below this may be forgotten.
    remembered_from: u64,
}

/// As it lies in a snapshot.
#[derive(Clone, Serialize, Deserialize)]
struct StoredChangeLog {
    taken: VecDeque<AcceptedChange>,
    remembered_from: u64,
}

impl From<StoredChangeLog> for ChangeLog {
    fn from(stored: StoredChangeLog) -> ChangeLog {
        let digests = stored.taken.iter().map(|change| change.digest).collect();
        ChangeLog { taken: stored.taken, digests, remembered_from: stored.remembered_from }
    }
}

impl From<ChangeLog> for StoredChangeLog {
    fn from(log: ChangeLog) -> StoredChangeLog {
        StoredChangeLog { taken: log.taken, remembered_from: log.remembered_from }
    }
}

impl ChangeLog {
    /// A log that knows nothing of changes on bases below `base`.
    pub fn remembering_from(base: u64) -> ChangeLog {
        ChangeLog { remembered_from: base, ..ChangeLog::default() }
    }

    /// What is known of a change.
    pub fn lookup(&self, digest: u128, base: u64) -> ChangeLookup {
        match self.digests.contains(&digest) {
            true => ChangeLookup::Accepted,
            false if base < self.remembered_from => ChangeLookup::Evicted,
            false => ChangeLookup::Unknown,
        }
    }

    /// A change was taken. The oldest one is forgotten for it where there are too many.
    pub fn record(&mut self, digest: u128, base: u64) {
        self.taken.push_back(AcceptedChange { digest, base });
        self.digests.insert(digest);
        if self.taken.len() > MAX_RECORDED_CHANGES
            && let Some(oldest) = self.taken.pop_front()
        {
            self.digests.remove(&oldest.digest);
            self.remembered_from = oldest.base + 1;
        }
    }
}
