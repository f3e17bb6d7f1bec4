//! The HTTP interface of the control plane: heartbeats of model servers, operators' calls, trainers' calls.

mod answer;
mod training;

use super::event::Event;
use super::model_server_json::HeartbeatJson;
use answer::{Events, ask, body_of, result_answer};
use hyper::Request;
use hyper::body::Incoming;
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::{Change, ChangeKind};
use std::sync::Arc;
use viz::{RequestExt, Response, Router};

/// Ids of deregistered instances are part of the replicated state.
const MAX_INSTANCE_BYTES: usize = 256;
const BASE_VERSION: &str = "x-pathbank-base-version";

/// The service of one connection to the control plane.
pub fn service(
    events: Events,
) -> impl hyper::service::Service<
    Request<Incoming>,
    Response = Response,
    Error = std::convert::Infallible,
    Future = impl Future<Output = Result<Response, std::convert::Infallible>> + Send,
> + Clone
+ Send {
    let tree: Arc<viz::Tree> = Arc::new(router(events).into());
    let responder = viz::Responder::<()>::new(tree, None);
    ResponderService(Arc::new(responder))
}

#[derive(Clone)]
struct ResponderService(Arc<viz::Responder<()>>);

impl hyper::service::Service<Request<Incoming>> for ResponderService {
    type Response = Response;
    type Error = std::convert::Infallible;
    type Future = std::pin::Pin<Box<dyn Future<Output = Result<Response, Self::Error>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let answer = hyper::service::Service::call(&*self.0, request);
        Box::pin(answer)
    }
}

fn router(events: Events) -> Router {
    let heartbeats = events.clone();
    let deregistrations = events.clone();
    let replaces = events.clone();
    let updates = events.clone();
    let reads = events.clone();
    let servers = events.clone();
    let placement = events.clone();
    let roles = events.clone();
    let status = events.clone();
    training::routes(Router::new(), &events)
        .post("/api/instances/:id/heartbeat", move |request| heartbeat(heartbeats.clone(), request))
        .post("/api/instances/:id/deregister", move |request| deregister(deregistrations.clone(), request))
        .post("/api/config/replace", move |request| change(replaces.clone(), ChangeKind::Replace, request))
        .post("/api/config/update", move |request| change(updates.clone(), ChangeKind::Update, request))
        .get("/api/config/read", move |_: viz::Request| {
            ask(reads.clone(), "/api/config/read", Event::ReadConfiguration)
        })
        .get("/api/bricks", move |_: viz::Request| {
            ask(servers.clone(), "/api/bricks", Event::ReadModelServers)
        })
        .get("/api/placement", move |_: viz::Request| {
            ask(placement.clone(), "/api/placement", Event::ReadPlacement)
        })
        .get("/api/duties", move |_: viz::Request| {
            ask(roles.clone(), "/api/duties", Event::ReadSingletonRoles)
        })
        .get("/api/status", move |_: viz::Request| ask(status.clone(), "/api/status", Event::ReadStatus))
        .any("/*", |_: viz::Request| async {
            Ok::<_, viz::Error>(result_answer(ResultCode::UnknownCall, "no such call"))
        })
}

async fn heartbeat(events: Events, mut request: viz::Request) -> viz::Result<Response> {
    let Some(instance) = instance_of(&request) else { return Ok(invalid_instance()) };
    let body = match body_of(&mut request).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    match serde_json::from_slice::<HeartbeatJson>(&body) {
        Ok(heartbeat) => {
            let server = heartbeat.into_server(instance);
            ask(events, "", |reply| Event::Heartbeat(server, reply)).await
        }
        Err(error) => Ok(result_answer(ResultCode::UnreadableDocument, &error.to_string())),
    }
}

async fn deregister(events: Events, request: viz::Request) -> viz::Result<Response> {
    let Some(instance) = instance_of(&request) else { return Ok(invalid_instance()) };
    ask(events, "", |reply| Event::Deregister(instance, reply)).await
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

async fn change(events: Events, kind: ChangeKind, mut request: viz::Request) -> viz::Result<Response> {
    let base = request.headers().get(BASE_VERSION).and_then(|value| value.to_str().ok());
    let Some(base) = base.and_then(|base| base.trim().parse().ok()) else {
        return Ok(result_answer(ResultCode::MissingBase, "X-Pathbank-Base-Version is missing or no number"));
    };
    let body = match body_of(&mut request).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    let Ok(body) = String::from_utf8(body) else {
        return Ok(result_answer(ResultCode::UnreadableDocument, "the body is not UTF-8"));
    };
    let path = if kind == ChangeKind::Replace { "/api/config/replace" } else { "/api/config/update" };
    let change = Change { kind, base, body };
    ask(events, path, |reply| Event::Change(change, reply)).await
}
