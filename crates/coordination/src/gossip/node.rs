//! The gossip protocol of one node. In each interval the node probes one other node. It suspects nodes that
//! do not answer, declares nodes dead that do not refute the suspicion, passes changed records on, and
//! repairs views that differ.

use super::datagram::{Body, Datagram};
use super::dissemination::Dissemination;
use super::local_health::LocalHealth;
use super::probing::{Acknowledged, PendingProbe, Probes, RETRY_ATTEMPTS, RelayedProbe};
use super::repair::{RepairBudget, repair_datagrams};
use super::suspicion::Suspicions;
use super::timing::{ACK_TIMEOUT_INTERVALS, GossipTiming, JOIN_INTERVALS, STALL_INTERVALS};
use super::types::{Cause, Change, Incarnation, Micros, NodeId, NodeRecord, NodeState, NodeStatus};
use super::view::View;
use std::collections::BTreeMap;

/// While probes are at their last attempt, a node starts more than one probe in an interval, at most this
/// many beside the first. If most of a fleet stops at once, the remaining nodes have to find each dead node
/// within a few intervals.
const MAX_EXTRA_PROBES: usize = 3;

/// The results of a call, which the caller has to handle.
#[derive(Debug, Default)]
pub struct Output {
    /// Datagrams to send, in order.
    pub datagrams: Vec<Datagram>,
    /// Changed records, to be reported to operators.
    pub changes: Vec<Change>,
}

/// The last datagram received from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastContact {
    /// When the datagram arrived.
    pub at: Micros,
    /// The status that the node reported.
    pub status: NodeStatus,
    /// The digest of the node's view.
    pub digest: u64,
}

/// One node of the failure detector.
#[derive(Debug)]
pub struct GossipNode {
    id: NodeId,
    incarnation: Incarnation,
    timing: GossipTiming,
    status: NodeStatus,
    /// Whether this node has announced its shutdown.
    left: bool,
    /// Whether this node's view was complete at some time since its start, or [`JOIN_INTERVALS`] have passed.
    joined: bool,
    join_deadline: Micros,
    view: View,
    rng: fastrand::Rng,
    probes: Probes,
    suspicions: Suspicions,
    dissemination: Dissemination,
    repairs: RepairBudget,
    local_health: LocalHealth,
    last_contacts: BTreeMap<NodeId, LastContact>,
    /// When this node last heard any other node.
    last_heard_at: Micros,
    next_interval_at: Micros,
    last_tick_at: Micros,
}

impl GossipNode {
    /// Creates the node `id` of `node_count` nodes. `seconds` is the time of the wall clock; it makes the
    /// incarnation greater than those of earlier starts.
    pub fn new(
        id: NodeId,
        node_count: usize,
        timing: GossipTiming,
        now: Micros,
        seconds: u64,
        seed: u64,
    ) -> GossipNode {
        let mut rng = fastrand::Rng::with_seed(seed);
        let incarnation = Incarnation::started_at(seconds);
        let mut view = View::new(node_count);
        view.merge(now, id, NodeRecord { incarnation, state: NodeState::Joining }, Cause::DirectContact);
        let mut node = GossipNode {
            id,
            incarnation,
            timing,
            status: NodeStatus::default(),
            left: false,
            joined: false,
            join_deadline: now + JOIN_INTERVALS * timing.probe_interval_us,
            view,
            // Nodes that start at the same moment must not probe in step.
            next_interval_at: now + rng.u64(0..timing.probe_interval_us.max(1)),
            rng,
            probes: Probes::default(),
            suspicions: Suspicions::default(),
            dissemination: Dissemination::default(),
            repairs: RepairBudget::default(),
            local_health: LocalHealth::default(),
            last_contacts: BTreeMap::new(),
            last_heard_at: now,
            last_tick_at: now,
        };
        let is_alone = node_count < 2;
        if is_alone {
            node.join(now, &mut Output::default());
        }
        node
    }

