//! Replication of the log at this core: the replica (Raft, `pathbank_coordination`), its disk, and the
//! proposals and messages that wait for either. Sends nothing and applies nothing itself: both are left to
//! the caller.

use super::disk::Disk;
use super::event::DiskEvent;
use super::preparation::MAX_INLINE_COMMAND_BYTES;
use pathbank_control::operator_calls::{LEADER_TIMEOUT_MS, LeadershipStatus, Reply};
use pathbank_control::state::ControlState;
use pathbank_coordination::compaction::LogSize;
use pathbank_coordination::membership_changes;
use pathbank_coordination::recent_peers::RecentPeers;
use pathbank_coordination::record::Record;
use pathbank_coordination::replica::{Effects, Outgoing, ProposeError, Replica, Role};
use pathbank_coordination::types::{Index, Member, Message, Term};
use std::collections::{BTreeMap, VecDeque};
use tokio::sync::oneshot;

/// A disk whose oldest write has not ended after this counts as impaired.
const WRITE_STALL_TIMEOUT_MS: u64 = 1_500;

/// A caller that waits for its command to be committed.
pub struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<Reply>,
}

impl PendingProposal {
    /// Answers the caller. `term`: that of the committed entry; another term's entry is another command, and
    /// the outcome of the caller's is unclear.
    pub fn answer(self, term: Term, outcome: impl FnOnce() -> Reply) {
        let reply = if self.term == term { outcome() } else { Reply::unclear() };
        let _ = self.reply.send(reply);
    }

    /// Answers that the outcome is unclear.
    pub fn answer_unclear(self) {
        let _ = self.reply.send(Reply::unclear());
    }
}

/// Messages that may leave only once the disk has synced up to a ticket.
struct PendingMessages {
    ticket: u64,
    messages: Vec<Outgoing>,
}

/// The replica, its disk, and what waits for them.
pub struct Replication {
    replica: Replica,
    disk: Disk,
    pending_messages: VecDeque<PendingMessages>,
    /// The last ticket that the disk reported as synced.
    saved_ticket: u64,
    last_ticket: u64,
    /// When the oldest write that has not ended began.
    writing_since: Option<u64>,
    writes_fail: bool,
    /// What the replica last knew of the disk.
    is_impaired: bool,
    pending_proposals: BTreeMap<Index, Vec<PendingProposal>>,
    /// Addresses of replicas that sent a message lately.
    callers: RecentPeers,
    logged_role: Option<(Role, Term)>,
}

impl Replication {
    /// A replica on what the disk holds. Its long commands have to be prepared.
    pub fn new(mut replica: Replica, disk: Disk) -> Replication {
        replica.set_max_unprepared_bytes(MAX_INLINE_COMMAND_BYTES);
        Replication {
            replica,
            disk,
            pending_messages: VecDeque::new(),
            saved_ticket: 0,
            last_ticket: 0,
            writing_since: None,
            writes_fail: false,
            is_impaired: false,
            pending_proposals: BTreeMap::new(),
            callers: RecentPeers::default(),
            logged_role: None,
        }
    }

    /// The replica's state.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Whether what this core has applied is the newest that it could know of.
    pub fn is_current(&self, now: u64) -> bool {
        self.replica.is_current(now, LEADER_TIMEOUT_MS)
    }

    /// Whether this core may answer operators' calls.
    pub fn leadership_status(&self, now: u64) -> LeadershipStatus {
        LeadershipStatus::of(&self.replica, now)
    }

