//! JSON of model servers: the bodies of heartbeats and reports, and the overview for operators.

use pathbank_control::order_progress::ModelServerContents;
use pathbank_protocol::message::{LoadedModel, ModelServer, ModelServerState};
use serde::{Deserialize, Serialize};

/// A resident model.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ModelJson {
    name: String,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    adapters: Vec<String>,
}

impl From<LoadedModel> for ModelJson {
    fn from(loaded: LoadedModel) -> ModelJson {
        ModelJson { name: loaded.name, version: loaded.version, adapters: loaded.adapters }
    }
}

impl From<ModelJson> for LoadedModel {
    fn from(json: ModelJson) -> LoadedModel {
        LoadedModel { name: json.name, version: json.version, adapters: json.adapters }
    }
}

/// What a model server says of itself in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum HeartbeatState {
    /// It takes requests.
    Ready,
    /// It will end.
    Draining,
}

impl From<HeartbeatState> for ModelServerState {
    fn from(state: HeartbeatState) -> ModelServerState {
        match state {
            HeartbeatState::Ready => ModelServerState::Ready,
            HeartbeatState::Draining => ModelServerState::Draining,
        }
    }
}

/// The body of a heartbeat.
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatJson {
    backend: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    capacity: u32,
    state: HeartbeatState,
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    remaining_ms: Option<f64>,
    #[serde(default)]
    models: Option<Vec<ModelJson>>,
    #[serde(default)]
    sequence: u64,
}

/// A heartbeat as it was received.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The model server, without models if the heartbeat does not list any.
    pub server: ModelServer,
    /// Whether the heartbeat has a list of models, be it empty.
    pub lists_models: bool,
}

impl HeartbeatJson {
    /// The heartbeat of that incarnation.
    pub fn into_heartbeat(self, instance: String) -> Heartbeat {
        let lists_models = self.models.is_some();
        let server = ModelServer {
            instance,
            backend: self.backend,
            address: self.address,
            zone: self.zone,
            version: self.version,
            capacity: self.capacity,
            state: self.state.into(),
            cold_remaining_ms: self.cold_remaining_ms.max(0.0) as u64,
            remaining_ms: self.remaining_ms.unwrap_or(0.0).max(0.0) as u64,
            models: self.models.into_iter().flatten().map(LoadedModel::from).collect(),
            sequence: self.sequence.min(ModelServer::FINAL_SEQUENCE - 1),
            busy: false,
        };
        Heartbeat { server, lists_models }
    }
}

/// The answer of `GET /api/report`. What an order is judged by must not be missing.
#[derive(Clone, Debug, Deserialize)]
pub struct ReportJson {
    models: Vec<ModelJson>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders accepted since the model server's start.
    pub sequence: u64,
    /// Requests in progress.
    #[serde(default)]
    pub active: u32,
    /// Requests in its queue.
    #[serde(default)]
    pub queued: u32,
}

impl ReportJson {
    /// Parses a report.
    ///
    /// # Errors
    ///
    /// The body is no JSON, or lacks the models, whether an order is in progress, or the number of orders.
    pub fn parse(body: &[u8]) -> serde_json::Result<ReportJson> {
        serde_json::from_slice(body)
    }

    /// The report of a model server with these contents.
    pub fn of(contents: ModelServerContents) -> ReportJson {
        let models = contents.models.into_iter().map(ModelJson::from).collect();
        let ModelServerContents { busy, sequence, .. } = contents;
        ReportJson { models, busy, sequence, active: 0, queued: 0 }
    }

    /// The contents of the model server.
    pub fn contents(&self) -> ModelServerContents {
        ModelServerContents { models: self.models().collect(), sequence: self.sequence, busy: self.busy }
    }

    /// The resident models.
    pub fn models(&self) -> impl Iterator<Item = LoadedModel> {
        self.models.iter().cloned().map(LoadedModel::from)
    }
}

/// A model server as operators see it.
#[derive(Clone, Debug, Serialize)]
pub struct ModelServerView {
    instance: String,
    backend: String,
    address: String,
    zone: String,
    state: &'static str,
    capacity: u32,
    models: Vec<ModelJson>,
}

impl From<ModelServer> for ModelServerView {
    fn from(server: ModelServer) -> ModelServerView {
        ModelServerView {
            instance: server.instance,
            backend: server.backend,
            address: server.address,
            zone: server.zone,
            state: match server.state {
                ModelServerState::Ready => "ready",
                ModelServerState::Draining => "draining",
                ModelServerState::Removed => "gone",
            },
            capacity: server.capacity,
            models: server.models.into_iter().map(ModelJson::from).collect(),
        }
    }
}
