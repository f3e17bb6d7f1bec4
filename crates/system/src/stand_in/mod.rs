//! A stand-in model server that keeps the published protocol: heartbeats, reports, orders, answers and
//! streams. For the quick start, for rehearsals and for tests.

pub mod drawn;
pub mod engine;
pub mod store;

use crate::clock;
use crate::memory::held_body::HeldBody;
use crate::net::client::ConnectionPool;
use bytes::Bytes;
use drawn::DrawnLog;
use engine::{Engine, EngineFault, OrderBody, Run, TurnedAway};
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use store::WeightStore;
use viz::{Body, Request, RequestExt, Response, Result, Router, StatusCode};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Heartbeats of some model servers.
#[derive(Debug, Default)]
pub struct HeartbeatCounts {
    /// Those that were acknowledged.
    pub acknowledged: AtomicU64,
    /// Those that were not.
    pub failed: AtomicU64,
}

/// What a stand-in model server is told.
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
    /// Where its weights come from.
    pub store: Arc<WeightStore>,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// What a load of a model takes, milliseconds.
    pub load_ms: u64,
    /// Pieces of a stream, and the pause between two.
    pub stream_pieces: u32,
    /// That pause.
    pub stream_pause: Duration,
    /// Bytes that each event of a stream has beside its piece's number. Where there are any, an event ends only when the
    /// next one begins.
    pub event_padding: usize,
    /// Bytes that each answer has behind its request's body.
    pub answer_padding: usize,
    /// How often it says something.
    pub heartbeat_every: Duration,
    /// Where its heartbeats are counted.
    pub counts: Arc<HeartbeatCounts>,
}

impl StandInSettings {
    /// One with small figures.
    pub fn new(instance: &str, backend: &str, zone: &str, models: &[&str], control: &[SocketAddr]) -> Self {
        StandInSettings {
            instance: instance.to_owned(),
            backend: backend.to_owned(),
            zone: zone.to_owned(),
            models: models.iter().map(|name| (*name).to_owned()).collect(),
            control: control.to_vec(),
            store: Arc::default(),
            capacity: 8,
            load_ms: 0,
            stream_pieces: 5,
            stream_pause: Duration::from_millis(10),
            event_padding: 0,
            answer_padding: 0,
            heartbeat_every: HEARTBEAT_INTERVAL,
            counts: Arc::default(),
        }
    }
}

/// What a stand-in model server has done.
#[derive(Debug, Default)]
pub struct StandInState {
    engine: Mutex<Engine>,
    store: Arc<WeightStore>,
    heartbeats: AtomicU64,
    runs: Mutex<Vec<TimedRun>>,
    /// What it drew for training steps.
    pub drawn: DrawnLog,
    /// Says `draining` from now on.
    pub draining: AtomicBool,
    /// Sends no heartbeats from now on, and serves on.
    pub silent: AtomicBool,
}

/// A request that a stand-in ran.
#[derive(Clone, Debug)]
pub struct TimedRun {
    /// The request's id.
    pub id: String,
    /// When it had arrived whole.
    pub at: Instant,
}

impl StandInState {
    /// The state of a model server that starts. What it draws for steps is appended to the log.
    pub fn new(settings: &StandInSettings, drawn: DrawnLog) -> Arc<StandInState> {
        let store = settings.store.clone();
        let engine = Engine::new(settings.capacity, settings.load_ms, &settings.models, store.newest());
        Arc::new(StandInState { engine: Mutex::new(engine), store, drawn, ..StandInState::default() })
    }

    /// The ids of the requests that it ran, in order.
    pub fn runs(&self) -> Vec<String> {
        self.timed_runs().into_iter().map(|run| run.id).collect()
    }

