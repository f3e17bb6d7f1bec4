//! Attempts: how a front starts one at a node, and what an attempt reports.

use super::handle::{Handle, Input};
use crate::attempt_end::AttemptEnd;
use crate::figures::{Count, Figures};
use crate::interface::{Load, RequestId};
use bytes::Bytes;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::Poll;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How an attempt ended.
#[derive(Debug)]
pub struct Report {
    /// How it ended.
    pub end: AttemptEnd,
    /// The answer's body, where it is complete.
    pub body: Bytes,
    /// The node's report of its load.
    pub load: Load,
    /// The volume's use, as a fraction of its plan's rate.
    pub used: Option<f64>,
}

impl From<AttemptEnd> for Report {
    fn from(end: AttemptEnd) -> Self {
        Report { end, body: Bytes::new(), load: Load::default(), used: None }
    }
}

/// Told by the backend as soon as a byte of the attempt may be on the wire, and when its last one is.
#[derive(Debug, Default)]
pub struct WriteState {
    pub(super) started: AtomicBool,
    pub(super) refused: AtomicBool,
    pub(super) completed_at: OnceLock<Instant>,
    pub(super) client: Client,
    pub(super) class: usize,
    pub(super) figures: Figures,
}

/// Whoever asked for an attempt.
#[derive(Default)]
pub(super) struct Client(pub(super) Option<Arc<dyn AttemptSource>>);

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a client")
    }
}

impl WriteState {
    /// Asked right before the first byte: false where the client has gone, and nothing may be written.
    pub fn may_start_writing(&self) -> bool {
        if self.client.0.as_ref().is_some_and(|work| work.client_left()) {
            self.refused.store(true, Ordering::Relaxed);
        }
        !self.is_refused()
    }

    /// Whether writing was refused because the client had left.
    pub fn is_refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    /// A byte of the attempt may be on the wire.
    pub fn mark_started(&self) {
        self.started.store(true, Ordering::Relaxed);
    }

    /// Whether a byte of the attempt may be on the wire.
    pub fn has_started(&self) -> bool {
        self.started.load(Ordering::Relaxed)
    }

    /// The last byte is written: the attempt is counted, once.
    pub fn mark_complete(&self) {
        if self.completed_at.set(Instant::now()).is_ok() {
            self.figures.count(self.class, Count::Tries);
        }
    }
}

/// One attempt to carry a request out at a node.
#[derive(Debug)]
pub struct AttemptContext {
    /// The node's `host:port`.
    pub address: String,
    /// The deadline.
    pub answer_by: Instant,
    /// How much of it is written.
    pub write_state: Arc<WriteState>,
    /// Binds the request to it.
    pub binder: AnswerBinder,
}

/// By which an attempt makes the request its own before it passes on the first part of an answer, or before
/// it lets go of what another attempt would have to send.
#[derive(Debug)]
pub struct AnswerBinder {
    pub(super) handle: Handle,
    pub(super) id: RequestId,
    pub(super) attempt: u32,
}

impl AnswerBinder {
    /// The attempt's number, from 0.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// True: no other attempt is out or will follow, and this one may speak to the client. False: it is over,
    /// or another attempt was first.
    pub async fn bind(&self) -> bool {
        let (granted, answer) = oneshot::channel();
        self.handle.send(Input::Bind { id: self.id, attempt: self.attempt, granted });
        answer.await.unwrap_or(false)
    }

    /// The same, with an answer that is good as far as it goes and longer than can be held: it counts as the
    /// node's from here on, whatever becomes of the rest, and has no time-out any more.
    pub async fn begin_answer(&self, load: Load, used: Option<f64>) -> bool {
        let (granted, answer) = oneshot::channel();
        self.handle.send(Input::AnswerBegan { id: self.id, attempt: self.attempt, load, used, granted });
        answer.await.unwrap_or(false)
    }
}

/// A running attempt.
pub type Attempt = Pin<Box<dyn Future<Output = Report> + Send>>;

/// What a front wants done: starts attempts at nodes. Dropping the future gives the attempt up; a request of
/// which no byte was written by then is never written.
pub trait AttemptSource: Send + Sync {
    /// Starts an attempt.
    fn attempt(&self, context: AttemptContext) -> Attempt;

    /// Whether the client has gone, asked of its connection in this very moment: the word of that may still
    /// be on its way.
    fn client_left(&self) -> bool {
        false
    }
}

/// Gives an attempt up that is not written whole by then. Looked at before each of its steps, so that none of
/// them writes later, however late its turn comes.
pub(super) async fn written_by(work: Attempt, write_state: Arc<WriteState>, by: Option<Instant>) -> Report {
    let Some(by) = by else { return work.await };
    let (mut work, mut over) = (work, std::pin::pin!(tokio::time::sleep_until(by)));
    std::future::poll_fn(|cx| {
        let whole = write_state.completed_at.get().is_some();
        if !whole && (over.as_mut().poll(cx).is_ready() || Instant::now() >= by) {
            let end = if write_state.has_started() { AttemptEnd::CalledOff } else { AttemptEnd::Unsent };
            return Poll::Ready(end.into());
        }
        work.as_mut().poll(cx)
    })
    .await
}
