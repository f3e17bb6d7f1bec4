//! The messages between hosts and their encoding: one byte for the form, then the values, big-endian.

use crate::interface::Micros;

/// A report of a node's queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Message {
    /// The shard that the node serves.
    pub shard: u16,
    /// The length of the queue; `None` if unknown.
    pub queue: Option<f64>,
    /// The latency of the answer with the report or, without a queue length, how long a request waited in
    /// vain.
    pub latency: Micros,
}

impl Message {
    /// Encodes the message. The length of the queue is cut to 254, the latency to whole milliseconds.
    pub fn bytes(&self) -> Vec<u8> {
        let ([a, b], queue) =
            (self.shard.to_be_bytes(), self.queue.map_or(u8::MAX, |q| q.clamp(0.0, 254.0) as u8));
        let [c, d] = u16::try_from(self.latency / 1000).unwrap_or(u16::MAX).to_be_bytes();
        vec![1, a, b, queue, c, d]
    }

    /// Decodes a message; `None` if its form is unknown.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let &[1, a, b, queue, c, d] = bytes else { return None };
        let latency = 1000 * Micros::from(u16::from_be_bytes([c, d]));
        let queue = (queue < u8::MAX).then_some(queue.into());
        Some(Message { shard: u16::from_be_bytes([a, b]), queue, latency })
    }
}
