//! Model servers' calls: heartbeats, and deregistrations, which are acknowledged once they are committed.

use super::Node;
use crate::core::model_server_json::Heartbeat;
use crate::core::model_servers::HeartbeatSource;
use crate::memory::share::ShareExhausted;
use crate::startup::Milestone;
use pathbank_control::operator_calls::Reply;
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::{COMMAND_FORMAT, Command, FORMAT_WITH_DEREGISTRATIONS};
use pathbank_coordination::types::{Member, StoreId, Term};
use pathbank_protocol::message::{ModelServer, ModelServerState};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The formats of commands that the other stores decode, as far as they were heard of since the start.
#[derive(Default)]
pub(super) struct CommandFormats {
    by_store: BTreeMap<StoreId, u32>,
    /// The term in which this core, as the leader, proposed to raise the format.
    raised_in: Option<Term>,
}

impl CommandFormats {
    /// A store sent a message on a link whose other end named this format.
    pub(super) fn record(&mut self, store: StoreId, format: u32) {
        self.by_store.insert(store, format);
    }

    fn decodes(&self, store: StoreId, format: u32) -> bool {
        self.by_store.get(&store).is_some_and(|known| *known >= format)
    }
}

impl Node {
    /// A model server's heartbeat. One that announces the server's end is acknowledged only by a core that is in
    /// contact with the others: they have to hear of it too. One without a list of models leaves what the server holds
    /// as it was.
    pub(super) fn on_heartbeat_call(
        &mut self,
        now: u64,
        heartbeat: Heartbeat,
        reply: oneshot::Sender<Reply>,
    ) {
        let Heartbeat { mut server, lists_models } = heartbeat;
        if !lists_models {
            server.models = self.servers.directory().loaded_models(&server.instance).to_vec();
        }
        let is_leaving = server.state != ModelServerState::Ready;
        let answer = match self.on_heartbeat(now, server, HeartbeatSource::ModelServer) {
            Err(exhausted) => Reply::Result(ResultCode::OutOfMemory, exhausted.to_string()),
            Ok(()) if is_leaving => self.acknowledge_in_contact(now),
            Ok(()) => acknowledged(),
        };
        let _ = reply.send(answer);
    }

    /// A heartbeat, or a deregistration that another core relays.
    ///
    /// # Errors
    ///
    /// There is no memory for it, and nothing was changed.
    pub(super) fn on_heartbeat(
        &mut self,
        now: u64,
        server: ModelServer,
        source: HeartbeatSource,
    ) -> Result<(), ShareExhausted> {
        self.startup.reach(Milestone::ModelServerKnown);
        let is_committed = self.machine.state().deregistered().contains(&server.instance);
        if server.is_deregistered() && !is_committed {
            self.deregistrations.record(now, &server.instance);
        }
        if is_committed {
            return Ok(());
        }
        self.servers.on_heartbeat(now, &self.links, server, source)
    }

    /// A model server deregisters. It takes no requests from now on, and is answered once no core can forget
    /// that, whichever cores restart.
    pub(super) fn on_deregister_call(&mut self, now: u64, instance: &str, reply: oneshot::Sender<Reply>) {
        let is_known = self.servers.directory().state(instance).is_some();
        let state = self.machine.state();
        let is_committed = state.deregistered().contains(instance);
        tracing::info!(instance, is_known, is_committed, "model server deregisters");
        if is_committed {
            let _ = reply.send(acknowledged());
            return;
        }
        let is_replicated = state.command_format() >= FORMAT_WITH_DEREGISTRATIONS;
        self.servers.on_deregister(now, &self.links, instance, HeartbeatSource::ModelServer);
        if is_replicated {
            self.deregistrations.await_commit(now, instance, reply);
        } else {
            // A member may be of the version before, which cannot decode the command.
            self.deregistrations.record(now, instance);
            let _ = reply.send(self.acknowledge_in_contact(now));
        }
    }

    /// Deregistrations are committed: no core takes the servers up again.
    pub(super) fn on_deregistrations_applied(&mut self, now: u64, instances: &[String]) {
        for instance in instances {
            self.servers.on_deregister(now, &self.links, instance, HeartbeatSource::Core);
            for caller in self.deregistrations.on_committed(instance) {
                let _ = caller.send(acknowledged());
            }
        }
    }

    /// The state of a snapshot has deregistrations that this core may not have heard of.
    pub(super) fn on_deregistrations_restored(&mut self, now: u64) {
        let instances: Vec<String> = self.machine.state().deregistered().iter().cloned().collect();
        self.on_deregistrations_applied(now, &instances);
    }

    /// Brings pending deregistrations into the log: as the leader by proposing them, elsewhere by relaying them
    /// until the leader has heard of them.
    pub(super) fn replicate_deregistrations(&mut self, now: u64) {
        for caller in self.deregistrations.expire(now) {
            let _ = caller.send(Reply::Result(
                ResultCode::Unclear,
                "the deregistration is not yet on a majority of the cores".into(),
            ));
        }
        if !self.is_established_leader() {
            let instances = self.deregistrations.take_due_relays(now);
            return self.servers.relay_deregistrations(&self.links, instances);
        }
        self.raise_command_format(now);
        if self.machine.state().command_format() < FORMAT_WITH_DEREGISTRATIONS {
            return;
        }
        let instances = self.deregistrations.take_unproposed(self.replication.replica().term());
        if !instances.is_empty() {
            self.propose(now, &Command::Deregister { instances });
        }
    }

    /// As the leader, proposes to use newer commands, once in a term, as soon as every member decodes them.
    fn raise_command_format(&mut self, now: u64) {
        let replica = self.replication.replica();
        let (me, term) = (replica.me().id, replica.term());
        let is_due = self.machine.state().command_format() < COMMAND_FORMAT
            && self.command_formats.raised_in != Some(term);
        let members = replica.membership().members().chain(replica.peers().map(|peer| peer.member));
        let decodes =
            |member: &Member| member.id == me || self.command_formats.decodes(member.id, COMMAND_FORMAT);
        let all_decode = members.into_iter().all(decodes);
        if is_due && all_decode {
            self.command_formats.raised_in = Some(term);
            tracing::info!(format = COMMAND_FORMAT, "all members decode newer commands");
            self.propose(now, &Command::RaiseFormat { format: COMMAND_FORMAT });
        }
    }

    fn acknowledge_in_contact(&self, now: u64) -> Reply {
        match self.is_current(now) {
            true => acknowledged(),
            false => {
                Reply::Result(ResultCode::NoLeader, "this core is not in contact with a majority".into())
            }
        }
    }
}

fn acknowledged() -> Reply {
    Reply::Json(b"{}".to_vec())
}
