//! Stories of placement: which model server is ordered to load or unload what.

use pathbank_control::configuration::{Backend, Model, Runtime};
use pathbank_control::demand::{DemandTable, ModelKey};
use pathbank_control::directory::CachedWeights;
use pathbank_control::order::OrderKind;
use pathbank_control::order::{Operation, Order};
use pathbank_control::placement::{Placer, TrainingReservations};
use pathbank_protocol::message::{EdgeReport, LoadedModel, ModelDemand, ModelServer, ModelServerState};

fn server(number: usize, models: &[&str]) -> ModelServer {
    let held = |name: &&str| LoadedModel { name: (*name).into(), version: 1, adapters: Vec::new() };
    ModelServer {
        instance: format!("i-{number}"),
        backend: "llm".into(),
        address: format!("10.0.0.{number}:80"),
        zone: "z".into(),
        version: "v1".into(),
        capacity: 64,
        state: ModelServerState::Ready,
        cold_remaining_ms: 0,
        remaining_ms: 0,
        models: models.iter().map(held).collect(),
        sequence: 1,
        busy: false,
    }
}

const SIZE: f64 = 70_000.0;
/// What a model server takes to read a request's prompt, and for how long the answer takes a slot,
/// milliseconds.
const READ_MS: u64 = 60;
const SHORT_READ_MS: u64 = 4;
const HELD_MS: u64 = 1_500;
/// Less than a load takes.
const OBJECTIVE_MS: u32 = 1_000;

