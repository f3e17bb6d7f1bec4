//! Bodies that are held in blocks of leased memory. What arrives is copied into the blocks, so that neither many
//! small chunks nor the read buffers from which they came cost more than the block.

use super::share::{MemoryLease, MemoryShare, ShareExhausted};
use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The shortest block of a body whose length is not known.
const MIN_BLOCK_BYTES: usize = 1_024;
/// The longest block.
const MAX_BLOCK_BYTES: usize = 64 * 1_024;
/// What a block costs beside its bytes.
const BLOCK_OVERHEAD_BYTES: usize = 128;

/// Memory of a fixed capacity, with the lease for it.
struct Block {
    bytes: Vec<u8>,
    _lease: MemoryLease,
}

impl Block {
    fn new(share: &MemoryShare, capacity: usize) -> Result<Block, ShareExhausted> {
        let lease = share.lease(capacity + BLOCK_OVERHEAD_BYTES)?;
        Ok(Block { bytes: Vec::with_capacity(capacity), _lease: lease })
    }

    fn free(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }

    fn is_full(&self) -> bool {
        self.free() == 0
    }
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Collects a body.
pub struct BodyBuffer {
    full: VecDeque<Bytes>,
    open: Option<Block>,
    length: usize,
    /// The length that the sender announced.
    announced: Option<usize>,
}

impl BodyBuffer {
    /// Creates an empty buffer for a body of this length, if its sender announced one.
    pub fn new(announced: Option<usize>) -> BodyBuffer {
        BodyBuffer { full: VecDeque::new(), open: None, length: 0, announced }
    }

    /// The bytes so far.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Moves bytes into blocks, the memory for which comes from `share`. Returns whether a block was begun.
    ///
    /// # Errors
    ///
    /// The share is exhausted; what is left in `data` can be pushed later.
    pub fn push(&mut self, data: &mut Bytes, share: &MemoryShare) -> Result<bool, ShareExhausted> {
        let mut began = false;
        while !data.is_empty() {
            let mut block = match self.open.take() {
                Some(block) => block,
                None => {
                    began = true;
                    Block::new(share, self.next_capacity())?
                }
            };
            let count = block.free().min(data.len());
            block.bytes.extend_from_slice(&data[..count]);
            data.advance(count);
            self.length += count;
            match block.is_full() {
                true => self.full.push_back(Bytes::from_owner(block)),
                false => self.open = Some(block),
            }
        }
        Ok(began)
    }

    /// What the next block takes of a share.
    pub fn next_block_bytes(&self) -> usize {
        self.next_capacity() + BLOCK_OVERHEAD_BYTES
    }

    /// What the next block holds: the rest of the announced length, or as much as all blocks so far.
    fn next_capacity(&self) -> usize {
        let rest = self.announced.map(|announced| announced.saturating_sub(self.length));
        match rest.filter(|rest| *rest > 0) {
            Some(rest) => rest.min(MAX_BLOCK_BYTES),
            None => self.length.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES),
        }
    }

    /// The body as it is.
    pub fn finish(mut self) -> HeldBody {
        if let Some(block) = self.open.take() {
            self.full.push_back(Bytes::from_owner(block));
        }
        HeldBody { blocks: self.full, length: self.length }
    }
}

/// A body in memory. Clones share the blocks; the lease of a block ends with its last clone, also where that waits to
/// be written to a socket.
#[derive(Clone, Debug, Default)]
pub struct HeldBody {
    blocks: VecDeque<Bytes>,
    length: usize,
}

impl HeldBody {
    /// The bytes of the body.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The body in one piece. Blocks are given back while they are copied.
    pub fn into_vec(mut self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.length);
        while let Some(block) = self.blocks.pop_front() {
            bytes.extend_from_slice(&block);
        }
        bytes
    }

    /// The body in one block.
    ///
    /// # Errors
    ///
    /// The share is exhausted; the body is as it was.
    pub fn into_bytes(mut self, share: &MemoryShare) -> Result<Bytes, HeldBody> {
        if self.blocks.len() <= 1 {
            return Ok(self.blocks.pop_front().unwrap_or_default());
        }
        let Ok(mut joined) = Block::new(share, self.length) else { return Err(self) };
        while let Some(block) = self.blocks.pop_front() {
            joined.bytes.extend_from_slice(&block);
        }
        Ok(Bytes::from_owner(joined))
    }

    /// The blocks in order.
    pub fn into_blocks(self) -> VecDeque<Bytes> {
        self.blocks
    }
}

impl From<Bytes> for HeldBody {
    fn from(bytes: Bytes) -> HeldBody {
        let length = bytes.len();
        HeldBody { blocks: VecDeque::from([bytes]), length }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let block = self.blocks.pop_front();
        self.length -= block.as_ref().map_or(0, Bytes::len);
        Poll::Ready(block.map(|block| Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.length == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}
