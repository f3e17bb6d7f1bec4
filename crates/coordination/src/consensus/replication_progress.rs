//! What a leader knows of another replica's log.

use super::Index;

/// Where the other replica's log is known to match, and where to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationProgress {
    /// The next entry to send.
    pub next: Index,
    /// All up to here is on the other one's disk.
    pub matched: Index,
}

impl ReplicationProgress {
    /// Nothing is known; the first try is the entry behind this log.
    pub fn behind(last: Index) -> ReplicationProgress {
        ReplicationProgress { next: last + 1, matched: 0 }
    }

    /// The other one has all up to there. Entries that were sent meanwhile are not sent again.
    pub fn accepted(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
    }

    /// What was sent is taken for lost, or answered: goes on behind what matched.
    pub fn go_back(&mut self) {
        self.next = self.matched + 1;
    }

    /// The logs do not match before `next`. `try_next`: where the other one would go on; never behind what
    /// matched.
    pub fn rejected(&mut self, try_next: Index) {
        self.next = try_next.min(self.next).max(self.matched + 1);
    }
}
