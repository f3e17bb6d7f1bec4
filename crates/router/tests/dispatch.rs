//! The dispatcher of one edge.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::result_code::ResultCode;
use pathbank_protocol::message::{
    ExpectedModel, LoadedModel, ModelServer, ModelServerLoad, ModelServerState, ModelServerUpdate,
};
use pathbank_router::dispatcher::{Action, Dispatcher, Offer};
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::prompt::{ModelName, PromptPart};
use std::collections::BTreeSet;
use test_case::test_case;

fn server(instance: &str, models: &[&str]) -> ModelServer {
    let loaded = |name: &&str| LoadedModel { name: (*name).into(), version: 1, adapters: vec!["a1".into()] };
    ModelServer {
        instance: instance.into(),
        backend: "llm".into(),
        address: format!("{instance}:80"),
        zone: "here".into(),
        version: "v1".into(),
        capacity: 2,
        state: ModelServerState::Ready,
        cold_remaining_ms: 0,
        remaining_ms: 0,
        models: models.iter().map(loaded).collect(),
        sequence: 1,
        busy: false,
    }
}

fn offer(id: u64, model: &str, arrived: u64) -> Offer {
    Offer {
        id,
        backend: "llm".into(),
        name: ModelName::parse(model),
        size: 1_500,
        input_tokens: 1_000,
        parts: Vec::new(),
        arrived,
        deadline: arrived + 10_000,
        abandon_at: arrived + 10_000,
        target_latency_ms: 1_000,
        target_gap_ms: 0,
        load_ms: Some(800),
        previously_rejected: false,
        granted: None,
        excluded: BTreeSet::new(),
        resumable: false,
        urgency: 0,
        version: None,
    }
}

struct Story {
    dispatcher: Dispatcher,
    now: u64,
}

impl Story {
    fn given(servers: Vec<ModelServer>) -> Story {
        let mut story = Story { dispatcher: Dispatcher::new("here".into(), 7), now: 1_000 };
        story.update_servers(servers);
        story
    }

    fn update_servers(&mut self, servers: Vec<ModelServer>) -> Vec<Action> {
        self.dispatcher.update_servers(self.now, ModelServerUpdate { complete: true, servers })
    }

    fn asked(&mut self, id: u64, model: &str) -> Vec<Action> {
        let offer = offer(id, model, self.now);
        self.dispatcher.offer(self.now, offer, true)
    }

    fn after(&mut self, milliseconds: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..milliseconds / 20 {
            self.now += 20;
            actions.extend(self.dispatcher.tick(self.now));
        }
        actions
    }

    fn ended(&mut self, id: u64, outcome: AttemptOutcome) -> Vec<Action> {
        self.dispatcher.finish(self.now, id, outcome)
    }
}

fn sent(actions: &[Action]) -> Vec<(u64, String)> {
    let send = |action: &Action| match action {
        Action::Send { id, instance, .. } => Some((*id, instance.clone())),
        Action::Reject { .. } | Action::Evacuate { .. } => None,
    };
    actions.iter().filter_map(send).collect()
}

fn refused(actions: &[Action]) -> Vec<(u64, ResultCode, u64)> {
    let refuse = |action: &Action| match action {
        Action::Reject { id, code, retry_after } => Some((*id, *code, *retry_after)),
        Action::Send { .. } | Action::Evacuate { .. } => None,
    };
    actions.iter().filter_map(refuse).collect()
}

#[test]
fn sends_a_request_to_a_server_with_its_model() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["b"])]);
    assert_eq!(sent(&story.asked(1, "b")), [(1, "i-2".into())]);
    assert_eq!(sent(&story.asked(2, "a/a1")), [(2, "i-1".into())]);
    assert_eq!(story.asked(3, "a/a9"), [], "that adapter is nowhere");
}

#[test]
fn in_flight_requests_keep_to_the_slots_of_a_server() {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    let first: Vec<_> = (1..=4).flat_map(|id| sent(&story.asked(id, "a"))).collect();
    assert_eq!(first.len(), 2);
    assert_eq!(sent(&story.ended(1, AttemptOutcome::Answered)), [(3, "i-1".into())]);
    assert_eq!(sent(&story.ended(2, AttemptOutcome::Answered)), [(4, "i-1".into())]);
}

#[test]
fn slots_in_use_by_other_edges_are_not_taken() {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    story.asked(1, "a");
    story.dispatcher.observe_load(story.now, "i-1", 2, 0);
    assert!(sent(&story.asked(2, "a")).is_empty());
    assert_eq!(sent(&story.after(1_500)).len(), 0, "refused before that word is old");
}

