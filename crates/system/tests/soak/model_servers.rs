//! Model servers that hold models as they are ordered to, behind links that lose what is sent to them for a while, again and
//! again. What was lost arrives later, for as long as the sender's kernel tries.

use crate::common::lossy_socket::{ReceivedRequest, lose_data, lose_nothing, read_request, write_answer};
use crate::common::{System, call};
use crate::findings::Findings;
use serde_json::{Value, json};
use socket2::{SockRef, Socket};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The service of these servers.
pub const BACKEND: &str = "bricks";
/// The size of each model and adapter, and of a server's memory: two models fit.
pub const MODEL_MB: f64 = 40.0;
pub const ADAPTER_MB: f64 = 1.0;
pub const SERVER_MB: f64 = 100.0;
/// So many adapters fit a server.
pub const MAX_ADAPTERS: usize = 3;
/// `lease_ms` of the settings: no holder acts again within this with another one in between.
const TURN: Duration = Duration::from_millis(3_000);
const SERVERS: usize = 4;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How long a link is sound, and then loses data, milliseconds.
const SOUND_MS: std::ops::Range<u64> = 300..2_500;
const LOSSY_MS: std::ops::Range<u64> = 100..2_400;

/// An order as it arrived.
#[derive(Clone, Debug)]
struct ArrivedOrder {
    at: Instant,
    token: u64,
    holder: String,
}

#[derive(Default)]
struct State {
    /// Models with their adapters.
    models: BTreeMap<String, BTreeSet<String>>,
    sequence: u64,
    orders: Vec<ArrivedOrder>,
    /// Until when the link loses data.
    lossy_until: Option<Instant>,
}

struct ModelServer {
    instance: String,
    address: SocketAddr,
    state: Mutex<State>,
    heartbeats: AtomicU64,
    findings: Arc<Findings>,
}

/// The servers of a system, until it is stopped.
pub struct ModelServers {
    servers: Vec<Arc<ModelServer>>,
}

impl ModelServers {
    pub fn start(
        system: &System,
        seed: u64,
        findings: &Arc<Findings>,
        stop: &Arc<AtomicBool>,
    ) -> ModelServers {
        let mut random = fastrand::Rng::with_seed(seed ^ 0x105e);
        let server = |number: usize| {
            let listener = TcpListener::bind(SocketAddr::new(system.ingress.ip(), 0)).expect("a port");
            let server = Arc::new(ModelServer {
                instance: format!("i-brick-{number}"),
                address: listener.local_addr().unwrap(),
                state: Mutex::default(),
                heartbeats: AtomicU64::new(1),
                findings: findings.clone(),
            });
            server.start(listener, &system.control, fastrand::Rng::with_seed(random.u64(..)), stop);
            server
        };
        ModelServers { servers: (0..SERVERS).map(server).collect() }
    }

    /// Orders arrive with rising tokens, and no holder takes turns with another one.
    pub fn check(&self, findings: &Findings) {
        for server in &self.servers {
            let orders = server.state.lock().unwrap().orders.clone();
            (0..orders.len()).for_each(|_| findings.count("orders"));
            for pair in orders.windows(2).filter(|pair| pair[1].token < pair[0].token) {
                findings.find(format!(
                    "{}: an order of {} with token {} came {:?} after one of {} with token {}",
                    server.instance,
                    pair[1].holder,
                    pair[1].token,
                    pair[1].at - pair[0].at,
                    pair[0].holder,
                    pair[0].token
                ));
            }
            check_turns(&server.instance, &orders, findings);
        }
    }
}

/// Finds holders that act, are followed by another one, and act again within [`TURN`].
fn check_turns(instance: &str, orders: &[ArrivedOrder], findings: &Findings) {
    let turns: Vec<&[ArrivedOrder]> = orders.chunk_by(|one, other| one.holder == other.holder).collect();
    for (number, turn) in turns.iter().enumerate().skip(2) {
        let (holder, at) = (&turn[0].holder, turn[0].at);
        let earlier = turns[..number - 1].iter().rev().find(|turn| turn[0].holder == *holder);
        if let Some(last) = earlier.and_then(|turn| turn.last()).filter(|last| at < last.at + TURN) {
            let after = at - last.at;
            findings.find(format!("{instance}: {holder} acts again {after:?} after its last order"));
        }
    }
}

impl State {
    /// Whether a model, or an adapter (not empty) of it, is resident.
    fn holds(&self, model: &str, adapter: &str) -> bool {
        self.models.get(model).is_some_and(|adapters| adapter.is_empty() || adapters.contains(adapter))
    }

    /// Loads or unloads a model or an adapter at once. Returns whether all fits.
    fn carry_out(&mut self, is_load: bool, model: String, adapter: String) -> bool {
        self.sequence += 1;
        match (is_load, adapter.is_empty()) {
            (true, _) => {
                let adapters = self.models.entry(model).or_default();
                adapters.extend((!adapter.is_empty()).then_some(adapter));
            }
            (false, true) => _ = self.models.remove(&model),
            (false, false) => {
                self.models.entry(model).and_modify(|adapters| _ = adapters.remove(&adapter));
            }
        }
        let adapters: usize = self.models.values().map(BTreeSet::len).sum();
        let used_mb = self.models.len() as f64 * MODEL_MB + adapters as f64 * ADAPTER_MB;
        used_mb <= SERVER_MB && adapters <= MAX_ADAPTERS
    }
}

