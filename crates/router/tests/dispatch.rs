//! Tests of the dispatcher of one edge.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{Scenario, offer, rejected, sent, server};
use pathbank_control::result_code::ResultCode;
use pathbank_protocol::message::{LoadedModel, ModelServer, ModelServerLoad, ModelServerState};
use pathbank_router::dispatcher::Offer;
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::prompt::{PromptPart, TokenCount};
use std::collections::BTreeSet;
use test_case::test_case;

#[test]
fn sends_a_request_to_a_server_with_its_model() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["b"])]);
    assert_eq!(sent(&scenario.request(1, "b")), [(1, "i-2".into())]);
    assert_eq!(sent(&scenario.request(2, "a/a1")), [(2, "i-1".into())]);
    assert_eq!(scenario.request(3, "a/a9"), [], "no model server holds that adapter");
}

#[test]
fn requests_in_flight_do_not_exceed_the_slots_of_a_server() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    let first: Vec<_> = (1..=4).flat_map(|id| sent(&scenario.request(id, "a"))).collect();
    assert_eq!(first.len(), 2);
    assert_eq!(sent(&scenario.finish(1, AttemptOutcome::Answered)), [(3, "i-1".into())]);
    assert_eq!(sent(&scenario.finish(2, AttemptOutcome::Answered)), [(4, "i-1".into())]);
}

#[test]
fn slots_in_use_by_other_edges_are_not_used() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    scenario.request(1, "a");
    scenario.dispatcher.observe_load(scenario.now, "i-1", 2, 0);
    assert!(sent(&scenario.request(2, "a")).is_empty());
    assert!(sent(&scenario.advance(400)).is_empty(), "the load report counts for a while");
}

#[test]
fn a_freed_slot_takes_the_longest_queue() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a", "b"])]);
    [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b")]
        .iter()
        .for_each(|(id, model)| drop(scenario.request(*id, model)));
    assert_eq!(sent(&scenario.finish(1, AttemptOutcome::Answered)), [(4, "i-1".into())]);
}

#[test]
fn the_next_prompt_avoids_a_server_with_a_prefill_backlog() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let first = sent(&scenario.request(1, "a"))[0].1.clone();
    let second = sent(&scenario.request(2, "a"))[0].1.clone();
    assert_ne!(first, second);
}

#[test]
fn a_prompt_goes_to_the_server_with_its_prefix_cached() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let mut shared = offer(1, "a", scenario.now);
    shared.parts = vec![PromptPart { id: 7, tokens: 900 }];
    let assigned = sent(&scenario.dispatcher.offer(scenario.now, shared.clone(), true))[0].1.clone();
    scenario.finish(1, AttemptOutcome::Answered);
    for id in 2..12 {
        shared.id = id;
        assert_eq!(sent(&scenario.dispatcher.offer(scenario.now, shared.clone(), true))[0].1, assigned);
        scenario.finish(id, AttemptOutcome::Answered);
    }
}

#[test_case(ModelServerState::Draining; "draining")]
#[test_case(ModelServerState::Removed; "removed")]
fn a_closed_server_gets_no_request_and_its_queue_moves(state: ModelServerState) {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    (1..=3).for_each(|id| drop(scenario.request(id, "a")));
    let leaving = ModelServer { state, sequence: 2, ..server("i-1", &["a"]) };
    assert!(sent(&scenario.update_servers(vec![leaving])).is_empty());
    assert!(sent(&scenario.finish(1, AttemptOutcome::Answered)).is_empty());
    assert_eq!(sent(&scenario.update_servers(vec![server("i-2", &["a"])])), [(3, "i-2".into())]);
    assert!(
        sent(&scenario.update_servers(vec![server("i-1", &["a"])])).is_empty(),
        "an outdated report changes nothing"
    );
}

#[test]
fn a_request_for_an_absent_model_is_reported_and_sent_once_loaded() {
    let mut scenario = Scenario::new(vec![server("i-1", &["b"])]);
    scenario.request(1, "a");
    assert!(scenario.dispatcher.take_urgent_demand());
    let (demand, _) = scenario.dispatcher.take_report();
    assert_eq!((demand[0].model.as_str(), demand[0].arrived, demand[0].waiting), ("a", 1, 1));
    scenario.advance(100);
    assert!(!scenario.dispatcher.take_urgent_demand());
    let (demand, _) = scenario.dispatcher.take_report();
    assert_eq!((demand[0].arrived, demand[0].waiting), (0, 1), "no new demand, but the request still waits");
    let loaded = ModelServer { sequence: 2, ..server("i-1", &["a", "b"]) };
    assert_eq!(sent(&scenario.update_servers(vec![loaded])), [(1, "i-1".into())]);
}

