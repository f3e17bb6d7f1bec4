//! Crowds of all kinds, drawn from a seed, while processes get signals, end and start again, and operators change the
//! configuration. Ordinary clients keep their connections until the process at the other end is gone.

use crate::case::{MAX_BODY_BYTES, MEMORY_MB, configuration, set_limits};
use crate::common::{Answer, KeptCall, System, call, until};
use crate::crowd::{Crowd, Reads, Script};
use crate::meter::{MIB, Meter};
use pathbank_system::local::Process;
use pathbank_system::stand_in::StandInState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CORES: u8 = 3;
const ORDINARY_CLIENTS: usize = 4;
/// How long a seed is played.
const LASTS: Duration = Duration::from_secs(16);
/// A process that got SIGTERM ends within this, also on a busy machine.
const ENDS_WITHIN: Duration = Duration::from_secs(40);
/// A signal comes no sooner than this after a start: before, the program may not be loaded.
const LOADED_AFTER: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(25);
/// Together, these hold more than one process may.
const CROWD_BODIES: usize = 2 * MEMORY_MB as usize * MIB as usize / MAX_BODY_BYTES;
const CROWD_HEADS: usize = 300;
const CROWD_OPERATORS: usize = 8;

/// What was found wrong.
#[derive(Clone, Default)]
struct Findings(Arc<Mutex<Vec<String>>>);

impl Findings {
    fn find(&self, what: String) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(what);
    }

    fn all(&self) -> Vec<String> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// A process that is measured for as long as it lives.
struct Watched {
    meter: Option<Meter>,
    started: Instant,
    peak_mib: u64,
}

impl Watched {
    fn new(process: &Process) -> Watched {
        Watched { meter: process.id().map(Meter::start), started: Instant::now(), peak_mib: 0 }
    }

    /// The process ends, or the play is over.
    fn check(&mut self, name: &str, findings: &Findings) {
        let Some(meter) = self.meter.take() else { return };
        let memory_mib = meter.finish().memory_bytes / MIB;
        self.peak_mib = self.peak_mib.max(memory_mib);
        if memory_mib >= MEMORY_MB {
            findings.find(format!("{name} held {memory_mib} MiB, over limits.memory_mb={MEMORY_MB}"));
        }
    }

    fn restarted(&mut self, process: &Process) {
        self.meter = process.id().map(Meter::start);
        self.started = Instant::now();
    }
}

/// A request that got a promise that it has not run and will not.
type Promised = Arc<Mutex<BTreeSet<String>>>;

/// Clients that keep a connection until the process is gone.
fn ordinary_clients(
    system: &System,
    seed: u64,
    stop: &Arc<AtomicBool>,
    promised: &Promised,
) -> Vec<JoinHandle<u64>> {
    let edges: Vec<SocketAddr> = system.local.edges.iter().map(|edge| edge.ingress).collect();
    let clients = (0..ORDINARY_CLIENTS).map(|client| {
        let (edge, stop, promised) = (edges[client % edges.len()], stop.clone(), promised.clone());
        std::thread::spawn(move || {
            let mut kept = KeptCall::open(edge);
            let mut served = 0;
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("ordinary-{seed}-{client}-{number}");
                match ask(&mut kept, &id) {
                    Some(answer) if answer.status == 200 => served += 1,
                    Some(answer) if [408, 429, 503].contains(&answer.status) => {
                        promised.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
                    }
                    _ => {}
                }
                std::thread::sleep(PAUSE);
            }
            served
        })
    });
    clients.collect()
}

fn ask(kept: &mut KeptCall, id: &str) -> Option<Answer> {
    let headers = [
        ("Host", "shop.example"),
        ("X-Pathbank-Request-Id", id),
        ("X-Pathbank-Deadline-Ms", "5000"),
        ("X-Pathbank-Credential", "key-1"),
    ];
    kept.call("POST", "/app/x", &headers, "hello")
}

