//! Framing: a length of four bytes, little endian, in front of each message's body.

/// Bytes of the length.
pub const LENGTH_BYTES: usize = 4;
/// The longest body that is accepted, bytes.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// The announced length, in bytes, is over [`MAX_FRAME_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a frame of {0} bytes is over the limit")]
pub struct FrameTooLong(pub usize);

/// Takes the first complete body off the front of `buffer`. `None`: more bytes have to come.
///
/// # Errors
///
/// The announced length is over the limit; the connection cannot go on.
pub fn take_body(buffer: &mut Vec<u8>) -> Result<Option<Vec<u8>>, FrameTooLong> {
    let Some(header) = buffer.get(..LENGTH_BYTES) else { return Ok(None) };
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameTooLong(length));
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    let body = buffer[LENGTH_BYTES..LENGTH_BYTES + length].to_vec();
    buffer.drain(..LENGTH_BYTES + length);
    Ok(Some(body))
}
