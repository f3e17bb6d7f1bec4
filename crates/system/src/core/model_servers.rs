//! The registry of model servers at a core: heartbeats, expiry, what an order withholds, and the updates that edges and
//! other cores receive of them.

use super::links::PeerLinks;
use super::model_server_json::ReportJson;
use super::server_memory::ServerMemory;
use crate::memory::share::{MemoryShare, ShareExhausted};
use pathbank_control::directory::Directory;
use pathbank_control::pending_changes::{PendingChanges, ServerChanges};
use pathbank_protocol::codec::SharedMessage;
use pathbank_protocol::message::{Frame, ModelServer, ModelServerState, ModelServerUpdate, OrderStatus};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Who delivered a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The model server itself.
    ModelServer,
    /// Another core, which relays it.
    Core,
}

/// What an order status is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusBasis {
    /// An order was sent, or ended without a report.
    Order,
    /// The model server has just reported its contents.
    Report,
}

/// Model servers as this core knows them.
pub struct ServerRegistry {
    directory: Directory,
    memory: ServerMemory,
    /// All model servers, as sent to an edge that subscribes. Encoded once until something changes.
    complete_update: Option<SharedMessage>,
    /// Those of them that said that they leave. `None`: to be encoded.
    unavailable_update: Option<SharedMessage>,
    pending_changes: PendingChanges,
}

impl ServerRegistry {
    /// An empty registry. `heartbeat_ms`: the interval of heartbeats; `memory`: the share for records.
    pub fn new(heartbeat_ms: u64, memory: MemoryShare) -> ServerRegistry {
        ServerRegistry {
            directory: Directory::new(heartbeat_ms),
            memory: ServerMemory::new(memory),
            complete_update: None,
            unavailable_update: None,
            pending_changes: PendingChanges::default(),
        }
    }

    /// The model servers with their states.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Model servers that accept requests.
    pub fn ready(&self) -> Vec<ModelServer> {
        self.directory.ready().collect()
    }

    // ---- heartbeats ----

