//! One node's records of all nodes, and digests of them. A digest covers which nodes run and when each was
//! started. It does not cover suspicions and refutations, which do not change whether a node is running.

use super::types::{Cause, Change, Micros, NodeId, NodeRecord};

/// A view is divided into at most this many blocks, so that the digests of all blocks fit into one datagram.
pub const MAX_BLOCKS: usize = 64;

/// When and why a record was last replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evidence {
    /// When the record was replaced.
    pub since: Micros,
    /// Why the record was replaced.
    pub cause: Cause,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    record: NodeRecord,
    evidence: Option<Evidence>,
}

/// One node's records of all nodes.
#[derive(Clone, Debug)]
pub struct View {
    entries: Vec<Entry>,
    digest: u64,
    running_count: usize,
}

/// The part of one record in the digest of a view. Its bits are mixed so that views that differ in one record
/// have different digests.
fn record_digest(node: NodeId, record: NodeRecord) -> u64 {
    if record.incarnation.is_unknown() {
        return 0;
    }
    // The finalizer of splitmix64.
    let mut bits =
        record.incarnation.start() << 32 | u64::from(node) << 1 | u64::from(record.state.is_running());
    bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ bits >> 31
}

impl View {
    /// A view of `node_count` nodes, of which nothing is known yet.
    pub fn new(node_count: usize) -> View {
        View { entries: vec![Entry::default(); node_count], digest: 0, running_count: 0 }
    }

    /// How many nodes there are, running or not.
    pub fn node_count(&self) -> usize {
        self.entries.len()
    }

    /// The record of a node; `None` if there is no such node.
    pub fn record(&self, node: NodeId) -> Option<NodeRecord> {
        self.entries.get(usize::from(node)).map(|entry| entry.record)
    }

    /// When and why a node's record was last replaced; `None` if nothing was ever heard of the node.
    pub fn evidence(&self, node: NodeId) -> Option<Evidence> {
        self.entries.get(usize::from(node))?.evidence
    }

    /// The record of each node.
    pub fn records(&self) -> impl Iterator<Item = (NodeId, NodeRecord)> {
        (0..).zip(self.entries.iter().map(|entry| entry.record))
    }

    /// The nodes that are thought to run.
    pub fn running(&self) -> impl Iterator<Item = NodeId> {
        self.records().filter(|(_, record)| record.is_running()).map(|(node, _)| node)
    }

    /// How many nodes are thought to run.
    pub fn running_count(&self) -> usize {
        self.running_count
    }

    /// The digest of the view.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    fn nodes_per_block(&self) -> usize {
        self.entries.len().div_ceil(MAX_BLOCKS).max(1)
    }

    /// Digests of all blocks, in order, 24 bits each.
    pub fn block_digests(&self) -> Vec<u32> {
        let digest = |(block, entries): (usize, &[Entry])| {
            let nodes = (block * self.nodes_per_block()) as NodeId..;
            let all =
                nodes.zip(entries).fold(0, |all, (node, entry)| all ^ record_digest(node, entry.record));
            (all >> 40) as u32
        };
        self.entries.chunks(self.nodes_per_block()).enumerate().map(digest).collect()
    }

    /// The known records of blocks whose digests differ from these.
    pub fn differing(&self, digests: &[u32]) -> Vec<(NodeId, NodeRecord)> {
        let own = self.block_digests();
        let differs = |node: &NodeId| {
            let block = usize::from(*node) / self.nodes_per_block();
            own.get(block) != digests.get(block)
        };
        self.records().filter(|(node, record)| differs(node) && !record.incarnation.is_unknown()).collect()
    }

    /// Replaces the known record if the new one is greater. Returns the change, if there is one.
    pub fn merge(&mut self, now: Micros, node: NodeId, record: NodeRecord, cause: Cause) -> Option<Change> {
        let entry = self.entries.get_mut(usize::from(node))?;
        let before = entry.record;
        if record <= before || record.incarnation.is_unknown() {
            return None;
        }
        *entry = Entry { record, evidence: Some(Evidence { since: now, cause }) };
        self.digest ^= record_digest(node, before) ^ record_digest(node, record);
        self.running_count =
            self.running_count + usize::from(record.is_running()) - usize::from(before.is_running());
        Some(Change { node, before, after: record, cause })
    }
}

#[cfg(test)]
mod tests;
