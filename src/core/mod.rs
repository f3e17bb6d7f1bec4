//! One task owns the module, its timers and the open requests; all else reaches it through a queue. It deals
//! in requests, attempts and outcomes, whatever wire they come by.

mod agreement;
mod attempt;
mod handle;
mod nodes;
mod open;
mod requests;
mod starting;

pub use agreement::Agreed;
pub use attempt::{AnswerBinder, Attempt, AttemptContext, AttemptSource, Report, WriteState};
pub use handle::{Answer, Arrival, BodyCompletion, Handle, Input, Message, PeerSender, Pending, less_margin};

use crate::attempt_end::AttemptEnd;
use crate::clock::Clock;
use crate::event;
use crate::events::pressure::Pressure;
use crate::events::requests::{Finish, Telling};
use crate::figures::{Count, Figures};
use crate::handover::Part;
use crate::index::wheel::{Key, Wheel};
use crate::interface::*;
use crate::policy::Policy;
use log::{debug, info};
use nodes::{Node, NodeIds};
use open::{OpenRequest, ResultCounts};
use std::collections::{BTreeMap, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant};

/// A probe is answered beside the queue, or tells that the queue is long; later it tells nothing.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// The module's view of nodes is copied into the figures so often at most, and so often where nothing
/// happens.
const METRICS_MIN_INTERVAL: Micros = 50_000;
const METRICS_MAX_INTERVAL: Micros = 100_000;
/// Longer than any request is open.
const DAY: Micros = 86_400_000_000;
/// How often requests that were not served are summed up.
const SUMMARY_INTERVAL: Micros = 10_000_000;

enum TimerEvent {
    Timer(u64),
    Deadline(RequestId),
    /// The list of nodes may be rested on no longer.
    Overdue,
}

/// The event loop and all that it owns.
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
    timers: Wheel<TimerEvent>,
    /// Events that follow from the module's own actions; told after those are all carried out.
    events: VecDeque<Event>,
    /// The module is being told, further up the stack.
    dispatching: bool,
    /// Room for its actions, used again.
    actions: Vec<Action>,
    request_log: Option<Telling>,
    /// How other heads are told something, and how a node is probed, where the settings allow it.
    peer_sender: Option<PeerSender>,
    probes: Option<Box<dyn AttemptSource>>,
    pressure: Pressure,
    result_counts: ResultCounts,
    figures: Figures,
    /// Somebody reads the figures: those that are copied are copied again and again, last at this time.
    metrics_copied_at: Option<Micros>,
    /// What the module was told of this process's part of the head.
    part: f64,
    agreed: Option<Agreed>,
    /// When the list is overdue, and since when it has been.
    list_timer: Option<Key>,
    overdue_since: Option<Micros>,
}