    /// This node's view of all nodes.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// This node's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The last datagram received from a node, if there was one.
    pub fn last_contact(&self, node: NodeId) -> Option<&LastContact> {
        self.last_contacts.get(&node)
    }

    /// Sets the status that this node reports in each datagram.
    pub fn set_status(&mut self, status: NodeStatus) {
        self.status = status;
    }

    /// When [`GossipNode::tick`] is due.
    pub fn next_tick_at(&self) -> Micros {
        let ack_timeout = self.ack_timeout();
        let attempts = self.probes.pending.iter().map(|probe| probe.next_attempt_at(ack_timeout));
        attempts.chain(self.suspicions.deadlines()).fold(self.next_interval_at, Micros::min)
    }

    // ---- events ----

    /// Starts and retries the probes that are due at `now`, and handles timeouts.
    pub fn tick(&mut self, now: Micros) -> Output {
        let mut out = Output::default();
        self.recover_from_stall(now);
        self.retry_probes(now, &mut out);
        self.expire_probes(now, &mut out);
        self.expire_suspicions(now, &mut out);
        if now >= self.next_interval_at {
            self.begin_interval(now, &mut out);
        }
        out
    }

    /// Handles a datagram. The caller has checked that it came from the address of the node that it names as
    /// its sender.
    pub fn step(&mut self, now: Micros, datagram: Datagram) -> Output {
        let mut out = Output::default();
        let Datagram { from, to, incarnation, joined, sequence, digest, status, body } = datagram;
        let is_for_former_owner_of_address = to != self.id;
        if is_for_former_owner_of_address || from == self.id || usize::from(from) >= self.view.node_count() {
            return out;
        }
        self.last_heard_at = now;
        let known = self.view.record(from).unwrap_or_default();
        // A known suspicion of this incarnation stays: the node has to refute it with a later incarnation.
        let state = if joined { NodeState::Alive } else { NodeState::Joining };
        self.merge(now, from, NodeRecord { incarnation, state }, Cause::DirectContact, &mut out);
        // A late datagram of an earlier incarnation does not describe the present one.
        if incarnation >= known.incarnation {
            self.last_contacts.insert(from, LastContact { at: now, status, digest });
        }
        match body {
            Body::Probe(records) => {
                self.merge_all(now, from, &records, &mut out);
                self.acknowledge(from, sequence, self.id, &mut out);
            }
            Body::Ack { subject, records } => {
                self.merge_all(now, from, &records, &mut out);
                self.on_ack(subject, sequence, &mut out);
            }
            Body::IndirectProbe { target, records } => {
                self.merge_all(now, from, &records, &mut out);
                self.relay_probe(from, sequence, target, &mut out);
            }
            Body::BlockDigests(digests) => {
                for body in repair_datagrams(&self.view, &digests, &mut self.rng) {
                    self.send(from, 0, body, &mut out);
                }
            }
            Body::Repair(records) => self.merge_all(now, from, &records, &mut out),
        }
        if digest == self.view.digest() {
            self.join(now, &mut out);
        } else {
            self.start_repair(from, &mut out);
        }
        out
    }

    /// Announces this node's shutdown to a few other nodes.
    pub fn leave(&mut self, now: Micros) -> Output {
        let mut out = Output::default();
        self.left = true;
        self.merge_own(now, NodeState::Left, &mut out);
        for other in self.random_running(2 * self.timing.indirect_probes, self.id) {
            self.probe(other, 0, &mut out);
        }
        out
    }

    // ---- probing (SWIM, section 4.1) ----

    /// Detects that this node was not scheduled for long. Such a node has missed acknowledgements, and
    /// refutations that were sent to others.
    fn recover_from_stall(&mut self, now: Micros) {
        let stalled = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        if stalled > STALL_INTERVALS * self.timing.probe_interval_us {
            self.probes.pending.clear();
            self.suspicions.extend_all(stalled);
            self.local_health.degrade();
        }
    }