#[test]
fn a_freed_slot_takes_the_longest_queue() {
    let mut story = Story::given(vec![server("i-1", &["a", "b"])]);
    [(1, "a"), (2, "a"), (3, "a"), (4, "b"), (5, "b")]
        .iter()
        .for_each(|(id, model)| drop(story.asked(*id, model)));
    assert_eq!(sent(&story.ended(1, AttemptOutcome::Answered)), [(4, "i-1".into())]);
}

#[test]
fn a_prefill_backlog_diverts_the_next_prompt() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let first = sent(&story.asked(1, "a"))[0].1.clone();
    let second = sent(&story.asked(2, "a"))[0].1.clone();
    assert_ne!(first, second);
}

#[test]
fn a_prompt_goes_to_the_server_with_its_prefix_cached() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let mut shared = offer(1, "a", story.now);
    shared.parts = vec![PromptPart { id: 7, tokens: 900 }];
    let assigned = sent(&story.dispatcher.offer(story.now, shared.clone(), true))[0].1.clone();
    story.ended(1, AttemptOutcome::Answered);
    for id in 2..12 {
        shared.id = id;
        assert_eq!(sent(&story.dispatcher.offer(story.now, shared.clone(), true))[0].1, assigned);
        story.ended(id, AttemptOutcome::Answered);
    }
}

#[test_case(ModelServerState::Draining; "draining")]
#[test_case(ModelServerState::Removed; "removed")]
fn a_draining_server_gets_no_request_and_its_queue_moves(state: ModelServerState) {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    (1..=3).for_each(|id| drop(story.asked(id, "a")));
    let leaving = ModelServer { state, sequence: 2, ..server("i-1", &["a"]) };
    assert!(sent(&story.update_servers(vec![leaving])).is_empty());
    assert!(sent(&story.ended(1, AttemptOutcome::Answered)).is_empty());
    assert_eq!(sent(&story.update_servers(vec![server("i-2", &["a"])])), [(3, "i-2".into())]);
    assert!(
        sent(&story.update_servers(vec![server("i-1", &["a"])])).is_empty(),
        "an older word changes nothing"
    );
}

#[test]
fn a_request_for_an_absent_model_is_reported_and_sent_once_loaded() {
    let mut story = Story::given(vec![server("i-1", &["b"])]);
    story.asked(1, "a");
    assert!(story.dispatcher.take_urgent_demand());
    let (demand, _) = story.dispatcher.take_report();
    assert_eq!((demand[0].model.as_str(), demand[0].arrived, demand[0].waiting), ("a", 1, 1));
    story.after(100);
    assert!(!story.dispatcher.take_urgent_demand());
    let (demand, _) = story.dispatcher.take_report();
    assert_eq!((demand[0].arrived, demand[0].waiting), (0, 1), "no new demand, and it still waits");
    let loaded = ModelServer { sequence: 2, ..server("i-1", &["a", "b"]) };
    assert_eq!(sent(&story.update_servers(vec![loaded])), [(1, "i-1".into())]);
}

#[test]
fn a_request_is_rejected_early_when_a_load_can_serve_its_retry() {
    let mut story = Story::given(vec![server("i-1", &["b"])]);
    story.asked(1, "a");
    assert!(story.after(150).is_empty());
    let refusals = refused(&story.after(60));
    assert_eq!(
        refusals,
        [(1, ResultCode::NoModelServer, 800 + 400 - 161)],
        "what is left of load and overhead, before a quarter of the objective"
    );
}

fn expected(model: &str, ready_in_ms: u32) -> Vec<ExpectedModel> {
    vec![ExpectedModel { backend: "llm".into(), model: model.into(), ready_in_ms }]
}

/// Requests whose objective is longer than a load were sent away with the time of a whole load, came back
/// after it, and earned half of what they would have earned by waiting.
#[test]
fn a_request_waits_for_a_load_within_its_latency_target() {
    let mut story = Story::given(vec![server("i-1", &["b"])]);
    let patient = Offer { target_latency_ms: 4_000, ..offer(1, "a", story.now) };
    story.dispatcher.offer(story.now, patient, true);
    story.dispatcher.set_expected_models(story.now, expected("a", 2_000));
    assert!(story.after(2_500).is_empty());
    let loaded = ModelServer { sequence: 2, ..server("i-1", &["a", "b"]) };
    assert_eq!(sent(&story.update_servers(vec![loaded])).len(), 1);
}