    /// Addresses of voters, learners and stores that called lately.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        let members = self.replica.membership().members().map(|member| &member.address);
        let learners = self.replica.peers().map(|peer| &peer.member.address);
        members.chain(learners).map(String::as_str).chain(self.callers.addresses())
    }

    // ---- inputs of the replica; each returns effects to carry out ----

    /// Time has passed.
    pub fn tick(&mut self, now: u64) -> Effects {
        self.replica.tick(now)
    }

    /// A message from another replica.
    pub fn step(&mut self, now: u64, from: Member, message: Message) -> Effects {
        self.replica.step(now, from, message)
    }

    /// Records the sender of a message. Returns whether it is a new one.
    pub fn record_caller(&mut self, now: u64, address: &str) -> bool {
        self.callers.record(now, address)
    }

    /// Forgets senders that have been silent for long.
    pub fn forget_silent_callers(&mut self, now: u64) {
        self.callers.expire(now);
    }

    /// Committed entries that were put off so that other events come in between.
    pub fn apply_more(&mut self) -> Effects {
        self.replica.apply_more()
    }

    /// A command that had to be prepared can be applied.
    pub fn set_prepared(&mut self, index: Index) {
        self.replica.set_prepared(index);
    }

    /// Asks the leader to replace this voter before it shuts down.
    pub fn leave(&mut self, now: u64) -> Effects {
        self.replica.leave(now)
    }

    /// Lets another voter stand for election at once. `calls_settled`: see [`Replica::report_calls`].
    pub fn transfer_leadership(&mut self, now: u64, calls_settled: bool) -> Effects {
        self.replica.transfer_leadership(now, calls_settled)
    }

    /// Hands over, if this core leads, once its calls are settled.
    pub fn hand_over(&mut self) {
        self.replica.hand_over();
    }

    /// Whether nothing that leaders have sent outside the group may still arrive; completes a hand-over.
    pub fn report_calls(&mut self, now: u64, settled: bool) -> Effects {
        self.replica.report_calls(now, settled)
    }

    /// The leader's next change of the membership, if one is due.
    pub fn change_membership(&mut self, now: u64) -> Option<Effects> {
        membership_changes::reconcile(&mut self.replica, now)
    }

    /// Proposes a command, if this core leads.
    pub fn propose(&mut self, now: u64, command: Vec<u8>) -> Result<(Index, Effects), ProposeError> {
        self.replica.propose(now, command)
    }

    // ---- the disk ----

    /// Hands records to the disk. Returns the messages that may leave now; the others wait for the sync.
    pub fn persist(&mut self, now: u64, records: Vec<Record>, messages: Vec<Outgoing>) -> Vec<Outgoing> {
        self.log_role();
        if !records.is_empty() {
            let last_index = self.replica.durable().last_index();
            self.last_ticket = self.disk.append(records, last_index);
            self.writing_since.get_or_insert(now);
        }
        let is_saved = self.saved_ticket >= self.last_ticket;
        let (pending, ready): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|message| message.after_save && !is_saved);
        if !pending.is_empty() {
            self.pending_messages.push_back(PendingMessages { ticket: self.last_ticket, messages: pending });
        }
        ready
    }

    /// The disk reported. Returns the messages that may leave now, and the last entry that was synced.
    pub fn on_disk(&mut self, now: u64, event: DiskEvent) -> (Vec<Outgoing>, Option<Index>) {
        match event {
            DiskEvent::Saved { ticket, last_index } => {
                self.saved_ticket = ticket;
                self.writing_since = (ticket < self.last_ticket).then_some(now);
                (self.take_ready_messages(ticket), last_index)
            }
            DiskEvent::Impaired(writes_fail) => {
                self.writes_fail = writes_fail;
                (Vec::new(), None)
            }
            DiskEvent::StoreSetAside => (Vec::new(), None),
        }
    }

    fn take_ready_messages(&mut self, ticket: u64) -> Vec<Outgoing> {
        let mut ready = Vec::new();
        while let Some(pending) = self.pending_messages.pop_front_if(|pending| pending.ticket <= ticket) {
            ready.extend(pending.messages);
        }
        ready
    }

    /// The log is synced up to an entry.
    pub fn saved(&mut self, now: u64, last_index: Index) -> Effects {
        self.replica.on_persisted(now, last_index)
    }

    /// Whether the disk has become impaired, or works again, since the last call. `None`: no change.
    pub fn impairment_change(&mut self, now: u64) -> Option<bool> {
        let stalled = self.writing_since.is_some_and(|since| now > since + WRITE_STALL_TIMEOUT_MS);
        let is_impaired = self.writes_fail || stalled;
        if is_impaired == self.is_impaired {
            return None;
        }
        self.is_impaired = is_impaired;
        Some(is_impaired)
    }

    /// A replica that cannot save does not lead.
    pub fn set_impaired(&mut self, now: u64, is_impaired: bool) -> Effects {
        self.replica.set_impaired(now, is_impaired)
    }

    /// Sets the log aside, with a state that differs from that of the group.
    pub fn set_store_aside(&mut self, state: ControlState) {
        self.pending_messages.clear();
        self.disk.set_aside(state);
    }

    // ---- compaction ----

    /// Whether the log has to be replaced by a snapshot. `log_bytes`: applied since the last one.
    pub fn needs_compaction(&self, now: u64, applied: Index, log_bytes: usize) -> bool {
        let snapshot = &self.replica.durable().snapshot;
        let log = LogSize {
            entries: applied.saturating_sub(snapshot.index),
            bytes: log_bytes,
            snapshot_bytes: snapshot.data.len(),
            snapshot_in_transfer: self.replica.is_sending_snapshot(now),
        };
        log.needs_compaction()
    }

    /// Replaces the log up to the applied entry by a snapshot of the state machine, and rewrites the file.
    pub fn compact(&mut self, applied: Index, leaders: Vec<String>, data: Vec<u8>) {
        let effects = self.replica.compact(applied, leaders, data);
        if !effects.records.is_empty() {
            let durable = self.replica.durable().clone();
            self.last_ticket = self.disk.rewrite(durable);
        }
    }

    // ---- pending proposals ----

    /// A caller waits for the entry that was proposed at an index.
    pub fn await_commit(&mut self, index: Index, reply: oneshot::Sender<Reply>) {
        let term = self.replica.term();
        self.pending_proposals.entry(index).or_default().push(PendingProposal { term, reply });
    }

    /// RecentPeers that wait for the entry at an index.
    pub fn take_proposals(&mut self, index: Index) -> Vec<PendingProposal> {
        self.pending_proposals.remove(&index).unwrap_or_default()
    }

    /// This core does not lead: the outcome of its proposals is decided elsewhere, and callers need not wait.
    pub fn abandon_proposals(&mut self) {
        for proposal in std::mem::take(&mut self.pending_proposals).into_values().flatten() {
            proposal.answer_unclear();
        }
    }

    fn log_role(&mut self) {
        let role = (self.replica.role(), self.replica.term());
        if self.logged_role != Some(role) {
            self.logged_role = Some(role);
            tracing::info!(role = ?role.0, term = role.1, last = self.replica.durable().last_index(), "role");
        }
    }
}
