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
pub use attempt::{Attempt, Begun, Binder, Report, Try, Work};
pub use handle::{Answer, Arrival, Handle, Input, Message, Mouth, Pending, Teller, less_margin};

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
use open::{Ends, Open};
use std::collections::{BTreeMap, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{Duration, Instant};

/// A probe is answered beside the queue, or tells that the queue is long; later it tells nothing.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// The module's view of nodes is copied into the figures so often at most, and so often where nothing
/// happens.
const COPY_APART: Micros = 50_000;
const COPY_IDLE: Micros = 100_000;
/// Longer than any request is open.
const DAY: Micros = 86_400_000_000;
/// How often requests that were not served are summed up.
const SUM_UP: Micros = 10_000_000;

enum Due {
    Timer(u64),
    Deadline(RequestId),
    /// The list of nodes may be rested on no longer.
    Overdue,
}

pub struct Core {
    policy: Policy,
    settings: Settings,
    seed: u64,
    clock: Clock,
    handle: Handle,
    inputs: mpsc::UnboundedReceiver<Input>,
    subscribe: mpsc::UnboundedSender<()>,
    requests: BTreeMap<RequestId, Open>,
    nodes: BTreeMap<NodeId, Node>,
    ids: NodeIds,
    zones: Vec<String>,
    known: Vec<NodeEntry>,
    due: Wheel<Due>,
    /// Events that follow from the module's own actions; told after those are all carried out.
    events: VecDeque<Event>,
    /// The module is being told, further up the stack.
    told: bool,
    /// Room for its actions, used again.
    actions: Vec<Action>,
    telling: Option<Telling>,
    /// How other heads are told something, and how a node is probed, where the settings allow it.
    mouth: Option<Mouth>,
    probes: Option<Box<dyn Work>>,
    pressure: Pressure,
    ends: Ends,
    figures: Figures,
    /// Somebody reads the figures: those that are copied are copied again and again, last at this time.
    copied: Option<Micros>,
    /// What the module was told of this process's part of the head.
    part: f64,
    agreed: Option<Agreed>,
    /// When the list is overdue, and since when it has been.
    overdue: Option<Key>,
    overdue_since: Option<Micros>,
}

impl Core {
    /// Whoever holds the receiver watches discovery when told to.
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
            due: Wheel::new(clock.now()),
            events: VecDeque::new(),
            told: false,
            actions: Vec::new(),
            telling: None,
            mouth: None,
            probes: None,
            pressure: Pressure::default(),
            ends: Ends::default(),
            figures,
            copied: None,
            part: 1.0,
            agreed: None,
            overdue: None,
            overdue_since: None,
        };
        (core, wanted)
    }

    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Tells requests at their ends, as events.
    pub fn tell_requests(&mut self, telling: Telling) {
        self.telling = Some(telling);
    }

    /// From here on other heads can be told something.
    pub fn talk_by(&mut self, mouth: Mouth) {
        self.mouth = Some(mouth);
    }

    /// From here on nodes can be probed.
    pub fn probe_by(&mut self, probes: Box<dyn Work>) {
        self.probes = Some(probes);
    }

    /// From here on the head acts by what the heads agree on, and before it knows of that, not at all.
    pub fn agree_by(&mut self, agreed: Agreed) {
        self.settings = agreed.rules.settings();
        self.agreed = Some(agreed);
        self.tell(Event::Settings(Box::new(self.settings.clone())));
    }

    /// Keeps the figures that are copied fresh, and says that it runs.
    pub fn keep_figures(&mut self) {
        self.copied = Some(0);
    }

    fn copy_figures(&mut self) {
        let now = self.clock.now();
        if self.copied.is_some_and(|at| now >= at + COPY_APART) {
            self.copied = Some(now);
            let (known, skipped) = self.policy.node_counts(now);
            self.figures.bricks(known, skipped);
            self.figures.beat(Instant::now());
        }
    }

    pub async fn run(mut self) {
        loop {
            self.copy_figures();
            let copy = self.copied.map(|at| at.max(self.clock.now()) + COPY_IDLE);
            let next = self.due.next_due().into_iter().chain(copy).min().map(|at| self.clock.instant(at));
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
                    Some(input) => self.take(input),
                    None => return,
                },
                () = asleep => {}
            }
            while let Ok(input) = self.inputs.try_recv() {
                self.take(input);
            }
            self.fire();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Request { id, arrival, work, answer } => self.request(id, arrival, work, answer),
            Input::Left { id } => self.left(id),
            Input::Report { id, attempt, report } => self.outcome(id, attempt, report),
            Input::Bind { id, attempt, granted } => {
                // Whoever asked may have been given up meanwhile; then nobody hears of it.
                let _ = granted.send(self.bind(id, attempt));
            }
            Input::Begin { id, attempt, load, used, granted } => {
                let _ = granted.send(self.begin(id, attempt, load, used)); // nobody hears of it, likewise
            }
            Input::Whole { id } => self.whole(id),
            Input::Nodes { news, nodes } => self.on_nodes(news, nodes),
            Input::Settings { settings, names } => {
                self.figures.name_classes(&names.classes);
                self.telling.iter_mut().for_each(|telling| telling.classes.clone_from(&names.classes));
                self.settings = match &mut self.agreed {
                    Some(agreed) => {
                        agreed.rules.rebase(*settings, names);
                        agreed.rules.settings()
                    }
                    None => *settings,
                };
                self.tell(Event::Settings(Box::new(self.settings.clone())));
            }
            Input::Look => self.look_first(),
            Input::Part { halved } => {
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
        if std::mem::replace(&mut self.told, true) {
            return; // the loop below, further up the stack, comes to it in turn
        }
        let mut actions = std::mem::take(&mut self.actions);
        while let Some(event) = self.events.pop_front() {
            let before = self.look();
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
                self.act(now, action);
            }
        }
        (self.actions, self.told) = (actions, false);
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
                self.ends.counts[Finish::Failed as usize] += 1;
                self.figures.count(open.class, Count::BadGateway);
            }
        }
        (self.due, self.overdue) = (Wheel::new(self.clock.now()), None);
        self.nodes.values_mut().for_each(|node| node.out = 0);
        self.events.push_back(Event::CapacityShare { share: self.part });
        self.events.push_back(Event::Nodes { update: ListUpdate::Cached, nodes: self.known.clone() });
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, node, time_out, write_by } => {
                self.start(now, request, node, time_out, write_by);
            }
            Action::Refuse { request, retry_in } => {
                self.answer(request, Answer::Refused(Duration::from_micros(retry_in)));
            }
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.stop(request, attempt, AttemptEnd::CalledOff),
            Action::Timer { after, token } => {
                // The module never takes one back.
                self.due.insert(now + after, Due::Timer(token));
            }
            Action::Subscribe => {
                let _ = self.subscribe.send(());
            }
            Action::Log(text) => info!("{text}"),
            Action::Probe { node } => self.probe(node),
            Action::SendToPeer { peer, bytes } => match &self.mouth {
                Some(mouth) => mouth.say(peer, bytes),
                None => debug!("there is nobody to tell"),
            },
        }
    }
}

#[cfg(test)]
mod tests;
