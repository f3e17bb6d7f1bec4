//! One task owns the module, its timers and the open requests; all else reaches it through a queue. It deals in
//! requests, attempts and outcomes, whatever wire they come by.

use crate::agree::document::Level;
use crate::agree::holder::View;
use crate::agree::rules::{Came, Names, Reading, Rules};
use crate::clock::{Clock, Pace, micros};
use crate::config::{ListedNode, ListedState, fnv};
use crate::ending::End;
use crate::event;
use crate::events::pressure::Pressure;
use crate::events::requests::{Finish, Telling, Tried, Volume, Why, ending_name};
use crate::figures::{Count, Figures, InProgress};
use crate::handover::Part;
use crate::index::wheel::{Key, Wheel};
use crate::interface::*;
use crate::policy::Policy;
use bytes::Bytes;
use futures_util::FutureExt;
use log::{debug, info};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
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

/// What a client's time leaves for its request: what is kept back for the ways in and out is a part of it at most, or
/// clients that wait for as long as that would never be served.
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

/// What an attempt came to.
#[derive(Debug)]
pub struct Report {
    pub end: End,
    pub body: Bytes,
    pub load: Load,
    pub used: Option<f64>,
}

impl From<End> for Report {
    fn from(end: End) -> Self {
        Report { end, body: Bytes::new(), load: Load::default(), used: None }
    }
}

/// Told by the backend as soon as a byte of the attempt may be on the wire, and when its last one is.
#[derive(Debug, Default)]
pub struct Begun {
    begun: AtomicBool,
    refused: AtomicBool,
    whole: OnceLock<Instant>,
    client: Client,
    class: usize,
    figures: Figures,
}

/// Whoever asked for an attempt.
#[derive(Default)]
struct Client(Option<Arc<dyn Work>>);

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
    handle: Handle,
    id: RequestId,
    attempt: u32,
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
        news: News,
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
        took: Micros,
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
    queue: mpsc::UnboundedSender<Input>,
    last: Arc<AtomicU64>,
    open: Arc<AtomicUsize>,
    max_open: usize,
    no_room: Arc<AtomicU64>,
    figures: Figures,
    part: Part,
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

    /// The same core with a bound of its own on open requests, for a front whose requests hold no descriptor each.
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

/// By which the core acts on what the heads agree on.
#[derive(Debug)]
pub struct Agreed {
    pub rules: Rules,
    /// What this head knows, as it is at this moment.
    pub view: Arc<Mutex<View>>,
    pub pace: Pace,
}

