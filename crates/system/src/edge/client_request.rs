//! A client's request: how the configuration in force routes it, and the request that goes to a model server.

use super::answer::RETRY_SOON_MS;
use super::answer::{self, Answer};
use super::headers::{
    CREDENTIAL, DEADLINE, EXPECT_VERSION, LAST_EVENT_ID, MODEL, PRIORITY, PROMPT_PREFIX, REQUEST_ID,
    TARGET_INSTANCE, TENANT, TOKEN_COUNT, VERSIONS, copied, end_to_end, length, text,
};
use super::shared::Shared;
use crate::clock;
use crate::memory::body_reader::{BodyFault, BodyLimits, discard};
use crate::memory::held_body::HeldBody;
use crate::memory::share::{MemoryLease, ShareExhausted};
use crate::net::server::Connection;
use hyper::body::Incoming;
use hyper::header::{ACCEPT_ENCODING, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Uri};
use pathbank_control::configuration::{Route, RouteType, RouteVersion, Tenant};
use pathbank_control::result_code::ResultCode;
use pathbank_control::routes::RouteTable;
use pathbank_control::urgency::{self, LOWEST_PRIORITY, Urgency};
use pathbank_router::answer::head::SentRequest;
use pathbank_router::answer::{AnswerError, whole_number};
use pathbank_router::dispatcher::Offer;
use pathbank_router::model_servers::Instance;
use pathbank_router::prompt::{ModelName, TokenCount, parse_parts};
use pathbank_router::request_log::Step;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// A core that can be reached sends an edge its first configuration within this time, milliseconds.
const CONFIGURATION_TIMEOUT_MS: u64 = 2_500;
/// How often a waiting request checks whether the configuration has come.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The longest request body if the configuration states no limit.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
/// What a request holds while it waits: its task, its place in the queue and its entry in the log.
const REQUEST_BYTES: usize = 8 * 1_024;
/// What a header costs beside its bytes.
const HEADER_BYTES: usize = 128;
/// A head is held as it came and as it goes to a model server.
const HEAD_COPIES: usize = 2;
/// The buffers of an exchange with a model server, and what the kernel holds of its answer.
const EXCHANGE_BYTES: usize = 64 * 1_024;
/// The buffer of an event that is not complete is up to so many times as long.
const EVENT_BUFFER_FACTOR: usize = 2;
/// The edge's deadline is this much earlier than the client's, so that the answer arrives in time,
/// milliseconds.
const ANSWER_MARGIN_MS: u64 = 20;
/// A client abandons a stream that stays silent for the longest of three times (PROTOCOL.md, "Requests"): this
/// one, ...
const MIN_SILENCE_TIMEOUT_MS: u64 = 2_000;
/// ... this many of the route's latency targets, ...
const SILENCE_TIMEOUT_TARGETS: f64 = 4.0;
/// ... and this many of the route's gap targets.
const SILENCE_TIMEOUT_GAPS: f64 = 8.0;

/// A client's request whose body is complete, and how the configuration routes it.
pub(super) struct ClientRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: HeldBody,
    /// The route that the request matched.
    pub(super) route: Arc<Route>,
    /// The backend that the route chose.
    pub(super) backend: String,
    /// The tenant's name, which goes to model servers and under which usage is counted.
    pub(super) tenant: Option<String>,
    /// The model and its adapter.
    pub(super) name: ModelName,
    pub(super) tokens: TokenCount,
    /// How long a model server takes to load the model, milliseconds.
    pub(super) load_ms: Option<u64>,
    /// How urgent the request is among all requests for its backend; 0: the most urgent.
    pub(super) urgency: Urgency,
    /// When the request arrived, milliseconds of the steady clock.
    pub(super) arrived: u64,
    /// When the edge stops working on the request, milliseconds of the steady clock.
    pub(super) deadline: u64,
    /// Since when the client has got nothing: its request's arrival, or the last event of its stream.
    pub(super) silent_since: u64,
    /// Instances that further attempts avoid.
    pub(super) attempted: BTreeSet<Instance>,
    /// Attempts that a model server may have received.
    pub(super) attempts: u32,
    /// The id of the last event that the client got; replaces the client's own `Last-Event-ID`.
    pub(super) resume_after: Option<u64>,
    /// The version of the model's weights that has to answer: the one that the client or the route asks for,
    /// or else the one that sent the first part of the answer.
    pub(super) version: Option<u64>,
    /// The memory for this request, beside its body.
    memory: MemoryLease,
    /// Whether `memory` covers an exchange with a model server.
    covers_exchange: bool,
    /// The memory for an event that is not complete.
    event_memory: MemoryLease,
}