    /// The requests that it ran, in order.
    pub fn timed_runs(&self) -> Vec<TimedRun> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Its engine, as it stands now.
    pub fn engine(&self) -> MutexGuard<'_, Engine> {
        let mut engine = self.engine.lock().unwrap_or_else(PoisonError::into_inner);
        engine.settle(clock::now(), self.store.newest());
        engine
    }

    fn models_json(&self) -> serde_json::Value {
        let engine = self.engine();
        let models = engine.models().iter().map(|(name, held)| {
            serde_json::json!({ "name": name, "version": held.version, "adapters": held.adapters })
        });
        models.collect()
    }
}

/// Serves as a model server at `listener` until the task is dropped.
pub async fn run(
    listener: tokio::net::TcpListener,
    settings: StandInSettings,
    state: Arc<StandInState>,
) -> Result<()> {
    let address = listener.local_addr().map_err(viz::Error::boxed)?;
    let (reports, orders, requests, faults) = (state.clone(), state.clone(), state.clone(), state.clone());
    let settings = Arc::new(settings);
    let own = settings.clone();
    let router = Router::new()
        .get("/api/report", move |_: Request| report(reports.clone()))
        .post("/api/order", move |request| order(orders.clone(), request))
        // Not of the protocol: a rehearsal makes something go wrong.
        .post("/stand-in/fault", move |request| fault(faults.clone(), request))
        .any("/*", move |request| answer(requests.clone(), own.clone(), request));
    tokio::select! {
        served = async { viz::serve(listener, router).await } => served.map_err(viz::Error::boxed),
        () = heartbeats(address, &settings, state) => Ok(()),
    }
}

async fn heartbeats(address: SocketAddr, settings: &StandInSettings, state: Arc<StandInState>) {
    let pool = ConnectionPool::default();
    let mut head = fastrand::usize(..settings.control.len().max(1));
    loop {
        let next = tokio::time::Instant::now() + settings.heartbeat_every;
        if state.silent.load(Ordering::Relaxed) {
            tokio::time::sleep_until(next).await;
            continue;
        }
        let control = settings.control[head];
        let draining = state.draining.load(Ordering::Relaxed);
        let body = serde_json::json!({
            "backend": settings.backend, "address": address.to_string(), "zone": settings.zone, "version": "v1",
            "capacity": settings.capacity, "state": if draining { "draining" } else { "ready" },
            "cold_remaining_ms": 0, "phase": "prefill_decode", "models": state.models_json(),
            "sequence": state.heartbeats.fetch_add(1, Ordering::Relaxed) + 1,
        });
        let path = format!("/api/instances/{}/heartbeat", settings.instance);
        let request = hyper::Request::post(path)
            .header("host", control.to_string())
            .header("content-type", "application/json")
            .body(HeldBody::from(Bytes::from(body.to_string())));
        let answer = match request {
            Ok(request) => pool.call(control, request, CALL_TIMEOUT).await,
            Err(_) => None,
        };
        let taken = matches!(answer, Some((200, _)));
        let count = if taken { &settings.counts.acknowledged } else { &settings.counts.failed };
        count.fetch_add(1, Ordering::Relaxed);
        if !taken {
            // A core that does not answer is left for the next one.
            head = (head + 1) % settings.control.len();
        }
        tokio::time::sleep_until(next).await;
    }
}

fn json(status: StatusCode, body: &serde_json::Value) -> Response {
    let mut response = Response::new(Body::Full(Full::new(Bytes::from(body.to_string()))));
    *response.status_mut() = status;
    response
}

async fn report(state: Arc<StandInState>) -> Result<Response> {
    let models = state.models_json();
    let engine = state.engine();
    let body = serde_json::json!({
        "phase": "prefill_decode", "models": models, "busy": engine.is_busy(),
        "sequence": engine.sequence(), "queued": 0, "active": engine.active(), "kv_used": 0, "kv_total": 1000,
    });
    Ok(json(StatusCode::OK, &body))
}

async fn order(state: Arc<StandInState>, mut request: Request) -> Result<Response> {
    let body: serde_json::Value = request.json().await?;
    let status = match serde_json::from_value::<OrderBody>(body) {
        Ok(body) => state.engine().take_order(clock::now(), body),
        Err(_) => StatusCode::BAD_REQUEST,
    };
    Ok(json(status, &serde_json::json!({})))
}

