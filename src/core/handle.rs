//! The channel into the core's event loop: fronts and discovery submit requests and updates through it, and
//! requests receive their final answers from it.

#[cfg(test)]
use super::attempt::{AnswerBinder, AttemptContext};
use super::attempt::{AttemptSource, Report};
use crate::agree::rules::Names;
use crate::config::ListedNode;
use crate::handover::CapacityShare;
use crate::interface::{ListUpdate, Load, Micros, NodeId, RequestId, Settings, VolumeId};
use crate::metrics::{Count, InProgress, Metrics};
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

/// A request as a front submits it, in the terms of the scheduling policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The volume that it belongs to.
    pub volume: VolumeId,
    /// The object that it reads or writes; 0: none.
    pub key: u64,
    /// Its class's number.
    pub class: usize,
    /// Its volume's plan's number.
    pub plan: usize,
    /// Its size.
    pub units: f64,
    /// Hosts through which the volume's requests come.
    pub volume_hosts: f64,
    /// The client marked it as a retry of its own.
    pub repeat: bool,
    /// The shard that has the data; `None`: a new object.
    pub shard: Option<u16>,
    /// The deadline for the final answer to be sent.
    pub answer_by: Instant,
    /// The body is still arriving: the deadline is this long after its last byte.
    pub body_time: Option<Duration>,
}

/// Returns the time that remains of a client's wait after the margin for the transfer of the request and of
/// its answer. The margin is limited to a tenth of the wait; otherwise a client with a wait as short as the
/// margin would never be served.
pub fn wait_less_margin(wait: Duration, margin: Duration) -> Duration {
    wait - margin.min(wait / MARGIN_DIVISOR)
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// The node's answer.
    Served(Bytes),
    /// Refused: the request did not run, or it is harmless to run it again. The client may retry after this
    /// time.
    Refused(Duration),
    /// Failed: the request may have run.
    Failed,
}

/// An event for the core's event loop.
pub enum Input {
    /// A request arrived.
    Request {
        /// Its number.
        id: RequestId,
        /// What the front knows of it.
        arrival: Arrival,
        /// Starts its attempts.
        work: Arc<dyn AttemptSource>,
        /// Takes the final answer.
        answer: oneshot::Sender<Answer>,
    },
    /// The client closed its connection before the answer.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    Report {
        /// The request.
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// How it ended.
        report: Report,
    },
    /// An attempt asks to be the request's only one from now on.
    Bind {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// Takes whether it is.
        granted: oneshot::Sender<bool>,
    },
    /// An attempt asks to forward the beginning of its answer.
    AnswerBegan {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The node's report of its load.
        load: Load,
        /// The volume's use, as a fraction of its plan's rate.
        used: Option<f64>,
        /// Takes whether it may.
        granted: oneshot::Sender<bool>,
    },
    /// The last byte of a request's body arrived; its time runs from now on.
    BodyComplete {
        /// The request.
        id: RequestId,
    },
    /// An update of the node list.
    Nodes {
        /// What came.
        update: ListUpdate,
        /// The entries that came with it.
        nodes: Vec<ListedNode>,
    },
    /// New settings. Numbers of classes and plans keep their meaning; open requests keep the agreed rules
    /// under which they were admitted, but the policy reads their class and plan from the new settings.
    Settings {
        /// The settings.
        settings: Box<Settings>,
        /// Names of classes and plans by number.
        names: Names,
    },
    /// The agreed documents may have changed, or a lease ended.
    AgreementChanged,
    /// A message from another host.
    Peer {
        /// The other host's number.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A probe of a node ended.
    Probed {
        /// The node.
        node: NodeId,
        /// How long it took, microseconds.
        latency: Micros,
        /// How it ended.
        report: Report,
    },
    /// Another process of this host started or ended.
    CapacityShare {
        /// It runs: this process may use half of the host's capacity.
        halved: bool,
    },
    /// The process ends: all open requests get their final answers now.
    Finish,
}

/// Submits requests and updates to the core's event loop.
#[derive(Clone, Debug)]
pub struct Handle {
    pub(super) queue: mpsc::UnboundedSender<Input>,
    pub(super) last_id: Arc<AtomicU64>,
    pub(super) open: Arc<AtomicUsize>,
    pub(super) max_open: usize,
    pub(super) no_room: Arc<AtomicU64>,
    pub(super) metrics: Metrics,
    pub(super) capacity_share: CapacityShare,
}