#[test]
fn retry_after_follows_the_leaders_load() {
    let mut story = Story::given(vec![server("i-1", &["b"])]);
    story.asked(1, "a");
    story.dispatcher.set_expected_models(story.now, expected("a", 2_400));
    let refusals = refused(&story.after(170));
    assert_eq!(refusals.len(), 1);
    let (_, code, retry_after) = refusals[0];
    assert_eq!(code, ResultCode::NoModelServer);
    assert!((2_200..=2_400).contains(&retry_after), "{retry_after}");
}

/// Clients leave a stream that is silent for long. Requests for a model on its way were held until their
/// clients had gone, with nothing gained by either.
#[test]
fn a_request_that_would_be_abandoned_before_the_load_is_rejected_at_once() {
    let mut story = Story::given(vec![server("i-1", &["b"])]);
    let previously_rejected =
        Offer { previously_rejected: true, abandon_at: story.now + 2_000, ..offer(1, "a", story.now) };
    story.dispatcher.offer(story.now, previously_rejected, true);
    story.dispatcher.set_expected_models(story.now, expected("a", 5_000));
    assert_eq!(refused(&story.after(170)).len(), 1);
}

#[test]
fn a_retried_request_waits_until_it_is_hopeless() {
    let mut story = Story::given(vec![server("i-1", &["b"])]);
    let previously_rejected = Offer { previously_rejected: true, ..offer(1, "a", story.now) };
    story.dispatcher.offer(story.now, previously_rejected, true);
    assert!(story.after(9_000).is_empty());
    assert_eq!(refused(&story.after(800)).len(), 1);
}

#[test]
fn retry_after_is_short_while_a_backend_has_no_server() {
    let mut story = Story::given(Vec::new());
    story.asked(1, "a");
    assert_eq!(refused(&story.after(260)), [(1, ResultCode::NoModelServer, 1_000)]);
}

#[test]
fn shutdown_rejects_requests_that_were_not_sent() {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    (1..=3).for_each(|id| drop(story.asked(id, "a")));
    story.asked(4, "nowhere");
    let refusals = refused(&story.dispatcher.reject_queued(story.now, 50));
    assert_eq!(refusals, [(3, ResultCode::Stopping, 50), (4, ResultCode::Stopping, 50)]);
    assert_eq!(story.dispatcher.pending_requests(), 2);
}

#[test]
fn an_unreachable_server_is_ejected_and_used_again() {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    for id in 1..=2 {
        assert_eq!(sent(&story.asked(id, "a")).len(), 1);
        story.ended(id, AttemptOutcome::Failed);
    }
    assert!(sent(&story.asked(3, "a")).is_empty(), "after two failures in a row");
    story.now += 160;
    assert!(sent(&story.dispatcher.tick(story.now)).is_empty(), "no rest is that short");
    // A quarter of a second, longer or shorter by up to three tenths at each edge.
    story.now += 170;
    assert_eq!(sent(&story.dispatcher.tick(story.now)).len(), 1, "once the rest is over");
}

#[test]
fn a_server_without_the_model_is_avoided_for_it() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let first = sent(&story.asked(1, "a"))[0].1.clone();
    story.ended(1, AttemptOutcome::Misdirected);
    for id in 2..6 {
        assert_ne!(sent(&story.asked(id, "a"))[0].1, first);
        story.ended(id, AttemptOutcome::Answered);
    }
}

#[test]
fn a_retry_goes_to_another_server() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let again = Offer { excluded: ["i-1".to_owned()].into(), ..offer(1, "a", story.now) };
    assert_eq!(sent(&story.dispatcher.offer(story.now, again, false)), [(1, "i-2".into())]);
    assert!(story.dispatcher.take_report().0.is_empty(), "and is no new demand");
}

#[test]
fn a_disconnected_client_cancels_its_request() {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    (1..=4).for_each(|id| drop(story.asked(id, "a")));
    story.ended(3, AttemptOutcome::Abandoned);
    assert_eq!(sent(&story.ended(1, AttemptOutcome::Answered)), [(4, "i-1".into())]);
}

#[test]
fn a_timed_out_server_returns_with_the_same_sequence() {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    story.update_servers(vec![ModelServer { state: ModelServerState::Removed, ..server("i-1", &["a"]) }]);
    assert!(sent(&story.asked(1, "a")).is_empty());
    assert_eq!(sent(&story.update_servers(vec![server("i-1", &["a"])])), [(1, "i-1".into())]);
    story.update_servers(vec![ModelServer {
        state: ModelServerState::Removed,
        sequence: 2,
        ..server("i-1", &["a"])
    }]);
    story.update_servers(vec![server("i-1", &["a"])]);
    assert!(sent(&story.asked(2, "a")).is_empty(), "what said that it ends does not");
}

