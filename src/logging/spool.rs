//! Keeps lines on disk, in a redb table keyed by serial number, until a collector has received them. Lines that
//! `append` has written survive a crash at any byte, because redb commits a batch atomically. Lines that cannot be
//! written stay in memory, in order, and are retried with the next batch.
//!
//! A file that cannot be opened is renamed, and a new file is created.

use crate::config::syslog::SpoolLimits;
use crate::interface::Micros;
use crate::syslog::Severity;
use crate::syslog::queue::Dropped;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// Lines by serial number. A value is the time (8 bytes, big-endian), the severity (1 byte) and the line.
const LINES: TableDefinition<u64, &[u8]> = TableDefinition::new("lines");
const FILE: &str = "spool.redb";
/// Bytes after which a batch is passed to [`Spool::append`].
pub const BATCH: usize = 256 * 1024;
/// Largest number of bytes of lines held in memory while writes to the disk fail.
const MAX_PENDING_BYTES: usize = 1024 * 1024;
/// Cache size of the database in bytes.
const CACHE_BYTES: usize = 2 * 1024 * 1024;
/// Approximate bytes on disk that each line takes in addition to its own.
const LINE_OVERHEAD_BYTES: u64 = 32;
/// Message id in reports of lines dropped from disk, where message ids are not stored.
const UNKNOWN_ID: &str = "any";

/// An on-disk queue of lines, bounded in bytes and age.
pub struct Spool {
    state: Mutex<State>,
    notify: Notify,
    limits: SpoolLimits,
}

type Opener = Box<dyn Fn() -> Result<Database, redb::DatabaseError> + Send>;

struct State {
    /// Opens the database. After a failure, the database is reopened before the next write.
    opener: Opener,
    database: Option<Database>,
    /// Lines on disk, by severity: serial and size of each, oldest first.
    index: [VecDeque<(u64, u32)>; 8],
    bytes: u64,
    /// Lines that are not on disk yet: serial number, time, severity and line.
    pending: VecDeque<(u64, Micros, Severity, Vec<u8>)>,
    pending_bytes: usize,
    next: u64,
    oldest: Option<Micros>,
    problems: Vec<String>,
    dropped: Vec<Dropped>,
    failing: bool,
}

fn now() -> Micros {
    crate::clock::micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO))
}

fn value(at: Micros, severity: Severity, line: &[u8]) -> Vec<u8> {
    let mut value = at.to_be_bytes().to_vec();
    value.push(severity.code());
    value.extend_from_slice(line);
    value
}

/// Splits a stored value into its time, severity and line.
fn split(value: &[u8]) -> Option<(Micros, Severity, &[u8])> {
    let (at, rest) = value.split_at_checked(8)?;
    let (severity, line) = rest.split_first()?;
    Some((Micros::from_be_bytes(at.try_into().ok()?), *Severity::ALL.get(*severity as usize)?, line))
}

impl Spool {
    /// Opens or creates the spool file in the directory that `limits` names. A failure is reported by
    /// [`Spool::problems`], and lines stay in memory.
    pub fn open(limits: &SpoolLimits) -> Spool {
        let path = limits.directory.join(FILE);
        let create = move || redb::Builder::new().set_cache_size(CACHE_BYTES).create(&path);
        let mut state = State::empty(Box::new(create));
        state.open(Some(&limits.directory.join(FILE)));
        Spool { state: Mutex::new(state), notify: Notify::new(), limits: limits.clone() }
    }

