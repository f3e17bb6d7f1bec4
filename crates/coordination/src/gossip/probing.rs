//! Probes that wait for an acknowledgement, probes relayed for other nodes, and the choice of the next
//! target.

use super::types::{Incarnation, Micros, NodeId, NodeRecord};
use super::view::View;
use std::collections::VecDeque;

/// Maximum number of indirect probes that a node carries out for others at the same time.
const MAX_RELAYED_PROBES: usize = 64;
/// Attempts after the first one: indirect probes alone, then those and another direct one.
pub(super) const RETRY_ATTEMPTS: u32 = 2;

/// A probe that waits for its acknowledgement.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProbe {
    pub(super) target: NodeId,
    pub(super) sequence: u32,
    /// The incarnation that was probed: a later incarnation is not suspected if this probe fails.
    pub(super) incarnation: Incarnation,
    pub(super) sent_at: Micros,
    /// Attempts after the first one, at most [`RETRY_ATTEMPTS`].
    pub(super) retries: u32,
}

impl PendingProbe {
    /// When the next attempt is due, or after the last one the timeout.
    pub(super) fn next_attempt_at(&self, ack_timeout: Micros) -> Micros {
        self.sent_at
            + [ack_timeout / 4, ack_timeout / 2, ack_timeout][self.retries.min(RETRY_ATTEMPTS) as usize]
    }
}

/// An indirect probe that this node carries out for another one.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    sequence: u32,
    pub(super) requester: NodeId,
    pub(super) requester_sequence: u32,
}

/// The probe that an acknowledgement answers.
#[derive(Debug)]
pub(super) enum Acknowledged {
    /// A probe of this node.
    Own,
    /// A probe that this node carried out for another node.
    Relayed(RelayedProbe),
    /// No probe that is still pending.
    Nothing,
}

/// The probes of one node.
#[derive(Debug, Default)]
pub(super) struct Probes {
    pub(super) pending: Vec<PendingProbe>,
    relayed: VecDeque<RelayedProbe>,
    last_sequence: u32,
    /// Running nodes in a random order, each probed once before the order is drawn again (SWIM, section 4.3).
    round: VecDeque<NodeId>,
    /// Nodes that are not thought to run, in a random order, each probed once before the order is drawn
    /// again.
    rejoin_round: VecDeque<NodeId>,
}

impl Probes {
    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Starts a probe of the next running node, if there is one.
    pub(super) fn start_next(
        &mut self,
        now: Micros,
        own: NodeId,
        view: &View,
        rng: &mut fastrand::Rng,
    ) -> Option<PendingProbe> {
        if self.round.is_empty() {
            let mut others: Vec<NodeId> = view.running().filter(|other| *other != own).collect();
            rng.shuffle(&mut others);
            self.round = others.into();
        }
        while let Some(target) = self.round.pop_front() {
            let running = view.record(target).filter(|known| known.is_running());
            let Some(NodeRecord { incarnation, .. }) = running else { continue };
            let sequence = self.next_sequence();
            let probe = PendingProbe { target, sequence, incarnation, sent_at: now, retries: 0 };
            self.pending.push(probe);
            return Some(probe);
        }
        None
    }

    /// The next node that is not thought to run: it may have started, or come back, or be on the other side
    /// of a partition that has healed.
    pub(super) fn next_not_running(
        &mut self,
        own: NodeId,
        view: &View,
        rng: &mut fastrand::Rng,
    ) -> Option<NodeId> {
        if self.rejoin_round.is_empty() {
            let others = view.records().filter(|(other, record)| *other != own && !record.is_running());
            let mut others: Vec<NodeId> = others.map(|(other, _)| other).collect();
            rng.shuffle(&mut others);
            self.rejoin_round = others.into();
        }
        while let Some(target) = self.rejoin_round.pop_front() {
            if view.record(target).is_some_and(|record| !record.is_running()) {
                return Some(target);
            }
        }
        None
    }

    /// Registers a probe for another node. Returns the sequence number under which it is sent.
    pub(super) fn relay(&mut self, requester: NodeId, requester_sequence: u32) -> u32 {
        let sequence = self.next_sequence();
        if self.relayed.len() >= MAX_RELAYED_PROBES {
            self.relayed.pop_front();
        }
        self.relayed.push_back(RelayedProbe { sequence, requester, requester_sequence });
        sequence
    }

    /// Ends the probe that `subject` acknowledged.
    pub(super) fn acknowledge(&mut self, subject: NodeId, sequence: u32) -> Acknowledged {
        let own = |probe: &PendingProbe| probe.sequence == sequence && probe.target == subject;
        if let Some(at) = self.pending.iter().position(own) {
            self.pending.remove(at);
            return Acknowledged::Own;
        }
        let relayed = self.relayed.iter().position(|relayed| relayed.sequence == sequence);
        match relayed.and_then(|at| self.relayed.remove(at)) {
            Some(relayed) => Acknowledged::Relayed(relayed),
            None => Acknowledged::Nothing,
        }
    }

    /// Takes out the probes that were not acknowledged in time.
    pub(super) fn take_expired(&mut self, now: Micros, ack_timeout: Micros) -> Vec<PendingProbe> {
        self.pending.extract_if(.., |probe| now >= probe.sent_at + ack_timeout).collect()
    }

    /// How many probes have had their last attempt.
    pub(super) fn on_last_attempt(&self) -> usize {
        self.pending.iter().filter(|probe| probe.retries == RETRY_ATTEMPTS).count()
    }

    /// Forgets the probes of a node.
    pub(super) fn cancel(&mut self, target: NodeId) {
        self.pending.retain(|probe| probe.target != target);
    }
}
