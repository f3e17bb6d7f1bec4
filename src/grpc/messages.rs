//! Follows the length-prefixed messages in the DATA frames of a gRPC response, however the bytes are split, so
//! that a response that ends within a message does not look complete.

use thiserror::Error;

/// The flag and the length before each message.
const PREFIX_BYTES: usize = 5;
/// The flag of a message that is compressed. The only other one is 0.
const COMPRESSED: u8 = 1;

/// Why bytes are no messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// A message's flag is neither 0 nor 1.
    #[error("a message has the unknown flag {0}")]
    UnknownFlag(u8),
    /// The response ended within a message.
    #[error("the response ends within a message")]
    EndsWithinMessage,
}

/// Where a response is among its messages.
#[derive(Clone, Debug, Default)]
pub struct MessageBoundaries {
    prefix: [u8; PREFIX_BYTES],
    prefix_bytes: usize,
    /// Bytes of the present message that are still to come.
    remaining: usize,
}

impl MessageBoundaries {
    /// Takes the next bytes of the response.
    ///
    /// # Errors
    ///
    /// They are no message.
    pub fn scan(&mut self, mut bytes: &[u8]) -> Result<(), MessageError> {
        while let Some(first) = bytes.first() {
            if self.remaining > 0 {
                let taken = self.remaining.min(bytes.len());
                self.remaining -= taken;
                bytes = &bytes[taken..];
                continue;
            }
            self.prefix[self.prefix_bytes] = *first;
            self.prefix_bytes += 1;
            bytes = &bytes[1..];
            if self.prefix[0] > COMPRESSED {
                return Err(MessageError::UnknownFlag(self.prefix[0]));
            }
            if self.prefix_bytes == PREFIX_BYTES {
                self.prefix_bytes = 0;
                let [_, length @ ..] = self.prefix;
                self.remaining = u32::from_be_bytes(length) as usize;
            }
        }
        Ok(())
    }

    /// The response has ended.
    ///
    /// # Errors
    ///
    /// It ended within a message.
    pub fn finish(&self) -> Result<(), MessageError> {
        if self.prefix_bytes > 0 || self.remaining > 0 {
            return Err(MessageError::EndsWithinMessage);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
