//! When a core notifies its peers of its status.

use pathbank_coordination::types::StoreId;

const STATUS_INTERVAL_MS: u64 = 700;
/// One status of so many names the voters as well.
const STATUSES_PER_MEMBERSHIP: u64 = 4;

/// The last status that was published, and when the next one is due.
#[derive(Default)]
pub struct StatusSchedule {
    published: u64,
    leader: Option<StoreId>,
    is_current: bool,
    next_at: u64,
}

impl StatusSchedule {
    /// Whether the last published status said that this core is current.
    pub fn is_current(&self) -> bool {
        self.is_current
    }

    /// Whether a status is due: regularly, and at once after a change. Records it as published.
    pub fn take_due(&mut self, now: u64, leader: Option<StoreId>, is_current: bool) -> bool {
        let is_due = now >= self.next_at || leader != self.leader || is_current != self.is_current;
        if is_due {
            (self.leader, self.is_current) = (leader, is_current);
            self.next_at = now + STATUS_INTERVAL_MS;
        }
        is_due
    }

    /// Counts a status that goes out. Returns whether it names the voters.
    pub fn names_members(&mut self) -> bool {
        self.published += 1;
        self.published.is_multiple_of(STATUSES_PER_MEMBERSHIP)
    }
}
