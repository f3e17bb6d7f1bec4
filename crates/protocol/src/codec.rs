//! Encoding and decoding of whole messages.

use crate::message::{Frame, Hello};
use crate::{compression, framing, internal_capnp, read, write};
use bytes::Bytes;
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
    /// What was compressed cannot be had back.
    #[error("compressed message: {0}")]
    Compressed(&'static str),
}

/// The message with its length in front, as it goes over a connection.
pub fn encode(frame: &Frame) -> Vec<u8> {
    framed(|out| write::frame(frame, out.reborrow()))
}

fn framed(write: impl FnOnce(&mut internal_capnp::frame::Builder<'_>)) -> Vec<u8> {
    let mut builder = Builder::new_default();
    write(&mut builder.init_root::<internal_capnp::frame::Builder<'_>>());
    let body = serialize::write_message_to_words(&builder);
    let mut bytes = Vec::with_capacity(framing::LENGTH_BYTES + body.len());
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

/// A message for many receivers, encoded once: as it is, and compressed for those that read that.
#[derive(Clone, Debug)]
pub struct SharedMessage {
    plain: Bytes,
    compressed: Bytes,
}

impl SharedMessage {
    /// Encodes a message. A short one, or one that becomes no shorter, goes to all as it is.
    pub fn new(frame: &Frame) -> SharedMessage {
        let plain: Bytes = encode(frame).into();
        let body = &plain[framing::LENGTH_BYTES..];
        let compressed = compression::compress(body).map(|body| framed(|out| out.set_compressed(&body)));
        let shorter = compressed.filter(|compressed| compressed.len() < plain.len());
        SharedMessage { compressed: shorter.map_or_else(|| plain.clone(), Bytes::from), plain }
    }

    /// The message for the process that said this hello.
    pub fn to(&self, receiver: &Hello) -> Bytes {
        if receiver.accepts_compression { self.compressed.clone() } else { self.plain.clone() }
    }
}