    /// Records a heartbeat. What changes is published with the next flush, a server that leaves at once.
    ///
    /// # Errors
    ///
    /// There is no memory for it, and nothing was changed.
    pub fn on_heartbeat(
        &mut self,
        now: u64,
        links: &PeerLinks,
        server: ModelServer,
        source: HeartbeatSource,
    ) -> Result<(), ShareExhausted> {
        self.memory.cover(&server)?;
        let instance = server.instance.clone();
        let heard = self.directory.observe_heartbeat(now, server);
        let Some(state) = self.directory.state(&instance) else { return Ok(()) };
        if heard.changed || !heard.displaced.is_empty() {
            self.forget_encoded();
        }
        heard
            .displaced
            .into_iter()
            .for_each(|server| self.pending_changes.record_unavailable(server.instance));
        if heard.relay && source == HeartbeatSource::ModelServer {
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
        self.flush_urgent_changes(now, links);
        Ok(())
    }

    /// A model server deregistered: it told this core, or another one.
    pub fn on_deregister(&mut self, now: u64, links: &PeerLinks, instance: &str, source: HeartbeatSource) {
        if self.directory.deregister(now, instance).is_none() {
            return;
        }
        self.forget_encoded();
        self.pending_changes.record_unavailable(instance.to_owned());
        if source == HeartbeatSource::ModelServer {
            self.pending_changes.record_relayed(instance.to_owned());
        }
        self.flush_urgent_changes(now, links);
    }

    /// Tells the other cores again that model servers have deregistered.
    pub fn relay_deregistrations(&self, links: &PeerLinks, instances: Vec<String>) {
        if !instances.is_empty() {
            let servers = instances.into_iter().map(ModelServer::deregistered).collect();
            links.send_to_cores(&Frame::Heartbeats(servers));
        }
    }

    /// The model servers have changed since they were encoded.
    fn forget_encoded(&mut self) {
        (self.complete_update, self.unavailable_update) = (None, None);
    }

    /// Publishes the changes since the last flush.
    pub fn flush_changes(&mut self, now: u64, links: &PeerLinks) {
        let changes = self.pending_changes.take(now);
        self.publish_changes(links, changes);
    }

    /// Servers that leave are published at once: edges must not send them requests much later.
    fn flush_urgent_changes(&mut self, now: u64, links: &PeerLinks) {
        if let Some(changes) = self.pending_changes.take_urgent(now) {
            self.publish_changes(links, changes);
        }
    }

    /// Each model server is published as it is now.
    fn publish_changes(&self, links: &PeerLinks, changes: ServerChanges) {
        let current = |instances: BTreeSet<String>| -> Vec<ModelServer> {
            instances.iter().filter_map(|instance| self.directory.server(instance)).collect()
        };
        let [leaving, changed, relayed] =
            [changes.unavailable, changes.changed, changes.relayed].map(current);
        if !relayed.is_empty() {
            links.send_to_cores(&Frame::Heartbeats(relayed));
        }
        // Every core notifies all edges: one of the cores may be partitioned.
        if !leaving.is_empty() {
            links.publish_to_edges(&partial_update(leaving));
        }
        if !changed.is_empty() {
            links.publish_to_subscribers(&partial_update(changed));
        }
    }

    /// Publishes servers to subscribers, and those among them that leave to all edges.
    fn publish(&mut self, links: &PeerLinks, servers: Vec<ModelServer>) {
        if servers.is_empty() {
            return;
        }
        self.forget_encoded();
        let leaving: Vec<ModelServer> =
            servers.iter().filter(|server| server.state != ModelServerState::Ready).cloned().collect();
        links.publish_to_subscribers(&partial_update(servers));
        if !leaving.is_empty() {
            links.publish_to_others(&partial_update(leaving));
        }
    }

    /// All model servers, for an edge that subscribes. Many may subscribe at once.
    pub fn complete_update(&mut self) -> SharedMessage {
        let directory = &self.directory;
        let encode = || {
            let servers = directory.servers().collect();
            SharedMessage::new(&Frame::ModelServers(ModelServerUpdate { complete: true, servers }))
        };
        self.complete_update.get_or_insert_with(encode).clone()
    }

    /// The model servers that said that they leave, for an edge that has just connected: it may not subscribe
    /// here, and was not connected when they were published. Not those that timed out here: other cores may have
    /// later heartbeats. `None`: there are none.
    pub fn unavailable_update(&mut self) -> Option<SharedMessage> {
        if self.unavailable_update.is_none() {
            let leaves =
                |server: &ModelServer| server.state == ModelServerState::Draining || server.is_deregistered();
            let unavailable: Vec<ModelServer> = self.directory.servers().filter(leaves).collect();
            if !unavailable.is_empty() {
                self.unavailable_update = Some(SharedMessage::new(&partial_update(unavailable)));
            }
        }
        self.unavailable_update.clone()
    }

    /// Sends all model servers to a core that has just been connected.
    pub fn send_all(&self, links: &PeerLinks, core: SocketAddr) {
        let servers: Vec<ModelServer> = self.directory.servers().collect();
        if !servers.is_empty() {
            links.send_to_core(core, &Frame::Heartbeats(servers));
        }
    }

    /// Removes servers whose heartbeats time out. A core that is not current has not heard of them all: it removes none,
    /// and their time begins anew. Only subscribers are notified, since other cores may have later heartbeats.
    pub fn expire(&mut self, now: u64, links: &PeerLinks, is_current: bool) {
        let restored = self.directory.expire_withheld(now);
        self.publish(links, restored);
        if !is_current {
            return self.directory.reset_timeouts(now);
        }
        let servers = self.directory.expire(now);
        self.memory.retain(|instance| self.directory.state(instance).is_some());
        if !servers.is_empty() {
            tracing::info!(count = servers.len(), "model servers timed out");
            self.forget_encoded();
            links.publish_to_subscribers(&partial_update(servers));
        }
    }

    // ---- orders ----

    /// A model may not be used at a server until the end of an order there is known.
    pub fn withhold(&mut self, links: &PeerLinks, instance: &str, model: &str, adapter: &str) {
        self.directory.withhold(instance, model, adapter);
        self.publish_order_status(links, instance, StatusBasis::Order);
    }

    /// Nothing is withheld at a server any more.
    pub fn release(&mut self, links: &PeerLinks, instance: &str) {
        self.directory.release(instance);
        self.publish_order_status(links, instance, StatusBasis::Order);
    }

    /// The end of an order is known, and with a report the server's contents.
    pub fn on_order_finished(
        &mut self,
        now: u64,
        links: &PeerLinks,
        instance: &str,
        report: Option<&ReportJson>,
    ) {
        self.directory.release(instance);
        if let Some(report) = report {
            self.directory.observe_report(now, instance, report.models().collect(), report.busy);
        }
        let basis = if report.is_some() { StatusBasis::Report } else { StatusBasis::Order };
        self.publish_order_status(links, instance, basis);
    }

    /// Publishes what an order of this leader made of a server, to edges and to the other cores.
    fn publish_order_status(&mut self, links: &PeerLinks, instance: &str, basis: StatusBasis) {
        self.publish(links, self.directory.server(instance).into_iter().collect());
        if let Some(status) = self.directory.order_status(instance, basis == StatusBasis::Report) {
            links.send_to_cores(&Frame::OrderStatus(status));
        }
    }

    /// The other cores keep an order status for a while only: repeats those that still hold.
    pub fn repeat_order_statuses(&self, links: &PeerLinks) {
        let withheld = self.directory.withholding();
        for status in withheld.filter_map(|instance| self.directory.order_status(instance, false)) {
            links.send_to_cores(&Frame::OrderStatus(status));
        }
    }

    /// The leader published the status of an order.
    pub fn on_order_status(&mut self, now: u64, links: &PeerLinks, status: OrderStatus) {
        let server = self.directory.apply_order_status(now, status);
        self.publish(links, server.into_iter().collect());
    }
}

fn partial_update(servers: Vec<ModelServer>) -> Frame {
    Frame::ModelServers(ModelServerUpdate { complete: false, servers })
}