#[test]
fn shutdown_rejects_requests_that_were_not_sent() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    (1..=3).for_each(|id| drop(scenario.request(id, "a")));
    scenario.request(4, "nowhere");
    let rejections = rejected(&scenario.dispatcher.reject_queued(scenario.now, 50));
    assert_eq!(rejections, [(3, ResultCode::Stopping, 50), (4, ResultCode::Stopping, 50)]);
    assert_eq!(scenario.dispatcher.pending_requests(), 2);
}

#[test]
fn an_unreachable_server_is_ejected_and_used_again() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    for id in 1..=2 {
        assert_eq!(sent(&scenario.request(id, "a")).len(), 1);
        scenario.finish(id, AttemptOutcome::Failed);
    }
    assert!(sent(&scenario.request(3, "a")).is_empty(), "the server is ejected after two failures in a row");
    scenario.now += 160;
    assert!(
        sent(&scenario.dispatcher.tick(scenario.now)).is_empty(),
        "the ejection takes longer than 160 ms"
    );
    // The ejection takes 250 ms, longer or shorter by up to three tenths at each edge.
    scenario.now += 170;
    assert_eq!(sent(&scenario.dispatcher.tick(scenario.now)).len(), 1, "the ejection has ended");
}

#[test]
fn requests_for_a_model_avoid_a_server_that_does_not_hold_it() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let first = sent(&scenario.request(1, "a"))[0].1.clone();
    scenario.finish(1, AttemptOutcome::Misdirected);
    for id in 2..6 {
        assert_ne!(sent(&scenario.request(id, "a"))[0].1, first);
        scenario.finish(id, AttemptOutcome::Answered);
    }
}

#[test]
fn a_retry_goes_to_another_server() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let retry = Offer { excluded: ["i-1".to_owned()].into(), ..offer(1, "a", scenario.now) };
    assert_eq!(sent(&scenario.dispatcher.offer(scenario.now, retry, false)), [(1, "i-2".into())]);
    assert!(scenario.dispatcher.take_report().0.is_empty(), "a retry is not new demand");
}

#[test]
fn a_disconnected_client_cancels_its_request() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    (1..=4).for_each(|id| drop(scenario.request(id, "a")));
    scenario.finish(3, AttemptOutcome::Abandoned);
    assert_eq!(sent(&scenario.finish(1, AttemptOutcome::Answered)), [(4, "i-1".into())]);
}

#[test]
fn a_timed_out_server_returns_with_the_same_sequence() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    scenario.update_servers(vec![ModelServer { state: ModelServerState::Removed, ..server("i-1", &["a"]) }]);
    assert!(sent(&scenario.request(1, "a")).is_empty());
    assert_eq!(sent(&scenario.update_servers(vec![server("i-1", &["a"])])), [(1, "i-1".into())]);
    scenario.update_servers(vec![ModelServer {
        state: ModelServerState::Removed,
        sequence: 2,
        ..server("i-1", &["a"])
    }]);
    scenario.update_servers(vec![server("i-1", &["a"])]);
    assert!(sent(&scenario.request(2, "a")).is_empty(), "a server that announced its end does not return");
}

#[test]
fn an_unlisted_server_is_removed_after_the_retention() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    scenario.update_servers(Vec::new());
    scenario.advance(9_000);
    assert_eq!(
        sent(&scenario.request(1, "a")).len(),
        1,
        "a core that has just started knows few model servers"
    );
    scenario.finish(1, AttemptOutcome::Answered);
    scenario.advance(1_100);
    assert!(sent(&scenario.request(2, "a")).is_empty());
}

#[test]
fn a_new_incarnation_at_an_address_displaces_the_old_one() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    (1..=3).for_each(|id| drop(scenario.request(id, "a")));
    let address = server("i-1", &[]).address;
    scenario.update_servers(vec![ModelServer { address, ..server("i-next", &[]) }]);
    assert!(
        sent(&scenario.finish(1, AttemptOutcome::Failed)).is_empty(),
        "the displaced incarnation gets no requests"
    );
    scenario.update_servers(vec![server("i-1", &["a"])]);
    assert!(sent(&scenario.request(4, "a")).is_empty(), "a late report does not bring it back");
}

