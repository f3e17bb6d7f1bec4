//! A backup: one file with all documents and the entries that led to them, and the disk of a new cluster's
//! only voter that is made from it. The first line is a header, each further line one entry with the digest
//! of all up to it.

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
/// The first entry's line in the file.
const FIRST_ENTRY_LINE: usize = 2;
/// The most that a voter's disk may hold which the operators' program opens, bytes.
pub const MAX_DISK_BYTES: u64 = 1 << 40;

/// Why a backup cannot be written or restored.
#[derive(Debug, Error)]
pub enum BackupError {
    /// The file cannot be read or written.
    #[error(transparent)]
    File(#[from] io::Error),
    /// The file has no line.
    #[error("it is empty")]
    Empty,
    /// A line is not what a backup holds there.
    #[error("line {line}: {problem}")]
    Line {
        /// Counted from 1.
        line: usize,
        /// What is wrong with it.
        problem: serde_json::Error,
    },
    /// Another program wrote it.
    #[error("it has form {0}, this program knows {FORMAT}")]
    Format(u64),
    /// An entry does not follow on those before it.
    #[error("line {line}: entry {index} is not what was written")]
    Changed {
        /// Counted from 1.
        line: usize,
        /// The entry.
        index: Index,
    },
    /// Its entries do not end where its header says.
    #[error("its entries are not all there, or not those that its first line is of")]
    Incomplete,
}

/// The file's first line.
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
        // A part of a backup must not pass for one, nor stand in the next one's way.
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

/// What a backup holds, checked against the digests of its entries.
pub struct Backup {
    /// The cluster that it was taken of.
    pub cluster: String,
    state: DocumentState,
    term: Term,
    /// The entry that the first one here follows on, where older ones had been moved away.
    base: Option<(Index, Digest)>,
    entries: Vec<Entry>,
}

impl Backup {
    /// Reads and checks a backup's file.
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

    /// Makes the disk of a new cluster's only voter. Returns its last entry.
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
        let alone = Command::Voters(Voters::from([(id, address.to_string())]));
        disk.save(&[
            PersistentChange::Snapshot {
                state: Box::new(self.state),
                term: snapshot_term,
                replaces_after: None,
            },
            PersistentChange::Append(last, Entry { term, command: alone }),
        ])?;
        // Whoever comes has to have read all of it.
        disk.save(&[PersistentChange::Vote { term, voted: None }, PersistentChange::Barrier(last)])?;
        Ok(last)
    }
}

/// Follows a backup's entries from line to line.
#[derive(Default)]
struct EntryReader {
    entries: Vec<Entry>,
    /// What the entries read so far come to, where they begin with the first of all.
    state: DocumentState,
    chain: DigestChain,
    base: Option<(Index, Digest)>,
}

impl EntryReader {
    fn read(&mut self, line: usize, record: Record) -> Result<(), BackupError> {
        let digest = digest_of(&record.digest);
        // Where the oldest ones had been moved away, the first one is what the others follow on.
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
        // Documents that no entries here tell of are taken as the header has them.
        let state = if base.is_some() { header.state } else { state };
        Ok(Backup { cluster: header.cluster, state, term: header.term, base, entries })
    }
}
