//! Events of a core's event loop. Whatever runs beside the loop (disk, links, calls) reports by one of these.

use super::model_server_json::{Heartbeat, ReportJson};
use super::orders::OrderOutcome;
use super::preparation::{ChangeProposal, DigestedState, PreparedCommand};
use super::singleton_roles::PlatformOutcome;
use super::training::call::TrainingCall;
use crate::memory::share::MemoryLease;
use crate::net::link::Link;
use crate::net::mesh::MeshEvent;
use pathbank_control::autoscaling::ScaleOrder;
use pathbank_control::operator_calls::Reply;
use pathbank_control::state::Change;
use pathbank_coordination::types::Index;
use pathbank_protocol::message::{Frame, Hello};
use tokio::sync::oneshot;

/// Identifies an accepted link for as long as the process runs.
pub type LinkId = u64;

/// What the disk thread reports.
#[derive(Clone, Copy, Debug)]
pub enum DiskEvent {
    /// All writes up to a ticket have been synced.
    Saved {
        /// The ticket.
        ticket: u64,
        /// The last entry of the log at the time of the ticket.
        last_index: Option<Index>,
    },
    /// Writes fail (`true`), or succeed again (`false`).
    Impaired(bool),
    /// The log and the state that differed are set aside; nothing more is written.
    StoreSetAside,
}

/// An event; [`super::node::Node::on_event`] handles one after the other.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A model server's heartbeat.
    Heartbeat(Heartbeat, oneshot::Sender<Reply>),
    /// A model server deregisters: its instance id.
    Deregister(String, oneshot::Sender<Reply>),
    /// An operator's change of the configuration.
    Change(Change, oneshot::Sender<Reply>),
    /// An operator's change was prepared beside the event loop.
    ChangePrepared(Box<ChangeProposal>, oneshot::Sender<Reply>),
    /// A command of the log was prepared beside the event loop.
    CommandPrepared(Box<PreparedCommand>),
    /// A digest of the replicated state was made beside the event loop.
    StateDigested(DigestedState),
    /// An operator reads the configuration.
    ReadConfiguration(oneshot::Sender<Reply>),
    /// An operator reads the model servers.
    ReadModelServers(oneshot::Sender<Reply>),
    /// An operator reads the placement of models.
    ReadPlacement(oneshot::Sender<Reply>),
    /// An operator reads the singleton roles.
    ReadSingletonRoles(oneshot::Sender<Reply>),
    /// An operator reads this core's status.
    ReadStatus(oneshot::Sender<Reply>),
    /// The disk thread reports.
    Disk(DiskEvent),
    /// Another process opened a link to this one.
    LinkOpened(LinkId, Hello, Link),
    /// A message came on an accepted link; the lease is for its memory until it has been handled.
    FrameReceived(LinkId, Frame, MemoryLease),
    /// An accepted link was closed.
    LinkClosed(LinkId),
    /// One of this core's own links to other cores changed.
    Mesh(MeshEvent),
    /// An order to a model server has ended.
    OrderFinished(Box<OrderOutcome>),
    /// The report of a window's usage has ended.
    UsageReported {
        /// The window.
        window: u64,
        /// Whether the platform accepted the report.
        outcome: PlatformOutcome,
    },
    /// An order of model servers from the platform has ended.
    ServersOrdered {
        /// The order.
        order: ScaleOrder,
        /// Whether the platform accepted it.
        outcome: PlatformOutcome,
    },
    /// A trainer's call.
    Training(TrainingCall, oneshot::Sender<Reply>),
    /// A worker of a training step answered the request for its report.
    WorkerReported {
        /// The step's model.
        model: String,
        /// The worker's instance id.
        worker: String,
        /// Its report.
        report: ReportJson,
    },
    /// An order that brings a worker to another version has ended.
    VersionOrderFinished(Box<OrderOutcome>),
}
