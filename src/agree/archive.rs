//! Which old entries leave a voter's log for its archive, and whether what is left, here and there, is what
//! was written. No I/O: whoever holds the files says what is in them.

use super::document_state::{Digest, next_digest};
use super::{Entry, Index};
use serde::{Deserialize, Serialize};

/// So many entries at the most leave at once, and no further one beyond so many bytes: a voter stands still
/// meanwhile.
pub const MAX_SEGMENT_ENTRIES: u64 = 4_096;
pub const MAX_SEGMENT_BYTES: usize = 4 * 1024 * 1024;
/// Digits of an index in a segment's name: names are in the entries' order.
const DIGITS: usize = 20;
const EXTENSION: &str = ".jsonl";

/// Entries that lie together in one segment, the first and the last one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryRange {
    pub from: Index,
    pub to: Index,
}

impl EntryRange {
    pub fn name(&self) -> String {
        format!("{:0DIGITS$}-{:0DIGITS$}{EXTENSION}", self.from, self.to)
    }

    /// `None`: that is no segment's name.
    pub fn of(name: &str) -> Option<EntryRange> {
        let (from, to) = name.strip_suffix(EXTENSION)?.split_once('-')?;
        let index = |text: &str| (text.len() == DIGITS).then(|| text.parse().ok()).flatten();
        let (from, to): (Index, Index) = (index(from)?, index(to)?);
        (from >= 1 && from <= to).then_some(EntryRange { from, to })
    }
}

/// Entries that may leave a log which begins with `first`: those that the ledger up to `base` stands for, but
/// for the last `keep` of them, and only where they fill a segment. `None`: all stay.
pub fn next_segment(first: Index, base: Index, keep: u64) -> Option<EntryRange> {
    let to = first + MAX_SEGMENT_ENTRIES.min(keep.max(1)) - 1;
    (first >= 1 && to.saturating_add(keep) <= base).then_some(EntryRange { from: first, to })
}

/// What a check of all entries found.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verification {
    pub entries: u64,
    pub last: Index,
    /// Entries that are not here, from and to: all that they came to was taken over from another voter, or
    /// their segment was moved away.
    pub gaps: Vec<(Index, Index)>,
    /// The first entry that is not what was written.
    #[serde(rename = "wrong")]
    pub corrupt: Option<Index>,
}

/// Follows the digest of each entry and all before it, over segments and log.
#[derive(Debug, Default)]
pub struct DigestChain {
    found: Verification,
    digest: Digest,
}

impl DigestChain {
    pub fn done(self) -> Verification {
        self.found
    }

    pub fn last(&self) -> Index {
        self.found.last
    }

    /// The digest of all up to the last entry.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// From here on there is nothing to follow: that entry is not what was written.
    pub fn fail(&mut self, index: Index) {
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
                    self.fail(index);
                    return false;
                }
            }
        }
        let sound = stored.filter(|(digest, entry)| **digest == next_digest(&self.digest, entry));
        let Some((digest, _)) = sound else {
            self.fail(index);
            return false;
        };
        (self.digest, self.found.last) = (*digest, index);
        self.found.entries += 1;
        true
    }
}

#[cfg(test)]
mod tests;
