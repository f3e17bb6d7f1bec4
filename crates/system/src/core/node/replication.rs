//! The replica's part of a core: effects carried out, operators' changes, the group of voters.

use super::Node;
use crate::core::disk::Disk;
use crate::core::event::DiskEvent;
use pathbank_control::operator_calls::{self, LEADER_TIMEOUT_MS, LeadershipStatus, Reply};
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::{Change, Command, ControlState, StateError};
use pathbank_coordination::compaction::LogSize;
use pathbank_coordination::membership_changes;
use pathbank_coordination::recent_peers::RecentPeers;
use pathbank_coordination::replica::{Effects, Outgoing, Replica, Role};
use pathbank_coordination::types::{Entry, Index, Member, Message, Payload, Snapshot, Term};
use pathbank_protocol::message::Frame;
use std::collections::{BTreeMap, VecDeque};
use tokio::sync::oneshot;

/// A write that has not ended for so long counts as a disk that takes nothing, milliseconds.
const WRITE_STALL_TIMEOUT_MS: u64 = 1_500;

struct PendingProposal {
    term: Term,
    reply: oneshot::Sender<Reply>,
}

struct PendingMessages {
    ticket: u64,
    messages: Vec<Outgoing>,
}

/// The replica with what waits for it.
pub struct Replication {
    pub replica: Replica,
    disk: Disk,
    /// Messages that may leave only once the disk is that far.
    held: VecDeque<PendingMessages>,
    saved_ticket: u64,
    last_ticket: u64,
    /// When the oldest write that has not ended began.
    writing_since: Option<u64>,
    refused: bool,
    impaired: bool,
    waiting: BTreeMap<Index, Vec<PendingProposal>>,
    /// Addresses of replicas that spoke lately.
    pub callers: RecentPeers,
    log_bytes: usize,
    applied: Index,
    /// The role and term that were told to the log last.
    logged_role: Option<(Role, Term)>,
}

impl Replication {
    pub fn new(replica: Replica, disk: Disk) -> Replication {
        let applied = replica.durable().snapshot.index;
        Replication {
            replica,
            disk,
            held: VecDeque::new(),
            saved_ticket: 0,
            last_ticket: 0,
            writing_since: None,
            refused: false,
            impaired: false,
            waiting: BTreeMap::new(),
            callers: RecentPeers::default(),
            log_bytes: 0,
            applied,
            logged_role: None,
        }
    }

