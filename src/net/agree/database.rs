//! A voter's database: one redb file. A batch is atomic, also if the process crashes at any byte, and is synced before
//! `save` returns. Each log entry is stored with the digest of the log up to it, so that a later change of an entry is
//! detected. A snapshot of the state avoids reading all entries at a start. Old entries move to the archive.

mod bounded;

use super::archive::Archive;
use crate::agree::archive::{self, DigestChain, EntryRange, MAX_SEGMENT_BYTES};
use crate::agree::document_state::{Digest, DocumentState, next_digest};
use crate::agree::voter::{Incarnation, PersistentChange, PersistentState, next_incarnation};
use crate::agree::{Entry, Index, Term, VoterId};
use bounded::BoundedBackend;
use pathbank_coordination::consensus::log_tail::LogTail;
use redb::{
    Database, ReadTransaction, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition,
    WriteTransaction,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The last known incarnation of each peer.
const PEER_INCARNATIONS: TableDefinition<u64, u64> = TableDefinition::new("known");
/// The digest of the log up to an entry that is not in the log itself and precedes one that is.
const BASES: TableDefinition<u64, &[u8]> = TableDefinition::new("bases");
const FILE: &str = "agree.redb";
const SCHEMA: u64 = 1;
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// Why a voter's database or archive cannot be used.
#[derive(Debug, Error)]
pub enum DatabaseError {
    /// There is no file. A voter that has lost its database must not continue under its number.
    #[error("{}: no voter's disk is there; `pathbank agree init` makes a new voter", .0.display())]
    Absent(PathBuf),
    /// There is a file already. A new database never replaces an old one.
    #[error("{}: a voter's disk is there already", .0.display())]
    Exists(PathBuf),
    /// The content is damaged or was written by another program.
    #[error("the disk is foreign or damaged: {what}")]
    Foreign {
        /// The problem with the content.
        what: String,
    },
    /// The file's schema is not the one of this program.
    #[error("the disk has form {0}, this program knows {SCHEMA}")]
    Schema(u64),
    /// The database failed.
    #[error("{0}")]
    Redb(redb::Error),
    /// A file cannot be read or written.
    #[error("{0}")]
    Io(io::Error),
}

impl<E: Into<redb::Error>> From<E> for DatabaseError {
    fn from(error: E) -> Self {
        DatabaseError::Redb(error.into())
    }
}

pub(super) fn foreign(what: impl fmt::Display) -> DatabaseError {
    DatabaseError::Foreign { what: what.to_string() }
}

#[derive(Serialize, Deserialize)]
struct Vote {
    term: Term,
    voted: Option<VoterId>,
}

#[derive(Serialize, Deserialize)]
struct Snapshot {
    #[serde(rename = "ledger")]
    state: DocumentState,
    term: Term,
}

/// An entry with the digest of the log up to it, as the archive, backups and answers to operators contain it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The entry's index.
    pub index: Index,
    /// The digest of the log up to this entry, SHA-256 in hexadecimal digits.
    pub digest: String,
    /// The entry.
    pub entry: Entry,
}

/// Formats a digest in hexadecimal digits.
pub fn hex(digest: &Digest) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The index of an entry, and the digest of the log up to it.
#[derive(Clone, Copy, Debug, Default)]
struct LogPosition {
    index: Index,
    digest: Digest,
}

/// The open database of one voter.
#[derive(Debug)]
pub struct VoterDatabase {
    database: Database,
    id: VoterId,
    /// The log's last entry.
    last: LogPosition,
    /// The last entry that the saved state has applied.
    base: LogPosition,
}

/// The path of the database in a voter's folder.
pub fn path(folder: &Path) -> PathBuf {
    folder.join(FILE)
}

impl VoterDatabase {
    /// Creates the database of a new voter.
    ///
    /// # Errors
    ///
    /// The folder has a database already, or the folder or file cannot be written.
    pub fn create(folder: &Path, id: VoterId) -> Result<(), DatabaseError> {
        let path = path(folder);
        std::fs::create_dir_all(folder).map_err(DatabaseError::Io)?;
        match OpenOptions::new().read(true).write(true).create_new(true).open(&path) {
            Ok(file) => {
                let database = redb::Builder::new()
                    .set_cache_size(CACHE_BYTES)
                    .create_with_backend(redb::backends::FileBackend::new(file)?)?;
                VoterDatabase::begin(&database, id)?;
                drop(database);
                // The folder is synced too, so that the file is found after a crash.
                std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(DatabaseError::Io)
            }
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => Err(DatabaseError::Exists(path)),
            Err(error) => Err(DatabaseError::Io(error)),
        }
    }

