//! A voter's archive: old entries in segments, one JSON object per line, each with the digest of the log up to it. A
//! segment is written once, complete, and synced before its entries are removed from the log. Operators may move the
//! oldest segments away to free disk space.

use super::database::{DatabaseError, Record, digest_of, foreign, hex};
use crate::agree::Index;
use crate::agree::archive::{DigestChain, EntryRange};
use crate::agree::document_state::Digest;
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, BufWriter, ErrorKind, Write};
use std::path::{Path, PathBuf};

const FOLDER: &str = "archive";
/// The file of a segment that is being written. A file left by a crash is overwritten.
const UNFINISHED: &str = "unfinished";
const FORMAT: u64 = 1;

/// A segment's first line.
#[derive(Debug, Serialize, Deserialize)]
struct SegmentHeader {
    form: u64,
    #[serde(flatten)]
    range: EntryRange,
    /// The digest of all earlier entries, in hexadecimal digits.
    before: String,
}

/// The folder that holds a voter's segments.
#[derive(Clone, Debug)]
pub struct Archive {
    folder: PathBuf,
}

impl Archive {
    /// The archive beside the voter's database in `directory`.
    pub fn beside(directory: &Path) -> Archive {
        Archive { folder: directory.join(FOLDER) }
    }

    /// Lists the segments in the order of their entries. A missing folder has none.
    pub fn segments(&self) -> Result<Vec<EntryRange>, DatabaseError> {
        let files = match fs::read_dir(&self.folder) {
            Ok(files) => files,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
            Err(error) => return Err(DatabaseError::Io(error)),
        };
        let mut ranges = Vec::new();
        for file in files {
            ranges.extend(file.map_err(DatabaseError::Io)?.file_name().to_str().and_then(EntryRange::parse));
        }
        ranges.sort_unstable();
        Ok(ranges)
    }

    /// Writes a segment, which is complete and synced when this returns. `before` is the digest of all earlier entries.
    /// Idempotent.
    pub fn keep(&self, before: &Digest, records: &[Record]) -> Result<(), DatabaseError> {
        let (Some(first), Some(last)) = (records.first(), records.last()) else { return Ok(()) };
        let range = EntryRange { from: first.index, to: last.index };
        let write = || -> std::io::Result<()> {
            fs::create_dir_all(&self.folder)?;
            let unfinished = self.folder.join(UNFINISHED);
            let mut file = BufWriter::new(File::create(&unfinished)?);
            let header = SegmentHeader { form: FORMAT, range, before: hex(before) };
            writeln!(file, "{}", serde_json::to_string(&header)?)?;
            for record in records {
                writeln!(file, "{}", serde_json::to_string(record)?)?;
            }
            file.into_inner().map_err(std::io::IntoInnerError::into_error)?.sync_all()?;
            fs::rename(&unfinished, self.folder.join(range.name()))?;
            // Both folders are synced too, so that the file is found after a crash.
            File::open(&self.folder)?.sync_all()?;
            self.folder.parent().map_or(Ok(()), |parent| File::open(parent)?.sync_all())
        };
        write().map_err(DatabaseError::Io)
    }

    /// Opens a segment: returns the digest of all earlier entries, and the segment's records.
    fn open(
        &self,
        range: EntryRange,
    ) -> Result<(Digest, impl Iterator<Item = Result<Record, DatabaseError>>), DatabaseError> {
        let name = range.name();
        let file = File::open(self.folder.join(&name)).map_err(DatabaseError::Io)?;
        let mut lines = BufReader::new(file).lines();
        let first = lines.next().ok_or_else(|| foreign(format!("{name}: it is empty")))?;
        let header: Option<SegmentHeader> = serde_json::from_str(&first.map_err(DatabaseError::Io)?).ok();
        let valid = header.filter(|header| header.form == FORMAT && header.range == range);
        let before = valid.and_then(|header| digest_of(&header.before));
        let before = before.ok_or_else(|| foreign(format!("{name}: line 1 is no segment's")))?;
        let records = lines.zip(2..).map(move |(line, number)| {
            let read = |line: String| serde_json::from_str(&line).ok();
            line.map_err(DatabaseError::Io)
                .and_then(|line| read(line).ok_or_else(|| foreign(format!("{name}: line {number}"))))
        });
        Ok((before, records))
    }

    /// Up to `max_records` entries after `after`, from the first segment that has any. Empty if all later entries are
    /// in the log.
    pub fn records(&self, after: Index, max_records: usize) -> Result<Vec<Record>, DatabaseError> {
        let Some(range) = self.segments()?.into_iter().find(|range| range.to > after) else {
            return Ok(Vec::new());
        };
        let (_, records) = self.open(range)?;
        let later = |record: &Result<Record, _>| record.as_ref().map_or(true, |record| record.index > after);
        records.filter(later).take(max_records).collect()
    }

    /// Verifies the entries of all segments after the last verified one. An unreadable line counts as a corrupt entry
    /// with the index that is expected there.
    pub fn follow(&self, chain: &mut DigestChain) -> Result<(), DatabaseError> {
        // Segments that are verified already are not read again.
        let last = chain.last();
        for range in self.segments()?.into_iter().filter(|range| range.to > last) {
            let Ok((before, records)) = self.open(range) else {
                chain.mark_corrupt(range.from);
                return Ok(());
            };
            let mut next = range.from;
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
            if next != range.to + 1 {
                chain.mark_corrupt(next);
                return Ok(());
            }
        }
        Ok(())
    }
}