/// Reads a request's body and routes the request by the configuration in force. `Err`: the edge's answer to a
/// request that cannot be served.
pub(super) async fn accept(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<ClientRequest, Answer> {
    let arrived = clock::now();
    let client_waits_ms = client_waits_ms(request.headers());
    let Some(early) = first_configuration(shared, arrived.saturating_add(client_waits_ms)).await else {
        return Err(answer::refusal(ResultCode::NoConfiguration, RETRY_SOON_MS));
    };
    let (head, body) = request.into_parts();
    let Ok(memory) = request_memory(shared, &head.headers) else {
        tokio::spawn(discard(body));
        return Err(out_of_memory());
    };
    let connection = head.extensions.get::<Arc<Connection>>().cloned();
    // The read buffer from which the head came is free while the request waits.
    let headers = copied(&head.headers);
    let limit = early.limits.max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES);
    let body = read_body(shared, body, limit).await?;
    if let Some(connection) = connection {
        connection.body_complete();
    }
    // A newer configuration may have come while the body arrived.
    let routes = shared.routes.load_full().unwrap_or(early);
    let host = text(&headers, &HOST).unwrap_or_default().to_owned();
    let Some(route) = routes.route(&host, head.uri.path()).cloned() else {
        return Err(answer::error(ResultCode::NoRoute));
    };
    let tenant = tenant_of(&routes, &route, &headers).map_err(answer::error)?;
    let urgency = urgency_of(tenant.as_deref(), &route);
    let tenant = tenant.map(|tenant| tenant.name.clone());
    let Some(backend) = choose_backend(&route) else { return Err(answer::error(ResultCode::NoRoute)) };
    let name = text(&headers, &MODEL).map(ModelName::parse).unwrap_or_default();
    let tokens = text(&headers, &TOKEN_COUNT).and_then(TokenCount::parse).unwrap_or_default();
    let time_limit = client_waits_ms.min(route.timeout_ms as u64);
    let load_ms = load_time(&routes, &backend, &name);
    let version = expected_version(&headers).or_else(|| route_version(shared, &route, &backend, &name));
    Ok(ClientRequest {
        method: head.method,
        uri: head.uri,
        headers,
        body,
        backend,
        tenant,
        name,
        tokens,
        load_ms,
        urgency,
        arrived,
        deadline: arrived + time_limit.saturating_sub(ANSWER_MARGIN_MS),
        silent_since: arrived,
        route,
        attempted: BTreeSet::new(),
        attempts: 0,
        resume_after: None,
        version,
        memory,
        covers_exchange: false,
        event_memory: shared.memory.requests.empty_lease(),
    })
}

/// How long the client waits, milliseconds; the longest time if it does not say.
fn client_waits_ms(headers: &HeaderMap) -> u64 {
    text(headers, &DEADLINE).and_then(|value| value.parse().ok()).unwrap_or(u64::MAX)
}

fn expected_version(headers: &HeaderMap) -> Option<u64> {
    text(headers, &EXPECT_VERSION)?.trim().parse().ok()
}

/// The version that a route asks for if the model is in training.
fn route_version(shared: &Shared, route: &Route, backend: &str, name: &ModelName) -> Option<u64> {
    let wanted = route.model_version?;
    let trained = shared.model_versions.load();
    let known = trained.iter().find(|known| known.backend == backend && known.model == name.model)?;
    match wanted {
        RouteVersion::Step => known.open.or(known.sealed),
        RouteVersion::Sealed => known.sealed,
    }
}

/// The configuration in force. An edge that has just started gets its first one from a core before long, so a
/// request waits for it, as long as its client has time until `client_leaves_at`.
async fn first_configuration(shared: &Arc<Shared>, client_leaves_at: u64) -> Option<Arc<RouteTable>> {
    let latest_answer = client_leaves_at.saturating_sub(ANSWER_MARGIN_MS);
    let given_up = latest_answer.min(clock::now() + CONFIGURATION_TIMEOUT_MS);
    loop {
        let routes = shared.routes.load_full();
        if routes.is_some() || clock::now() >= given_up {
            return routes;
        }
        tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
    }
}

