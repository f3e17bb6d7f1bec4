//! The items of the operators' configuration, parsed. Unknown keys are ignored.

use crate::result_code::ResultCode;
use facet::Facet;

/// Whether a route's requests may be repeated, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Facet)]
#[repr(u8)]
#[facet(rename_all = "snake_case")]
pub enum RouteType {
    /// The requests are idempotent: they may run more than once.
    Idempotent,
    /// The requests are not idempotent: each attempt runs at most once.
    NonIdempotent,
    /// The requests are answered by a stream of events.
    Streaming,
}

/// Which version of a model that is in training answers a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Facet)]
#[repr(u8)]
#[facet(rename_all = "snake_case")]
pub enum RouteVersion {
    /// The version of the open step, or else of the last sealed step.
    Step,
    /// The version of the last sealed step.
    Sealed,
}

/// Which requests go to which service.
#[derive(Clone, Debug, Facet)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The `Host` that it serves.
    pub hostname: String,
    /// The beginning of the paths that it serves, from slash to slash.
    pub path_prefix: String,
    /// The type of its requests.
    #[facet(rename = "type")]
    pub kind: RouteType,
    /// The time-out of a request, milliseconds.
    pub timeout_ms: f64,
    /// The latency target: an answer that begins within this time is timely, milliseconds.
    #[facet(default)]
    pub target_latency_ms: f64,
    /// The priority; 0 is the highest.
    #[facet(default)]
    pub priority: i64,
    /// The service, if there is only one.
    #[facet(default)]
    pub backend: Option<String>,
    /// The services and their weights, if there are several.
    #[facet(default)]
    pub traffic_split: Vec<Split>,
    /// The limit of attempts for one request.
    #[facet(default)]
    pub max_attempts: Option<u32>,
    /// Whether requests need no key.
    #[facet(default)]
    pub public: bool,
    /// Whether prompts share prefixes: requests prefer model servers that have the prefix in their cache.
    #[facet(default)]
    pub session_affinity: bool,
    /// Whether a broken stream may be resumed at another model server.
    #[facet(default)]
    pub resumable: bool,
    /// The longest pause between events of a stream that is on time, milliseconds.
    #[facet(default, rename = "gap_aim_ms")]
    pub target_gap_ms: Option<f64>,
    /// Which version of a model in training answers; `None`: the version that the model server has loaded.
    #[facet(default)]
    pub model_version: Option<RouteVersion>,
}

impl Route {
    /// The services that its requests may go to.
    pub fn named_backends(&self) -> impl Iterator<Item = &str> {
        let split = self.traffic_split.iter().map(|split| split.backend.as_str());
        split.chain(self.backend.as_deref())
    }
}

/// A service and its weight among a route's services.
#[derive(Clone, Debug, Facet)]
pub struct Split {
    /// The service.
    pub backend: String,
    /// Its weight, relative to the others.
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, Facet)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// The path at which its model servers answer health checks.
    #[facet(default)]
    pub health_path: Option<String>,
    /// Connections that one model server accepts from all callers together.
    #[facet(default)]
    pub max_connections: Option<u32>,
    /// The models that its model servers may hold.
    #[facet(default)]
    pub runtime: Option<Runtime>,
    /// How many model servers may run.
    #[facet(default)]
    pub autoscaling: Option<Autoscaling>,
}

/// The capacity of a service's model servers, and their models.
#[derive(Clone, Debug, Facet)]
pub struct Runtime {
    /// Requests that a model server runs at once.
    #[facet(default)]
    pub capacity: f64,
    /// Tokens that fit the KV cache of a model server.
    #[facet(default)]
    pub kv_capacity: f64,
    /// The models.
    #[facet(default)]
    pub models: Vec<Model>,
    /// Memory of a model server for weights and adapters, megabytes.
    #[facet(default)]
    pub weights_mb: f64,
    /// The limit of loaded adapters of a model server.
    #[facet(default)]
    pub max_adapters: u32,
    /// Loads a second that the weight store permits for all model servers together.
    #[facet(default)]
    pub loads_per_s: f64,
    /// Tokens in one event of a stream; 0: unknown.
    #[facet(default)]
    pub stride: f64,
}

/// A model.
#[derive(Clone, Debug, Facet)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Its weights, megabytes.
    pub weights_mb: f64,
    /// How long a load takes, seconds.
    #[facet(default)]
    pub load_s: f64,
    /// How many adapters there are; they are named a1, a2 and so on.
    #[facet(default)]
    pub adapters: u32,
    /// The size of each adapter, megabytes.
    #[facet(default)]
    pub adapter_mb: f64,
}

impl Model {
    /// Whether it has an adapter of this name: they are named a1, a2 and so on.
    pub fn has_adapter(&self, name: &str) -> bool {
        let number = name.strip_prefix('a').and_then(|number| number.parse::<u32>().ok());
        number.is_some_and(|number| (1..=self.adapters).contains(&number))
    }
}

/// How many model servers of a service may run in each zone.
#[derive(Clone, Debug, Facet)]
pub struct Autoscaling {
    /// The minimum.
    pub min_instances: u32,
    /// The maximum.
    pub max_instances: u32,
    /// The time until a new model server serves, seconds.
    #[facet(default)]
    pub boot_s: f64,
}

/// The limits of clients' requests and connections.
#[derive(Clone, Debug, Default, Facet)]
pub struct Limits {
    /// The limit of a request's head, bytes.
    #[facet(default)]
    pub max_header_bytes: Option<u64>,
    /// The limit of a request's body, bytes.
    #[facet(default)]
    pub max_body_bytes: Option<u64>,
    /// The time-out until the request head is complete, milliseconds.
    #[facet(default)]
    pub header_timeout_ms: Option<f64>,
    /// The time after which an idle connection is closed, milliseconds.
    #[facet(default)]
    pub idle_timeout_ms: Option<f64>,
}

/// A tenant, which may send requests.
#[derive(Clone, Debug, Facet)]
pub struct Tenant {
    /// Its name, which goes to model servers with each request.
    pub name: String,
    /// Its keys.
    #[facet(default)]
    pub api_keys: Vec<String>,
    /// Its priority, which takes precedence over the route's; 0 is the highest.
    #[facet(default)]
    pub priority: Option<i64>,
}

/// Why a document, a change or a command was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Rejection {
    /// The numbered result.
    pub code: ResultCode,
    /// The reason, with the name of the item.
    pub message: String,
}

impl Rejection {
    /// A rejection with its reason.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Rejection {
        Rejection { code, message: message.into() }
    }
}
