//! A voter's disk: one file of redb, where a batch is whole or not there at all after a crash at any byte,
//! and is synced before `save` returns. Each of the log's entries is kept with the digest of all before it,
//! so that a changed past shows; the ledger beside them spares reading them all at a start. Old entries leave
//! for the archive, where that is wanted.

use super::archive::Archive;
use crate::agree::archive::{self, DigestChain, EntryRange, MAX_SEGMENT_BYTES};
use crate::agree::document_state::{Digest, DocumentState, next_digest};
use crate::agree::voter::{Incarnation, PersistentChange, PersistentState, next_incarnation};
use crate::agree::{Entry, Index, Term, VoterId};
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, WriteTransaction};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{OpenOptions, TryLockError};
use std::path::{Path, PathBuf};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The other voters' last known starts.
const KNOWN: TableDefinition<u64, u64> = TableDefinition::new("known");
/// Where a part of the log begins that came without what was before it.
const BASES: TableDefinition<u64, &[u8]> = TableDefinition::new("bases");
const FILE: &str = "agree.redb";
/// What the file holds, in this form.
const SCHEMA: u64 = 1;
const CACHE: usize = 4 * 1024 * 1024;

#[derive(Debug)]
pub enum DatabaseError {
    /// A voter that has lost its disk is not this voter any more.
    Absent(PathBuf),
    /// A new disk is never made over an old one.
    There(PathBuf),
    /// It is not what it should be.
    Foreign {
        what: String,
    },
    Schema(u64),
    Store(redb::Error),
    Io(std::io::Error),
}

impl fmt::Display for DatabaseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DatabaseError::Absent(path) => {
                write!(
                    f,
                    "{}: no voter's disk is there; `pathbank agree init` makes a new voter",
                    path.display()
                )
            }
            DatabaseError::There(path) => write!(f, "{}: a voter's disk is there already", path.display()),
            DatabaseError::Foreign { what } => write!(f, "the disk is foreign or damaged: {what}"),
            DatabaseError::Schema(found) => {
                write!(f, "the disk has form {found}, this program knows {SCHEMA}")
            }
            DatabaseError::Store(problem) => write!(f, "{problem}"),
            DatabaseError::Io(problem) => write!(f, "{problem}"),
        }
    }
}

impl std::error::Error for DatabaseError {}

impl<E: Into<redb::Error>> From<E> for DatabaseError {
    fn from(problem: E) -> Self {
        DatabaseError::Store(problem.into())
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

/// An entry as others are told it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub index: Index,
    /// Of this entry and all before it, in hexadecimal digits.
    pub digest: String,
    pub entry: Entry,
}

pub fn hex(digest: &Digest) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[derive(Debug)]
pub struct VoterDatabase {
    database: Database,
    id: VoterId,
    /// The last entry, and the digest up to it.
    last: Index,
    digest: Digest,
    /// The ledger's on disk: where the log begins if there are no entries behind it.
    base: (Index, Digest),
}

/// Bounds the file: what would make it grow beyond that finds no room.
#[derive(Debug)]
struct Bounded<B> {
    inner: B,
    most: u64,
}

impl<B: StorageBackend> StorageBackend for Bounded<B> {
    fn len(&self) -> std::io::Result<u64> {
        self.inner.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        self.inner.read(offset, out)
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        if len > self.most && len > self.inner.len()? {
            return Err(std::io::Error::new(
                std::io::ErrorKind::StorageFull,
                "the voter's disk has its most bytes",
            ));
        }
        self.inner.set_len(len)
    }
    fn sync_data(&self) -> std::io::Result<()> {
        self.inner.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.inner.write(offset, data)
    }
    fn close(&self) -> std::io::Result<()> {
        self.inner.close()
    }
}

pub fn path(folder: &Path) -> PathBuf {
    folder.join(FILE)
}

impl VoterDatabase {
    /// Makes a new voter's disk.
    pub fn create(folder: &Path, id: VoterId) -> Result<(), DatabaseError> {
        let path = path(folder);
        std::fs::create_dir_all(folder).map_err(DatabaseError::Io)?;
        match OpenOptions::new().read(true).write(true).create_new(true).open(&path) {
            Ok(file) => {
                let database = redb::Builder::new()
                    .set_cache_size(CACHE)
                    .create_with_backend(redb::backends::FileBackend::new(file)?)?;
                VoterDatabase::begin(&database, id)?;
                drop(database);
                // The folder too has to know the file after a crash.
                std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(DatabaseError::Io)
            }
            Err(problem) if problem.kind() == std::io::ErrorKind::AlreadyExists => {
                Err(DatabaseError::There(path))
            }
            Err(problem) => Err(DatabaseError::Io(problem)),
        }
    }

