//! The messages between nodes and their big-endian encoding: the format byte, a checksum of all bytes after
//! the checksum, the header's fields, then records or digests. Each datagram is decoded once. A datagram that
//! is truncated, corrupted, of another fleet or of a later format is an error.

use super::types::{Incarnation, NodeId, NodeRecord, NodeState, NodeStatus};
use super::view::MAX_BLOCKS;
use ring::digest;

/// Maximum length of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The first byte of each datagram of this format; other datagrams on the same socket begin differently.
pub const FORMAT: u8 = 0xf1;
const HEADER_BYTES: usize = 40;
const RECORD_BYTES: usize = 9;
const BLOCK_DIGEST_BYTES: usize = 3;
const INCARNATION_BYTES: usize = Incarnation::BITS as usize / 8;
const CHECKSUM_BYTES: usize = 4;
/// Maximum number of records in one datagram.
pub const MAX_RECORDS: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / RECORD_BYTES;
/// The encoded subject of a message that has none.
const NO_SUBJECT: NodeId = NodeId::MAX;

/// The key of a fleet's checksums: nodes of different fleets do not take each other's datagrams. It guards
/// against accidents, not against an attacker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetKey([u8; 16]);

impl FleetKey {
    /// The key of a text with which all nodes of a fleet are configured.
    pub fn derive(text: &str) -> FleetKey {
        let mut key = [0; 16];
        key.copy_from_slice(&digest::digest(&digest::SHA256, text.as_bytes()).as_ref()[..16]);
        FleetKey(key)
    }

    fn checksum(&self, bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
        let mut context = digest::Context::new(&digest::SHA256);
        context.update(&self.0);
        context.update(bytes);
        let mut checksum = [0; CHECKSUM_BYTES];
        checksum.copy_from_slice(&context.finish().as_ref()[..CHECKSUM_BYTES]);
        checksum
    }
}

/// The kinds of messages. The first three are SWIM's ping, ack and ping-req.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Asks the receiver for an acknowledgement with the same sequence number.
    Probe(Vec<(NodeId, NodeRecord)>),
    /// Acknowledges a probe.
    Ack {
        /// The node that was probed; in the answer to an indirect probe this is not the sender.
        subject: NodeId,
        /// Piggybacked records.
        records: Vec<(NodeId, NodeRecord)>,
    },
    /// Asks the receiver to probe another node and to pass its acknowledgement back.
    IndirectProbe {
        /// The node to be probed.
        target: NodeId,
        /// Piggybacked records.
        records: Vec<(NodeId, NodeRecord)>,
    },
    /// Digests of the blocks of a view that differs from the receiver's; asks for the records that differ.
    BlockDigests(Vec<u32>),
    /// Records of blocks that differ.
    Repair(Vec<(NodeId, NodeRecord)>),
}

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The sender.
    pub from: NodeId,
    /// The receiver.
    pub to: NodeId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Whether the sender has joined: its view was complete at some time since its start, or it no longer
    /// waits for that.
    pub joined: bool,
    /// The number of a probe, and of its acknowledgement; 0 where none is expected.
    pub sequence: u32,
    /// The digest of the sender's view.
    pub digest: u64,
    /// The sender's status.
    pub status: NodeStatus,
    /// The message.
    pub body: Body,
}

/// Why bytes are not a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The first byte names a format that this version does not know.
    #[error("unknown format")]
    UnknownFormat,
    /// The datagram is too short or too long.
    #[error("too short or too long")]
    Length,
    /// The datagram is corrupted or of another fleet.
    #[error("the checksum does not match")]
    Checksum,
    /// The checksum matches, but a field has a value that this version does not know.
    #[error("unknown kind, state or count")]
    Malformed,
}

