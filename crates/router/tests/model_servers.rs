//! Ejection of failing model servers, and the table of model servers.

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
    next: u64,
}

impl Edge {
    fn given(seed: u64) -> Edge {
        let mut table = ModelServerTable::new(seed);
        table.update(0, ModelServerUpdate { complete: true, servers: vec![server()] });
        Edge { table, next: 0 }
    }

    fn sends(&mut self) {
        self.next += 1;
        self.table.request_sent(INSTANCE, self.next, 100);
    }

    fn ends(&mut self, now: u64, outcome: AttemptOutcome) {
        self.table.request_ended(now, INSTANCE, &ModelName::parse("a"), outcome);
    }

    fn sends_and_ends(&mut self, now: u64, outcome: AttemptOutcome) {
        self.sends();
        self.ends(now, outcome);
    }

    fn has_slot(&self, now: u64) -> bool {
        self.table.get(INSTANCE).unwrap().has_slot(now)
    }

    /// When it may be tried again.
    fn tried_again(&self, from: u64) -> u64 {
        (from..from + 60_000).find(|now| self.has_slot(*now)).unwrap()
    }
}

#[test]
fn ejections_grow_with_failures_in_a_row() {
    let mut edge = Edge::given(1);
    edge.sends_and_ends(1_000, AttemptOutcome::Failed);
    assert!(edge.has_slot(1_000), "one failure says little");
    edge.sends_and_ends(1_000, AttemptOutcome::Failed);
    let mut now = 1_000;
    let mut rests = Vec::new();
    for _ in 0..7 {
        let again = edge.tried_again(now);
        rests.push(again - now);
        now = again;
        edge.sends_and_ends(now, AttemptOutcome::Failed);
    }
    assert!(rests[0] >= 150 && rests[2] > 2 * rests[0], "{rests:?}");
    assert!(rests.iter().all(|duration| *duration <= 6_500), "{rests:?}");
}

#[test]
fn a_half_open_circuit_passes_one_request_at_a_time() {
    let mut edge = Edge::given(1);
    (0..2).for_each(|_| edge.sends_and_ends(1_000, AttemptOutcome::Failed));
    let now = edge.tried_again(1_000);
    edge.sends();
    assert!(!edge.has_slot(now), "one is out");
    edge.ends(now, AttemptOutcome::Abandoned);
    assert!(edge.has_slot(now), "its client left: that said nothing");
    edge.sends_and_ends(now, AttemptOutcome::Answered);
    (0..11).for_each(|_| edge.sends());
    assert!(edge.has_slot(now), "it is sound again");
}

#[test]
fn ejections_end_at_different_times_by_edge() {
    // Given a hundred edges whose requests failed at once.
    let mut times: Vec<u64> = (0..100)
        .map(|seed| {
            let mut edge = Edge::given(seed);
            (0..5).for_each(|_| edge.sends_and_ends(1_000, AttemptOutcome::Failed));
            edge.tried_again(1_000)
        })
        .collect();
    times.sort_unstable();
    // Then they come back over a good part of the rest, and never many at once.
    assert!(times[99] - times[0] > 800, "from {} to {}", times[0], times[99]);
    let most_in_100_ms =
        times.iter().map(|start| times.iter().filter(|at| (*start..start + 100).contains(at)).count());
    assert!(most_in_100_ms.max().unwrap() < 25);
}

/// Edges that are told of all model servers after a start compared each of them with all that they knew
/// already, to find an earlier one at its address: 0.15 s of a tenth of a core for 3,008 model servers. As
/// many come here as take minutes in that way.
#[test]
fn cost_of_an_update_does_not_grow_with_the_table() {
    const SERVERS: usize = 100_000;
    const SERVERS_PER_UPDATE: usize = 1_000;
    const FAR_MORE_THAN_NEEDED: Duration = Duration::from_secs(20);
    let mut table = ModelServerTable::new(1);
    let begun = Instant::now();
    for first in (0..SERVERS).step_by(SERVERS_PER_UPDATE) {
        let servers =
            (first..first + SERVERS_PER_UPDATE).map(|number| server_at(&format!("i-{number}"), number));
        table.update(0, ModelServerUpdate { complete: false, servers: servers.collect() });
        assert!(
            begun.elapsed() < FAR_MORE_THAN_NEEDED,
            "only {first} of {SERVERS} model servers were told by then"
        );
    }
    assert_eq!(table.iter().count(), SERVERS);
}

#[test]
fn an_instance_is_displaced_at_its_current_address() {
    let mut table = ModelServerTable::new(1);
    let mut print_row =
        |server: ModelServer| table.update(0, ModelServerUpdate { complete: false, servers: vec![server] });
    print_row(server_at("moves", 1));
    print_row(server_at("moves", 2));
    assert!(print_row(server_at("at the old address", 1)).is_empty());
    assert!(print_row(server_at("at the new address", 2)).contains("moves"));
}

fn server_at(instance: &str, assigned: usize) -> ModelServer {
    ModelServer { instance: instance.into(), address: format!("10.0.0.{assigned}:80"), ..server() }
}
