//! Lines on disk until a collector has them: a table of redb by serial number. What `append` has written is there after
//! a crash at any byte, for redb commits a batch whole or not at all; what could not be written waits in memory, in
//! order, and is tried again with the next batch.
//!
//! A file that cannot be opened is set aside under another name, and a new one begun.

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

/// By serial: the time and severity (9 bytes, big-endian), then the line.
const LINES: TableDefinition<u64, &[u8]> = TableDefinition::new("lines");
const FILE: &str = "spool.redb";
/// Bytes of lines that are written in one go.
pub const BATCH: usize = 256 * 1024;
/// Bytes of lines that wait in memory while the disk takes none.
const MOST_PENDING: usize = 1024 * 1024;
const CACHE: usize = 2 * 1024 * 1024;
/// A line's cost on disk besides its bytes, about.
const OVERHEAD: u64 = 32;
/// Lines of which it is said which event they are have it in their ids; those on disk are told by this.
const ON_DISK: &str = "any";

pub struct Spool {
    state: Mutex<State>,
    notify: Notify,
    limits: SpoolLimits,
}

type Opener = Box<dyn Fn() -> Result<Database, redb::DatabaseError> + Send>;

struct State {
    /// A store that has failed takes nothing more before it is opened anew.
    opener: Opener,
    database: Option<Database>,
    /// Lines on disk, by severity: serial and size of each, oldest first.
    index: [VecDeque<(u64, u32)>; 8],
    bytes: u64,
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

/// The time, the severity and the line.
fn split(value: &[u8]) -> Option<(Micros, Severity, &[u8])> {
    let (at, rest) = value.split_at_checked(8)?;
    let (severity, line) = rest.split_first()?;
    Some((Micros::from_be_bytes(at.try_into().ok()?), *Severity::ALL.get(*severity as usize)?, line))
}

impl Spool {
    pub fn open(limits: &SpoolLimits) -> Spool {
        let path = limits.directory.join(FILE);
        let create = move || redb::Builder::new().set_cache_size(CACHE).create(&path);
        let mut state = State::empty(Box::new(create));
        state.open(Some(&limits.directory.join(FILE)));
        Spool { state: Mutex::new(state), notify: Notify::new(), limits: limits.clone() }
    }

    /// On something else than a file of its own.
    pub fn on<B: StorageBackend>(backend: impl Fn() -> B + Send + 'static, limits: &SpoolLimits) -> Spool {
        let create = move || redb::Builder::new().set_cache_size(CACHE).create_with_backend(backend());
        let mut state = State::empty(Box::new(create));
        state.open(None);
        Spool { state: Mutex::new(state), notify: Notify::new(), limits: limits.clone() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lines that wait, on disk and in memory.
    pub fn lines(&self) -> usize {
        let state = self.state();
        state.index.iter().map(VecDeque::len).sum::<usize>() + state.pending.len()
    }

    pub async fn filled(&self) {
        self.notify.notified().await;
    }

    /// What has gone wrong since this was asked last.
    pub fn problems(&self) -> Vec<String> {
        std::mem::take(&mut self.state().problems)
    }

    pub fn dropped(&self) -> Vec<Dropped> {
        std::mem::take(&mut self.state().dropped)
    }

    /// Returns once they are on disk, or where the disk takes none, in memory. An empty batch only tries again what
    /// waits there.
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
            if state.failing && state.pending_bytes > MOST_PENDING {
                state.drop_pending(id);
            }
        }
        state.write();
        state.keep_bounds(&self.limits, at);
        drop(state);
        if any {
            self.notify.notify_one();
        }
    }

    /// Lines behind this serial, in order.
    pub fn read(&self, after: u64, most: usize) -> Vec<(u64, Vec<u8>)> {
        let mut state = self.state();
        let mut lines = match state.read(after, most) {
            Ok(lines) => lines,
            Err(problem) => {
                state.fail(&problem);
                Vec::new()
            }
        };
        // Lines on a disk that cannot be read at the moment are safe there, and come before all that waits here.
        let last = lines.last().map_or(after, |(key, _)| *key);
        if state.index.iter().any(|ring| ring.back().is_some_and(|(key, _)| *key > last)) {
            return lines;
        }
        let room = most - lines.len().min(most);
        let pending = state.pending.iter().filter(|(key, ..)| *key > after);
        lines.extend(pending.take(room).map(|(key, _, _, line)| (*key, line.clone())));
        lines
    }

