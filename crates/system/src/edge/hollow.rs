//! An edge without listeners, for rehearsals. Its links to the cores and its state are those of a real edge.

use super::core_links;
use super::rollout;
use super::shared::Shared;
use crate::settings::Settings;
use crate::startup::Startup;
use pathbank_protocol::message::{EdgeReport, Frame};
use std::sync::Arc;
use tokio::task::AbortHandle;

/// An edge that accepts no clients.
#[derive(Clone)]
pub struct HollowEdge {
    shared: Arc<Shared>,
    rollout: AbortHandle,
}

impl HollowEdge {
    /// Starts the edge: opens its links to the cores and applies the configurations that they send.
    pub fn start(settings: Settings) -> HollowEdge {
        let seeds = settings.seeds.clone();
        let shared = Shared::new(settings, Startup::default());
        core_links::start(&shared, &seeds);
        let rollout = tokio::spawn(rollout::run(shared.clone())).abort_handle();
        HollowEdge { shared, rollout }
    }

    /// Closes the links to all cores.
    pub fn cut_off(&self) {
        if let Some(mesh) = self.shared.mesh.get() {
            mesh.want(&[]);
        }
    }

    /// Opens the links to the cores again.
    pub fn heal(&self) {
        if let Some(mesh) = self.shared.mesh.get() {
            mesh.want(&self.shared.core_addresses());
        }
    }

    /// Stops the edge: closes its links and ends its task.
    pub fn stop(&self) {
        self.cut_off();
        self.rollout.abort();
    }

    /// Sends the messages to cores that are due.
    pub fn maintain(&self) {
        core_links::send_due_messages(&self.shared);
    }

    /// The log index of the configuration in force; 0: none.
    pub fn configuration_index(&self) -> u64 {
        self.shared.routes.load().as_ref().map_or(0, |routes| routes.index)
    }

    /// The version of the configuration in force; 0: none.
    pub fn configuration_version(&self) -> u64 {
        self.shared.routes.load().as_ref().map_or(0, |routes| routes.version)
    }

    /// The number of model servers that the edge knows.
    pub fn servers(&self) -> usize {
        self.shared.decisions().dispatcher.servers().iter().count()
    }

    /// Sends a report to the leader, if the edge has a link to it.
    pub fn report(&self, report: EdgeReport) {
        let leader = self.shared.decisions().core_choice.leader();
        if let (Some(leader), Some(mesh)) = (leader, self.shared.mesh.get()) {
            let edge = self.shared.settings.node_name.clone();
            mesh.send(
                leader,
                &Frame::Report(EdgeReport { edge, incarnation: self.shared.incarnation, ..report }),
            );
        }
    }
}
