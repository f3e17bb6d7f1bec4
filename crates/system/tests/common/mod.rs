//! The real programs on loopback addresses, with stand-in model servers in this process.

#![allow(dead_code)]

pub mod listener;
pub mod lossy_socket;
pub mod slow_edge;

use pathbank_protocol::message::{ModelServer, ModelServerState};
use pathbank_system::local::{LocalPlan, LocalSystem};
use pathbank_system::stand_in::drawn::DrawnLog;
use pathbank_system::stand_in::{self, StandInSettings, StandInState};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Whatever is waited for comes within this, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);
const LOOK_EVERY: Duration = Duration::from_millis(20);
const READ_WITHIN: Duration = Duration::from_secs(10);

/// Waits until something holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        std::thread::sleep(LOOK_EVERY);
    }
}

pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// One request on a connection of its own. `None`: no whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(READ_WITHIN)).ok()?;
    let host = if headers.iter().any(|(name, _)| *name == "Host") { "" } else { "Host: any\r\n" };
    let named: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\n{host}{named}Connection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, head: head.to_ascii_lowercase(), body: body.to_owned() })
}

/// A kept connection for calls one after the other. One that has ended is opened anew.
pub struct KeptCall {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl KeptCall {
    pub fn open(address: SocketAddr) -> KeptCall {
        KeptCall { address, stream: None }
    }

    pub fn call(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1)).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(READ_WITHIN)).ok()?;
                stream
            }
        };
        let named: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let host = if headers.iter().any(|(name, _)| *name == "Host") { "" } else { "Host: any\r\n" };
        let length = body.len();
        let request =
            format!("{method} {path} HTTP/1.1\r\n{host}{named}Content-Length: {length}\r\n\r\n{body}");
        stream.write_all(request.as_bytes()).ok()?;
        let answer = read_answer(&mut stream)?;
        self.stream = Some(stream);
        Some(answer)
    }
}

/// One answer with a length.
fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_ascii_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            let length: usize = length?.trim().parse().ok()?;
            if body.len() >= length {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                return Some(Answer { status, head, body: body.to_owned() });
            }
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
    }
}

/// Cores, three where nothing else is said, and edges.
pub struct System {
    pub local: LocalSystem,
    pub control: Vec<SocketAddr>,
    pub ingress: SocketAddr,
    pub readiness: SocketAddr,
    pub runtime: tokio::runtime::Runtime,
}

impl System {
    pub fn new() -> System {
        System::with_edges(1)
    }

    pub fn with_edges(edges: u8) -> System {
        System::with(3, edges)
    }

    pub fn with(cores: u8, edges: u8) -> System {
        System::with_logs(cores, edges, false)
    }

    pub fn with_logs(cores: u8, edges: u8, logs: bool) -> System {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_pathbank-system"));
        let plan = LocalPlan { program, cores, edges, zones: 1, quiet: !logs };
        let local = LocalSystem::new(&plan).expect("settings are written");
        let (control, ingress) = (local.control.clone(), local.edges[0].ingress);
        let readiness = local.edges[0].readiness;
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        System { local, control, ingress, readiness, runtime }
    }

    pub fn started() -> System {
        let mut system = System::new();
        system.local.start().expect("the program starts");
        system
    }

    pub fn data(&self, core: usize) -> PathBuf {
        self.local.data(core)
    }

    pub fn server(&self, instance: &str, backend: &str, models: &[&str]) -> Arc<StandInState> {
        let settings = StandInSettings::new(instance, backend, "z1", models, &self.control);
        start_server(self.runtime.handle(), settings, SocketAddr::new(self.ingress.ip(), 0))
    }

    /// Starts plain model servers of the backend `app` from another thread.
    pub fn server_starter(&self) -> impl Fn(&str) -> Arc<StandInState> + Send + use<> {
        let (runtime, control) = (self.runtime.handle().clone(), self.control.clone());
        let address = SocketAddr::new(self.ingress.ip(), 0);
        move |instance| {
            start_server(&runtime, StandInSettings::new(instance, "app", "z1", &[], &control), address)
        }
    }

    /// Sends a change to one head after the other until it is taken.
    pub fn configure(&self, base: u64, body: &str) {
        until("the configuration is taken", || self.change(base, body) == Some(200));
    }

    pub fn change(&self, base: u64, body: &str) -> Option<u16> {
        let base = base.to_string();
        let answers = self.control.iter().filter_map(|address| {
            call(*address, "POST", "/api/config/replace", &[("X-Pathbank-Base-Version", &base)], body)
        });
        answers.map(|answer| answer.status).find(|status| ![307, 500, 503].contains(status))
    }

    /// The newest configuration as the leader has it.
    pub fn read_configuration(&self) -> Option<serde_json::Value> {
        let answers =
            self.control.iter().filter_map(|address| call(*address, "GET", "/api/config/read", &[], ""));
        let answer = answers.into_iter().find(|answer| answer.status == 200)?;
        serde_json::from_str(&answer.body).ok()
    }

