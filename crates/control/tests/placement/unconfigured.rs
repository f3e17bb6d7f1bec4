//! Models and adapters that model servers hold and the configuration does not name any more.

use crate::scenario::{Scenario, backends, report_demand};
use pathbank_control::placement::TrainingReservations;
use test_case::test_case;

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
