//! What a replica must never forget, and the records of which it is made. [`crate::batch`] has their form on
//! disk.

use crate::consensus::election::LogPosition;
use crate::consensus::log_tail::LogTail;
use crate::types::{Entry, Index, Membership, Snapshot, StoreId, Term};
use serde::{Deserialize, Serialize};

/// One change of a replica's durable state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The first record of a file: whose store it is, and the group it was started with.
    Identity {
        /// The store.
        id: StoreId,
        /// The voters of the very first start; empty for a store that joined later.
        initial: Membership,
    },
    /// The term, and who got this store's vote in it.
    Vote {
        /// The term.
        term: Term,
        /// The candidate, if any.
        voted_for: Option<StoreId>,
    },
    /// An entry; it and all behind it are replaced.
    Entry(Entry),
    /// The state up to an entry, in place of the entries before it. `keep_tail`: entries behind it stay.
    Snapshot {
        /// The state.
        snapshot: Snapshot,
        /// Whether the entries behind `snapshot.index` stay in the log.
        keep_tail: bool,
    },
}

/// All that a replica must never forget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurableState {
    /// Whose store it is.
    pub id: Option<StoreId>,
    /// The voters of the very first start.
    pub initial: Membership,
    /// The highest term heard of.
    pub term: Term,
    /// Who got the vote in that term.
    pub voted_for: Option<StoreId>,
    /// The state that the log's first part came to.
    pub snapshot: Snapshot,
    /// The entries behind the snapshot.
    pub log: LogTail<Entry>,
}

impl DurableState {
    /// The one function that changes durable state; the disk holds the same records in the same order.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Identity { id, initial } => (self.id, self.initial) = (Some(id), initial),
            Record::Vote { term, voted_for } => (self.term, self.voted_for) = (term, voted_for),
            Record::Entry(entry) => {
                let index = entry.index;
                self.log.insert(index, entry);
            }
            Record::Snapshot { snapshot, keep_tail } => {
                let keeps = keep_tail && self.log.term_at(snapshot.index).is_some();
                match keeps {
                    true => self.log.compact_to(snapshot.index),
                    false => self.log.reset(snapshot.index, snapshot.term),
                }
                self.snapshot = snapshot;
            }
        }
    }

    /// The index of the last entry.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// How far the log goes.
    pub fn position(&self) -> LogPosition {
        self.log.position()
    }

    /// The entry at `index`, unless it is covered by the snapshot or not there yet.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// The term of the entry at `index`, if it is known.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term_at(index)
    }

    /// The whole state as the records of a fresh file.
    pub fn records(&self) -> Vec<Record> {
        let id = self.id.unwrap_or(StoreId(0));
        let mut records = vec![Record::Identity { id, initial: self.initial.clone() }];
        records.push(Record::Vote { term: self.term, voted_for: self.voted_for });
        if self.snapshot.index > 0 {
            records.push(Record::Snapshot { snapshot: self.snapshot.clone(), keep_tail: false });
        }
        records.extend(self.log.entries().iter().cloned().map(Record::Entry));
        records
    }
}
