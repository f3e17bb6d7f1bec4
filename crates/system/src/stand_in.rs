//! A stand-in brick that keeps the published protocol: heartbeats, reports, orders, answers and streams. For the quick
//! start and for tests.

use crate::net::client::ConnectionPool;
use bytes::Bytes;
use http_body_util::Full;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use viz::{Body, Request, RequestExt, Response, Result, Router, StatusCode};

const HEARTBEAT_EVERY: Duration = Duration::from_millis(200);
const CALL_WITHIN: Duration = Duration::from_millis(800);
/// Pieces of a stream, and the pause between two.
const STREAM_PIECES: u32 = 5;
const STREAM_PAUSE: Duration = Duration::from_millis(10);

/// What a stand-in brick is told.
#[derive(Clone, Debug)]
pub struct StandInSettings {
    /// Its incarnation.
    pub instance: String,
    /// Its service.
    pub backend: String,
    /// Its zone.
    pub zone: String,
    /// The models that it holds at first.
    pub models: Vec<String>,
    /// Control planes that take its heartbeats.
    pub control: Vec<SocketAddr>,
}

/// What a stand-in brick has done.
#[derive(Debug, Default)]
pub struct StandInState {
    models: Mutex<BTreeMap<String, Vec<String>>>,
    sequence: AtomicU64,
    orders: AtomicU64,
    runs: Mutex<Vec<String>>,
    /// Says `draining` from now on.
    pub draining: std::sync::atomic::AtomicBool,
}

impl StandInState {
    /// The ids of the requests that it ran, in order.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes an order at once. Returns the status.
    fn take_order(&self, body: &serde_json::Value) -> StatusCode {
        let text = |key: &str| body.get(key).and_then(serde_json::Value::as_str).map(str::to_owned);
        let (Some(operation), Some(model)) = (text("operation"), text("model")) else {
            return StatusCode::BAD_REQUEST;
        };
        let revision = body.get("if_revision").and_then(serde_json::Value::as_u64);
        if revision.is_some_and(|revision| revision != self.orders.load(Ordering::Relaxed)) {
            return StatusCode::CONFLICT;
        }
        let mut models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        match (operation.as_str(), text("adapter")) {
            ("model_load", None) => drop(models.entry(model).or_default()),
            ("model_load", Some(adapter)) => models.entry(model).or_default().push(adapter),
            ("model_unload", None) => drop(models.remove(&model)),
            ("model_unload", Some(adapter)) => {
                models.entry(model).or_default().retain(|held| *held != adapter);
            }
            _ => return StatusCode::BAD_REQUEST,
        }
        self.orders.fetch_add(1, Ordering::Relaxed);
        StatusCode::ACCEPTED
    }

    fn models_json(&self) -> serde_json::Value {
        let models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        let model =
            |(name, adapters)| serde_json::json!({ "name": name, "version": 1, "adapters": adapters });
        models.iter().map(model).collect()
    }

    fn holds(&self, name: &str) -> bool {
        let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
        let models = self.models.lock().unwrap_or_else(PoisonError::into_inner);
        let held = models.get(model);
        held.is_some_and(|adapters| adapter.is_empty() || adapters.iter().any(|held| held == adapter))
    }
}

/// Serves as a brick at `listener` until the task is dropped.
pub async fn run(
    listener: tokio::net::TcpListener,
    settings: StandInSettings,
    state: Arc<StandInState>,
) -> Result<()> {
    let address = listener.local_addr().map_err(viz::Error::boxed)?;
    {
        let mut models = state.models.lock().unwrap_or_else(PoisonError::into_inner);
        models.extend(settings.models.iter().map(|name| (name.clone(), Vec::new())));
    }
    let (reports, orders, requests) = (state.clone(), state.clone(), state.clone());
    let instance = settings.instance.clone();
    let router = Router::new()
        .get("/api/report", move |_: Request| report(reports.clone()))
        .post("/api/order", move |request| order(orders.clone(), request))
        .any("/*", move |request| answer(requests.clone(), instance.clone(), request));
    tokio::select! {
        served = async { viz::serve(listener, router).await } => served.map_err(viz::Error::boxed),
        () = heartbeats(address, settings, state) => Ok(()),
    }
}