    /// All up to this serial were handed over.
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

    /// A file that is no store is set aside.
    fn open(&mut self, path: Option<&std::path::Path>) {
        let database = (self.opener)().or_else(|problem| {
            let Some(path) = path else { return Err(problem) };
            let stamp = now();
            let aside = PathBuf::from(format!("{}.unreadable-{stamp}", path.display()));
            self.problems.push(format!("{problem}; the file is set aside as {}", aside.display()));
            // Where even that cannot be done, the next open says why.
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

    /// Learns what a store holds.
    fn take(&mut self, database: Database) {
        self.database = Some(database);
        if let Err(problem) = self.learn() {
            self.fail(&problem);
        }
    }

    fn learn(&mut self) -> Result<(), redb::Error> {
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
            self.bytes += line.len() as u64 + OVERHEAD;
            self.oldest.get_or_insert(at);
            self.next = self.next.max(key.value() + 1);
        }
        Ok(())
    }

    fn fail(&mut self, problem: &redb::Error) {
        // The same again and again is told once.
        if !std::mem::replace(&mut self.failing, true) {
            self.problems.push(problem.to_string());
        }
    }

    fn write(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        if self.failing {
            // Its file must be let go of before it can be opened again. Why it cannot has been told.
            self.database = None;
            self.database = (self.opener)().ok();
        }
        match self.commit() {
            Ok(()) => {
                self.failing = false;
                for (key, at, severity, line) in self.pending.drain(..) {
                    self.index[severity as usize].push_back((key, line.len() as u32));
                    self.bytes += line.len() as u64 + OVERHEAD;
                    self.oldest.get_or_insert(at);
                }
                self.pending_bytes = 0;
            }
            Err(problem) => self.fail(&problem),
        }
    }

    fn commit(&self) -> Result<(), redb::Error> {
        let Some(database) = &self.database else {
            return Err(redb::Error::Io(std::io::Error::other("there is no store")));
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
        let mut gone = Vec::new();
        for ring in &mut self.index {
            while ring.front().is_some_and(|(first, _)| *first <= key) {
                gone.extend(ring.pop_front());
            }
        }
        self.remove(&gone);
    }

    fn remove(&mut self, gone: &[(u64, u32)]) {
        if gone.is_empty() {
            return;
        }
        self.bytes -= gone.iter().map(|(_, length)| u64::from(*length) + OVERHEAD).sum::<u64>();
        self.oldest = None;
        let done = (|| {
            let Some(database) = &self.database else { return Ok(()) };
            let mut write = database.begin_write()?;
            // Lines that come back after a crash are sent twice, which their sequence ids tell.
            let _ = write.set_durability(redb::Durability::None);
            let oldest = {
                let mut table = write.open_table(LINES)?;
                for (key, _) in gone {
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

    /// Over its bound in bytes the least severe and oldest go; what is older than it may be goes in any case.
    fn keep_bounds(&mut self, limits: &SpoolLimits, now: Micros) {
        let mut gone = Vec::new();
        let mut bytes = self.bytes;
        while bytes > limits.bytes {
            let Some(ring) = self.index.iter_mut().rev().find(|ring| !ring.is_empty()) else { break };
            let Some(first) = ring.pop_front() else { break };
            bytes -= u64::from(first.1) + OVERHEAD;
            gone.push(first);
        }
        let too_old = now.saturating_sub(crate::clock::micros(limits.age));
        if self.oldest.is_some_and(|oldest| oldest < too_old)
            && let Ok(old) = self.older_than(too_old)
        {
            for ring in &mut self.index {
                while ring.front().is_some_and(|(key, _)| *key <= old) {
                    gone.extend(ring.pop_front());
                }
            }
        }
        if !gone.is_empty() {
            let from = self.oldest.unwrap_or(now);
            self.dropped.push(Dropped { id: ON_DISK, count: gone.len() as u64, from, until: now });
            self.remove(&gone);
        }
    }

    /// The last serial whose line is older.
    fn older_than(&self, bound: Micros) -> Result<u64, redb::Error> {
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

    /// One line that waits in memory goes: the oldest of the least severe.
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
