//! The event loop. One task owns the scheduling policy, its timers and the open requests; other tasks reach
//! it through a queue. It handles requests, attempts and outcomes independently of the protocol that carries
//! them.

mod agreement;
mod attempt;
mod handle;
mod nodes;
mod open;
mod requests;
mod starting;

pub use agreement::Agreed;
pub use attempt::{AnswerBinder, Attempt, AttemptContext, AttemptSource, Report, WriteState};
pub use handle::{
    Answer, Arrival, BodyCompletion, Handle, Input, Message, PeerSender, Pending, wait_less_margin,
};

use crate::attempt_end::AttemptEnd;
use crate::clock::Clock;
use crate::event;
use crate::events::pressure::Pressure;
use crate::events::requests::{Finish, RequestLog};
use crate::handover::CapacityShare;
use crate::index::wheel::{Key, TimerWheel};
use crate::interface::*;
use crate::metrics::{Count, Metrics};
use crate::policy::Policy;
use log::{debug, info};
use nodes::{Node, NodeIds};
use open::{OpenRequest, ResultCounts};
use std::collections::{BTreeMap, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant};

/// Time-out of a probe. A node either answers a probe without queueing it, or queues it, and then the
/// probe's latency includes the wait in the queue; an answer after this time carries no information.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum interval at which the policy's counts of nodes are copied into the metrics, microseconds.
const METRICS_MIN_INTERVAL: Micros = 50_000;
/// Interval of that copy when no event arrives, microseconds.
const METRICS_MAX_INTERVAL: Micros = 100_000;
/// One day in microseconds; no request is open for that long. It stands in for the deadline of a request
/// whose body is still arriving, and a node list that is usable for longer needs no timer.
const ONE_DAY: Micros = 86_400_000_000;
/// Interval between summaries of the requests that were not served, microseconds.
const SUMMARY_INTERVAL: Micros = 10_000_000;

/// What the event loop does when a timer fires.
enum TimerEvent {
    /// A timer of the policy, with the policy's token.
    Timer(u64),
    /// The deadline of a request.
    Deadline(RequestId),
    /// The node list is too old to start attempts from.
    Overdue,
}

/// The event loop and the state that it owns.
pub struct Core {
    policy: Policy,
    settings: Settings,
    seed: u64,
    clock: Clock,
    handle: Handle,
    inputs: mpsc::UnboundedReceiver<Input>,
    subscribe: mpsc::UnboundedSender<()>,
    requests: BTreeMap<RequestId, OpenRequest>,
    nodes: BTreeMap<NodeId, Node>,
    ids: NodeIds,
    zones: Vec<String>,
    known: Vec<NodeEntry>,
    timers: TimerWheel<TimerEvent>,
    /// Events that result from the policy's own actions; dispatched after all of these actions.
    events: VecDeque<Event>,
    /// A call of `dispatch` further up the stack is running.
    dispatching: bool,
    /// Reused buffer for the policy's actions.
    actions: Vec<Action>,
    request_log: Option<RequestLog>,
    /// Sends messages to peers and starts probes; `None` where the settings forbid it.
    peer_sender: Option<PeerSender>,
    probes: Option<Box<dyn AttemptSource>>,
    pressure: Pressure,
    result_counts: ResultCounts,
    metrics: Metrics,
    /// When the counts of nodes were last copied into the metrics; `None`: nobody reads the metrics.
    metrics_copied_at: Option<Micros>,
    /// The share of the host's capacity that the policy may use.
    capacity_share: f64,
    agreed: Option<Agreed>,
    /// The timer for the time at which the node list becomes overdue, and since when it has been overdue.
    list_timer: Option<Key>,
    overdue_since: Option<Micros>,
}

