//! What goes into the decision module and what comes out: settings, events, actions and their plain types.
//! Times are microseconds. Nothing here decides anything.

pub type Micros = u64;
pub type RequestId = u64;
pub type NodeId = u32;
pub type VolumeId = u64;

/// What the host is told once, at its start. An absent figure is `None` or 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Schedulers (hosts) in this tier, and this one's number among them.
    pub hosts: u32,
    pub position: u32,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    /// Changes of the node list come only to those who subscribe.
    pub must_subscribe: bool,
    /// Where one must subscribe: how long a list without a subscription may be rested on, from the last call.
    pub ask_within: Micros,
    /// How long after a node is told to drain or to be gone sends to it may go on. 0: no such rule.
    pub stop_within: Micros,
    pub tick: Micros,
    pub answer_slack: Micros,
    pub max_attempts: u32,
    pub second_copies: bool,
    pub cancel: bool,
    pub peers: bool,
    pub probing: bool,
    pub max_retry_after: Option<Micros>,
    /// A started node has `cold_from` of its capacity or more and is warm after `cold` at the latest.
    pub cold_from: f64,
    pub cold: Micros,
    /// A cold node falls over when it gets more than `fall_multiple` times its capacity for `fall`.
    pub fall: Micros,
    pub fall_multiple: f64,
    /// Units within `fall`, from all hosts together, that a cold node always bears.
    pub cold_units: f64,
    /// How long a key rests after an attempt that may still run.
    pub order_settle: Micros,
    pub budget: Option<AttemptBudget>,
    /// The most and the mean units of one request.
    pub most_units: f64,
    pub mean_units: f64,
    /// Part of the worth that units above the reserve earn inside the volume's share, and beyond it.
    pub share_worth: f64,
    pub spare_worth: f64,
    /// Period over which answers' `used` adds up; 0: no such figure.
    pub use_period: Micros,
    pub reports: Reports,
}

impl Settings {
    /// A plan's figures; those of one that nobody knows weigh and are worth as much as any.
    pub fn plan(&self, number: usize) -> Plan {
        let unknown = Plan { weight: 1.0, price: 1.0, ..Plan::default() };
        self.plans.get(number).copied().unwrap_or(unknown)
    }
}

/// With what nodes send reports of their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reports {
    #[default]
    None,
    /// With every answer and every probe's.
    Answers,
    /// With a probe's answer only.
    Probes,
}

/// A node's report of its load: late, and a little off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that wait at the node.
    pub queue: Option<f64>,
}

/// Extra attempts within `window`: at most `floor + ratio * requests taken`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptBudget {
    pub floor: f64,
    pub ratio: f64,
    pub window: Micros,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within `target` earns the full worth, one within `deadline` the part `late_worth`.
    pub target: Micros,
    pub deadline: Micros,
    pub worth: f64,
    pub late_worth: f64,
    pub repeats: Repeats,
    /// For keyed classes: how long, counted from the first send that may have run, repeats are dropped.
    pub window: Micros,
    pub scope: Scope,
    pub streamed: bool,
    pub in_order: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Repeats {
    Safe,
    Keyed,
    #[default]
    Unsafe,
}

/// The nodes that drop a keyed request's repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    #[default]
    Shard,
}

/// A plan's figures hold for each of its volumes, over all hosts and nodes together; units a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Plan {
    pub rate: f64,
    pub reserve: f64,
    pub weight: f64,
    pub price: f64,
    /// 0: none.
    pub limit: f64,
    pub limit_burst: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Nodes {
        news: News,
        nodes: Vec<NodeEntry>,
    },
    Request(Request),
    AnswerBegan {
        request: RequestId,
        attempt: u32,
    },
    Outcome(Outcome),
    ClientLeft {
        request: RequestId,
    },
    Timer {
        token: u64,
    },
    /// Other settings. Numbers of classes and plans keep their meaning, and what is open its rules.
    Settings(Box<Settings>),
    /// The part of what is this host's that this instance may use: half while another one of the host lives.
    Part {
        part: f64,
    },
    Probed {
        node: NodeId,
        ending: Ending,
        took: Micros,
        load: Load,
    },
    Peer {
        from: u32,
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Only changed entries.
    Changes,
    /// The whole list; what is not on it is gone.
    Full,
    /// The whole list as the host last had it, maybe old.
    Cached,
    /// A call to the list failed or the subscription broke.
    Failed,
    /// The subscription stands from now on: what was missed has been told.
    Watched,
    /// Nothing has changed: the subscription's beat.
    Beat,
    /// The subscription has fallen silent, past its beat.
    Silent,
    /// The list is kept elsewhere from now on; where it was, it will not be told much longer.
    Moved,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeEntry {
    pub node: NodeId,
    pub zone: u16,
    pub shard: u16,
    pub state: NodeState,
    /// Time of its last start; 0: long ago.
    pub started: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub volume: VolumeId,
    /// The piece of data; 0: none.
    pub key: u64,
    pub class: usize,
    pub plan: usize,
    pub units: f64,
    /// Hosts through which the volume's requests come.
    pub volume_hosts: f64,
    pub time_left: Micros,
    /// The client says that it has asked before.
    pub repeat: bool,
    /// Where the data lies; `None`: a new object, which any node can take.
    pub shard: Option<u16>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub request: RequestId,
    pub attempt: u32,
    pub node: NodeId,
    pub ending: Ending,
    pub took: Micros,
    /// The request is over, by this outcome or before it.
    pub over: bool,
    /// Units served for the volume everywhere in a finished period, as a part of the plan's rate.
    pub used: Option<f64>,
    pub load: Load,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; `time_out` 0: until the client stops waiting. What is not written whole before `write_by`
    /// is given up; `Micros::MAX`: there is no such time.
    Send {
        request: RequestId,
        node: NodeId,
        time_out: Micros,
        write_by: Micros,
    },
    /// Final: turned away, a retry is harmless.
    Refuse {
        request: RequestId,
        retry_in: Micros,
    },
    /// Final: failed, with no promise.
    Fail {
        request: RequestId,
    },
    Cancel {
        request: RequestId,
        attempt: u32,
    },
    Timer {
        after: Micros,
        token: u64,
    },
    Probe {
        node: NodeId,
    },
    Tell {
        peer: Option<u32>,
        bytes: Vec<u8>,
    },
    Subscribe,
    Log(String),
}
