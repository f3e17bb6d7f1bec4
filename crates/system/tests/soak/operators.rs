//! An operator who changes the configuration without a pause, repeats what had no clear answer at another head, and reads.

use crate::common::{System, call};
use crate::findings::Findings;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const PAUSE: Duration = Duration::from_millis(15);
/// A change is taken within this, whatever happens: all disturbances are over sooner.
const TAKEN_WITHIN: Duration = Duration::from_secs(60);
const READ_EVERY: u64 = 5;

/// A change that was confirmed.
#[derive(Clone, Debug)]
pub struct Acknowledged {
    pub version: u64,
}

impl Acknowledged {
    pub fn name(&self) -> String {
        route_name(self.version)
    }

    pub fn path(&self) -> String {
        route_path(self.version)
    }
}

fn route_name(version: u64) -> String {
    format!("added-{version}")
}

fn route_path(version: u64) -> String {
    format!("/added/{version}/")
}

fn change(version: u64) -> String {
    let route = serde_json::json!({
        "name": route_name(version), "hostname": "shop.example", "path_prefix": route_path(version),
        "type": "non_idempotent", "timeout_ms": 5000, "target_latency_ms": 500, "priority": 0,
        "backend": "app", "max_attempts": 1 });
    serde_json::json!({ "version": version, "upsert": { "routes": [route] } }).to_string()
}

/// What was confirmed so far, for the clients.
pub type Confirmed = Arc<Mutex<Vec<Acknowledged>>>;

pub struct Operator {
    thread: JoinHandle<()>,
    confirmed: Confirmed,
}

impl Operator {
    pub fn start(
        system: &System,
        seed: u64,
        base: u64,
        findings: Arc<Findings>,
        stop: Arc<AtomicBool>,
    ) -> Operator {
        let confirmed: Confirmed = findings.confirmed();
        let work = Work {
            control: system.control.clone(),
            random: fastrand::Rng::with_seed(seed ^ 0x0be7),
            findings,
            confirmed: confirmed.clone(),
        };
        let thread = std::thread::spawn(move || work.run(base, &stop));
        Operator { thread, confirmed }
    }

    /// Waits for the last change. Returns all that were confirmed.
    pub fn join(self) -> Vec<Acknowledged> {
        self.thread.join().expect("the operator ends");
        self.confirmed.lock().unwrap().clone()
    }
}

struct Work {
    control: Vec<SocketAddr>,
    random: fastrand::Rng,
    findings: Arc<Findings>,
    confirmed: Confirmed,
}

impl Work {
    fn run(mut self, mut base: u64, stop: &AtomicBool) {
        let mut changes = 0;
        while !stop.load(Ordering::Relaxed) {
            let version = base + self.random.u64(1..4);
            if !self.make(base, version) {
                return;
            }
            base = version;
            self.confirmed.lock().unwrap().push(Acknowledged { version });
            changes += 1;
            if changes % READ_EVERY == 0 {
                self.read(version);
            }
            std::thread::sleep(PAUSE);
        }
    }

    fn any_head(&mut self) -> SocketAddr {
        self.control[self.random.usize(..self.control.len())]
    }

    /// Sends a change until it is confirmed. A refusal is a finding: nobody else changes anything.
    fn make(&mut self, base: u64, version: u64) -> bool {
        let (began, body) = (Instant::now(), change(version));
        let base = base.to_string();
        while began.elapsed() < TAKEN_WITHIN {
            let head = self.any_head();
            let headers = [("X-Pathbank-Base-Version", base.as_str())];
            let answer = call(head, "POST", "/api/config/update", &headers, &body);
            match answer.map(|answer| (answer.status, answer.body)) {
                Some((200, _)) => return true,
                Some((307 | 408 | 500 | 503, _)) | None => std::thread::sleep(PAUSE),
                Some((status, body)) => {
                    self.findings.find(format!("version {version} on {base}: {status} {body}"));
                    return false;
                }
            }
        }
        self.findings.find(format!("version {version} on {base}: not taken within {TAKEN_WITHIN:?}"));
        false
    }

    /// Any head hands out the newest configuration, or none.
    fn read(&mut self, newest: u64) {
        let head = self.any_head();
        let Some(answer) = call(head, "GET", "/api/config/read", &[], "") else { return };
        let document: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let version = document["version"].as_u64().unwrap_or(0);
        if answer.status == 200 && version < newest {
            self.findings.find(format!("{head} read version {version} after {newest} was confirmed"));
        }
    }
}
