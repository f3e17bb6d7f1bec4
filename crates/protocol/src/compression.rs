//! Compression of long messages by LZ4: of what operators write as JSON a tenth is left, at little cost for
//! the receiver.

use crate::codec::DecodeError;
use crate::framing::MAX_FRAME_BYTES;
use lz4_flex::block;

/// Shorter messages gain nothing, bytes.
const LEAST_BYTES: usize = 2 * 1024;

/// A message's body with its length in front, compressed. `None`: it is too short.
pub fn compress(body: &[u8]) -> Option<Vec<u8>> {
    (body.len() >= LEAST_BYTES).then(|| block::compress_prepend_size(body))
}

/// The body again. No more is taken in than the longest message has.
pub fn decompress(compressed: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let damaged = |_| DecodeError::Compressed("damaged");
    let (length, rest) = block::uncompressed_size(compressed).map_err(damaged)?;
    if length > MAX_FRAME_BYTES {
        return Err(DecodeError::Compressed("longer than any message"));
    }
    block::decompress(rest, length).map_err(damaged)
}
