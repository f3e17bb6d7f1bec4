//! What a leader knows of another replica's log (`nextIndex` and `matchIndex`, section 3.5).

use super::Index;

/// How far another replica's log is known to match the leader's, and which entry to send next.
///
/// Invariant: `match_index < next_index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicationProgress {
    /// The next entry to send.
    pub next_index: Index,
    /// Every entry up to this index is known to be on the other replica's disk.
    pub match_index: Index,
}

impl ReplicationProgress {
    /// The progress of a replica of whose log nothing is known. The first entry to send is the one after
    /// `last`.
    pub fn after(last: Index) -> ReplicationProgress {
        ReplicationProgress { next_index: last + 1, match_index: 0 }
    }

    /// Records that the replica has every entry up to `index`. Entries sent in the meantime are not sent
    /// again.
    pub fn on_accepted(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Treats the entries in flight as lost: sending resumes after `match_index`.
    pub fn resend_after_match(&mut self) {
        self.next_index = self.match_index + 1;
    }

    /// Records that the logs do not match before `next_index`. The replica proposes to continue at
    /// `next_attempt`. A late rejection never moves `next_index` to `match_index` or before.
    pub fn on_rejected(&mut self, next_attempt: Index) {
        self.next_index = next_attempt.min(self.next_index).max(self.match_index + 1);
    }
}
