//! Attempts: how a front starts one at a node, and what an attempt reports.

use super::handle::{Handle, Input};
use crate::attempt_end::AttemptEnd;
use crate::interface::{Load, RequestId};
use crate::metrics::{Count, Metrics};
use bytes::Bytes;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::Poll;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The result of an attempt.
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

/// How much of an attempt's request is written. The backend marks when a byte may have been sent and when the
/// last byte has been written.
#[derive(Debug, Default)]
pub struct WriteState {
    pub(super) started: AtomicBool,
    pub(super) refused: AtomicBool,
    pub(super) completed_at: OnceLock<Instant>,
    pub(super) client: ClientState,
    pub(super) class: usize,
    pub(super) metrics: Metrics,
}

/// The source of an attempt, which knows whether the client has left.
#[derive(Default)]
pub(super) struct ClientState(pub(super) Option<Arc<dyn AttemptSource>>);

impl fmt::Debug for ClientState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a client")
    }
}

impl WriteState {
    /// Whether writing may start; called right before the first byte. False if the client has left: then
    /// nothing may be written.
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

    /// Marks that a byte of the attempt may have been sent.
    pub fn mark_started(&self) {
        self.started.store(true, Ordering::Relaxed);
    }

    /// Whether a byte of the attempt may have been sent.
    pub fn has_started(&self) -> bool {
        self.started.load(Ordering::Relaxed)
    }

    /// Marks that the last byte is written, and counts the attempt in the metrics once.
    pub fn mark_complete(&self) {
        if self.completed_at.set(Instant::now()).is_ok() {
            self.metrics.count(self.class, Count::Tries);
        }
    }
}

/// What an attempt to run a request at a node needs.
#[derive(Debug)]
pub struct AttemptContext {
    /// The node's `host:port`.
    pub address: String,
    /// The deadline.
    pub answer_by: Instant,
    /// How much of the request is written.
    pub write_state: Arc<WriteState>,
    /// Binds the request to this attempt.
    pub binder: AnswerBinder,
}

/// Binds a request to one attempt. An attempt does so before it forwards the first part of an answer, or
/// before it releases request data that another attempt would have to send.
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

    /// Binds the request to this attempt. True: no other attempt is in flight or will follow, and this one
    /// may send to the client. False: the attempt or the request has ended, or another attempt was first.
    pub async fn bind(&self) -> bool {
        let (granted, answer) = oneshot::channel();
        self.handle.send(Input::Bind { id: self.id, attempt: self.attempt, granted });
        answer.await.unwrap_or(false)
    }

    /// Binds the request like [`AnswerBinder::bind`], for an answer that is successful so far and too long to
    /// buffer. The policy counts it as served from here on, whatever happens to the rest, and the deadline no
    /// longer applies.
    pub async fn begin_answer(&self, load: Load, used: Option<f64>) -> bool {
        let (granted, answer) = oneshot::channel();
        self.handle.send(Input::AnswerBegan { id: self.id, attempt: self.attempt, load, used, granted });
        answer.await.unwrap_or(false)
    }
}

/// A running attempt.
pub type Attempt = Pin<Box<dyn Future<Output = Report> + Send>>;

/// Starts the attempts of a front's request. Dropping an attempt's future cancels it; if no byte of the
/// request was written by then, none is written afterwards.
pub trait AttemptSource: Send + Sync {
    /// Starts an attempt.
    fn attempt(&self, context: AttemptContext) -> Attempt;

    /// Whether the client has left, read from its connection at the time of the call: the event loop may not
    /// yet have been notified.
    fn client_left(&self) -> bool {
        false
    }
}

/// Ends an attempt whose request is not written completely by the given time. The time is checked before each
/// poll, so that no poll writes after it, however late the task is scheduled.
pub(super) async fn cancel_unless_written_by(
    work: Attempt,
    write_state: Arc<WriteState>,
    by: Option<Instant>,
) -> Report {
    let Some(by) = by else { return work.await };
    let (mut work, mut expired) = (work, std::pin::pin!(tokio::time::sleep_until(by)));
    std::future::poll_fn(|cx| {
        let complete = write_state.completed_at.get().is_some();
        if !complete && (expired.as_mut().poll(cx).is_ready() || Instant::now() >= by) {
            let end = if write_state.has_started() { AttemptEnd::CalledOff } else { AttemptEnd::Unsent };
            return Poll::Ready(end.into());
        }
        work.as_mut().poll(cx)
    })
    .await
}
