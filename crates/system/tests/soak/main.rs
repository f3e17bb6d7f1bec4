//! A system of real processes under signals, restarts and changes that come in series and overlap, drawn from
//! a seed, while clients keep their connections, operators change the configuration without a pause, and model
//! servers come and go. Beside the same signals, models are retired and added, the last tenant is taken away and given
//! back, and links to model servers lose what is sent. At the end all processes are killed at once, and it is measured when service is back.
//!
//! `PATHBANK_SOAK_SEEDS=1..50 cargo test --release -p pathbank-system --test soak -- --nocapture` plays more
//! seeds; `PATHBANK_SOAK_EDGES=140` starts so many edges, `PATHBANK_SOAK_ROUTES=2000` makes the configuration
//! so much longer, `PATHBANK_SOAK_LOGS=1` shows what the processes log.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod clients;
#[path = "../common/mod.rs"]
mod common;
mod contact;
mod departures;
mod faults;
mod findings;
mod key_log;
mod model_clients;
mod model_operator;
mod model_servers;
mod operators;

use clients::{Clients, Connection, Outcome};
use common::{System, document_with_routes};
use departures::Departures;
use faults::{FaultPlan, Shape};
use findings::Findings;
use key_log::KeyLog;
use model_clients::{ModelClients, ask_for};
use model_operator::{ModelOperator, first_document};
use model_servers::ModelServers;
use operators::{Acknowledged, Operator};
use pathbank_system::local::Process;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// What is played without another word.
const SEEDS: std::ops::Range<u64> = 1..4;
const EDGES: u8 = 3;
const CORES: u8 = 3;
const CLIENTS: usize = 6;
/// Clients that ask for models, which wait longer for an answer.
const MODEL_CLIENTS: usize = 24;
/// Service is back within this after all processes have started, also on a busy machine.
const BACK_WITHIN: Duration = Duration::from_secs(15);
/// How long disturbances come.
const DISTURBED: Duration = Duration::from_secs(18);
/// Clients and model servers go on for so long after the last disturbance, with all processes in touch at last.
const CALM_AT_END: Duration = Duration::from_secs(7);

fn asked<T: std::str::FromStr>(variable: &str) -> Option<T> {
    std::env::var(variable).ok()?.parse().ok()
}

fn seeds() -> std::ops::Range<u64> {
    let asked = std::env::var("PATHBANK_SOAK_SEEDS").ok();
    let range = asked.as_deref().and_then(|text| text.split_once(".."));
    range.map_or(SEEDS, |(first, end)| first.parse().expect("a seed")..end.parse().expect("a seed"))
}

/// All processes are killed at once and started again. Returns how long it takes until every edge serves all
/// that was confirmed.
fn all_dark(system: &mut System, findings: &Findings, acknowledged: &[Acknowledged]) -> u128 {
    let local = &mut system.local;
    local.cores.iter_mut().for_each(Process::kill);
    local.edges.iter_mut().for_each(|edge| edge.process.kill());
    local.start().expect("the program starts");
    let started = Instant::now();
    findings.until_all_serve(system, acknowledged);
    let back = started.elapsed();
    if back > BACK_WITHIN {
        findings.find(format!(
            "service came back {back:?} after all processes had started, not within {BACK_WITHIN:?}"
        ));
    }
    back.as_millis()
}

