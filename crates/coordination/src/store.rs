//! The append-only file of a replica's records.
//!
//! `log` holds the records. When it is long, a new file is written beside it, synced, and renamed over it; the folder
//! is synced behind. What a failed write left is cut off before the next one, so that a record behind it is found.

use crate::record::{Durable, Record, decode, encode};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const LOG_FILE: &str = "replica.log";
const NEW_FILE: &str = "replica.log.new";

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
/// let (_, durable) = LogFile::open(&folder)?;
/// assert_eq!(durable.term, 3);
/// # std::fs::remove_dir_all(&folder)?;
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct LogFile {
    folder: PathBuf,
    file: File,
    /// All before this is whole and synced.
    length: u64,
    /// The file's name is not yet known to be on disk.
    folder_unsynced: bool,
}

impl LogFile {
    /// Opens the file of `folder`, which is made if it is missing. Returns what it held.
    pub fn open(folder: &Path) -> io::Result<(LogFile, Durable)> {
        fs::create_dir_all(folder)?;
        let path = folder.join(LOG_FILE);
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let (records, whole) = decode(&bytes);
        let mut durable = Durable::default();
        records.into_iter().for_each(|record| durable.apply(record));
        let log = LogFile { folder: folder.to_owned(), file, length: whole as u64, folder_unsynced: false };
        if (whole as u64) < bytes.len() as u64 {
            log.file.set_len(log.length)?;
            log.file.sync_all()?;
        }
        Ok((log, durable))
    }

    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends records and syncs them. After an error nothing of them counts, and the same call may be made again.
    pub fn append(&mut self, records: &[Record]) -> io::Result<()> {
        self.sync_folder()?;
        let mut bytes = Vec::new();
        records.iter().for_each(|record| encode(record, &mut bytes));
        self.file.set_len(self.length)?;
        self.file.seek(SeekFrom::Start(self.length))?;
        self.file.write_all(&bytes)?;
        self.file.sync_all()?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Replaces the file by the records of `durable`. After an error the call may be made again.
    pub fn rewrite(&mut self, durable: &Durable) -> io::Result<()> {
        let mut bytes = Vec::new();
        durable.records().iter().for_each(|record| encode(record, &mut bytes));
        let new_path = self.folder.join(NEW_FILE);
        let mut file =
            OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&new_path)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&new_path, self.folder.join(LOG_FILE))?;
        (self.file, self.length, self.folder_unsynced) = (file, bytes.len() as u64, true);
        self.sync_folder()
    }

    /// Until a renamed file's folder is synced, a loss of power may bring the old file back: nothing behind it counts.
    fn sync_folder(&mut self) -> io::Result<()> {
        if self.folder_unsynced {
            File::open(&self.folder)?.sync_all()?;
            self.folder_unsynced = false;
        }
        Ok(())
    }
}
