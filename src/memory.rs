//! How the storage proxy's memory is shared out: the bytes that clients, nodes, operators and strangers make it hold come
//! out of one budget. The table of the shares is in `docs/design/memory.md`.

use crate::event;
use pathbank_memory::share::{MemoryShare, Refusal};

/// What a client's connection holds: its read buffer, what the kernel holds unread, and a short answer.
const CLIENT_CONNECTION_BYTES: usize = 24 * 1_024;
/// What a connection to a node holds: its read buffer, and what the kernel holds unread for it.
const NODE_CONNECTION_BYTES: usize = 24 * 1_024;
/// What a connection of the SFTP front holds beside that: the buffer for a packet, and what the kernel holds unread.
const FILE_CONNECTION_BYTES: usize = 96 * 1_024;
/// Parts of the memory are given in so many parts of the whole.
const WHOLE: usize = 1_000;
/// What all shares may take. The rest is for the program, for the ids of recent requests, and for what the
/// allocator keeps.
const SHARED: usize = 750;

/// A part of the memory, in thousandths.
mod part {
    /// Clients' connections, of whichever front.
    pub const CLIENT_CONNECTIONS: usize = 300;
    /// Connections to nodes.
    pub const NODE_CONNECTIONS: usize = 70;
    /// Bodies of up to 64 KiB.
    pub const BODIES: usize = 125;
    /// Longer bodies, and those of no declared length.
    pub const UPLOADS: usize = 100;
    /// Heads beyond what every connection holds.
    pub const HEADS: usize = 40;
    /// Answers that are held.
    pub const ANSWERS: usize = 40;
    /// Uploads and answers that are passed on while they arrive.
    pub const STREAMS: usize = 40;
    /// Connections and commands of the SFTP front.
    pub const FILES: usize = 80;
    /// Calls of the gRPC front.
    pub const CALLS: usize = 130;
    /// Windows of the gRPC front, towards clients and from nodes, each.
    pub const WINDOWS: usize = 60;
    /// Calls to this process's voter.
    pub const VOTER: usize = 150;
}

/// Which parts of the program are switched on beside the HTTP front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// The SFTP front.
    pub files: bool,
    /// The gRPC front.
    pub calls: bool,
    /// A voter of the agreement.
    pub voter: bool,
}

impl Options {
    /// What all shares together would take.
    fn wanted(self) -> usize {
        let optional = [
            (self.files, part::FILES),
            (self.calls, part::CALLS + 2 * part::WINDOWS),
            (self.voter, part::VOTER),
        ];
        let always = part::CLIENT_CONNECTIONS
            + part::NODE_CONNECTIONS
            + part::BODIES
            + part::UPLOADS
            + part::HEADS
            + part::ANSWERS
            + part::STREAMS;
        always + optional.into_iter().filter(|(is_on, _)| *is_on).map(|(_, part)| part).sum::<usize>()
    }
}

/// The memory limit, and what takes a part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    bytes: usize,
    options: Options,
}

impl MemoryPlan {
    /// Shares out so many bytes.
    pub fn new(bytes: usize, options: Options) -> MemoryPlan {
        MemoryPlan { bytes, options }
    }

    /// A part of the memory; less where all parts together would be too much.
    fn part(&self, thousandths: usize) -> usize {
        self.bytes * thousandths / WHOLE * SHARED / SHARED.max(self.options.wanted())
    }

    /// Clients' connections at most, of all fronts.
    pub fn client_connections(&self) -> usize {
        self.part(part::CLIENT_CONNECTIONS) / CLIENT_CONNECTION_BYTES
    }

    /// Connections to nodes at most.
    pub fn node_connections(&self) -> usize {
        (self.part(part::NODE_CONNECTIONS) / NODE_CONNECTION_BYTES).max(1)
    }

    /// Connections of the SFTP front at most: half of its share is for their commands.
    pub fn file_connections(&self) -> usize {
        (self.part(part::FILES) / 2 / FILE_CONNECTION_BYTES).max(1)
    }

    /// Bytes of requests' bodies of up to 64 KiB.
    pub fn bodies(&self) -> usize {
        self.part(part::BODIES)
    }

    /// Bytes that windows of the gRPC front may fill, towards clients and from nodes, each.
    pub fn windows(&self) -> usize {
        self.part(part::WINDOWS)
    }

    /// The shares that are leased.
    pub fn shares(&self) -> ProxyMemory {
        let share = |name, thousandths| share(name, self.part(thousandths));
        ProxyMemory {
            heads: share("heads", part::HEADS),
            bodies: share("bodies", part::BODIES),
            uploads: share("uploads", part::UPLOADS),
            answers: share("answers", part::ANSWERS),
            streams: share("streams", part::STREAMS),
            file_commands: share("file_commands", part::FILES / 2),
            calls: share("calls", part::CALLS),
            voter: share("voter", part::VOTER),
        }
    }
}

/// A share whose refusals are logged.
fn share(name: &'static str, limit: usize) -> MemoryShare {
    MemoryShare::reporting(name, limit, |refusal| {
        let Refusal { share, limit, refused } = refusal;
        event!(MEMORY_SHORT, share, limit, refused);
    })
}

/// The shares that are leased while the program runs. Clones are the same shares.
#[derive(Clone, Debug)]
pub struct ProxyMemory {
    /// Heads of requests beyond what every connection holds.
    pub heads: MemoryShare,
    /// Bodies of up to 64 KiB, and requests of gRPC calls.
    pub bodies: MemoryShare,
    /// Longer bodies, and those of no declared length.
    pub uploads: MemoryShare,
    /// Answers that are held.
    pub answers: MemoryShare,
    /// Uploads and answers that are passed on while they arrive.
    pub streams: MemoryShare,
    /// Commands of the SFTP front.
    pub file_commands: MemoryShare,
    /// Calls of the gRPC front: metadata and tasks.
    pub calls: MemoryShare,
    /// Calls to this process's voter.
    pub voter: MemoryShare,
}

#[cfg(test)]
mod tests;
