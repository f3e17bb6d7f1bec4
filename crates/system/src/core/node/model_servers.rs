//! Model servers: their heartbeats, their silence, what is out at them, and who is sent news of them.

use super::Node;
use crate::core::event::LinkId;
use crate::startup::Milestone;
use pathbank_control::pending_changes::ServerChanges;
use pathbank_protocol::codec::{self, SharedMessage};
use pathbank_protocol::message::{
    AdmissionRequest, Frame, ModelServer, ModelServerLoad, ModelServerState, ModelServerUpdate,
};
use std::collections::BTreeSet;

impl Node {
    /// Only the leader grants, for a line in two places is none.
    pub(super) fn on_admission_request(&mut self, now: u64, id: LinkId, request: &AdmissionRequest) {
        if !self.replication.replica.is_established_leader() {
            return;
        }
        let grant = self.leadership.admission.admit(now, request);
        if let (Some(grant), Some(peer)) = (grant, self.peers.get(&id)) {
            peer.link.send(&Frame::AdmissionGrant(grant));
        }
    }

    /// All model servers, for an edge that begins to listen here. Many may begin at once: it is made ready
    /// anew only after a change.
    pub(super) fn all_servers(&mut self) -> SharedMessage {
        let directory = &self.directory;
        let make = || {
            let servers = directory.servers().collect();
            SharedMessage::new(&Frame::ModelServers(ModelServerUpdate { complete: true, servers }))
        };
        self.all_servers.get_or_insert_with(make).clone()
    }

    /// Edges that listen here hear of every change. That a model server leaves is told to all edges, by every
    /// head that hears of it: no request may reach it much later.
    pub(super) fn publish_servers(&mut self, servers: Vec<ModelServer>) {
        if servers.is_empty() {
            return;
        }
        self.all_servers = None;
        let leaving: Vec<ModelServer> =
            servers.iter().filter(|server| server.state != ModelServerState::Ready).cloned().collect();
        self.publish_to_subscribers(&Frame::ModelServers(ModelServerUpdate { complete: false, servers }));
        if !leaving.is_empty() {
            let update = Frame::ModelServers(ModelServerUpdate { complete: false, servers: leaving });
            self.tell(&update, |edge| !edge.subscribed);
        }
    }

    /// An order that this leader gave changes what a model server may be used for: its edges and the other
    /// cores hear of it. `reported`: the model server just said what it holds.
    pub(super) fn publish_order_update(&mut self, instance: &str, reported: bool) {
        self.publish_servers(self.directory.server(instance).into_iter().collect());
        if let Some(news) = self.directory.order_status(instance, reported) {
            self.mesh.send_to_all(&Frame::OrderStatus(news));
        }
    }

    /// What the other cores were told of withheld models holds only for a while.
    pub(super) fn repeat_order_updates(&self) {
        if !self.replication.replica.is_established_leader() {
            return;
        }
        for news in
            self.directory.withholding().filter_map(|instance| self.directory.order_status(instance, false))
        {
            self.mesh.send_to_all(&Frame::OrderStatus(news));
        }
    }

    /// What is out at model servers, and which of them fail much, by the reports of all edges.
    pub(super) fn joint_loads(&self, now: u64) -> Vec<ModelServerLoad> {
        let ready: Vec<ModelServer> = self.directory.ready().collect();
        self.demand.joint_loads(now, self.outliers.outliers(now, &ready))
    }

    /// The leader's line of prompts has to know which slots are taken.
    pub(super) fn count_slots(&mut self, now: u64) {
        if self.replication.replica.is_established_leader() {
            let ready: Vec<ModelServer> = self.directory.ready().collect();
            self.leadership.admission.update_slots(&ready, &self.demand.in_flight(now));
        }
    }

    /// The leader hears from every edge what is out at model servers, and tells all what it comes to.
    /// Returns the message's bytes.
    pub(super) fn publish_loads(&mut self, now: u64) -> u64 {
        if !self.replication.replica.is_established_leader() {
            return 0;
        }
        let loads = self.joint_loads(now);
        if loads.is_empty() {
            return 0;
        }
        let frame = Frame::Loads(loads);
        self.publish_to_subscribers(&frame);
        self.mesh.send_to_all(&frame);
        codec::encode(&frame).len() as u64
    }

    /// Model servers that fell silent. Only edges that listen here are told: it is no more than a guess.
    pub(super) fn expire_servers(&mut self, now: u64) {
        let lapsed = self.directory.expire_withheld(now);
        self.publish_servers(lapsed);
        if !self.is_current(now) {
            return self.directory.reset_timeouts(now);
        }
        let servers = self.directory.expire(now);
        if !servers.is_empty() {
            tracing::info!(count = servers.len(), "model servers fell silent");
            self.all_servers = None;
            self.publish_to_subscribers(&Frame::ModelServers(ModelServerUpdate { complete: false, servers }));
        }
    }

    pub(super) fn on_heartbeat(&mut self, now: u64, server: ModelServer, own: bool) {
        self.startup.reach(Milestone::ModelServerKnown);
        let instance = server.instance.clone();
        let heard = self.directory.observe_heartbeat(now, server);
        let Some(state) = self.directory.state(&instance) else { return };
        if heard.changed || !heard.displaced.is_empty() {
            self.all_servers = None;
        }
        heard
            .displaced
            .into_iter()
            .for_each(|server| self.pending_changes.record_unavailable(server.instance));
        if heard.relay && own {
            self.pending_changes.record_relayed(instance.clone());
        }
        if heard.changed {
            match state {
                ModelServerState::Ready => self.pending_changes.record_changed(instance),
                ModelServerState::Draining | ModelServerState::Removed => {
                    self.pending_changes.record_unavailable(instance)
                }
            }
        }
        self.publish_urgent_news(now);
    }

    /// A model server said that it ends.
    pub(super) fn on_deregister(&mut self, now: u64, instance: &str) {
        if self.directory.deregister(now, instance).is_none() {
            return;
        }
        self.all_servers = None;
        self.pending_changes.record_unavailable(instance.to_owned());
        self.pending_changes.record_relayed(instance.to_owned());
        self.publish_urgent_news(now);
    }

    /// No request may reach a model server that leaves much later; what else there is to tell of model
    /// servers goes together.
    fn publish_urgent_news(&mut self, now: u64) {
        if let Some(news) = self.pending_changes.take_urgent(now) {
            self.publish_news(news);
        }
    }

    /// Tells what is new of model servers since the last time.
    pub(super) fn publish_server_changes(&mut self, now: u64) {
        let news = self.pending_changes.take(now);
        self.publish_news(news);
    }

    /// Each model server is told as it is now.
    fn publish_news(&self, news: ServerChanges) {
        let known = |instances: BTreeSet<String>| -> Vec<ModelServer> {
            instances.iter().filter_map(|instance| self.directory.server(instance)).collect()
        };
        let update = |servers| Frame::ModelServers(ModelServerUpdate { complete: false, servers });
        let [leaving, changed, relayed] = [news.unavailable, news.changed, news.relayed].map(known);
        if !relayed.is_empty() {
            self.mesh.send_to_all(&Frame::Heartbeats(relayed));
        }
        // Every head that hears of it tells all edges: one of them may be out of touch.
        if !leaving.is_empty() {
            self.publish_to_edges(&update(leaving));
        }
        if !changed.is_empty() {
            self.publish_to_subscribers(&update(changed));
        }
    }
}
