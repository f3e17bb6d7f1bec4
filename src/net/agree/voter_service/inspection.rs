//! Requests of operators to a voter: its status, the committed entries, and a verification of all digests.

use super::super::archive::Archive;
use super::super::database::{self, DatabaseError, hex};
use super::super::runtime::lock;
use super::super::wire::{RecordsReply, VoterStatus};
use super::{VoterError, VoterService};
use crate::agree::Index;
use crate::agree::archive::{DigestChain, Verification};

impl VoterService {
    pub(in super::super) fn status(&self) -> Result<VoterStatus, VoterError> {
        let guard = lock(&self.host);
        let host = guard.as_ref().ok_or(VoterError::Unavailable)?;
        let path = database::path(&self.settings.directory);
        let disk_bytes = std::fs::metadata(path).map_or(0, |file| file.len());
        let (voter, state) = (&host.voter, host.voter.state());
        Ok(VoterStatus {
            id: host.database.id(),
            incarnation: voter.incarnation() >> 32,
            term: voter.term(),
            leader: voter.leader(),
            last: voter.last_index(),
            commit: voter.commit(),
            prepared: state.prepared(),
            active: state.active(),
            digest: hex(state.digest()),
            voters: voter.voters().clone(),
            disk_bytes,
        })
    }

    /// Up to `max_records` committed entries after `after`, from the archive if it has any of them, otherwise from the
    /// log.
    pub(in super::super) async fn records(
        &self,
        after: Index,
        max_records: usize,
    ) -> Result<RecordsReply, VoterError> {
        let archive = self.archive();
        let archived = read_blocking(move || archive.records(after, max_records)).await?;
        let guard = lock(&self.host);
        let host = guard.as_ref().ok_or(VoterError::Unavailable)?;
        let commit = host.voter.commit();
        if !archived.is_empty() {
            return Ok(RecordsReply { records: archived, commit });
        }
        let mut records = host.database.records(after, max_records)?;
        records.retain(|record| record.index <= commit);
        Ok(RecordsReply { records, commit })
    }

    /// Verifies the archive on a blocking thread while the voter runs, then the segments added meanwhile and the log
    /// under the voter's lock.
    pub(in super::super) async fn verify(&self) -> Result<Verification, VoterError> {
        let archive = self.archive();
        let mut chain = read_blocking(move || {
            let mut chain = DigestChain::default();
            archive.follow(&mut chain).map(|()| chain)
        })
        .await?;
        let guard = lock(&self.host);
        let host = guard.as_ref().ok_or(VoterError::Unavailable)?;
        self.archive().follow(&mut chain)?;
        Ok(host.database.verify(chain)?.finish())
    }

    fn archive(&self) -> Archive {
        Archive::beside(&self.settings.directory)
    }
}

/// Reads files on a blocking thread, so that the voter's timers are not delayed.
async fn read_blocking<T: Send + 'static>(
    read: impl FnOnce() -> Result<T, DatabaseError> + Send + 'static,
) -> Result<T, DatabaseError> {
    tokio::task::spawn_blocking(read).await.unwrap_or_else(|error| Err(database::foreign(error)))
}
