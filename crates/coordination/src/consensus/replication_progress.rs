//! What a leader knows of another replica's log (`nextIndex` and `matchIndex`, section 3.5).

use super::Index;

/// Where another replica's log is known to match the leader's, and where to go on.
///
/// Invariant: `match_index < next_index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationProgress {
    /// The next entry to send.
    pub next_index: Index,
    /// All up to here is known to be on the other replica's disk.
    pub match_index: Index,
}

impl ReplicationProgress {
    /// Nothing is known; the first attempt is the entry after `last`.
    pub fn after(last: Index) -> ReplicationProgress {
        ReplicationProgress { next_index: last + 1, match_index: 0 }
    }

    /// The replica has all up to `index`. Entries that were sent meanwhile are not sent again.
    pub fn on_accepted(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// What was sent counts as lost: goes on after what matched.
    pub fn resend_after_match(&mut self) {
        self.next_index = self.match_index + 1;
    }

    /// The logs do not match before `next_index`. `next_attempt`: where the replica proposes to go on; never
    /// at or before what matched, which a late rejection does not undo.
    pub fn on_rejected(&mut self, next_attempt: Index) {
        self.next_index = next_attempt.min(self.next_index).max(self.match_index + 1);
    }
}
