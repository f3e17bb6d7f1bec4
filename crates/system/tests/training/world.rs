//! A system with stand-in model servers that share a weight store, a trainer, and an audit of what engines
//! drew.

use crate::common::{System, call, document, start_server, until};
use pathbank_rollout::audit::{Audit, EngineRecord, TrainerRecord, audit};
use pathbank_system::local::LocalEdge;
use pathbank_system::stand_in::store::WeightStore;
use pathbank_system::stand_in::{StandInSettings, StandInState, drawn};
use pathbank_system::trainer::{SealedStep, StepPlan, Trainer};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(60);

/// A stand-in model server that can be ended.
pub struct ModelServer {
    pub address: SocketAddr,
    pub state: Arc<StandInState>,
    /// All that it does ends with this.
    runtime: Mutex<Option<tokio::runtime::Runtime>>,
}

impl ModelServer {
    /// It is gone, with all that it ran.
    pub fn stop(&self) {
        if let Some(runtime) = self.runtime.lock().unwrap().take() {
            runtime.shutdown_background();
        }
    }
}

/// What model servers take their time for.
#[derive(Clone, Copy)]
pub struct Pace {
    pub stream_pieces: u32,
    pub stream_pause_ms: u64,
    pub load_ms: u64,
}

const BRISK: Pace = Pace { stream_pieces: 5, stream_pause_ms: 20, load_ms: 50 };
/// Streams go on for two seconds.
pub const LONG_STREAMS: Pace = Pace { stream_pieces: 20, stream_pause_ms: 100, ..BRISK };

pub struct World {
    pub system: System,
    pub store: Arc<WeightStore>,
    pub servers: Vec<ModelServer>,
    pub trainer: Trainer,
    pace: Pace,
    /// Models that model servers hold when they start.
    models: &'static [&'static str],
    told: Vec<TrainerRecord>,
    /// What model servers drew that are gone.
    drawn_before: Vec<EngineRecord>,
}

impl World {
    pub fn given(servers: usize) -> World {
        World::new(servers, 1, BRISK, &["m1"])
    }

    pub fn with_pace(servers: usize, pace: Pace) -> World {
        World::new(servers, 1, pace, &["m1"])
    }

    pub fn with_edges(servers: usize, edges: u8) -> World {
        World::new(servers, edges, BRISK, &["m1"])
    }

