//! Batches of records on disk. One batch is what one sync covers: the next one is written only once it is
//! saved.
//!
//! A batch has a header with a checksum of its own (a mark, the format, the batch's number, the body's length
//! and checksum) and a body. That tells two kinds of broken file apart. The last batch may be torn by a loss
//! of power: it was never reported as saved, and is cut off. A broken batch with a later one behind it had
//! been saved: the file is damaged, and what it held was promised to others.

use crate::record::Record;

const MARK: [u8; 4] = *b"pbrl";
/// The format that this program writes.
const FORMAT: u32 = 2;
/// Mark, format, number, length of the body, checksum of the body, checksum of all before.
const HEADER_BYTES: usize = 4 + 4 + 8 + 4 + 4 + 4;
/// Length and checksum in front of each record of the first format.
const FIRST_FORMAT_HEADER_BYTES: usize = 8;
/// No body is longer; a length above it is damage.
const MOST_BODY_BYTES: usize = 256 * 1024 * 1024;

/// How a file ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailState {
    /// With a whole batch.
    Complete,
    /// With a batch that was being written.
    Torn,
    /// Something that had been saved cannot be read.
    Damaged,
}

/// What a file holds.
#[derive(Debug, PartialEq)]
pub struct DecodedLog {
    /// The records of all whole batches at its start.
    pub records: Vec<Record>,
    /// The bytes that these take.
    pub intact_bytes: usize,
    /// The number of the batch that comes next.
    pub next_number: u64,
    /// How it ends.
    pub tail: TailState,
    /// It was written by an earlier program, and should be written anew.
    pub is_legacy_format: bool,
}

/// An intact file that this program cannot read. Nothing of it is touched.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnreadableLog {
    /// Its format is a newer one.
    #[error("the log has format {0}, and this program knows formats up to {FORMAT}; start the newer program")]
    UnknownFormat(u32),
    /// A record is of no kind that this program knows.
    #[error("batch {0} of the log is intact and holds a record that this program does not know")]
    UnknownRecord(u64),
}

struct Header {
    format: u32,
    number: u64,
    body_length: usize,
    body_checksum: u32,
}

impl Header {
    fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..4].copy_from_slice(&MARK);
        bytes[4..8].copy_from_slice(&self.format.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.number.to_le_bytes());
        bytes[16..20].copy_from_slice(&(self.body_length as u32).to_le_bytes());
        bytes[20..24].copy_from_slice(&self.body_checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..24]);
        bytes[24..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// The header at the start of `bytes`, if an intact one stands there.
    fn decode(bytes: &[u8]) -> Option<Header> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        let number_at =
            |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let intact = bytes[..4] == MARK && crc32fast::hash(&bytes[..24]) == number_at(24);
        let number = u64::from(number_at(8)) | u64::from(number_at(12)) << 32;
        let body_length = number_at(16) as usize;
        let header = Header { format: number_at(4), number, body_length, body_checksum: number_at(20) };
        intact.then_some(header)
    }
}

/// A batch's bytes.
pub fn encode(number: u64, records: &[Record]) -> Vec<u8> {
    let body = postcard::to_allocvec(records).expect("records have no unknown lengths");
    let body_checksum = crc32fast::hash(&body);
    let header = Header { format: FORMAT, number, body_length: body.len(), body_checksum };
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&header.encode());
    bytes.extend_from_slice(&body);
    bytes
}

/// Reads a file.
///
/// ```
/// use pathbank_coordination::batch::{TailState, decode, encode};
/// use pathbank_coordination::record::Record;
///
/// let vote = Record::Vote { term: 3, voted_for: None };
/// let mut bytes = encode(1, &[vote.clone()]);
/// bytes.extend([1, 2, 3]);
/// let contents = decode(&bytes)?;
/// assert_eq!((contents.records, contents.tail), (vec![vote], TailState::Torn));
/// # Ok::<(), pathbank_coordination::batch::UnreadableLog>(())
/// ```
pub fn decode(bytes: &[u8]) -> Result<DecodedLog, UnreadableLog> {
    if !bytes.is_empty() && !bytes.starts_with(&MARK) {
        let contents = decode_first_format(bytes);
        if !contents.records.is_empty() {
            return Ok(contents);
        }
    }
    let mut contents = DecodedLog {
        records: Vec::new(),
        intact_bytes: 0,
        next_number: 1,
        tail: TailState::Complete,
        is_legacy_format: false,
    };
    while contents.intact_bytes < bytes.len() {
        let rest = &bytes[contents.intact_bytes..];
        let Some((records, length)) = decode_batch(rest, contents.next_number)? else {
            contents.tail = classify_tail(rest, contents.next_number);
            break;
        };
        contents.records.extend(records);
        contents.intact_bytes += length;
        contents.next_number += 1;
    }
    Ok(contents)
}

/// The batch of that number at the start of `bytes`, and its length; `None`: it is not whole.
fn decode_batch(bytes: &[u8], number: u64) -> Result<Option<(Vec<Record>, usize)>, UnreadableLog> {
    let Some(header) = Header::decode(bytes) else { return Ok(None) };
    if header.format > FORMAT {
        return Err(UnreadableLog::UnknownFormat(header.format));
    }
    let length = HEADER_BYTES + header.body_length;
    let Some(body) = bytes.get(HEADER_BYTES..length) else { return Ok(None) };
    if header.number != number || crc32fast::hash(body) != header.body_checksum {
        return Ok(None);
    }
    let records = postcard::from_bytes(body).map_err(|_| UnreadableLog::UnknownRecord(number))?;
    Ok(Some((records, length)))
}

/// What it means that the batch `number` at the start of `bytes` is not whole. The first batch of a file is
/// always saved before the file has its name.
fn classify_tail(bytes: &[u8], number: u64) -> TailState {
    let marks = bytes.windows(MARK.len()).enumerate().skip(1).filter(|(_, window)| *window == MARK);
    let mut later = marks.filter_map(|(at, _)| Header::decode(&bytes[at..]));
    let was_saved = number == 1 || later.any(|header| header.number > number);
    if was_saved { TailState::Damaged } else { TailState::Torn }
}

/// Reads a file of the first format: a length, a checksum and a body for each record. It cannot tell a torn
/// end from damage.
fn decode_first_format(bytes: &[u8]) -> DecodedLog {
    let mut records = Vec::new();
    let mut intact_bytes = 0;
    while let Some((record, length)) = decode_first_format_record(&bytes[intact_bytes..]) {
        records.push(record);
        intact_bytes += length;
    }
    let tail = if intact_bytes == bytes.len() { TailState::Complete } else { TailState::Torn };
    DecodedLog { records, intact_bytes, next_number: 1, tail, is_legacy_format: true }
}

fn decode_first_format_record(bytes: &[u8]) -> Option<(Record, usize)> {
    /// Under this mask a run of zeros is not a valid record.
    const CHECKSUM_MASK: u32 = 0x5eed_1e55;
    let header = bytes.get(..FIRST_FORMAT_HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let expected = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length > MOST_BODY_BYTES {
        return None;
    }
    let body = bytes.get(FIRST_FORMAT_HEADER_BYTES..FIRST_FORMAT_HEADER_BYTES + length)?;
    let intact = crc32fast::hash(body) ^ CHECKSUM_MASK == expected;
    let record = intact.then(|| postcard::from_bytes(body).ok())??;
    Some((record, FIRST_FORMAT_HEADER_BYTES + length))
}
