//! What happens to a core: each event is taken by [`super::Node::on_event`], one after the other.

use crate::core::disk::DiskEvent;
use crate::core::model_server_json::ReportJson;
use crate::core::orders::OrderOutcome;
use crate::core::peers::LinkId;
use crate::core::training::call::TrainingCall;
use crate::net::link::Link;
use crate::net::mesh::MeshEvent;
use pathbank_control::autoscaling::ScaleOrder;
use pathbank_control::operator_calls::Reply;
use pathbank_control::state::Change;
use pathbank_protocol::message::{Frame, Hello, ModelServer};
use tokio::sync::oneshot;

/// Whatever happens to a core.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A model server's heartbeat.
    Heartbeat(ModelServer),
    /// A model server ends.
    Deregister(String),
    /// An operator's change.
    Change(Change, oneshot::Sender<Reply>),
    /// An operator asks for the configuration.
    ReadConfiguration(oneshot::Sender<Reply>),
    /// An operator asks for the model servers.
    ReadModelServers(oneshot::Sender<Reply>),
    /// An operator asks what is placed where, and why.
    ReadPlacement(oneshot::Sender<Reply>),
    /// An operator asks who holds the duties, and how they stand.
    ReadSingletonRoles(oneshot::Sender<Reply>),
    /// An operator asks how things stand.
    ReadStatus(oneshot::Sender<Reply>),
    /// The disk reports.
    Disk(DiskEvent),
    /// Another process opened a link to this one.
    LinkOpened(LinkId, Hello, Link),
    /// Something came on it.
    FrameReceived(LinkId, Frame),
    /// It ended.
    LinkClosed(LinkId),
    /// This process's own links to other cores.
    Mesh(MeshEvent),
    /// An order to a model server has ended.
    OrderFinished(Box<OrderOutcome>),
    /// A window's usage was reported, or could not be.
    UsageReported(u64, bool),
    /// The platform took an order of model servers, or gave no clear answer.
    ModelServersOrdered(ScaleOrder, bool),
    /// A trainer's call.
    Training(TrainingCall, oneshot::Sender<Reply>),
    /// A worker of a training step told how it stands.
    WorkerReported {
        /// The step's model.
        model: String,
        /// The worker's incarnation.
        worker: String,
        /// Its report.
        report: ReportJson,
    },
    /// An order that brings a worker to another version has ended.
    VersionOrderFinished(Box<OrderOutcome>),
}
