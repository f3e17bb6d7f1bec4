//! A client's request as an edge has it: what it is, by the configuration in force, and what model servers
//! are sent of it.

use super::answer::{self, Answer};
use super::proxy::SOON_MS;
use super::shared::Shared;
use crate::clock;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use pathbank_control::configuration::{Route, RouteType, RouteVersion, Tenant};
use pathbank_control::result_code::ResultCode;
use pathbank_control::routes::RouteTable;
use pathbank_control::urgency::{self, LOWEST_PRIORITY, Urgency};
use pathbank_router::dispatcher::Offer;
use pathbank_router::model_servers::Instance;
use pathbank_router::prompt::{ModelName, TokenCount, parse_parts};
use pathbank_router::request_log::Step;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-pathbank-request-id");
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-pathbank-deadline-ms");
const CREDENTIAL: HeaderName = HeaderName::from_static("x-pathbank-credential");
const TENANT: HeaderName = HeaderName::from_static("x-pathbank-tenant");
pub(super) const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-pathbank-target-instance");
pub(super) const MODEL: HeaderName = HeaderName::from_static("x-pathbank-model");
pub(super) const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-pathbank-token-count");
pub(super) const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-pathbank-prompt-prefix");
pub(super) const SIGNATURE: HeaderName = HeaderName::from_static("x-pathbank-response-signature");
pub(super) const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-pathbank-not-executed");
pub(super) const INSTANCE_LOAD: HeaderName = HeaderName::from_static("x-pathbank-instance-load");
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("priority");
pub(super) const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
pub(super) const VERSIONS: HeaderName = HeaderName::from_static("versions");
pub(super) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("te"),
    HeaderName::from_static("trailer"),
    HeaderName::from_static("transfer-encoding"),
    HeaderName::from_static("upgrade"),
    HeaderName::from_static("expect"),
];
/// A body has to be in within this.
const BODY_WITHIN: Duration = Duration::from_secs(10);
/// An edge without a configuration holds requests for so long, and looks for one this often.
const CONFIGURATION_WITHIN_MS: u64 = 2_500;
const CONFIGURATION_LOOK: Duration = Duration::from_millis(20);
const DEFAULT_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// The answer is out so long before the time is up, milliseconds.
const ANSWER_MARGIN: u64 = 20;
/// Clients leave a stream that is silent for the longest of this, so many objectives, and so many of the
/// pauses that are in time.
const SILENCE_MS: u64 = 2_000;
const SILENCE_OBJECTIVES: f64 = 4.0;
const SILENCE_PAUSES: f64 = 8.0;
/// A client that waits for less than this part of its route's time has tried before.
const RETURNED_PART: f64 = 0.97;

/// A request that was read whole and may go to model servers.
pub(super) struct Job {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Its route.
    pub(super) route: Arc<Route>,
    /// The service that the route chose.
    pub(super) backend: String,
    /// The tenant, as model servers are told and as usage is counted.
    pub(super) tenant: Option<String>,
    pub(super) name: ModelName,
    pub(super) tokens: TokenCount,
    pub(super) load_ms: Option<u64>,
    /// How urgent it is among all requests for its service; 0: the most urgent.
    pub(super) urgency: Urgency,
    /// Its client has tried before.
    pub(super) returned: bool,
    pub(super) arrived: u64,
    /// When the client stops waiting.
    pub(super) deadline: u64,
    pub(super) tried: BTreeSet<Instance>,
    /// Model servers that it was sent to.
    pub(super) sends: u32,
    /// Where a stream is taken up; replaces the client's own.
    pub(super) resume_at: Option<String>,
    /// The version of the model's weights that has to answer: the client's word, the route's, or that of the
    /// answer's first part.
    pub(super) version: Option<u64>,
}

pub(super) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

