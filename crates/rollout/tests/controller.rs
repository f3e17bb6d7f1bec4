//! The step controller: what it proposes, orders and starts.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_rollout::controller::{
    Action, Draw, DrawEnd, DrawOutcome, Settings, StepController, WaitReason,
};
use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::step::{RemovalReason, StepRequest};
use pathbank_rollout::step_table::{Command, StepTable};
use pathbank_rollout::version_rollout::RolloutLimits;
use pathbank_rollout::worker::WorkerReport;
use std::collections::BTreeSet;
use test_case::test_case;

const SETTINGS: Settings = Settings {
    version_rollout: RolloutLimits { min_serving: 1, max_loads_per_s: 100.0, drain_timeout_ms: 100 },
    generation_ms: 1_000,
    begin_timeout_ms: 0,
    lease_ms: 100,
    reserved_slots: 2,
    straggler_timeout_ms: 500,
    silence_timeout_ms: 2_000,
};

fn report(worker: &str, active: u32) -> WorkerReport {
    let (worker, zone) = (worker.to_owned(), "z".to_owned());
    WorkerReport { worker, zone, loaded_version: Some(7), busy: false, sequence: 0, active, capacity: 4 }
}

/// A step that draws from version 7 for nine prompts with workers a and b.
fn open() -> (StepTable, StepController) {
    let mut table = StepTable::default();
    let request = StepRequest::new("one", "m", 2);
    let commands = [
        Command::Announce(request),
        Command::Submit { step: 1, prompts: (1..10).collect() },
        Command::FixVersion { step: 1, version: 7 },
        Command::Open { step: 1, members: BTreeSet::from(["a".into(), "b".into()]) },
    ];
    for (index, command) in (1..).zip(&commands) {
        table.apply(index, command).unwrap();
    }
    let mut controller = StepController::new("m".into(), SETTINGS, 0);
    ["a", "b"].iter().for_each(|worker| controller.observe_report(5_000, report(worker, 0)));
    (table, controller)
}

fn draws(actions: &[Action]) -> Vec<Draw> {
    let draw = |action: &Action| match action {
        Action::Draw(draw) => Some(draw.clone()),
        _ => None,
    };
    actions.iter().filter_map(draw).collect()
}

fn trail(header_version: Option<u64>, events: &[u64]) -> VersionTrail {
    let mut trail = VersionTrail::begin(header_version);
    events.iter().for_each(|version| trail.record_event(*version));
    trail.finish();
    trail
}

#[test_case(trail(Some(7), &[7]), None; "the step's version")]
#[test_case(trail(Some(8), &[]), Some(RemovalReason::VersionMismatch); "another version")]
#[test_case(trail(Some(7), &[8]), Some(RemovalReason::UnknownVersion); "two versions")]
#[test_case(trail(None, &[7]), Some(RemovalReason::UnknownVersion); "no version in its headers")]
fn an_answer_decides_whether_its_worker_is_removed(versions: VersionTrail, removal: Option<RemovalReason>) {
    let (table, mut controller) = open();
    let draw = draws(&controller.tick(5_000, &table)).remove(0);
    let worker = draw.worker.clone();
    let end = DrawEnd { draw, outcome: DrawOutcome::Complete(versions), tokens: 10 };
    let actions = controller.draw_ended(end, &table);
    assert!(matches!(&actions[0], Action::Propose(Command::Record(_))), "the step table judges it");
    let remove = removal.map(|reason| Action::Propose(Command::RemoveWorker { step: 1, worker, reason }));
    assert_eq!(actions.get(1).cloned(), remove);
}

#[test]
fn generations_use_the_slots_that_serving_leaves_free() {
    let (table, mut controller) = open();
    controller.observe_report(5_000, report("a", 2));
    let begun = draws(&controller.tick(5_000, &table));
    let at = |worker: &str| begun.iter().filter(|draw| draw.worker == worker).count();
    assert_eq!((at("a"), at("b")), (0, 2), "two slots are left free at each");
    assert!(begun.iter().all(|draw| draw.epoch == 4 && draw.version == 7 && draw.within == 1_000));
    assert_eq!(draws(&controller.tick(5_010, &table)), [], "its own are counted before it reports them");
}

#[test]
fn retries_a_prompt_whose_generation_ended_without_an_answer() {
    let (table, mut controller) = open();
    let first = draws(&controller.tick(5_000, &table)).remove(0);
    let prompt = first.prompt;
    let broken = DrawEnd { draw: first, outcome: DrawOutcome::Over, tokens: 0 };
    assert_eq!(controller.draw_ended(broken, &table), []);
    let again = draws(&controller.tick(5_010, &table));
    assert_eq!(again.iter().map(|draw| draw.prompt).collect::<Vec<_>>(), [prompt]);
}

