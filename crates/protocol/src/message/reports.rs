//! What an edge counted: usage by tenant, demand by model, and the load of model servers.

use super::configuration::ConfigurationInForce;
use super::model_servers::ModelServerLoad;

/// Requests of one edge that began in one window, by tenant: totals, not differences.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageWindow {
    /// The window's number: wall-clock time divided by the window's length.
    pub window: u64,
    /// Each tenant with its count.
    pub counts: Vec<(String, u64)>,
}

/// Demand for one model since the last report. An empty model name stands for a backend without models.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelDemand {
    /// The backend.
    pub backend: String,
    /// The model.
    pub model: String,
    /// The adapter; empty: none.
    pub adapter: String,
    /// Requests that arrived.
    pub arrived: u64,
    /// Their size: prompt tokens and ten times the output tokens, as announced by the clients.
    pub tokens: u64,
    /// Requests for which no model server was found: queued or rejected.
    pub waiting: u32,
    /// Prefill time of the prompts that arrived, by the edge's estimates, milliseconds.
    pub prefill_ms: u64,
    /// Slot time of answers that ended since the last report, milliseconds.
    pub slot_time_ms: u64,
    /// The shortest latency target among them, milliseconds; 0: none was given.
    pub objective_ms: u32,
}

/// What an edge reports to the leader at a fixed interval.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EdgeReport {
    /// The edge's name.
    pub edge: String,
    /// The edge's incarnation.
    pub incarnation: u64,
    /// Totals of the usage windows that changed.
    pub usage: Vec<UsageWindow>,
    /// Demand since the last report, by model.
    pub demand: Vec<ModelDemand>,
    /// Load of the model servers.
    pub loads: Vec<ModelServerLoad>,
    /// In the first report to a leader: the time that the demand covers, milliseconds; otherwise 0.
    pub demand_span_ms: u64,
    /// The configuration in force at the edge.
    pub configuration: ConfigurationInForce,
}
