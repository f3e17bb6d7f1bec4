//! The end of a core after SIGTERM: it leaves the group, if another store can take its place, and hands over if it leads.

use super::Node;
use pathbank_coordination::replica::{Departure, Role};

/// A voter that shuts down waits no longer for another store to take its place.
const REPLACEMENT_TIMEOUT_MS: u64 = 3_000;
/// Nor for the leader's first answer.
const DEPARTURE_ACK_TIMEOUT_MS: u64 = 600;
/// A leader that shuts down ends after this fraction of the grace period, even if what it has sent may still arrive.
const HAND_OVER_GRACE_FRACTION: f64 = 0.75;

impl Node {
    /// After SIGTERM a voter asks the leader to be replaced, again with each tick until it is.
    pub(super) fn leave_if_shutting_down(&mut self, now: u64) {
        let Some(since) = self.shutdown_since else { return };
        let effects = self.replication.leave(now);
        self.carry_out(now, effects);
        if self.may_depart(now, since) {
            self.replication.hand_over();
        }
    }

    /// Whether the process may end after SIGTERM: its place in the group is taken care of, and, if it leads, nothing
    /// that it has sent in this role is on its way any more.
    pub fn may_end(&self, now: u64) -> bool {
        let Some(since) = self.shutdown_since else { return false };
        let leads = self.replication.replica().role() == Role::Leader;
        let hand_over_timeout_ms = (HAND_OVER_GRACE_FRACTION * self.settings.bounds.grace_ms as f64) as u64;
        let has_handed_over = !leads || self.are_calls_settled(now) || now >= since + hand_over_timeout_ms;
        self.may_depart(now, since) && has_handed_over
    }

    /// Whether this core is no voter any more, or nobody can take its place. `since`: when it received SIGTERM.
    fn may_depart(&self, now: u64, since: u64) -> bool {
        match self.replication.replica().departure() {
            Departure::Permitted => true,
            Departure::AwaitingReplacement => {
                now >= since + (self.settings.bounds.grace_ms / 2).min(REPLACEMENT_TIMEOUT_MS)
            }
            Departure::AwaitingReply => now >= since + DEPARTURE_ACK_TIMEOUT_MS,
        }
    }

    /// The last act of a core: publishes what it has heard of model servers, and lets another voter stand for
    /// election at once.
    pub fn end(&mut self, now: u64) {
        self.servers.flush_changes(now, &self.links);
        self.transfer_leadership(now);
    }
}
