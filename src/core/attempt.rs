//! Attempts at nodes: what a front wants done, and what an attempt tells of itself.

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

/// What an attempt came to.
#[derive(Debug)]
pub struct Report {
    pub end: AttemptEnd,
    pub body: Bytes,
    pub load: Load,
    pub used: Option<f64>,
}

impl From<AttemptEnd> for Report {
    fn from(end: AttemptEnd) -> Self {
        Report { end, body: Bytes::new(), load: Load::default(), used: None }
    }
}

/// Told by the backend as soon as a byte of the attempt may be on the wire, and when its last one is.
#[derive(Debug, Default)]
pub struct Begun {
    pub(super) begun: AtomicBool,
    pub(super) refused: AtomicBool,
    pub(super) whole: OnceLock<Instant>,
    pub(super) client: Client,
    pub(super) class: usize,
    pub(super) figures: Figures,
}

/// Whoever asked for an attempt.
#[derive(Default)]
pub(super) struct Client(pub(super) Option<Arc<dyn Work>>);

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a client")
    }
}

impl Begun {
    /// Asked right before the first byte: false where the client has gone, and nothing may be written.
    pub fn may_begin(&self) -> bool {
        if self.client.0.as_ref().is_some_and(|work| work.left()) {
            self.refused.store(true, Ordering::Relaxed);
        }
        !self.refused()
    }

    pub fn refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    pub fn set(&self) {
        self.begun.store(true, Ordering::Relaxed);
    }

    pub fn get(&self) -> bool {
        self.begun.load(Ordering::Relaxed)
    }

    /// All of it is written: the attempt counts, once.
    pub fn set_whole(&self) {
        if self.whole.set(Instant::now()).is_ok() {
            self.figures.count(self.class, Count::Tries);
        }
    }
}

/// One attempt to carry a request out at a node.
#[derive(Debug)]
pub struct Try {
    pub address: String,
    pub answer_by: Instant,
    pub begun: Arc<Begun>,
    pub binder: Binder,
}

/// By which an attempt makes the request its own before it passes on the first part of an answer, or before it lets
/// go of what another attempt would have to send.
#[derive(Debug)]
pub struct Binder {
    pub(super) handle: Handle,
    pub(super) id: RequestId,
    pub(super) attempt: u32,
}

impl Binder {
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// True: no other attempt is out or will follow, and this one may speak to the client. False: it is over, or
    /// another attempt was first.
    pub async fn bind(&self) -> bool {
        let (granted, answer) = oneshot::channel();
        self.handle.send(Input::Bind { id: self.id, attempt: self.attempt, granted });
        answer.await.unwrap_or(false)
    }

    /// The same, with an answer that is good as far as it goes and longer than can be held: it counts as the node's
    /// from here on, whatever becomes of the rest, and has no time-out any more.
    pub async fn begin(&self, load: Load, used: Option<f64>) -> bool {
        let (granted, answer) = oneshot::channel();
        self.handle.send(Input::Begin { id: self.id, attempt: self.attempt, load, used, granted });
        answer.await.unwrap_or(false)
    }
}

pub type Attempt = Pin<Box<dyn Future<Output = Report> + Send>>;

/// What a front wants done: starts attempts at nodes. Dropping the future gives the attempt up; a request of
/// which no byte was written by then is never written.
pub trait Work: Send + Sync {
    fn attempt(&self, a_try: Try) -> Attempt;

    /// Whether the client has gone, asked of its connection in this very moment: the word of that may still be on its way.
    fn left(&self) -> bool {
        false
    }
}

/// Gives an attempt up that is not written whole by then. Looked at before each of its steps, so that none of them writes
/// later, however late its turn comes.
pub(super) async fn written_by(work: Attempt, begun: Arc<Begun>, by: Option<Instant>) -> Report {
    let Some(by) = by else { return work.await };
    let (mut work, mut over) = (work, std::pin::pin!(tokio::time::sleep_until(by)));
    std::future::poll_fn(|cx| {
        let whole = begun.whole.get().is_some();
        if !whole && (over.as_mut().poll(cx).is_ready() || Instant::now() >= by) {
            let end = if begun.get() { AttemptEnd::CalledOff } else { AttemptEnd::Unsent };
            return Poll::Ready(end.into());
        }
        work.as_mut().poll(cx)
    })
    .await
}