impl Agreed {
    fn view(&self) -> View {
        self.view.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

struct Out {
    node: NodeId,
    sent: Micros,
    begun: Arc<Begun>,
    task: AbortHandle,
}

impl Out {
    /// A node begins a request with its last byte: what a slow client takes to send it is no part of the answer's time.
    fn took(&self, clock: Clock, coming: bool) -> Micros {
        match self.begun.whole.get().filter(|_| coming) {
            Some(whole) => micros(whole.elapsed()),
            None => clock.now().saturating_sub(self.sent),
        }
    }
}

struct Open {
    work: Arc<dyn Work>,
    answer: Option<oneshot::Sender<Answer>>,
    answer_by: Micros,
    /// Each attempt by its number; `None` once its outcome is told.
    attempts: Vec<Option<Out>>,
    /// The attempt that the request goes on with, whatever comes of it.
    bound: Option<u32>,
    /// Where requests are told.
    noted: Option<Box<Noted>>,
    /// `None`: its time does not run yet, or no longer.
    deadline: Option<Key>,
    /// Its time, where that begins with its last byte.
    coming: Option<Micros>,
    /// It was taken before its last byte came.
    came: bool,
    /// The module has its outcome, and the rest of the answer is being passed on.
    passing: bool,
    class: usize,
    max_attempts: u32,
    /// The agreed rules that it came under.
    under: Option<Came>,
    /// An attempt may have run.
    ran: bool,
}

/// What is told of a request at its end.
struct Noted {
    volume: VolumeId,
    plan: usize,
    class: usize,
    units: f64,
    arrived: Micros,
    /// By their numbers, those that never started too.
    tried: Vec<Tried>,
}

/// Requests by their ends, since when.
#[derive(Default)]
struct Ends {
    counts: [u64; 4],
    no_room: u64,
    since: Micros,
}

const MARGIN_PART: u32 = 10;
/// Messages to other heads that wait to be sent.
const MESSAGES: usize = 64;
/// A probe is answered beside the queue, or tells that the queue is long; later it tells nothing.
const PROBE_TIME: Duration = Duration::from_secs(1);
/// The module's view of nodes is copied into the figures so often at most, and so often where nothing happens.
const COPY_APART: Micros = 50_000;
const COPY_IDLE: Micros = 100_000;
/// Longer than any request is open.
const DAY: Micros = 86_400_000_000;
/// From the look at the rules to the act: beyond this it is told.
const LATE_ACT: Micros = 100_000;
/// How often requests that were not served are summed up.
const SUM_UP: Micros = 10_000_000;

impl Open {
    fn over(&self) -> bool {
        self.answer.is_none()
    }

    fn note(&mut self, sent: Micros, attempt: u32, node: String, ending: Option<Ending>) {
        let Some(noted) = &mut self.noted else { return };
        let why = match noted.tried.last() {
            None => Why::First,
            _ if self.attempts.iter().any(Option::is_some) => Why::Copy,
            Some(before) => Why::Another(before.ending.unwrap_or(Ending::Moot)),
        };
        noted.tried.resize_with(attempt as usize, || Tried {
            node: String::new(),
            why,
            ending: Some(Ending::Moot),
            sent,
            took: 0,
        });
        noted.tried.push(Tried { node, why, ending, sent, took: 0 });
    }
}

struct Node {
    id: String,
    address: String,
    /// In service by the list; and not taken out by what the heads agree on.
    listed: bool,
    ready: bool,
    /// Off the list: released, with its number, once nothing is out there that could still name it.
    gone: bool,
    out: usize,
}

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
            let (known, skipped) = self.policy.bricks(now);
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
                self.tell(Event::Part { part: self.part });
            }
            Input::Peer { from, bytes } => self.tell(Event::Peer { from, bytes }),
            Input::Probed { node, took, report } => {
                let (ending, load) = (report.end.ending(), report.load);
                self.tell(Event::Probed { node, ending, took, load });
            }
            Input::Finish => {
                let open: Vec<RequestId> = self.requests.keys().copied().collect();
                open.into_iter().for_each(|id| self.answer(id, Answer::Failed));
            }
        }
    }

    fn request(
        &mut self,
        id: RequestId,
        arrival: Arrival,
        work: Arc<dyn Work>,
        answer: oneshot::Sender<Answer>,
    ) {
        self.look_first();
        let now = self.clock.now();
        let under = self.agreed.as_ref().map(|agreed| agreed.rules.came(arrival.class));
        let agreed_plan = self.agreed.as_ref().and_then(|agreed| agreed.rules.plan(arrival.volume));
        let arrival = Arrival { plan: agreed_plan.unwrap_or(arrival.plan), ..arrival };
        let coming = arrival.coming.map(micros);
        let time_left = micros(arrival.answer_by.saturating_duration_since(Instant::now()));
        let (answer_by, deadline) = match coming {
            // Whoever sends it sees to it that it comes.
            Some(_) => (now + DAY, None),
            None => (now + time_left, Some(self.due.insert(now + time_left, Due::Deadline(id)))),
        };
        let noted = self.telling.as_ref().map(|_| {
            let Arrival { volume, plan, class, units, .. } = arrival;
            Box::new(Noted { volume, plan, class, units, arrived: now, tried: Vec::new() })
        });
        let open = Open {
            work,
            answer: Some(answer),
            answer_by,
            attempts: Vec::new(),
            bound: None,
            noted,
            deadline,
            coming,
            came: coming.is_some(),
            passing: false,
            class: arrival.class,
            max_attempts: self.settings.max_attempts,
            under,
            ran: false,
        };
        self.requests.insert(id, open);
        let Arrival { volume, key, class, plan, units, volume_hosts, repeat, shard, .. } = arrival;
        self.tell(Event::Request(Request {
            id,
            volume,
            key,
            class,
            plan,
            units,
            volume_hosts,
            time_left,
            repeat,
            shard,
        }));
    }

    /// Its client has gone, once.
    fn left(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if open.answer.take().is_none() {
            return;
        }
        self.finish(id, Finish::Left);
        if self.requests.get(&id).is_some_and(|open| open.passing) {
            return self.stop_all(id, End::CalledOff);
        }
        self.tell(Event::ClientLeft { request: id });
        self.drop_unfinished(id);
        self.forget(id);
    }

    /// The module hears of it as the beginning of an answer: after that it sends the request nowhere else.
    fn bind(&mut self, id: RequestId, attempt: u32) -> bool {
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.over()) else { return false };
        let out = open.attempts.get(attempt as usize).is_some_and(Option::is_some);
        if !out || open.bound.is_some_and(|bound| bound != attempt) {
            return false;
        }
        if open.bound.replace(attempt).is_none() {
            let others = 0..open.attempts.len() as u32;
            self.tell(Event::AnswerBegan { request: id, attempt });
            others.filter(|other| *other != attempt).for_each(|other| self.stop(id, other, End::CalledOff));
        }
        true
    }

    /// The module hears of a good answer with its beginning: what a slow client takes of the rest keeps no token and
    /// tells nothing of the node.
    fn begin(&mut self, id: RequestId, attempt: u32, load: Load, used: Option<f64>) -> bool {
        if !self.bind(id, attempt) {
            return false;
        }
        let Some(open) = self.requests.get_mut(&id).filter(|open| !open.passing) else { return false };
        let Some(Some(out)) = open.attempts.get(attempt as usize) else { return false };
        open.passing = true;
        let (node, took) = (out.node, out.took(self.clock, open.came));
        if let Some(key) = open.deadline.take() {
            self.due.remove(key);
        }
        let (ending, over) = (Ending::Served, true);
        self.tell(Event::Outcome(Outcome { request: id, attempt, node, ending, took, over, used, load }));
        true
    }

    fn whole(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        if let Some(time) = open.coming.take().filter(|_| !open.passing && !open.over()) {
            open.answer_by = self.clock.now() + time;
            open.deadline = Some(self.due.insert(open.answer_by, Due::Deadline(id)));
        }
    }

    /// The rest of an answer has come to its end, good or bad, or its client has gone.
    fn passed(&mut self, id: RequestId, attempt: u32, end: End) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(out) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        out.task.abort();
        if let Some(tried) = open.noted.as_mut().and_then(|noted| noted.tried.get_mut(attempt as usize)) {
            (tried.ending, tried.took) = (Some(end.ending()), self.clock.now().saturating_sub(out.sent));
        }
        let answer = open.answer.take();
        if let Some(node) = self.nodes.get_mut(&out.node) {
            node.out -= 1;
        }
        if let Some(answer) = answer {
            let good = end == End::Answered;
            let _ = answer.send(if good { Answer::Served(Bytes::new()) } else { Answer::Failed });
            self.finish(id, if good { Finish::Served } else { Finish::Failed });
        }
        self.forget(id);
        self.release_nodes();
    }

    fn outcome(&mut self, id: RequestId, attempt: u32, report: Report) {
        if self.requests.get(&id).is_some_and(|open| open.passing) {
            return self.passed(id, attempt, report.end);
        }
        let Some(open) = self.requests.get_mut(&id) else { return };
        // A report that crossed with the attempt's time-out or cancel is of no use any more.
        let Some(out) = open.attempts.get_mut(attempt as usize).and_then(Option::take) else { return };
        if let Some(node) = self.nodes.get_mut(&out.node) {
            node.out -= 1;
        }
        let took = out.took(self.clock, open.came);
        debug!(request = id, attempt, node = out.node, took, end:? = report.end; "attempt ended");
        let idle = matches!(report.end.ending(), Ending::Full | Ending::ConnectFailed | Ending::Moot);
        open.ran |= !idle;
        if let Some(tried) = open.noted.as_mut().and_then(|noted| noted.tried.get_mut(attempt as usize)) {
            (tried.ending, tried.took) = (Some(report.end.ending()), took);
        }
        if report.end == End::Answered
            && let Some(answer) = open.answer.take()
        {
            let _ = answer.send(Answer::Served(report.body));
            self.finish(id, Finish::Served);
        }
        let over = self.requests.get(&id).is_none_or(Open::over);
        self.tell(Event::Outcome(Outcome {
            request: id,
            attempt,
            node: out.node,
            ending: report.end.ending(),
            took,
            over,
            used: report.used,
            load: report.load,
        }));
        if over {
            self.drop_unsent(id, |_| true);
        }
        self.forget(id);
        if self.nodes.get(&out.node).is_some_and(|node| node.gone && node.out == 0) {
            self.release_nodes();
        }
    }

    fn on_nodes(&mut self, news: News, listed: Vec<ListedNode>) {
        self.look_first();
        if matches!(news, News::Watched | News::Beat | News::Silent | News::Moved) {
            if news == News::Silent {
                self.figures.silence();
            }
            self.tell(Event::Nodes { news, nodes: Vec::new() });
            return self.watch_list();
        }
        let mut entries = Vec::with_capacity(listed.len());
        for node in &listed {
            let id = self.ids.of(&node.id);
            let zone = self.zones.iter().position(|zone| *zone == node.zone).unwrap_or_else(|| {
                self.zones.push(node.zone.clone());
                self.zones.len() - 1
            });
            let state = match node.state {
                ListedState::InService if self.takes(&node.id) => NodeState::Ready,
                ListedState::InService => NodeState::Draining,
                ListedState::Terminating => NodeState::Draining,
                ListedState::Terminated => NodeState::Gone,
            };
            let started = node.started_ms.saturating_mul(1000);
            entries.push(NodeEntry { node: id, zone: zone as u16, shard: node.cell, state, started });
        }
        if matches!(news, News::Full | News::Cached) {
            let off = |node: &mut Node| (node.listed, node.ready, node.gone) = (false, false, true);
            self.nodes.values_mut().for_each(off);
            self.known.clear();
        }
        for (entry, node) in entries.iter().zip(&listed) {
            let (ready, gone) = (entry.state == NodeState::Ready, entry.state == NodeState::Gone);
            event!(NODE, node = node.id, address = node.addr, number = entry.node, shard = entry.shard, state:? = entry.state);
            let out = self.nodes.get(&entry.node).map_or(0, |known| known.out);
            let (id, address) = (node.id.clone(), node.addr.clone());
            let listed = node.state == ListedState::InService;
            self.nodes.insert(entry.node, Node { id, address, listed, ready, gone, out });
            self.known.retain(|known| known.node != entry.node);
            if !gone {
                self.known.push(*entry);
            }
        }
        self.tell(Event::Nodes { news, nodes: entries });
        self.copied = self.copied.map(|_| 0);
        self.drop_where_left();
        self.release_nodes();
        self.watch_list();
    }

    /// Sees to it that nothing begins any more once the list may be rested on no longer.
    fn watch_list(&mut self) {
        let until = self.policy.list_good_until();
        if let Some(key) = self.overdue.take() {
            self.due.remove(key);
        }
        let (now, good) = (self.clock.now(), self.clock.now() < until);
        if good && until < now + DAY {
            self.overdue = Some(self.due.insert(until, Due::Overdue));
        }
        let since = self.overdue_since;
        match (good, since) {
            (true, Some(since)) => {
                let overdue_ms = (now - since) / 1000;
                event!(LIST_RENEWED, overdue_ms);
                self.figures.list(Some(overdue_ms));
                self.overdue_since = None;
            }
            (false, None) => {
                event!(LIST_OVERDUE, open = self.requests.len());
                self.figures.list(None);
                self.overdue_since = Some(now);
                let open: Vec<RequestId> = self.requests.keys().copied().collect();
                open.into_iter().for_each(|id| self.drop_unsent(id, |_| true));
            }
            _ => {}
        }
    }

    /// Nothing that was not begun begins at a node that takes none any more.
    fn drop_where_left(&mut self) {
        let left: BTreeSet<NodeId> = self.nodes.iter().filter(|(_, n)| !n.ready).map(|(id, _)| *id).collect();
        let open: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in open {
            self.drop_unsent(id, |out| left.contains(&out.node));
        }
    }

    fn takes(&self, node: &str) -> bool {
        self.agreed.as_ref().is_none_or(|agreed| agreed.rules.takes(node))
    }

    /// Looks at what the heads agree on, and under which lease: what has changed the module is told before all else.
    fn look(&mut self) -> Vec<Event> {
        let Some(agreed) = &mut self.agreed else { return Vec::new() };
        let view = agreed.view();
        let Some(reading) = agreed.rules.look(agreed.pace.now(), &view) else { return Vec::new() };
        let Reading { level, was, revised } = reading;
        let ledger = agreed.rules.ledger();
        let (read, prepared, active) = (ledger.read(), ledger.prepared(), ledger.active());
        let ignored = agreed.rules.ignored().join(" ");
        let (level, was, revised) = (name_of(level), name_of(was), if revised { "yes" } else { "no" });
        event!(READING, level, was, revised, read, prepared, active, ignored);
        if !reading.matters() {
            return Vec::new();
        }
        self.settings = agreed.rules.settings();
        let mut changed = Vec::new();
        for (number, node) in self.nodes.iter_mut().filter(|(_, node)| !node.gone) {
            let ready = node.listed && agreed.rules.takes(&node.id);
            if std::mem::replace(&mut node.ready, ready) != ready
                && let Some(entry) = self.known.iter_mut().find(|entry| entry.node == *number)
            {
                entry.state = if ready { NodeState::Ready } else { NodeState::Draining };
                changed.push(*entry);
            }
        }
        let mut events = vec![Event::Settings(Box::new(self.settings.clone()))];
        if !changed.is_empty() {
            events.push(Event::Nodes { news: News::Changes, nodes: changed });
        }
        events
    }

    fn look_first(&mut self) {
        for event in self.look() {
            let nodes = matches!(event, Event::Nodes { .. });
            self.tell(event);
            if nodes {
                self.drop_where_left();
            }
        }
    }

    /// The look at the act itself: `None` where the attempt may not start, as things stand now; otherwise when it was.
    fn may_start(&self, open: &Open, attempt: u32, node: NodeId) -> Option<Micros> {
        let Some(agreed) = &self.agreed else { return Some(0) };
        let (now, node) = (agreed.pace.now(), self.nodes.get(&node)?);
        let fresh = agreed.rules.fresh(now, &agreed.view());
        let came =
            open.under.unwrap_or(Came { attempts: 0, repeats: crate::agree::document::Repeats::Never });
        (fresh && agreed.rules.allows(open.class, came, attempt, open.ran, &node.id)).then_some(now)
    }

    fn release_nodes(&mut self) {
        let ids = &mut self.ids;
        self.nodes.retain(|number, node| {
            let stays = !node.gone || node.out > 0;
            if !stays {
                debug!(node = node.id, number; "node released");
                ids.texts.remove(number);
            }
            stays
        });
    }

    /// Gives up attempts at a request of which nothing was written yet, so that they never will be.
    fn drop_unsent(&mut self, id: RequestId, which: impl Fn(&Out) -> bool) {
        let attempts = self.requests.get(&id).map_or(0, |open| open.attempts.len());
        for attempt in 0..attempts {
            // Each outcome may be the request's last.
            let Some(open) = self.requests.get(&id) else { return };
            if let Some(Some(out)) = open.attempts.get(attempt)
                && which(out)
                && !out.begun.get()
            {
                out.task.abort();
                self.outcome(id, attempt as u32, End::Unsent.into());
            }
        }
    }

    /// Nobody waits for it any more: a node begins with a request's last byte, and what has not come so far never does.
    fn drop_unfinished(&mut self, id: RequestId) {
        self.drop_unsent(id, |_| true);
        let Some(open) = self.requests.get(&id) else { return };
        let unfinished = open
            .attempts
            .iter()
            .zip(0..)
            .filter(|(out, _)| out.as_ref().is_some_and(|out| out.begun.whole.get().is_none()));
        let unfinished: Vec<u32> = unfinished.map(|(_, attempt)| attempt).collect();
        unfinished.into_iter().for_each(|attempt| self.stop(id, attempt, End::CalledOff));
    }

    fn fire(&mut self) {
        while let Some((_, due)) = self.due.pop(self.clock.now()) {
            match due {
                Due::Timer(token) => self.tell(Event::Timer { token }),
                Due::Deadline(id) => self.deadline(id),
                Due::Overdue => {
                    self.overdue = None;
                    self.watch_list();
                }
            }
        }
    }

    fn deadline(&mut self, id: RequestId) {
        self.stop_all(id, End::TimedOut);
        if self.requests.get(&id).is_some_and(|open| !open.over()) {
            // The module answers on the time-out; should it ever not, the client is not left without.
            event!(NO_ANSWER, request = id);
            self.tell(Event::ClientLeft { request: id });
            self.answer(id, Answer::Failed);
        }
    }

    fn stop_all(&mut self, id: RequestId, end: End) {
        let attempts = self.requests.get(&id).map_or(0, |open| open.attempts.len() as u32);
        (0..attempts).for_each(|attempt| self.stop(id, attempt, end));
    }

    fn stop(&mut self, id: RequestId, attempt: u32, end: End) {
        let out = self.requests.get(&id).and_then(|open| open.attempts.get(attempt as usize)?.as_ref());
        if let Some(out) = out {
            out.task.abort();
            self.outcome(id, attempt, end.into());
        }
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(sender) = self.requests.get_mut(&id).and_then(|open| open.answer.take()) {
            let finish = if matches!(answer, Answer::Refused(_)) { Finish::Refused } else { Finish::Failed };
            let _ = sender.send(answer);
            self.finish(id, finish);
        }
        self.drop_unsent(id, |_| true);
        self.forget(id);
    }

    /// A request has its end: counted, and told where that is wanted. Attempts that are out are told as they stand.
    fn finish(&mut self, id: RequestId, finish: Finish) {
        let now = self.clock.now();
        self.count(finish, id);
        self.note_pressure(now);
        let noted = self.requests.get_mut(&id).and_then(|open| open.noted.take());
        let (Some(telling), Some(noted)) = (&mut self.telling, noted) else { return };
        let Noted { volume, plan, class, units, arrived, tried } = *noted;
        let target = self.settings.classes.get(class).map_or(0, |class| class.target);
        let late = finish == Finish::Served && now > arrived + target;
        let Some(one_in) = telling.told(plan, class, finish, tried.len(), late) else { return };
        let volume = Volume(volume);
        for (attempt, Tried { node, why, ending, sent, took }) in tried.iter().enumerate() {
            let (ending, took_us) = match ending {
                Some(ending) => (ending_name(*ending), *took),
                None => ("out", now.saturating_sub(*sent)),
            };
            event!(ATTEMPT, request = id, volume:%, attempt, why:%, node = node.as_str(), ending, took_us);
        }
        let first = tried.first().map_or(now, |first| first.sent);
        let (held_us, out_us) = (first.saturating_sub(arrived), now.saturating_sub(first));
        let (plan, class) = (telling.plan(plan), telling.class(class));
        let (outcome, late, attempts) = (finish.name(), if late { "yes" } else { "no" }, tried.len());
        event!(REQUEST, request = id, volume:%, plan, class, units, attempts, held_us, out_us, outcome, late, one_in);
    }

    fn count(&mut self, finish: Finish, id: RequestId) {
        self.ends.counts[finish as usize] += 1;
        let count = match finish {
            Finish::Served => Count::Passed,
            Finish::Refused => Count::Dropped,
            Finish::Failed => Count::BadGateway,
            Finish::Left => return,
        };
        self.requests.get(&id).into_iter().for_each(|open| self.figures.count(open.class, count));
    }

    fn note_pressure(&mut self, now: Micros) {
        let (open, most) = (self.handle.open(), self.handle.max_open);
        if let Some((was, level)) = self.pressure.note(now, open, most) {
            event!(PRESSURE, level = level.name(), was = was.name(), open, most);
        }
        if self.ends.since == 0 {
            self.ends.since = now;
        }
        if now < self.ends.since + SUM_UP {
            return;
        }
        let [served, refused, failed, left] = self.ends.counts;
        let no_room = self.handle.no_room();
        let turned_away = no_room - self.ends.no_room;
        if refused + failed + left + turned_away > 0 {
            let period_ms = (now - self.ends.since) / 1000;
            event!(REFUSALS, refused, failed, no_room = turned_away, left, served, period_ms);
        }
        self.ends = Ends { counts: [0; 4], no_room, since: now };
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.over() && open.attempts.iter().all(Option::is_none))
            && let Some(key) = self.requests.remove(&id).and_then(|open| open.deadline)
        {
            self.due.remove(key);
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

    /// A module that panicked knows nothing for certain: all that it held fails, a new one starts from the list.
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
        self.events.push_back(Event::Part { part: self.part });
        self.events.push_back(Event::Nodes { news: News::Cached, nodes: self.known.clone() });
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
            Action::Cancel { request, attempt } => self.stop(request, attempt, End::CalledOff),
            Action::Timer { after, token } => {
                // The module never takes one back.
                self.due.insert(now + after, Due::Timer(token));
            }
            Action::Subscribe => {
                let _ = self.subscribe.send(());
            }
            Action::Log(text) => info!("{text}"),
            Action::Probe { node } => self.probe(node),
            Action::Tell { peer, bytes } => match &self.mouth {
                Some(mouth) => mouth.say(peer, bytes),
                None => debug!("there is nobody to tell"),
            },
        }
    }

    /// A probe is no request's: it has no id, nothing is counted of it, and its only end is its time-out.
    fn probe(&mut self, node: NodeId) {
        let (Some(probes), Some(at)) = (&self.probes, self.nodes.get(&node).filter(|node| node.ready)) else {
            return;
        };
        let (begun, answer_by) = (Instant::now(), Instant::now() + PROBE_TIME);
        let binder = Binder { handle: self.handle.clone(), id: 0, attempt: 0 };
        let begins = Arc::new(Begun { class: usize::MAX, ..Begun::default() });
        let work = probes.attempt(Try { address: at.address.clone(), answer_by, begun: begins, binder });
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let done = tokio::time::timeout_at(answer_by, AssertUnwindSafe(work).catch_unwind()).await;
            let report = match done {
                Ok(Ok(report)) => report,
                Ok(Err(_)) => End::Broke.into(),
                Err(_) => End::TimedOut.into(),
            };
            handle.send(Input::Probed { node, took: micros(begun.elapsed()), report });
        });
    }

    fn start(&mut self, now: Micros, id: RequestId, node: NodeId, time_out: Micros, write_by: Micros) {
        let Some(open) = self.requests.get(&id) else { return };
        let attempt = open.attempts.len() as u32;
        let until = if time_out > 0 { open.answer_by.min(now + time_out) } else { open.answer_by };
        let address = self.nodes.get(&node).map(|node| node.address.clone());
        let able = !open.over() && open.bound.is_none() && until > now && attempt < open.max_attempts;
        let looked = self.may_start(open, attempt, node).filter(|_| able);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (Some(looked), Some(address)) = (looked, address) else {
            let load = Load::default();
            let over = open.over();
            let ending = End::NotStarted.ending();
            let moot = Outcome { request: id, attempt, node, ending, took: 0, over, used: None, load };
            open.note(now, attempt, String::new(), Some(ending));
            open.attempts.push(None);
            return self.tell(Event::Outcome(moot));
        };
        let (client, figures) = (Client(Some(open.work.clone())), self.figures.clone());
        let begun = Arc::new(Begun { class: open.class, figures, client, ..Begun::default() });
        let answer_by = self.clock.instant(until);
        if open.noted.is_some() {
            let name = self.nodes.get(&node).map_or(String::new(), |node| node.id.clone());
            open.note(now, attempt, name, None);
        }
        let binder = Binder { handle: self.handle.clone(), id, attempt };
        let work = open.work.attempt(Try { address, answer_by, begun: begun.clone(), binder });
        let handle = self.handle.clone();
        let write_by = (write_by < Micros::MAX).then(|| self.clock.instant(write_by));
        let written = begun.clone();
        let task = tokio::spawn(async move {
            let work = AssertUnwindSafe(written_by(work, written.clone(), write_by)).catch_unwind();
            // Without a time of its own it ends with its request's, which may come later than was known here.
            let done = match time_out {
                0 => Ok(work.await),
                _ => tokio::time::timeout_at(answer_by, work).await,
            };
            let report = match done {
                Ok(Ok(report)) => report,
                Ok(Err(_)) => End::Broke.into(),
                Err(_) => End::TimedOut.into(),
            };
            if written.refused() {
                // The word of it is still on its way from the front.
                handle.send(Input::Left { id });
            }
            handle.send(Input::Report { id, attempt, report });
        });
        open.attempts.push(Some(Out { node, sent: now, begun, task: task.abort_handle() }));
        let class = open.class;
        if let Some(node) = self.nodes.get_mut(&node) {
            node.out += 1;
        }
        self.note_act(id, class, attempt, node, looked);
    }

    /// An attempt has been started by the agreed rules: how long after the look at them, and for rehearsals what they were.
    fn note_act(&self, request: RequestId, class: usize, attempt: u32, node: NodeId, looked: Micros) {
        let Some(agreed) = &self.agreed else { return };
        let late_us = agreed.pace.now().saturating_sub(looked);
        if late_us > LATE_ACT {
            event!(LATE_ACT, late_us, request);
        }
        if log::log_enabled!(log::Level::Debug) {
            let (ledger, level) = (agreed.rules.ledger(), name_of(agreed.rules.level()));
            let (read, active, at_us) = (ledger.read(), ledger.active(), self.clock.now());
            let node = self.nodes.get(&node).map_or("", |node| node.id.as_str());
            let (class, attempts) = (class as u64, agreed.rules.attempts(class));
            let limits: Vec<String> = self.settings.plans.iter().map(|plan| plan.limit.to_string()).collect();
            let limits = limits.join(" ");
            event!(ACT, at_us, late_us, request, class, attempt, attempts, node, level, read, active, limits);
        }
    }
}

