//! What the processes say to each other, as plain types.

mod draw;

pub use draw::{
    DrawEnding, DrawGrant, DrawId, DrawOffer, DrawRequest, DrawResult, DrawTask, DrawnAnswer, ModelVersions,
};
use pathbank_coordination::types::{Member, Message};

/// One message between two processes.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// The first message on a connection.
    Hello(Hello),
    /// Between the replicas of the log.
    Replica(Member, Message),
    /// A core's word about itself, sent regularly.
    Core(CoreStatus),
    /// The configuration in force.
    Configuration(ConfigurationUpdate),
    /// Model servers that changed, or all of them.
    ModelServers(ModelServerUpdate),
    /// What an edge counted.
    Report(EdgeReport),
    /// Model servers' heartbeats as one core heard them, for the other cores.
    Heartbeats(Vec<ModelServer>),
    /// Nothing but a sign of life, with the sender's steady clock in milliseconds.
    Ping(u64),
    /// An edge wants a core's news of the configuration and of model servers, or no longer.
    Subscribe(Subscription),
    /// An edge asks for the configuration that a core announced.
    FetchConfiguration,
    /// An edge that missed a difference asks the core that it listens to for what is newer than this entry's
    /// configuration.
    FetchDifference(u64),
    /// Requests out at model servers from all edges together, as the leader knows them.
    Loads(Vec<ModelServerLoad>),
    /// An edge asks the leader at which model server a prompt should be read next, and when.
    AdmissionRequest(AdmissionRequest),
    /// The leader's answer.
    AdmissionGrant(AdmissionGrant),
    /// The leader has generations of a training step to be drawn.
    DrawOffer(DrawOffer),
    /// An edge asks for some.
    DrawRequest(DrawRequest),
    /// The leader gives them.
    DrawGrant(DrawGrant),
    /// An edge tells how one ended.
    DrawResult(DrawResult),
    /// Versions of models in training.
    ModelVersions(Vec<ModelVersions>),
    /// What the leader's orders have made of a model server, for the other cores.
    OrderStatus(OrderStatus),
    /// Models that model servers load by the leader's orders.
    ExpectedModels(Vec<ExpectedModel>),
}

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// Takes clients' requests.
    Edge,
    /// Holds the configuration and serves the control plane.
    Core,
}

/// Who opens a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// What it is.
    pub role: ProcessRole,
    /// The machine's name.
    pub name: String,
    /// The machine's zone.
    pub zone: String,
    /// Another number at each start of the process.
    pub incarnation: u64,
    /// Long messages may come to it compressed.
    pub accepts_compression: bool,
}

/// What a model server says of itself, or a core of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ModelServerState {
    /// Takes requests.
    Ready,
    /// Leaves soon, takes no new ones.
    Draining,
    /// Has left.
    Removed,
}

/// A model that a model server holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model's name.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
    /// The adapters held with it.
    pub adapters: Vec<String>,
}

/// One incarnation of a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelServer {
    /// The incarnation's id.
    pub instance: String,
    /// The service that it belongs to.
    pub backend: String,
    /// `ip:port` for requests and orders.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// Whether it takes requests.
    pub state: ModelServerState,
    /// For how much longer it stays slow from its start, milliseconds.
    pub cold_remaining_ms: u64,
    /// Time until it is gone, whatever it runs, milliseconds; 0: not told.
    pub remaining_ms: u64,
    /// What it holds.
    pub models: Vec<LoadedModel>,
    /// Rises with every heartbeat.
    pub sequence: u64,
    /// An order to it is under way.
    pub busy: bool,
}

/// A model that a model server is about to drop.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithheldModel {
    /// The model.
    pub model: String,
    /// The adapter; empty: the model as a whole.
    pub adapter: String,
}

/// What the leader knows of a model server by the orders that it gave there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderStatus {
    /// The model server's incarnation.
    pub instance: String,
    /// What nobody is to use there any more.
    pub withheld: Vec<WithheldModel>,
    /// What the model server reported at the end of an order; `None`: nothing newer than its heartbeats.
    pub models: Option<Vec<LoadedModel>>,
    /// An order is under way there.
    pub busy: bool,
}

/// Model servers that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelServerUpdate {
    /// These are all model servers that the sender knows.
    pub complete: bool,
    /// The model servers, as they are now.
    pub servers: Vec<ModelServer>,
}

