//! One voter with its open database, and what was last reported of it.

use super::super::archive::Archive;
use super::super::database::{DatabaseError, VoterDatabase, hex};
use super::super::runtime::unix_time_us;
use crate::agree::voter::{PersistentChange, Voter};
use crate::agree::{Index, Term, VoterId};
use crate::config::agree::VoterSettings;
use crate::event;
use std::collections::BTreeSet;

/// What the events LEADER and REVISION last said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Reported {
    leader: Option<VoterId>,
    term: Term,
    active: Index,
}

pub(super) struct VoterHost {
    pub(super) voter: Voter,
    pub(super) database: VoterDatabase,
    reported: Reported,
    /// Peers that run on an older copy of their database, as far as reported.
    reported_stale_peers: BTreeSet<VoterId>,
}

impl VoterHost {
    pub(super) fn new(voter: Voter, database: VoterDatabase) -> VoterHost {
        let reported = Reported { leader: None, term: 0, active: voter.state().active() };
        VoterHost { voter, database, reported, reported_stale_peers: BTreeSet::new() }
    }

    /// Saves these, and moves old entries to the archive where a snapshot stands for them.
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

    /// Moves a segment at most. What fails is tried again with the next snapshot: an entry leaves the database only when
    /// it is in the archive.
    fn archive(&mut self, settings: &VoterSettings) {
        match self.database.archive(&Archive::beside(&settings.directory), settings.keep_entries) {
            Ok(None) => {}
            Ok(Some(range)) => event!(ARCHIVED, from = range.from, to = range.to),
            Err(problem) => event!(ARCHIVE_ILL, problem:%),
        }
    }

    /// Once for each peer: it goes on sending until an operator ends it.
    pub(super) fn report_stale_peer(&mut self, peer: Option<VoterId>) {
        if let Some(voter) = peer.filter(|peer| self.reported_stale_peers.insert(*peer)) {
            event!(OLD_DISK, voter);
        }
    }

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