pub(super) async fn accept(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Job, Answer> {
    let arrived = clock::now();
    let Some(early) = first_configuration(shared).await else {
        return Err(answer::refusal(ResultCode::NoConfiguration, SOON_MS));
    };
    let limit = early.limits.max_body_bytes.unwrap_or(DEFAULT_BODY_BYTES);
    let (head, body) = request.into_parts();
    let body = read_body(body, limit).await?;
    // The newest configuration decides, also where the body took long.
    let routes = shared.routes.load_full().unwrap_or(early);
    let host = text(&head.headers, &HOST).unwrap_or_default().to_owned();
    let Some(route) = routes.route(&host, head.uri.path()).cloned() else {
        return Err(answer::own(ResultCode::NoRoute));
    };
    let tenant = tenant_of(&routes, &route, &head.headers).map_err(answer::own)?;
    let urgency = urgency_of(tenant.as_deref(), &route);
    let tenant = tenant.map(|tenant| tenant.name.clone());
    let Some(backend) = choose_backend(&route) else { return Err(answer::own(ResultCode::NoRoute)) };
    let name = text(&head.headers, &MODEL).map(ModelName::parse).unwrap_or_default();
    let tokens = text(&head.headers, &TOKEN_COUNT).and_then(TokenCount::parse).unwrap_or_default();
    let waits: u64 = text(&head.headers, &DEADLINE).and_then(|value| value.parse().ok()).unwrap_or(u64::MAX);
    let held = waits.min(route.timeout_ms as u64);
    let load_ms = load_time(&routes, &backend, &name);
    let version = expected_version(&head.headers).or_else(|| route_version(shared, &route, &backend, &name));
    Ok(Job {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        backend,
        tenant,
        name,
        tokens,
        load_ms,
        urgency,
        returned: (waits as f64) < RETURNED_PART * route.timeout_ms,
        arrived,
        deadline: arrived + held.saturating_sub(ANSWER_MARGIN),
        route,
        tried: BTreeSet::new(),
        sends: 0,
        resume_at: None,
        version,
    })
}

fn expected_version(headers: &HeaderMap) -> Option<u64> {
    text(headers, &EXPECT_VERSION)?.trim().parse().ok()
}

/// The version that a route asks for, of a model that is in training.
fn route_version(shared: &Shared, route: &Route, backend: &str, name: &ModelName) -> Option<u64> {
    let wanted = route.model_version?;
    let trained = shared.model_versions.load();
    let known = trained.iter().find(|known| known.backend == backend && known.model == name.model)?;
    match wanted {
        RouteVersion::Step => known.open.or(known.sealed),
        RouteVersion::Sealed => known.sealed,
    }
}

/// The configuration in force. An edge that has just started waits for its first one: its clients may have
/// been cut off by the same trouble before, and have few tries left.
async fn first_configuration(shared: &Arc<Shared>) -> Option<Arc<RouteTable>> {
    let given_up = clock::now() + CONFIGURATION_WITHIN_MS;
    loop {
        let routes = shared.routes.load_full();
        if routes.is_some() || clock::now() >= given_up {
            return routes;
        }
        tokio::time::sleep(CONFIGURATION_LOOK).await;
    }
}

async fn read_body(body: Incoming, limit: u64) -> Result<Bytes, Answer> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let collected = tokio::time::timeout(BODY_WITHIN, Limited::new(body, limit as usize).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(answer::own(ResultCode::BodyTooLarge)),
        Ok(Err(_)) => Err(answer::own(ResultCode::BadRequest)),
        Err(_) => Err(answer::own(ResultCode::BodyLate)),
    }
}

/// How urgent a request is: its tenant's priority goes before its route's.
fn urgency_of(tenant: Option<&Tenant>, route: &Route) -> Urgency {
    urgency::of(tenant.and_then(|tenant| tenant.priority).unwrap_or(0), route.priority)
}

