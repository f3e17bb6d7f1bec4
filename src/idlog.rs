//! The ids of requests that one process of a head took, as the other process of an upgrade reads them: a ring of
//! records in a file, its form, and what a reader makes of it. Knows no files; bytes and times are passed in.
//!
//! Whoever takes an id writes it down first and looks at what the other one wrote after that. So of two that take one
//! id at the same moment at least one sees the other's: never do both pass it on. Both may turn it down, which costs
//! only a client that used an id twice.

use crate::config::fnv;
use ring::hmac;
use std::collections::{BTreeMap, HashMap};

const MAGIC: [u8; 8] = *b"pb-ids-1";
/// Bytes of the file's header.
pub const HEADER: usize = 40;
/// Bytes of a record.
pub const RECORD: usize = 32;
/// A file says by itself how long its ring is; no head remembers more.
const MOST_RECORDS: u64 = 1 << 20;

/// What a file begins with: how many records its ring has, and the key of its hashes, which nobody outside the head's
/// private folder knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Records that the file has room for.
    pub records: u64,
    /// The key of the hash.
    pub key: [u8; 16],
}

impl Header {
    /// The header's bytes.
    pub fn encode(&self) -> [u8; HEADER] {
        let mut bytes = [0; HEADER];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..16].copy_from_slice(&self.records.to_be_bytes());
        bytes[16..32].copy_from_slice(&self.key);
        let check = fnv(&bytes[..32]);
        bytes[32..].copy_from_slice(&check.to_be_bytes());
        bytes
    }

    /// `None`: another version's, damaged, or no such file at all.
    pub fn decode(bytes: &[u8]) -> Option<Header> {
        let (head, check) = bytes.get(..HEADER)?.split_at(32);
        let records = number(&head[8..16]);
        let sound = head[..8] == MAGIC && number(check) == fnv(head) && (1..=MOST_RECORDS).contains(&records);
        sound.then_some(Header { records, key: head[16..32].try_into().ok()? })
    }

    /// An id's hash.
    pub fn hash(&self, id: &[u8]) -> u64 {
        number(&hmac::sign(&hmac::Key::new(hmac::HMAC_SHA256, &self.key), id).as_ref()[..8])
    }

    /// Where the record of that number lies; numbers begin at 1 and never come again.
    pub fn place(&self, number: u64) -> u64 {
        HEADER as u64 + number % self.records * RECORD as u64
    }
}

/// One id taken: its number in the file, its hash, and when that was, in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The record's number, from 0.
    pub number: u64,
    /// The id's hash.
    pub hash: u64,
    /// When the id was taken, milliseconds since 1970.
    pub at_ms: u64,
}

impl Record {
    /// The record's bytes.
    pub fn encode(&self) -> [u8; RECORD] {
        let mut bytes = [0; RECORD];
        for (place, value) in [self.number, self.hash, self.at_ms].into_iter().enumerate() {
            bytes[8 * place..8 * place + 8].copy_from_slice(&value.to_be_bytes());
        }
        let check = fnv(&bytes[..24]);
        bytes[24..].copy_from_slice(&check.to_be_bytes());
        bytes
    }

    /// `None`: never written, half written, or rubbish.
    pub fn decode(bytes: &[u8]) -> Option<Record> {
        let (values, check) = bytes.get(..RECORD)?.split_at(24);
        let record = Record {
            number: number(&values[..8]),
            hash: number(&values[8..16]),
            at_ms: number(&values[16..]),
        };
        (number(check) == fnv(values) && record.number > 0).then_some(record)
    }
}

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// Bytes at a place of a file; as many as there are.
pub trait Bytes {
    /// Reads bytes from an offset; returns how many there were.
    fn at(&self, place: u64, buffer: &mut [u8]) -> usize;
}

/// What is known of a file: which ids were taken by whoever writes it.
#[derive(Debug, Default)]
pub struct Reader {
    header: Option<Header>,
    /// The number of the record that comes next.
    next: u64,
    /// By their hashes: the latest record of each, and when it was taken.
    taken: HashMap<u64, (u64, u64)>,
    by_number: BTreeMap<u64, u64>,
}

impl Reader {
    /// Reads what has come since the last look.
    pub fn look(&mut self, file: &impl Bytes) {
        let mut head = [0; HEADER];
        let got = file.at(0, &mut head);
        let header = Header::decode(&head[..got]);
        if header != self.header {
            // Another one has begun the file anew.
            *self = Reader { header, ..Reader::default() };
            self.look_through(file);
        }
        let Some(header) = self.header else { return };
        let mut bytes = [0; RECORD];
        loop {
            let got = file.at(header.place(self.next), &mut bytes);
            match Record::decode(&bytes[..got]) {
                Some(record) if record.number == self.next => self.note(header, record),
                // It went once round since the last look: what is missing stands elsewhere in the ring.
                Some(record) if record.number > self.next => return self.look_through(file),
                _ => return,
            }
        }
    }

    fn look_through(&mut self, file: &impl Bytes) {
        let Some(header) = self.header else { return };
        let mut ring = vec![0; header.records as usize * RECORD];
        let got = file.at(HEADER as u64, &mut ring);
        let mut records: Vec<Record> = ring[..got].chunks(RECORD).filter_map(Record::decode).collect();
        records.sort_unstable_by_key(|record| record.number);
        self.next = self.next.max(1);
        for record in records {
            if record.number >= self.next {
                self.note(header, record);
            }
        }
    }

    fn note(&mut self, header: Header, record: Record) {
        self.taken.insert(record.hash, (record.number, record.at_ms));
        self.by_number.insert(record.number, record.hash);
        self.next = record.number + 1;
        while self.by_number.len() as u64 > header.records {
            if let Some((number, hash)) = self.by_number.pop_first()
                && self.taken.get(&hash).is_some_and(|(latest, _)| *latest == number)
            {
                self.taken.remove(&hash);
            }
        }
    }

    /// The header, once it was read.
    pub fn header(&self) -> Option<Header> {
        self.header
    }

    /// The number for what is written next.
    pub fn next(&self) -> u64 {
        self.next.max(1)
    }

    /// Whether that id was taken since then, in Unix milliseconds.
    pub fn has(&self, id: &[u8], since_ms: u64) -> bool {
        let taken = self.header.and_then(|header| self.taken.get(&header.hash(id)));
        taken.is_some_and(|(_, at)| *at >= since_ms)
    }
}

#[cfg(test)]
mod tests;
