//! The durable log: what is saved, which group stands in it, what is handed to the state machine.

use super::{Effects, Replica};
use crate::record::Record;
use crate::types::{Index, Membership, Payload};

/// Entries that are handed out at once, and their bytes beyond the last one.
const MOST_APPLIED: usize = 32;
const MOST_APPLIED_BYTES: usize = 64 * 1024;

impl Replica {
    pub(super) fn save(&mut self, record: Record, effects: &mut Effects) {
        let may_change_group = match &record {
            Record::Entry(entry) => {
                entry.index <= self.membership_index || matches!(entry.payload, Payload::Membership(_))
            }
            Record::Snapshot { .. } => true,
            _ => false,
        };
        if let Record::Entry(entry) = &record {
            self.saved = self.saved.min(entry.index - 1);
        }
        effects.records.push(record.clone());
        self.durable.apply(record);
        if may_change_group {
            self.read_membership();
        }
    }

    pub(super) fn membership_entry(&self, up_to: Index) -> Option<(Index, &Membership)> {
        let entries = self.durable.log.entries().iter().rev().filter(|entry| entry.index <= up_to);
        let mut groups = entries.filter_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some((entry.index, membership)),
            _ => None,
        });
        groups.next()
    }

    pub(super) fn membership_at(&self, index: Index) -> Membership {
        let in_log = self.membership_entry(index).map(|(_, membership)| membership);
        let snapshot = Some(&self.durable.snapshot.membership).filter(|group| !group.voters.is_empty());
        in_log.or(snapshot).unwrap_or(&self.durable.initial).clone()
    }

    pub(super) fn read_membership(&mut self) {
        self.membership_index = self.membership_entry(Index::MAX).map_or(0, |(index, _)| index);
        self.membership = self.membership_at(Index::MAX);
    }

    /// Hands out what is committed and not yet applied, but no more than can be applied at once. A leader that applies all
    /// of a long log in one turn sends no heartbeats meanwhile, and is deposed.
    pub(super) fn finish(&mut self, effects: &mut Effects) {
        let mut bytes = 0;
        while self.has_more_to_apply() && effects.committed.len() < MOST_APPLIED && bytes < MOST_APPLIED_BYTES
        {
            let Some(entry) = self.durable.entry(self.applied + 1) else { return };
            bytes += entry.payload.size();
            effects.committed.push(entry.clone());
            self.applied += 1;
        }
    }

    /// Whether entries are committed that were not handed out yet.
    pub fn has_more_to_apply(&self) -> bool {
        self.applied < self.commit
    }

    /// Hands out more of what is committed. To be called again, between other events, while
    /// [`Replica::has_more_to_apply`].
    pub fn apply_more(&mut self) -> Effects {
        let mut effects = Effects::default();
        self.finish(&mut effects);
        effects
    }
}