impl Core {
    /// Creates a core, and the receiver of its requests to subscribe to the node list.
    pub fn new(
        settings: Settings,
        seed: u64,
        max_open: usize,
        clock: Clock,
    ) -> (Core, mpsc::UnboundedReceiver<()>) {
        let (queue, inputs) = mpsc::unbounded_channel();
        let (subscribe, wanted) = mpsc::unbounded_channel();
        let (last_id, open, no_room, metrics) =
            (Arc::default(), Arc::default(), Arc::default(), Metrics::default());
        let (capacity_share, handle_metrics) = (CapacityShare::default(), metrics.clone());
        let handle =
            Handle { queue, last_id, open, max_open, no_room, metrics: handle_metrics, capacity_share };
        let policy = Policy::new(settings.clone(), seed);
        let core = Core {
            policy,
            settings,
            seed,
            clock,
            handle,
            inputs,
            subscribe,
            requests: BTreeMap::new(),
            nodes: BTreeMap::new(),
            ids: NodeIds::default(),
            zones: Vec::new(),
            known: Vec::new(),
            timers: TimerWheel::new(clock.now()),
            events: VecDeque::new(),
            dispatching: false,
            actions: Vec::new(),
            request_log: None,
            peer_sender: None,
            probes: None,
            pressure: Pressure::default(),
            result_counts: ResultCounts::default(),
            metrics,
            metrics_copied_at: None,
            capacity_share: 1.0,
            agreed: None,
            list_timer: None,
            overdue_since: None,
        };
        (core, wanted)
    }

    /// Returns a handle to this core.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Sets which finished requests are reported as log events.
    pub fn set_request_log(&mut self, request_log: RequestLog) {
        self.request_log = Some(request_log);
    }

    /// Sets the sender of messages to peers.
    pub fn set_peer_sender(&mut self, peer_sender: PeerSender) {
        self.peer_sender = Some(peer_sender);
    }

    /// Sets the source of probes.
    pub fn set_probes(&mut self, probes: Box<dyn AttemptSource>) {
        self.probes = Some(probes);
    }

    /// Makes the host act by the agreed documents. Until it has read them, it starts no attempt.
    pub fn set_agreement(&mut self, agreed: Agreed) {
        self.settings = agreed.rules.settings();
        self.agreed = Some(agreed);
        self.dispatch(Event::Settings(Box::new(self.settings.clone())));
    }

    /// Enables the regular copy of node counts into the metrics, which also shows that the event loop runs.
    pub fn enable_metrics(&mut self) {
        self.metrics_copied_at = Some(0);
    }

    fn copy_metrics(&mut self) {
        let now = self.clock.now();
        if self.metrics_copied_at.is_some_and(|at| now >= at + METRICS_MIN_INTERVAL) {
            self.metrics_copied_at = Some(now);
            let (known, skipped) = self.policy.node_counts(now);
            self.metrics.set_storage_nodes(known, skipped);
            self.metrics.report_alive(Instant::now());
        }
    }