    /// The last entry that was applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Whoever waits for a change at a head that does not lead any more hears so at once: its end is decided
    /// elsewhere.
    fn answer_waiting(&mut self) {
        for change in std::mem::take(&mut self.waiting).into_values().flatten() {
            let _ = change.reply.send(Reply::unclear());
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

impl Node {
    /// Carries out what the replica asked for: save, send, apply.
    pub(super) fn carry_out(&mut self, now: u64, effects: Effects) {
        let Effects { records, messages, install, committed } = effects;
        let replication = &mut self.replication;
        replication.log_role();
        if !records.is_empty() {
            let last_index = replication.replica.durable().last_index();
            replication.last_ticket = replication.disk.append(records, last_index);
            replication.writing_since.get_or_insert(now);
        }
        let saved = replication.saved_ticket >= replication.last_ticket;
        let (wait, go): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|message| message.after_save && !saved);
        if !wait.is_empty() {
            let ticket = replication.last_ticket;
            replication.held.push_back(PendingMessages { ticket, messages: wait });
        }
        self.send_replica_messages(go);
        if let Some(snapshot) = install {
            self.install(snapshot);
        }
        let version = self.state.version();
        for entry in committed {
            self.apply(now, entry);
        }
        self.log_configuration(version);
        if self.replication.replica.role() != Role::Leader {
            self.leadership.revoke();
            self.replication.answer_waiting();
        }
        self.publish_configuration(now);
        self.publish_versions(now);
        self.compact(now);
    }

    /// Whether entries of the log wait to be applied.
    pub fn has_more_to_apply(&self) -> bool {
        self.replication.replica.has_more_to_apply()
    }

    /// Applies some of the entries that wait. Other events come in between.
    pub fn apply_more(&mut self, now: u64) {
        let effects = self.replication.replica.apply_more();
        self.carry_out(now, effects);
    }

    fn send_replica_messages(&self, messages: Vec<Outgoing>) {
        let me = self.replication.replica.me();
        for Outgoing { to, message, .. } in messages {
            if let Ok(address) = to.address.parse() {
                self.mesh.send(address, &Frame::Replica(me.clone(), message));
            }
        }
    }

    pub(super) fn on_replica_message(&mut self, now: u64, from: Member, message: Message) {
        if self.replication.callers.record(now, &from.address) {
            self.open_links();
        }
        let effects = self.replication.replica.step(now, from, message);
        self.carry_out(now, effects);
    }

    // ---- the disk ----

    pub(super) fn on_disk(&mut self, now: u64, event: DiskEvent) {
        match event {
            DiskEvent::Saved { ticket, last_index } => {
                let replication = &mut self.replication;
                replication.saved_ticket = ticket;
                replication.writing_since = (ticket < replication.last_ticket).then_some(now);
                let mut ready = Vec::new();
                while replication.held.front().is_some_and(|held| held.ticket <= ticket) {
                    ready.extend(replication.held.pop_front().map(|held| held.messages).unwrap_or_default());
                }
                self.send_replica_messages(ready);
                if let Some(last_index) = last_index {
                    let effects = self.replication.replica.on_persisted(now, last_index);
                    self.carry_out(now, effects);
                }
            }
            DiskEvent::Impaired(refused) => self.replication.refused = refused,
        }
        self.watch_disk(now);
    }

    /// A store that cannot save leads nobody, and says so.
    pub(super) fn watch_disk(&mut self, now: u64) {
        let replication = &mut self.replication;
        let stalled = replication.writing_since.is_some_and(|since| now > since + WRITE_STALL_TIMEOUT_MS);
        let impaired = replication.refused || stalled;
        if impaired == replication.impaired {
            return;
        }
        replication.impaired = impaired;
        tracing::warn!(impaired, "disk");
        if impaired {
            let effects = self.replication.replica.transfer_leadership(now);
            self.carry_out(now, effects);
        }
        let effects = self.replication.replica.set_impaired(now, impaired);
        self.carry_out(now, effects);
    }

    fn compact(&mut self, now: u64) {
        let replication = &mut self.replication;
        let snapshot = &replication.replica.durable().snapshot;
        let log = LogSize {
            entries: replication.applied.saturating_sub(snapshot.index),
            bytes: replication.log_bytes,
            snapshot_bytes: snapshot.data.len(),
            snapshot_in_transfer: replication.replica.is_sending_snapshot(now),
        };
        if !log.needs_compaction() {
            return;
        }
        replication.log_bytes = 0;
        let data = self.state.encode();
        let leaders = self.leadership.fence.leaders();
        let effects = replication.replica.compact(replication.applied, leaders, data);
        if !effects.records.is_empty() {
            let durable = replication.replica.durable().clone();
            replication.last_ticket = replication.disk.rewrite(durable);
        }
    }

    // ---- the state machine ----

    /// Takes over a leader's snapshot.
    fn install(&mut self, snapshot: Snapshot) {
        match ControlState::decode(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => return self.fail(error),
        }
        self.leadership.fence.restore(snapshot.leaders);
        self.replication.applied = snapshot.index;
        self.note_document(snapshot.data.len());
    }

    /// This head cannot come to the state that the others have: it applies nothing more, and ends.
    fn fail(&mut self, error: StateError) {
        self.fatal.get_or_insert(error);
    }

    fn apply(&mut self, now: u64, entry: Entry) {
        if self.fatal.is_some() {
            return;
        }
        self.replication.applied = entry.index;
        self.replication.log_bytes += entry.payload.size();
        let waiting = self.replication.waiting.remove(&entry.index).unwrap_or_default();
        match &entry.payload {
            Payload::LeaderStart(name) => self.leadership.fence.record_leader(name),
            Payload::Membership(_) => self.open_links(),
            Payload::Command(bytes) => {
                let command = match Command::decode(bytes) {
                    Ok(command) => command,
                    Err(error) => return self.fail(error),
                };
                let result = self.state.apply(entry.index, &command);
                self.note_document(bytes.len());
                if let Command::Training(command) = &command {
                    self.on_training_applied(now, command, result.is_err());
                }
                for change in waiting {
                    let reply = match change.term == entry.term {
                        true => Reply::from_outcome(&result),
                        false => Reply::unclear(),
                    };
                    let _ = change.reply.send(reply);
                }
                return;
            }
        }
        for change in waiting {
            let _ = change.reply.send(Reply::unclear());
        }
    }

    /// One line for all changes that were applied in a row: a replayed log must not push other lines out.
    fn log_configuration(&self, version_before: u64) {
        let version = self.state.version();
        if version != version_before {
            let index = self.replication.applied;
            tracing::info!(version, version_before, index, "configuration committed");
        }
    }

    /// The document in force is one that edges may have. It was brought by so many bytes.
    pub(super) fn note_document(&mut self, bytes: usize) {
        if let Some((document, index)) = self.state.document() {
            self.publication.note(index, document, bytes);
        }
    }

    /// Whether what this head has applied is the newest that it could know of.
    pub(super) fn is_current(&self, now: u64) -> bool {
        self.replication.replica.is_current(now, LEADER_TIMEOUT_MS)
    }

    // ---- operators ----

    /// Leads a caller on to the leader, unless this head leads. Returns the sender if it does.
    pub(super) fn as_leader(
        &self,
        now: u64,
        reply: oneshot::Sender<Reply>,
    ) -> Option<oneshot::Sender<Reply>> {
        match LeadershipStatus::of(&self.replication.replica, now).redirect() {
            None => Some(reply),
            Some(turned_away) => {
                let _ = reply.send(turned_away);
                None
            }
        }
    }

    pub(super) fn on_change(&mut self, now: u64, change: Change, reply: oneshot::Sender<Reply>) {
        let standing = LeadershipStatus::of(&self.replication.replica, now);
        match operator_calls::check_change(&self.state, &standing, &change) {
            Ok(()) => self.propose_for(now, &Command::Change(change), reply),
            Err(answer) => drop(reply.send(answer)),
        }
    }

    /// Proposes a command whose caller waits for what comes of it.
    pub(super) fn propose_for(&mut self, now: u64, command: &Command, reply: oneshot::Sender<Reply>) {
        match self.replication.replica.propose(now, command.encode()) {
            Ok((index, effects)) => {
                let term = self.replication.replica.term();
                self.replication.waiting.entry(index).or_default().push(PendingProposal { term, reply });
                self.carry_out(now, effects);
            }
            Err(error) => {
                let _ = reply.send(Reply::Result(ResultCode::NoLeader, error.to_string()));
            }
        }
    }

    pub(super) fn on_read_configuration(&mut self, now: u64, reply: oneshot::Sender<Reply>) {
        let standing = LeadershipStatus::of(&self.replication.replica, now);
        let _ = reply.send(operator_calls::read_configuration(&self.state, &standing));
    }

    /// Proposes a command of the leader's own.
    pub(super) fn propose(&mut self, now: u64, command: &Command) {
        if let Ok((_, effects)) = self.replication.replica.propose(now, command.encode()) {
            self.carry_out(now, effects);
        }
    }

    // ---- the group ----

    /// Takes the next step towards the group that should be.
    pub(super) fn regroup(&mut self, now: u64) {
        if let Some(effects) = membership_changes::reconcile(&mut self.replication.replica, now) {
            tracing::info!(voters = ?self.replication.replica.membership().voters, "the group changes");
            self.carry_out(now, effects);
            self.open_links();
        }
    }

    /// Asks the others to let this store take part, while no leader speaks to it.
    pub(super) fn ask_to_join(&mut self, now: u64) {
        if self.replication.replica.wants_to_join(now) {
            let me = self.replication.replica.me().clone();
            self.mesh.send_to_all(&Frame::Replica(me, Message::Join));
        }
    }
}
