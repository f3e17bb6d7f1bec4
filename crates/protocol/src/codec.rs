//! Encoding and decoding of complete messages.

pub use crate::compression::CompressionError;
pub use crate::decode_error::DecodeError;
use crate::message::{Frame, Hello};
use crate::{compression, framing, internal_capnp as wire, read, write};
use bytes::Bytes;
use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;

/// Encodes a message with its length in front, as it goes over a connection.
pub fn encode(frame: &Frame) -> Vec<u8> {
    framed(|out| write::frame(frame, out.reborrow()))
}

fn framed(write: impl FnOnce(&mut wire::frame::Builder<'_>)) -> Vec<u8> {
    let mut builder = Builder::new_default();
    write(&mut builder.init_root::<wire::frame::Builder<'_>>());
    let body = serialize::write_message_to_words(&builder);
    let mut bytes = Vec::with_capacity(framing::LENGTH_BYTES + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&body);
    bytes
}

/// Decodes a body, without its length in front; a compressed one is restored first.
///
/// # Errors
///
/// The body is malformed, of an unknown kind, or cannot be restored.
pub fn decode(body: &[u8]) -> Result<Frame, DecodeError> {
    with_root(body, |root| match root.which()? {
        wire::frame::Which::Compressed(compressed) => {
            with_root(&compression::decompress(compressed?)?, read::frame)
        }
        _ => read::frame(root),
    })
}

fn with_root(
    body: &[u8],
    read: impl FnOnce(wire::frame::Reader<'_>) -> Result<Frame, DecodeError>,
) -> Result<Frame, DecodeError> {
    let mut rest = body;
    let message = serialize::read_message_from_flat_slice(&mut rest, ReaderOptions::new())?;
    read(message.get_root()?)
}

/// A message for many receivers, encoded once: plain, and compressed for those that accept it.
#[derive(Clone, Debug)]
pub struct SharedMessage {
    plain: Bytes,
    compressed: Bytes,
}

impl SharedMessage {
    /// Encodes a message. A short one, or one that does not shrink, goes to all receivers plain.
    pub fn new(frame: &Frame) -> SharedMessage {
        let plain: Bytes = encode(frame).into();
        let body = &plain[framing::LENGTH_BYTES..];
        let compressed = compression::compress(body).map(|body| framed(|out| out.set_compressed(&body)));
        let shorter = compressed.filter(|compressed| compressed.len() < plain.len());
        SharedMessage { compressed: shorter.map_or_else(|| plain.clone(), Bytes::from), plain }
    }

    /// The bytes for the process that sent this hello.
    pub fn to(&self, receiver: &Hello) -> Bytes {
        if receiver.accepts_compression { self.compressed.clone() } else { self.plain.clone() }
    }
}