    fn begin_interval(&mut self, now: Micros, out: &mut Output) {
        self.next_interval_at = now + self.timing.probe_interval_us;
        self.repairs.reset();
        if now >= self.join_deadline {
            self.join(now, out);
        }
        for _ in 0..=self.probes.on_last_attempt().min(MAX_EXTRA_PROBES) {
            if let Some(probe) = self.probes.start_next(now, self.id, &self.view, &mut self.rng) {
                self.probe(probe.target, probe.sequence, out);
            }
        }
        self.probe_suspects(out);
        if let Some(target) = self.probes.next_not_running(self.id, &self.view, &mut self.rng) {
            self.probe(target, 0, out);
        }
    }

    /// How long a probe may wait for its acknowledgement.
    fn ack_timeout(&self) -> Micros {
        self.timing.probe_interval_us * (ACK_TIMEOUT_INTERVALS + self.local_health.extra_intervals())
    }

    /// Retries probes without an acknowledgement by indirect probes; the last attempt adds another direct
    /// probe.
    fn retry_probes(&mut self, now: Micros, out: &mut Output) {
        let ack_timeout = self.ack_timeout();
        for at in 0..self.probes.pending.len() {
            let probe = &mut self.probes.pending[at];
            if probe.retries == RETRY_ATTEMPTS || now < probe.next_attempt_at(ack_timeout) {
                continue;
            }
            probe.retries += 1;
            let PendingProbe { target, sequence, retries, .. } = *probe;
            if retries == RETRY_ATTEMPTS {
                self.probe(target, sequence, out);
            }
            for helper in self.random_running(self.timing.indirect_probes, target) {
                let records = self.dissemination.piggyback(helper, &self.view);
                self.send(helper, sequence, Body::IndirectProbe { target, records }, out);
            }
        }
    }

    fn expire_probes(&mut self, now: Micros, out: &mut Output) {
        for probe in self.probes.take_expired(now, self.ack_timeout()) {
            let PendingProbe { target, incarnation, sent_at, .. } = probe;
            // If this node has heard no other node since it sent the probe, this node may be the faulty one.
            if self.last_heard_at <= sent_at {
                self.local_health.degrade();
            }
            if self.view.record(target).is_some_and(|known| known.incarnation == incarnation) {
                let suspect = NodeRecord { incarnation, state: NodeState::Suspect };
                self.merge(now, target, suspect, Cause::ProbeTimeout, out);
            }
        }
    }

    /// Probes the nodes that this node itself suspects, once in each interval, so that they learn of the
    /// suspicion and can refute it.
    fn probe_suspects(&mut self, out: &mut Output) {
        let found_here = |node: &NodeId| {
            self.view.evidence(*node).is_some_and(|evidence| evidence.cause == Cause::ProbeTimeout)
        };
        let targets: Vec<NodeId> = self.suspicions.suspects().filter(found_here).collect();
        for target in targets {
            self.probe(target, 0, out);
        }
    }

    fn relay_probe(&mut self, requester: NodeId, requester_sequence: u32, target: NodeId, out: &mut Output) {
        if target != self.id && usize::from(target) < self.view.node_count() {
            let sequence = self.probes.relay(requester, requester_sequence);
            self.probe(target, sequence, out);
        }
    }

    fn on_ack(&mut self, subject: NodeId, sequence: u32, out: &mut Output) {
        match self.probes.acknowledge(subject, sequence) {
            Acknowledged::Own => self.local_health.improve(),
            Acknowledged::Relayed(RelayedProbe { requester, requester_sequence, .. }) => {
                self.acknowledge(requester, requester_sequence, subject, out);
            }
            Acknowledged::Nothing => {}
        }
    }

    /// Up to `count` other running nodes, drawn at random, except the node `without`.
    fn random_running(&mut self, count: usize, without: NodeId) -> Vec<NodeId> {
        let others = self.view.running().filter(|other| *other != self.id && *other != without);
        let others: Vec<NodeId> = others.collect();
        self.rng.choose_multiple(others, count)
    }

