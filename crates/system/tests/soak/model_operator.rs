//! An operator who retires models and adds others, takes the last tenant away and gives it back, and sends updates that
//! change nothing.

use crate::common::{System, call, document};
use crate::findings::Findings;
use crate::key_log::{KeyLog, KeyState};
use crate::model_servers::{ADAPTER_MB, BACKEND, MAX_ADAPTERS, MODEL_MB, SERVER_MB};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The models that may be configured.
pub const MODELS: [&str; 6] = ["x1", "x2", "x3", "x4", "x5", "x6"];
/// So many of them are at a time: two servers would hold them.
const CONFIGURED: usize = 3;
/// More adapters of each model than servers hold.
pub const ADAPTERS: usize = 8;
const PAUSE_MS: std::ops::Range<u64> = 100..1_500;
/// The key is taken away with one in so many changes, and given back with one in so many.
const TAKEN_AWAY_ONE_IN: u8 = 10;
const GIVEN_BACK_ONE_IN: u8 = 6;
/// One in so many changes names no item.
const EMPTY_ONE_IN: u8 = 8;
const RETRY_AFTER: Duration = Duration::from_millis(20);
/// A change is taken within this, whatever happens: all disturbances are over sooner.
const TAKEN_WITHIN: Duration = Duration::from_secs(60);

fn backend(models: &[&str]) -> Value {
    let model = |name: &&str| json!({ "name": name, "weights_mb": MODEL_MB, "load_s": 0.05, "adapters": ADAPTERS, "adapter_mb": ADAPTER_MB });
    let models: Vec<Value> = models.iter().map(model).collect();
    json!({ "name": BACKEND, "runtime": { "capacity": 8, "kv_capacity": 1000, "weights_mb": SERVER_MB,
            "max_adapters": MAX_ADAPTERS, "loads_per_s": 50.0, "models": models } })
}

fn tenant() -> Value {
    json!({ "name": "tenant-1", "api_keys": ["key-1"] })
}

/// The first configuration, with the models' route.
pub fn first_document(version: u64) -> String {
    let mut configuration: Value = serde_json::from_str(&document(version)).unwrap();
    let route = json!({ "name": "r-models", "hostname": "shop.example", "path_prefix": "/models/", "type": "idempotent",
                        "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 0, "backend": BACKEND,
                        "max_attempts": 2 });
    configuration["routes"].as_array_mut().unwrap().push(route);
    configuration["backends"].as_array_mut().unwrap().push(backend(&MODELS[..CONFIGURED]));
    configuration.to_string()
}

pub struct ModelOperator {
    thread: JoinHandle<Vec<&'static str>>,
}

impl ModelOperator {
    pub fn start(
        system: &System,
        seed: u64,
        base: u64,
        findings: &Arc<Findings>,
        keys: &Arc<KeyLog>,
        stop: &Arc<AtomicBool>,
    ) -> ModelOperator {
        let work = Work {
            control: system.control.clone(),
            random: fastrand::Rng::with_seed(seed ^ 0x0b7e),
            findings: findings.clone(),
            keys: keys.clone(),
            key: KeyState::Held,
            configured: MODELS[..CONFIGURED].to_vec(),
            base,
        };
        let stop = stop.clone();
        ModelOperator { thread: std::thread::spawn(move || work.run(&stop)) }
    }

    /// Waits for the last change, after which the key is held. Returns the models that the configuration names.
    pub fn join(self) -> Vec<&'static str> {
        self.thread.join().expect("the operator ends")
    }
}

struct Work {
    control: Vec<SocketAddr>,
    random: fastrand::Rng,
    findings: Arc<Findings>,
    keys: Arc<KeyLog>,
    key: KeyState,
    configured: Vec<&'static str>,
    base: u64,
}

impl Work {
    fn run(mut self, stop: &AtomicBool) -> Vec<&'static str> {
        while !stop.load(Ordering::Relaxed) {
            let key_one_in = match self.key {
                KeyState::Held => TAKEN_AWAY_ONE_IN,
                KeyState::TakenAway => GIVEN_BACK_ONE_IN,
            };
            if self.random.u8(..key_one_in) == 0 {
                self.change_key();
            } else if self.random.u8(..EMPTY_ONE_IN) == 0 {
                self.make(
                    json!({ "upsert": { "tenants": [], "routes": [] }, "delete": { "tenants": ["none"] } }),
                );
            } else {
                self.change_models();
            }
            std::thread::sleep(Duration::from_millis(self.random.u64(PAUSE_MS)));
        }
        if self.key == KeyState::TakenAway {
            self.change_key();
        }
        self.configured
    }

    fn change_models(&mut self) {
        let mut models = MODELS.to_vec();
        self.random.shuffle(&mut models);
        models.truncate(self.random.usize(1..=CONFIGURED));
        self.findings.count("changes of models");
        self.make(json!({ "upsert": { "backends": [backend(&models)] } }));
        self.configured = models;
    }

    fn change_key(&mut self) {
        let (state, change) = match self.key {
            KeyState::Held => (KeyState::TakenAway, json!({ "delete": { "tenants": ["tenant-1"] } })),
            KeyState::TakenAway => (KeyState::Held, json!({ "upsert": { "tenants": [tenant()] } })),
        };
        self.findings.count("changes of the key");
        self.keys.sends(state);
        self.make(change);
        self.keys.confirmed();
        self.key = state;
    }

    /// Sends a change until it is confirmed.
    fn make(&mut self, mut change: Value) {
        let version = self.base + self.random.u64(1..4);
        change["version"] = version.into();
        let (began, base, body) = (Instant::now(), self.base.to_string(), change.to_string());
        while began.elapsed() < TAKEN_WITHIN {
            let core = self.control[self.random.usize(..self.control.len())];
            let headers = [("X-Pathbank-Base-Version", base.as_str())];
            match call(core, "POST", "/api/config/update", &headers, &body).map(|answer| answer.status) {
                Some(200) => {
                    self.base = version;
                    return;
                }
                Some(307 | 408 | 500 | 503) | None => std::thread::sleep(RETRY_AFTER),
                Some(status) => return self.findings.find(format!("{body} on {base}: {status}")),
            }
        }
        self.findings.find(format!("{body} on {base}: not taken within {TAKEN_WITHIN:?}"));
    }
}
