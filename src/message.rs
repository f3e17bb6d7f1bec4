//! What hosts tell each other, and its bytes: a form, then its figures, big-endian. Nothing here decides.

use crate::interface::Micros;

/// A node's queue, and the time of the answer that told of it. Without a queue: something waited that long
/// there in vain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Message {
    pub shard: u16,
    pub queue: Option<f64>,
    pub latency: Micros,
}

impl Message {
    pub fn bytes(&self) -> Vec<u8> {
        let ([a, b], queue) =
            (self.shard.to_be_bytes(), self.queue.map_or(u8::MAX, |q| q.clamp(0.0, 254.0) as u8));
        let [c, d] = u16::try_from(self.latency / 1000).unwrap_or(u16::MAX).to_be_bytes();
        vec![1, a, b, queue, c, d]
    }

    /// `None`: of no form known here.
    pub fn read(bytes: &[u8]) -> Option<Message> {
        let &[1, a, b, queue, c, d] = bytes else { return None };
        let latency = 1000 * Micros::from(u16::from_be_bytes([c, d]));
        let queue = (queue < u8::MAX).then_some(queue.into());
        Some(Message { shard: u16::from_be_bytes([a, b]), queue, latency })
    }
}
