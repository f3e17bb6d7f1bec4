//! An edge without clients, for rehearsals: its links to the cores and its state are the real ones.

use super::core_links;
use super::rollout;
use super::shared::Shared;
use crate::settings::Settings;
use crate::startup::Startup;
use pathbank_protocol::message::{EdgeReport, Frame};
use std::sync::Arc;
use tokio::task::AbortHandle;

/// An edge that takes no clients.
#[derive(Clone)]
pub struct HollowEdge {
    shared: Arc<Shared>,
    rollout: AbortHandle,
}

impl HollowEdge {
    /// Opens its links.
    pub fn start(settings: Settings) -> HollowEdge {
        let seeds = settings.seeds.clone();
        let shared = Shared::new(settings, Startup::default());
        core_links::start(&shared, &seeds);
        let rollout = tokio::spawn(rollout::run(shared.clone())).abort_handle();
        HollowEdge { shared, rollout }
    }

    /// Is cut off from all cores.
    pub fn cut_off(&self) {
        if let Some(mesh) = self.shared.mesh.get() {
            mesh.want(&[]);
        }
    }

    /// Reaches the cores again.
    pub fn heal(&self) {
        if let Some(mesh) = self.shared.mesh.get() {
            mesh.want(&self.shared.core_addresses());
        }
    }

    /// Ends: nothing of it speaks any more.
    pub fn stop(&self) {
        self.cut_off();
        self.rollout.abort();
    }

    /// Does what is due.
    pub fn maintain(&self) {
        core_links::send_due_messages(&self.shared);
    }

    /// The entry of the configuration in force; 0: none.
    pub fn configuration_index(&self) -> u64 {
        self.shared.routes.load().as_ref().map_or(0, |routes| routes.index)
    }

    /// The version of the configuration in force; 0: none.
    pub fn configuration_version(&self) -> u64 {
        self.shared.routes.load().as_ref().map_or(0, |routes| routes.version)
    }

    /// Model servers that it knows.
    pub fn servers(&self) -> usize {
        self.shared.deciding().dispatcher.servers().iter().count()
    }

    /// Sends a report to the leader, if it is reached.
    pub fn report(&self, report: EdgeReport) {
        let leader = self.shared.deciding().core_choice.leader();
        if let (Some(leader), Some(mesh)) = (leader, self.shared.mesh.get()) {
            let edge = self.shared.settings.node_name.clone();
            mesh.send(
                leader,
                &Frame::Report(EdgeReport { edge, incarnation: self.shared.incarnation, ..report }),
            );
        }
    }
}