async fn heartbeats(address: SocketAddr, settings: StandInSettings, state: Arc<StandInState>) {
    let pool = ConnectionPool::default();
    for turn in 0_usize.. {
        let control = settings.control[turn % settings.control.len().max(1)];
        let draining = state.draining.load(Ordering::Relaxed);
        let body = serde_json::json!({
            "backend": settings.backend, "address": address.to_string(), "zone": settings.zone, "version": "v1",
            "capacity": 8, "state": if draining { "draining" } else { "ready" }, "cold_remaining_ms": 0,
            "phase": "prefill_decode", "models": state.models_json(),
            "sequence": state.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        });
        let path = format!("/api/instances/{}/heartbeat", settings.instance);
        let request = hyper::Request::post(path)
            .header("host", control.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())));
        if let Ok(request) = request {
            // A head that does not answer is left for the next one.
            let _ = pool.call(control, request, CALL_WITHIN).await;
        }
        tokio::time::sleep(HEARTBEAT_EVERY).await;
    }
}

fn json(status: StatusCode, body: &serde_json::Value) -> Response {
    let mut response = Response::new(Body::Full(Full::new(Bytes::from(body.to_string()))));
    *response.status_mut() = status;
    response
}

async fn report(state: Arc<StandInState>) -> Result<Response> {
    let body = serde_json::json!({
        "phase": "prefill_decode", "models": state.models_json(), "busy": false,
        "sequence": state.orders.load(Ordering::Relaxed), "queued": 0, "active": 0, "kv_used": 0, "kv_total": 1000,
    });
    Ok(json(StatusCode::OK, &body))
}

async fn order(state: Arc<StandInState>, mut request: Request) -> Result<Response> {
    let body: serde_json::Value = request.json().await?;
    Ok(json(state.take_order(&body), &serde_json::json!({})))
}

async fn answer(state: Arc<StandInState>, instance: String, mut request: Request) -> Result<Response> {
    let header =
        |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let id = header("x-pathbank-request-id").unwrap_or_default();
    let (target, model) = (header("x-pathbank-target-instance"), header("x-pathbank-model"));
    let tenant = header("x-pathbank-tenant").unwrap_or_default();
    let mut response = Response::new(Body::Empty);
    let misdirected = target.is_some_and(|target| target != instance);
    let missing = model.as_ref().is_some_and(|model| !state.holds(model));
    if misdirected || missing {
        *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        set(&mut response, "x-pathbank-not-executed", "true");
    } else {
        let body = request.bytes().await?;
        state.runs.lock().unwrap_or_else(PoisonError::into_inner).push(id.clone());
        *response.body_mut() = match model {
            Some(_) => stream(),
            None => {
                Body::Full(Full::new(Bytes::from(format!("{tenant}:{}", String::from_utf8_lossy(&body)))))
            }
        };
        set(&mut response, "x-pathbank-response-signature", &format!("stand-in.{instance}"));
        set(&mut response, "x-pathbank-instance-load", "1,0,8");
    }
    set(&mut response, "x-pathbank-request-id", &id);
    Ok(response)
}

fn set(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// A series of events with rising ids.
fn stream() -> Body {
    let events = futures_util::stream::unfold(1_u32, |number| async move {
        if number > STREAM_PIECES {
            return None;
        }
        tokio::time::sleep(STREAM_PAUSE).await;
        let event = Bytes::from(format!("id: {number}\ndata: piece {number}\n\n"));
        Some((Ok::<_, std::io::Error>(event), number + 1))
    });
    Body::from_stream(events)
}