    pub fn with_models(servers: usize, models: &'static [&'static str]) -> World {
        World::new(servers, 1, BRISK, models)
    }

    pub fn new(servers: usize, edges: u8, pace: Pace, models: &'static [&'static str]) -> World {
        let mut system = System::with_edges(edges);
        system.local.start().expect("the program starts");
        let trainer = Trainer::new(system.control.clone(), PATIENCE);
        let store = Arc::default();
        let (told, drawn_before) = (Vec::new(), Vec::new());
        let mut world =
            World { system, store, servers: Vec::new(), trainer, pace, models, told, drawn_before };
        for number in 0..servers {
            let address = world.system.local.server_address(number as u8).expect("a port");
            let server = world.start_server(&format!("w{number}"), address);
            world.servers.push(server);
        }
        world.system.configure(0, &document(3));
        world.system.until_ready();
        until("all model servers are known", || {
            world.system.status(0).is_some_and(|status| status["bricks"] == servers)
        });
        world
    }

    pub fn start_server(&self, instance: &str, address: SocketAddr) -> ModelServer {
        let settings = StandInSettings {
            store: self.store.clone(),
            load_ms: self.pace.load_ms,
            stream_pieces: self.pace.stream_pieces,
            stream_pause: Duration::from_millis(self.pace.stream_pause_ms),
            ..StandInSettings::new(instance, "llm", "z1", self.models, &self.system.control)
        };
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let state = start_server(runtime.handle(), settings, address);
        ModelServer { address, state, runtime: Mutex::new(Some(runtime)) }
    }

    /// A model server is killed, and another incarnation of it starts at its address with the newest weights.
    pub fn restart_server(&mut self, number: usize, instance: &str) {
        let address = self.servers[number].address;
        self.kill_server(number);
        self.servers.insert(number, self.start_server(instance, address));
    }

    /// Returns the address that is free now.
    pub fn kill_server(&mut self, number: usize) -> SocketAddr {
        let server = self.servers.remove(number);
        server.stop();
        self.drawn_before.extend(drawn::generations(&server.state.drawn.lines()));
        server.address
    }

    /// The model server that began a request last.
    pub fn running(&self, id: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.state.runs().iter().any(|run| run == id))
    }

    pub fn plan(key: &str, prompts: u64) -> StepPlan {
        StepPlan { key: key.into(), model: "m1".into(), floor: 2, prompts, generation_ms: 1_000 }
    }

    pub fn play(&mut self, key: &str, prompts: u64) -> SealedStep {
        let sealed = self.trainer.play(&World::plan(key, prompts)).expect("the step is sealed");
        self.note(&sealed);
        sealed
    }

    /// Waits for the end of a step that was opened before, as its trainer would.
    pub fn finish(&mut self, step: u64) -> Value {
        self.trainer.until(step, &["open", "sealing", "sealed"]).expect("it is opened");
        self.trainer.until_drawn(step).expect("it is drawn");
        self.trainer.seal(step, false).expect("it may be sealed");
        let told = self.trainer.until(step, &["sealed"]).expect("it is sealed");
        let version = told["version"].as_u64().expect("a version");
        let results = self.trainer.results(step).expect("results");
        self.told.push(TrainerRecord { step, version, results });
        told
    }

    fn note(&mut self, sealed: &SealedStep) {
        let SealedStep { step, version, results, .. } = sealed;
        self.told.push(TrainerRecord { step: *step, version: *version, results: results.clone() });
    }

    /// A request of the model at every edge, each on a thread that brings its status.
    pub fn ask_every_edge(&self, round: &str) -> Vec<JoinHandle<u16>> {
        let ask = |(number, edge): (usize, &LocalEdge)| {
            let (ingress, id) = (edge.ingress, format!("shop-{round}-{number}"));
            std::thread::spawn(move || {
                let headers = [
                    ("Host", "shop.example"),
                    ("X-Pathbank-Request-Id", id.as_str()),
                    ("X-Pathbank-Deadline-Ms", "5000"),
                    ("X-Pathbank-Credential", "key-1"),
                    ("X-Pathbank-Model", "m1"),
                    ("X-Pathbank-Token-Count", "10,10"),
                ];
                call(ingress, "POST", "/llm/x", &headers, "hello").map_or(0, |answer| answer.status)
            })
        };
        self.system.local.edges.iter().enumerate().map(ask).collect()
    }

    pub fn explain(&self, step: u64) -> Value {
        let path = format!("/api/v1/steps/{step}/explain");
        let answer = self.trainer.call("GET", &path, "").expect("an answer");
        serde_json::from_str(&answer.body).expect("JSON")
    }

    pub fn reasons(&self, step: u64) -> Vec<(String, String)> {
        let told = self.trainer.read(step).expect("the step");
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let left = told["left"].as_array().cloned().unwrap_or_default();
        left.iter().map(|left| (text(&left["worker"]), text(&left["reason"]))).collect()
    }

    /// Sends a call to the leader. Returns the status and the numbered result.
    pub fn ask(&self, method: &str, path: &str, body: &str) -> (u16, u64) {
        let leader = self.system.leader().expect("a leader");
        let answer = call(self.system.control[leader], method, path, &[], body).expect("an answer");
        let told: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        (answer.status, told["result_code"].as_u64().unwrap_or(0))
    }

    fn drawn(&self) -> Vec<EngineRecord> {
        let now = self.servers.iter().flat_map(|server| drawn::generations(&server.state.drawn.lines()));
        self.drawn_before.iter().cloned().chain(now).collect()
    }

    /// Generations that a model server began for a step.
    pub fn drawn_by(&self, worker: &str, step: u64) -> usize {
        self.drawn().iter().filter(|drawn| drawn.worker == worker && drawn.step == step).count()
    }

    /// All versions that were drawn from for a step, also where it does not count.
    pub fn versions_drawn(&self, step: u64) -> BTreeSet<u64> {
        let of_step = self.drawn().into_iter().filter(|drawn| drawn.step == step);
        of_step.flat_map(|drawn| drawn.versions).collect()
    }

    /// What engines drew, what the trainer was told, and what is read back now.
    pub fn audit(&self) -> Audit {
        let read_back: Vec<TrainerRecord> = self
            .told
            .iter()
            .map(|told| TrainerRecord { results: self.trainer.results(told.step).unwrap(), ..told.clone() })
            .collect();
        audit(&self.drawn(), &self.told, &read_back)
    }

    pub fn sound(&self, steps: usize) {
        let audit = self.audit();
        assert_eq!(audit.problems, Vec::<String>::new());
        assert_eq!((audit.sealed, audit.mixed, audit.overlapping), (steps, 0, 0));
    }
}
