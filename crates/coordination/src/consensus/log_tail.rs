//! The entries of a log after its base. The base is the last entry that the snapshot covers (section 5.1).

use super::election::LogPosition;
use super::{Index, Term};

/// An entry of a log.
pub trait LogEntry {
    /// The term of the leader that wrote it.
    fn term(&self) -> Term;
}

/// Entries after a base, in order and without gaps.
///
/// Invariant: the entry at `base.index + 1 + n` is `entries[n]`.
///
/// ```
/// use pathbank_coordination::consensus::Term;
/// use pathbank_coordination::consensus::log_tail::{LogEntry, LogTail};
///
/// #[derive(Clone)]
/// struct Entry(Term);
/// impl LogEntry for Entry {
///     fn term(&self) -> Term { self.0 }
/// }
///
/// let mut log = LogTail::after(7, 2);
/// log.insert(8, Entry(2));
/// log.insert(9, Entry(3));
/// assert_eq!((log.last_index(), log.term_at(7), log.term_at(9)), (9, Some(2), Some(3)));
/// // A later leader has other entries after 8.
/// assert_eq!(log.matching_prefix(7, 7, &[Entry(2), Entry(4)]), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogTail<Entry> {
    base: LogPosition,
    entries: Vec<Entry>,
}

impl<Entry> Default for LogTail<Entry> {
    fn default() -> Self {
        LogTail::after(0, 0)
    }
}

impl<Entry> LogTail<Entry> {
    /// A log whose base is the given entry, with no entries after it.
    pub fn after(index: Index, term: Term) -> LogTail<Entry> {
        LogTail { base: LogPosition { term, index }, entries: Vec::new() }
    }

    /// The last entry that was compacted away.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// The number of entries after the base.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry after the base.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entries, in order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// The entries after an index; all entries if the index is at or before the base.
    pub fn entries_after(&self, index: Index) -> &[Entry] {
        let skipped = index.saturating_sub(self.base.index) as usize;
        self.entries.get(skipped..).unwrap_or_default()
    }

    /// The last entry's index.
    pub fn last_index(&self) -> Index {
        self.base.index + self.entries.len() as Index
    }

    /// The entry at an index; `None`: it was compacted away, or does not exist yet.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Removes all entries after `last`.
    pub fn truncate(&mut self, last: Index) {
        self.entries.truncate(last.saturating_sub(self.base.index) as usize);
    }

    /// Inserts an entry at its index and removes the entries from that index on (section 3.5). Ignores an
    /// entry that would leave a gap.
    pub fn insert(&mut self, index: Index, entry: Entry) {
        self.truncate(index.saturating_sub(1));
        if index == self.last_index() + 1 {
            self.entries.push(entry);
        }
    }

    /// Sets another base and removes all entries.
    pub fn reset(&mut self, index: Index, term: Term) {
        *self = LogTail::after(index, term);
    }
}

impl<Entry: LogEntry> LogTail<Entry> {
    /// The last entry's index and term.
    pub fn position(&self) -> LogPosition {
        let term = self.entries.last().map_or(self.base.term, Entry::term);
        LogPosition { term, index: self.last_index() }
    }

    /// The term of the entry at an index; `None`: it was compacted away, or does not
    /// exist yet.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(Entry::term)
    }

    /// Removes all entries up to `index`, which becomes the base. An index that is not in the log changes
    /// nothing.
    pub fn compact_to(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else { return };
        self.entries.drain(..(index - self.base.index) as usize);
        self.base = LogPosition { term, index };
    }

    /// How many of a leader's entries, which start after the index `previous`, this log already has.
    /// Committed entries count as present because they are never replaced, so a late message removes nothing
    /// (section 3.5).
    pub fn matching_prefix(&self, committed: Index, previous: Index, entries: &[Entry]) -> usize {
        let is_present = |(entry, index): &(&Entry, Index)| {
            *index <= committed || self.term_at(*index) == Some(entry.term())
        };
        entries.iter().zip(previous + 1..).take_while(is_present).count()
    }
}