#[test]
fn a_server_is_ejected_after_repeated_misdirected_requests() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a", "b", "c", "d"])]);
    for (id, model) in [(1, "a"), (2, "b"), (3, "c")] {
        assert_eq!(sent(&scenario.request(id, model)).len(), 1);
        scenario.finish(id, AttemptOutcome::Misdirected);
    }
    assert!(sent(&scenario.request(4, "d")).is_empty());
}

#[test]
fn a_server_with_errors_is_avoided_and_used_again_later() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let (mut id, mut at_failing) = (0, 0);
    let mut round = |scenario: &mut Scenario, requests: u64| {
        at_failing = 0;
        for _ in 0..requests {
            id += 1;
            let at = sent(&scenario.request(id, "a"))[0].1.clone();
            let is_failing = at == "i-1";
            at_failing += u64::from(is_failing);
            scenario.finish(
                id,
                if is_failing && id % 2 == 0 {
                    AttemptOutcome::ServerError
                } else {
                    AttemptOutcome::Answered
                },
            );
            scenario.advance(20);
        }
        at_failing
    };
    round(&mut scenario, 100);
    assert!(round(&mut scenario, 100) <= 20, "most requests go to the other server");
    scenario.advance(30_000);
    let other_is_busy = ModelServer { capacity: 1, sequence: 2, ..server("i-2", &["a"]) };
    scenario.update_servers(vec![other_is_busy]);
    scenario.dispatcher.observe_load(scenario.now, "i-2", 1, 0);
    assert_eq!(sent(&scenario.request(900, "a"))[0].1, "i-1", "the server is never excluded");
}

#[test]
fn requests_are_sent_even_if_all_servers_of_a_backend_fail() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    for id in 1..40 {
        assert_eq!(sent(&scenario.request(id, "a")).len(), 1);
        scenario.finish(id, AttemptOutcome::ServerError);
    }
}

// ---- grants: the leader chooses the model server ----

fn granted(id: u64, instance: &str, now: u64) -> Offer {
    Offer { granted: Some(instance.into()), ..offer(id, "a", now) }
}

#[test]
fn a_request_goes_to_the_granted_server() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let now = scenario.now;
    for (id, instance) in [(1, "i-1"), (2, "i-2"), (3, "i-1")] {
        let actions = scenario.dispatcher.offer(now, granted(id, instance, now), true);
        assert_eq!(sent(&actions), [(id, instance.to_owned())]);
    }
}

#[test_case(&["b"], BTreeSet::new(); "the server no longer holds the model")]
#[test_case(&["a"], BTreeSet::from(["i-1".to_owned()]); "the server is excluded")]
fn an_obsolete_grant_is_ignored(models: &[&str], excluded: BTreeSet<String>) {
    let mut scenario = Scenario::new(vec![server("i-1", models), server("i-2", &["a"])]);
    let now = scenario.now;
    let offer = Offer { excluded, ..granted(1, "i-1", now) };
    assert_eq!(sent(&scenario.dispatcher.offer(now, offer, true)), [(1, "i-2".into())]);
}

#[test]
fn a_grant_of_a_server_without_a_free_slot_is_ignored() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let now = scenario.now;
    (1..=2).for_each(|id| drop(scenario.dispatcher.offer(now, granted(id, "i-1", now), true)));
    let actions = scenario.dispatcher.offer(now, granted(3, "i-1", now), true);
    assert_eq!(sent(&actions), [(3, "i-2".into())]);
}

#[test]
fn admission_options_are_servers_with_the_model_and_a_slot() {
    let mut scenario = Scenario::new(vec![
        server("i-1", &["a"]),
        server("i-2", &["b"]),
        ModelServer { zone: "there".into(), ..server("i-3", &["a"]) },
    ]);
    let request = offer(9, "a", scenario.now);
    let options = scenario.dispatcher.admission_options(scenario.now, &request);
    let names: Vec<&str> = options.iter().map(|option| option.instance.as_str()).collect();
    assert_eq!(names, ["i-1", "i-3"], "the server in the same zone comes first");
    assert!(options[0].prefill_ms > 0 && options[1].other_cost_ms > options[0].other_cost_ms);
    let without_prompt = Offer { tokens: TokenCount::default(), ..request.clone() };
    assert!(scenario.dispatcher.admission_options(scenario.now, &without_prompt).is_empty());
    (1..=2)
        .for_each(|id| drop(scenario.dispatcher.offer(scenario.now, granted(id, "i-1", scenario.now), true)));
    let options = scenario.dispatcher.admission_options(scenario.now, &request);
    assert_eq!(options.len(), 1, "i-1 has no free slot");
}

