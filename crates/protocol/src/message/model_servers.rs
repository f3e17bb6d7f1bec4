//! Model servers: what they report, what the leader's orders make of them, and their load.

/// Whether a model server takes requests, as itself or a core reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ModelServerState {
    /// It takes requests.
    Ready,
    /// It shuts down soon and takes no new requests.
    Draining,
    /// It was deregistered, or its heartbeats timed out.
    Removed,
}

/// A model that is resident at a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// The model's name.
    pub name: String,
    /// The version of its weights.
    pub version: u64,
    /// The adapters that are resident with it.
    pub adapters: Vec<String>,
}

/// One incarnation of a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelServer {
    /// The incarnation's id.
    pub instance: String,
    /// The backend that it belongs to.
    pub backend: String,
    /// `ip:port` for requests and orders.
    pub address: String,
    /// Its failure domain.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it runs at once (slots).
    pub capacity: u32,
    /// Whether it takes requests.
    pub state: ModelServerState,
    /// Remaining time of its slow start, milliseconds.
    pub cold_remaining_ms: u64,
    /// Time until it ends, whatever it runs, milliseconds; 0: not known.
    pub remaining_ms: u64,
    /// Models that are resident.
    pub models: Vec<LoadedModel>,
    /// Increases with every heartbeat.
    pub sequence: u64,
    /// It is carrying out an order.
    pub busy: bool,
}

impl ModelServer {
    /// The sequence of a deregistration: above that of every heartbeat, so that a deregistration counts wherever
    /// it arrives, whatever heartbeats have arrived there. Not the largest number: programs of the version before
    /// add 1 to it.
    pub const FINAL_SEQUENCE: u64 = u64::MAX - 1;

    /// A deregistered incarnation of which nothing else is known.
    pub fn deregistered(instance: String) -> ModelServer {
        ModelServer {
            instance,
            backend: String::new(),
            address: String::new(),
            zone: String::new(),
            version: String::new(),
            capacity: 0,
            state: ModelServerState::Removed,
            cold_remaining_ms: 0,
            remaining_ms: 0,
            models: Vec::new(),
            sequence: ModelServer::FINAL_SEQUENCE,
            busy: false,
        }
    }

    /// Whether it has deregistered: it is never ready again.
    pub fn is_deregistered(&self) -> bool {
        self.state == ModelServerState::Removed && self.sequence >= ModelServer::FINAL_SEQUENCE
    }
}

/// Model servers that changed, or all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelServerUpdate {
    /// The list is complete: all model servers that the sender knows.
    pub complete: bool,
    /// The model servers with their current state.
    pub servers: Vec<ModelServer>,
}

/// A model, or one adapter of it, that a model server is about to unload: no request may use it there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithheldModel {
    /// The model.
    pub model: String,
    /// The adapter; empty: the model with all its adapters.
    pub adapter: String,
}

/// What the leader knows of a model server by the orders that it sent there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderStatus {
    /// The model server's incarnation.
    pub instance: String,
    /// Models that must not be used there any more.
    pub withheld: Vec<WithheldModel>,
    /// Models that the model server reported at the end of an order; `None`: nothing newer than its heartbeats.
    pub models: Option<Vec<LoadedModel>>,
    /// The model server is carrying out an order.
    pub busy: bool,
}

/// A model that a model server is loading.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpectedModel {
    /// The backend.
    pub backend: String,
    /// The model.
    pub model: String,
    /// Time until it should be resident, milliseconds.
    pub ready_in_ms: u32,
}

/// Load and failures of one model server, as one edge or all edges together see them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelServerLoad {
    /// The model server's incarnation.
    pub instance: String,
    /// Requests in flight there.
    pub in_flight: u32,
    /// From an edge: requests that failed there since its last report.
    pub failed: u32,
    /// From an edge: requests that were answered there since its last report.
    pub answered: u32,
    /// From the leader: the recent error rate over all edges, in thousandths.
    pub error_permille: u16,
}
