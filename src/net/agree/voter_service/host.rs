//! A voter with its open database, and the values that its events last reported.

use super::super::archive::Archive;
use super::super::database::{DatabaseError, VoterDatabase, hex};
use super::super::runtime::unix_time_us;
use crate::agree::voter::{PersistentChange, Voter};
use crate::agree::{Index, Term, VoterId};
use crate::config::agree::VoterSettings;
use crate::event;
use std::collections::BTreeSet;

/// The values of the last LEADER and REVISION events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reported {
    leader: Option<VoterId>,
    term: Term,
    active: Index,
}

/// A voter with its open database.
pub(super) struct VoterHost {
    pub(super) voter: Voter,
    pub(super) database: VoterDatabase,
    reported: Reported,
    /// Peers that were reported to run on an older copy of their database.
    reported_stale_peers: BTreeSet<VoterId>,
}

impl VoterHost {
    pub(super) fn new(voter: Voter, database: VoterDatabase) -> VoterHost {
        let reported = Reported { leader: None, term: 0, active: voter.state().active() };
        VoterHost { voter, database, reported, reported_stale_peers: BTreeSet::new() }
    }

    /// Saves the changes, and after a snapshot moves old entries to the archive.
    pub(super) fn save(
        &mut self,
        changes: &[PersistentChange],
        settings: &VoterSettings,
    ) -> Result<(), DatabaseError> {
        self.database.save(changes)?;
        if changes.iter().any(|change| matches!(change, PersistentChange::Snapshot { .. })) {
            self.archive(settings);
        }
        Ok(())
    }

    /// Moves at most one segment to the archive. A failure is retried after the next snapshot; an entry is removed from
    /// the database only once it is in the archive.
    fn archive(&mut self, settings: &VoterSettings) {
        match self.database.archive(&Archive::beside(&settings.directory), settings.keep_entries) {
            Ok(None) => {}
            Ok(Some(range)) => event!(ARCHIVED, from = range.from, to = range.to),
            Err(error) => event!(ARCHIVE_ILL, problem:% = error),
        }
    }

    /// Reports a stale peer once; the peer continues to send until an operator stops it.
    pub(super) fn report_stale_peer(&mut self, peer: Option<VoterId>) {
        if let Some(voter) = peer.filter(|peer| self.reported_stale_peers.insert(*peer)) {
            event!(OLD_DISK, voter);
        }
    }

    /// Emits events for a change of leader, term or active revision.
    pub(super) fn report_changes(&mut self) {
        let (voter, state) = (&self.voter, self.voter.state());
        let now = Reported { leader: voter.leader(), term: voter.term(), active: state.active() };
        if (now.leader, now.term) != (self.reported.leader, self.reported.term) {
            let name = now.leader.map_or("none".to_string(), |id| id.to_string());
            let own = if voter.is_leader() { "yes" } else { "no" };
            event!(LEADER, leader = name, term = now.term, commit = voter.commit(), own);
        }
        if now.active != self.reported.active {
            let (entry, digest, at_us) = (now.active, hex(state.digest()), unix_time_us());
            event!(REVISION, entry, commit = voter.commit(), digest, at_us);
        }
        self.reported = now;
    }
}
