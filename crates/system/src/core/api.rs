//! The HTTP interface of the control plane: heartbeats of model servers, operators' calls, trainers' calls.

mod training;

use super::event::Event;
use super::model_server_json::HeartbeatJson;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Incoming;
use pathbank_control::operator_calls::Reply;
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::{Change, ChangeKind};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use viz::{Body, IntoResponse, RequestExt, Response, Router, StatusCode};

const BASE_VERSION: &str = "x-pathbank-base-version";
const RESULT_CODE: &str = "x-pathbank-result-code";
/// Every call is answered within this.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Seconds; by then a leader is elected.
const RETRY_AFTER_S: &str = "0.5";
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

type Events = UnboundedSender<Event>;

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

/// The answer of a call with a numbered result.
fn result_answer(code: ResultCode, message: &str) -> Response {
    let body = serde_json::json!({ "result_code": code.number(), "result": format!("{code:?}"), "message": message });
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(Body::Full(Full::new(body.to_string().into())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert("content-type", viz::header::HeaderValue::from_static("application/json"));
    headers.insert(RESULT_CODE, viz::header::HeaderValue::from(code.number()));
    if status.is_server_error() {
        headers.insert("retry-after", viz::header::HeaderValue::from_static(RETRY_AFTER_S));
    }
    response
}

fn json(body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::Full(Full::new(body.into())));
    response.headers_mut().insert("content-type", viz::header::HeaderValue::from_static("application/json"));
    response
}

async fn body_of(request: &mut viz::Request) -> Result<Vec<u8>, Response> {
    use http_body_util::{BodyExt, Limited};
    let body = std::mem::replace(request.body_mut(), Body::Empty);
    match tokio::time::timeout(ANSWER_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(result_answer(ResultCode::BodyTooLarge, "the body is too large"))
        }
        // A call that was late is not invalid: its caller may retry.
        Ok(Err(_)) | Err(_) => {
            Err(result_answer(ResultCode::BodyLate, "the body did not come whole in time"))
        }
    }
}

async fn heartbeat(events: Events, mut request: viz::Request) -> viz::Result<Response> {
    let instance: String = request.param("id").unwrap_or_default();
    let body = match body_of(&mut request).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    match serde_json::from_slice::<HeartbeatJson>(&body) {
        Ok(heartbeat) => {
            let _ = events.send(Event::Heartbeat(heartbeat.into_server(instance)));
            Ok(json(b"{}".to_vec()))
        }
        Err(error) => Ok(result_answer(ResultCode::UnreadableDocument, &error.to_string())),
    }
}

async fn deregister(events: Events, request: viz::Request) -> viz::Result<Response> {
    let instance: String = request.param("id").unwrap_or_default();
    let _ = events.send(Event::Deregister(instance));
    Ok(json(b"{}".to_vec()))
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

/// Sends an event to the node, and turns its reply into an answer.
async fn ask(
    events: Events,
    path: &str,
    event: impl FnOnce(oneshot::Sender<Reply>) -> Event,
) -> viz::Result<Response> {
    let (sender, receiver) = oneshot::channel();
    let _ = events.send(event(sender));
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, receiver).await;
    Ok(match reply {
        Ok(Ok(Reply::Json(body))) => json(body),
        Ok(Ok(Reply::Result(code, message))) => result_answer(code, &message),
        Ok(Ok(Reply::LeaderAt(control_address))) => {
            let mut response = StatusCode::TEMPORARY_REDIRECT.into_response();
            let location = format!("http://{control_address}{path}");
            if let Ok(location) = location.parse() {
                response.headers_mut().insert("location", location);
            }
            response
        }
        Ok(Err(_)) | Err(_) => result_answer(ResultCode::Unclear, "no clear result in time"),
    })
}