    pub fn status(&self, core: usize) -> Option<serde_json::Value> {
        let answer = call(self.control[core], "GET", "/api/status", &[], "")?;
        serde_json::from_str(&answer.body).ok()
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.control.len())
            .find(|core| self.status(*core).is_some_and(|status| status["role"] == "Leader"))
    }

    pub fn until_ready(&self) {
        until("the edge is ready", || {
            call(self.readiness, "GET", "/api/readyz", &[], "").is_some_and(|answer| answer.status == 200)
        });
    }

    pub fn ask(&self, path: &str, id: &str, key: &str, more: &[(&str, &str)], body: &str) -> Option<Answer> {
        let mut headers = vec![
            ("Host", "shop.example"),
            ("X-Pathbank-Request-Id", id),
            ("X-Pathbank-Deadline-Ms", "5000"),
            ("X-Pathbank-Credential", key),
        ];
        headers.extend_from_slice(more);
        call(self.ingress, "POST", path, &headers, body)
    }

    /// Asks until an answer is 200.
    pub fn ask_until_served(&self, path: &str, id: &str, more: &[(&str, &str)]) -> Answer {
        let mut served = None;
        until("a request is served", || {
            served = self.ask(path, id, "key-1", more, "hello").filter(|answer| answer.status == 200);
            served.is_some()
        });
        served.unwrap()
    }
}

/// A model server that lives as long as the runtime.
pub fn start_server(
    runtime: &tokio::runtime::Handle,
    settings: StandInSettings,
    address: SocketAddr,
) -> Arc<StandInState> {
    let state = StandInState::new(&settings, DrawnLog::default());
    let server_state = state.clone();
    runtime.spawn(async move {
        let listener = loop {
            // The model server that was here before may still be ending.
            match tokio::net::TcpListener::bind(address).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(LOOK_EVERY).await,
            }
        };
        let _ = stand_in::run(listener, settings, server_state).await;
    });
    state
}

/// The heartbeat of a ready model server of the backend `app`.
pub fn heartbeat(instance: &str, address: &str, sequence: u64) -> ModelServer {
    ModelServer {
        instance: instance.to_owned(),
        backend: "app".into(),
        address: address.to_owned(),
        zone: "z1".into(),
        version: "1".into(),
        capacity: 4,
        state: ModelServerState::Ready,
        cold_remaining_ms: 0,
        remaining_ms: 0,
        models: Vec::new(),
        sequence,
        busy: false,
    }
}

/// A configuration with a plain service `app` under /app/ and models under /llm/.
pub fn document(version: u64) -> String {
    serde_json::json!({
        "version": version,
        "routes": [
            { "name": "r1", "hostname": "shop.example", "path_prefix": "/app/", "type": "non_idempotent",
              "timeout_ms": 5000, "target_latency_ms": 500, "priority": 0, "backend": "app", "max_attempts": 1 },
            { "name": "r2", "hostname": "shop.example", "path_prefix": "/llm/", "type": "streaming",
              "timeout_ms": 8000, "target_latency_ms": 4000, "priority": 0, "backend": "llm", "max_attempts": 2,
              "resumable": true, "session_affinity": true },
            { "name": "r3", "hostname": "shop.example", "path_prefix": "/sealed/", "type": "streaming",
              "timeout_ms": 8000, "target_latency_ms": 4000, "priority": 0, "backend": "llm", "max_attempts": 2,
              "resumable": true, "session_affinity": true, "model_version": "sealed" },
        ],
        "backends": [
            { "name": "app" },
            { "name": "llm", "runtime": { "capacity": 8, "kv_capacity": 1000, "weights_mb": 100.0, "max_adapters": 2,
              "loads_per_s": 20.0, "models": [
                { "name": "m1", "weights_mb": 40.0, "load_s": 0.05, "adapters": 2, "adapter_mb": 1.0 },
                { "name": "m2", "weights_mb": 40.0, "load_s": 0.05, "adapters": 0, "adapter_mb": 1.0 }] } },
        ],
        "limits": { "max_body_bytes": 1000 },
        "tenants": [{ "name": "tenant-1", "api_keys": ["key-1"] }],
    })
    .to_string()
}

/// The same configuration with so many routes more, each with a note of so many bytes for operators.
pub fn document_with_routes(version: u64, count: usize, note_bytes: usize) -> String {
    let mut document: serde_json::Value = serde_json::from_str(&document(version)).unwrap();
    let routes = document["routes"].as_array_mut().unwrap();
    let template = routes[0].clone();
    for number in 0..count {
        let mut route = template.clone();
        route["name"] = format!("more-{number}").into();
        route["path_prefix"] = format!("/more/{number}/").into();
        route["note"] = "x".repeat(note_bytes).into();
        routes.push(route);
    }
    document.to_string()
}
