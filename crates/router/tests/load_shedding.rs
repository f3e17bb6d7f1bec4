//! Tests of load shedding: what can be served in the time that a client has left waits, and what cannot is
//! rejected at once.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{Scenario, expected, offer, rejected, sent, server};
use pathbank_control::result_code::ResultCode;
use pathbank_protocol::message::ModelServer;
use pathbank_router::dispatcher::{Action, Offer};
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::prompt::TokenCount;
use test_case::test_case;

/// A model server with 2 slots whose answers take `slot_time_ms` each, both slots taken: one now, one for half
/// of an answer.
fn full_server(slot_time_ms: u64) -> Scenario {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    for id in 1..=20 {
        scenario.request(id, "a");
        scenario.now += slot_time_ms;
        scenario.finish(id, AttemptOutcome::Answered);
    }
    assert_eq!(sent(&scenario.request(21, "a")).len(), 1);
    scenario.now += slot_time_ms / 2;
    assert_eq!(sent(&scenario.request(22, "a")).len(), 1);
    scenario
}

/// A request whose client waits for `time_left_ms`.
fn offer_with(id: u64, now: u64, time_left_ms: u64) -> Offer {
    Offer { deadline: now + time_left_ms, abandon_at: now + time_left_ms, ..offer(id, "a", now) }
}

fn take(scenario: &mut Scenario, offer: Offer) -> Vec<Action> {
    scenario.dispatcher.offer(scenario.now, offer, true)
}

/// Requests that were late for their latency target were rejected within a quarter of it, although a slot was
/// due long before their clients' deadlines.
#[test_case(100; "a short latency target")]
#[test_case(1_000; "as long as an answer takes")]
#[test_case(10_000; "as long as the client waits")]
fn a_request_waits_for_a_slot_whatever_its_latency_target(target_latency_ms: u64) {
    let mut scenario = full_server(1_000);
    let waiting = Offer { target_latency_ms, ..offer_with(30, scenario.now, 8_000) };
    assert_eq!(take(&mut scenario, waiting), []);
    assert_eq!(scenario.advance(4_000), [], "a slot is due and the client has time for the answer");
    assert_eq!(sent(&scenario.finish(21, AttemptOutcome::Answered)), [(30, "i-1".into())]);
}

/// Some requests waited until 8 in 100 of their time were left, and were rejected when no other model server
/// could serve them any more.
#[test]
fn what_cannot_be_served_in_time_is_told_on_arrival() {
    let mut scenario = full_server(1_000);
    let now = scenario.now;
    assert_eq!(rejected(&take(&mut scenario, offer_with(30, now, 1_200))).len(), 1);
}

/// A slot was expected an answer's time from now however long the request in it had run, and who waited for it
/// was refused shortly before it became free.
#[test]
fn a_slot_is_due_when_the_request_in_it_should_end() {
    let mut scenario = full_server(1_000);
    let waiting = Offer { abandon_at: scenario.now + 1_000, ..offer_with(30, scenario.now, 8_000) };
    assert_eq!(take(&mut scenario, waiting), []);
    assert_eq!(scenario.advance(480), [], "the first slot is due 0.5 s after the request");
    assert_eq!(sent(&scenario.finish(21, AttemptOutcome::Answered)), [(30, "i-1".into())]);
}

#[test]
fn a_queue_grows_no_longer_than_its_clients_wait() {
    let mut scenario = full_server(1_000);
    let now = scenario.now;
    // Two slots serve two requests a second: the last of six begins after 3 s and takes one.
    let decisions: Vec<usize> =
        (30..40).map(|id| rejected(&take(&mut scenario, offer_with(id, now, 4_300))).len()).collect();
    assert_eq!(decisions, [0, 0, 0, 0, 0, 0, 1, 1, 1, 1]);
    assert_eq!(take(&mut scenario, offer_with(50, now, 5_000)), [], "this client has time for one more turn");
}

