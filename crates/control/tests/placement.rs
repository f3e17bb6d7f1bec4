//! Tests of placement: which models the leader orders model servers to load and unload.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::model_server;
use pathbank_control::configuration::{Backend, Model, Runtime};
use pathbank_control::demand::{DemandTable, ModelKey};
use pathbank_control::directory::CachedWeights;
use pathbank_control::model_catalog::LoadObstacle;
use pathbank_control::order::OrderKind;
use pathbank_control::order::{Operation, Order};
use pathbank_control::placement::{Placer, TrainingReservations};
use pathbank_protocol::message::{EdgeReport, LoadedModel, ModelDemand, ModelServer};
use test_case::test_case;

const WEIGHTS_MB: f64 = 70_000.0;
/// The prefill time of a request.
const PREFILL_MS: u64 = 60;
const SHORT_PREFILL_MS: u64 = 4;
/// How long an answer occupies a slot.
const SLOT_TIME_MS: u64 = 1_500;
/// The latency objective of requests: shorter than a load.
const OBJECTIVE_MS: u32 = 1_000;

fn backends(models: &[&str]) -> Vec<Backend> {
    let model = |name: &&str| Model {
        name: (*name).into(),
        weights_mb: WEIGHTS_MB,
        load_s: 4.0,
        adapters: 9,
        adapter_mb: 66.0,
    };
    let runtime = Runtime {
        capacity: 64.0,
        kv_capacity: 100_000.0,
        models: models.iter().map(model).collect(),
        weights_mb: 220_000.0,
        max_adapters: 2,
        loads_per_s: 4.0,
        stride: 3.0,
    };
    let backend = Backend {
        name: "llm".into(),
        health_path: None,
        max_connections: None,
        runtime: Some(runtime),
        autoscaling: None,
    };
    vec![backend]
}

fn runtime(backends: &[Backend]) -> &Runtime {
    backends[0].runtime.as_ref().unwrap()
}

fn report_demand(demand: &mut DemandTable, now: u64, model: &str, adapter: &str, arrived: u64, waiting: u32) {
    let kind = RequestKind { prefill_ms: PREFILL_MS, objective_ms: OBJECTIVE_MS };
    report_demand_of_kind(demand, now, (model, adapter), (arrived, waiting), kind);
}

/// What requests are like.
#[derive(Clone, Copy)]
struct RequestKind {
    /// The prefill time of a request, milliseconds.
    prefill_ms: u64,
    objective_ms: u32,
}

/// Reports requests of a kind.
fn report_demand_of_kind(
    demand: &mut DemandTable,
    now: u64,
    (model, adapter): (&str, &str),
    (arrived, waiting): (u64, u32),
    RequestKind { prefill_ms, objective_ms }: RequestKind,
) {
    let demand_of_model = ModelDemand {
        backend: "llm".into(),
        model: model.into(),
        adapter: adapter.into(),
        arrived,
        tokens: 1_500 * arrived,
        waiting,
        prefill_ms: prefill_ms * arrived,
        slot_time_ms: SLOT_TIME_MS * arrived,
        objective_ms,
    };
    let report = EdgeReport { edge: "edge".into(), demand: vec![demand_of_model], ..EdgeReport::default() };
    demand.record(now, &report);
}

/// Model servers that complete orders at once.
struct Scenario {
    backends: Vec<Backend>,
    servers: Vec<ModelServer>,
    demand: DemandTable,
    placer: Placer,
    cached_weights: CachedWeights,
    now: u64,
    orders: Vec<(u64, Order)>,
    kind: RequestKind,
}