impl Core {
    /// A core, and the receiver of its requests to subscribe to the node list.
    pub fn new(
        settings: Settings,
        seed: u64,
        max_open: usize,
        clock: Clock,
    ) -> (Core, mpsc::UnboundedReceiver<()>) {
        let (queue, inputs) = mpsc::unbounded_channel();
        let (subscribe, wanted) = mpsc::unbounded_channel();
        let (last, open, no_room, figures) =
            (Arc::default(), Arc::default(), Arc::default(), Figures::default());
        let (part, counted) = (Part::default(), figures.clone());
        let handle = Handle { queue, last, open, max_open, no_room, figures: counted, part };
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
            timers: Wheel::new(clock.now()),
            events: VecDeque::new(),
            dispatching: false,
            actions: Vec::new(),
            request_log: None,
            peer_sender: None,
            probes: None,
            pressure: Pressure::default(),
            result_counts: ResultCounts::default(),
            figures,
            metrics_copied_at: None,
            part: 1.0,
            agreed: None,
            list_timer: None,
            overdue_since: None,
        };
        (core, wanted)
    }

    /// A handle to this core.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Tells requests at their ends, as events.
    pub fn set_request_log(&mut self, request_log: Telling) {
        self.request_log = Some(request_log);
    }

    /// From here on other heads can be told something.
    pub fn set_peer_sender(&mut self, peer_sender: PeerSender) {
        self.peer_sender = Some(peer_sender);
    }

    /// From here on nodes can be probed.
    pub fn set_probes(&mut self, probes: Box<dyn AttemptSource>) {
        self.probes = Some(probes);
    }

    /// From here on the head acts by what the heads agree on, and before it knows of that, not at all.
    pub fn set_agreement(&mut self, agreed: Agreed) {
        self.settings = agreed.rules.settings();
        self.agreed = Some(agreed);
        self.tell(Event::Settings(Box::new(self.settings.clone())));
    }

    /// Keeps the figures that are copied fresh, and says that it runs.
    pub fn enable_metrics(&mut self) {
        self.metrics_copied_at = Some(0);
    }

    fn copy_metrics(&mut self) {
        let now = self.clock.now();
        if self.metrics_copied_at.is_some_and(|at| now >= at + METRICS_MIN_INTERVAL) {
            self.metrics_copied_at = Some(now);
            let (known, skipped) = self.policy.node_counts(now);
            self.figures.set_storage_nodes(known, skipped);
            self.figures.beat(Instant::now());
        }
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        loop {
            self.copy_metrics();
            let copy = self.metrics_copied_at.map(|at| at.max(self.clock.now()) + METRICS_MAX_INTERVAL);
            let next = self.timers.next_due().into_iter().chain(copy).min().map(|at| self.clock.instant(at));
            let asleep = async {
                match next {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            // What has come in goes first: an answer beats the time-out of its attempt.
            tokio::select! {
                biased;
                input = self.inputs.recv() => match input {
                    Some(input) => self.on_input(input),
                    None => return,
                },
                () = asleep => {}
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
                // Whoever asked may have been given up meanwhile; then nobody hears of it.
                let _ = granted.send(self.bind(id, attempt));
            }
            Input::AnswerBegan { id, attempt, load, used, granted } => {
                let _ = granted.send(self.begin_answer(id, attempt, load, used)); // nobody hears of it, likewise
            }
            Input::BodyComplete { id } => self.whole(id),
            Input::Nodes { news, nodes } => self.on_nodes(news, nodes),
            Input::Settings { settings, names } => {
                self.figures.name_classes(&names.classes);
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
                self.tell(Event::Settings(Box::new(self.settings.clone())));
            }
            Input::AgreementChanged => self.refresh_agreement(),
            Input::CapacityShare { halved } => {
                self.part = if halved { 0.5 } else { 1.0 };
                self.tell(Event::CapacityShare { share: self.part });
            }
            Input::Peer { from, bytes } => self.tell(Event::Peer { from, bytes }),
            Input::Probed { node, latency, report } => {
                let (result, load) = (report.end.result(), report.load);
                self.tell(Event::Probed { node, result, latency, load });
            }
            Input::Finish => {
                let open: Vec<RequestId> = self.requests.keys().copied().collect();
                open.into_iter().for_each(|id| self.answer(id, Answer::Failed));
            }
        }
    }

    /// Tells the module, carries out what it asks for, then tells it what followed from that.
    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        if std::mem::replace(&mut self.dispatching, true) {
            return; // the loop below, further up the stack, comes to it in turn
        }
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            let before = self.apply_agreement();
            if !before.is_empty() {
                self.events.push_front(event);
                before.into_iter().rev().for_each(|event| self.events.push_front(event));
                continue;
            }
            let now = self.clock.now();
            let done = catch_unwind(AssertUnwindSafe(|| self.policy.handle(now, event, &mut actions)));
            if done.is_err() {
                actions.clear();
                self.restart_module();
            }
            for action in actions.drain(..) {
                self.carry_out(now, action);
            }
        }
        (self.actions, self.dispatching) = (actions, false);
    }

    /// A module that panicked knows nothing for certain: all that it held fails, a new one starts from the
    /// list.
    fn restart_module(&mut self) {
        event!(MODULE_PANIC, open = self.requests.len());
        self.policy = Policy::new(self.settings.clone(), self.seed);
        self.events.clear();
        for (_, mut open) in std::mem::take(&mut self.requests) {
            open.attempts.iter().flatten().for_each(|out| out.task.abort());
            if let Some(answer) = open.answer.take() {
                let _ = answer.send(Answer::Failed);
                self.result_counts.counts[Finish::Failed as usize] += 1;
                self.figures.count(open.class, Count::BadGateway);
            }
        }
        (self.timers, self.list_timer) = (Wheel::new(self.clock.now()), None);
        self.nodes.values_mut().for_each(|node| node.out = 0);
        self.events.push_back(Event::CapacityShare { share: self.part });
        self.events.push_back(Event::Nodes { update: ListUpdate::Cached, nodes: self.known.clone() });
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, node, time_out, write_by } => {
                self.start(now, request, node, time_out, write_by);
            }
            Action::Refuse { request, retry_in } => {
                self.answer(request, Answer::Refused(Duration::from_micros(retry_in)));
            }
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.stop_attempt(request, attempt, AttemptEnd::CalledOff),
            Action::Timer { after, token } => {
                // The module never takes one back.
                self.timers.insert(now + after, TimerEvent::Timer(token));
            }
            Action::Subscribe => {
                let _ = self.subscribe.send(());
            }
            Action::Log(text) => info!("{text}"),
            Action::Probe { node } => self.probe(node),
            Action::SendToPeer { peer, bytes } => match &self.peer_sender {
                Some(peer_sender) => peer_sender.say(peer, bytes),
                None => debug!("there is nobody to tell"),
            },
        }
    }
}

#[cfg(test)]
mod tests;
