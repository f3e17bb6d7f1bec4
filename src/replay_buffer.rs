//! What is held of a call's request so that it can be sent again. A request is held from its first byte until it is
//! all there or as much as may be; from then on it can only go on at one attempt, to which it must be bound first:
//! what that attempt has sent is dropped, and no other can follow.

use bytes::Bytes;
use std::collections::VecDeque;

/// Beyond what is held, so much may wait for the attempt to send it.
pub const WINDOW: usize = 16 * 1024;

/// How a request's stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// All of it has arrived.
    Whole,
    /// The client reset it or went: there is nothing more to do for it.
    Cut,
}

/// What an attempt sends next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// These bytes.
    Piece(Bytes),
    /// More will come.
    Wait,
    /// Nothing more can be taken from the client before the call is bound to this attempt.
    Bind,
    /// Nothing more: the body has ended this way.
    End(Over),
    /// The call is bound to another attempt, or what this one would begin with is no longer held.
    Lost,
}

/// The part of a request's body that is kept so that another attempt can send it again.
#[derive(Debug)]
pub struct ReplayBuffer {
    pieces: VecDeque<Bytes>,
    /// Pieces dropped in front of those.
    dropped: usize,
    bytes: usize,
    most: usize,
    /// No memory was left for another piece.
    pinched: bool,
    over: Option<Over>,
    bound: Option<u32>,
}

impl ReplayBuffer {
    /// An empty buffer of at most so many bytes.
    pub fn new(most: usize) -> ReplayBuffer {
        ReplayBuffer {
            pieces: VecDeque::new(),
            dropped: 0,
            bytes: 0,
            most,
            pinched: false,
            over: None,
            bound: None,
        }
    }

    /// Whether the client's next piece may be read.
    pub fn room(&self) -> bool {
        self.over.is_none()
            && match self.bound {
                None => self.bytes < self.most && !self.pinched,
                Some(_) => self.bytes < WINDOW,
            }
    }

    /// A piece that was read although it may go beyond the bound by itself: one piece at most does.
    pub fn push(&mut self, piece: Bytes) {
        if !piece.is_empty() {
            self.bytes += piece.len();
            self.pieces.push_back(piece);
        }
    }

    /// The memory for all calls is used up.
    pub fn pinch(&mut self) {
        self.pinched = true;
    }

    /// The body has ended.
    pub fn end(&mut self, over: Over) {
        self.over.get_or_insert(over);
    }

    /// How the body ended, if it has.
    pub fn over(&self) -> Option<Over> {
        self.over
    }

    /// Whether only one attempt can still send the body.
    pub fn is_bound(&self) -> bool {
        self.bound.is_some()
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// More has come, or will, than can be sent again.
    pub fn outgrown(&self) -> bool {
        self.over.is_none() && self.bound.is_none() && !self.room()
    }

    /// What the attempt that has sent `sent` pieces sends next.
    pub fn next(&self, attempt: u32, sent: usize) -> Next {
        if sent < self.dropped || self.bound.is_some_and(|bound| bound != attempt) {
            return Next::Lost;
        }
        match self.pieces.get(sent - self.dropped) {
            Some(piece) => Next::Piece(piece.clone()),
            None => match self.over {
                Some(over) => Next::End(over),
                None if self.outgrown() => Next::Bind,
                None => Next::Wait,
            },
        }
    }

    /// The call goes on at this attempt only. Returns the bytes that need not be held any more.
    pub fn bind(&mut self, attempt: u32, sent: usize) -> usize {
        self.bound = Some(attempt);
        self.drop_sent(sent)
    }

    /// The attempt has sent so many pieces. Returns the bytes that need not be held any more.
    pub fn sent(&mut self, attempt: u32, sent: usize) -> usize {
        if self.bound == Some(attempt) { self.drop_sent(sent) } else { 0 }
    }

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