/// The tenant that holds the request's key.
fn tenant_of(
    routes: &RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Tenant>>, ResultCode> {
    let key = text(headers, &CREDENTIAL);
    let tenant = key.and_then(|key| routes.tenant(key));
    match tenant {
        Some(tenant) => Ok(Some(tenant.clone())),
        None if route.public || !routes.has_tenants() => Ok(None),
        None => Err(ResultCode::UnknownKey),
    }
}

fn choose_backend(route: &Route) -> Option<String> {
    let total: f64 = route.traffic_split.iter().map(|split| split.weight).sum();
    if total <= 0.0 {
        return route.backend.clone();
    }
    let mut draw = fastrand::f64() * total;
    for split in route.traffic_split.iter().filter(|split| split.weight > 0.0) {
        draw -= split.weight;
        if draw <= 0.0 {
            return Some(split.backend.clone());
        }
    }
    route.traffic_split.iter().rev().find(|split| split.weight > 0.0).map(|split| split.backend.clone())
}

/// How long a load of the model takes, milliseconds.
fn load_time(routes: &RouteTable, backend: &str, name: &ModelName) -> Option<u64> {
    let runtime = routes.backend(backend)?.runtime.as_ref()?;
    let model = runtime.models.iter().find(|model| model.name == name.model)?;
    Some((model.load_s * 1_000.0) as u64)
}

impl Job {
    /// When it came.
    pub(super) fn arrived(&self) -> u64 {
        self.arrived
    }

    /// The client's id and the model, for the log.
    pub(super) fn told(&self) -> (&str, &ModelName) {
        (text(&self.headers, &REQUEST_ID).unwrap_or("-"), &self.name)
    }

    /// A step of its way, for operators.
    pub(super) fn note(&self, shared: &Shared, step: Step) {
        if let Some(id) = text(&self.headers, &REQUEST_ID) {
            shared.note_step(id, step);
        }
    }

    /// The answer has begun: whatever goes on with it has to be of its version.
    pub(super) fn answered_by(&mut self, headers: &HeaderMap) {
        let told = text(headers, &VERSIONS).and_then(|version| version.trim().parse().ok());
        self.version = self.version.or(told);
    }

    pub(super) fn accepted(&self) -> Step {
        let ModelName { model, adapter } = &self.name;
        let slash = if adapter.is_empty() { "" } else { "/" };
        Step::Accepted {
            route: self.route.name.clone(),
            backend: self.backend.clone(),
            model: format!("{model}{slash}{adapter}"),
        }
    }

    /// Whether the request may run more than once.
    pub(super) fn repeatable(&self) -> bool {
        self.route.kind == RouteType::Idempotent || self.resumable()
    }

    /// The most tokens that the client asked for.
    pub(super) fn output_tokens(&self) -> u64 {
        self.tokens.output
    }

    /// Whether it is a stream that another model server may take up.
    pub(super) fn resumable(&self) -> bool {
        self.route.kind == RouteType::Streaming && self.route.resumable
    }

    /// Whether another model server may still get it.
    pub(super) fn has_attempts(&self) -> bool {
        self.sends < self.route.max_attempts.unwrap_or(1).max(1) && clock::now() < self.deadline
    }

    /// When the client leaves if nothing of an answer has come.
    fn leaves_at(&self) -> u64 {
        if self.route.kind != RouteType::Streaming {
            return self.deadline;
        }
        let objectives = (SILENCE_OBJECTIVES * self.route.target_latency_ms) as u64;
        let pauses = (SILENCE_PAUSES * self.route.target_gap_ms.unwrap_or(0.0)) as u64;
        let silence = SILENCE_MS.max(objectives).max(pauses);
        self.deadline.min(self.arrived + silence.saturating_sub(ANSWER_MARGIN))
    }

    pub(super) fn offer(&self, id: u64) -> Offer {
        let parts = text(&self.headers, &PROMPT_PREFIX).map(parse_parts).unwrap_or_default();
        Offer {
            id,
            backend: self.backend.clone(),
            name: self.name.clone(),
            size: self.tokens.size().max(1),
            input_tokens: self.tokens.input,
            parts,
            arrived: self.arrived,
            deadline: self.deadline,
            abandon_at: self.leaves_at(),
            target_latency_ms: self.route.target_latency_ms as u64,
            target_gap_ms: self.route.target_gap_ms.unwrap_or(0.0) as u64,
            load_ms: self.load_ms,
            previously_rejected: self.returned,
            granted: None,
            excluded: self.tried.clone(),
            resumable: self.resumable(),
            urgency: self.urgency,
            version: self.version,
        }
    }

    pub(super) fn request(&self, instance: &str) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() =
            self.uri.path_and_query().map_or_else(|| self.uri.clone(), |path| path.clone().into());
        let headers = request.headers_mut();
        *headers = end_to_end(&self.headers);
        headers.remove(CREDENTIAL);
        headers.remove(TENANT);
        headers.remove(hyper::header::CONTENT_LENGTH);
        let mut set = |name: HeaderName, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        };
        if let Some(tenant) = &self.tenant {
            set(TENANT, tenant);
        }
        if let Some(id) = &self.resume_at {
            set(LAST_EVENT_ID, id);
        }
        if let Some(version) = self.version {
            set(EXPECT_VERSION, &version.to_string());
        }
        set(TARGET_INSTANCE, instance);
        set(DEADLINE, &self.deadline.saturating_sub(clock::now()).max(1).to_string());
        if !self.name.model.is_empty() {
            set(PRIORITY, &self.route.priority.clamp(0, LOWEST_PRIORITY).to_string());
        }
        request
    }
}

pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        passed.remove(name);
    }
    passed
}
