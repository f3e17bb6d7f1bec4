//! Remembers the ids of recent requests. Each request has an id of its own: a second request with the same id
//! is not forwarded, because a node would take it for another attempt of the first. During an upgrade two
//! processes serve one host; ids that the other process accepted are known here too.

use crate::event;
use crate::idlog::{Bytes, Header, Reader, Record};
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::fs::File;
use std::hash::BuildHasher;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{Duration, Instant};

/// The ids of recent requests, shared with another process of this host.
#[derive(Clone)]
pub struct Ids(Arc<Mutex<Known>>);

struct Known {
    /// The hashes of the ids, under a secret random key.
    hashes: HashSet<u64>,
    by_age: VecDeque<(Instant, u64)>,
    hasher: RandomState,
    most: usize,
    time: Duration,
    shared: Option<Shared>,
}

impl Bytes for File {
    /// Returns the number of bytes read; bytes that cannot be read count as missing.
    fn read_from(&self, offset: u64, buffer: &mut [u8]) -> usize {
        let mut got = 0;
        while got < buffer.len() {
            match self.read_at(&mut buffer[got..], offset + got as u64) {
                Ok(more @ 1..) => got += more,
                Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
                _ => break,
            }
        }
        got
    }
}

/// The ids accepted by both processes of a host, each process with a file of its own.
struct Shared {
    file: Arc<File>,
    header: Header,
    /// The ids that an earlier process wrote to this process's file.
    before: Reader,
    next: u64,
    other: (Arc<File>, Reader),
    /// The last write failed. The event is logged once, until a write succeeds.
    failing: bool,
}

impl Shared {
    fn new(ours: Arc<File>, other: Arc<File>, records: u64, key: [u8; 16]) -> io::Result<Shared> {
        let mut before = Reader::default();
        before.refresh(&*ours);
        let header = match before.header().filter(|header| header.records == records) {
            Some(header) => header,
            None => {
                let header = Header { records, key };
                before = Reader::default();
                ours.set_len(0)?;
                ours.write_all_at(&header.encode(), 0)?;
                header
            }
        };
        let next = before.next();
        Ok(Shared { file: ours, header, before, next, other: (other, Reader::default()), failing: false })
    }

    /// Writes the id, and only then checks whether the other process or an earlier one accepted it. If two
    /// processes accept one id at the same moment, the one that checks last sees the other's record.
    fn first_time(&mut self, id: &[u8], time: Duration) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.write(id, now);
        self.is_new(id, now.saturating_sub(time))
    }

    fn write(&mut self, id: &[u8], now: Duration) {
        let record = Record { number: self.next, hash: self.header.hash(id), at_ms: now.as_millis() as u64 };
        match self.file.write_all_at(&record.encode(), self.header.offset(self.next)) {
            Ok(()) => {
                self.next += 1;
                self.failing = false;
            }
            Err(problem) if !std::mem::replace(&mut self.failing, true) => event!(IDS_UNWRITTEN, problem:%),
            Err(_) => {}
        }
    }

    fn is_new(&mut self, id: &[u8], since: Duration) -> bool {
        let since_ms = since.as_millis() as u64;
        let (file, other) = &mut self.other;
        other.refresh(&**file);
        !other.has(id, since_ms) && !self.before.has(id, since_ms)
    }
}

impl Ids {
    /// Remembers each id for `time`, and at most `most` ids.
    pub fn new(most: usize, time: Duration) -> Ids {
        let (hashes, by_age, hasher) = (HashSet::new(), VecDeque::new(), RandomState::new());
        Ids(Arc::new(Mutex::new(Known { hashes, by_age, hasher, most, time, shared: None })))
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on writes ids to the first file, and checks those in the second, the other process's, too.
    ///
    /// # Errors
    ///
    /// Fails if this process's file cannot be initialized.
    pub fn share(&self, (ours, other): (Arc<File>, Arc<File>)) -> io::Result<()> {
        let mut known = self.known();
        let key =
            [known.hasher.hash_one(0u8).to_be_bytes(), known.hasher.hash_one(1u8).to_be_bytes()].concat();
        let key = key.try_into().map_err(|_| io::ErrorKind::InvalidData)?;
        known.shared = Some(Shared::new(ours, other, known.most as u64, key)?);
        Ok(())
    }

    /// Records the id; returns false if it is known already.
    pub fn first_time(&self, id: &[u8], now: Instant) -> bool {
        let mut known = self.known();
        let known = &mut *known;
        while known
            .by_age
            .front()
            .is_some_and(|(at, _)| known.by_age.len() >= known.most || *at + known.time < now)
        {
            if let Some((_, hash)) = known.by_age.pop_front() {
                known.hashes.remove(&hash);
            }
        }
        let hash = known.hasher.hash_one(id);
        let first = known.hashes.insert(hash);
        if first {
            known.by_age.push_back((now, hash));
        }
        first && known.shared.as_mut().is_none_or(|shared| shared.first_time(id, known.time))
    }
}

#[cfg(test)]
mod tests;