/// Gives an attempt up that is not written whole by then. Looked at before each of its steps, so that none of them writes
/// later, however late its turn comes.
async fn written_by(work: Attempt, begun: Arc<Begun>, by: Option<Instant>) -> Report {
    let Some(by) = by else { return work.await };
    let (mut work, mut over) = (work, std::pin::pin!(tokio::time::sleep_until(by)));
    std::future::poll_fn(|cx| {
        let whole = begun.whole.get().is_some();
        if !whole && (over.as_mut().poll(cx).is_ready() || Instant::now() >= by) {
            let end = if begun.get() { End::CalledOff } else { End::Unsent };
            return Poll::Ready(end.into());
        }
        work.as_mut().poll(cx)
    })
    .await
}

fn name_of(level: Level) -> &'static str {
    match level {
        Level::Bottom => "bottom",
        Level::Loose => "loose",
        Level::Held => "held",
    }
}

/// Node ids are texts in discovery and numbers in the module: the same number at every head for the same text.
#[derive(Debug, Default)]
struct NodeIds {
    texts: BTreeMap<NodeId, String>,
}

impl NodeIds {
    /// Two texts of one hash: the later one takes the next free number.
    fn of(&mut self, text: &str) -> NodeId {
        let mut id = fnv(text.as_bytes()) as NodeId;
        loop {
            match self.texts.get(&id) {
                None => break,
                Some(known) if known == text => return id,
                Some(_) => id = id.wrapping_add(1),
            }
        }
        self.texts.insert(id, text.to_string());
        id
    }
}

#[cfg(test)]
mod tests;
