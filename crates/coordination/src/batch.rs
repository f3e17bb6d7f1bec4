//! Batches of records on disk. Each batch is synced before the next one is written.
//!
//! A batch has a header with a checksum of its own (magic bytes, the format, the batch's number, the body's
//! length and checksum) and a body. The header's checksum distinguishes two kinds of corruption. A loss of
//! power may tear the last batch, which was never reported as saved and is cut off. A broken batch that is
//! followed by another one had been saved: the file is damaged, and the broken batch may hold records that
//! were acknowledged to others.

use crate::record::Record;

const MAGIC: [u8; 4] = *b"pbrl";
/// The format that this version writes.
const FORMAT: u32 = 2;
/// Magic bytes, format, number, length of the body, checksum of the body, checksum of all before.
const HEADER_BYTES: usize = 4 + 4 + 8 + 4 + 4 + 4;
/// Length and checksum before each record of the legacy format.
const LEGACY_HEADER_BYTES: usize = 8;
/// A record of the legacy format with a longer body is treated as damage.
const MAX_LEGACY_BODY_BYTES: usize = 256 * 1024 * 1024;

/// How a file ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailState {
    /// The file ends with a complete batch.
    Complete,
    /// The file ends with a batch whose write was interrupted.
    Torn,
    /// A batch that had been saved cannot be read.
    Damaged,
}

/// The contents of a file.
#[derive(Debug, PartialEq)]
pub struct DecodedLog {
    /// The records of all intact batches at its start.
    pub records: Vec<Record>,
    /// The length of these batches, bytes.
    pub intact_bytes: usize,
    /// The number of the next batch.
    pub next_number: u64,
    /// How the file ends.
    pub tail: TailState,
    /// Whether the file has the legacy format and should be rewritten.
    pub is_legacy_format: bool,
}

/// Why this version cannot read an intact file. The file is left unchanged.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnreadableLog {
    /// The file has a newer format.
    #[error("the log has format {0}, and this program knows formats up to {FORMAT}; start the newer program")]
    UnknownFormat(u32),
    /// A batch holds a record of an unknown kind.
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
        bytes[..4].copy_from_slice(&MAGIC);
        bytes[4..8].copy_from_slice(&self.format.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.number.to_le_bytes());
        bytes[16..20].copy_from_slice(&(self.body_length as u32).to_le_bytes());
        bytes[20..24].copy_from_slice(&self.body_checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..24]);
        bytes[24..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// The header at the start of `bytes`; `None` if there is no intact header.
    fn decode(bytes: &[u8]) -> Option<Header> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        let u32_at = |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let is_intact = bytes[..4] == MAGIC && crc32fast::hash(&bytes[..24]) == u32_at(24);
        let number = u64::from(u32_at(8)) | u64::from(u32_at(12)) << 32;
        let body_length = u32_at(16) as usize;
        let header = Header { format: u32_at(4), number, body_length, body_checksum: u32_at(20) };
        is_intact.then_some(header)
    }
}

/// Encodes a batch.
#[expect(
    clippy::expect_used,
    reason = "a record has no sequence of unknown length, postcard's only error here"
)]
pub fn encode(number: u64, records: &[Record]) -> Vec<u8> {
    let body = postcard::to_allocvec(records).expect("a record has no sequence of unknown length");
    let body_checksum = crc32fast::hash(&body);
    let header = Header { format: FORMAT, number, body_length: body.len(), body_checksum };
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&header.encode());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes the bytes of a file. Damage is reported as a [`TailState`], not as an error.
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
///
/// # Errors
///
/// The file is intact, and has a format or a record that this version does not know.
pub fn decode(bytes: &[u8]) -> Result<DecodedLog, UnreadableLog> {
    if !bytes.is_empty() && !bytes.starts_with(&MAGIC) {
        let contents = decode_legacy_format(bytes);
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
        let Some(batch) = decode_batch(rest, contents.next_number)? else {
            contents.tail = classify_tail(rest, contents.next_number);
            break;
        };
        contents.records.extend(batch.records);
        contents.intact_bytes += batch.length;
        contents.next_number += 1;
    }
    Ok(contents)
}

/// A decoded batch and its length in bytes.
struct DecodedBatch {
    records: Vec<Record>,
    length: usize,
}

/// Decodes the batch `number` at the start of `bytes`; `None` if there is no intact one.
fn decode_batch(bytes: &[u8], number: u64) -> Result<Option<DecodedBatch>, UnreadableLog> {
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
    Ok(Some(DecodedBatch { records, length }))
}

/// Classifies the tail of a file that begins with a broken batch `number` at the start of `bytes`. A broken
/// first batch is always damage: a file gets its name only after its first batch is saved.
fn classify_tail(bytes: &[u8], number: u64) -> TailState {
    let magic_positions =
        bytes.windows(MAGIC.len()).enumerate().skip(1).filter(|(_, window)| *window == MAGIC);
    let mut later_headers = magic_positions.filter_map(|(at, _)| Header::decode(&bytes[at..]));
    let was_saved = number == 1 || later_headers.any(|header| header.number > number);
    if was_saved { TailState::Damaged } else { TailState::Torn }
}

/// Decodes a file of the legacy format: a length, a checksum and a body for each record. This format does not
/// distinguish a torn tail from damage.
fn decode_legacy_format(bytes: &[u8]) -> DecodedLog {
    let mut records = Vec::new();
    let mut intact_bytes = 0;
    while let Some((record, length)) = decode_legacy_record(&bytes[intact_bytes..]) {
        records.push(record);
        intact_bytes += length;
    }
    let tail = if intact_bytes == bytes.len() { TailState::Complete } else { TailState::Torn };
    DecodedLog { records, intact_bytes, next_number: 1, tail, is_legacy_format: true }
}

fn decode_legacy_record(bytes: &[u8]) -> Option<(Record, usize)> {
    /// With this mask a run of zeros is not a valid record.
    const CHECKSUM_MASK: u32 = 0x5eed_1e55;
    let header = bytes.get(..LEGACY_HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let expected = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length > MAX_LEGACY_BODY_BYTES {
        return None;
    }
    let body = bytes.get(LEGACY_HEADER_BYTES..LEGACY_HEADER_BYTES + length)?;
    let intact = crc32fast::hash(body) ^ CHECKSUM_MASK == expected;
    let record = intact.then(|| postcard::from_bytes(body).ok())??;
    Some((record, LEGACY_HEADER_BYTES + length))
}
