//! The interface of the scheduling policy: settings, events that go in, actions that come out, and their plain types.
//!
//! Times are microseconds of the host's own clock. Nothing here takes a decision.

/// A time or a duration in microseconds.
pub type Micros = u64;
/// Names one request at this host; never used twice.
pub type RequestId = u64;
/// Names a storage node; the same number at every host.
pub type NodeId = u32;
/// Names a volume, the unit of fair queueing.
pub type VolumeId = u64;

/// What the host passes to the policy at its start and at each reload. An absent value is `None` or 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Hosts (schedulers) in this tier.
    pub hosts: u32,
    /// This host's number among them, from 0.
    pub position: u32,
    /// Classes of requests, by number.
    pub classes: Vec<Class>,
    /// Plans of volumes, by number.
    pub plans: Vec<Plan>,
    /// Changes of the node list are sent to subscribers only.
    pub must_subscribe: bool,
    /// With `must_subscribe`: for how long the list may be used without a subscription, from the last call.
    pub ask_within: Micros,
    /// For how long sends to a node may go on after it began to drain or was removed. 0: no such rule.
    pub stop_within: Micros,
    /// The largest delay with which the host delivers a timer.
    pub tick: Micros,
    /// Time kept back from a client's time for the way of the answer.
    pub answer_slack: Micros,
    /// Attempts of one request at most, the first one included.
    pub max_attempts: u32,
    /// Hedged requests are allowed: a second attempt beside one in flight.
    pub second_copies: bool,
    /// Attempts in flight may be cancelled.
    pub cancel: bool,
    /// Messages to other hosts are allowed.
    pub peers: bool,
    /// Probes of nodes are allowed.
    pub probing: bool,
    /// The longest time after which a client still comes back to a refused request.
    pub max_retry_after: Option<Micros>,
    /// The fraction of its capacity that a node has right after its start (slow start).
    pub slow_start_fraction: f64,
    /// After this a started node has all of its capacity.
    pub cold: Micros,
    /// A node in slow start fails when it gets more than `fall_multiple` times its capacity for this long.
    pub fall: Micros,
    /// See `fall`.
    pub fall_multiple: f64,
    /// Units within `fall`, from all hosts together, that a node in slow start always serves.
    pub slow_start_units: f64,
    /// For how long no request of a key is sent after an attempt that may still run.
    pub order_settle: Micros,
    /// The budget of further attempts, where there is one.
    pub budget: Option<AttemptBudget>,
    /// The largest size of a request, units.
    pub most_units: f64,
    /// The mean size of a request, units.
    pub mean_units: f64,
    /// The fraction of the full value that a unit above the reserve earns within the volume's share.
    pub share_value: f64,
    /// The fraction of the full value that a unit earns beyond the volume's share.
    pub spare_value: f64,
    /// The period over which the `used` of answers is counted; 0: answers carry none.
    pub use_period: Micros,
    /// When nodes report their load.
    pub reports: Reports,
}

impl Settings {
    /// The plan of that number; an unknown one has weight and price 1, and neither reserve nor limit.
    pub fn plan(&self, number: usize) -> Plan {
        let unknown = Plan { weight: 1.0, price: 1.0, ..Plan::default() };
        self.plans.get(number).copied().unwrap_or(unknown)
    }
}

/// When nodes report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    /// Never.
    #[default]
    None,
    /// With every answer and every probe's answer.
    Answers,
    /// With a probe's answer only.
    Probes,
}

/// A node's report of its load; delayed and approximate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests queued at the node.
    pub queue: Option<f64>,
}

/// The budget of further attempts: within `window` at most `floor + ratio * requests accepted`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptBudget {
    /// Further attempts that are always allowed.
    pub floor: f64,
    /// Further attempts for each accepted request.
    pub ratio: f64,
    /// The sliding window over which both are counted.
    pub window: Micros,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// The latency target: an answer within it earns the full value.
    pub target: Micros,
    /// An answer within it earns `late_value` of the full value.
    pub deadline: Micros,
    /// The value of a unit that is answered in time.
    pub value: f64,
    /// See `deadline`.
    pub late_value: f64,
    /// Whether a request may be sent again.
    pub repeats: Repeats,
    /// Of keyed classes: for how long nodes drop repeats, from the first send that may have run.
    pub window: Micros,
    /// Of keyed classes: which nodes drop repeats.
    pub scope: Scope,
    /// Answers are streamed.
    pub streamed: bool,
    /// Requests of one key run one after the other, in order of arrival.
    pub in_order: bool,
}

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeats {
    /// It is idempotent.
    Safe,
    /// Nodes drop repeats by the request's key, for a while.
    Keyed,
    /// It is not idempotent.
    #[default]
    Unsafe,
}

