//! Why received bytes are not a message.

use crate::compression::CompressionError;

/// Why received bytes are not a message.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// They are not well formed.
    #[error("malformed message: {0}")]
    Malformed(#[from] capnp::Error),
    /// The kind of message is unknown: a newer program sent it.
    #[error("unknown kind of message: {0}")]
    Unknown(#[from] capnp::NotInSchema),
    /// A text is not UTF-8.
    #[error("a text is not UTF-8: {0}")]
    Text(#[from] std::str::Utf8Error),
    /// A compressed body cannot be restored.
    #[error("compressed message: {0}")]
    Compressed(#[from] CompressionError),
}
