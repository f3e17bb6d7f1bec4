//! A replica's durable state, and the records of which it is made. [`crate::batch`] has their form on disk.

use crate::consensus::election::LogPosition;
use crate::consensus::log_tail::LogTail;
use crate::types::{Entry, Index, Membership, Snapshot, StoreId, Term};
use serde::{Deserialize, Serialize};

/// One change of a replica's durable state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The first record of a file: which store it is, and the membership it was started with.
    Identity {
        /// The store.
        id: StoreId,
        /// The voters of the first start of the system; empty for a store that joined later.
        initial: Membership,
    },
    /// The term, and this store's vote in it.
    Vote {
        /// The term.
        term: Term,
        /// The candidate, if any.
        voted_for: Option<StoreId>,
    },
    /// An entry, which replaces the one at its index and all after it.
    Entry(Entry),
    /// A snapshot, in place of the entries that it covers.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the entries after `snapshot.index` stay in the log.
        keep_tail: bool,
    },
}

/// The state that a replica must never lose (section 3.8 of Ongaro's thesis).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurableState {
    /// The identity of the store; `None` if nothing was ever saved.
    pub id: Option<StoreId>,
    /// The voters of the first start of the system.
    pub initial: Membership,
    /// The latest term that this replica has seen.
    pub term: Term,
    /// The candidate that this replica has voted for in that term, if any.
    pub voted_for: Option<StoreId>,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub log: LogTail<Entry>,
}

impl DurableState {
    /// Applies a record. Durable state changes in no other way, so that it always equals the result of the
    /// records on disk and those still to be saved, in the same order.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Identity { id, initial } => (self.id, self.initial) = (Some(id), initial),
            Record::Vote { term, voted_for } => (self.term, self.voted_for) = (term, voted_for),
            Record::Entry(entry) => {
                let index = entry.index;
                self.log.insert(index, entry);
            }
            Record::Snapshot { snapshot, keep_tail } => {
                let keeps_tail = keep_tail && self.log.term_at(snapshot.index).is_some();
                match keeps_tail {
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

    /// The last entry's index and term.
    pub fn position(&self) -> LogPosition {
        self.log.position()
    }

    /// The entry at `index`, unless it was compacted away or does not exist yet.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.entry(index)
    }

    /// The term of the entry at `index`, if it is known.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term_at(index)
    }

    /// The records of a new file that holds this state.
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
