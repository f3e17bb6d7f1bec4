//! The messages between the processes of the system, as plain types.

mod admission;
mod configuration;
mod connection;
mod generations;
mod model_servers;
mod reports;

pub use admission::{AdmissionGrant, AdmissionOption, AdmissionRequest};
pub use configuration::{ConfigurationInForce, ConfigurationUpdate};
pub use connection::{CoreStatus, Hello, ProcessRole, Subscription};
pub use generations::{
    DrawEnding, DrawGrant, DrawId, DrawOffer, DrawRequest, DrawResult, DrawTask, DrawnAnswer, ModelVersions,
};
pub use model_servers::{
    ExpectedModel, LoadedModel, ModelServer, ModelServerLoad, ModelServerState, ModelServerUpdate,
    OrderStatus, WithheldModel,
};
use pathbank_coordination::state_comparison::{ComparisonReport, ComparisonRequest};
use pathbank_coordination::types::{Member, Message};
pub use reports::{EdgeReport, ModelDemand, UsageWindow};

/// One message between two processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// The first message on a connection.
    Hello(Hello),
    /// A message of the consensus protocol, and the replica that sent it.
    Replica(Member, Message),
    /// A core's status, sent at a fixed interval.
    Core(CoreStatus),
    /// The configuration in force.
    Configuration(ConfigurationUpdate),
    /// Model servers that changed, or all of them.
    ModelServers(ModelServerUpdate),
    /// Usage, demand and loads that an edge counted.
    Report(EdgeReport),
    /// Model servers' heartbeats as one core received them, for the other cores.
    Heartbeats(Vec<ModelServer>),
    /// A keep-alive, with the sender's steady clock in milliseconds.
    Ping(u64),
    /// An edge subscribes to a core's updates of the configuration and of model servers, or unsubscribes.
    Subscribe(Subscription),
    /// An edge asks for the complete configuration that a core announced.
    FetchConfiguration,
    /// An edge that missed an update asks the core to which it is subscribed for the difference to the
    /// configuration of this log entry.
    FetchDifference(u64),
    /// Requests in flight at model servers from all edges together, as the leader knows them.
    Loads(Vec<ModelServerLoad>),
    /// An edge asks the leader which model server should prefill a prompt next, and when.
    AdmissionRequest(AdmissionRequest),
    /// The leader's answer to an admission request.
    AdmissionGrant(AdmissionGrant),
    /// The leader has generations of a training step for edges.
    DrawOffer(DrawOffer),
    /// An edge asks for generations.
    DrawRequest(DrawRequest),
    /// The generations that an edge is to run.
    DrawGrant(DrawGrant),
    /// How a generation ended at an edge.
    DrawResult(DrawResult),
    /// Versions of models in training.
    ModelVersions(Vec<ModelVersions>),
    /// What the leader's orders made of a model server, for the other cores and the edges.
    OrderStatus(OrderStatus),
    /// Models that model servers are loading by the leader's orders.
    ExpectedModels(Vec<ExpectedModel>),
    /// A leader asks the cores for digests of the replicated state.
    ComparisonRequest(ComparisonRequest),
    /// A core's digest of the replicated state.
    ComparisonReport(ComparisonReport),
}