    /// Runs the event loop. It ends only when its task is dropped: `Core` holds a [`Handle`] itself, so the
    /// channel of inputs never closes.
    pub async fn run(mut self) {
        loop {
            self.copy_metrics();
            let copy = self.metrics_copied_at.map(|at| at.max(self.clock.now()) + METRICS_MAX_INTERVAL);
            let next = self.timers.next_due().into_iter().chain(copy).min().map(|at| self.clock.instant(at));
            let sleep = async {
                match next {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            // Queued input comes first: an answer takes precedence over the time-out of its attempt.
            tokio::select! {
                biased;
                input = self.inputs.recv() => match input {
                    Some(input) => self.on_input(input),
                    None => return,
                },
                () = sleep => {}
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.on_input(input);
            }
            self.run_timers();
        }
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Request { id, arrival, work, answer } => self.request(id, arrival, work, answer),
            Input::ClientLeft { id } => self.client_left(id),
            Input::Report { id, attempt, report } => self.outcome(id, attempt, report),
            Input::Bind { id, attempt, granted } => {
                // The attempt may have been cancelled meanwhile; then there is no receiver.
                let _ = granted.send(self.bind(id, attempt));
            }
            Input::AnswerBegan { id, attempt, load, used, granted } => {
                let _ = granted.send(self.begin_answer(id, attempt, load, used)); // as for Bind
            }
            Input::BodyComplete { id } => self.body_complete(id),
            Input::Nodes { update, nodes } => self.on_nodes(update, nodes),
            Input::Settings { settings, names } => {
                self.metrics.name_classes(&names.classes);
                self.request_log
                    .iter_mut()
                    .for_each(|request_log| request_log.classes.clone_from(&names.classes));
                self.settings = match &mut self.agreed {
                    Some(agreed) => {
                        agreed.rules.rebase(*settings, names);
                        agreed.rules.settings()
                    }
                    None => *settings,
                };
                self.dispatch(Event::Settings(Box::new(self.settings.clone())));
            }
            Input::AgreementChanged => self.refresh_agreement(),
            Input::CapacityShare { halved } => {
                self.capacity_share = if halved { 0.5 } else { 1.0 };
                self.dispatch(Event::CapacityShare { share: self.capacity_share });
            }
            Input::Peer { from, bytes } => self.dispatch(Event::Peer { from, bytes }),
            Input::Probed { node, latency, report } => {
                let (result, load) = (report.end.result(), report.load);
                self.dispatch(Event::Probed { node, result, latency, load });
            }
            Input::Finish => {
                let open: Vec<RequestId> = self.requests.keys().copied().collect();
                open.into_iter().for_each(|id| self.answer(id, Answer::Failed));
            }
        }
    }

    /// Passes an event to the policy and carries out its actions; then does the same with each event that
    /// resulted.
    fn dispatch(&mut self, event: Event) {
        self.events.push_back(event);
        if std::mem::replace(&mut self.dispatching, true) {
            return; // the loop below, further up the stack, takes it in turn
        }
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            let changes = self.apply_agreement();
            if !changes.is_empty() {
                self.events.push_front(event);
                changes.into_iter().rev().for_each(|event| self.events.push_front(event));
                continue;
            }
            let now = self.clock.now();
            let result = catch_unwind(AssertUnwindSafe(|| self.policy.handle(now, event, &mut actions)));
            if result.is_err() {
                actions.clear();
                self.restart_policy();
            }
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
        }
        (self.actions, self.dispatching) = (actions, false);
    }

    /// Replaces the policy after a panic, since its state may be inconsistent. All open requests fail; the
    /// new policy starts from the node list.
    fn restart_policy(&mut self) {
        event!(MODULE_PANIC, open = self.requests.len());
        self.policy = Policy::new(self.settings.clone(), self.seed);
        self.events.clear();
        for (_, mut open) in std::mem::take(&mut self.requests) {
            open.attempts.iter().flatten().for_each(|in_flight| in_flight.task.abort());
            if let Some(answer) = open.answer.take() {
                let _ = answer.send(Answer::Failed);
                self.result_counts.counts[Finish::Failed as usize] += 1;
                self.metrics.count(open.class, Count::BadGateway);
            }
        }
        (self.timers, self.list_timer) = (TimerWheel::new(self.clock.now()), None);
        self.nodes.values_mut().for_each(|node| node.in_flight = 0);
        self.events.push_back(Event::CapacityShare { share: self.capacity_share });
        self.events.push_back(Event::Nodes { update: ListUpdate::Cached, nodes: self.known.clone() });
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, node, time_out, write_by } => {
                self.start_attempt(now, request, node, time_out, write_by);
            }
            Action::Refuse { request, retry_in } => {
                self.answer(request, Answer::Refused(Duration::from_micros(retry_in)));
            }
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.stop_attempt(request, attempt, AttemptEnd::CalledOff),
            Action::Timer { after, token } => {
                // The policy never cancels a timer.
                self.timers.insert(now + after, TimerEvent::Timer(token));
            }
            Action::Subscribe => {
                let _ = self.subscribe.send(());
            }
            Action::Log(text) => info!("{text}"),
            Action::Probe { node } => self.probe(node),
            Action::SendToPeer { peer, bytes } => match &self.peer_sender {
                Some(peer_sender) => peer_sender.send(peer, bytes),
                None => debug!("message to peers dropped: peer messaging is off"),
            },
        }
    }
}

#[cfg(test)]
mod tests;