    fn begin(database: &Database, id: VoterId) -> Result<(), DatabaseError> {
        let write = database.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            put(&mut meta, "schema", &SCHEMA)?;
            put(&mut meta, "id", &id)?;
            write.open_table(LOG)?;
            write.open_table(PEER_INCARNATIONS)?;
            write.open_table(BASES)?;
        }
        write.commit()?;
        Ok(())
    }

    /// Opens a voter's database for a new incarnation, which is saved before this returns. The file may grow to
    /// `max_bytes`.
    ///
    /// # Errors
    ///
    /// There is no file, another process has it open, or its content is damaged or not a voter's.
    pub fn open(folder: &Path, max_bytes: u64) -> Result<(VoterDatabase, PersistentState), DatabaseError> {
        let path = path(folder);
        let file = match OpenOptions::new().read(true).write(true).open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return Err(DatabaseError::Absent(path));
            }
            Err(error) => return Err(DatabaseError::Io(error)),
        };
        // redb would initialize an empty file as a new database.
        if file.metadata().map_err(DatabaseError::Io)?.len() == 0 {
            return Err(foreign("the file is empty"));
        }
        // The lock admits one process at a time, for as long as the file is open.
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(foreign("another process has it")),
            Err(TryLockError::Error(error)) => return Err(DatabaseError::Io(error)),
        }
        VoterDatabase::on(BoundedBackend { inner: redb::backends::FileBackend::new(file)?, max_bytes })
    }

    /// Opens a database on any storage backend, as [`VoterDatabase::open`] does on a file.
    pub fn on(backend: impl StorageBackend) -> Result<(VoterDatabase, PersistentState), DatabaseError> {
        let database = redb::Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(backend)?;
        let mut disk =
            VoterDatabase { database, id: 0, last: LogPosition::default(), base: LogPosition::default() };
        let saved = disk.load()?;
        Ok((disk, saved))
    }

    /// The voter's number, chosen when the database was created.
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// Reads the persistent state, and saves the new incarnation before the voter sends anything.
    fn load(&mut self) -> Result<PersistentState, DatabaseError> {
        let read = self.database.begin_read()?;
        let mut saved = self.load_state(&read)?;
        self.base = LogPosition { index: saved.log.base().index, digest: *saved.state.digest() };
        self.last = self.base;
        self.load_log(&read, &mut saved.log)?;
        drop(read);
        let write = self.database.begin_write()?;
        put(&mut write.open_table(META)?, "starts", &saved.incarnation)?;
        write.commit()?;
        Ok(saved)
    }

    /// Reads the persistent state without the entries of the log.
    fn load_state(&mut self, read: &ReadTransaction) -> Result<PersistentState, DatabaseError> {
        let meta = read.open_table(META).map_err(|_| foreign("it is no voter's"))?;
        let schema: u64 = get(&meta, "schema")?.ok_or_else(|| foreign("it has no form"))?;
        if schema != SCHEMA {
            return Err(DatabaseError::Schema(schema));
        }
        self.id = get(&meta, "id")?.ok_or_else(|| foreign("it has no number"))?;
        let last_incarnation = get::<Incarnation>(&meta, "starts")?.unwrap_or(0);
        let incarnation = next_incarnation(last_incarnation, fastrand::u64(..));
        let mut saved = PersistentState { incarnation, ..PersistentState::default() };
        if let Some(Vote { term, voted }) = get(&meta, "vote")? {
            (saved.term, saved.voted) = (term, voted);
        }
        saved.barrier = get(&meta, "barrier")?.unwrap_or(0);
        if let Some(Snapshot { state, term }) = get(&meta, "snapshot")? {
            saved.log.reset(state.applied(), term);
            saved.state_term = term;
            saved.state = state;
        }
        for row in read.open_table(PEER_INCARNATIONS)?.iter()? {
            let (id, incarnation) = row?;
            saved.peer_incarnations.insert(id.value(), incarnation.value());
        }
        Ok(saved)
    }

    /// Reads the entries after the saved state, and verifies that each follows the one before it.
    fn load_log(&mut self, read: &ReadTransaction, tail: &mut LogTail<Entry>) -> Result<(), DatabaseError> {
        let log = read.open_table(LOG)?;
        for row in log.range(self.base.index + 1..)? {
            let (index, value) = row?;
            let index = index.value();
            let (digest, entry) = decode_entry(index, value.value())?;
            if index != self.last.index + 1 || digest != next_digest(&self.last.digest, &entry) {
                return Err(foreign(format!("entry {index} does not follow on {}", self.last.index)));
            }
            self.last = LogPosition { index, digest };
            tail.insert(index, entry);
        }
        Ok(())
    }

    /// Saves the changes in one transaction, which is synced when this returns.
    ///
    /// # Errors
    ///
    /// The transaction failed. It is unknown whether it was saved, so the database must be opened again.
    pub fn save(&mut self, changes: &[PersistentChange]) -> Result<(), DatabaseError> {
        if changes.is_empty() {
            return Ok(());
        }
        let write = self.database.begin_write()?;
        for change in changes {
            self.put(&write, change)?;
        }
        write.commit()?;
        Ok(())
    }

    fn put(&mut self, write: &WriteTransaction, change: &PersistentChange) -> Result<(), DatabaseError> {
        let mut meta = write.open_table(META)?;
        match change {
            PersistentChange::Vote { term, voted } => {
                put(&mut meta, "vote", &Vote { term: *term, voted: *voted })?
            }
            PersistentChange::Barrier(to) => put(&mut meta, "barrier", to)?,
            PersistentChange::PeerIncarnation(id, incarnation) => {
                drop(write.open_table(PEER_INCARNATIONS)?.insert(id, incarnation)?)
            }
            PersistentChange::Truncate(last) => self.truncate(write, *last)?,
            PersistentChange::Append(index, entry) => {
                if *index <= self.last.index {
                    self.truncate(write, index - 1)?;
                }
                self.last = LogPosition { index: *index, digest: next_digest(&self.last.digest, entry) };
                let mut value = self.last.digest.to_vec();
                serde_json::to_writer(&mut value, entry).map_err(foreign)?;
                write.open_table(LOG)?.insert(index, value.as_slice())?;
            }
            PersistentChange::Snapshot { state, term, replaces_after } => {
                let base = LogPosition { index: state.applied(), digest: *state.digest() };
                put(&mut meta, "snapshot", &Snapshot { state: (**state).clone(), term: *term })?;
                if let Some(committed) = replaces_after {
                    self.truncate(write, *committed)?;
                    if *committed < base.index {
                        put(&mut write.open_table(BASES)?, base.index, &hex(&base.digest))?;
                    }
                    self.last = base;
                }
                self.base = base;
            }
        }
        Ok(())
    }

    /// Removes the entries after `last`.
    fn truncate(&mut self, write: &WriteTransaction, last: Index) -> Result<(), DatabaseError> {
        let mut log = write.open_table(LOG)?;
        log.retain_in(last + 1.., |_, _| false)?;
        self.last = match log.get(last)? {
            Some(value) => LogPosition { index: last, digest: decode_entry(last, value.value())?.0 },
            None if last == self.base.index => self.base,
            None => LogPosition { index: last, digest: Digest::default() },
        };
        Ok(())
    }

    /// Up to `max_records` entries after `after`, committed or not.
    pub fn records(&self, after: Index, max_records: usize) -> Result<Vec<Record>, DatabaseError> {
        let log = self.database.begin_read()?.open_table(LOG)?;
        let record = |row: Result<_, redb::StorageError>| {
            let (index, value): (redb::AccessGuard<u64>, redb::AccessGuard<&[u8]>) = row?;
            let (digest, entry) = decode_entry(index.value(), value.value())?;
            Ok(Record { index: index.value(), digest: hex(&digest), entry })
        };
        log.range(after + 1..)?.take(max_records).map(record).collect()
    }

    /// Verifies the digest of every entry after the archive's last one, and that of the saved state.
    pub fn verify(&self, mut chain: DigestChain) -> Result<DigestChain, DatabaseError> {
        let read = self.database.begin_read()?;
        let (log, bases) = (read.open_table(LOG)?, read.open_table(BASES)?);
        for row in log.iter()? {
            let (index, value) = row?;
            let index = index.value();
            let base = if index == chain.last() + 1 { None } else { base_at(&bases, index - 1)? };
            let stored = decode_entry(index, value.value()).ok();
            let stored = stored.as_ref().map(|(digest, entry)| (digest, entry));
            if !chain.follow(index, stored, || base) {
                break;
            }
            if chain.last() == self.base.index && *chain.digest() != self.base.digest {
                chain.mark_corrupt(index);
                break;
            }
        }
        Ok(chain)
    }

    /// Copies the oldest entries to the archive as one segment, and removes them here once the segment is synced.
    /// Returns the segment, if entries were moved. `keep`: how many entries stay that the saved state includes; `None`:
    /// all.
    pub fn archive(
        &mut self,
        archive: &Archive,
        keep: Option<u64>,
    ) -> Result<Option<EntryRange>, DatabaseError> {
        let Some((first, keep)) = self.first()?.zip(keep) else { return Ok(None) };
        let Some(range) = archive::next_segment(first, self.base.index, keep) else { return Ok(None) };
        let (before, records) = self.oldest(range)?;
        let Some(last) = records.last() else { return Ok(None) };
        let archived = EntryRange { from: first, to: last.index };
        archive.keep(&before, &records)?;
        let write = self.database.begin_write()?;
        write.open_table(LOG)?.retain_in(..=archived.to, |_, _| false)?;
        put(&mut write.open_table(BASES)?, archived.to, &last.digest)?;
        write.commit()?;
        Ok(Some(archived))
    }

    /// The first entry of the log.
    fn first(&self) -> Result<Option<Index>, DatabaseError> {
        Ok(self.database.begin_read()?.open_table(LOG)?.first()?.map(|(index, _)| index.value()))
    }

    /// The digest before the log's first entries, and those entries of `range`, as far as they are consecutive and fit
    /// into a segment.
    fn oldest(&self, range: EntryRange) -> Result<(Digest, Vec<Record>), DatabaseError> {
        let read = self.database.begin_read()?;
        let (log, bases) = (read.open_table(LOG)?, read.open_table(BASES)?);
        let before = if range.from == 1 { Some(Digest::default()) } else { base_at(&bases, range.from - 1)? };
        let before =
            before.ok_or_else(|| foreign(format!("nothing is known before entry {}", range.from)))?;
        let (mut records, mut bytes) = (Vec::new(), 0);
        for (row, next) in log.range(range.from..=range.to)?.zip(range.from..) {
            let (index, value) = row?;
            if index.value() != next || bytes >= MAX_SEGMENT_BYTES {
                break;
            }
            bytes += value.value().len();
            let (digest, entry) = decode_entry(next, value.value())?;
            records.push(Record { index: next, digest: hex(&digest), entry });
        }
        Ok((before, records))
    }

    /// Makes the log of an empty database begin after the entry `index`, up to which the log's digest is `digest`.
    pub fn begin_behind(&mut self, index: Index, digest: Digest) -> Result<(), DatabaseError> {
        let write = self.database.begin_write()?;
        put(&mut write.open_table(BASES)?, index, &hex(&digest))?;
        write.commit()?;
        self.last = LogPosition { index, digest };
        Ok(())
    }
}

