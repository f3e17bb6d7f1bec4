//! How fronts and discovery reach the core, and what comes back.

#[cfg(test)]
use super::attempt::{Binder, Try};
use super::attempt::{Report, Work};
use crate::agree::rules::Names;
use crate::config::ListedNode;
use crate::figures::{Count, Figures, InProgress};
use crate::handover::Part;
use crate::interface::{ListUpdate, Load, Micros, NodeId, RequestId, Settings, VolumeId};
use bytes::Bytes;
use futures_util::FutureExt;
use log::debug;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Duration, Instant};

/// What a front knows of a request, in the module's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    pub volume: VolumeId,
    pub key: u64,
    pub class: usize,
    pub plan: usize,
    pub units: f64,
    pub volume_hosts: f64,
    pub repeat: bool,
    pub shard: Option<u16>,
    /// When the final answer must be on its way.
    pub answer_by: Instant,
    /// The request's last byte is yet to come: its time runs from then on, and is this long.
    pub coming: Option<Duration>,
}

/// What a client's time leaves for its request: what is kept back for the ways in and out is a part of it at
/// most, or clients that wait for as long as that would never be served.
pub fn less_margin(wait: Duration, margin: Duration) -> Duration {
    wait - margin.min(wait / MARGIN_PART)
}

/// The one final answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Served(Bytes),
    /// Trying again does no harm, after that time.
    Refused(Duration),
    /// Nothing is promised.
    Failed,
}

pub enum Input {
    Request {
        id: RequestId,
        arrival: Arrival,
        work: Arc<dyn Work>,
        answer: oneshot::Sender<Answer>,
    },
    Left {
        id: RequestId,
    },
    Report {
        id: RequestId,
        attempt: u32,
        report: Report,
    },
    /// An attempt wants to be the request's only one from here on.
    Bind {
        id: RequestId,
        attempt: u32,
        granted: oneshot::Sender<bool>,
    },
    /// An attempt has begun to pass an answer on.
    Begin {
        id: RequestId,
        attempt: u32,
        load: Load,
        used: Option<f64>,
        granted: oneshot::Sender<bool>,
    },
    /// The last byte of a request has come that was taken before: its time begins.
    Whole {
        id: RequestId,
    },
    Nodes {
        news: ListUpdate,
        nodes: Vec<ListedNode>,
    },
    /// Other settings, in the same numbers: what is open keeps the rules that it came under.
    Settings {
        settings: Box<Settings>,
        names: Names,
    },
    /// What the heads agree on may have changed, or a lease ended.
    Look,
    /// Another head said something.
    Peer {
        from: u32,
        bytes: Vec<u8>,
    },
    /// A probe has ended.
    Probed {
        node: NodeId,
        latency: Micros,
        report: Report,
    },
    /// Another process of this head lives, or no longer does.
    Part {
        halved: bool,
    },
    /// The program ends: whatever is still open gets its answer now.
    Finish,
}

/// How fronts and discovery reach the core.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) queue: mpsc::UnboundedSender<Input>,
    pub(super) last: Arc<AtomicU64>,
    pub(super) open: Arc<AtomicUsize>,
    pub(super) max_open: usize,
    pub(super) no_room: Arc<AtomicU64>,
    pub(super) figures: Figures,
    pub(super) part: Part,
}

impl Handle {
    /// By which its bounds are halved while another process of this head lives.
    pub fn part(&self) -> Part {
        self.part.clone()
    }

    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Requests that came when as many as may be were open.
    pub fn no_room(&self) -> u64 {
        self.no_room.load(Ordering::Relaxed)
    }

    /// `None`: too many are open, nothing was taken.
    pub fn submit(&self, arrival: Arrival, work: Arc<dyn Work>) -> Option<Pending> {
        if self.open.load(Ordering::Relaxed) >= self.part.of(self.max_open) {
            self.no_room.fetch_add(1, Ordering::Relaxed);
            self.figures.count(arrival.class, Count::Dropped);
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        // Not the client's own id: the module's tokens for timers share these numbers.
        let id = self.last.fetch_add(1, Ordering::Relaxed) + 1;
        let (answer, pending) = oneshot::channel();
        self.send(Input::Request { id, arrival, work, answer });
        let open = self.figures.taken();
        Some(Pending { id, answer: pending, answered: false, handle: self.clone(), _open: open })
    }

    pub fn send(&self, input: Input) {
        // The core is gone only when the program ends.
        let _ = self.queue.send(input);
    }

    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// One whose inputs go to a test.
    #[cfg(test)]
    pub fn overheard(&self) -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (queue, inputs) = mpsc::unbounded_channel();
        (Handle { queue, ..self.clone() }, inputs)
    }

    /// An attempt that is no request's.
    #[cfg(test)]
    pub fn a_try(&self, address: String, wait: Duration) -> Try {
        let binder = Binder { handle: self.clone(), id: 0, attempt: 0 };
        Try { address, answer_by: Instant::now() + wait, begun: Arc::default(), binder }
    }

    /// The same core with a bound of its own on open requests, for a front whose requests hold no descriptor
    /// each.
    pub fn with_room_for(&self, max_open: usize) -> Handle {
        Handle { open: Arc::default(), max_open, no_room: Arc::default(), ..self.clone() }
    }
}

/// Something that the module says to one other head, or to all.
#[derive(Debug)]
pub struct Message {
    pub to: Option<u32>,
    pub bytes: Vec<u8>,
}

/// By which the core says it.
#[derive(Clone, Debug)]
pub struct Mouth(mpsc::Sender<Message>);

impl Mouth {
    pub fn new() -> (Mouth, mpsc::Receiver<Message>) {
        let (mouth, messages) = mpsc::channel(MESSAGES);
        (Mouth(mouth), messages)
    }

    /// Never waits: what finds no room is lost, as the network may lose any.
    pub fn say(&self, to: Option<u32>, bytes: Vec<u8>) {
        if self.0.try_send(Message { to, bytes }).is_err() {
            debug!("a message to other heads found no room");
        }
    }
}

/// The answer to come. Dropped before that, the client has left.
pub struct Pending {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    handle: Handle,
    _open: InProgress,
}

impl Future for Pending {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        let answer = std::task::ready!(self.answer.poll_unpin(cx));
        self.answered = true;
        Poll::Ready(answer.unwrap_or(Answer::Failed))
    }
}

impl Pending {
    /// By which the core is told that the request's last byte has come.
    pub fn teller(&self) -> Teller {
        Teller { id: self.id, handle: self.handle.clone() }
    }

    /// Its client has all of the answer: dropped before the core's word, it has not left.
    pub fn delivered(&mut self) {
        self.answered = true;
    }
}

pub struct Teller {
    id: RequestId,
    handle: Handle,
}

impl Teller {
    pub fn whole(&self) {
        self.handle.send(Input::Whole { id: self.id });
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.handle.open.fetch_sub(1, Ordering::Relaxed);
        if !self.answered {
            self.handle.send(Input::Left { id: self.id });
        }
    }
}

const MARGIN_PART: u32 = 10;

/// Messages to other heads that wait to be sent.
const MESSAGES: usize = 64;
