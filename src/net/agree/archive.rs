//! A voter's archive: old entries in segments, one JSON object a line, each with the digest of all before it.
//! A segment is written once, complete, and synced before its entries leave the log; whoever wants the room
//! moves the oldest ones away.

use super::database::{DatabaseError, Record, digest_of, foreign, hex};
use crate::agree::Index;
use crate::agree::archive::{DigestChain, EntryRange};
use crate::agree::document_state::Digest;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};

const FOLDER: &str = "archive";
/// A segment that is being written; one that a crash left is overwritten.
const UNFINISHED: &str = "unfinished";
const FORMAT: u64 = 1;

/// A segment's first line.
#[derive(Debug, Serialize, Deserialize)]
struct SegmentHeader {
    form: u64,
    #[serde(flatten)]
    span: EntryRange,
    /// Of all in front of it, in hexadecimal digits.
    before: String,
}

/// The folder of a voter's segments.
#[derive(Clone, Debug)]
pub struct Archive {
    folder: PathBuf,
}

impl Archive {
    /// Beside the voter's disk.
    pub fn beside(directory: &Path) -> Archive {
        Archive { folder: directory.join(FOLDER) }
    }

    /// In the entries' order. A folder that is not there holds none.
    pub fn segments(&self) -> Result<Vec<EntryRange>, DatabaseError> {
        let files = match fs::read_dir(&self.folder) {
            Ok(files) => files,
            Err(problem) if problem.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
            Err(problem) => return Err(DatabaseError::Io(problem)),
        };
        let mut spans = Vec::new();
        for file in files {
            spans.extend(file.map_err(DatabaseError::Io)?.file_name().to_str().and_then(EntryRange::parse));
        }
        spans.sort_unstable();
        Ok(spans)
    }

    /// Writes a segment, complete and synced when this returns. Idempotent.
    pub fn keep(&self, before: &Digest, records: &[Record]) -> Result<(), DatabaseError> {
        let (Some(first), Some(last)) = (records.first(), records.last()) else { return Ok(()) };
        let span = EntryRange { from: first.index, to: last.index };
        let write = || -> std::io::Result<()> {
            fs::create_dir_all(&self.folder)?;
            let unfinished = self.folder.join(UNFINISHED);
            let mut file = BufWriter::new(File::create(&unfinished)?);
            let header = SegmentHeader { form: FORMAT, span, before: hex(before) };
            writeln!(file, "{}", serde_json::to_string(&header)?)?;
            for record in records {
                writeln!(file, "{}", serde_json::to_string(record)?)?;
            }
            file.into_inner().map_err(std::io::IntoInnerError::into_error)?.sync_all()?;
            fs::rename(&unfinished, self.folder.join(span.name()))?;
            // Both folders too have to know it after a crash.
            File::open(&self.folder)?.sync_all()?;
            self.folder.parent().map_or(Ok(()), |parent| File::open(parent)?.sync_all())
        };
        write().map_err(DatabaseError::Io)
    }

    /// The lines of a segment behind its first one, and the digest of all in front of it.
    fn open(
        &self,
        span: EntryRange,
    ) -> Result<(Digest, impl Iterator<Item = Result<Record, DatabaseError>>), DatabaseError> {
        let name = span.name();
        let file = File::open(self.folder.join(&name)).map_err(DatabaseError::Io)?;
        let mut lines = BufReader::new(file).lines();
        let first = lines.next().ok_or_else(|| foreign(format!("{name}: it is empty")))?;
        let header: Option<SegmentHeader> = serde_json::from_str(&first.map_err(DatabaseError::Io)?).ok();
        let sound = header.filter(|header| header.form == FORMAT && header.span == span);
        let before = sound.and_then(|header| digest_of(&header.before));
        let before = before.ok_or_else(|| foreign(format!("{name}: line 1 is no segment's")))?;
        let records = lines.zip(2..).map(move |(line, number)| {
            let read = |line: String| serde_json::from_str(&line).ok();
            line.map_err(DatabaseError::Io)
                .and_then(|line| read(line).ok_or_else(|| foreign(format!("{name}: line {number}"))))
        });
        Ok((before, records))
    }

    /// Entries after that one, so many at most, of the first segment that has any. None where the log has to
    /// go on.
    pub fn records(&self, after: Index, most: usize) -> Result<Vec<Record>, DatabaseError> {
        let Some(span) = self.segments()?.into_iter().find(|span| span.to > after) else {
            return Ok(Vec::new());
        };
        let (_, records) = self.open(span)?;
        let later = |record: &Result<Record, _>| record.as_ref().map_or(true, |record| record.index > after);
        records.filter(later).take(most).collect()
    }

    /// Follows every segment's entries behind those that were followed. What is unreadable is reported as the
    /// entry that it should have been.
    pub fn follow(&self, chain: &mut DigestChain) -> Result<(), DatabaseError> {
        // What has been followed is not read again.
        let last = chain.last();
        for span in self.segments()?.into_iter().filter(|span| span.to > last) {
            let Ok((before, records)) = self.open(span) else {
                chain.mark_corrupt(span.from);
                return Ok(());
            };
            let mut next = span.from;
            for record in records {
                let record = record.ok().filter(|record| record.index == next);
                let stored =
                    record.as_ref().and_then(|record| Some((digest_of(&record.digest)?, &record.entry)));
                let stored = stored.as_ref().map(|(digest, entry)| (digest, *entry));
                if !chain.follow(next, stored, || Some(before)) {
                    return Ok(());
                }
                next += 1;
            }
            if next != span.to + 1 {
                chain.mark_corrupt(next);
                return Ok(());
            }
        }
        Ok(())
    }
}
