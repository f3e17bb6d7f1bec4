//! The append-only file of a replica's records, in batches of one sync each ([`crate::batch`]).
//!
//! A file that has grown long is replaced: a new one is written beside it, synced, and renamed over it; then
//! the directory is synced. The first batch is written the same way, so a file under the final name has a
//! complete first batch. The remains of a failed write are cut off before the next write.
//!
//! If a saved batch cannot be read, the store is lost: the file is renamed to [`DAMAGED_FILE`], and the
//! directory becomes a new store. It must not continue under the old identity, because it may lack entries
//! that the old store has acknowledged.

use crate::batch::{self, DecodedLog, TailState, UnreadableLog};
use crate::record::{DurableState, Record};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const LOG_FILE: &str = "replica.log";
const NEW_FILE: &str = "replica.log.new";
/// The name under which a damaged file is set aside.
pub const DAMAGED_FILE: &str = "replica.log.damaged";

/// The name under which a log is set aside if the replica's state differed from that of its group.
pub const DIVERGED_FILE: &str = "replica.log.diverged";
/// The name of the file with the state that differed, as the state machine encodes it.
pub const DIVERGED_STATE_FILE: &str = "state.diverged";

/// The open log.
///
/// ```
/// use pathbank_coordination::record::Record;
/// use pathbank_coordination::store::LogFile;
///
/// let folder = std::env::temp_dir().join(format!("pathbank-example-{}", std::process::id()));
/// let (mut log, _) = LogFile::open(&folder)?;
/// log.append(&[Record::Vote { term: 3, voted_for: None }])?;
/// drop(log);
/// let (_, opened) = LogFile::open(&folder)?;
/// assert_eq!(opened.durable.term, 3);
/// # std::fs::remove_dir_all(&folder)?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct LogFile {
    directory: PathBuf,
    /// `None`: nothing was saved yet.
    file: Option<File>,
    /// Every byte before this offset is intact and synced.
    length: u64,
    next_number: u64,
    /// Whether the directory still has to be synced after the file was renamed.
    directory_unsynced: bool,
}

/// What a data directory held.
#[derive(Debug, Default, PartialEq)]
pub struct OpenedLog {
    /// The replica's state.
    pub durable: DurableState,
    /// Whether a store in this directory was damaged or differed from its group, now or earlier. If so, this
    /// directory holds a new store.
    pub previous_store_lost: bool,
}

/// Why a log cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The directory or the file cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is intact, but this version cannot read it.
    #[error(transparent)]
    Unreadable(#[from] UnreadableLog),
}

impl LogFile {
    /// Opens the log of a data directory, which is created if there is none. Returns what it held.
    ///
    /// # Errors
    ///
    /// The directory or file cannot be read or written, or the file is of a later version.
    pub fn open(directory: &Path) -> Result<(LogFile, OpenedLog), OpenError> {
        fs::create_dir_all(directory)?;
        let mut log = LogFile {
            directory: directory.to_owned(),
            file: None,
            length: 0,
            next_number: 1,
            directory_unsynced: true,
        };
        let contents = log.read()?;
        let mut durable = DurableState::default();
        if let Some(contents) = contents {
            log.recover(contents, &mut durable)?;
        }
        let previous_store_lost =
            directory.join(DAMAGED_FILE).try_exists()? || directory.join(DIVERGED_FILE).try_exists()?;
        Ok((log, OpenedLog { durable, previous_store_lost }))
    }

    /// Reads the file. Returns `None` if there is no file or it is empty.
    fn read(&mut self) -> Result<Option<DecodedLog>, OpenError> {
        let path = self.directory.join(LOG_FILE);
        if !path.try_exists()? {
            return Ok(None);
        }
        let mut file = OpenOptions::new().read(true).write(true).open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        if bytes.is_empty() {
            return Ok(None);
        }
        self.file = Some(file);
        Ok(Some(batch::decode(&bytes)?))
    }

    /// Restores `durable` from the contents of the file: sets a damaged file aside, rewrites one of the
    /// legacy format, and cuts off a torn batch.
    fn recover(&mut self, contents: DecodedLog, durable: &mut DurableState) -> io::Result<()> {
        if contents.tail == TailState::Damaged {
            return self.set_aside(contents.intact_bytes);
        }
        contents.records.into_iter().for_each(|record| durable.apply(record));
        (self.length, self.next_number) = (contents.intact_bytes as u64, contents.next_number);
        if contents.is_legacy_format {
            return self.rewrite(durable);
        }
        if let Some(file) = self.file.as_ref().filter(|_| contents.tail == TailState::Torn) {
            file.set_len(self.length)?;
            file.sync_all()?;
        }
        Ok(())
    }

    /// Renames a damaged file, which is kept for operators to examine.
    fn set_aside(&mut self, intact_bytes: usize) -> io::Result<()> {
        tracing::error!(
            directory = %self.directory.display(),
            intact_bytes,
            set_aside_as = DAMAGED_FILE,
            "replica log damaged, starting as a new store"
        );
        self.file = None;
        fs::rename(self.directory.join(LOG_FILE), self.directory.join(DAMAGED_FILE))?;
        self.sync_directory()
    }

    /// Sets aside the log of a replica that differs from its group, along with the `state` that differed. The
    /// directory becomes a new store when it is opened next.
    ///
    /// # Errors
    ///
    /// A file cannot be written, renamed or synced. The caller may repeat the call.
    pub fn set_diverged_aside(&mut self, state: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.directory.join(DIVERGED_STATE_FILE))?;
        file.write_all(state)?;
        file.sync_all()?;
        self.file = None;
        let log = self.directory.join(LOG_FILE);
        if log.try_exists()? {
            fs::rename(log, self.directory.join(DIVERGED_FILE))?;
        }
        self.directory_unsynced = true;
        self.sync_directory()
    }

    /// The length of the file, bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends records and syncs them.
    ///
    /// # Errors
    ///
    /// The file cannot be written or synced. None of the records counts as saved, and the caller may repeat
    /// the call.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        let bytes = batch::encode(self.next_number, records);
        let Some(file) = self.file.as_mut() else { return self.replace(&bytes) };
        file.set_len(self.length)?;
        file.seek(SeekFrom::Start(self.length))?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        self.sync_directory()?;
        self.length += bytes.len() as u64;
        self.next_number += 1;
        Ok(())
    }

    /// Replaces the file by the records of `durable`.
    ///
    /// # Errors
    ///
    /// A file cannot be written, renamed or synced. Either the old or the new file is in place, and the
    /// caller may repeat the call.
    pub fn rewrite(&mut self, durable: &DurableState) -> io::Result<()> {
        self.replace(&batch::encode(1, &durable.records()))
    }

    /// Writes a new file of one batch, syncs it, and renames it over the log file.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let new_path = self.directory.join(NEW_FILE);
        let mut file =
            OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&new_path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new_path, self.directory.join(LOG_FILE))?;
        self.file = Some(file);
        (self.length, self.next_number, self.directory_unsynced) = (bytes.len() as u64, 2, true);
        self.sync_directory()
    }

    /// Syncs the directory after a file was renamed. Until then a loss of power may bring the old file back,
    /// so appended records do not count as saved.
    fn sync_directory(&mut self) -> io::Result<()> {
        if self.directory_unsynced {
            File::open(&self.directory)?.sync_all()?;
            self.directory_unsynced = false;
        }
        Ok(())
    }
}