#[test]
fn the_longest_wait_grows_evenly_with_the_time_left() {
    // The queue that requests join grows by half a second with each request.
    let admitted = |time_left_ms: u64| {
        let mut scenario = full_server(1_000);
        let now = scenario.now;
        (30..90).take_while(|id| take(&mut scenario, offer_with(*id, now, time_left_ms)).is_empty()).count()
    };
    let lengths: Vec<usize> = (1..=20).map(|half_seconds| admitted(500 * half_seconds)).collect();
    assert_eq!(lengths[..2], [0, 0], "an answer takes a second");
    assert!(lengths.windows(2).all(|pair| pair[1] == pair[0] || pair[1] == pair[0] + 1), "{lengths:?}");
    assert!(lengths[19] >= 16, "10 s are enough for 18 turns of half a second and an answer: {lengths:?}");
}

#[test]
fn a_request_moves_to_a_free_slot_before_it_would_be_rejected() {
    let mut scenario = full_server(1_000);
    let now = scenario.now;
    let far = ModelServer { zone: "there".into(), ..server("i-2", &["a"]) };
    scenario.update_servers(vec![server("i-1", &["a"]), far]);
    // Its parts are cached at the server without a slot, which makes that one the cheapest by far.
    let sent_to: Vec<(u64, String)> =
        (30..32).flat_map(|id| sent(&take(&mut scenario, offer_with(id, now, 1_100)))).collect();
    assert_eq!(sent_to, [(30, "i-2".into()), (31, "i-2".into())]);
}

/// A client's second try was told apart by its shorter deadline. It was held until little time remained,
/// where a first try was rejected early.
#[test]
fn a_repeat_is_treated_as_a_first_try_with_the_same_time_left() {
    let outcome = |time_left_ms: u64, attempts_before: u64| {
        let mut scenario = full_server(1_000);
        // The client was refused before: each of its tries is a request of its own, with less time left.
        for id in 0..attempts_before {
            let hopeless = offer_with(40 + id, scenario.now, 100);
            take(&mut scenario, hopeless);
        }
        let now = scenario.now;
        let mut actions = take(&mut scenario, offer_with(30, now, time_left_ms));
        actions.extend(scenario.advance(10_000));
        rejected(&actions)
    };
    for time_left_ms in [500, 1_000, 2_000, 4_000, 8_000] {
        assert_eq!(outcome(time_left_ms, 0), outcome(time_left_ms, 2), "{time_left_ms} ms left");
    }
}

#[test]
fn retry_after_is_when_a_slot_is_due() {
    let mut scenario = full_server(1_000);
    let now = scenario.now;
    (30..36).for_each(|id| drop(take(&mut scenario, offer_with(id, now, 20_000))));
    // The seventh in the queue of two slots; its answer has to begin within a second.
    let hasty = Offer { abandon_at: now + 1_000, ..offer_with(40, now, 20_000) };
    let rejections = rejected(&take(&mut scenario, hasty));
    assert_eq!(rejections.len(), 1);
    let (_, code, retry_after) = rejections[0];
    assert_eq!(code, ResultCode::Overloaded);
    assert!((3_400..=3_700).contains(&retry_after), "{retry_after}");
}

#[test]
fn retry_after_is_no_longer_than_clients_wait() {
    let mut scenario = full_server(3_000);
    let now = scenario.now;
    let rejections = rejected(&take(&mut scenario, offer_with(30, now, 1_500)));
    assert_eq!(rejections, [(30, ResultCode::Overloaded, 500)], "a third of the time that the client has");
}

/// A request that every server with its model had refused was held to its end, for a model that was "resident
/// nowhere".
#[test]
fn a_request_that_every_server_had_is_told_at_once_when_a_slot_is_due() {
    let mut scenario = full_server(1_000);
    let tried = Offer { excluded: ["i-1".to_owned()].into(), ..offer_with(30, scenario.now, 8_000) };
    let rejections = rejected(&scenario.dispatcher.offer(scenario.now, tried, false));
    assert_eq!(rejections.len(), 1);
    let (_, code, retry_after) = rejections[0];
    assert_eq!(code, ResultCode::Overloaded);
    assert!((400..=600).contains(&retry_after), "{retry_after}");
}