/// Takes the memory that a request holds while it waits, beside its body.
fn request_memory(shared: &Shared, headers: &HeaderMap) -> Result<MemoryLease, ShareExhausted> {
    let share = &shared.memory.requests;
    let bytes = REQUEST_BYTES + HEADER_BYTES * headers.len() + HEAD_COPIES * length(headers);
    share.lease(bytes).inspect_err(|_| share.count_refusal())
}

/// Fits a lease to so many bytes that are held of an event, whose buffer grows by doubling.
pub(super) fn cover_event(lease: &mut MemoryLease, bytes: usize) -> Result<(), ShareExhausted> {
    let needed = EVENT_BUFFER_FACTOR * bytes;
    match needed.checked_sub(lease.bytes()) {
        Some(missing) => lease.grow(missing),
        None => {
            lease.shrink(needed);
            Ok(())
        }
    }
}

/// The refusal of a request for which there is no memory.
pub(super) fn out_of_memory() -> Answer {
    answer::closing(answer::refusal(ResultCode::OutOfMemory, RETRY_SOON_MS))
}

/// Reads a request's body. `Err`: the refusal, after which the connection closes, as not all of the body was read.
async fn read_body(shared: &Shared, body: Incoming, limit: u64) -> Result<HeldBody, Answer> {
    let limits = BodyLimits { bytes: limit as usize, timeout: BODY_TIMEOUT };
    shared.memory.bodies.read(body, limits).await.map_err(|fault| match fault {
        BodyFault::NoMemory => out_of_memory(),
        BodyFault::TooLong => answer::closing(answer::error(ResultCode::BodyTooLarge)),
        BodyFault::Broken => answer::closing(answer::error(ResultCode::BadRequest)),
        BodyFault::Late | BodyFault::Stalled => answer::closing(answer::error(ResultCode::BodyLate)),
    })
}

/// How urgent a request is: the tenant's priority counts first, then the route's.
fn urgency_of(tenant: Option<&Tenant>, route: &Route) -> Urgency {
    urgency::of(tenant.and_then(|tenant| tenant.priority).unwrap_or(0), route.priority)
}