/// The configuration in force since the entry `index` of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationUpdate {
    /// Rises with every change.
    pub index: u64,
    /// 0: `document` is whole. Otherwise it is an update of the configuration of this entry.
    pub base_index: u64,
    /// The document, or the update, as JSON.
    pub document: Vec<u8>,
}

/// A core's word about the group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CoreStatus {
    /// The voters as the sender knows them.
    pub members: Vec<Member>,
    /// The leader's internal address; empty: none is known.
    pub leader: String,
    /// Edges that are connected to the sender.
    pub edges: u32,
    /// The sender's time of day, milliseconds since the start of 1970.
    pub wall_clock_ms: u64,
    /// The sender's zone.
    pub zone: String,
    /// The entry that brought the newest configuration that the sender may tell; 0: none.
    pub configuration_index: u64,
    /// The sender leads, or hears the leader and lacks nothing.
    pub current: bool,
}

/// Whether an edge wants a core's news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subscription {
    /// It does.
    pub wanted: bool,
    /// The entry of the configuration that it has; 0: none.
    pub known_index: u64,
}

/// Requests that began to run in one window, by tenant; whole counts of one edge, not differences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageWindow {
    /// The window's number.
    pub window: u64,
    /// Tenants and their counts.
    pub counts: Vec<(String, u64)>,
}

/// What clients asked of one model (or of a service without models, with an empty name) since the last
/// report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelDemand {
    /// The service.
    pub backend: String,
    /// The model.
    pub model: String,
    /// The adapter; empty: none.
    pub adapter: String,
    /// Requests that came.
    pub arrived: u64,
    /// Their told size: tokens in and ten times the tokens out.
    pub tokens: u64,
    /// Requests that no model server could take, waiting or refused.
    pub waiting: u32,
    /// What model servers take to read the prompts of those that came, by the edge's estimates, milliseconds.
    pub prefill_ms: u64,
    /// For how long answers that ended since the last report took a slot, milliseconds.
    pub slot_time_ms: u64,
    /// The shortest objective among them, milliseconds; 0: not told.
    pub objective_ms: u32,
}

/// A model that a model server is loading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpectedModel {
    /// The service.
    pub backend: String,
    /// The model.
    pub model: String,
    /// It should be there after this, milliseconds.
    pub ready_in_ms: u32,
}

/// What an edge, or all edges together, see of one model server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelServerLoad {
    /// The model server's incarnation.
    pub instance: String,
    /// Requests out there.
    pub in_flight: u32,
    /// From an edge: requests that failed there since the last report.
    pub failed: u32,
    /// From an edge: requests that it answered since the last report.
    pub answered: u32,
    /// From the leader: the part of all heads' requests that failed there lately, in thousandths.
    pub error_permille: u16,
}

/// What an edge tells the cores regularly.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EdgeReport {
    /// The edge's name.
    pub edge: String,
    /// The edge's start.
    pub incarnation: u64,
    /// Counts of the windows that may still change or be missing.
    pub usage: Vec<UsageWindow>,
    /// Demand since the last report.
    pub demand: Vec<ModelDemand>,
    /// What is out at model servers.
    pub loads: Vec<ModelServerLoad>,
    /// How far back the demand reaches where this is the first report to a leader, milliseconds; otherwise 0.
    pub demand_span_ms: u64,
    /// The configuration in force at the edge.
    pub configuration: ConfigurationInForce,
}

/// Which configuration is in force at an edge. All 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationInForce {
    /// The log's entry that brought it.
    pub index: u64,
    /// Its version.
    pub version: u64,
    /// For how long it has been in force, milliseconds.
    pub for_ms: u64,
}

/// A model server that could answer a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionOption {
    /// The model server's incarnation.
    pub instance: String,
    /// What it takes to read the prompt there, milliseconds.
    pub prefill_ms: u32,
    /// What else speaks against it, in milliseconds until the answer begins.
    pub other_cost_ms: u32,
}

/// An edge's question at which model server a prompt should be read next, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The edge's number of the request.
    pub request: u64,
    /// Model servers that could answer it.
    pub options: Vec<AdmissionOption>,
    /// How urgent the request is among all of its service; 0: the most urgent.
    pub urgency: u8,
}

/// The answer to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionGrant {
    /// The edge's number of the request.
    pub request: u64,
    /// The chosen one of the request's options.
    pub option: u32,
    /// The prompt should arrive there after this, milliseconds.
    pub wait_ms: u32,
}
