//! Heads' leases: who holds one, and up to which edit no head can act any more without knowing of it.

use super::{Grant, MAX_GRANTS, Output, Recipient, Voter};
use crate::agree::{HolderId, Index, Message, Micros, message_batch};

impl Voter {
    /// Up to which edit no head can act without knowing of it, as far as this voter's grants go.
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

    /// A head asks for its lease. One that is behind gets what it lacks, and none.
    pub fn renew(&mut self, now: Micros, holder: HolderId, requested_at: Micros, prepared: Index) -> Output {
        let over = self.times.grantor_wait(self.times.long_lease);
        self.grants.retain(|_, grant| now.saturating_sub(grant.at) <= over);
        let room = self.grants.len() < MAX_GRANTS || self.grants.contains_key(&holder);
        let granted = prepared >= self.saved.barrier && room && self.caught_up;
        if granted {
            let grant = self.grants.entry(holder.clone()).or_insert(Grant { prepared, at: now });
            // What it knows it knows for good; late messages of its own do not undo that.
            (grant.prepared, grant.at) = (grant.prepared.max(prepared), now);
        }
        let base = self.saved.log.base().index;
        let snapshot = (prepared < base).then(|| Box::new(self.state.clone()));
        let after = match &snapshot {
            Some(state) => state.applied(),
            None => prepared.min(self.commit),
        };
        let counted = (self.commit - after) as usize;
        let entries = message_batch(self.saved.log.entries_after(after).iter().take(counted));
        let granted =
            Message::LeaseReply { start: holder.start, requested_at, granted, after, snapshot, entries };
        Output { send: vec![(Recipient::LeaseHolder(holder), granted)], ..Output::default() }
    }
}
