//! The part of a log that is still there entry by entry: all behind a base that a snapshot stands for.

use super::election::LogPosition;
use super::{Index, Term};

/// An entry of a log.
pub trait LogEntry {
    /// The term of the leader that wrote it.
    fn term(&self) -> Term;
}

/// Entries behind a base, in order and without gaps.
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
/// let mut log = LogTail::behind(7, 2);
/// log.put(8, Entry(2));
/// log.put(9, Entry(3));
/// assert_eq!((log.last_index(), log.term_at(7), log.term_at(9)), (9, Some(2), Some(3)));
/// // A later leader has other entries behind 8.
/// assert_eq!(log.matching_prefix(7, 7, &[Entry(2), Entry(4)]), 1);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogTail<Entry> {
    base: LogPosition,
    entries: Vec<Entry>,
}

impl<Entry> Default for LogTail<Entry> {
    fn default() -> Self {
        LogTail::behind(0, 0)
    }
}

impl<Entry> LogTail<Entry> {
    /// No entry yet behind that one.
    pub fn behind(index: Index, term: Term) -> LogTail<Entry> {
        LogTail { base: LogPosition { term, index }, entries: Vec::new() }
    }

    /// The last entry that is not here any more, and its term.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Entries that are here.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is here.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entries, in order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Those behind an entry; behind the base, all of them.
    pub fn entries_after(&self, index: Index) -> &[Entry] {
        let skipped = index.saturating_sub(self.base.index) as usize;
        self.entries.get(skipped..).unwrap_or_default()
    }

    /// The last entry's index.
    pub fn last_index(&self) -> Index {
        self.base.index + self.entries.len() as Index
    }

    /// The entry at an index; `None`: it is covered by the base, or not there yet.
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// The log ends at that entry, or at the base.
    pub fn truncate(&mut self, last: Index) {
        self.entries.truncate(last.saturating_sub(self.base.index) as usize);
    }

    /// An entry in its place; it and all behind it are replaced. One that would leave a gap is not taken.
    pub fn put(&mut self, index: Index, entry: Entry) {
        self.truncate(index.saturating_sub(1));
        if index == self.last_index() + 1 {
            self.entries.push(entry);
        }
    }

    /// Another base, and nothing behind it.
    pub fn reset(&mut self, index: Index, term: Term) {
        *self = LogTail::behind(index, term);
    }
}

impl<Entry: LogEntry> LogTail<Entry> {
    /// How far the log goes.
    pub fn position(&self) -> LogPosition {
        let term = self.entries.last().map_or(self.base.term, Entry::term);
        LogPosition { term, index: self.last_index() }
    }

    /// The term of the entry at an index; `None`: it is covered by the base, or not there yet.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(Entry::term)
    }

    /// All up to that entry leaves; what is behind it stays. An index that is not in the log changes nothing.
    pub fn compact_to(&mut self, index: Index) {
        let Some(term) = self.term_at(index) else { return };
        self.entries.drain(..(index - self.base.index) as usize);
        self.base = LogPosition { term, index };
    }

    /// How many of a leader's entries, which follow on `previous`, this log has as they are. What is
    /// committed is never taken away, so it counts as known; a late message thus takes nothing away either.
    pub fn matching_prefix(&self, committed: Index, previous: Index, entries: &[Entry]) -> usize {
        let is_known = |(entry, index): &(&Entry, Index)| {
            *index <= committed || self.term_at(*index) == Some(entry.term())
        };
        entries.iter().zip(previous + 1..).take_while(is_known).count()
    }
}
