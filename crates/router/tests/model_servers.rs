//! Tests of the ejection of failing model servers, and of the table of model servers.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_protocol::message::{LoadedModel, ModelServer, ModelServerState, ModelServerUpdate};
use pathbank_router::model_servers::{AttemptOutcome, ModelServerTable};
use pathbank_router::prompt::ModelName;
use std::time::{Duration, Instant};

const INSTANCE: &str = "i-1";

fn server() -> ModelServer {
    ModelServer {
        instance: INSTANCE.into(),
        backend: "llm".into(),
        address: "10.0.0.1:80".into(),
        zone: "z".into(),
        version: "v1".into(),
        capacity: 12,
        state: ModelServerState::Ready,
        cold_remaining_ms: 0,
        remaining_ms: 0,
        models: vec![LoadedModel { name: "a".into(), version: 1, adapters: Vec::new() }],
        sequence: 1,
        busy: false,
    }
}

struct Edge {
    table: ModelServerTable,
    last_request: u64,
}

impl Edge {
    fn new(seed: u64) -> Edge {
        let mut table = ModelServerTable::new(seed);
        table.update(0, ModelServerUpdate { complete: true, servers: vec![server()] });
        Edge { table, last_request: 0 }
    }

    fn send(&mut self) {
        self.last_request += 1;
        self.table.request_sent(INSTANCE, self.last_request, 100);
    }

    fn end(&mut self, now: u64, outcome: AttemptOutcome) {
        self.table.request_ended(now, INSTANCE, &ModelName::parse("a"), outcome);
    }

    fn send_and_end(&mut self, now: u64, outcome: AttemptOutcome) {
        self.send();
        self.end(now, outcome);
    }

    fn has_slot(&self, now: u64) -> bool {
        self.table.get(INSTANCE).unwrap().has_slot(now)
    }

    /// When the ejection ends: the next time at which the server has a slot.
    fn ejected_until(&self, from: u64) -> u64 {
        (from..from + 60_000).find(|now| self.has_slot(*now)).unwrap()
    }
}

#[test]
fn ejections_grow_with_failures_in_a_row() {
    let mut edge = Edge::new(1);
    edge.send_and_end(1_000, AttemptOutcome::Failed);
    assert!(edge.has_slot(1_000), "one failure does not eject the server");
    edge.send_and_end(1_000, AttemptOutcome::Failed);
    let mut now = 1_000;
    let mut ejections = Vec::new();
    for _ in 0..7 {
        let ejected_until = edge.ejected_until(now);
        ejections.push(ejected_until - now);
        now = ejected_until;
        edge.send_and_end(now, AttemptOutcome::Failed);
    }
    assert!(ejections[0] >= 150 && ejections[2] > 2 * ejections[0], "{ejections:?}");
    assert!(ejections.iter().all(|duration| *duration <= 6_500), "{ejections:?}");
}

#[test]
fn a_half_open_circuit_passes_one_request_at_a_time() {
    let mut edge = Edge::new(1);
    (0..2).for_each(|_| edge.send_and_end(1_000, AttemptOutcome::Failed));
    let now = edge.ejected_until(1_000);
    edge.send();
    assert!(!edge.has_slot(now), "one request is in flight");
    edge.end(now, AttemptOutcome::Abandoned);
    assert!(edge.has_slot(now), "the client disconnected, which leaves the circuit half open");
    edge.send_and_end(now, AttemptOutcome::Answered);
    (0..11).for_each(|_| edge.send());
    assert!(edge.has_slot(now), "an answer closes the circuit");
}

#[test]
fn ejections_end_at_different_times_by_edge() {
    // The requests of a hundred edges fail at the same time.
    let mut times: Vec<u64> = (0..100)
        .map(|seed| {
            let mut edge = Edge::new(seed);
            (0..5).for_each(|_| edge.send_and_end(1_000, AttemptOutcome::Failed));
            edge.ejected_until(1_000)
        })
        .collect();
    times.sort_unstable();
    // The edges use the server again at times that spread over much of the ejection, never many at
    // once.
    assert!(times[99] - times[0] > 800, "from {} to {}", times[0], times[99]);
    let most_in_100_ms =
        times.iter().map(|start| times.iter().filter(|at| (*start..start + 100).contains(at)).count());
    assert!(most_in_100_ms.max().unwrap() < 25);
}

/// After a start, an edge compared each reported model server with all known ones, to find an earlier
/// incarnation at its address. With 3,008 model servers this took 0.15 s on a tenth of a processor core. With
/// the number of servers in this test it would take minutes.
#[test]
fn cost_of_an_update_does_not_grow_with_the_table() {
    const SERVERS: usize = 100_000;
    const SERVERS_PER_UPDATE: usize = 1_000;
    const TIME_LIMIT: Duration = Duration::from_secs(20);
    let mut table = ModelServerTable::new(1);
    let started = Instant::now();
    for first in (0..SERVERS).step_by(SERVERS_PER_UPDATE) {
        let servers =
            (first..first + SERVERS_PER_UPDATE).map(|number| server_at(&format!("i-{number}"), number));
        table.update(0, ModelServerUpdate { complete: false, servers: servers.collect() });
        assert!(
            started.elapsed() < TIME_LIMIT,
            "only {first} of {SERVERS} model servers were added within the time limit"
        );
    }
    assert_eq!(table.iter().count(), SERVERS);
}

#[test]
fn a_new_incarnation_displaces_the_one_whose_current_address_it_has() {
    let mut table = ModelServerTable::new(1);
    let mut update =
        |server: ModelServer| table.update(0, ModelServerUpdate { complete: false, servers: vec![server] });
    update(server_at("moves", 1));
    update(server_at("moves", 2));
    assert!(update(server_at("at the old address", 1)).is_empty());
    assert!(update(server_at("at the new address", 2)).contains("moves"));
}

/// Guards against requests to a server that left: an edge took a removal for one with the number of the last
/// heartbeat, and let a list with a later heartbeat bring the server back.
#[test]
fn no_list_brings_a_deregistered_server_back() {
    let mut table = ModelServerTable::new(1);
    let complete = |server: ModelServer| ModelServerUpdate { complete: true, servers: vec![server] };
    table.update(0, complete(ModelServer { sequence: 4, ..server() }));
    let deregistered = ModelServer::deregistered(INSTANCE.into());
    assert!(table.update(10, complete(deregistered)).contains(INSTANCE));
    table.update(20, complete(ModelServer { sequence: 9, ..server() }));
    assert!(table.get(INSTANCE).is_none());
}

#[test]
fn a_deregistration_of_an_unknown_server_keeps_it_out() {
    let mut table = ModelServerTable::new(1);
    let update = |server: ModelServer| ModelServerUpdate { complete: false, servers: vec![server] };
    table.update(0, update(ModelServer::deregistered(INSTANCE.into())));
    table.update(10, update(ModelServer { sequence: 9, ..server() }));
    assert!(table.get(INSTANCE).is_none());
}

fn server_at(instance: &str, assigned: usize) -> ModelServer {
    ModelServer { instance: instance.into(), address: format!("10.0.0.{assigned}:80"), ..server() }
}