/// The digest of the log up to `index`, if it is stored as a base.
fn base_at(
    bases: &impl ReadableTable<u64, &'static [u8]>,
    index: Index,
) -> Result<Option<Digest>, DatabaseError> {
    let base = bases.get(index)?.map(|base| serde_json::from_slice::<String>(base.value()));
    Ok(base.and_then(Result::ok).as_deref().and_then(digest_of))
}

pub(super) fn digest_of(text: &str) -> Option<Digest> {
    let mut digest = Digest::default();
    for (position, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * position..2 * position + 2)?, 16).ok()?;
    }
    Some(digest)
}

fn decode_entry(index: Index, value: &[u8]) -> Result<(Digest, Entry), DatabaseError> {
    let decoded = value
        .split_first_chunk::<32>()
        .and_then(|(digest, entry)| Some((*digest, serde_json::from_slice(entry).ok()?)));
    decoded.ok_or_else(|| foreign(format!("entry {index} is unreadable")))
}

fn get<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>, DatabaseError> {
    let value = table.get(key)?;
    value
        .map(|value| serde_json::from_slice(value.value()))
        .transpose()
        .map_err(|error| foreign(format!("{key}: {error}")))
}

fn put<'k, K: redb::Key + 'static>(
    table: &mut redb::Table<K, &'static [u8]>,
    key: impl std::borrow::Borrow<K::SelfType<'k>>,
    value: &impl Serialize,
) -> Result<(), DatabaseError> {
    table.insert(key, serde_json::to_vec(value).map_err(foreign)?.as_slice())?;
    Ok(())
}

#[cfg(test)]
mod tests;
