//! Carries out the effects of the replica: saves, sends, applies; the membership of the group.

use super::Node;
use crate::core::event::DiskEvent;
use crate::core::state_machine::Applied;
use pathbank_control::operator_calls::Reply;
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::Command;
use pathbank_coordination::replica::{Effects, Outgoing, Role};
use pathbank_coordination::types::{Entry, Member, Message, Snapshot};
use pathbank_protocol::message::Frame;
use std::net::SocketAddr;
use tokio::sync::oneshot;

impl Node {
    /// Carries out the effects of the replica: save, send, apply.
    pub(super) fn carry_out(&mut self, now: u64, effects: Effects) {
        let Effects { records, messages, install, committed } = effects;
        let ready = self.replication.persist(now, records, messages);
        self.send_replica_messages(ready);
        if let Some(snapshot) = install {
            self.install(now, snapshot);
        }
        let version = self.machine.state().version();
        for entry in committed {
            self.apply(now, entry);
        }
        self.log_configuration(version);
        if self.replication.replica().role() != Role::Leader {
            self.lease.revoke();
            self.replication.abandon_proposals();
        }
        self.publish_configuration(now);
        self.publish_versions(now);
        self.compact_log(now);
        self.prepare_next_command();
    }

    pub(super) fn send_replica_messages(&self, messages: Vec<Outgoing>) {
        let me = self.replication.replica().me();
        for Outgoing { to, message, .. } in messages {
            if let Ok(address) = to.address.parse() {
                self.links.send_to_core(address, &Frame::Replica(me.clone(), message));
            }
        }
    }

    pub(super) fn on_replica_message(&mut self, now: u64, from: Member, message: Message) {
        if self.replication.record_caller(now, &from.address) {
            self.connect_to_cores();
        }
        let effects = self.replication.step(now, from, message);
        self.carry_out(now, effects);
    }

    pub(super) fn on_disk(&mut self, now: u64, event: DiskEvent) {
        let (ready, last_index) = self.replication.on_disk(now, event);
        self.send_replica_messages(ready);
        if let Some(last_index) = last_index {
            let effects = self.replication.saved(now, last_index);
            self.carry_out(now, effects);
        }
        self.watch_disk(now);
    }

    /// A replica whose disk is impaired hands over and does not lead.
    pub(super) fn watch_disk(&mut self, now: u64) {
        let Some(impaired) = self.replication.impairment_change(now) else { return };
        tracing::warn!(impaired, "disk");
        if impaired {
            self.transfer_leadership(now);
        }
        let effects = self.replication.set_impaired(now, impaired);
        self.carry_out(now, effects);
    }

    pub(super) fn install(&mut self, now: u64, snapshot: Snapshot) {
        if self.machine.install(&snapshot) {
            self.lease.restore(snapshot.leaders);
            self.record_document(snapshot.data.len());
            self.on_deregistrations_restored(now);
            self.digest_state_if_due();
        }
    }

    pub(super) fn apply(&mut self, now: u64, entry: Entry) {
        if self.machine.has_failed() {
            return;
        }
        let term = entry.term;
        let proposals = self.replication.take_proposals(entry.index);
        let applied = self.machine.apply(entry);
        self.digest_state_if_due();
        match applied {
            Some(Applied::LeaderStart(name)) => self.lease.record_leader(&name),
            Some(Applied::Membership) => self.connect_to_cores(),
            Some(Applied::Command { command, result, bytes }) => {
                self.record_document(bytes);
                match &command {
                    Command::Training(command) => self.on_training_applied(now, command, result.is_err()),
                    Command::Deregister { instances } => self.on_deregistrations_applied(now, instances),
                    Command::Change(_) | Command::SealUsage { .. } | Command::RaiseFormat { .. } => {}
                }
                for proposal in proposals {
                    proposal.answer(term, || Reply::from_outcome(&result));
                }
                return;
            }
            None => return,
        }
        for proposal in proposals {
            proposal.answer_unclear();
        }
    }

    /// One line for all changes that were applied in a row: a replayed log must not push other lines out.
    pub(super) fn log_configuration(&self, version_before: u64) {
        let version = self.machine.state().version();
        if version != version_before {
            tracing::info!(
                version,
                version_before,
                index = self.machine.applied(),
                "configuration committed"
            );
        }
    }

    pub(super) fn compact_log(&mut self, now: u64) {
        let applied = self.machine.applied();
        if self.replication.needs_compaction(now, applied, self.machine.log_bytes()) {
            let data = self.machine.take_snapshot();
            self.replication.compact(applied, self.lease.leaders(), data);
            self.state_check.request_soon();
        }
    }

    /// Whether what this core has applied is the newest that it could know of.
    pub(super) fn is_current(&self, now: u64) -> bool {
        self.replication.is_current(now)
    }

    pub(super) fn is_established_leader(&self) -> bool {
        self.replication.replica().is_established_leader()
    }

    /// Proposes a command of the leader's own.
    pub(super) fn propose(&mut self, now: u64, command: &Command) {
        if let Ok((_, effects)) = self.replication.propose(now, command.encode()) {
            self.carry_out(now, effects);
        }
    }

    /// Proposes a command whose caller waits for its result.
    pub(super) fn propose_for(&mut self, now: u64, command: &Command, reply: oneshot::Sender<Reply>) {
        match self.replication.propose(now, command.encode()) {
            Ok((index, effects)) => {
                self.replication.await_commit(index, reply);
                self.carry_out(now, effects);
            }
            Err(error) => {
                let _ = reply.send(Reply::Result(ResultCode::NoLeader, error.to_string()));
            }
        }
    }

    /// As the leader, begins the next change of the membership.
    pub(super) fn change_membership(&mut self, now: u64) {
        if let Some(effects) = self.replication.change_membership(now) {
            let voters = &self.replication.replica().membership().voters;
            tracing::info!(?voters, "membership changes");
            self.carry_out(now, effects);
            self.connect_to_cores();
        }
    }

    /// Asks the other cores to add this store, while no leader sends it anything.
    pub(super) fn ask_to_join(&mut self, now: u64) {
        if self.replication.replica().wants_to_join(now) {
            let me = self.replication.replica().me().clone();
            self.links.send_to_cores(&Frame::Replica(me, Message::Join));
        }
    }

    /// Keeps links to all voters, learners and seeds, and to stores that called lately.
    pub(super) fn connect_to_cores(&mut self) {
        let own = self.settings.own_internal_address();
        let known = self.replication.addresses().filter_map(|address| address.parse().ok());
        let seeds = self.settings.seeds.iter().map(|seed| self.settings.internal_address(*seed));
        let mut addresses: Vec<SocketAddr> = known.chain(seeds).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != own);
        self.links.connect_to(&addresses);
    }
}