#[test]
fn a_cached_prefix_reduces_the_prefill_time() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let parts = vec![PromptPart { id: 7, tokens: 900 }];
    let first = Offer { parts: parts.clone(), ..granted(1, "i-2", scenario.now) };
    scenario.dispatcher.offer(scenario.now, first, true);
    scenario.finish(1, AttemptOutcome::Answered);
    let retry = Offer { parts, ..offer(2, "a", scenario.now) };
    let options = scenario.dispatcher.admission_options(scenario.now, &retry);
    let prefill_ms =
        |name: &str| options.iter().find(|option| option.instance == name).map(|option| option.prefill_ms);
    assert!(prefill_ms("i-2") < prefill_ms("i-1"), "{options:?}");
}

// ---- loads and errors over all edges ----

fn total_load(instance: &str, error_permille: u16) -> ModelServerLoad {
    ModelServerLoad { instance: instance.into(), error_permille, ..ModelServerLoad::default() }
}

#[test]
fn errors_seen_by_other_edges_count_for_a_while() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let chosen = |scenario: &mut Scenario, id: u64| {
        let instance = sent(&scenario.request(id, "a"))[0].1.clone();
        scenario.finish(id, AttemptOutcome::Answered);
        instance
    };
    let first = chosen(&mut scenario, 1);
    scenario.dispatcher.observe_total_loads(scenario.now, &[total_load(&first, 600)]);
    assert_ne!(chosen(&mut scenario, 2), first);
    scenario.now += 10_000;
    let later: BTreeSet<String> = (3..9).map(|id| chosen(&mut scenario, id)).collect();
    assert!(later.contains(&first), "the old report no longer counts");
}

#[test]
fn outcomes_are_reported_once() {
    let mut scenario = Scenario::new(vec![server("i-1", &["a"])]);
    for (id, outcome) in
        [(1, AttemptOutcome::Answered), (2, AttemptOutcome::Failed), (3, AttemptOutcome::Abandoned)]
    {
        scenario.request(id, "a");
        scenario.finish(id, outcome);
    }
    let (_, loads) = scenario.dispatcher.take_report();
    assert_eq!((loads.len(), loads[0].failed, loads[0].answered, loads[0].in_flight), (1, 1, 1, 0));
    assert!(scenario.dispatcher.take_report().1.is_empty());
}

/// A model server that holds a model in a version.
fn server_of_version(instance: &str, version: u64) -> ModelServer {
    let loaded = LoadedModel { name: "a".into(), version, adapters: Vec::new() };
    ModelServer { models: vec![loaded], ..server(instance, &[]) }
}

#[test]
fn a_request_for_a_version_goes_to_no_other_version() {
    let mut scenario = Scenario::new(vec![server_of_version("i-1", 1), server_of_version("i-2", 2)]);
    for id in 1..=2 {
        let with_version = Offer { version: Some(2), ..offer(id, "a", scenario.now) };
        assert_eq!(sent(&scenario.dispatcher.offer(scenario.now, with_version, true)), [(id, "i-2".into())]);
    }
    let granted = Offer { version: Some(2), granted: Some("i-1".into()), ..offer(3, "a", scenario.now) };
    assert_eq!(
        sent(&scenario.dispatcher.offer(scenario.now, granted, true)),
        [],
        "the version is required of a granted server, too"
    );
    assert_eq!(sent(&scenario.finish(1, AttemptOutcome::Answered)), [(3, "i-2".into())]);
}

#[test]
fn an_absent_version_is_not_reported_as_demand() {
    let mut scenario = Scenario::new(vec![server_of_version("i-1", 2)]);
    let with_version = Offer { version: Some(1), resumable: true, ..offer(1, "a", scenario.now) };
    assert_eq!(scenario.dispatcher.offer(scenario.now, with_version, false), []);
    assert!(!scenario.dispatcher.take_urgent_demand() && scenario.dispatcher.take_report().0.is_empty());
}
