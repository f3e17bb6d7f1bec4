//! Compression of long message bodies by LZ4. JSON documents shrink to about a tenth, and decoding them is cheap.

use crate::framing::MAX_FRAME_BYTES;
use lz4_flex::block;

/// Shorter bodies gain nothing from compression, bytes.
const MIN_COMPRESSED_BYTES: usize = 2 * 1024;

/// Why a compressed body cannot be restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CompressionError {
    /// The bytes are not an LZ4 block with its length in front.
    #[error("damaged")]
    Damaged,
    /// The restored body would be longer than [`MAX_FRAME_BYTES`]; holds its length in bytes.
    #[error("{0} bytes are longer than any message")]
    TooLong(usize),
    /// The body is a compressed message itself.
    #[error("a compressed message within another")]
    Nested,
}

/// Compresses a message's body and puts its uncompressed length in front. `None`: it is too short to gain from it.
pub fn compress(body: &[u8]) -> Option<Vec<u8>> {
    (body.len() >= MIN_COMPRESSED_BYTES).then(|| block::compress_prepend_size(body))
}

/// Restores a body. The length in front is checked first, so that a sender cannot make the receiver allocate more than
/// one frame.
///
/// # Errors
///
/// The bytes are damaged, or the body would be too long.
pub fn decompress(compressed: &[u8]) -> Result<Vec<u8>, CompressionError> {
    let damaged = |_| CompressionError::Damaged;
    let (length, rest) = block::uncompressed_size(compressed).map_err(damaged)?;
    if length > MAX_FRAME_BYTES {
        return Err(CompressionError::TooLong(length));
    }
    block::decompress(rest, length).map_err(damaged)
}
