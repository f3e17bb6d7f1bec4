//! Grants of leases, and the edit up to which this voter's grants are cleared.

use super::{Grant, MAX_GRANTS, Output, Recipient, Voter};
use crate::agree::{HolderId, Index, Message, Micros, message_batch};

impl Voter {
    /// The last edit for which every process that may still act by this voter's grants has prepared. A grant to a
    /// process that has not prepared for an edit blocks the edit until the lease is over by the grantor's clock, clock
    /// drift included.
    pub(super) fn cleared(&self, now: Micros) -> Index {
        let unknown = Grant { prepared: 0, at: self.started_at };
        let blocks = |grant: &Grant| {
            let age = now.saturating_sub(grant.at);
            if age <= self.times.grantor_wait(self.times.lease) {
                self.state.first_conflict(grant.prepared, false)
            } else if age <= self.times.grantor_wait(self.times.long_lease) {
                self.state.first_conflict(grant.prepared, true)
            } else {
                None
            }
        };
        let first = self.grants.values().chain([&unknown]).filter_map(blocks).min();
        first.map_or(self.state.prepared(), |first| first - 1)
    }

    /// Answers a process that requests a lease. A process that has not prepared for the barrier gets the entries that
    /// it lacks, and no lease.
    pub fn renew(&mut self, now: Micros, holder: HolderId, requested_at: Micros, prepared: Index) -> Output {
        let max_grant_age = self.times.grantor_wait(self.times.long_lease);
        self.grants.retain(|_, grant| now.saturating_sub(grant.at) <= max_grant_age);
        let has_capacity = self.grants.len() < MAX_GRANTS || self.grants.contains_key(&holder);
        let granted = prepared >= self.saved.barrier && has_capacity && self.caught_up;
        if granted {
            let grant = self.grants.entry(holder.clone()).or_insert(Grant { prepared, at: now });
            // A process never forgets entries, so a delayed request doesn't lower what a newer one reported.
            (grant.prepared, grant.at) = (grant.prepared.max(prepared), now);
        }
        let base = self.saved.log.base().index;
        let snapshot = (prepared < base).then(|| Box::new(self.state.clone()));
        let after = match &snapshot {
            Some(state) => state.applied(),
            None => prepared.min(self.commit),
        };
        let committed = (self.commit - after) as usize;
        let entries = message_batch(self.saved.log.entries_after(after).iter().take(committed));
        let reply =
            Message::LeaseReply { start: holder.start, requested_at, granted, after, snapshot, entries };
        Output { send: vec![(Recipient::LeaseHolder(holder), reply)], ..Output::default() }
    }
}
