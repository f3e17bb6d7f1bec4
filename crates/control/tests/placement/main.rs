//! Tests of placement: which models the leader orders model servers to load and unload.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

#[path = "../common/mod.rs"]
mod common;
mod scenario;
mod unconfigured;

use common::model_server;
use pathbank_control::demand::{DemandTable, ModelKey};
use pathbank_control::model_catalog::LoadObstacle;
use pathbank_control::order::{Operation, Order, OrderKind};
use pathbank_control::placement::{Placer, TrainingReservations};
use pathbank_protocol::message::ModelServer;
use scenario::*;

#[test]
fn a_model_without_replicas_is_loaded_where_memory_is_free() {
    let mut scenario = Scenario::new(&["a", "b", "c", "d"], &[&["a", "b", "c"], &["a", "b"]]);
    scenario.run_demand(600, &[("d", 1)]);
    assert_eq!(scenario.replicas("d"), 1);
    assert_eq!(scenario.servers[1].models.len(), 3, "the second server had free memory");
}

#[test]
fn an_idle_replica_is_evicted_and_the_server_reserved_for_the_model() {
    let mut scenario = Scenario::new(&["a", "b", "c", "d", "e"], &[&["a", "b", "c"]]);
    scenario.run_demand(10_000, &[("a", 2), ("b", 1)]);
    let before = scenario.now;
    scenario.run_demand(1_500, &[("a", 2), ("b", 1), ("d", 1)]);
    assert_eq!(
        (scenario.replicas("a"), scenario.replicas("b"), scenario.replicas("c"), scenario.replicas("d")),
        (1, 1, 0, 1)
    );
    assert_eq!(
        scenario.loads_between(before, u64::MAX),
        1,
        "the model is loaded once, and no other load follows"
    );
}

/// The least demand for a missing model that evicts the only replica of another one, requests in 4 s, where
/// that one gets 24 in 4 s and a load takes 4 s.
fn least_demand_that_evicts(objective_ms: u32) -> u64 {
    let evicts = |requests: &u64| {
        let mut scenario = Scenario::new(&["asked", "new"], &[&["asked"]]);
        let runtime = scenario.backends[0].runtime.as_mut().unwrap();
        runtime.weights_mb = WEIGHTS_MB;
        let now = scenario.now;
        // Long after the start, when the demand is known.
        report_demand(&mut scenario.demand, now - 60_000, "asked", "", 1, 0);
        let kind = RequestKind { prefill_ms: SHORT_PREFILL_MS, objective_ms };
        report_demand_of_kind(&mut scenario.demand, now, ("asked", ""), (24, 0), kind);
        report_demand_of_kind(&mut scenario.demand, now, ("new", ""), (*requests, 0), kind);
        scenario.run_pass();
        scenario.replicas("asked") == 0
    };
    (1..200).find(evicts).unwrap()
}

/// A replica was worth a third as much, and its model was unloaded for one with as many requests, as soon as a
/// load took less than 85 in 100 of the latency objective.
#[test]
fn the_value_of_an_only_replica_follows_the_wait_for_a_load_without_a_step() {
    let objectives_ms: Vec<u32> = (0..40).map(|step| 4_000 + 200 * step).collect();
    let least: Vec<u64> =
        objectives_ms.iter().map(|objective_ms| least_demand_that_evicts(*objective_ms)).collect();
    assert!(
        least.windows(2).all(|pair| pair[1] <= pair[0]),
        "a longer objective bears a load better: {least:?}"
    );
    assert!(least.windows(2).all(|pair| pair[0] - pair[1] <= 2), "{least:?}");
    assert!(least[39] > 24, "nothing is unloaded for a model with as many requests: {least:?}");
}

/// Assigns the model servers to two zones in turn.
fn with_two_zones(mut scenario: Scenario) -> Scenario {
    for (number, server) in scenario.servers.iter_mut().enumerate() {
        server.zone = format!("z{}", number % 2);
    }
    scenario
}

fn zones_of(scenario: &Scenario, model: &str) -> usize {
    let holds = |server: &&ModelServer| server.models.iter().any(|loaded| loaded.name == model);
    let zones = scenario.servers.iter().filter(holds).map(|server| server.zone.clone());
    zones.collect::<std::collections::BTreeSet<_>>().len()
}

