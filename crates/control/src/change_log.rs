//! What is remembered of operators' changes, so that one that comes again is acknowledged again.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// Changes that are remembered: at 4,600 a day, those of one day and three quarters.
pub const CHANGES_REMEMBERED: usize = 8_192;

/// A change that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct TakenChange {
    digest: u128,
    /// The version on which it built.
    base: u64,
}

/// What is known of a change that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recall {
    /// It was taken.
    Taken,
    /// It was not.
    New,
    /// It builds on a version so old that what was taken on it is forgotten: it may have been taken.
    Forgotten,
}

/// The changes that were taken, the newest ones by their digests. Bases rise from change to change, so what is forgotten
/// is known by its base.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "StoredLog", into = "StoredLog")]
pub struct ChangeLog {
    taken: VecDeque<TakenChange>,
    digests: BTreeSet<u128>,
    /// Changes on bases below this may be forgotten.
    remembered_from: u64,
}

/// As it lies in a snapshot.
#[derive(Clone, Serialize, Deserialize)]
struct StoredLog {
    taken: VecDeque<TakenChange>,
    remembered_from: u64,
}

impl From<StoredLog> for ChangeLog {
    fn from(stored: StoredLog) -> ChangeLog {
        let digests = stored.taken.iter().map(|change| change.digest).collect();
        ChangeLog { taken: stored.taken, digests, remembered_from: stored.remembered_from }
    }
}

impl From<ChangeLog> for StoredLog {
    fn from(log: ChangeLog) -> StoredLog {
        StoredLog { taken: log.taken, remembered_from: log.remembered_from }
    }
}

impl ChangeLog {
    /// A log that knows nothing of changes on bases below `base`.
    pub fn remembering_from(base: u64) -> ChangeLog {
        ChangeLog { remembered_from: base, ..ChangeLog::default() }
    }

    /// What is known of a change.
    pub fn recall(&self, digest: u128, base: u64) -> Recall {
        match self.digests.contains(&digest) {
            true => Recall::Taken,
            false if base < self.remembered_from => Recall::Forgotten,
            false => Recall::New,
        }
    }

    /// A change was taken. The oldest one is forgotten for it where there are too many.
    pub fn note(&mut self, digest: u128, base: u64) {
        self.taken.push_back(TakenChange { digest, base });
        self.digests.insert(digest);
        if self.taken.len() > CHANGES_REMEMBERED
            && let Some(oldest) = self.taken.pop_front()
        {
            self.digests.remove(&oldest.digest);
            self.remembered_from = oldest.base + 1;
        }
    }
}