impl ModelServer {
    fn start(
        self: &Arc<Self>,
        listener: TcpListener,
        control: &[SocketAddr],
        random: fastrand::Rng,
        stop: &Arc<AtomicBool>,
    ) {
        let listener = Socket::from(listener);
        let link = listener.try_clone().expect("a handle");
        let (server, stops) = (self.clone(), stop.clone());
        std::thread::spawn(move || server.lose(&link, random, &stops));
        let server = self.clone();
        std::thread::spawn(move || server.accept(&listener));
        for core in control.iter().copied() {
            let server = self.clone();
            // One that stands still keeps the heartbeats to the others waiting for nothing.
            std::thread::spawn(move || server.beat(core));
        }
    }

    /// Loses data that is sent on new connections, in drawn spans, until it is stopped.
    fn lose(&self, listener: &Socket, mut random: fastrand::Rng, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(random.u64(SOUND_MS)));
            let lasts = Duration::from_millis(random.u64(LOSSY_MS));
            self.findings.count("lossy spans");
            self.state.lock().unwrap().lossy_until = Some(Instant::now() + lasts);
            lose_data(&SockRef::from(listener));
            std::thread::sleep(lasts);
            lose_nothing(&SockRef::from(listener));
        }
    }

    fn accept(self: &Arc<Self>, listener: &Socket) {
        while let Ok((connection, _)) = listener.accept() {
            let server = self.clone();
            std::thread::spawn(move || server.serve(connection.into()));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let lossy_until = self.state.lock().unwrap().lossy_until;
        let left = lossy_until.map(|until| until.saturating_duration_since(Instant::now()));
        std::thread::sleep(left.unwrap_or_default());
        lose_nothing(&SockRef::from(&stream));
        while let Some(request) = read_request(&mut stream) {
            let stands = match request.path.as_str() {
                "/api/report" => write_answer(&mut stream, 200, &[], &self.report().to_string()),
                "/api/order" => write_answer(&mut stream, self.take_order(&request.body), &[], ""),
                _ => self.answer(&mut stream, &request),
            };
            if !stands {
                return;
            }
        }
    }

    fn models(&self) -> Vec<Value> {
        let state = self.state.lock().unwrap();
        let model = |(name, adapters)| json!({ "name": name, "version": 1, "adapters": adapters });
        state.models.iter().map(model).collect()
    }

    fn report(&self) -> Value {
        let sequence = self.state.lock().unwrap().sequence;
        json!({ "models": self.models(), "busy": false, "sequence": sequence })
    }

    /// Carries out an order at once.
    fn take_order(&self, body: &[u8]) -> u16 {
        let order: Value = serde_json::from_slice(body).expect("an order");
        let holder = order["lease_holder"].as_str().expect("a holder").to_owned();
        let token = order["fencing_token"].as_u64().expect("a token");
        let model = order["model"].as_str().expect("a model").to_owned();
        let adapter = order["adapter"].as_str().unwrap_or_default().to_owned();
        let is_load = order["operation"] == "model_load";
        let mut state = self.state.lock().unwrap();
        state.orders.push(ArrivedOrder { at: Instant::now(), token, holder });
        if order["if_revision"].as_u64().is_some_and(|revision| revision != state.sequence) {
            return 409;
        }
        if state.holds(&model, &adapter) == is_load {
            return 200;
        }
        if !adapter.is_empty() && !state.holds(&model, "") {
            return 400;
        }
        if !state.carry_out(is_load, model, adapter) {
            self.findings.find(format!("{}: {order} is beyond its memory", self.instance));
        }
        202
    }

    /// Answers a client's request for a model.
    fn answer(&self, stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
        let header = |name: &str| request.headers.get(name).map_or("", String::as_str);
        let is_mine = ["", &self.instance].contains(&header("x-pathbank-target-instance"));
        let name = header("x-pathbank-model");
        let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
        let holds = self.state.lock().unwrap().holds(model, adapter);
        let id = header("x-pathbank-request-id");
        if !is_mine || !holds {
            let headers = [("X-Pathbank-Request-Id", id), ("X-Pathbank-Not-Executed", "1")];
            return write_answer(stream, 421, &headers, "");
        }
        let headers = [("X-Pathbank-Request-Id", id), ("X-Pathbank-Response-Signature", "brick")];
        write_answer(stream, 200, &headers, &format!("{}:{id}", header("x-pathbank-tenant")))
    }

    fn beat(&self, core: SocketAddr) {
        let path = format!("/api/instances/{}/heartbeat", self.instance);
        loop {
            let models = self.models();
            let sequence = self.heartbeats.fetch_add(1, Ordering::AcqRel);
            let body = json!({ "backend": BACKEND, "address": self.address.to_string(), "zone": "z1", "version": "1",
                               "capacity": 8, "state": "ready", "models": models, "sequence": sequence });
            call(core, "POST", &path, &[], &body.to_string());
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    }
}