    // ---- suspicion and refutation (SWIM, section 4.2) ----

    fn suspicion_timeout(&self) -> Micros {
        self.timing.suspicion_timeout(self.view.node_count())
            + self.timing.probe_interval_us * self.local_health.extra_intervals()
    }

    fn expire_suspicions(&mut self, now: Micros, out: &mut Output) {
        for node in self.suspicions.expired(now) {
            let Some(known) = self.view.record(node) else { continue };
            let dead = NodeRecord { state: NodeState::Dead, ..known };
            self.merge(now, node, dead, Cause::SuspicionTimeout, out);
            self.suspicions.end(node);
        }
    }

    /// Replaces the known record if the new one is greater, and passes the new record on.
    fn merge(&mut self, now: Micros, node: NodeId, record: NodeRecord, cause: Cause, out: &mut Output) {
        let Some(change) = self.view.merge(now, node, record, cause) else { return };
        self.dissemination.enqueue(node);
        self.suspicions.end(node);
        if record.state == NodeState::Suspect {
            self.suspicions.start(node, now + self.suspicion_timeout());
        }
        if record.incarnation > change.before.incarnation {
            self.probes.cancel(node);
        }
        out.changes.push(change);
    }

    fn merge_own(&mut self, now: Micros, state: NodeState, out: &mut Output) {
        let record = NodeRecord { incarnation: self.incarnation, state };
        self.merge(now, self.id, record, Cause::DirectContact, out);
    }

    /// Merges the records that another node passed on. Refutes records that contradict this node's own state.
    fn merge_all(&mut self, now: Micros, from: NodeId, records: &[(NodeId, NodeRecord)], out: &mut Output) {
        for (node, record) in records {
            if *node == self.id {
                self.refute(now, *record, out);
            } else {
                self.merge(now, *node, *record, Cause::GossipFrom(from), out);
            }
        }
    }

    /// If `claim` says that this node is suspect or dead, or names a later incarnation than its own, takes an
    /// incarnation that is greater than the claimed one.
    fn refute(&mut self, now: Micros, claim: NodeRecord, out: &mut Output) {
        let is_wrong = claim.incarnation == self.incarnation && claim.state > NodeState::Alive && !self.left;
        if claim.incarnation > self.incarnation || is_wrong {
            let own = self.view.record(self.id).unwrap_or_default();
            self.incarnation = claim.incarnation.next();
            let state = if self.left { NodeState::Left } else { own.state.min(NodeState::Alive) };
            self.merge_own(now, state, out);
        }
    }

    fn join(&mut self, now: Micros, out: &mut Output) {
        if !std::mem::replace(&mut self.joined, true) && !self.left {
            self.merge_own(now, NodeState::Alive, out);
        }
    }

    // ---- sending ----

    fn probe(&mut self, target: NodeId, sequence: u32, out: &mut Output) {
        let records = self.dissemination.piggyback(target, &self.view);
        self.send(target, sequence, Body::Probe(records), out);
    }

    fn acknowledge(&mut self, to: NodeId, sequence: u32, subject: NodeId, out: &mut Output) {
        let records = self.dissemination.piggyback(to, &self.view);
        self.send(to, sequence, Body::Ack { subject, records }, out);
    }

    /// Asks a node whose view differs from this node's for the differing records.
    fn start_repair(&mut self, peer: NodeId, out: &mut Output) {
        if self.repairs.try_start(peer) {
            let digests = self.view.block_digests();
            self.send(peer, 0, Body::BlockDigests(digests), out);
        }
    }

    fn send(&mut self, to: NodeId, sequence: u32, body: Body, out: &mut Output) {
        out.datagrams.push(Datagram {
            from: self.id,
            to,
            incarnation: self.incarnation,
            joined: self.joined,
            sequence,
            digest: self.view.digest(),
            status: self.status,
            body,
        });
    }
}