#[test]
fn an_unlisted_server_is_removed_after_the_retention() {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    story.update_servers(Vec::new());
    story.after(9_000);
    assert_eq!(sent(&story.asked(1, "a")).len(), 1, "a core that has just started knows few model servers");
    story.ended(1, AttemptOutcome::Answered);
    story.after(1_100);
    assert!(sent(&story.asked(2, "a")).is_empty());
}

#[test]
fn a_new_incarnation_at_an_address_displaces_the_old_one() {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    (1..=3).for_each(|id| drop(story.asked(id, "a")));
    let address = server("i-1", &[]).address;
    story.update_servers(vec![ModelServer { address, ..server("i-next", &[]) }]);
    assert!(sent(&story.ended(1, AttemptOutcome::Failed)).is_empty(), "the old one gets nothing more");
    story.update_servers(vec![server("i-1", &["a"])]);
    assert!(sent(&story.asked(4, "a")).is_empty(), "nor by a late word");
}

#[test]
fn a_server_is_ejected_after_repeated_misdirected_requests() {
    let mut story = Story::given(vec![server("i-1", &["a", "b", "c", "d"])]);
    for (id, model) in [(1, "a"), (2, "b"), (3, "c")] {
        assert_eq!(sent(&story.asked(id, model)).len(), 1);
        story.ended(id, AttemptOutcome::Misdirected);
    }
    assert!(sent(&story.asked(4, "d")).is_empty());
}

#[test]
fn a_server_with_errors_is_avoided_and_used_again_later() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let (mut id, mut at_grey) = (0, 0);
    let mut round = |story: &mut Story, requests: u64| {
        at_grey = 0;
        for _ in 0..requests {
            id += 1;
            let at = sent(&story.asked(id, "a"))[0].1.clone();
            let grey = at == "i-1";
            at_grey += u64::from(grey);
            story.ended(
                id,
                if grey && id % 2 == 0 { AttemptOutcome::ServerError } else { AttemptOutcome::Answered },
            );
            story.after(20);
        }
        at_grey
    };
    round(&mut story, 100);
    assert!(round(&mut story, 100) <= 20, "most go to the other one");
    story.after(30_000);
    let other_is_busy = ModelServer { capacity: 1, sequence: 2, ..server("i-2", &["a"]) };
    story.update_servers(vec![other_is_busy]);
    story.dispatcher.observe_load(story.now, "i-2", 1, 0);
    assert_eq!(sent(&story.asked(900, "a"))[0].1, "i-1", "never shut out");
}

#[test]
fn requests_are_sent_even_if_all_servers_of_a_backend_fail() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    for id in 1..40 {
        assert_eq!(sent(&story.asked(id, "a")).len(), 1);
        story.ended(id, AttemptOutcome::ServerError);
    }
}

// ---- where the leader lines prompts up ----

fn granted(id: u64, instance: &str, now: u64) -> Offer {
    Offer { granted: Some(instance.into()), ..offer(id, "a", now) }
}

#[test]
fn a_request_goes_to_the_granted_server() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let now = story.now;
    for (id, instance) in [(1, "i-1"), (2, "i-2"), (3, "i-1")] {
        let actions = story.dispatcher.offer(now, granted(id, instance, now), true);
        assert_eq!(sent(&actions), [(id, instance.to_owned())]);
    }
}

#[test_case(&["b"], BTreeSet::new(); "it has lost the model meanwhile")]
#[test_case(&["a"], BTreeSet::from(["i-1".to_owned()]); "the request was there before")]
fn an_obsolete_grant_is_ignored(models: &[&str], excluded: BTreeSet<String>) {
    let mut story = Story::given(vec![server("i-1", models), server("i-2", &["a"])]);
    let now = story.now;
    let offer = Offer { excluded, ..granted(1, "i-1", now) };
    assert_eq!(sent(&story.dispatcher.offer(now, offer, true)), [(1, "i-2".into())]);
}

#[test]
fn a_granted_server_without_a_free_slot_is_ignored() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let now = story.now;
    (1..=2).for_each(|id| drop(story.dispatcher.offer(now, granted(id, "i-1", now), true)));
    let actions = story.dispatcher.offer(now, granted(3, "i-1", now), true);
    assert_eq!(sent(&actions), [(3, "i-2".into())]);
}