#[test]
fn retries_a_generation_that_timed_out() {
    let (table, mut controller) = open();
    let first = draws(&controller.tick(5_000, &table));
    controller.observe_report(5_900, report("a", 0));
    controller.observe_report(5_900, report("b", 0));
    assert_eq!(draws(&controller.tick(5_999, &table)), []);
    let again = draws(&controller.tick(6_000, &table));
    assert_eq!(again.len(), first.len());
}

#[test]
fn removes_a_worker_that_is_lost_or_unresponsive() {
    let (table, mut controller) = open();
    controller.remove_worker("a");
    let remove = |worker: &str, reason| {
        Action::Propose(Command::RemoveWorker { step: 1, worker: worker.into(), reason })
    };
    assert!(controller.tick(5_000, &table).contains(&remove("a", RemovalReason::Lost)));
    let late = controller.tick(5_000 + SETTINGS.silence_timeout_ms, &table);
    assert!(late.contains(&remove("b", RemovalReason::Unresponsive)), "{late:?}");
}

#[test]
fn a_new_leader_removes_no_worker_before_all_could_report() {
    let (table, _) = open();
    let mut controller = StepController::new("m".into(), SETTINGS, 9_000);
    assert_eq!(controller.tick(9_050, &table), []);
}

#[test]
fn wait_reason_follows_the_state_of_a_step() {
    let (mut table, mut controller) = open();
    assert_eq!(controller.wait_reason(5_000, &table, 1), Some(WaitReason::Generations));
    let next = StepRequest::new("two", "m", 1);
    table.apply(9, &Command::Announce(next)).unwrap();
    assert_eq!(controller.wait_reason(5_000, &table, 2), Some(WaitReason::EarlierStep));
    controller.tick(5_000, &table);
    table.apply(10, &Command::Close { step: 1, allow_missing: true }).unwrap();
    assert_eq!(controller.wait_reason(5_000, &table, 1), Some(WaitReason::Generations));
    controller.tick(6_500, &table);
    assert_eq!(controller.wait_reason(6_500, &table, 1), Some(WaitReason::EarlierGenerations));
    table.apply(11, &Command::Seal { step: 1 }).unwrap();
    assert_eq!(controller.wait_reason(6_500, &table, 1), None);
}

#[test]
fn a_generation_with_unknown_end_delays_the_seal_but_not_its_prompt() {
    // Given a step whose generations are all under way, when one breaks off and its worker may go on with it,
    let (mut table, mut controller) = open();
    let mut begun = draws(&controller.tick(5_000, &table));
    let first = begun.remove(0);
    let prompt = first.prompt;
    controller.draw_ended(DrawEnd { draw: first, outcome: DrawOutcome::Unknown, tokens: 0 }, &table);
    // then its prompt is drawn for again at once,
    let again = draws(&controller.tick(5_010, &table));
    assert_eq!(again.iter().map(|draw| draw.prompt).collect::<Vec<_>>(), [prompt]);
    assert_eq!(controller.redrawn_prompts().collect::<Vec<_>>(), [(prompt, 1)]);
    // and though all others have ended the step is not sealed before the broken one's time is over.
    table.apply(5, &Command::Close { step: 1, allow_missing: true }).unwrap();
    for draw in begun.into_iter().chain(again) {
        controller.draw_ended(DrawEnd { draw, outcome: DrawOutcome::Over, tokens: 0 }, &table);
    }
    assert_eq!(controller.tick(5_999, &table), []);
    assert_eq!(controller.tick(6_000, &table), [Action::Propose(Command::Seal { step: 1 })]);
}

#[test]
fn starts_no_more_generations_than_the_limit() {
    let (table, mut controller) = open();
    assert_eq!(controller.drawable_prompts(5_000, &table), 4);
    assert_eq!(draws(&controller.tick_with_limit(5_000, &table, 3)).len(), 3);
    assert_eq!(controller.drawable_prompts(5_000, &table), 1);
    assert_eq!(draws(&controller.tick_with_limit(5_000, &table, 0)), []);
}

#[test]
fn time_out_of_a_generation_includes_its_start_time_out() {
    let (table, _) = open();
    let settings = Settings { begin_timeout_ms: 300, ..SETTINGS };
    let mut controller = StepController::new("m".into(), settings, 0);
    ["a", "b"].iter().for_each(|worker| controller.observe_report(5_000, report(worker, 0)));
    controller.tick(5_000, &table);
    assert_eq!(draws(&controller.tick(6_299, &table)), [], "it may have begun 300 ms later");
    assert_eq!(draws(&controller.tick(6_300, &table)).len(), 4);
}

#[test]
fn aborts_a_step_at_its_deadline() {
    let mut table = StepTable::default();
    let request = StepRequest { deadline_ms: Some(4_000), ..StepRequest::new("one", "m", 1) };
    table.apply(1, &Command::Announce(request)).unwrap();
    let mut controller = StepController::new("m".into(), SETTINGS, 0);
    assert_eq!(controller.tick(1_000, &table), []);
    assert_eq!(controller.tick(4_999, &table), []);
    assert_eq!(controller.tick(5_000, &table), [Action::Propose(Command::Abort { step: 1 })]);
}
