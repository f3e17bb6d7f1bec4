//! The data that nodes keep about each other: incarnations, states, records, and the cause of each change.

/// Microseconds of the node's own monotonic clock.
pub type Micros = u64;
/// A node's index in the list of nodes that every node is configured with.
pub type NodeId = u16;

/// An incarnation of a node (SWIM, section 4.2): the time of its start, in seconds of its wall clock, and how
/// often the node has refuted a suspicion or a declaration of death since. The greater of two incarnations is
/// the later one even if the clock went back: a node that learns of a greater incarnation of itself takes the
/// one after that.
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

    /// The incarnation with these bits on the wire.
    pub fn from_bits(bits: u64) -> Incarnation {
        Incarnation(bits & Incarnation::MAX)
    }

    /// The incarnation's bits on the wire.
    pub fn bits(self) -> u64 {
        self.0
    }

    /// When the node started, in seconds of its wall clock. A refutation keeps the start.
    pub fn start(self) -> u64 {
        self.0 >> Incarnation::REFUTATION_BITS
    }

    /// The next incarnation, by which a node refutes a claim about this one.
    pub fn next(self) -> Incarnation {
        Incarnation((self.0 + 1).min(Incarnation::MAX))
    }

    /// Whether nothing was ever heard of the node.
    pub fn is_unknown(self) -> bool {
        self.0 == 0
    }
}

/// The state of one incarnation of a node, in ascending order of precedence: of two states, the later in this
/// list overrides the earlier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum NodeState {
    /// The node runs, but its view is not complete yet.
    #[default]
    Joining,
    /// The node runs.
    Alive,
    /// The node did not answer a probe. It is declared dead unless it refutes the suspicion in time.
    Suspect,
    /// The node did not refute the suspicion in time.
    Dead,
    /// The node announced its shutdown.
    Left,
}

impl NodeState {
    /// All states, in the order of their bytes on the wire.
    pub const ALL: [NodeState; 5] =
        [NodeState::Joining, NodeState::Alive, NodeState::Suspect, NodeState::Dead, NodeState::Left];

    /// Whether the node counts as running: running nodes are probed and receive updates.
    pub fn is_running(self) -> bool {
        matches!(self, NodeState::Joining | NodeState::Alive | NodeState::Suspect)
    }

    /// The state's name, for operators.
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

/// The known state of a node. The greater of two records overrides the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeRecord {
    /// The node's latest known incarnation.
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

/// The status that a node reports in every datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStatus {
    /// The version of the node's list of storage nodes.
    pub node_list_version: u32,
    /// The revision of the configuration in force on the node; 0 for a node without replicated configuration.
    pub configuration_revision: u32,
    /// Whether the node accepts no new clients.
    pub draining: bool,
    /// The node's load, from 0 (none) to 3.
    pub pressure: u8,
}

/// Why the record of a node was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A datagram from the node itself.
    DirectContact,
    /// The node answered neither a direct nor an indirect probe of this node.
    ProbeTimeout,
    /// The node did not refute the suspicion in time.
    SuspicionTimeout,
    /// The given node passed the record on.
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
    /// Why the record was replaced.
    pub cause: Cause,
}
