//! Tests of the cost of model servers: it counts the time of callers, and follows it without a step.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{Scenario, offer, server};
use pathbank_protocol::message::{ModelServer, ModelServerLoad};
use pathbank_router::dispatcher::Offer;
use pathbank_router::prompt::TokenCount;

/// The cost of each server beside its prefill, milliseconds, in the order of their names.
fn other_costs_ms(scenario: &Scenario, offer: &Offer) -> Vec<u32> {
    let mut options = scenario.dispatcher.admission_options(scenario.now, offer);
    options.sort_by(|one, other| one.instance.cmp(&other.instance));
    options.iter().map(|option| option.other_cost_ms).collect()
}

fn streams_at(instance: &str, in_flight: u32) -> ModelServerLoad {
    ModelServerLoad { instance: instance.into(), in_flight, ..ModelServerLoad::default() }
}

/// A server with 64 slots, 8 of them with streams of other edges.
fn server_with_streams() -> Scenario {
    let mut scenario = Scenario::new(vec![ModelServer { capacity: 64, ..server("i-1", &["a"]) }]);
    scenario.dispatcher.observe_total_loads(scenario.now, &[streams_at("i-1", 8)]);
    scenario
}

/// A stall of three quarters of the longest gap cost as much as four late requests, a shorter one nothing.
#[test]
fn the_cost_of_a_stall_grows_evenly_with_its_length() {
    let scenario = server_with_streams();
    // The prefill of 16 tokens takes a millisecond, as far as is known.
    let cost = |stall_ms: u64| {
        let prompt = Offer {
            tokens: TokenCount { input: 16 * stall_ms, output: 50 },
            target_gap_ms: 300,
            ..offer(1, "a", scenario.now)
        };
        other_costs_ms(&scenario, &prompt)[0]
    };
    let costs: Vec<u32> = (10..60).map(|step| cost(10 * step)).collect();
    assert!(costs.windows(2).all(|pair| pair[1] >= pair[0] && pair[1] - pair[0] <= 8 * 10), "{costs:?}");
    assert_eq!(cost(300), cost(100), "a gap that clients accept costs nothing");
    assert_eq!(cost(400) - cost(300), 8 * 100, "8 streams lose 100 ms each");
}

#[test]
fn the_latency_target_does_not_change_where_a_request_runs() {
    let mut scenario = Scenario::new(vec![
        server("i-1", &["a"]),
        ModelServer { zone: "there".into(), ..server("i-2", &["a"]) },
    ]);
    let failing = ModelServerLoad { error_permille: 100, ..streams_at("i-1", 0) };
    scenario.dispatcher.observe_total_loads(scenario.now, &[failing]);
    let costs = |target_latency_ms: u64| {
        other_costs_ms(&scenario, &Offer { target_latency_ms, ..offer(1, "a", scenario.now) })
    };
    assert_eq!(costs(100), costs(10_000));
}

#[test]
fn errors_cost_the_work_that_has_to_be_done_again() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let failing = ModelServerLoad { error_permille: 100, ..streams_at("i-1", 0) };
    scenario.dispatcher.observe_total_loads(scenario.now, &[failing]);
    let difference = |output: u64| {
        let costs = other_costs_ms(
            &scenario,
            &Offer { tokens: TokenCount { input: 1_000, output }, ..offer(1, "a", scenario.now) },
        );
        i64::from(costs[0]) - i64::from(costs[1])
    };
    // An output token takes 10 ms, as far as is known, and the prompt 62 ms. Ties are broken by 3 ms at most.
    assert!((difference(500) - 506).abs() <= 4, "{}", difference(500));
    assert!((difference(1_000) - 1_006).abs() <= 4, "{}", difference(1_000));
}
