//! What nodes know of each other: incarnations, states, records, and why a record came to be.

/// Microseconds of the node's own monotonic clock.
pub type Micros = u64;
/// A node's index in the list of nodes that every node is configured with.
pub type NodeId = u16;

/// One incarnation of a node (SWIM, section 4.2): the time of its start, in seconds of its wall clock, and
/// how often it has refuted a suspicion or a death since. The greater one of two is the later one, whatever
/// the clock showed: a node that learns of a greater incarnation of its own takes the next one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Bits of an incarnation on the wire.
    pub const BITS: u32 = 48;
    const MAX: u64 = (1 << Incarnation::BITS) - 1;
    const REFUTATION_BITS: u32 = 16;

    /// The incarnation of a node that starts at this time of its wall clock, seconds.
    pub fn started_at(seconds: u64) -> Incarnation {
        Incarnation((seconds.clamp(1, u64::from(u32::MAX))) << Incarnation::REFUTATION_BITS)
    }

    /// An incarnation by its bits on the wire.
    pub fn from_bits(bits: u64) -> Incarnation {
        Incarnation(bits & Incarnation::MAX)
    }

    /// Its bits on the wire.
    pub fn bits(self) -> u64 {
        self.0
    }

    /// When the node started, in seconds of its wall clock. A refutation keeps the start.
    pub fn start(self) -> u64 {
        self.0 >> Incarnation::REFUTATION_BITS
    }

    /// The incarnation by which a node refutes what is claimed of this one.
    pub fn next(self) -> Incarnation {
        Incarnation((self.0 + 1).min(Incarnation::MAX))
    }

    /// Nothing was ever heard of that node.
    pub fn is_unknown(self) -> bool {
        self.0 == 0
    }
}

/// The state of one incarnation of a node, in the order of precedence: the later one overrides the earlier
/// one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeState {
    /// It runs, and its view is not complete yet.
    #[default]
    Joining,
    /// It runs.
    Alive,
    /// It did not answer a probe. Unless it refutes that in time, it is declared dead.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it shuts down.
    Left,
}

impl NodeState {
    /// All of them, in the order of their bytes on the wire.
    pub const ALL: [NodeState; 5] =
        [NodeState::Joining, NodeState::Alive, NodeState::Suspect, NodeState::Dead, NodeState::Left];

    /// Whether the node takes part: it is probed, and gets updates.
    pub fn is_running(self) -> bool {
        matches!(self, NodeState::Joining | NodeState::Alive | NodeState::Suspect)
    }

    /// Its name, for operators.
    pub fn name(self) -> &'static str {
        match self {
            NodeState::Joining => "joining",
            NodeState::Alive => "alive",
            NodeState::Suspect => "suspect",
            NodeState::Dead => "dead",
            NodeState::Left => "left",
        }
    }
}

/// What is known of a node. The greater one of two records overrides the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeRecord {
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// The state of that incarnation.
    pub state: NodeState,
}

impl NodeRecord {
    /// The record of a node that was never heard of.
    pub const UNKNOWN: NodeRecord = NodeRecord { incarnation: Incarnation(0), state: NodeState::Joining };

    /// Whether the node is known and thought to run.
    pub fn is_running(self) -> bool {
        !self.incarnation.is_unknown() && self.state.is_running()
    }
}

/// What a node reports of itself in every datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// The version of its list of storage nodes.
    pub node_list_version: u32,
    /// The last revision of the configuration in force there; 0 for a node without replicated configuration.
    pub configuration_revision: u32,
    /// It takes no new clients.
    pub draining: bool,
    /// Its load, from 0, none, to 3.
    pub pressure: u8,
}

/// Why a record of a node was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A datagram of the node itself.
    DirectContact,
    /// It answered neither a direct nor an indirect probe of this node.
    ProbeTimeout,
    /// It did not refute the suspicion in time.
    SuspicionTimeout,
    /// That node passed the record on.
    GossipFrom(NodeId),
}

/// A record of a node was replaced by a greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The node.
    pub node: NodeId,
    /// The record before.
    pub before: NodeRecord,
    /// The record now.
    pub after: NodeRecord,
    /// Why it was taken.
    pub cause: Cause,
}
