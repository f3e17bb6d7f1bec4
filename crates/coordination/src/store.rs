//! The append-only file of a replica's records, in batches of one sync each ([`crate::batch`]).
//!
//! When the file is long, a new one is written beside it, synced, and renamed over it; the folder is synced
//! behind. The first batch is written the same way, so a file with a name has a whole first batch. What a
//! failed write left is cut off before the next one.
//!
//! A file in which something that had been saved cannot be read is a lost disk: it is kept aside under
//! [`DAMAGED_FILE`], and the store begins anew as another one. It must not go on under its number with less
//! than it has acknowledged.

use crate::batch::{self, DecodedLog, TailState};
use crate::record::{DurableState, Record};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const LOG_FILE: &str = "replica.log";
const NEW_FILE: &str = "replica.log.new";
/// Where a file is kept of which something saved cannot be read.
pub const DAMAGED_FILE: &str = "replica.log.damaged";

/// The open file.
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
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct LogFile {
    folder: PathBuf,
    /// `None`: nothing was saved yet.
    file: Option<File>,
    /// All before this is whole and synced.
    length: u64,
    next_number: u64,
    /// The file's name is not yet known to be on disk.
    folder_unsynced: bool,
}

/// What a folder held.
#[derive(Debug, Default, PartialEq)]
pub struct OpenedLog {
    /// The replica's state.
    pub durable: DurableState,
    /// A store of this folder was damaged, now or before: whoever begins here is not the store that was here
    /// first.
    pub previous_store_lost: bool,
}

impl LogFile {
    /// Opens the file of `folder`. Returns what it held.
    pub fn open(folder: &Path) -> io::Result<(LogFile, OpenedLog)> {
        fs::create_dir_all(folder)?;
        let mut log = LogFile {
            folder: folder.to_owned(),
            file: None,
            length: 0,
            next_number: 1,
            folder_unsynced: true,
        };
        let contents = log.read()?;
        let mut durable = DurableState::default();
        if let Some(contents) = contents {
            log.take_over(contents, &mut durable)?;
        }
        let previous_store_lost = folder.join(DAMAGED_FILE).try_exists()?;
        Ok((log, OpenedLog { durable, previous_store_lost }))
    }

    /// What the file holds; `None`: there is none, or nothing is in it.
    fn read(&mut self) -> io::Result<Option<DecodedLog>> {
        let path = self.folder.join(LOG_FILE);
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
        let contents =
            batch::decode(&bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        Ok(Some(contents))
    }

    fn take_over(&mut self, contents: DecodedLog, durable: &mut DurableState) -> io::Result<()> {
        if contents.tail == TailState::Damaged {
            return self.keep_aside(contents.intact_bytes);
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

    /// The folder goes on without the file, which stays for people to look at.
    fn keep_aside(&mut self, readable: usize) -> io::Result<()> {
        tracing::error!(
            folder = %self.folder.display(),
            readable,
            "the log is damaged behind what is readable: kept aside as {DAMAGED_FILE}, this store begins anew"
        );
        self.file = None;
        fs::rename(self.folder.join(LOG_FILE), self.folder.join(DAMAGED_FILE))?;
        self.sync_folder()
    }

    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends records and syncs them. After an error nothing of them counts, and the same call may be made
    /// again.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        let bytes = batch::encode(self.next_number, records);
        let Some(file) = self.file.as_mut() else { return self.write_anew(&bytes) };
        file.set_len(self.length)?;
        file.seek(SeekFrom::Start(self.length))?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        self.sync_folder()?;
        self.length += bytes.len() as u64;
        self.next_number += 1;
        Ok(())
    }

    /// Replaces the file by the records of `durable`. After an error the call may be made again.
    pub fn rewrite(&mut self, durable: &DurableState) -> io::Result<()> {
        self.write_anew(&batch::encode(1, &durable.records()))
    }

    /// Makes a file of one batch, and gives it its name once it is synced.
    fn write_anew(&mut self, bytes: &[u8]) -> io::Result<()> {
        let new_path = self.folder.join(NEW_FILE);
        let mut file =
            OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&new_path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&new_path, self.folder.join(LOG_FILE))?;
        self.file = Some(file);
        (self.length, self.next_number, self.folder_unsynced) = (bytes.len() as u64, 2, true);
        self.sync_folder()
    }

    /// Until a renamed file's folder is synced, a loss of power may bring the old file back: nothing behind
    /// it counts.
    fn sync_folder(&mut self) -> io::Result<()> {
        if self.folder_unsynced {
            File::open(&self.folder)?.sync_all()?;
            self.folder_unsynced = false;
        }
        Ok(())
    }
}
