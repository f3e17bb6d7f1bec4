//! Backups: one file with all documents and the log entries behind them. Restoring a backup creates the database of a
//! new cluster's only voter. The file's first line is a header; each further line is one entry with the digest of the
//! log up to it.

use super::database::{DatabaseError, Record, VoterDatabase, digest_of};
use crate::agree::archive::DigestChain;
use crate::agree::document_state::{Digest, DocumentState};
use crate::agree::voter::{PersistentChange, Voters};
use crate::agree::{Command, Entry, Index, Term, VoterId};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use thiserror::Error;

const FORMAT: u64 = 1;
/// The line of the first entry in the file, counted from 1.
const FIRST_ENTRY_LINE: usize = 2;
/// Limit on the size of a database that the operators' program opens, in bytes.
pub const MAX_DISK_BYTES: u64 = 1 << 40;

/// Why a backup cannot be written or restored.
#[derive(Debug, Error)]
pub enum BackupError {
    /// The file cannot be read or written.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The file has no line.
    #[error("the file is empty")]
    Empty,
    /// A line cannot be parsed.
    #[error("line {line}: {problem}")]
    Line {
        /// Counted from 1.
        line: usize,
        /// Why it cannot be parsed.
        problem: serde_json::Error,
    },
    /// The file's format is not the one of this program.
    #[error("the file has format {0}, this program reads format {FORMAT}")]
    Format(u64),
    /// An entry's digest does not match the entries up to it.
    #[error("line {line}: entry {index} is not what was written")]
    Changed {
        /// Counted from 1.
        line: usize,
        /// The entry.
        index: Index,
    },
    /// The entries do not end where the header says.
    #[error("its entries are not all there, or not those that its first line is of")]
    Incomplete,
}

/// The first line of a backup's file.
#[derive(Serialize, Deserialize)]
struct Header {
    form: u64,
    cluster: String,
    #[serde(rename = "ledger")]
    state: DocumentState,
    term: Term,
}

/// Writes a backup to a new file. `records` end with the last entry that the state has applied.
pub fn write(to: &Path, cluster: &str, state: DocumentState, records: &[Record]) -> Result<(), BackupError> {
    let file = File::create_new(to)?;
    let term = records.last().map_or(0, |record| record.entry.term);
    let header = Header { form: FORMAT, cluster: cluster.to_string(), state, term };
    let written = write_lines(file, &header, records);
    if written.is_err() {
        // A partial backup must not be taken for a complete one, and must not prevent the next one.
        let _ = fs::remove_file(to);
    }
    Ok(written?)
}

fn write_lines(file: File, header: &Header, records: &[Record]) -> io::Result<()> {
    let mut file = BufWriter::new(file);
    writeln!(file, "{}", serde_json::to_string(header)?)?;
    for record in records {
        writeln!(file, "{}", serde_json::to_string(record)?)?;
    }
    file.into_inner().map_err(io::IntoInnerError::into_error)?.sync_all()
}

/// A backup whose entries match their digests.
pub struct Backup {
    /// The cluster from which it was taken.
    pub cluster: String,
    state: DocumentState,
    term: Term,
    /// The entry before the first one, with its digest, if older entries had been moved away.
    base: Option<(Index, Digest)>,
    entries: Vec<Entry>,
}

impl Backup {
    /// Reads and verifies a backup's file.
    pub fn read(from: &Path) -> Result<Backup, BackupError> {
        let mut lines = BufReader::new(File::open(from)?).lines();
        let first = lines.next().ok_or(BackupError::Empty)??;
        let header: Header =
            serde_json::from_str(&first).map_err(|problem| BackupError::Line { line: 1, problem })?;
        if header.form != FORMAT {
            return Err(BackupError::Format(header.form));
        }
        let mut reader = EntryReader::default();
        for (line, text) in (FIRST_ENTRY_LINE..).zip(lines) {
            let record =
                serde_json::from_str(&text?).map_err(|problem| BackupError::Line { line, problem })?;
            reader.read(line, record)?;
        }
        reader.finish(header)
    }

    /// Creates the database of a new cluster's only voter. Returns the last entry of its log.
    pub fn restore(self, directory: &Path, id: VoterId, address: &str) -> Result<Index, DatabaseError> {
        VoterDatabase::create(directory, id)?;
        let (mut disk, _) = VoterDatabase::open(directory, MAX_DISK_BYTES)?;
        if let Some((index, digest)) = self.base {
            disk.begin_behind(index, digest)?;
        }
        let snapshot_term = self.entries.last().map_or(self.term, |entry| entry.term);
        let first = self.base.map_or(0, |(index, _)| index) + 1;
        let entries: Vec<PersistentChange> = (first..)
            .zip(self.entries)
            .map(|(index, entry)| PersistentChange::Append(index, entry))
            .collect();
        disk.save(&entries)?;
        let (term, last) = (self.term + 1, self.state.applied() + 1);
        let membership = Command::Voters(Voters::from([(id, address.to_string())]));
        disk.save(&[
            PersistentChange::Snapshot {
                state: Box::new(self.state),
                term: snapshot_term,
                replaces_after: None,
            },
            PersistentChange::Append(last, Entry { term, command: membership }),
        ])?;
        // A process gets a lease only once it has applied all of these entries.
        disk.save(&[PersistentChange::Vote { term, voted: None }, PersistentChange::Barrier(last)])?;
        Ok(last)
    }
}

/// Reads and verifies a backup's entries line by line.
#[derive(Default)]
struct EntryReader {
    entries: Vec<Entry>,
    /// The state after the entries read so far, if they begin with the log's first entry.
    state: DocumentState,
    chain: DigestChain,
    base: Option<(Index, Digest)>,
}

impl EntryReader {
    fn read(&mut self, line: usize, record: Record) -> Result<(), BackupError> {
        let digest = digest_of(&record.digest);
        // If the oldest entries had been moved away, the first line is only the base of the following entries.
        if line == FIRST_ENTRY_LINE && record.index > 1 {
            self.base = digest.map(|digest| (record.index, digest));
            if self.base.is_some() {
                return Ok(());
            }
        }
        let stored = digest.as_ref().map(|digest| (digest, &record.entry));
        let base = self.base.filter(|(index, _)| index + 1 == record.index).map(|(_, digest)| digest);
        if !self.chain.follow(record.index, stored, || base) {
            return Err(BackupError::Changed { line, index: record.index });
        }
        if self.base.is_none() {
            self.state.apply(&record.entry);
        }
        self.entries.push(record.entry);
        Ok(())
    }

    fn finish(self, header: Header) -> Result<Backup, BackupError> {
        let EntryReader { entries, state, chain, base } = self;
        let end = base.filter(|_| entries.is_empty()).unwrap_or((chain.last(), *chain.digest()));
        if end != (header.state.applied(), *header.state.digest()) {
            return Err(BackupError::Incomplete);
        }
        // If entries are missing, the state cannot be computed from them and is taken from the header.
        let state = if base.is_some() { header.state } else { state };
        Ok(Backup { cluster: header.cluster, state, term: header.term, base, entries })
    }
}