/// The nodes that drop a keyed request's repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one shard.
    #[default]
    Shard,
}

/// A volume's plan. Rates are units a second for each volume, over all hosts and nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    /// The rate that the volume's reported use is a fraction of.
    pub rate: f64,
    /// The rate that is served first.
    pub reserve: f64,
    /// The weight in the fair queue.
    pub weight: f64,
    /// The price of a unit, by which values are multiplied.
    pub price: f64,
    /// The rate limit; 0: none.
    pub limit: f64,
    /// The burst that the rate limit allows, units.
    pub limit_burst: f64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Something came of the node list.
    Nodes {
        /// What came.
        update: ListUpdate,
        /// The entries that came with it.
        nodes: Vec<NodeEntry>,
    },
    /// A request arrived.
    Request(Request),
    /// An attempt's answer began; no other attempt of the request may follow.
    AnswerBegan {
        /// The request.
        request: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client closed its connection before the answer.
    ClientLeft {
        /// The request.
        request: RequestId,
    },
    /// A timer of [`Action::Timer`] expired.
    Timer {
        /// The timer's token.
        token: u64,
    },
    /// New settings. Numbers of classes and plans keep their meaning; pending requests keep the rules under which they came.
    Settings(Box<Settings>),
    /// The fraction of this host's capacity that this process may use: half while another process of the host runs.
    CapacityShare {
        /// From 0 to 1.
        share: f64,
    },
    /// A probe of a node ended.
    Probed {
        /// The node.
        node: NodeId,
        /// How it ended.
        result: AttemptResult,
        /// How long it took.
        latency: Micros,
        /// The load that its answer reported.
        load: Load,
    },
    /// A message from another host.
    Peer {
        /// The other host's number.
        from: u32,
        /// The message, see `message`.
        bytes: Vec<u8>,
    },
}

/// What came of the node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only changed entries.
    Changes,
    /// The complete list; nodes that it lacks are removed.
    Full,
    /// The complete list as the host stored it, possibly out of date.
    Cached,
    /// A call to the list failed or the subscription's connection broke.
    Failed,
    /// The subscription is established; all changes before it have been sent.
    Subscribed,
    /// The subscription's heartbeat: nothing has changed.
    Heartbeat,
    /// The subscription's heartbeat is overdue.
    TimedOut,
    /// The list is served at another address from now on; the old one will stop.
    Moved,
}

/// A node as the list has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Its zone's number.
    pub zone: u16,
    /// The shard that it serves.
    pub shard: u16,
    /// Whether it takes requests.
    pub state: NodeState,
    /// Time of its last start; 0: long ago.
    pub started: Micros,
}

/// Whether a node takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It does.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It was removed.
    Gone,
}

/// A request as it arrives.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its number at this host.
    pub id: RequestId,
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
    /// How long its client waits from now on.
    pub time_left: Micros,
    /// The client marked it as a retry of its own.
    pub repeat: bool,
    /// The shard that has the data; `None`: a new object, which any node can take.
    pub shard: Option<u16>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// The attempt's number, from 0.
    pub attempt: u32,
    /// The node.
    pub node: NodeId,
    /// How it ended.
    pub result: AttemptResult,
    /// Time from the send to the end.
    pub latency: Micros,
    /// The request has its final answer, by this outcome or an earlier one.
    pub over: bool,
    /// Units served for the volume everywhere in the last finished period, as a fraction of the plan's rate.
    pub used: Option<f64>,
    /// The load that the answer reported.
    pub load: Load,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// With a good answer.
    Served,
    /// With an error of the node; it may have run.
    Error,
    /// The node refused it because its queue is full; it did not run.
    Overloaded,
    /// Without an answer in time; it may have run.
    TimedOut,
    /// No connection came up; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// Nothing of it was sent; it did not run.
    NotSent,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The node.
        node: NodeId,
        /// Give up after this; 0: when the client stops waiting.
        time_out: Micros,
        /// Give up if the last byte is not written by then; `Micros::MAX`: no such time.
        write_by: Micros,
    },
    /// Final: refused; a retry does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// The client should come back after this.
        retry_in: Micros,
    },
    /// Final: failed; it may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Start a timer; it is never cancelled.
    Timer {
        /// It expires after this.
        after: Micros,
        /// Comes back with [`Event::Timer`].
        token: u64,
    },
    /// Ask a node for its load.
    Probe {
        /// The node.
        node: NodeId,
    },
    /// Send a message to another host.
    SendToPeer {
        /// Its number; `None`: all others.
        peer: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Subscribe to the node list.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