#[test]
fn a_model_in_demand_has_replicas_in_two_zones() {
    // The model's demand is too low to fill a second model server.
    let loaded: &[&[&str]] =
        &[&["hot", "asked", "x"], &["hot", "y", "z"], &["hot", "x", "y"], &["hot", "z", "x"]];
    let mut scenario = with_two_zones(Scenario::new(&["hot", "asked", "x", "y", "z"], loaded));
    scenario.kind.prefill_ms = SHORT_PREFILL_MS;
    scenario.run_demand(8_000, &[("hot", 20), ("asked", 1)]);
    assert_eq!(
        (scenario.replicas("asked"), zones_of(&scenario, "asked")),
        (2, 2),
        "the model survives the loss of one zone"
    );
}

#[test]
fn the_last_replica_outside_one_zone_is_not_evicted() {
    // All model servers are full. A model has replicas in two zones, more than its demand would fill.
    let loaded: &[&[&str]] =
        &[&["hot", "cool", "asked"], &["hot", "cool", "asked"], &["hot", "cool", "asked"]];
    let mut scenario = with_two_zones(Scenario::new(&["hot", "cool", "asked", "new"], loaded));
    scenario.run_demand(8_000, &[("hot", 30), ("cool", 30), ("asked", 1)]);
    // Another model is missing, and only the model server in the second zone takes orders: it keeps the
    // replica.
    (scenario.servers[0].busy, scenario.servers[2].busy) = (true, true);
    scenario.run_demand(3_000, &[("hot", 30), ("cool", 30), ("asked", 1), ("new", 1)]);
    assert_eq!(zones_of(&scenario, "asked"), 2);
    // A replica in the first zone is evicted instead, once a model server there takes orders.
    scenario.servers[0].busy = false;
    scenario.run_demand(3_000, &[("hot", 30), ("cool", 30), ("asked", 1), ("new", 1)]);
    assert_eq!((scenario.replicas("new"), zones_of(&scenario, "asked")), (1, 2));
}

#[test]
fn a_model_with_rising_demand_gets_replicas_in_proportion() {
    let mut scenario = Scenario::new(
        &["hot", "rising", "x", "y", "z"],
        &[
            &["hot", "x", "y"],
            &["hot", "x", "z"],
            &["hot", "y", "z"],
            &["hot", "rising", "x"],
            &["hot", "y", "z"],
            &["hot", "x"],
        ],
    );
    scenario.run_demand(10_000, &[("hot", 3)]);
    scenario.run_demand(6_000, &[("rising", 3)]);
    assert!(scenario.replicas("rising") >= 5, "{} replicas", scenario.replicas("rising"));
}

#[test]
fn one_pass_does_not_evict_every_replica_of_a_model() {
    let loaded: Vec<&[&str]> = vec![&["a", "b", "c"]; 6];
    let mut scenario = Scenario::new(&["a", "b", "c", "d", "e", "f"], &loaded);
    scenario.run_demand(10_000, &[("a", 1), ("b", 1), ("c", 1)]);
    scenario.run_demand(200, &[("a", 1), ("b", 1), ("c", 1), ("d", 4), ("e", 4), ("f", 4)]);
    ["a", "b", "c"].iter().for_each(|model| assert!(scenario.replicas(model) >= 1, "{model}"));
}

/// A model whose only replica was on a model server that failed every request was not served: the leader told
/// edges to avoid the server, but counted its replica as serving.
#[test]
fn a_model_whose_only_replica_is_on_a_failing_server_is_loaded_elsewhere() {
    let failing = [("i-0".to_owned(), 0.9)].into();
    let mut scenario = Scenario::new(&["a", "b", "c"], &[&["a"], &["b"], &["b"]]);
    scenario.kind.prefill_ms = SHORT_PREFILL_MS;
    scenario.run_demand(3_000, &[("a", 1), ("b", 1)]);
    assert_eq!(scenario.replicas("a"), 1, "no second replica while the model server serves");
    scenario.placer.set_failing(&failing);
    scenario.run_demand(3_000, &[("a", 1), ("b", 1), ("c", 1)]);
    assert_eq!(scenario.replicas("a"), 2);
    assert_eq!(scenario.servers[0].models.len(), 1, "nothing is loaded on a model server that fails");
    // A model server that fails some of its requests counts as serving.
    let mut scenario = Scenario::new(&["a", "b"], &[&["a"], &["b"]]);
    scenario.placer.set_failing(&[("i-0".to_owned(), 0.3)].into());
    scenario.kind.prefill_ms = SHORT_PREFILL_MS;
    scenario.run_demand(3_000, &[("a", 1), ("b", 1)]);
    assert_eq!(scenario.replicas("a"), 1);
}