// ---- models that are resident nowhere ----

fn absent_model() -> Scenario {
    Scenario::new(vec![server("i-1", &["b"])])
}

#[test]
fn a_request_waits_for_a_load_that_ends_in_time() {
    let mut scenario = absent_model();
    scenario.request(1, "a");
    scenario.dispatcher.set_expected_models(scenario.now, expected("a", 6_000));
    assert_eq!(scenario.advance(6_000), [], "six times the latency target, but within the deadline");
    let loaded = ModelServer { sequence: 2, ..server("i-1", &["a", "b"]) };
    assert_eq!(sent(&scenario.update_servers(vec![loaded])).len(), 1);
}

/// Clients disconnect from a stream without events. Requests for a model that was being loaded used to wait
/// until their clients had disconnected, without use to anyone.
#[test]
fn a_request_that_would_be_abandoned_before_the_load_is_rejected_on_arrival() {
    let mut scenario = absent_model();
    scenario.dispatcher.set_expected_models(scenario.now, expected("a", 3_000));
    let stream = Offer { abandon_at: scenario.now + 2_000, ..offer(1, "a", scenario.now) };
    let rejections = rejected(&take(&mut scenario, stream));
    assert_eq!(
        rejections,
        [(1, ResultCode::NoModelServer, 3_060)],
        "the end of the load, as the leader told"
    );
    assert!(scenario.dispatcher.take_urgent_demand(), "the model is loaded all the same");
}

/// A client that came back as it had been told was told the whole load once more, and had no further try.
#[test]
fn a_client_that_comes_back_as_told_waits_for_the_rest_of_the_load() {
    let mut scenario = absent_model();
    let stream = |id: u64, now: u64| Offer { abandon_at: now + 1_000, ..offer(id, "a", now) };
    let first = stream(1, scenario.now);
    let rejections = rejected(&take(&mut scenario, first));
    let (_, code, retry_after) = rejections[0];
    assert_eq!(code, ResultCode::NoModelServer);
    assert!((1_199..=1_200).contains(&retry_after), "the load and what comes before it: {retry_after}");
    scenario.now += 1_200;
    let second = stream(2, scenario.now);
    assert_eq!(take(&mut scenario, second), []);
    scenario.advance(200);
    let loaded = ModelServer { sequence: 2, ..server("i-1", &["a", "b"]) };
    assert_eq!(sent(&scenario.update_servers(vec![loaded])).len(), 1);
}

#[test]
fn a_load_that_is_reported_too_long_rejects_who_waits_for_it() {
    let mut scenario = absent_model();
    scenario.request(1, "a");
    scenario.dispatcher.set_expected_models(scenario.now, expected("a", 20_000));
    assert_eq!(rejected(&scenario.advance(20)).len(), 1);
}

#[test]
fn a_backend_without_servers_is_waited_for_as_long_as_a_server_is_silent() {
    let mut scenario = Scenario::new(Vec::new());
    assert_eq!(scenario.request(1, "a"), []);
    assert_eq!(scenario.advance(900), [], "a model server that runs sends its heartbeat");
    assert_eq!(rejected(&scenario.advance(100)), [(1, ResultCode::NoModelServer, 1_000)]);
    assert_eq!(rejected(&scenario.request(2, "a")).len(), 1, "the next ones are told at once");
    scenario.update_servers(vec![server("i-1", &["a"])]);
    assert_eq!(sent(&scenario.request(3, "a")).len(), 1);
}

/// A load that never ended was expected within 400 ms at any time, so that requests were held to the end.
#[test]
fn a_load_that_does_not_end_is_given_up_when_it_is_as_late_as_time_remains() {
    let mut scenario = absent_model();
    scenario.request(1, "a");
    scenario.dispatcher.set_expected_models(scenario.now, expected("a", 1_000));
    assert_eq!(scenario.advance(3_000), []);
    // The client waits for 10 s: 5.5 s after its request the load is late by nearly as much as it has left.
    assert_eq!(rejected(&scenario.advance(3_500)).len(), 1);
}