fn backends(models: &[&str]) -> Vec<Backend> {
    let model = |name: &&str| Model {
        name: (*name).into(),
        weights_mb: SIZE,
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

fn ask(demand: &mut DemandTable, now: u64, model: &str, adapter: &str, arrived: u64, waiting: u32) {
    ask_to_read(demand, now, (model, adapter), (arrived, waiting), READ_MS);
}

/// Requests come whose prompts a model server reads in `prefill_ms` each.
fn ask_to_read(
    demand: &mut DemandTable,
    now: u64,
    (model, adapter): (&str, &str),
    (arrived, waiting): (u64, u32),
    prefill_ms: u64,
) {
    let demand_of_model = ModelDemand {
        backend: "llm".into(),
        model: model.into(),
        adapter: adapter.into(),
        arrived,
        tokens: 1_500 * arrived,
        waiting,
        prefill_ms: prefill_ms * arrived,
        slot_time_ms: HELD_MS * arrived,
        objective_ms: OBJECTIVE_MS,
    };
    let report = EdgeReport { edge: "edge".into(), demand: vec![demand_of_model], ..EdgeReport::default() };
    demand.record(now, &report);
}

/// Model servers that carry orders out at once.
struct Story {
    backends: Vec<Backend>,
    servers: Vec<ModelServer>,
    demand: DemandTable,
    placer: Placer,
    cached_weights: CachedWeights,
    now: u64,
    orders: Vec<(u64, Order)>,
    /// What a model server takes to read a request's prompt, milliseconds.
    prefill_ms: u64,
}

impl Story {
    fn given(models: &[&str], held: &[&[&str]]) -> Story {
        let servers: Vec<ModelServer> =
            held.iter().enumerate().map(|(number, held)| server(number, held)).collect();
        let mut cached_weights = CachedWeights::default();
        for server in &servers {
            let names = server.models.iter().map(|model| model.name.clone());
            cached_weights.insert(server.address.clone(), names.collect());
        }
        Story {
            backends: backends(models),
            servers,
            demand: DemandTable::default(),
            placer: Placer::new(),
            cached_weights,
            now: 100_000,
            orders: Vec::new(),
            prefill_ms: READ_MS,
        }
    }

    /// One look at placement; orders end before the next.
    fn look(&mut self) {
        self.now += 100;
        let orders =
            self.placer.plan(self.now, &self.backends, &self.servers, &self.demand, &self.cached_weights);
        for order in orders {
            self.carry_out(&order);
            self.placer.clear_order(&order.instance);
            self.orders.push((self.now, order));
        }
    }

    fn carry_out(&mut self, order: &Order) {
        let runtime = runtime(&self.backends).clone();
        let server = self.servers.iter_mut().find(|server| server.instance == order.instance).unwrap();
        match (order.operation, order.adapter.is_empty()) {
            (Operation::Load, whole) => {
                assert!(
                    order.fits(&runtime, &server.models),
                    "more than the model server has room for: {order:?}"
                );
                if whole {
                    let name = order.model.clone();
                    server.models.push(LoadedModel { name, version: 1, adapters: Vec::new() });
                } else {
                    let held = server.models.iter_mut().find(|held| held.name == order.model).unwrap();
                    held.adapters.push(order.adapter.clone());
                }
            }
            (Operation::Unload, true) => server.models.retain(|held| held.name != order.model),
            (Operation::Unload, false) => server
                .models
                .iter_mut()
                .for_each(|held| held.adapters.retain(|adapter| *adapter != order.adapter)),
        }
    }

    /// Clients ask steadily for so long: (model, requests in each tenth of a second).
    fn when_asked(&mut self, milliseconds: u64, rates: &[(&str, u64)]) {
        for _ in 0..milliseconds / 100 {
            for (model, arrived) in rates {
                let missing = u32::from(self.copies(model) == 0) * *arrived as u32;
                let (now, prefill_ms) = (self.now, self.prefill_ms);
                ask_to_read(&mut self.demand, now, (model, ""), (*arrived, missing), prefill_ms);
            }
            self.look();
        }
    }

    fn copies(&self, model: &str) -> usize {
        self.servers.iter().filter(|server| server.models.iter().any(|held| held.name == model)).count()
    }

    fn loads_between(&self, from: u64, to: u64) -> usize {
        let loads = self.orders.iter().filter(|(at, order)| {
            *at >= from && *at < to && order.operation == Operation::Load && order.adapter.is_empty()
        });
        loads.count()
    }
}

#[test]
fn a_model_that_no_server_holds_is_loaded_where_it_is_missed_least() {
    let mut story = Story::given(&["a", "b", "c", "d"], &[&["a", "b", "c"], &["a", "b"]]);
    story.when_asked(600, &[("d", 1)]);
    assert_eq!(story.copies("d"), 1);
    assert_eq!(story.servers[1].models.len(), 3, "there was room on the second one");
}

#[test]
fn room_is_made_by_what_nobody_asks_for_and_kept_for_the_model() {
    let mut story = Story::given(&["a", "b", "c", "d", "e"], &[&["a", "b", "c"]]);
    story.when_asked(10_000, &[("a", 2), ("b", 1)]);
    let before = story.now;
    story.when_asked(1_500, &[("a", 2), ("b", 1), ("d", 1)]);
    assert_eq!((story.copies("a"), story.copies("b"), story.copies("c"), story.copies("d")), (1, 1, 0, 1));
    assert_eq!(story.loads_between(before, u64::MAX), 1, "one load, and nothing turned back");
}

/// The model servers of a story take turns between two zones.
fn in_two_zones(mut story: Story) -> Story {
    for (number, server) in story.servers.iter_mut().enumerate() {
        server.zone = format!("z{}", number % 2);
    }
    story
}

fn zones_of(story: &Story, model: &str) -> usize {
    let holds = |server: &&ModelServer| server.models.iter().any(|held| held.name == model);
    let zones = story.servers.iter().filter(holds).map(|server| server.zone.clone());
    zones.collect::<std::collections::BTreeSet<_>>().len()
}

#[test]
fn a_model_that_is_asked_for_is_held_in_two_zones() {
    // Given a model whose part of all demand would fill no second model server.
    let held: &[&[&str]] =
        &[&["hot", "asked", "x"], &["hot", "y", "z"], &["hot", "x", "y"], &["hot", "z", "x"]];
    let mut story = in_two_zones(Story::given(&["hot", "asked", "x", "y", "z"], held));
    story.prefill_ms = SHORT_READ_MS;
    story.when_asked(8_000, &[("hot", 20), ("asked", 1)]);
    assert_eq!((story.copies("asked"), zones_of(&story, "asked")), (2, 2), "one zone may be lost");
}

#[test]
fn no_room_is_made_by_a_models_last_copy_outside_one_zone() {
    // Given full model servers, and a model with copies in two zones, more of them than its demand would
    // fill.
    let held: &[&[&str]] = &[&["hot", "cool", "asked"], &["hot", "cool", "asked"], &["hot", "cool", "asked"]];
    let mut story = in_two_zones(Story::given(&["hot", "cool", "asked", "new"], held));
    story.when_asked(8_000, &[("hot", 30), ("cool", 30), ("asked", 1)]);
    // When only the model server in the second zone takes orders, and another model is missing, then its copy
    // there stays.
    (story.servers[0].busy, story.servers[2].busy) = (true, true);
    story.when_asked(3_000, &[("hot", 30), ("cool", 30), ("asked", 1), ("new", 1)]);
    assert_eq!(zones_of(&story, "asked"), 2);
    // And one of the others makes room, once its model server takes orders.
    story.servers[0].busy = false;
    story.when_asked(3_000, &[("hot", 30), ("cool", 30), ("asked", 1), ("new", 1)]);
    assert_eq!((story.copies("new"), zones_of(&story, "asked")), (1, 2));
}

#[test]
fn a_rising_model_gets_copies_by_its_share_of_the_demand() {
    let mut story = Story::given(
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
    story.when_asked(10_000, &[("hot", 3)]);
    story.when_asked(6_000, &[("rising", 3)]);
    assert!(story.copies("rising") >= 5, "{} copies", story.copies("rising"));
}

#[test]
fn one_look_does_not_take_every_copy_of_a_model_away() {
    let held: Vec<&[&str]> = vec![&["a", "b", "c"]; 6];
    let mut story = Story::given(&["a", "b", "c", "d", "e", "f"], &held);
    story.when_asked(10_000, &[("a", 1), ("b", 1), ("c", 1)]);
    story.when_asked(200, &[("a", 1), ("b", 1), ("c", 1), ("d", 4), ("e", 4), ("f", 4)]);
    ["a", "b", "c"].iter().for_each(|model| assert!(story.copies(model) >= 1, "{model}"));
}

/// Models whose only copy was on a model server that failed every request were lost with it: the leader told
/// heads to avoid the model server, and counted its copy as one that serves.
#[test]
fn a_model_whose_only_copy_is_on_a_failing_server_is_loaded_elsewhere() {
    let failing = [("i-0".to_owned(), 0.9)].into();
    let mut story = Story::given(&["a", "b", "c"], &[&["a"], &["b"], &["b"]]);
    story.prefill_ms = SHORT_READ_MS;
    story.when_asked(3_000, &[("a", 1), ("b", 1)]);
    assert_eq!(story.copies("a"), 1, "while the model server serves");
    story.placer.set_failing(&failing);
    story.when_asked(3_000, &[("a", 1), ("b", 1), ("c", 1)]);
    assert_eq!(story.copies("a"), 2);
    assert_eq!(story.servers[0].models.len(), 1, "nothing is loaded on a model server that fails");
    // And one that fails now and then serves.
    let mut story = Story::given(&["a", "b"], &[&["a"], &["b"]]);
    story.placer.set_failing(&[("i-0".to_owned(), 0.3)].into());
    story.prefill_ms = SHORT_READ_MS;
    story.when_asked(3_000, &[("a", 1), ("b", 1)]);
    assert_eq!(story.copies("a"), 1);
}

#[test]
fn what_stands_at_the_start_stays_while_demand_is_not_known() {
    let mut story = Story::given(
        &["hot", "x", "y", "new"],
        &[&["hot", "x", "y"], &["hot", "x", "y"], &["hot", "x", "y"]],
    );
    story.when_asked(300, &[("x", 1)]);
    assert!(story.orders.is_empty(), "{:?}", story.orders);
    assert_eq!(story.copies("hot"), 3);
}

#[test]
fn loads_keep_to_what_the_store_permits_in_any_window() {
    let names: Vec<String> = (0..60).map(|number| format!("m{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let held: Vec<&[&str]> = vec![&[]; 20];
    let mut story = Story::given(&names, &held);
    for round in 0..200_usize {
        let wanted: Vec<(&str, u64)> = (0..10).map(|at| (names[(round * 3 + at) % 60], 1)).collect();
        story.when_asked(100, &wanted);
    }
    let (window, permitted) = (5_000, 4.0 * 5.0 * 1.1 + 3.0);
    for (at, _) in &story.orders {
        let loads = story.loads_between(*at, at + window);
        assert!(loads as f64 <= permitted, "{loads} loads within {window} ms of {at}");
    }
    assert!(story.orders.len() > 40);
}

#[test]
fn an_adapter_is_loaded_where_its_model_is_and_the_idle_one_makes_room() {
    let mut story = Story::given(&["a", "b"], &[&["a"]]);
    for adapter in ["a1", "a2"] {
        ask(&mut story.demand, story.now, "a", adapter, 1, 1);
        (0..5).for_each(|_| story.look());
    }
    assert_eq!(story.servers[0].models[0].adapters, ["a1", "a2"]);
    story.now += 20_000;
    (0..3).for_each(|_| ask(&mut story.demand, story.now, "a", "a2", 3, 0));
    ask(&mut story.demand, story.now, "a", "a3", 2, 2);
    (0..5).for_each(|_| story.look());
    assert_eq!(story.servers[0].models[0].adapters, ["a2", "a3"]);
}

#[test]
fn a_server_whose_report_is_fuller_than_the_list_takes_no_load() {
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
    assert!(order.fits(runtime(&backends), &server(1, &["a", "b"]).models));
    assert!(!order.fits(runtime(&backends), &server(1, &["a", "b", "c"]).models));
    assert!(!order.fits(runtime(&backends), &server(1, &["unknown"]).models), "its size cannot be told");
}

#[test]
fn demand_fades_and_word_of_waiting_counts_for_a_while() {
    let mut demand = DemandTable::default();
    let key = ModelKey { backend: "llm".into(), model: "m".into(), adapter: String::new() };
    (0..40).for_each(|tenth| ask(&mut demand, tenth * 100, "m", "", 1, 0));
    let rate = demand.requests_per_s(4_000, &key);
    assert!(rate > 5.0 && rate <= 10.0, "{rate}");
    assert!(demand.requests_per_s(20_000, &key) < 0.3);
    ask(&mut demand, 20_000, "m", "", 1, 3);
    assert!(demand.waiting(20_500, &key) > 0.0);
    assert_eq!(demand.waiting(25_000, &key), 0.0);
}

// ---- placement around training steps ----

#[test]
fn a_server_that_changes_versions_gets_no_order_and_counts_as_a_copy() {
    // Given a model server that is full and one with room, when the first one's model is asked for often,
    let given = || Story::given(&["a", "b", "c", "d"], &[&["b", "c", "d"], &[]]);
    let mut free = given();
    free.when_asked(3_000, &[("b", 1)]);
    assert!(free.orders.iter().any(|(_, order)| order.instance == "i-1"), "the one with room loads it too");
    // then nothing is ordered there while it changes versions,
    let mut held = given();
    let changing_version = [("i-1".to_owned(), "a".to_owned())].into();
    held.placer.set_training_reservations(TrainingReservations {
        changing_version,
        ..TrainingReservations::default()
    });
    held.when_asked(3_000, &[("b", 1)]);
    assert!(held.orders.iter().all(|(_, order)| order.instance != "i-1"), "{:?}", held.orders);
    // and the model that it will hold again is loaded nowhere else for the little that is asked of it.
    let asked = |holds: bool| {
        let mut story = Story::given(&["a", "b"], &[&["b"], &["b"]]);
        let changing_version = holds.then(|| ("i-1".to_owned(), "a".to_owned())).into_iter().collect();
        story.placer.set_training_reservations(TrainingReservations {
            changing_version,
            ..TrainingReservations::default()
        });
        story.prefill_ms = SHORT_READ_MS;
        story.when_asked(1_000, &[("a", 1), ("b", 20)]);
        story.copies("a")
    };
    assert_eq!((asked(false), asked(true)), (1, 0));
}

#[test]
fn a_model_that_draws_for_a_step_makes_room_for_nothing() {
    // Given a model server full of models that nobody asks for, one of which draws for a step,
    let mut story = Story::given(&["a", "b", "c", "d"], &[&["a", "b", "c"]]);
    let pinned = [("i-0".to_owned(), ["a".to_owned()].into())].into();
    story
        .placer
        .set_training_reservations(TrainingReservations { pinned, ..TrainingReservations::default() });
    // when another model is asked for, then one of the others goes for it.
    story.when_asked(3_000, &[("d", 4)]);
    assert_eq!((story.copies("a"), story.copies("d")), (1, 1), "{:?}", story.orders);
}

#[test]
fn loads_of_steps_and_of_placement_share_the_services_loads() {
    let mut placer = Placer::new();
    let taken = (0..10_000).step_by(50).filter(|now| placer.try_take_training_load(*now, "llm", 2.0)).count();
    assert!((18..=22).contains(&taken), "two a second: {taken}");
}

#[test]
fn a_step_loads_nothing_while_placement_has_used_the_stores_loads() {
    // Given a store whose loads placement has just taken for models that clients wait for,
    let mut story = Story::given(&["a", "b", "c", "d", "e"], &[&["a"], &[], &[], &[], &[]]);
    let rest = [("b", 3), ("c", 3), ("d", 3), ("e", 3)];
    story.when_asked(1_000, &rest);
    assert!(story.loads_between(0, u64::MAX) >= 2, "{:?}", story.orders);
    // then a step's load waits, and may begin once the store permits one more.
    assert!(!story.placer.try_take_training_load(story.now, "llm", 4.0));
    assert!(story.placer.try_take_training_load(story.now + 1_000, "llm", 4.0));
}
