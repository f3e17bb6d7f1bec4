//! What a process says of itself: the first message on a connection, a core's status, an edge's subscription.

use pathbank_coordination::types::Member;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// A proxy that takes clients' requests.
    Edge,
    /// A control-plane replica.
    Core,
}

/// The first message on a connection: who opened it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The role of the sender.
    pub role: ProcessRole,
    /// The name of the sender's machine.
    pub name: String,
    /// The failure domain of the sender's machine.
    pub zone: String,
    /// The incarnation of the process: another number at each start.
    pub incarnation: u64,
    /// The sender decodes compressed messages.
    pub accepts_compression: bool,
    /// The sender is a core that takes part in comparisons of the replicated state.
    pub compares_states: bool,
    /// The newest format of commands of the replicated log that the sender, a core, decodes. 0: an edge, or a
    /// program from before formats were numbered.
    pub command_format: u32,
}

/// What a core reports of itself and of its replication group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoreStatus {
    /// The voters that the sender knows.
    pub members: Vec<Member>,
    /// The leader's address for internal connections; empty: no leader is known.
    pub leader: String,
    /// Edges that are connected to the sender.
    pub edges: u32,
    /// The sender's wall clock, milliseconds since the Unix epoch.
    pub wall_clock_ms: u64,
    /// The sender's failure domain.
    pub zone: String,
    /// The log entry of the newest configuration that the sender may publish; 0: none.
    pub configuration_index: u64,
    /// The sender leads, or is in contact with the leader and has applied all that is committed.
    pub current: bool,
}

/// Whether an edge subscribes to a core's updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subscription {
    /// `true`: subscribe; `false`: unsubscribe.
    pub wanted: bool,
    /// The log entry of the configuration that the edge has; 0: none.
    pub known_index: u64,
}