// ---- reserved slots ----

fn offer_of(id: u64, now: u64, urgency: u8) -> Offer {
    Offer { urgency, ..offer(id, "a", now) }
}

fn with_capacity(capacity: u32) -> Scenario {
    Scenario::new(vec![ModelServer { capacity, ..server("i-1", &["a"]) }])
}

/// A model server with one slot got no requests but the most urgent ones.
#[test_case(1)]
#[test_case(4)]
fn a_server_with_few_slots_takes_requests_of_any_urgency(capacity: u32) {
    let mut scenario = with_capacity(capacity);
    let now = scenario.now;
    take(&mut scenario, offer_of(90, now, 0));
    scenario.finish(90, AttemptOutcome::Answered);
    for id in 0..u64::from(capacity) {
        assert_eq!(sent(&take(&mut scenario, offer_of(id, now, 99))).len(), 1);
    }
}

#[test]
fn all_slots_are_open_while_nothing_more_urgent_comes() {
    let mut scenario = with_capacity(25);
    let now = scenario.now;
    let sent_at_once = |scenario: &mut Scenario, ids: std::ops::Range<u64>| {
        ids.map(|id| sent(&take(scenario, offer_of(id, now, 20))).len()).sum::<usize>()
    };
    assert_eq!(sent_at_once(&mut scenario, 0..25), 25);
}

#[test]
fn the_last_slots_are_kept_while_more_urgent_requests_come() {
    let mut scenario = with_capacity(25);
    let now = scenario.now;
    take(&mut scenario, offer_of(90, now, 0));
    let sent_at_once: usize = (0..25).map(|id| sent(&take(&mut scenario, offer_of(id, now, 20))).len()).sum();
    assert_eq!(sent_at_once, 21, "three of the 24 free slots are kept");
    assert_eq!(sent(&take(&mut scenario, offer_of(91, now, 0))).len(), 1);
    // An answer takes 1.5 s, as far as is known; after that no other urgent request is expected.
    assert_eq!(sent(&scenario.advance(1_600)).len(), 2);
}

/// A request that only reserved slots could have served counted one of them as free, and was held to its end.
#[test]
fn a_reserved_slot_is_not_expected_by_a_less_urgent_request() {
    let mut scenario = with_capacity(25);
    let now = scenario.now;
    take(&mut scenario, offer_of(90, now, 0));
    scenario.finish(90, AttemptOutcome::Answered);
    scenario.dispatcher.observe_load(now, "i-1", 24, 0);
    // An answer takes 0.56 s and a slot is due in 1.5 s, as far as is known.
    let with_time = |id: u64, time_left_ms: u64| Offer { urgency: 20, ..offer_with(id, now, time_left_ms) };
    assert_eq!(rejected(&take(&mut scenario, with_time(1, 1_900))).len(), 1, "told on arrival");
    assert_eq!(take(&mut scenario, with_time(2, 2_300)), [], "this client has time for a slot that is due");
    assert_eq!(sent(&take(&mut scenario, offer_of(91, now, 0))).len(), 1, "the most urgent one gets it");
}

// ---- the work left, by the tokens that clients announce ----

#[test]
fn the_work_left_grows_evenly_with_the_announced_answer() {
    let scenario = full_server(1_000);
    let now = scenario.now;
    let latest_start = |output: u64| {
        let offer = Offer { tokens: TokenCount { input: 1_000, output }, ..offer_with(30, now, 60_000) };
        scenario.dispatcher.latest_start(now, &offer) as i64
    };
    // Answers of 50 tokens took a second.
    let each = latest_start(100) - latest_start(200);
    assert!((1_500..=2_000).contains(&each), "{each}");
    for output_tokens in (100..1_000).step_by(100) {
        let difference = latest_start(output_tokens) - latest_start(output_tokens + 100);
        assert!((difference - each).abs() <= 2, "{difference} beside {each} at {output_tokens} tokens");
    }
}