/// Crowds that come one after the other, some of them at once.
fn draw_crowd(random: &mut fastrand::Rng, system: &System) -> Crowd {
    let edge = &system.local.edges[random.usize(..system.local.edges.len())];
    let core = random.usize(..system.control.len());
    let (ingress, readiness) = (edge.ingress, edge.readiness);
    let (control, internal) = (system.control[core], system.local.internal[core]);
    let scripts =
        |count: usize, script: &dyn Fn() -> Script| (0..count).map(|_| script()).collect::<Vec<_>>();
    let short = MAX_BODY_BYTES - 16;
    let operator_bytes = 16 * MIB as usize;
    match random.u8(..10) {
        0 => Crowd::start(
            ingress,
            scripts(CROWD_BODIES, &|| Script::with_length("/app/x", MAX_BODY_BYTES, short)),
            Reads::Everything,
        ),
        1 => Crowd::start(
            ingress,
            scripts(CROWD_BODIES, &|| Script::with_length("/app/x", MAX_BODY_BYTES, MAX_BODY_BYTES)),
            Reads::Everything,
        ),
        2 => Crowd::start(
            ingress,
            scripts(CROWD_BODIES, &|| Script::chunked("/app/x", 32 * 1_024, short)),
            Reads::Everything,
        ),
        3 => Crowd::start(
            ingress,
            scripts(CROWD_BODIES, &|| Script::chunked("/app/x", 1, 48 * 1_024)),
            Reads::Everything,
        ),
        4 => Crowd::start(
            ingress,
            scripts(CROWD_BODIES, &|| Script::with_length("/app/x", 8 * MAX_BODY_BYTES, 8 * MAX_BODY_BYTES)),
            Reads::Everything,
        ),
        5 => {
            Crowd::start(ingress, scripts(CROWD_HEADS, &|| Script::endless_head(60 * 1_024)), Reads::Nothing)
        }
        6 => Crowd::start(
            ingress,
            scripts(CROWD_BODIES, &|| Script::with_length("/again/x", MAX_BODY_BYTES, MAX_BODY_BYTES)),
            Reads::Nothing,
        ),
        7 => Crowd::start(
            readiness,
            scripts(CROWD_HEADS, &|| Script::endless_head(60 * 1_024)),
            Reads::Nothing,
        ),
        8 => Crowd::start(
            control,
            scripts(CROWD_OPERATORS, &|| {
                Script::with_length("/api/config/replace", operator_bytes, operator_bytes - 16)
            }),
            Reads::Everything,
        ),
        _ => Crowd::start(
            internal,
            scripts(CROWD_OPERATORS, &|| Script {
                head: (32 * MIB as u32).to_le_bytes().to_vec(),
                part: vec![0; 64 * 1_024],
                parts: 300,
                end: Vec::new(),
            }),
            Reads::Nothing,
        ),
    }
}

/// One process gets a signal, or ends and starts again.
fn disturb(random: &mut fastrand::Rng, system: &mut System, watched: &mut [Watched], findings: &Findings) {
    let cores = system.local.cores.len();
    let target = random.usize(..watched.len());
    let watch = &mut watched[target];
    if watch.started.elapsed() < LOADED_AFTER {
        return;
    }
    let process = match target.checked_sub(cores) {
        None => &mut system.local.cores[target],
        Some(edge) => &mut system.local.edges[edge].process,
    };
    let name = process.name.clone();
    if process.has_ended() {
        findings.find(format!("{name} ended by itself"));
    }
    match random.u8(..4) {
        0 | 1 => process.reload(),
        2 => {
            process.ask_to_stop();
            let asked = Instant::now();
            while !process.has_ended() && asked.elapsed() < ENDS_WITHIN {
                std::thread::sleep(PAUSE);
            }
            if !process.has_ended() {
                findings.find(format!("{name} did not end within {ENDS_WITHIN:?} of SIGTERM"));
            }
            watch.check(&name, findings);
            process.kill();
        }
        _ => {
            watch.check(&name, findings);
            process.kill();
        }
    }
    if watch.meter.is_none() {
        process.start().expect("the program starts");
        watch.restarted(process);
    }
}

