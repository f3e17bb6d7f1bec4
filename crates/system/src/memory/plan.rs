//! How `limits.memory_mb` is shared out. What the shares leave is for the process itself: its program, the
//! configuration, the registry of model servers, and what the allocator keeps.

use super::arrivals::Arrivals;
use super::body_reader::BodyMemory;
use super::call_queue::CallQueue;
use super::share::{MemoryShare, Refusal, ShareUsage};
use pathbank_protocol::framing::MAX_FRAME_BYTES;
use std::collections::BTreeMap;

const BYTES_PER_MB: usize = 1_024 * 1_024;
/// The longest body of a call to a core.
pub const MAX_CALL_BYTES: usize = 16 * BYTES_PER_MB;
/// What the longest body or message costs beside its bytes, with room for a few short ones.
const ROOM_BYTES: usize = BYTES_PER_MB;

/// A part of the memory, in percent.
#[derive(Clone, Copy)]
struct Percent(usize);

impl Percent {
    fn of(self, memory_mb: u64) -> usize {
        memory_mb as usize * BYTES_PER_MB / 100 * self.0
    }
}

/// The parts of an edge's memory.
mod edge {
    use super::Percent;
    /// Connections of clients: buffers, heads that arrive, and what the kernel holds unread.
    pub const CONNECTIONS: Percent = Percent(25);
    /// The part of the connections' share that the readiness address has.
    pub const STATUS_DIVISOR: usize = 8;
    /// Accepted requests: their heads, and buffers of exchanges with model servers.
    pub const REQUESTS: Percent = Percent(16);
    /// Short bodies.
    pub const SMALL_BODIES: Percent = Percent(4);
    /// Long bodies.
    pub const LARGE_BODIES: Percent = Percent(18);
    /// Answers of model servers that are held.
    pub const ANSWERS: Percent = Percent(5);
}

/// The parts of a core's memory, which also holds the replicated state.
mod core {
    use super::Percent;
    /// Connections of operators and model servers.
    pub const CONNECTIONS: Percent = Percent(12);
    /// Short bodies, as of heartbeats.
    pub const SMALL_BODIES: Percent = Percent(4);
    /// Long bodies, as of configurations.
    pub const LARGE_BODIES: Percent = Percent(12);
    /// Calls that are parsed and carried out.
    pub const CALLS: Percent = Percent(12);
    /// Messages that arrive on links.
    pub const LINKS: Percent = Percent(12);
    /// Long answers to operators, such as the configuration.
    pub const READS: Percent = Percent(4);
    /// Answers of model servers and of the platform.
    pub const ANSWERS: Percent = Percent(3);
    /// What model servers report of themselves.
    pub const MODEL_SERVERS: Percent = Percent(10);
}

/// The shares of an edge.
#[derive(Clone, Debug)]
pub struct EdgeMemory {
    /// Connections of clients.
    pub connections: MemoryShare,
    /// Connections to the readiness address.
    pub status_connections: MemoryShare,
    /// Accepted requests.
    pub requests: MemoryShare,
    /// Bodies of requests.
    pub bodies: BodyMemory,
    /// Answers of model servers that are held.
    pub answers: MemoryShare,
}

impl EdgeMemory {
    /// Draws the shares from the memory limit of the settings.
    pub fn new(memory_mb: u64) -> EdgeMemory {
        let connections = edge::CONNECTIONS.of(memory_mb);
        let status = connections / edge::STATUS_DIVISOR;
        EdgeMemory {
            connections: share("connections", connections - status),
            status_connections: share("status_connections", status),
            requests: share("requests", edge::REQUESTS.of(memory_mb)),
            bodies: BodyMemory::new(edge::SMALL_BODIES.of(memory_mb), edge::LARGE_BODIES.of(memory_mb)),
            answers: share("answers", edge::ANSWERS.of(memory_mb)),
        }
    }

    /// What operators see, by the name of the share.
    pub fn usage(&self) -> MemoryUsage {
        usage([
            &self.connections,
            &self.status_connections,
            &self.requests,
            &self.bodies.small,
            &self.bodies.large,
            &self.answers,
        ])
    }
}

/// The memory for messages that arrive on links which other processes opened.
#[derive(Clone, Debug)]
pub struct LinkMemory {
    /// The share.
    pub share: MemoryShare,
    /// The messages that are arriving.
    pub arrivals: Arrivals,
}

impl LinkMemory {
    /// Creates the memory for messages of so many bytes.
    pub fn new(limit: usize) -> LinkMemory {
        LinkMemory { share: share("links", limit), arrivals: Arrivals::default() }
    }
}

/// The shares of a core.
#[derive(Clone, Debug)]
pub struct CoreMemory {
    /// Connections of operators and model servers.
    pub connections: MemoryShare,
    /// Bodies of calls.
    pub bodies: BodyMemory,
    /// Calls with long bodies that are parsed and carried out.
    pub changes: CallQueue,
    /// Messages that arrive on links from other processes.
    pub links: LinkMemory,
    /// Long answers to operators.
    pub reads: CallQueue,
    /// Answers of model servers and of the platform.
    pub answers: MemoryShare,
    /// Records of model servers.
    pub model_servers: MemoryShare,
}

impl CoreMemory {
    /// Draws the shares from the memory limit of the settings.
    pub fn new(memory_mb: u64) -> CoreMemory {
        // The longest body and the longest message always fit.
        let large_bodies = core::LARGE_BODIES.of(memory_mb).max(MAX_CALL_BYTES + ROOM_BYTES);
        CoreMemory {
            connections: share("connections", core::CONNECTIONS.of(memory_mb)),
            bodies: BodyMemory::new(core::SMALL_BODIES.of(memory_mb), large_bodies),
            changes: CallQueue::new("calls", core::CALLS.of(memory_mb)),
            links: LinkMemory::new(core::LINKS.of(memory_mb).max(MAX_FRAME_BYTES + ROOM_BYTES)),
            reads: CallQueue::new("reads", core::READS.of(memory_mb)),
            answers: share("answers", core::ANSWERS.of(memory_mb)),
            model_servers: share("model_servers", core::MODEL_SERVERS.of(memory_mb)),
        }
    }

    /// What operators see, by the name of the share.
    pub fn usage(&self) -> MemoryUsage {
        usage([
            &self.connections,
            &self.bodies.small,
            &self.bodies.large,
            &self.changes.share,
            &self.reads.share,
            &self.links.share,
            &self.answers,
            &self.model_servers,
        ])
    }
}

/// A share whose refusals are logged.
pub(super) fn share(name: &'static str, limit: usize) -> MemoryShare {
    MemoryShare::reporting(name, limit, |refusal| {
        let Refusal { share, limit, refused } = refusal;
        tracing::warn!(share, limit, refused, "memory share exhausted");
    })
}

/// The usage of the shares of a process, by their names.
pub type MemoryUsage = BTreeMap<&'static str, ShareUsage>;

fn usage<const COUNT: usize>(shares: [&MemoryShare; COUNT]) -> MemoryUsage {
    shares.into_iter().map(|share| (share.name(), share.usage())).collect()
}