impl Handle {
    /// The share of the host's capacity that this process may use.
    pub fn capacity_share(&self) -> CapacityShare {
        self.capacity_share.clone()
    }

    /// The metrics that operators read.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The number of requests that were rejected because too many were open.
    pub fn no_room(&self) -> u64 {
        self.no_room.load(Ordering::Relaxed)
    }

    /// Submits a request. `None`: too many are open, and it was rejected.
    pub fn submit(&self, arrival: Arrival, work: Arc<dyn AttemptSource>) -> Option<Pending> {
        if self.open.load(Ordering::Relaxed) >= self.capacity_share.of(self.max_open) {
            self.no_room.fetch_add(1, Ordering::Relaxed);
            self.metrics.count(arrival.class, Count::Dropped);
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        // The client's own id is not used: the policy's timer tokens come from the same range of numbers.
        let id = self.last_id.fetch_add(1, Ordering::Relaxed) + 1;
        let (answer, pending) = oneshot::channel();
        self.send(Input::Request { id, arrival, work, answer });
        let open = self.metrics.track_open();
        Some(Pending { id, answer: pending, answered: false, handle: self.clone(), _open: open })
    }

    /// Sends an event to the core.
    pub fn send(&self, input: Input) {
        // The core is gone only when the program ends.
        let _ = self.queue.send(input);
    }

    /// The number of open requests.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// A handle whose events go to a test.
    #[cfg(test)]
    pub fn overheard(&self) -> (Handle, mpsc::UnboundedReceiver<Input>) {
        let (queue, inputs) = mpsc::unbounded_channel();
        (Handle { queue, ..self.clone() }, inputs)
    }

    /// The context of an attempt that belongs to no request.
    #[cfg(test)]
    pub fn context(&self, address: String, wait: Duration) -> AttemptContext {
        let binder = AnswerBinder { handle: self.clone(), id: 0, attempt: 0 };
        AttemptContext { address, answer_by: Instant::now() + wait, write_state: Arc::default(), binder }
    }

    /// Returns a handle to the same core with a separate limit on open requests, for a front whose requests
    /// don't use a file descriptor each.
    pub fn with_room_for(&self, max_open: usize) -> Handle {
        Handle { open: Arc::default(), max_open, no_room: Arc::default(), ..self.clone() }
    }
}

/// A message to another host.
#[derive(Debug)]
pub struct Message {
    /// The other host's number; `None`: all others.
    pub to: Option<u32>,
    /// The message.
    pub bytes: Vec<u8>,
}

/// Sends messages to other hosts.
#[derive(Clone, Debug)]
pub struct PeerSender(mpsc::Sender<Message>);

impl PeerSender {
    /// A sender, and the receiver of its messages.
    pub fn new() -> (PeerSender, mpsc::Receiver<Message>) {
        let (peer_sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        (PeerSender(peer_sender), messages)
    }

    /// Queues a message without waiting; it is dropped when the queue is full.
    pub fn send(&self, to: Option<u32>, bytes: Vec<u8>) {
        if self.0.try_send(Message { to, bytes }).is_err() {
            debug!("message to peers dropped: the send queue is full");
        }
    }
}

/// Resolves to the final answer. Dropping it before that tells the core that the client has left.
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
    /// Tells the core when the request's body is complete.
    pub fn body_completion(&self) -> BodyCompletion {
        BodyCompletion { id: self.id, handle: self.handle.clone() }
    }

    /// The client has the complete answer: dropping this no longer means that it left.
    pub fn delivered(&mut self) {
        self.answered = true;
    }
}

/// Tells the core that a request's body is complete.
pub struct BodyCompletion {
    id: RequestId,
    handle: Handle,
}

impl BodyCompletion {
    /// The last byte of the body arrived.
    pub fn complete(&self) {
        self.handle.send(Input::BodyComplete { id: self.id });
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        self.handle.open.fetch_sub(1, Ordering::Relaxed);
        if !self.answered {
            self.handle.send(Input::ClientLeft { id: self.id });
        }
    }
}

/// Divisor of a client's wait that gives the largest margin.
const MARGIN_DIVISOR: u32 = 10;

/// Maximum number of queued messages to other hosts.
const MAX_QUEUED_MESSAGES: usize = 64;