impl Scenario {
    fn new(models: &[&str], loaded: &[&[&str]]) -> Scenario {
        let servers: Vec<ModelServer> =
            loaded.iter().enumerate().map(|(number, loaded)| model_server(number, loaded)).collect();
        let mut cached_weights = CachedWeights::default();
        for server in &servers {
            let names = server.models.iter().map(|model| model.name.clone());
            cached_weights.insert(server.address.clone(), names.collect());
        }
        Scenario {
            backends: backends(models),
            servers,
            demand: DemandTable::default(),
            placer: Placer::new(),
            cached_weights,
            now: 100_000,
            orders: Vec::new(),
            kind: RequestKind { prefill_ms: PREFILL_MS, objective_ms: OBJECTIVE_MS },
        }
    }

    /// Runs one pass of placement. Its orders end before the next pass.
    fn run_pass(&mut self) {
        self.now += 100;
        let orders =
            self.placer.plan(self.now, &self.backends, &self.servers, &self.demand, &self.cached_weights);
        for order in orders {
            self.apply_order(&order);
            self.placer.clear_order(&order.instance);
            self.orders.push((self.now, order));
        }
    }

    fn apply_order(&mut self, order: &Order) {
        let runtime = runtime(&self.backends).clone();
        let server = self.servers.iter_mut().find(|server| server.instance == order.instance).unwrap();
        match (order.operation, order.adapter.is_empty()) {
            (Operation::Load, whole) => {
                assert_eq!(order.check(&runtime, &server.models), Ok(()), "{order:?}");
                if whole {
                    let name = order.model.clone();
                    server.models.push(LoadedModel { name, version: 1, adapters: Vec::new() });
                } else {
                    let loaded = server.models.iter_mut().find(|loaded| loaded.name == order.model).unwrap();
                    loaded.adapters.push(order.adapter.clone());
                }
            }
            (Operation::Unload, true) => server.models.retain(|loaded| loaded.name != order.model),
            (Operation::Unload, false) => server
                .models
                .iter_mut()
                .for_each(|loaded| loaded.adapters.retain(|adapter| *adapter != order.adapter)),
        }
    }

    /// Runs steady demand. `rates`: models, and the requests for each in every tenth of a second.
    fn run_demand(&mut self, milliseconds: u64, rates: &[(&str, u64)]) {
        for _ in 0..milliseconds / 100 {
            for (model, arrived) in rates {
                let missing = u32::from(self.replicas(model) == 0) * *arrived as u32;
                let (now, kind) = (self.now, self.kind);
                report_demand_of_kind(&mut self.demand, now, (model, ""), (*arrived, missing), kind);
            }
            self.run_pass();
        }
    }

    fn replicas(&self, model: &str) -> usize {
        self.servers.iter().filter(|server| server.models.iter().any(|loaded| loaded.name == model)).count()
    }

    fn loads_between(&self, from: u64, to: u64) -> usize {
        let loads = self.orders.iter().filter(|(at, order)| {
            *at >= from && *at < to && order.operation == Operation::Load && order.adapter.is_empty()
        });
        loads.count()
    }
}

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

/// Guards against a model that is never loaded because the servers hold one that the configuration does not name any
/// more: placement counted it as nothing, and the order was dropped since its size is unknown.
#[test_case(&["a", "x"]; "one, with memory to spare")]
#[test_case(&["a", "x", "y"]; "two")]
#[test_case(&["x", "y", "z"]; "nothing else")]
fn a_model_that_the_configuration_does_not_name_makes_room_for_one_that_it_names(loaded: &[&str]) {
    let mut scenario = Scenario::new(&["a", "b"], &[loaded]);
    // Clients still ask for the model that was taken away, more often than for the new one.
    scenario.run_demand(600, &[("b", 1), ("x", 9)]);
    assert_eq!((scenario.replicas("b"), scenario.replicas("x")), (1, 0));
    assert_eq!(scenario.replicas("a"), usize::from(loaded.contains(&"a")), "what it names stays");
}

