//! What a client sends and an attempt passes on while it still comes: held until it is all there or as much as may be
//! held, then let go of as it is sent.

use crate::replay_buffer::{Next, Over, ReplayBuffer};
use bytes::Bytes;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// A body that is forwarded while it arrives.
#[derive(Debug)]
pub struct Source {
    state: Mutex<State>,
    /// The memory for all requests.
    memory: Arc<Semaphore>,
    more: Notify,
    room: Notify,
}

#[derive(Debug)]
struct State {
    buffer: ReplayBuffer,
    held: Option<OwnedSemaphorePermit>,
}

impl Source {
    /// Holds `hold` bytes before it is bound to an attempt.
    pub fn new(hold: usize, memory: Arc<Semaphore>) -> Source {
        let state = Mutex::new(State { buffer: ReplayBuffer::new(hold), held: None });
        Source { state, memory, more: Notify::new(), room: Notify::new() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // ---- for the client's task ----

    /// Waits until another piece may be read from the client.
    pub async fn room(&self) {
        loop {
            let changed = self.room.notified();
            if self.state().buffer.room() {
                return;
            }
            changed.await;
        }
    }

    /// False: more than may be held has come.
    pub fn push(&self, piece: Bytes, bound: bool) -> bool {
        let mut state = self.state();
        if !bound {
            let length = u32::try_from(piece.len()).unwrap_or(u32::MAX);
            match (self.memory.clone().try_acquire_many_owned(length), &mut state.held) {
                (Ok(permit), Some(held)) => held.merge(permit),
                (Ok(permit), none) => *none = Some(permit),
                (Err(_), _) => state.buffer.pinch(),
            }
        }
        state.buffer.push(piece);
        let whole = !state.buffer.outgrown();
        drop(state);
        self.more.notify_waiters();
        whole
    }

    /// The body has ended.
    pub fn end(&self, over: Over) {
        self.state().buffer.end(over);
        self.more.notify_waiters();
    }

    /// The client has reset the request, or gone.
    pub fn cut(&self) -> bool {
        self.state().buffer.over() == Some(Over::Cut)
    }

    /// Another piece may be read from the client.
    pub fn has_room(&self) -> bool {
        self.state().buffer.room()
    }

    /// All of it has come, or nothing more will.
    pub fn is_over(&self) -> bool {
        self.state().buffer.over().is_some()
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> usize {
        self.state().buffer.bytes()
    }

    /// Whether only one attempt can still send the body.
    pub fn is_bound(&self) -> bool {
        self.state().buffer.is_bound()
    }

    // ---- for attempts ----

    /// What this attempt sends next; waits while that is yet to come.
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

    /// Whether the request is whole with so many pieces.
    pub fn whole_with(&self, attempt: u32, sent: usize) -> bool {
        self.state().buffer.next(attempt, sent) == Next::End(Over::Whole)
    }

    /// Must have been granted by the core.
    pub fn bind(&self, attempt: u32, sent: usize) {
        let mut state = self.state();
        state.buffer.bind(attempt, sent);
        state.held = None;
        drop(state);
        self.room.notify_one();
    }

    /// An attempt has sent so many bytes.
    pub fn sent(&self, attempt: u32, sent: usize) {
        if self.state().buffer.sent(attempt, sent) > 0 {
            self.room.notify_one();
        }
    }
}
