//! Operators' reads.

use super::{Node, send_json};
use crate::core::model_server_json::ModelServerView;
use crate::core::overview::{self, RoleSources, StatusSources};
use pathbank_control::operator_calls::{self, Reply};
use serde_json::Value;
use tokio::sync::oneshot;

impl Node {
    /// Redirects a caller to the leader, unless this core leads. Returns the sender if it does.
    pub(super) fn as_leader(
        &self,
        now: u64,
        reply: oneshot::Sender<Reply>,
    ) -> Option<oneshot::Sender<Reply>> {
        match self.replication.leadership_status(now).redirect() {
            None => Some(reply),
            Some(redirect) => {
                let _ = reply.send(redirect);
                None
            }
        }
    }

    pub(super) fn on_read_configuration(&self, now: u64, reply: oneshot::Sender<Reply>) {
        let status = self.replication.leadership_status(now);
        let _ = reply.send(operator_calls::read_configuration(self.machine.state(), &status));
    }

    pub(super) fn on_read_model_servers(&self, reply: oneshot::Sender<Reply>) {
        let servers: Vec<ModelServerView> =
            self.servers.directory().servers().map(ModelServerView::from).collect();
        let _ = reply.send(Reply::Json(serde_json::to_vec(&servers).unwrap_or_default()));
    }

    pub(super) fn status_overview(&self, now: u64) -> Value {
        let sources = StatusSources {
            settings: &self.settings,
            incarnation: self.incarnation,
            replication: &self.replication,
            machine: &self.machine,
            published_index: self.publication.index(),
            reports: &self.reports,
            links: &self.links,
            ready_servers: self.servers.directory().ready().count(),
            pending_deregistrations: self.deregistrations.len(),
            startup: &self.startup,
            state_check: &self.state_check,
        };
        overview::status(now, &sources)
    }

    pub(super) fn on_read_placement(&self, now: u64, reply: oneshot::Sender<Reply>) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        let demand = self.reports.demand();
        send_json(reply, &overview::placement(now, &self.placement, &self.servers.ready(), demand));
    }

    pub(super) fn on_read_singleton_roles(&mut self, now: u64, reply: oneshot::Sender<Reply>) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        let permit = self.permit(now);
        let sources = RoleSources {
            settings: &self.settings,
            permit,
            last_sealed: self.machine.state().last_sealed(),
            usage: &self.usage,
            autoscaling: &self.autoscaling,
        };
        send_json(reply, &overview::singleton_roles(now, &sources));
    }
}