#[test]
fn a_model_that_the_configuration_does_not_name_stays_while_nothing_needs_its_memory() {
    let mut scenario = Scenario::new(&["a", "b"], &[&["a", "x"], &["b"]]);
    scenario.run_demand(600, &[("a", 1), ("b", 1), ("x", 1)]);
    assert_eq!(scenario.orders.len(), 0);
    scenario.backends = backends(&[]);
    scenario.run_demand(600, &[("a", 1), ("x", 1)]);
    assert_eq!(scenario.orders.len(), 0, "an empty list of models orders nothing");
}

#[test]
fn a_server_with_memory_is_preferred_to_one_with_a_model_of_unknown_size() {
    let mut scenario = Scenario::new(&["a", "b"], &[&["a", "x"], &["a"]]);
    scenario.run_demand(600, &[("b", 1)]);
    assert_eq!((scenario.replicas("b"), scenario.replicas("x")), (1, 1));
}

#[test]
fn a_model_that_a_training_step_pins_is_not_unloaded_though_the_configuration_does_not_name_it() {
    let mut scenario = Scenario::new(&["a", "b"], &[&["a", "x"]]);
    let mut training = TrainingReservations::default();
    training.pinned.entry(scenario.servers[0].instance.clone()).or_default().insert("x".into());
    scenario.placer.set_training_reservations(training);
    scenario.run_demand(600, &[("b", 1)]);
    assert_eq!(scenario.orders.len(), 0);
}

/// Guards against the same for adapters.
#[test]
fn an_adapter_is_loaded_beside_a_model_that_the_configuration_does_not_name() {
    let mut scenario = Scenario::new(&["a"], &[&["a", "x"]]);
    scenario.servers[0].models[1].adapters = vec!["a1".into(), "a2".into()];
    report_demand(&mut scenario.demand, scenario.now, "a", "a1", 1, 1);
    (0..5).for_each(|_| scenario.run_pass());
    assert_eq!(scenario.servers[0].models.len(), 1);
    assert_eq!(scenario.servers[0].models[0].adapters, ["a1"]);
}

#[test]
fn an_adapter_beyond_the_configured_number_is_not_loaded_and_gives_way() {
    let mut scenario = Scenario::new(&["a"], &[&["a"]]);
    scenario.servers[0].models[0].adapters = vec!["a8".into(), "a77".into()];
    for _ in 0..3 {
        report_demand(&mut scenario.demand, scenario.now, "a", "a77", 9, 9);
        report_demand(&mut scenario.demand, scenario.now, "a", "a99", 9, 9);
        report_demand(&mut scenario.demand, scenario.now, "a", "a8", 1, 0);
        report_demand(&mut scenario.demand, scenario.now, "a", "a1", 1, 1);
        (0..3).for_each(|_| scenario.run_pass());
    }
    assert_eq!(scenario.servers[0].models[0].adapters, ["a8", "a1"]);
}

/// Placement orders nothing that is dropped before it is sent, whatever the servers hold and whichever models changes
/// add and take away ([`Scenario::apply_order`] checks each order).
#[test]
fn what_placement_orders_may_be_sent_while_models_come_and_go() {
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut loads = 0;
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut draw = |most: usize| -> Vec<&str> {
            let count = random.usize(1..=most);
            let mut drawn = names.to_vec();
            random.shuffle(&mut drawn);
            drawn.truncate(count);
            drawn
        };
        let loaded: Vec<Vec<&str>> = (0..3).map(|_| draw(3)).collect();
        let loaded: Vec<&[&str]> = loaded.iter().map(Vec::as_slice).collect();
        let mut scenario = Scenario::new(&draw(6), &loaded);
        for _ in 0..8 {
            let configured = draw(6);
            scenario.backends = backends(&configured);
            scenario.run_demand(1_000, &[(configured[0], 1), (draw(1)[0], 4)]);
            assert!(scenario.replicas(configured[0]) > 0, "seed {seed}: {} is never loaded", configured[0]);
        }
        loads += scenario.orders.len();
    }
    assert!(loads > 500, "{loads}");
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
