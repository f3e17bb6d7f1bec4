//! The body of a request that is forwarded while it still arrives: held until it is complete or the limit is
//! reached, then released as an attempt sends it.

use crate::replay_buffer::{BodyEnd, Next, ReplayBuffer};
use bytes::Bytes;
use pathbank_memory::share::{MemoryLease, MemoryShare};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// A body that is forwarded while it arrives.
#[derive(Debug)]
pub struct IncomingBody {
    state: Mutex<State>,
    /// The memory for the bodies of all requests.
    memory: MemoryShare,
    /// Notified when the body has grown or ended.
    more: Notify,
    /// Notified when another piece may be read.
    readable: Notify,
}

#[derive(Debug)]
struct State {
    buffer: ReplayBuffer,
    /// The memory for the bytes held.
    held: Option<MemoryLease>,
}

impl State {
    /// Gives back the memory for bytes that are not held any more.
    fn give_back_sent(&mut self) {
        let bytes = self.buffer.bytes();
        if let Some(held) = &mut self.held {
            held.shrink(bytes);
        }
    }
}

impl IncomingBody {
    /// Creates a body of which up to `hold` bytes are held before it is bound to an attempt.
    pub fn new(hold: usize, memory: MemoryShare) -> IncomingBody {
        let state = Mutex::new(State { buffer: ReplayBuffer::new(hold), held: None });
        IncomingBody { state, memory, more: Notify::new(), readable: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // For the task that reads from the client.

    /// Waits until another piece may be read from the client.
    pub async fn readable(&self) {
        loop {
            let changed = self.readable.notified();
            if self.state().buffer.can_read() {
                return;
            }
            changed.await;
        }
    }

    /// Adds a piece. Returns false once more has arrived than may be held.
    pub fn push(&self, piece: Bytes, bound: bool) -> bool {
        let mut state = self.state();
        if !bound {
            let held = state.held.get_or_insert_with(|| self.memory.empty_lease());
            if held.grow(piece.len()).is_err() {
                self.memory.count_refusal();
                state.buffer.mark_memory_exhausted();
            }
        }
        // A piece would keep the read buffer from which it came.
        state.buffer.push(Bytes::copy_from_slice(&piece));
        let within_limit = !state.buffer.exceeds_limit();
        drop(state);
        self.more.notify_waiters();
        within_limit
    }

    /// Marks the end of the body.
    pub fn end(&self, over: BodyEnd) {
        self.state().buffer.end(over);
        self.more.notify_waiters();
    }

    /// Returns whether the client reset the request or left before the end of the body.
    pub fn is_cut(&self) -> bool {
        self.state().buffer.over() == Some(BodyEnd::Reset)
    }

    /// Returns whether another piece may be read from the client.
    pub fn has_room(&self) -> bool {
        self.state().buffer.can_read()
    }

    /// Returns whether the body is complete or was cut off.
    pub fn is_over(&self) -> bool {
        self.state().buffer.over().is_some()
    }

    /// Returns the number of bytes held.
    pub fn bytes(&self) -> usize {
        self.state().buffer.bytes()
    }

    /// Returns whether only one attempt can still send the body.
    pub fn is_bound(&self) -> bool {
        self.state().buffer.is_bound()
    }

    // For attempts.

    /// Waits for what this attempt, which has sent `sent` pieces, sends next.
    pub async fn next(&self, attempt: u32, sent: usize) -> Next {
        loop {
            let mut changed = std::pin::pin!(self.more.notified());
            changed.as_mut().enable();
            match self.state().buffer.next(attempt, sent) {
                Next::Wait => {}
                next => return next,
            }
            changed.await;
        }
    }

    /// Returns whether the body is complete with `sent` pieces.
    pub fn complete_with(&self, attempt: u32, sent: usize) -> bool {
        self.state().buffer.next(attempt, sent) == Next::End(BodyEnd::Complete)
    }

    /// Binds the body to one attempt, so that pieces already sent can be released. The core must have granted
    /// this.
    pub fn bind(&self, attempt: u32, sent: usize) {
        let mut state = self.state();
        state.buffer.bind(attempt, sent);
        state.give_back_sent();
        drop(state);
        self.readable.notify_one();
    }

    /// Records that an attempt has sent `sent` pieces, and releases them if the body is bound to it.
    pub fn sent(&self, attempt: u32, sent: usize) {
        let mut state = self.state();
        if state.buffer.sent(attempt, sent) > 0 {
            state.give_back_sent();
            drop(state);
            self.readable.notify_one();
        }
    }
}