#[test]
fn admission_options_are_servers_with_the_model_and_a_slot() {
    let mut story = Story::given(vec![
        server("i-1", &["a"]),
        server("i-2", &["b"]),
        ModelServer { zone: "there".into(), ..server("i-3", &["a"]) },
    ]);
    let asked = offer(9, "a", story.now);
    let options = story.dispatcher.admission_options(story.now, &asked);
    let names: Vec<&str> = options.iter().map(|option| option.instance.as_str()).collect();
    assert_eq!(names, ["i-1", "i-3"], "the nearer one first");
    assert!(options[0].prefill_ms > 0 && options[1].other_cost_ms > options[0].other_cost_ms);
    let without_prompt = Offer { input_tokens: 0, ..asked.clone() };
    assert!(story.dispatcher.admission_options(story.now, &without_prompt).is_empty());
    (1..=2).for_each(|id| drop(story.dispatcher.offer(story.now, granted(id, "i-1", story.now), true)));
    let options = story.dispatcher.admission_options(story.now, &asked);
    assert_eq!(options.len(), 1, "i-1 has no slot left");
}

#[test]
fn a_cached_prefix_reduces_the_prefill_time() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let parts = vec![PromptPart { id: 7, tokens: 900 }];
    let first = Offer { parts: parts.clone(), ..granted(1, "i-2", story.now) };
    story.dispatcher.offer(story.now, first, true);
    story.ended(1, AttemptOutcome::Answered);
    let again = Offer { parts, ..offer(2, "a", story.now) };
    let options = story.dispatcher.admission_options(story.now, &again);
    let read =
        |name: &str| options.iter().find(|option| option.instance == name).map(|option| option.prefill_ms);
    assert!(read("i-2") < read("i-1"), "{options:?}");
}

// ---- what all edges together know of a model server ----

fn joint(instance: &str, error_permille: u16) -> ModelServerLoad {
    ModelServerLoad { instance: instance.into(), error_permille, ..ModelServerLoad::default() }
}

#[test]
fn errors_seen_by_other_edges_count_for_a_while() {
    let mut story = Story::given(vec![server("i-1", &["a"]), server("i-2", &["a"])]);
    let chosen = |story: &mut Story, id: u64| {
        let instance = sent(&story.asked(id, "a"))[0].1.clone();
        story.ended(id, AttemptOutcome::Answered);
        instance
    };
    let first = chosen(&mut story, 1);
    story.dispatcher.observe_total_loads(story.now, &[joint(&first, 600)]);
    assert_ne!(chosen(&mut story, 2), first);
    story.now += 10_000;
    let later: BTreeSet<String> = (3..9).map(|id| chosen(&mut story, id)).collect();
    assert!(later.contains(&first), "old word counts for nothing");
}

#[test]
fn outcomes_are_reported_once() {
    let mut story = Story::given(vec![server("i-1", &["a"])]);
    for (id, outcome) in
        [(1, AttemptOutcome::Answered), (2, AttemptOutcome::Failed), (3, AttemptOutcome::Abandoned)]
    {
        story.asked(id, "a");
        story.ended(id, outcome);
    }
    let (_, loads) = story.dispatcher.take_report();
    assert_eq!((loads.len(), loads[0].failed, loads[0].answered, loads[0].in_flight), (1, 1, 1, 0));
    assert!(story.dispatcher.take_report().1.is_empty());
}

/// A model server that holds a model in a version.
fn server_of_version(instance: &str, version: u64) -> ModelServer {
    let loaded = LoadedModel { name: "a".into(), version, adapters: Vec::new() };
    ModelServer { models: vec![loaded], ..server(instance, &[]) }
}

#[test]
fn a_request_for_a_version_goes_to_no_other_version() {
    let mut story = Story::given(vec![server_of_version("i-1", 1), server_of_version("i-2", 2)]);
    for id in 1..=2 {
        let of_two = Offer { version: Some(2), ..offer(id, "a", story.now) };
        assert_eq!(sent(&story.dispatcher.offer(story.now, of_two, true)), [(id, "i-2".into())]);
    }
    let granted = Offer { version: Some(2), granted: Some("i-1".into()), ..offer(3, "a", story.now) };
    assert_eq!(sent(&story.dispatcher.offer(story.now, granted, true)), [], "also where the leader chose it");
    assert_eq!(sent(&story.ended(1, AttemptOutcome::Answered)), [(3, "i-2".into())]);
}

#[test]
fn an_absent_version_is_not_reported_as_demand() {
    let mut story = Story::given(vec![server_of_version("i-1", 2)]);
    let of_one = Offer { version: Some(1), resumable: true, ..offer(1, "a", story.now) };
    assert_eq!(story.dispatcher.offer(story.now, of_one, false), []);
    assert!(!story.dispatcher.take_urgent_demand() && story.dispatcher.take_report().0.is_empty());
}