/// Plays one seed. Returns what was found wrong, and a line on what happened.
fn play(seed: u64, edges: u8) -> (Vec<String>, String) {
    let mut system = System::with_logs(CORES, edges, asked::<u8>("PATHBANK_SOAK_LOGS").is_some());
    let server = system.server("i-app-1", "app", &[]);
    let other_server = system.server("i-app-2", "app", &[]);
    system.local.start().expect("the program starts");
    let routes = asked("PATHBANK_SOAK_ROUTES").unwrap_or(0);
    system.configure(0, &document_with_routes(3, routes, 0));
    let findings = Arc::new(Findings::new(edges.into()));
    findings.until_all_serve(&system, &[]);

    let stop = Arc::new(AtomicBool::new(false));
    let operator = Operator::start(&system, seed, 3, findings.clone(), stop.clone());
    let clients = Clients::start(&system, seed, CLIENTS.max(edges.into()), findings.clone(), stop.clone());
    let departures = Departures::start(&system, seed, findings.clone(), stop.clone());
    let shape = Shape { cores: CORES.into(), edges: edges.into(), lasts: DISTURBED };
    FaultPlan::draw(seed, shape).play(&mut system.local, &findings);
    std::thread::sleep(CALM_AT_END);
    stop.store(true, Ordering::Relaxed);
    let acknowledged = operator.join();
    clients.join();
    let departed = departures.join();

    findings.until_all_serve(&system, &acknowledged);
    let back_ms = all_dark(&mut system, &findings, &acknowledged);
    findings.check_read_back(&system, &acknowledged);
    departures::check(&departed, &findings);
    let stayed = [server.runs(), other_server.runs()];
    findings.check_runs(&stayed.into_iter().chain(departures::runs(&departed)).collect::<Vec<_>>());
    let (changes, counts) = (acknowledged.len(), findings.summary());
    let summary = format!("seed {seed}: {changes} changes, {counts}, back after {back_ms} ms");
    (findings.all(), summary)
}

/// Every edge serves every model that the configuration names.
fn until_models_are_served(system: &System, models: &[&str], findings: &Findings) {
    for (edge, local) in system.local.edges.iter().enumerate() {
        for model in models {
            let began = Instant::now();
            let mut asked = 0;
            let mut is_served = || {
                asked += 1;
                let id = format!("end-{edge}-{model}-{asked}");
                let outcome = Connection::open(local.ingress)
                    .map(|mut connection| connection.ask(&ask_for(model, "key-1", &id)));
                matches!(outcome, Some(Outcome::Answered { status: 200, .. }))
            };
            while !is_served() {
                if began.elapsed() > BACK_WITHIN {
                    return findings
                        .find(format!("edge {edge}: {model} is not served within {BACK_WITHIN:?}"));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

/// Plays one seed of models, keys and lossy links. Returns what was found wrong, and a line on what happened.
fn play_models(seed: u64, edges: u8) -> (Vec<String>, String) {
    let mut system = System::with_logs(CORES, edges, asked::<u8>("PATHBANK_SOAK_LOGS").is_some());
    system.local.start().expect("the program starts");
    system.configure(0, &first_document(3));
    let findings = Arc::new(Findings::new(edges.into()));
    let (stop, keys) = (Arc::new(AtomicBool::new(false)), Arc::<KeyLog>::default());
    let servers = ModelServers::start(&system, seed, &findings, &stop);
    until_models_are_served(&system, &model_operator::MODELS[..1], &findings);
    let operator = ModelOperator::start(&system, seed, 3, &findings, &keys, &stop);
    let clients =
        ModelClients::start(&system, seed, MODEL_CLIENTS.max(edges.into()), &findings, &keys, &stop);
    let shape = Shape { cores: CORES.into(), edges: edges.into(), lasts: DISTURBED };
    FaultPlan::draw(seed, shape).play(&mut system.local, &findings);
    std::thread::sleep(CALM_AT_END);
    stop.store(true, Ordering::Relaxed);
    let models = operator.join();
    clients.join();
    until_models_are_served(&system, &models, &findings);
    servers.check(&findings);
    (findings.all(), format!("seed {seed}: {}", findings.summary()))
}

/// Plays the seeds that were asked for, and fails with what was found.
fn play_seeds(play: impl Fn(u64, u8) -> (Vec<String>, String)) {
    let edges = asked("PATHBANK_SOAK_EDGES").unwrap_or(EDGES);
    let mut failed = Vec::new();
    for seed in seeds() {
        let (found, summary) = play(seed, edges);
        println!("{summary}");
        found.iter().for_each(|finding| println!("  {finding}"));
        if !found.is_empty() {
            failed.push(format!("seed {seed}: {}", found[0]));
        }
    }
    assert!(failed.is_empty(), "PATHBANK_SOAK_SEEDS=N..N+1 plays one again: {failed:#?}");
}

#[test]
fn models_keys_and_lossy_links_beside_signals_and_restarts() {
    play_seeds(play_models);
}

#[test]
fn signals_restarts_and_changes_that_overlap() {
    play_seeds(play);
}