async fn fault(state: Arc<StandInState>, mut request: Request) -> Result<Response> {
    let fault: EngineFault = request.json().await?;
    state.engine().set_fault(fault);
    Ok(json(StatusCode::OK, &serde_json::json!({})))
}

fn header(request: &Request, name: &str) -> Option<String> {
    request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

async fn answer(
    state: Arc<StandInState>,
    settings: Arc<StandInSettings>,
    mut request: Request,
) -> Result<Response> {
    let id = header(&request, "x-pathbank-request-id").unwrap_or_default();
    let target = header(&request, "x-pathbank-target-instance");
    let model = header(&request, "x-pathbank-model");
    let expected = header(&request, "expect-version").and_then(|version| version.parse().ok());
    let tenant = header(&request, "x-pathbank-tenant").unwrap_or_default();
    let last_event_id = header(&request, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let mut response = Response::new(Body::Empty);
    set(&mut response, "x-pathbank-request-id", &id);
    let begun = match target.is_some_and(|target| target != settings.instance) {
        true => Err(TurnedAway::Misdirected),
        false => state.engine().begin(model.as_deref().unwrap_or_default(), expected),
    };
    let run = match begun {
        Ok(run) => run,
        Err(why) => {
            *response.status_mut() = match why {
                TurnedAway::Misdirected => StatusCode::MISDIRECTED_REQUEST,
                TurnedAway::Busy => StatusCode::SERVICE_UNAVAILABLE,
            };
            set(&mut response, "x-pathbank-not-executed", "true");
            return Ok(response);
        }
    };
    let running = Running { state: state.clone(), run };
    let body = request.bytes().await?;
    state
        .runs
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(TimedRun { id: id.clone(), at: Instant::now() });
    set(&mut response, "x-pathbank-response-signature", &format!("stand-in.{}", settings.instance));
    set(&mut response, "x-pathbank-instance-load", "1,0,8");
    if let Some(version) = running.run.told {
        set(&mut response, "versions", &version.to_string());
    }
    *response.body_mut() = match model {
        Some(_) => stream(settings, running, id, last_event_id),
        None => {
            let mut text = format!("{tenant}:{}", String::from_utf8_lossy(&body)).into_bytes();
            text.resize(text.len() + settings.answer_padding, b'x');
            Body::Full(Full::new(Bytes::from(text)))
        }
    };
    Ok(response)
}

fn set(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// A request that runs; dropped, it has ended.
struct Running {
    state: Arc<StandInState>,
    run: Run,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.state.engine().end(&self.run);
    }
}

/// A series of events with rising ids, from the one after `last_event_id`. A model server that lies says so in
/// its last one.
fn stream(settings: Arc<StandInSettings>, running: Running, id: String, last_event_id: u32) -> Body {
    let first = last_event_id.saturating_add(1);
    let events = futures_util::stream::unfold((first, running), move |(number, running)| {
        let (settings, id) = (settings.clone(), id.clone());
        async move {
            if number > settings.stream_pieces {
                return None;
            }
            tokio::time::sleep(settings.stream_pause).await;
            let is_last = number == settings.stream_pieces;
            let run = &running.run;
            running.state.drawn.note(&id, &settings.instance, run.drawn_from, clock::wall_clock(), is_last);
            let admits = is_last && run.told.is_some_and(|told| told != run.drawn_from);
            let version = if admits { format!("versions:{}\n", run.drawn_from) } else { String::new() };
            let (before, after) = match settings.event_padding {
                0 => ("", "\n\n"),
                _ => (if number == first { "" } else { "\n\n" }, if is_last { "\n\n" } else { "" }),
            };
            let padding = "x".repeat(settings.event_padding);
            let event =
                Bytes::from(format!("{before}{version}id: {number}\ndata: piece {number}{padding}{after}"));
            Some((Ok::<_, std::io::Error>(event), (number + 1, running)))
        }
    });
    Body::from_stream(events)
}
