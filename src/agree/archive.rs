//! Which old entries move from a voter's log to its archive, and the verification of the digests of both. No I/O: the
//! caller reads the files.

use super::document_state::{Digest, next_digest};
use super::{Entry, Index};
use serde::{Deserialize, Serialize};

/// Entries of a segment: the voter waits while they are copied.
pub const MAX_SEGMENT_ENTRIES: u64 = 4_096;
/// No further entry is added to a segment that has this many bytes.
pub const MAX_SEGMENT_BYTES: usize = 4 * 1024 * 1024;
/// Digits of an index in a segment's name: names sort as entries do.
const DIGITS: usize = 20;
const EXTENSION: &str = ".jsonl";

/// The entries of one segment.
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

    /// Reads a file's name. `None`: it is no segment's.
    pub fn parse(name: &str) -> Option<EntryRange> {
        let (from, to) = name.strip_suffix(EXTENSION)?.split_once('-')?;
        let index = |text: &str| (text.len() == DIGITS).then(|| text.parse().ok()).flatten();
        let (from, to): (Index, Index) = (index(from)?, index(to)?);
        (from >= 1 && from <= to).then_some(EntryRange { from, to })
    }
}

/// The next segment of a log that begins with `first`: of the entries that the snapshot at `base` stands for, all but the
/// last `keep`, where they fill a segment. `None`: all stay.
pub fn next_segment(first: Index, base: Index, keep: u64) -> Option<EntryRange> {
    let to = first + MAX_SEGMENT_ENTRIES.min(keep.max(1)) - 1;
    (first >= 1 && to.saturating_add(keep) <= base).then_some(EntryRange { from: first, to })
}

/// The result of verifying all entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verification {
    /// Entries that were verified.
    pub entries: u64,
    /// The last of them.
    pub last: Index,
    /// Entries that are missing, from and to: the voter got a snapshot in their place, or their segment was moved away.
    pub gaps: Vec<(Index, Index)>,
    /// The first entry whose digest is wrong.
    #[serde(rename = "wrong")]
    pub corrupt: Option<Index>,
}

/// Verifies the digests of segments and log, entry by entry.
#[derive(Debug, Default)]
pub struct DigestChain {
    found: Verification,
    digest: Digest,
}

impl DigestChain {
    /// What was found.
    pub fn finish(self) -> Verification {
        self.found
    }

    /// The last verified entry.
    pub fn last(&self) -> Index {
        self.found.last
    }

    /// The digest of all up to the last entry.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Ends the verification: that entry is not what was written.
    pub fn mark_corrupt(&mut self, index: Index) {
        self.found.corrupt.get_or_insert(index);
    }

    /// The next entry with the digest that is told of it; `None`: it cannot be read. `before`: the digest of
    /// all in front of it, for where that is not here. False: it is not what was written, and no other needs
    /// to be looked at. One that was followed already is passed over: a voter may die between the copy and
    /// the end of an old entry.
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
        let sound = stored.filter(|(digest, entry)| **digest == next_digest(&self.digest, entry));
        let Some((digest, _)) = sound else {
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