#[test]
fn loaded_models_stay_while_demand_is_unknown() {
    let mut scenario = Scenario::new(
        &["hot", "x", "y", "new"],
        &[&["hot", "x", "y"], &["hot", "x", "y"], &["hot", "x", "y"]],
    );
    scenario.run_demand(300, &[("x", 1)]);
    assert!(scenario.orders.is_empty(), "{:?}", scenario.orders);
    assert_eq!(scenario.replicas("hot"), 3);
}

#[test]
fn loads_stay_within_the_stores_rate_limit_in_any_window() {
    let names: Vec<String> = (0..60).map(|number| format!("m{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let loaded: Vec<&[&str]> = vec![&[]; 20];
    let mut scenario = Scenario::new(&names, &loaded);
    for round in 0..200_usize {
        let wanted: Vec<(&str, u64)> = (0..10).map(|at| (names[(round * 3 + at) % 60], 1)).collect();
        scenario.run_demand(100, &wanted);
    }
    let (window, permitted) = (5_000, 4.0 * 5.0 * 1.1 + 3.0);
    for (at, _) in &scenario.orders {
        let loads = scenario.loads_between(*at, at + window);
        assert!(loads as f64 <= permitted, "{loads} loads within {window} ms of {at}");
    }
    assert!(scenario.orders.len() > 40);
}

#[test]
fn an_adapter_is_loaded_beside_its_model_and_the_idle_one_is_evicted() {
    let mut scenario = Scenario::new(&["a", "b"], &[&["a"]]);
    for adapter in ["a1", "a2"] {
        report_demand(&mut scenario.demand, scenario.now, "a", adapter, 1, 1);
        (0..5).for_each(|_| scenario.run_pass());
    }
    assert_eq!(scenario.servers[0].models[0].adapters, ["a1", "a2"]);
    scenario.now += 20_000;
    (0..3).for_each(|_| report_demand(&mut scenario.demand, scenario.now, "a", "a2", 3, 0));
    report_demand(&mut scenario.demand, scenario.now, "a", "a3", 2, 2);
    (0..5).for_each(|_| scenario.run_pass());
    assert_eq!(scenario.servers[0].models[0].adapters, ["a2", "a3"]);
}

#[test]
fn a_load_does_not_fit_a_server_that_reports_full_memory() {
    let backends = backends(&["a", "b", "c", "d"]);
    let order = Order {
        backend: "llm".into(),
        instance: "i-1".into(),
        address: "10.0.0.1:80".into(),
        operation: Operation::Load,
        model: "d".into(),
        adapter: String::new(),
        kind: OrderKind::Fetch,
        configured_ms: 4_000,
        expected_ms: 4_000,
        report_only: false,
    };
    let check =
        |order: &Order, loaded: &[&str]| order.check(runtime(&backends), &model_server(1, loaded).models);
    assert_eq!(check(&order, &["a", "b"]), Ok(()));
    let full = LoadObstacle::OutOfMemory { needed_mb: WEIGHTS_MB, free_mb: 10_000.0 };
    assert_eq!(check(&order, &["a", "b", "c"]), Err(full));
    let unknown_size = LoadObstacle::UnconfiguredModel("unknown".into());
    assert_eq!(check(&order, &["unknown"]), Err(unknown_size));
    let named =
        |model: &str, adapter: &str| Order { model: model.into(), adapter: adapter.into(), ..order.clone() };
    assert_eq!(check(&named("unknown", ""), &[]), Err(LoadObstacle::NotConfigured));
    assert_eq!(check(&named("a", "a9"), &["a"]), Ok(()));
    assert_eq!(check(&named("a", "a10"), &["a"]), Err(LoadObstacle::NotConfigured), "it has nine adapters");
    assert_eq!(check(&named("a", "a1"), &["b"]), Err(LoadObstacle::ModelMissing));
    let unload = Order { operation: Operation::Unload, ..named("unknown", "") };
    assert_eq!(check(&unload, &["unknown"]), Ok(()));
}

#[test]
fn demand_decays_and_reports_of_waiting_requests_expire() {
    let mut demand = DemandTable::default();
    let key = ModelKey { backend: "llm".into(), model: "m".into(), adapter: String::new() };
    (0..40).for_each(|tenth| report_demand(&mut demand, tenth * 100, "m", "", 1, 0));
    let rate = demand.requests_per_s(4_000, &key);
    assert!(rate > 5.0 && rate <= 10.0, "{rate}");
    assert!(demand.requests_per_s(20_000, &key) < 0.3);
    report_demand(&mut demand, 20_000, "m", "", 1, 3);
    assert!(demand.waiting(20_500, &key) > 0.0);
    assert_eq!(demand.waiting(25_000, &key), 0.0);
}

// ---- placement around training steps ----

#[test]
fn a_server_that_changes_versions_gets_no_order_and_counts_as_a_replica() {
    // One model server is full, another one has free memory, and a model of the first one has high demand.
    let new = || Scenario::new(&["a", "b", "c", "d"], &[&["b", "c", "d"], &[]]);
    let mut free = new();
    free.run_demand(3_000, &[("b", 1)]);
    assert!(
        free.orders.iter().any(|(_, order)| order.instance == "i-1"),
        "the server with free memory loads the model, too"
    );
    // The server with free memory gets no order while it changes versions.
    let mut loaded = new();
    let changing_version = [("i-1".to_owned(), "a".to_owned())].into();
    loaded.placer.set_training_reservations(TrainingReservations {
        changing_version,
        ..TrainingReservations::default()
    });
    loaded.run_demand(3_000, &[("b", 1)]);
    assert!(loaded.orders.iter().all(|(_, order)| order.instance != "i-1"), "{:?}", loaded.orders);
    // The model that it will have loaded again is not loaded elsewhere for a low demand.
    let asked = |holds: bool| {
        let mut scenario = Scenario::new(&["a", "b"], &[&["b"], &["b"]]);
        let changing_version = holds.then(|| ("i-1".to_owned(), "a".to_owned())).into_iter().collect();
        scenario.placer.set_training_reservations(TrainingReservations {
            changing_version,
            ..TrainingReservations::default()
        });
        scenario.kind.prefill_ms = SHORT_PREFILL_MS;
        scenario.run_demand(1_000, &[("a", 1), ("b", 20)]);
        scenario.replicas("a")
    };
    assert_eq!((asked(false), asked(true)), (1, 0));
}

#[test]
fn a_model_that_a_step_pins_is_not_evicted() {
    // A model server is full of models without demand. A training step uses one of them.
    let mut scenario = Scenario::new(&["a", "b", "c", "d"], &[&["a", "b", "c"]]);
    let pinned = [("i-0".to_owned(), ["a".to_owned()].into())].into();
    scenario
        .placer
        .set_training_reservations(TrainingReservations { pinned, ..TrainingReservations::default() });
    // One of the other models is evicted for a model with demand.
    scenario.run_demand(3_000, &[("d", 4)]);
    assert_eq!((scenario.replicas("a"), scenario.replicas("d")), (1, 1), "{:?}", scenario.orders);
}

#[test]
fn training_loads_stay_within_the_services_rate_limit() {
    let mut placer = Placer::new();
    let permitted_loads =
        (0..10_000).step_by(50).filter(|now| placer.try_take_training_load(*now, "llm", 2.0)).count();
    assert!((18..=22).contains(&permitted_loads), "two loads a second: {permitted_loads}");
}

#[test]
fn a_training_load_waits_while_placement_has_used_the_rate_limit() {
    // Placement has just used the store's rate limit for models with waiting requests.
    let mut scenario = Scenario::new(&["a", "b", "c", "d", "e"], &[&["a"], &[], &[], &[], &[]]);
    let rest = [("b", 3), ("c", 3), ("d", 3), ("e", 3)];
    scenario.run_demand(1_000, &rest);
    assert!(scenario.loads_between(0, u64::MAX) >= 2, "{:?}", scenario.orders);
    // The load of a step waits until the store permits one more load.
    assert!(!scenario.placer.try_take_training_load(scenario.now, "llm", 4.0));
    assert!(scenario.placer.try_take_training_load(scenario.now + 1_000, "llm", 4.0));
}