/// Plays one seed. Returns what was found wrong, and a line on what happened.
pub fn play(seed: u64, edges: u8) -> (Vec<String>, String) {
    let logs = std::env::var_os("PATHBANK_TEST_LOGS").is_some();
    let mut system = System::with_logs(CORES, edges, logs);
    for core in 0..CORES {
        set_limits(&system, &format!("core-{core}"), MEMORY_MB);
    }
    for edge in 0..edges {
        set_limits(&system, &format!("edge-{edge}"), MEMORY_MB);
    }
    let server = system.server("i-app-1", "app", &[]);
    system.local.start().expect("the program starts");
    let findings = Findings::default();
    let local = &system.local;
    let processes = local.cores.iter().chain(local.edges.iter().map(|edge| &edge.process));
    let mut watched: Vec<Watched> = processes.map(Watched::new).collect();
    system.configure(0, &configuration(3));
    until_all_serve(&system, seed, "first");

    let (stop, promised) = (Arc::<AtomicBool>::default(), Promised::default());
    let ordinary = ordinary_clients(&system, seed, &stop, &promised);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut crowds = Vec::new();
    let mut version = 3;
    let start = Instant::now();
    while start.elapsed() < LASTS {
        match random.u8(..5) {
            0 | 1 => crowds.push(draw_crowd(&mut random, &system)),
            2 | 3 => disturb(&mut random, &mut system, &mut watched, &findings),
            _ => {
                // Nobody else changes the configuration: it is taken now, or was before.
                let next = version + 1;
                if system.change(version, &configuration(next)) == Some(200) {
                    version = next;
                }
            }
        }
        if crowds.len() > 2 {
            let crowd: Crowd = crowds.remove(0);
            crowd.leave();
        }
        std::thread::sleep(Duration::from_millis(random.u64(50..600)));
    }
    crowds.into_iter().for_each(Crowd::leave);
    stop.store(true, Ordering::Relaxed);
    let served: u64 =
        ordinary.into_iter().map(|client| client.join().expect("a client runs to its end")).sum();
    until_all_serve(&system, seed, "last");
    let names: Vec<String> = (0..CORES)
        .map(|core| format!("core-{core}"))
        .chain((0..edges).map(|edge| format!("edge-{edge}")))
        .collect();
    watched.iter_mut().zip(&names).for_each(|(watch, name)| watch.check(name, &findings));
    let peak = watched.iter().map(|watch| watch.peak_mib).max().unwrap_or_default();
    check_promises(&server, &promised, &findings);
    let summary = format!("seed {seed}: {served} served, version {version}, peak {peak} MiB of {MEMORY_MB}");
    (findings.all(), summary)
}

/// Every edge answers an ordinary request.
fn until_all_serve(system: &System, seed: u64, word: &str) {
    for (number, edge) in system.local.edges.iter().enumerate() {
        let id = format!("{word}-{seed}-{number}");
        let headers = [
            ("Host", "shop.example"),
            ("X-Pathbank-Request-Id", &id),
            ("X-Pathbank-Deadline-Ms", "5000"),
            ("X-Pathbank-Credential", "key-1"),
        ];
        until("an ordinary request is answered", || {
            call(edge.ingress, "POST", "/app/x", &headers, "hello").is_some_and(|answer| answer.status == 200)
        });
    }
}

/// What was promised not to run has not run, and nothing that may run once ran twice.
fn check_promises(server: &StandInState, promised: &Promised, findings: &Findings) {
    let promised = promised.lock().unwrap_or_else(PoisonError::into_inner);
    let mut seen = BTreeSet::new();
    for id in server.runs().into_iter().filter(|id| id.starts_with("ordinary-")) {
        if promised.contains(&id) {
            findings.find(format!("{id} ran, and its client was told that it did not"));
        }
        if !seen.insert(id.clone()) {
            findings.find(format!("{id} ran twice"));
        }
    }
}
