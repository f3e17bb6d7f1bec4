//! What edges and the other cores are sent: configurations, versions of models, this core's status.

use super::Node;
use crate::clock;
use crate::core::event::LinkId;
use crate::core::training::versions::model_versions;
use crate::startup::Milestone;
use pathbank_coordination::types::Index;
use pathbank_protocol::message::{CoreStatus, Frame};

impl Node {
    pub(super) fn record_document(&mut self, bytes: usize) {
        if let Some((document, index)) = self.machine.state().document() {
            self.publication.record_document(index, document, bytes);
        }
    }

    /// The log entry of the configuration that edges may have; 0 (none) while this core is not current.
    pub(super) fn published_index(&self) -> Index {
        if self.is_current(clock::now()) { self.publication.index() } else { 0 }
    }

    /// Publishes a new configuration: its changes to subscribers, to the other edges that there is one.
    pub(super) fn publish_configuration(&mut self, now: u64) {
        let Some((document, index)) = self.machine.state().document() else { return };
        if !self.publication.is_due(now, index) || !self.is_current(now) {
            return;
        }
        self.publication.publish(now, index, document);
        self.update_subscribers(now);
        self.links.publish_to_others(&Frame::Core(self.core_status(false)));
    }

    /// Publishes the versions of models to subscribers, unless they know them.
    pub(super) fn publish_versions(&mut self, now: u64) {
        if !self.is_current(now) {
            return self.publication.forget_versions();
        }
        let versions = model_versions(self.machine.state().training());
        if let Some(changed) = self.publication.changed_versions(versions) {
            self.links.publish_to_subscribers(&Frame::ModelVersions(changed.to_vec()));
        }
    }

    /// Sends subscribers what they lack of the configuration.
    pub(super) fn update_subscribers(&mut self, now: u64) {
        let newest = self.published_index();
        for id in self.publication.outdated_subscribers(&self.links, newest) {
            self.update_edge(now, id);
        }
    }

    /// An edge named the configuration that it has, and gets what is newer.
    pub(super) fn on_fetch_configuration(&mut self, now: u64, id: LinkId, known: Index) {
        if self.publication.set_known(now, &self.links, id, known) {
            self.update_edge(now, id);
        }
    }

    pub(super) fn update_edge(&mut self, now: u64, id: LinkId) {
        if self.published_index() == 0 {
            return;
        }
        let Some(update) = self.publication.next_update(now, &self.links, id) else { return };
        let announcement = update.is_full.then(|| Frame::Core(self.core_status(false)));
        self.publication.send(&self.links, id, &update, announcement.as_ref());
    }

    // ---- status ----

    pub(super) fn core_status(&self, with_members: bool) -> CoreStatus {
        let replica = self.replication.replica();
        let members = replica.membership().members().filter(|_| with_members).cloned();
        CoreStatus {
            members: members.collect(),
            leader: replica.leader().map(|leader| leader.address.clone()).unwrap_or_default(),
            edges: self.links.edges().count() as u32,
            wall_clock_ms: clock::wall_clock(),
            zone: self.settings.zone.clone(),
            configuration_index: self.published_index(),
            current: self.is_current(clock::now()),
        }
    }

    pub(super) fn publish_status_if_due(&mut self, now: u64) {
        let leader = self.replication.replica().leader().map(|leader| leader.id);
        let current = self.is_current(now);
        if leader.is_some() {
            self.startup.reach(Milestone::LeaderKnown);
        }
        if current != self.status.is_current() {
            self.startup.reach(Milestone::Current);
            let (commit, applied) = (self.replication.replica().commit(), self.machine.applied());
            tracing::info!(current, commit, applied, "contact with a majority");
        }
        if self.status.take_due(now, leader, current) {
            self.publish_status();
            self.ask_to_join(now);
        }
    }

    pub(super) fn publish_status(&mut self) {
        self.wall_clock.observe(clock::now(), &self.settings.node_name, clock::wall_clock());
        let with_members = self.status.names_members();
        let frame = Frame::Core(self.core_status(with_members));
        self.links.publish_to_edges(&frame);
        self.links.send_to_cores(&frame);
        self.connect_to_cores();
    }
}
