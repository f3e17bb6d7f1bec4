//! Selects the old entries that move from a voter's log to its archive, and verifies the digests of both. The module
//! has no I/O: the caller reads the files.

use super::document_state::{Digest, next_digest};
use super::{Entry, Index};
use serde::{Deserialize, Serialize};

/// Limit on the entries of a segment; the voter is blocked while they are copied.
pub const MAX_SEGMENT_ENTRIES: u64 = 4_096;
/// A segment that has reached this size gets no further entry.
pub const MAX_SEGMENT_BYTES: usize = 4 * 1024 * 1024;
/// Digits of an index in a segment's name, so that names sort in the order of entries.
const DIGITS: usize = 20;
const EXTENSION: &str = ".jsonl";

/// The range of entries in one segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryRange {
    /// The first entry.
    pub from: Index,
    /// The last entry.
    pub to: Index,
}

impl EntryRange {
    /// The name of the segment's file.
    pub fn name(&self) -> String {
        format!("{:0DIGITS$}-{:0DIGITS$}{EXTENSION}", self.from, self.to)
    }

    /// Parses a file's name. `None`: the file is not a segment.
    pub fn parse(name: &str) -> Option<EntryRange> {
        let (from, to) = name.strip_suffix(EXTENSION)?.split_once('-')?;
        let index = |text: &str| (text.len() == DIGITS).then(|| text.parse().ok()).flatten();
        let (from, to): (Index, Index) = (index(from)?, index(to)?);
        (from >= 1 && from <= to).then_some(EntryRange { from, to })
    }
}

/// The next segment to archive of a log that begins with `first`. Of the entries up to `base`, which the snapshot
/// includes, the last `keep` stay in the log. `None`: the others do not fill a segment yet.
pub fn next_segment(first: Index, base: Index, keep: u64) -> Option<EntryRange> {
    let to = first + MAX_SEGMENT_ENTRIES.min(keep.max(1)) - 1;
    (first >= 1 && to.saturating_add(keep) <= base).then_some(EntryRange { from: first, to })
}

/// The result of a verification.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verification {
    /// Number of verified entries.
    pub entries: u64,
    /// The last verified entry.
    pub last: Index,
    /// First and last entry of each missing range: the voter got a snapshot in place of the entries, or their segment
    /// was moved away.
    pub gaps: Vec<(Index, Index)>,
    /// The first entry whose digest is wrong.
    #[serde(rename = "wrong")]
    pub corrupt: Option<Index>,
}

/// Verifies the digests of the segments and the log, entry by entry.
#[derive(Debug, Default)]
pub struct DigestChain {
    found: Verification,
    digest: Digest,
}

impl DigestChain {
    /// Ends the verification and returns its result.
    pub fn finish(self) -> Verification {
        self.found
    }

    /// The last verified entry.
    pub fn last(&self) -> Index {
        self.found.last
    }

    /// The digest of all entries up to the last verified one.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Ends the verification because the entry at `index` is not what was written.
    pub fn mark_corrupt(&mut self, index: Index) {
        self.found.corrupt.get_or_insert(index);
    }

    /// Verifies the next entry against its stored digest (`None`: the entry cannot be read). `before` returns the
    /// digest of all earlier entries and is called after a gap. Returns false if the entry, or an earlier one, is not
    /// what was written; the verification then ends. An entry that was verified already is skipped: a voter that dies
    /// after copying an entry to the archive and before removing it from the log leaves both copies.
    pub fn follow(
        &mut self,
        index: Index,
        stored: Option<(&Digest, &Entry)>,
        before: impl FnOnce() -> Option<Digest>,
    ) -> bool {
        if self.found.corrupt.is_some() {
            return false;
        }
        if index <= self.found.last {
            return true;
        }
        if index != self.found.last + 1 {
            self.found.gaps.push((self.found.last + 1, index - 1));
            match before() {
                Some(before) => self.digest = before,
                None => {
                    self.mark_corrupt(index);
                    return false;
                }
            }
        }
        let valid = stored.filter(|(digest, entry)| **digest == next_digest(&self.digest, entry));
        let Some((digest, _)) = valid else {
            self.mark_corrupt(index);
            return false;
        };
        (self.digest, self.found.last) = (*digest, index);
        self.found.entries += 1;
        true
    }
}

#[cfg(test)]
mod tests;
