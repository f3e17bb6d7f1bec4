//! The durable log: saves records, finds the membership, and hands committed entries to the state machine.

use super::{Effects, Replica};
use crate::record::Record;
use crate::types::{Entry, Index, Membership, Payload};

/// One call hands out no further entry once it has handed out this many entries or this many bytes.
const MAX_COMMITTED_ENTRIES: usize = 32;
const MAX_COMMITTED_BYTES: usize = 64 * 1024;

impl Replica {
    /// Applies a record to the durable state and adds it to the records to save.
    pub(super) fn save(&mut self, record: Record, effects: &mut Effects) {
        let may_change_membership = match &record {
            Record::Entry(entry) => {
                entry.index <= self.membership_index || matches!(entry.payload, Payload::Membership(_))
            }
            Record::Snapshot { .. } => true,
            _ => false,
        };
        if let Record::Entry(entry) = &record {
            self.persisted_index = self.persisted_index.min(entry.index - 1);
        }
        effects.records.push(record.clone());
        self.durable.apply(record);
        if may_change_membership {
            self.read_membership();
        }
    }

    /// The newest membership entry up to an index.
    fn membership_entry(&self, up_to: Index) -> Option<(Index, &Membership)> {
        let entries = self.durable.log.entries().iter().rev().filter(|entry| entry.index <= up_to);
        let mut memberships = entries.filter_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some((entry.index, membership)),
            _ => None,
        });
        memberships.next()
    }

    /// The membership as of an entry.
    pub(super) fn membership_at(&self, index: Index) -> Membership {
        let in_log = self.membership_entry(index).map(|(_, membership)| membership);
        let in_snapshot = Some(&self.durable.snapshot.membership).filter(|group| !group.voters.is_empty());
        in_log.or(in_snapshot).unwrap_or(&self.durable.initial).clone()
    }

    /// Reads the current membership from the log. A membership applies as soon as its entry is in the log,
    /// committed or not (section 4.1).
    pub(super) fn read_membership(&mut self) {
        self.membership_index = self.membership_entry(Index::MAX).map_or(0, |(index, _)| index);
        self.membership = self.membership_at(Index::MAX);
    }

    /// Hands out a limited number of the next committed entries. A leader that applied a long log at once
    /// would send no heartbeats meanwhile and be deposed.
    pub(super) fn hand_out_committed(&mut self, effects: &mut Effects) {
        let mut bytes = 0;
        while self.has_more_to_apply()
            && effects.committed.len() < MAX_COMMITTED_ENTRIES
            && bytes < MAX_COMMITTED_BYTES
        {
            let Some(entry) = self.durable.entry(self.applied_index + 1) else { break };
            bytes += entry.payload.size();
            effects.committed.push(entry.clone());
            self.applied_index += 1;
        }
        self.prepared.retain(|index| *index > self.applied_index);
    }

    /// Whether there are committed entries that can be handed out now.
    pub fn has_more_to_apply(&self) -> bool {
        self.applied_index < self.commit_index && self.awaits_preparation().is_none()
    }

    /// Hands out commands longer than `bytes` only once [`Replica::set_prepared`] was called for them: a
    /// caller whose state machine takes long to apply them prepares them outside its event loop. There is no
    /// limit until this is called.
    pub fn set_max_unprepared_bytes(&mut self, bytes: usize) {
        self.max_unprepared_bytes = bytes;
    }

    /// The next committed entry, if the caller has to prepare it before it is handed out.
    pub fn awaits_preparation(&self) -> Option<&Entry> {
        if self.applied_index >= self.commit_index {
            return None;
        }
        let next = self.durable.entry(self.applied_index + 1)?;
        let is_long =
            matches!(&next.payload, Payload::Command(bytes) if bytes.len() > self.max_unprepared_bytes);
        (is_long && !self.prepared.contains(&next.index)).then_some(next)
    }

    /// Records that the caller has prepared the entry at `index`. [`Replica::apply_more`] hands the entry
    /// out.
    pub fn set_prepared(&mut self, index: Index) {
        self.prepared.insert(index);
    }

    /// Hands out more committed entries. The caller repeats the call, between other events, while
    /// [`Replica::has_more_to_apply`] returns true.
    pub fn apply_more(&mut self) -> Effects {
        let mut effects = Effects::default();
        self.hand_out_committed(&mut effects);
        effects
    }
}