    /// Opens a spool on the given storage backend instead of a file.
    pub fn on<B: StorageBackend>(backend: impl Fn() -> B + Send + 'static, limits: &SpoolLimits) -> Spool {
        let create = move || redb::Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(backend());
        let mut state = State::empty(Box::new(create));
        state.open(None);
        Spool { state: Mutex::new(state), notify: Notify::new(), limits: limits.clone() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of unreleased lines, on disk and in memory.
    pub fn lines(&self) -> usize {
        let state = self.state();
        state.index.iter().map(VecDeque::len).sum::<usize>() + state.pending.len()
    }

    /// Completes once lines have been appended.
    pub async fn filled(&self) {
        self.notify.notified().await;
    }

    /// Takes the descriptions of the failures since the last call.
    pub fn problems(&self) -> Vec<String> {
        std::mem::take(&mut self.state().problems)
    }

    /// Takes the counts of the lines dropped since the last call.
    pub fn dropped(&self) -> Vec<Dropped> {
        std::mem::take(&mut self.state().dropped)
    }

    /// Appends lines and returns once they are on disk, or in memory if the write fails. An empty batch only retries
    /// the lines in memory.
    pub fn append(&self, batch: Vec<(Severity, &'static str, Vec<u8>)>) {
        self.append_at(now(), batch);
    }

    fn append_at(&self, at: Micros, batch: Vec<(Severity, &'static str, Vec<u8>)>) {
        let mut state = self.state();
        let any = !batch.is_empty();
        for (severity, id, line) in batch {
            let key = state.next;
            state.next += 1;
            state.pending_bytes += line.len();
            state.pending.push_back((key, at, severity, line));
            if state.failing && state.pending_bytes > MAX_PENDING_BYTES {
                state.drop_pending(id);
            }
        }
        state.write();
        state.enforce_limits(&self.limits, at);
        drop(state);
        if any {
            self.notify.notify_one();
        }
    }

    /// Reads at most `most` lines with serial numbers greater than `after`, in order.
    pub fn read(&self, after: u64, most: usize) -> Vec<(u64, Vec<u8>)> {
        let mut state = self.state();
        let mut lines = match state.read(after, most) {
            Ok(lines) => lines,
            Err(problem) => {
                state.fail(&problem);
                Vec::new()
            }
        };
        // Lines on disk that cannot be read now are still stored, and must be sent before the lines in memory.
        let last = lines.last().map_or(after, |(key, _)| *key);
        if state.index.iter().any(|entries| entries.back().is_some_and(|(key, _)| *key > last)) {
            return lines;
        }
        let room = most - lines.len().min(most);
        let pending = state.pending.iter().filter(|(key, ..)| *key > after);
        lines.extend(pending.take(room).map(|(key, _, _, line)| (*key, line.clone())));
        lines
    }

    /// Removes all lines up to and including serial number `key`, which a collector has received.
    pub fn release(&self, key: u64) {
        let mut state = self.state();
        state.release(key);
    }
}

impl State {
    fn empty(opener: Opener) -> State {
        State {
            opener,
            database: None,
            index: Default::default(),
            bytes: 0,
            pending: VecDeque::new(),
            pending_bytes: 0,
            next: 1,
            oldest: None,
            problems: Vec::new(),
            dropped: Vec::new(),
            failing: false,
        }
    }

    /// Opens the database. If a file at `path` cannot be opened, it is renamed and a new one is created.
    fn open(&mut self, path: Option<&std::path::Path>) {
        let database = (self.opener)().or_else(|problem| {
            let Some(path) = path else { return Err(problem) };
            let stamp = now();
            let aside = PathBuf::from(format!("{}.unreadable-{stamp}", path.display()));
            self.problems.push(format!("{problem}; the file is set aside as {}", aside.display()));
            // If the rename fails too, the next open reports why.
            let _ = std::fs::rename(path, aside);
            (self.opener)()
        });
        match database {
            Ok(database) => self.take(database),
            Err(problem) => {
                self.failing = true;
                self.problems.push(format!("{problem}; lines wait in memory"));
            }
        }
    }

    /// Adopts an opened database and indexes the lines in it.
    fn take(&mut self, database: Database) {
        self.database = Some(database);
        if let Err(problem) = self.load_index() {
            self.fail(&problem);
        }
    }

    fn load_index(&mut self) -> Result<(), redb::Error> {
        let Some(database) = &self.database else { return Ok(()) };
        let begin = database.begin_write()?;
        begin.open_table(LINES)?;
        begin.commit()?;
        let read = database.begin_read()?;
        let table = read.open_table(LINES)?;
        for entry in table.iter()? {
            let (key, value) = entry?;
            let Some((at, severity, line)) = split(value.value()) else { continue };
            self.index[severity as usize].push_back((key.value(), line.len() as u32));
            self.bytes += line.len() as u64 + LINE_OVERHEAD_BYTES;
            self.oldest.get_or_insert(at);
            self.next = self.next.max(key.value() + 1);
        }
        Ok(())
    }

    fn fail(&mut self, problem: &redb::Error) {
        // Repeated failures are reported once, until a write succeeds.
        if !std::mem::replace(&mut self.failing, true) {
            self.problems.push(problem.to_string());
        }
    }

    fn write(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        if self.failing {
            // The file must be closed before it can be reopened. The cause of the failure is already reported.
            self.database = None;
            self.database = (self.opener)().ok();
        }
        match self.commit() {
            Ok(()) => {
                self.failing = false;
                for (key, at, severity, line) in self.pending.drain(..) {
                    self.index[severity as usize].push_back((key, line.len() as u32));
                    self.bytes += line.len() as u64 + LINE_OVERHEAD_BYTES;
                    self.oldest.get_or_insert(at);
                }
                self.pending_bytes = 0;
            }
            Err(problem) => self.fail(&problem),
        }
    }

    fn commit(&self) -> Result<(), redb::Error> {
        let Some(database) = &self.database else {
            return Err(redb::Error::Io(std::io::Error::other("the spool database is not open")));
        };
        let write = database.begin_write()?;
        {
            let mut table = write.open_table(LINES)?;
            for (key, at, severity, line) in &self.pending {
                table.insert(key, &*value(*at, *severity, line))?;
            }
        }
        write.commit()?;
        Ok(())
    }

    fn read(&self, after: u64, most: usize) -> Result<Vec<(u64, Vec<u8>)>, redb::Error> {
        let Some(database) = &self.database else { return Ok(Vec::new()) };
        let read = database.begin_read()?;
        let table = read.open_table(LINES)?;
        let mut lines = Vec::new();
        for entry in table.range(after + 1..)?.take(most) {
            let (key, value) = entry?;
            if let Some((_, _, line)) = split(value.value()) {
                lines.push((key.value(), line.to_vec()));
            }
        }
        Ok(lines)
    }

    fn release(&mut self, key: u64) {
        while self.pending.front().is_some_and(|(first, ..)| *first <= key) {
            if let Some((.., line)) = self.pending.pop_front() {
                self.pending_bytes -= line.len();
            }
        }
        let mut removed = Vec::new();
        for entries in &mut self.index {
            while entries.front().is_some_and(|(first, _)| *first <= key) {
                removed.extend(entries.pop_front());
            }
        }
        self.remove(&removed);
    }

    fn remove(&mut self, removed: &[(u64, u32)]) {
        if removed.is_empty() {
            return;
        }
        self.bytes -= removed.iter().map(|(_, length)| u64::from(*length) + LINE_OVERHEAD_BYTES).sum::<u64>();
        self.oldest = None;
        let done = (|| {
            let Some(database) = &self.database else { return Ok(()) };
            let mut write = database.begin_write()?;
            // A crash may restore removed lines, which are then sent twice with the same sequence ids.
            let _ = write.set_durability(redb::Durability::None);
            let oldest = {
                let mut table = write.open_table(LINES)?;
                for (key, _) in removed {
                    table.remove(key)?;
                }
                let first = table.first()?;
                first.and_then(|(_, value)| split(value.value()).map(|(at, ..)| at))
            };
            write.commit()?;
            self.oldest = oldest;
            Ok::<(), redb::Error>(())
        })();
        if let Err(problem) = done {
            self.fail(&problem);
        }
    }

    /// Drops the least severe lines, oldest first, while the spool exceeds its size limit, and every line that exceeds
    /// the age limit.
    fn enforce_limits(&mut self, limits: &SpoolLimits, now: Micros) {
        let mut removed = Vec::new();
        let mut bytes = self.bytes;
        while bytes > limits.bytes {
            let Some(entries) = self.index.iter_mut().rev().find(|entries| !entries.is_empty()) else {
                break;
            };
            let Some(first) = entries.pop_front() else { break };
            bytes -= u64::from(first.1) + LINE_OVERHEAD_BYTES;
            removed.push(first);
        }
        let oldest_allowed = now.saturating_sub(crate::clock::micros(limits.age));
        if self.oldest.is_some_and(|oldest| oldest < oldest_allowed)
            && let Ok(old) = self.last_serial_before(oldest_allowed)
        {
            for entries in &mut self.index {
                while entries.front().is_some_and(|(key, _)| *key <= old) {
                    removed.extend(entries.pop_front());
                }
            }
        }
        if !removed.is_empty() {
            let from = self.oldest.unwrap_or(now);
            self.dropped.push(Dropped { id: UNKNOWN_ID, count: removed.len() as u64, from, until: now });
            self.remove(&removed);
        }
    }

    /// Returns the last serial number before the first line whose time is at or after `bound`, or 0.
    fn last_serial_before(&self, bound: Micros) -> Result<u64, redb::Error> {
        let Some(database) = &self.database else { return Ok(0) };
        let table = database.begin_read()?.open_table(LINES)?;
        let mut last = 0;
        for entry in table.iter()? {
            let (key, value) = entry?;
            match split(value.value()) {
                Some((at, ..)) if at >= bound => break,
                _ => last = key.value(),
            }
        }
        Ok(last)
    }

    /// Drops the oldest of the least severe lines in memory.
    fn drop_pending(&mut self, id: &'static str) {
        let worst = self.pending.iter().map(|(_, _, severity, _)| *severity).max();
        let place = self.pending.iter().position(|(_, _, severity, _)| Some(*severity) == worst);
        if let Some((_, at, _, line)) = place.and_then(|place| self.pending.remove(place)) {
            self.pending_bytes -= line.len();
            match self.dropped.iter_mut().find(|dropped| dropped.id == id) {
                Some(known) => (known.count, known.until) = (known.count + 1, at),
                None => self.dropped.push(Dropped { id, count: 1, from: at, until: at }),
            }
        }
    }
}

#[cfg(test)]
mod tests;