impl Datagram {
    /// Encodes the datagram, with a checksum made with the fleet's key.
    pub fn encode(&self, key: &FleetKey) -> Vec<u8> {
        let (kind, subject) = match &self.body {
            Body::Probe(_) => (1, NO_SUBJECT),
            Body::Ack { subject, .. } => (2, *subject),
            Body::IndirectProbe { target, .. } => (3, *target),
            Body::BlockDigests(_) => (4, NO_SUBJECT),
            Body::Repair(_) => (5, NO_SUBJECT),
        };
        let mut out = vec![FORMAT, 0, 0, 0, 0, kind];
        for node in [self.to, self.from, subject] {
            out.extend(node.to_be_bytes());
        }
        put_incarnation(&mut out, self.incarnation);
        out.extend(self.sequence.to_be_bytes());
        out.extend(self.digest.to_be_bytes());
        out.extend(self.status.node_list_version.to_be_bytes());
        out.extend(self.status.configuration_revision.to_be_bytes());
        out.push(
            u8::from(self.status.draining) << 7 | u8::from(self.joined) << 6 | self.status.pressure.min(3),
        );
        match &self.body {
            Body::Probe(records)
            | Body::Ack { records, .. }
            | Body::IndirectProbe { records, .. }
            | Body::Repair(records) => {
                let records = &records[..records.len().min(MAX_RECORDS)];
                out.push(records.len() as u8);
                for (node, record) in records {
                    out.extend(node.to_be_bytes());
                    put_incarnation(&mut out, record.incarnation);
                    out.push(record.state as u8);
                }
            }
            Body::BlockDigests(digests) => {
                let digests = &digests[..digests.len().min(MAX_BLOCKS)];
                out.push(digests.len() as u8);
                digests.iter().for_each(|digest| out.extend(&digest.to_be_bytes()[1..]));
            }
        }
        let checksum = key.checksum(&out[1 + CHECKSUM_BYTES..]);
        out[1..=CHECKSUM_BYTES].copy_from_slice(&checksum);
        out
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are truncated, of another fleet, corrupted or of a format that this version does not know.
    pub fn decode(bytes: &[u8], key: &FleetKey) -> Result<Datagram, DecodeError> {
        let (format, rest) = bytes.split_first().ok_or(DecodeError::Length)?;
        if *format != FORMAT {
            return Err(DecodeError::UnknownFormat);
        }
        if bytes.len() < HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Length);
        }
        let (checksum, checked) = rest.split_at(CHECKSUM_BYTES);
        if checksum != key.checksum(checked) {
            return Err(DecodeError::Checksum);
        }
        let mut fields = Fields(checked);
        let kind = fields.take(1);
        let (to, from, subject) = (fields.node(), fields.node(), fields.node());
        let (incarnation, sequence, digest) = (fields.incarnation(), fields.take(4) as u32, fields.take(8));
        let (node_list_version, configuration_revision) = (fields.take(4) as u32, fields.take(4) as u32);
        let flags = fields.take(1) as u8;
        let (draining, joined, pressure) = (flags >> 7 == 1, flags >> 6 & 1 == 1, flags & 3);
        let status = NodeStatus { node_list_version, configuration_revision, draining, pressure };
        let count = fields.take(1) as usize;
        let item_bytes = if kind == 4 { BLOCK_DIGEST_BYTES } else { RECORD_BYTES };
        if fields.0.len() != count * item_bytes || incarnation.is_unknown() {
            return Err(DecodeError::Malformed);
        }
        let body = if kind == 4 {
            Body::BlockDigests((0..count).map(|_| fields.take(BLOCK_DIGEST_BYTES) as u32).collect())
        } else {
            let records = (0..count).map(|_| fields.record()).collect::<Result<Vec<_>, _>>()?;
            match kind {
                1 => Body::Probe(records),
                2 => Body::Ack { subject, records },
                3 => Body::IndirectProbe { target: subject, records },
                5 => Body::Repair(records),
                _ => return Err(DecodeError::Malformed),
            }
        };
        Ok(Datagram { from, to, incarnation, joined, sequence, digest, status, body })
    }
}

fn put_incarnation(out: &mut Vec<u8>, incarnation: Incarnation) {
    let bytes = incarnation.bits().to_be_bytes();
    out.extend(&bytes[bytes.len() - INCARNATION_BYTES..]);
}

/// Reads fields one after another. The caller checks the length; reading beyond the end yields zeros.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn take(&mut self, bytes: usize) -> u64 {
        let (taken, rest) = self.0.split_at(bytes.min(self.0.len()));
        self.0 = rest;
        taken.iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
    }

    fn node(&mut self) -> NodeId {
        self.take(size_of::<NodeId>()) as NodeId
    }

    fn incarnation(&mut self) -> Incarnation {
        Incarnation::from_bits(self.take(INCARNATION_BYTES))
    }

    fn record(&mut self) -> Result<(NodeId, NodeRecord), DecodeError> {
        let (node, incarnation) = (self.node(), self.incarnation());
        let state = NodeState::ALL.get(self.take(1) as usize).copied().ok_or(DecodeError::Malformed)?;
        Ok((node, NodeRecord { incarnation, state }))
    }
}

#[cfg(test)]
mod tests;
