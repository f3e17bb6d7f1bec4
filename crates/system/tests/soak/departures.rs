//! Model servers that come and go: each deregisters at any core, without having announced its end, and serves on.

use crate::common::{System, call};
use crate::findings::Findings;
use pathbank_system::stand_in::StandInState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long a server takes part, milliseconds.
const SERVES_MS: std::ops::Range<u64> = 300..3_000;
/// Between the starts of two servers, milliseconds.
const GAP_MS: std::ops::Range<u64> = 300..1_500;
const CALL_AGAIN_AFTER: Duration = Duration::from_millis(50);
/// A deregistration is acknowledged within this, whatever happens: all disturbances are over sooner.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(60);

/// A model server that has deregistered.
pub struct Departed {
    instance: String,
    state: Arc<StandInState>,
    acknowledged: Instant,
}

/// Has model servers come and go until it is stopped.
pub struct Departures {
    thread: JoinHandle<Vec<Departed>>,
}

impl Departures {
    pub fn start(system: &System, seed: u64, findings: Arc<Findings>, stop: Arc<AtomicBool>) -> Departures {
        let control = system.control.clone();
        let mut random = fastrand::Rng::with_seed(seed ^ 0xde9a);
        let start_server = system.server_starter();
        let thread = std::thread::spawn(move || {
            let mut leaving = Vec::new();
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let instance = format!("i-departing-{number}");
                let state = start_server(&instance);
                let server = Departing {
                    instance,
                    state,
                    control: control.clone(),
                    random: fastrand::Rng::with_seed(random.u64(..)),
                    findings: findings.clone(),
                };
                leaving.push(std::thread::spawn(move || server.run()));
                std::thread::sleep(Duration::from_millis(random.u64(GAP_MS)));
            }
            leaving.into_iter().filter_map(|server| server.join().expect("a server leaves")).collect()
        });
        Departures { thread }
    }

    /// Waits for the last one. Returns all that have deregistered.
    pub fn join(self) -> Vec<Departed> {
        self.thread.join().expect("the departures end")
    }
}

struct Departing {
    instance: String,
    state: Arc<StandInState>,
    control: Vec<SocketAddr>,
    random: fastrand::Rng,
    findings: Arc<Findings>,
}

impl Departing {
    /// Serves, then deregisters at one core after the other until one acknowledges it.
    fn run(mut self) -> Option<Departed> {
        std::thread::sleep(Duration::from_millis(self.random.u64(SERVES_MS)));
        self.state.silent.store(true, Ordering::Relaxed);
        let (began, path) = (Instant::now(), format!("/api/instances/{}/deregister", self.instance));
        while began.elapsed() < ACKNOWLEDGED_WITHIN {
            let core = self.control[self.random.usize(..self.control.len())];
            if call(core, "POST", &path, &[], "").is_some_and(|answer| answer.status == 200) {
                self.findings.count("departures");
                let acknowledged = Instant::now();
                return Some(Departed { instance: self.instance, state: self.state, acknowledged });
            }
            std::thread::sleep(CALL_AGAIN_AFTER);
        }
        self.findings.find(format!("{} was not acknowledged within {ACKNOWLEDGED_WITHIN:?}", self.instance));
        None
    }
}

/// Processes in touch send no request to a server later than `DRAIN` after its acknowledged deregistration.
pub fn check(departed: &[Departed], findings: &Findings) {
    for server in departed {
        for run in server.state.timed_runs() {
            let after = run.at.saturating_duration_since(server.acknowledged);
            if after <= DRAIN {
                continue;
            }
            findings.count("late out of touch or in it");
            if let Some(request) = findings.contact().sent_in_touch(&run.id, run.at) {
                findings.find(format!(
                    "{} through edge {} reached {} {after:?} after its acknowledged deregistration",
                    run.id, request.edge, server.instance
                ));
            }
        }
    }
}

/// The ids of the requests that each server ran.
pub fn runs(departed: &[Departed]) -> impl Iterator<Item = Vec<String>> {
    departed.iter().map(|server| server.state.runs())
}
