//! The HTTP interface of the control plane: heartbeats of model servers, operators' calls, trainers' calls.

pub mod answer;
mod training;

use super::event::Event;
use super::model_server_json::HeartbeatJson;
use crate::memory::plan::MAX_CALL_BYTES;
use crate::net::server::RouterService;
use answer::{CallContext, ask, ask_holding, body_of, read, result_answer};
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::{Change, ChangeKind};
use viz::{RequestExt, Response, ResponseExt, Router};

/// Ids of deregistered instances are part of the replicated state.
const MAX_INSTANCE_BYTES: usize = 256;
/// A heartbeat has 4 KiB at most (PROTOCOL.md, "Service discovery").
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;
const BASE_VERSION: &str = "x-pathbank-base-version";

/// The service of the connections to the control plane.
pub fn service(context: CallContext) -> RouterService {
    RouterService::from(router(context))
}

fn router(context: CallContext) -> Router {
    let heartbeats = context.clone();
    let deregistrations = context.clone();
    let replaces = context.clone();
    let updates = context.clone();
    let reads = context.clone();
    let servers = context.clone();
    let placement = context.clone();
    let roles = context.clone();
    let status = context.clone();
    let memory = context.memory.clone();
    training::routes(Router::new(), &context)
        .post("/api/instances/:id/heartbeat", move |request| heartbeat(heartbeats.clone(), request))
        .post("/api/instances/:id/deregister", move |request| deregister(deregistrations.clone(), request))
        .post("/api/config/replace", move |request| change(replaces.clone(), ChangeKind::Replace, request))
        .post("/api/config/update", move |request| change(updates.clone(), ChangeKind::Update, request))
        .get("/api/config/read", move |_: viz::Request| {
            read(reads.clone(), "/api/config/read", Event::ReadConfiguration)
        })
        .get("/api/bricks", move |_: viz::Request| {
            read(servers.clone(), "/api/bricks", Event::ReadModelServers)
        })
        .get("/api/placement", move |_: viz::Request| {
            read(placement.clone(), "/api/placement", Event::ReadPlacement)
        })
        .get("/api/duties", move |_: viz::Request| {
            ask(roles.clone(), "/api/duties", Event::ReadSingletonRoles)
        })
        .get("/api/status", move |_: viz::Request| ask(status.clone(), "/api/status", Event::ReadStatus))
        .get("/api/memory", move |_: viz::Request| {
            let usage = memory.usage();
            async move { Ok::<_, viz::Error>(Response::json(usage)?) }
        })
        .any("/*", |_: viz::Request| async {
            Ok::<_, viz::Error>(result_answer(ResultCode::UnknownCall, "no such call"))
        })
}

async fn heartbeat(context: CallContext, mut request: viz::Request) -> viz::Result<Response> {
    let Some(instance) = instance_of(&request) else { return Ok(invalid_instance()) };
    let body = match body_of(&context, &mut request, MAX_HEARTBEAT_BYTES).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    match serde_json::from_slice::<HeartbeatJson>(&body.into_vec()) {
        Ok(heartbeat) => {
            let heartbeat = heartbeat.into_heartbeat(instance);
            ask(context, "", |reply| Event::Heartbeat(heartbeat, reply)).await
        }
        Err(error) => Ok(result_answer(ResultCode::UnreadableDocument, &error.to_string())),
    }
}

async fn deregister(context: CallContext, request: viz::Request) -> viz::Result<Response> {
    let Some(instance) = instance_of(&request) else { return Ok(invalid_instance()) };
    ask(context, "", |reply| Event::Deregister(instance, reply)).await
}

/// The instance id in a call's path; `None`: it cannot be one.
fn instance_of(request: &viz::Request) -> Option<String> {
    let instance: String = request.param("id").unwrap_or_default();
    (1..=MAX_INSTANCE_BYTES).contains(&instance.len()).then_some(instance)
}

fn invalid_instance() -> Response {
    let message = format!("an instance id has 1 to {MAX_INSTANCE_BYTES} bytes");
    result_answer(ResultCode::BadRequest, &message)
}

async fn change(context: CallContext, kind: ChangeKind, mut request: viz::Request) -> viz::Result<Response> {
    let base = request.headers().get(BASE_VERSION).and_then(|value| value.to_str().ok());
    let Some(base) = base.and_then(|base| base.trim().parse().ok()) else {
        return Ok(result_answer(ResultCode::MissingBase, "X-Pathbank-Base-Version is missing or no number"));
    };
    let body = match body_of(&context, &mut request, MAX_CALL_BYTES).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    let lease = match context.admit(&body).await {
        Ok(lease) => lease,
        Err(answer) => return Ok(answer),
    };
    let Ok(body) = String::from_utf8(body.into_vec()) else {
        return Ok(result_answer(ResultCode::UnreadableDocument, "the body is not UTF-8"));
    };
    let path = if kind == ChangeKind::Replace { "/api/config/replace" } else { "/api/config/update" };
    let change = Change { kind, base, body };
    ask_holding(context, path, lease, |reply| Event::Change(change, reply)).await
}
