//! Buffers the body of a call's request so that another attempt can send it again. The body is kept from its
//! first byte until it is complete or reaches the limit. A body over the limit can only be sent by one
//! attempt, to which the call must be bound first: what that attempt has sent is dropped, and no other
//! attempt can follow.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;

/// Maximum number of bytes that wait for a bound attempt to send them.
pub const WINDOW: usize = 16 * 1024;
/// Shorter pieces are joined where there are many: by itself, each costs some forty bytes beside its own.
const SHORT_PIECE_BYTES: usize = 512;
/// So many pieces are not too many.
const MAX_SEPARATE_PIECES: usize = 64;
/// Short pieces are joined up to this length.
const JOINED_PIECE_BYTES: usize = 16 * 1024;

/// How a request's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// It is complete.
    Complete,
    /// The client reset the stream or left: no more data will come.
    Reset,
}

/// What an attempt sends next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// These bytes.
    Piece(Bytes),
    /// Nothing now; more data will come.
    Wait,
    /// Nothing: no more data can be read from the client before the call is bound to this attempt.
    Bind,
    /// Nothing more: the body has ended this way.
    End(BodyEnd),
    /// Nothing: the call is bound to another attempt, or the data that this one needs was dropped.
    Lost,
}

/// The part of a request's body that is kept so that another attempt can send it again.
#[derive(Debug)]
pub struct ReplayBuffer {
    pieces: VecDeque<Bytes>,
    /// The last piece while short ones may still be joined to it: no attempt has got it.
    joined: BytesMut,
    /// Number of pieces dropped before the first one in `pieces`.
    dropped: usize,
    /// Bytes in `pieces` and `joined`.
    bytes: usize,
    /// Limit on `bytes` while the call is not bound.
    max_bytes: usize,
    /// The memory for all calls is exhausted: no more may be buffered.
    memory_exhausted: bool,
    /// How the body ended.
    over: Option<BodyEnd>,
    /// The attempt to which the call is bound.
    bound: Option<u32>,
}

impl ReplayBuffer {
    /// Creates an empty buffer that keeps at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> ReplayBuffer {
        ReplayBuffer {
            pieces: VecDeque::new(),
            joined: BytesMut::new(),
            dropped: 0,
            bytes: 0,
            max_bytes,
            memory_exhausted: false,
            over: None,
            bound: None,
        }
    }

    /// Whether the client's next piece may be read.
    pub fn can_read(&self) -> bool {
        self.over.is_none()
            && match self.bound {
                None => self.bytes < self.max_bytes && !self.memory_exhausted,
                Some(_) => self.bytes < WINDOW,
            }
    }

    /// Adds a piece. At most one piece exceeds the limit, since none is read after that.
    pub fn push(&mut self, piece: Bytes) {
        self.bytes += piece.len();
        if piece.is_empty() {
            return;
        }
        let is_short = piece.len() < SHORT_PIECE_BYTES && self.pieces.len() >= MAX_SEPARATE_PIECES;
        if !is_short || self.joined.len() + piece.len() > JOINED_PIECE_BYTES {
            self.close_joined();
        }
        match is_short {
            true => self.joined.extend_from_slice(&piece),
            false => self.pieces.push_back(piece),
        }
    }

    /// Nothing is joined to the last piece any more.
    fn close_joined(&mut self) {
        if !self.joined.is_empty() {
            self.pieces.push_back(std::mem::take(&mut self.joined).freeze());
        }
    }

    /// Marks that the memory for all calls is exhausted.
    pub fn mark_memory_exhausted(&mut self) {
        self.memory_exhausted = true;
    }

    /// Marks the end of the body; later ends are ignored.
    pub fn end(&mut self, over: BodyEnd) {
        self.over.get_or_insert(over);
    }

    /// How the body ended, if it has.
    pub fn over(&self) -> Option<BodyEnd> {
        self.over
    }

    /// Whether only one attempt can still send the body.
    pub fn is_bound(&self) -> bool {
        self.bound.is_some()
    }

    /// The number of bytes in the buffer.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether no more of the body can be kept for another attempt: it reached the limit or exceeds it, or
    /// the memory for all calls is exhausted.
    pub fn exceeds_limit(&self) -> bool {
        self.over.is_none() && self.bound.is_none() && !self.can_read()
    }

    /// Returns what an attempt that has sent `sent` pieces sends next.
    pub fn next(&mut self, attempt: u32, sent: usize) -> Next {
        if sent < self.dropped || self.bound.is_some_and(|bound| bound != attempt) {
            return Next::Lost;
        }
        if sent - self.dropped >= self.pieces.len() {
            self.close_joined();
        }
        match self.pieces.get(sent - self.dropped) {
            Some(piece) => Next::Piece(piece.clone()),
            None => match self.over {
                Some(over) => Next::End(over),
                None if self.exceeds_limit() => Next::Bind,
                None => Next::Wait,
            },
        }
    }

    /// Binds the call to an attempt that has sent `sent` pieces. Returns the number of bytes dropped.
    pub fn bind(&mut self, attempt: u32, sent: usize) -> usize {
        self.bound = Some(attempt);
        self.drop_sent(sent)
    }

    /// Records that an attempt has sent `sent` pieces. Returns the number of bytes dropped.
    pub fn sent(&mut self, attempt: u32, sent: usize) -> usize {
        if self.bound == Some(attempt) { self.drop_sent(sent) } else { 0 }
    }

    /// Drops the first `sent` pieces of the body.
    fn drop_sent(&mut self, sent: usize) -> usize {
        let before = self.bytes;
        while self.dropped < sent {
            let Some(piece) = self.pieces.pop_front() else { break };
            self.bytes -= piece.len();
            self.dropped += 1;
        }
        before - self.bytes
    }
}

#[cfg(test)]
mod tests;