    fn begin(database: &Database, id: VoterId) -> Result<(), DatabaseError> {
        let write = database.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            put(&mut meta, "schema", &SCHEMA)?;
            put(&mut meta, "id", &id)?;
            write.open_table(LOG)?;
            write.open_table(KNOWN)?;
            write.open_table(BASES)?;
        }
        write.commit()?;
        Ok(())
    }

    /// Opens a voter's disk for one more start. `most`: bytes that the file may have.
    pub fn open(folder: &Path, most: u64) -> Result<(VoterDatabase, PersistentState), DatabaseError> {
        let path = path(folder);
        let file = match OpenOptions::new().read(true).write(true).open(&path) {
            Ok(file) => file,
            Err(problem) if problem.kind() == std::io::ErrorKind::NotFound => {
                return Err(DatabaseError::Absent(path));
            }
            Err(problem) => return Err(DatabaseError::Io(problem)),
        };
        // An empty file would be taken for a new one.
        if file.metadata().map_err(DatabaseError::Io)?.len() == 0 {
            return Err(foreign("the file is empty"));
        }
        // One process at a time, for as long as the file is open.
        match file.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(foreign("another process has it")),
            Err(TryLockError::Error(problem)) => return Err(DatabaseError::Io(problem)),
        }
        VoterDatabase::on(Bounded { inner: redb::backends::FileBackend::new(file)?, most })
    }

    /// On anything that holds bytes.
    pub fn on(backend: impl StorageBackend) -> Result<(VoterDatabase, PersistentState), DatabaseError> {
        let database = redb::Builder::new().set_cache_size(CACHE).create_with_backend(backend)?;
        let mut disk = VoterDatabase {
            database,
            id: 0,
            last: 0,
            digest: Digest::default(),
            base: (0, Digest::default()),
        };
        let saved = disk.load()?;
        Ok((disk, saved))
    }

    pub fn id(&self) -> VoterId {
        self.id
    }

    fn load(&mut self) -> Result<PersistentState, DatabaseError> {
        let read = self.database.begin_read()?;
        let meta = read.open_table(META).map_err(|_| foreign("it is no voter's"))?;
        let schema: u64 = get(&meta, "schema")?.ok_or_else(|| foreign("it has no form"))?;
        if schema != SCHEMA {
            return Err(DatabaseError::Schema(schema));
        }
        self.id = get(&meta, "id")?.ok_or_else(|| foreign("it has no number"))?;
        let incarnation =
            next_incarnation(get::<Incarnation>(&meta, "starts")?.unwrap_or(0), fastrand::u64(..));
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
        for entry in read.open_table(KNOWN)?.iter()? {
            let (id, incarnation) = entry?;
            saved.peer_incarnations.insert(id.value(), incarnation.value());
        }
        self.base = (saved.log.base().index, *saved.state.digest());
        (self.last, self.digest) = self.base;
        let log = read.open_table(LOG)?;
        for row in log.range(saved.log.base().index + 1..)? {
            let (index, value) = row?;
            let (digest, entry) = split(index.value(), value.value())?;
            if index.value() != self.last + 1 || digest != next_digest(&self.digest, &entry) {
                return Err(foreign(format!("entry {} does not follow on {}", index.value(), self.last)));
            }
            (self.last, self.digest) = (index.value(), digest);
            saved.log.insert(self.last, entry);
        }
        drop(read);
        // Before anything is said in this start: it is one more.
        let write = self.database.begin_write()?;
        put(&mut write.open_table(META)?, "starts", &saved.incarnation)?;
        write.commit()?;
        Ok(saved)
    }

    /// All of it, or nothing; on disk when this returns. After an error the disk is to be opened anew.
    pub fn save(&mut self, saves: &[PersistentChange]) -> Result<(), DatabaseError> {
        if saves.is_empty() {
            return Ok(());
        }
        let write = self.database.begin_write()?;
        for save in saves {
            self.put(&write, save)?;
        }
        write.commit()?;
        Ok(())
    }

    fn put(&mut self, write: &WriteTransaction, save: &PersistentChange) -> Result<(), DatabaseError> {
        let mut meta = write.open_table(META)?;
        match save {
            PersistentChange::Vote { term, voted } => {
                put(&mut meta, "vote", &Vote { term: *term, voted: *voted })?
            }
            PersistentChange::Barrier(to) => put(&mut meta, "barrier", to)?,
            PersistentChange::PeerIncarnation(id, incarnation) => {
                drop(write.open_table(KNOWN)?.insert(id, incarnation)?)
            }
            PersistentChange::Truncate(at) => self.cut(write, *at)?,
            PersistentChange::Append(at, entry) => {
                if *at <= self.last {
                    self.cut(write, at - 1)?;
                }
                self.digest = next_digest(&self.digest, entry);
                let mut value = self.digest.to_vec();
                serde_json::to_writer(&mut value, entry).map_err(foreign)?;
                write.open_table(LOG)?.insert(at, value.as_slice())?;
                self.last = *at;
            }
            PersistentChange::Snapshot { state, term, replaces_after } => {
                let (read, digest) = (state.applied(), *state.digest());
                put(&mut meta, "snapshot", &Snapshot { state: (**state).clone(), term: *term })?;
                if let Some(kept) = replaces_after {
                    self.cut(write, *kept)?;
                    if *kept < read {
                        put(&mut write.open_table(BASES)?, read, &hex(&digest))?;
                    }
                    (self.last, self.digest) = (read, digest);
                }
                self.base = (read, digest);
            }
        }
        Ok(())
    }

    fn cut(&mut self, write: &WriteTransaction, at: Index) -> Result<(), DatabaseError> {
        let mut log = write.open_table(LOG)?;
        log.retain_in(at + 1.., |_, _| false)?;
        (self.last, self.digest) = match log.get(at)? {
            Some(value) => (at, split(at, value.value())?.0),
            None if at == self.base.0 => self.base,
            None => (at, Digest::default()),
        };
        Ok(())
    }

    /// Entries after that one: so many at most, as others are told them.
    pub fn records(&self, after: Index, most: usize) -> Result<Vec<Record>, DatabaseError> {
        let log = self.database.begin_read()?.open_table(LOG)?;
        let record = |row: Result<_, redb::StorageError>| {
            let (index, value): (redb::AccessGuard<u64>, redb::AccessGuard<&[u8]>) = row?;
            let (digest, entry) = split(index.value(), value.value())?;
            Ok(Record { index: index.value(), digest: hex(&digest), entry })
        };
        log.range(after + 1..)?.take(most).map(record).collect()
    }

    /// Follows every entry's digest from where the archive ended, and the ledger's with them.
    pub fn verify(&self, mut chain: DigestChain) -> Result<DigestChain, DatabaseError> {
        let read = self.database.begin_read()?;
        let (log, bases) = (read.open_table(LOG)?, read.open_table(BASES)?);
        for row in log.iter()? {
            let (index, value) = row?;
            let index = index.value();
            let base = if index == chain.last() + 1 { None } else { base_at(&bases, index - 1)? };
            let told = split(index, value.value()).ok();
            let told = told.as_ref().map(|(digest, entry)| (digest, entry));
            if !chain.follow(index, told, || base) {
                break;
            }
            if chain.last() == self.base.0 && *chain.digest() != self.base.1 {
                chain.fail(index);
                break;
            }
        }
        Ok(chain)
    }

    /// Copies old entries to the archive, a segment at a time, and drops them here once they are there.
    /// `keep`: so many of those that the ledger stands for stay; `None`: all.
    pub fn archive(
        &mut self,
        archive: &Archive,
        keep: Option<u64>,
    ) -> Result<Option<EntryRange>, DatabaseError> {
        let Some((first, keep)) = self.first()?.zip(keep) else { return Ok(None) };
        let Some(due) = archive::next_segment(first, self.base.0, keep) else { return Ok(None) };
        let (before, records) = self.oldest(due)?;
        let Some(last) = records.last() else { return Ok(None) };
        let span = EntryRange { from: first, to: last.index };
        archive.keep(&before, &records)?;
        let write = self.database.begin_write()?;
        write.open_table(LOG)?.retain_in(..=span.to, |_, _| false)?;
        put(&mut write.open_table(BASES)?, span.to, &last.digest)?;
        write.commit()?;
        Ok(Some(span))
    }

    /// The first entry that is here.
    fn first(&self) -> Result<Option<Index>, DatabaseError> {
        Ok(self.database.begin_read()?.open_table(LOG)?.first()?.map(|(index, _)| index.value()))
    }

    /// The log's first entries, as far as they follow on one another and fit into a segment, and the digest
    /// before them.
    fn oldest(&self, due: EntryRange) -> Result<(Digest, Vec<Record>), DatabaseError> {
        let read = self.database.begin_read()?;
        let (log, bases) = (read.open_table(LOG)?, read.open_table(BASES)?);
        let before = if due.from == 1 { Some(Digest::default()) } else { base_at(&bases, due.from - 1)? };
        let before = before.ok_or_else(|| foreign(format!("nothing is known before entry {}", due.from)))?;
        let (mut records, mut bytes) = (Vec::new(), 0);
        for (row, next) in log.range(due.from..=due.to)?.zip(due.from..) {
            let (index, value) = row?;
            if index.value() != next || bytes >= MAX_SEGMENT_BYTES {
                break;
            }
            bytes += value.value().len();
            let (digest, entry) = split(next, value.value())?;
            records.push(Record { index: next, digest: hex(&digest), entry });
        }
        Ok((before, records))
    }

    /// For a disk that holds nothing yet: its log begins behind that entry, whose digest is this.
    pub fn begin_behind(&mut self, index: Index, digest: Digest) -> Result<(), DatabaseError> {
        let write = self.database.begin_write()?;
        put(&mut write.open_table(BASES)?, index, &hex(&digest))?;
        write.commit()?;
        (self.last, self.digest) = (index, digest);
        Ok(())
    }
}

/// The digest of all up to there, where that was noted.
fn base_at(
    bases: &impl ReadableTable<u64, &'static [u8]>,
    index: Index,
) -> Result<Option<Digest>, DatabaseError> {
    let base = bases.get(index)?.map(|base| serde_json::from_slice::<String>(base.value()));
    Ok(base.and_then(Result::ok).as_deref().and_then(digest_of))
}

pub(super) fn digest_of(text: &str) -> Option<Digest> {
    let mut digest = Digest::default();
    for (place, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * place..2 * place + 2)?, 16).ok()?;
    }
    Some(digest)
}

fn split(index: Index, value: &[u8]) -> Result<(Digest, Entry), DatabaseError> {
    let whole = value
        .split_first_chunk::<32>()
        .and_then(|(digest, entry)| Some((*digest, serde_json::from_slice(entry).ok()?)));
    whole.ok_or_else(|| foreign(format!("entry {index} is unreadable")))
}

fn get<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>, DatabaseError> {
    let value = table.get(key)?;
    value
        .map(|value| serde_json::from_slice(value.value()))
        .transpose()
        .map_err(|problem| foreign(format!("{key}: {problem}")))
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