/// The tenant whose key the request has. `None`: the route is public, or the configuration has no list of tenants.
fn tenant_of(
    routes: &RouteTable,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<Tenant>>, ResultCode> {
    let key = text(headers, &CREDENTIAL);
    let tenant = key.and_then(|key| routes.tenant(key));
    match tenant {
        Some(tenant) => Ok(Some(tenant.clone())),
        None if route.public || !routes.requires_keys() => Ok(None),
        None => Err(ResultCode::UnknownKey),
    }
}

/// The route's backend, or, with a traffic split, one drawn at random by the weights.
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

/// How long a model server of the backend takes to load the model, milliseconds.
fn load_time(routes: &RouteTable, backend: &str, name: &ModelName) -> Option<u64> {
    let runtime = routes.backend(backend)?.runtime.as_ref()?;
    let model = runtime.models.iter().find(|model| model.name == name.model)?;
    Some((model.load_s * 1_000.0) as u64)
}

/// The version of the model's weights that an answer names.
pub(super) fn told_version(headers: &HeaderMap) -> Option<u64> {
    whole_number(text(headers, &VERSIONS)?.trim())
}

impl ClientRequest {
    /// When the request arrived, milliseconds of the steady clock.
    pub(super) fn arrived(&self) -> u64 {
        self.arrived
    }

    /// The client's request id and the model, for log lines.
    pub(super) fn log_fields(&self) -> (&str, &ModelName) {
        (text(&self.headers, &REQUEST_ID).unwrap_or("-"), &self.name)
    }

    /// Records a step of the request for operators. Does nothing if the client gave no request id.
    pub(super) fn record_step(&self, shared: &Shared, step: Step) {
        if let Some(id) = text(&self.headers, &REQUEST_ID) {
            shared.record_step(id, step);
        }
    }

    /// Records that a model server sent something else than an answer or a part of one.
    pub(super) fn record_answer_error(&self, shared: &Shared, instance: &str, error: AnswerError) {
        let (id, name) = self.log_fields();
        tracing::warn!(id, ?name, instance, %error, "a model server sent no answer");
        shared.answer_errors.record(error);
        self.record_step(shared, Step::Malformed { error });
    }

    /// Records the version that began the answer: a model server that continues it has to hold the same one.
    pub(super) fn record_version(&mut self, headers: &HeaderMap) {
        self.version = self.version.or(told_version(headers));
    }

    /// The step that records how the request was routed.
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
    pub(super) fn is_idempotent(&self) -> bool {
        self.route.kind == RouteType::Idempotent || self.is_resumable()
    }

    /// The most output tokens that the client asked for.
    pub(super) fn output_tokens(&self) -> u64 {
        self.tokens.output
    }

    /// Whether the answer is a stream that another model server may continue.
    pub(super) fn is_resumable(&self) -> bool {
        self.route.kind == RouteType::Streaming && self.route.resumable
    }

    /// What the head of an answer is compared with.
    pub(super) fn sent_request(&self) -> SentRequest<'_> {
        SentRequest {
            id: self.headers.get(REQUEST_ID).map(HeaderValue::as_bytes),
            streaming: self.route.kind == RouteType::Streaming,
            accepts_encoding: self.headers.contains_key(ACCEPT_ENCODING),
            version: self.version,
        }
    }

    /// The id of the event after which the client asks a stream to go on, on a route that allows it.
    pub(super) fn last_event_id(&self) -> Option<u64> {
        let id = text(&self.headers, &LAST_EVENT_ID).filter(|_| self.is_resumable())?;
        whole_number(id.trim())
    }

    /// Takes the memory for an exchange with a model server.
    pub(super) fn cover_exchange(&mut self) -> Result<(), ShareExhausted> {
        if !self.covers_exchange {
            self.memory.grow(EXCHANGE_BYTES)?;
            self.covers_exchange = true;
        }
        Ok(())
    }

    /// Takes the memory for so many bytes that are held of an event, and gives back what is more.
    pub(super) fn cover_event(&mut self, bytes: usize) -> Result<(), ShareExhausted> {
        cover_event(&mut self.event_memory, bytes)
    }

    /// Gives back the memory of a body that will not be sent again.
    pub(super) fn release_body(&mut self) {
        self.body = HeldBody::default();
    }

    /// Whether the route's number of attempts and the deadline allow another attempt.
    pub(super) fn has_attempts(&self) -> bool {
        self.attempts < self.route.max_attempts.unwrap_or(1).max(1) && clock::now() < self.deadline
    }

    /// When the client abandons the request if no further part of an answer comes, milliseconds of the steady
    /// clock.
    fn abandoned_at(&self) -> u64 {
        if self.route.kind != RouteType::Streaming {
            return self.deadline;
        }
        let objectives = (SILENCE_TIMEOUT_TARGETS * self.route.target_latency_ms) as u64;
        let pacing = (SILENCE_TIMEOUT_GAPS * self.route.target_gap_ms.unwrap_or(0.0)) as u64;
        let silence = MIN_SILENCE_TIMEOUT_MS.max(objectives).max(pacing);
        self.deadline.min(self.silent_since + silence.saturating_sub(ANSWER_MARGIN_MS))
    }

    /// The offer of this request to the dispatcher, under the number `id`.
    pub(super) fn offer(&self, id: u64) -> Offer {
        let parts = text(&self.headers, &PROMPT_PREFIX).map(parse_parts).unwrap_or_default();
        Offer {
            id,
            backend: self.backend.clone(),
            name: self.name.clone(),
            tokens: self.tokens,
            parts,
            arrived: self.arrived,
            deadline: self.deadline,
            abandon_at: self.abandoned_at(),
            target_latency_ms: self.route.target_latency_ms as u64,
            target_gap_ms: self.route.target_gap_ms.unwrap_or(0.0) as u64,
            load_ms: self.load_ms,
            granted: None,
            excluded: self.attempted.clone(),
            resumable: self.is_resumable(),
            urgency: self.urgency,
            version: self.version,
        }
    }

    /// The request that goes to this instance of a model server.
    pub(super) fn request(&self, instance: &str) -> Request<HeldBody> {
        let mut request = Request::new(self.body.clone());
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
        if let Some(id) = self.resume_after {
            set(LAST_EVENT_ID, &id.to_string());
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
