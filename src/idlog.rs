//! The request ids that one process of a host accepted, in a file that the other process reads during an
//! upgrade: the format of the file, which is a ring of records, and its reader. Does no I/O; bytes and times
//! are passed in.
//!
//! A process first writes the id that it accepts and then reads what the other process wrote. If both accept
//! one id at the same time, at least one of them sees the other's record, so they never both forward the
//! request. Both may reject it, which affects only a client that used an id twice.

use crate::config::fnv;
use ring::hmac;
use std::collections::{BTreeMap, HashMap};

/// The first bytes of the file, with the version of the format.
const MAGIC: [u8; 8] = *b"pb-ids-1";
/// Length of the file's header, bytes.
pub const HEADER: usize = 40;
/// Length of a record, bytes.
pub const RECORD: usize = 32;
/// Maximum number of records that a header may state; no host keeps more.
const MAX_RECORDS: u64 = 1 << 20;

/// The header of the file: the number of records in the ring, and the key of the hashes, which is known only
/// inside the host's private folder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The number of records in the ring.
    pub records: u64,
    /// The key of the hash.
    pub key: [u8; 16],
}

impl Header {
    /// Returns the header's bytes.
    pub fn encode(&self) -> [u8; HEADER] {
        let mut bytes = [0; HEADER];
        bytes[..8].copy_from_slice(&MAGIC);
        bytes[8..16].copy_from_slice(&self.records.to_be_bytes());
        bytes[16..32].copy_from_slice(&self.key);
        let check = fnv(&bytes[..32]);
        bytes[32..].copy_from_slice(&check.to_be_bytes());
        bytes
    }

    /// Decodes a header. `None`: another version, damaged, or not such a file.
    pub fn decode(bytes: &[u8]) -> Option<Header> {
        let (fields, check) = bytes.get(..HEADER)?.split_at(32);
        let records = number(&fields[8..16]);
        let valid =
            fields[..8] == MAGIC && number(check) == fnv(fields) && (1..=MAX_RECORDS).contains(&records);
        valid.then_some(Header { records, key: fields[16..32].try_into().ok()? })
    }

    /// Returns an id's hash.
    pub fn hash(&self, id: &[u8]) -> u64 {
        number(&hmac::sign(&hmac::Key::new(hmac::HMAC_SHA256, &self.key), id).as_ref()[..8])
    }

    /// Returns the offset of the record with a number. Numbers begin at 1 and are never reused.
    pub fn offset(&self, number: u64) -> u64 {
        HEADER as u64 + number % self.records * RECORD as u64
    }
}

/// An accepted id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// The record's number in the file, from 1.
    pub number: u64,
    /// The id's hash.
    pub hash: u64,
    /// When the id was accepted, milliseconds since 1970.
    pub at_ms: u64,
}

impl Record {
    /// Returns the record's bytes.
    pub fn encode(&self) -> [u8; RECORD] {
        let mut bytes = [0; RECORD];
        for (index, value) in [self.number, self.hash, self.at_ms].into_iter().enumerate() {
            bytes[8 * index..8 * index + 8].copy_from_slice(&value.to_be_bytes());
        }
        let check = fnv(&bytes[..24]);
        bytes[24..].copy_from_slice(&check.to_be_bytes());
        bytes
    }

    /// Decodes a record. `None`: never written, partly written, or invalid.
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

/// Decodes a big-endian number.
fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |value, byte| value << 8 | u64::from(*byte))
}

/// Random access to the bytes of a file.
pub trait Bytes {
    /// Reads bytes from an offset into the buffer; returns the number of bytes read.
    fn read_from(&self, offset: u64, buffer: &mut [u8]) -> usize;
}

/// Reads the file of the other process: the ids that it has accepted.
#[derive(Debug, Default)]
pub struct Reader {
    header: Option<Header>,
    /// The number of the next record.
    next: u64,
    /// The number of the latest record and its time, by the id's hash.
    accepted: HashMap<u64, (u64, u64)>,
    /// The id's hash, by the record's number.
    by_number: BTreeMap<u64, u64>,
}

impl Reader {
    /// Reads the records that were written since the last call and have not been overwritten.
    pub fn refresh(&mut self, file: &impl Bytes) {
        let mut header_bytes = [0; HEADER];
        let length = file.read_from(0, &mut header_bytes);
        let header = Header::decode(&header_bytes[..length]);
        if header != self.header {
            // The file was created again.
            *self = Reader { header, ..Reader::default() };
            self.read_ring(file);
        }
        let Some(header) = self.header else { return };
        let mut bytes = [0; RECORD];
        loop {
            let length = file.read_from(header.offset(self.next), &mut bytes);
            match Record::decode(&bytes[..length]) {
                Some(record) if record.number == self.next => self.add(header, record),
                // This place was overwritten since the last call. Those of the missing records that were
                // not overwritten are elsewhere in the ring.
                Some(record) if record.number > self.next => return self.read_ring(file),
                _ => return,
            }
        }
    }

    /// Reads the whole ring.
    fn read_ring(&mut self, file: &impl Bytes) {
        let Some(header) = self.header else { return };
        let mut ring = vec![0; header.records as usize * RECORD];
        let length = file.read_from(HEADER as u64, &mut ring);
        let mut records: Vec<Record> = ring[..length].chunks(RECORD).filter_map(Record::decode).collect();
        records.sort_unstable_by_key(|record| record.number);
        self.next = self.next.max(1);
        for record in records {
            if record.number >= self.next {
                self.add(header, record);
            }
        }
    }

    /// Adds a record, and removes records that the ring no longer holds.
    fn add(&mut self, header: Header, record: Record) {
        self.accepted.insert(record.hash, (record.number, record.at_ms));
        self.by_number.insert(record.number, record.hash);
        self.next = record.number + 1;
        while self.by_number.len() as u64 > header.records {
            if let Some((number, hash)) = self.by_number.pop_first()
                && self.accepted.get(&hash).is_some_and(|(latest, _)| *latest == number)
            {
                self.accepted.remove(&hash);
            }
        }
    }

    /// Returns the header; `None` until a valid one was read.
    pub fn header(&self) -> Option<Header> {
        self.header
    }

    /// Returns the number of the next record to be written.
    pub fn next(&self) -> u64 {
        self.next.max(1)
    }

    /// Whether an id was accepted at or after a time, in milliseconds since 1970.
    pub fn has(&self, id: &[u8], since_ms: u64) -> bool {
        let accepted = self.header.and_then(|header| self.accepted.get(&header.hash(id)));
        accepted.is_some_and(|(_, at)| *at >= since_ms)
    }
}

#[cfg(test)]
mod tests;
