//! Encoding and decoding of whole messages.

use crate::message::Frame;
use crate::{internal_capnp, read, write};
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;

/// Why bytes are not a message.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// They are not well formed.
    #[error("malformed message: {0}")]
    Malformed(#[from] capnp::Error),
    /// They come from a newer program.
    #[error("unknown kind of message: {0}")]
    Unknown(#[from] capnp::NotInSchema),
    /// A text is not UTF-8.
    #[error("a text is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
}

/// The message with its length in front, as it goes over a connection.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let mut builder = Builder::new_default();
    write::frame(frame, builder.init_root::<internal_capnp::frame::Builder<'_>>());
    let body = serialize::write_message_to_words(&builder);
    let mut bytes = Vec::with_capacity(crate::framing::LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// The message of a body without its length.
pub fn decode(body: &[u8]) -> Result<Frame, DecodeError> {
    let mut body = body;
    let reader = serialize::read_message_from_flat_slice(&mut body, ReaderOptions::new())?;
    read::frame(reader.get_root::<internal_capnp::frame::Reader<'_>>()?)
}
