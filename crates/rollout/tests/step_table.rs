//! The step table: which commands it accepts and rejects, and which results count.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::step::{RemovalReason, RequestedVersion, StepCounts, StepRequest, StepState};
use pathbank_rollout::step_table::{Applied, Command, DiscardReason, Generation, StepError, StepTable};
use std::collections::BTreeSet;
use test_case::test_case;

const EPOCH: u64 = 100;
const VERSION: u64 = 7;

fn request(key: &str) -> StepRequest {
    StepRequest::new(key, "m", 2)
}

fn workers(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn drawn_from(versions: &[u64]) -> VersionTrail {
    let mut trail = VersionTrail::begin(versions.first().copied());
    versions.iter().for_each(|version| trail.record_event(*version));
    trail.finish();
    trail
}

fn generation(prompt: u64) -> Generation {
    Generation {
        step: 1,
        epoch: EPOCH,
        prompt,
        worker: "a".into(),
        versions: drawn_from(&[VERSION]),
        tokens: 50,
    }
}

/// A step that draws for two prompts with two workers.
fn open() -> StepTable {
    let mut table = StepTable::default();
    let commands = [
        Command::Announce(request("one")),
        Command::Submit { step: 1, prompts: [1, 2].into() },
        Command::FixVersion { step: 1, version: VERSION },
    ];
    for (index, command) in (1..).zip(&commands) {
        table.apply(index, command).unwrap();
    }
    table.apply(EPOCH, &Command::Open { step: 1, members: workers(&["a", "b"]) }).unwrap();
    table
}

fn sealed() -> StepTable {
    let mut table = open();
    for prompt in [1, 2] {
        table.apply(101, &Command::Record(generation(prompt))).unwrap();
    }
    table.apply(103, &Command::Close { step: 1, allow_missing: false }).unwrap();
    table.apply(104, &Command::Seal { step: 1 }).unwrap();
    table
}

#[test]
fn announcing_is_idempotent_and_rejects_another_request_under_the_key() {
    let mut table = StepTable::default();
    let announce = Command::Announce(request("one"));
    assert_eq!(table.apply(1, &announce), Ok(Applied::Step(1)));
    assert_eq!(table.apply(2, &announce), Ok(Applied::Step(1)));
    let other = StepRequest { min_workers: 9, ..request("one") };
    assert_eq!(table.apply(3, &Command::Announce(other)), Err(StepError::KeyConflict(1)));
    assert_eq!(table.apply(4, &Command::Announce(request("two"))), Ok(Applied::Step(2)));
}

#[test]
fn steps_of_one_model_run_one_after_the_other() {
    let mut table = open();
    table.apply(110, &Command::Announce(request("two"))).unwrap();
    let of_another_model = StepRequest { model: "n".into(), ..request("three") };
    table.apply(111, &Command::Announce(of_another_model)).unwrap();
    let fix = |step| Command::FixVersion { step, version: 8 };
    assert_eq!(table.apply(112, &fix(2)), Err(StepError::EarlierStep(1)));
    assert_eq!(table.apply(113, &fix(3)), Ok(Applied::Done));
    table.apply(114, &Command::Abort { step: 1 }).unwrap();
    assert_eq!(table.apply(115, &fix(2)), Ok(Applied::Done));
}

#[test]
fn a_version_is_replaced_by_a_newer_one_until_the_step_opens() {
    let mut table = StepTable::default();
    table.apply(1, &Command::Announce(request("one"))).unwrap();
    let mut fix = |version| table.apply(2, &Command::FixVersion { step: 1, version });
    assert_eq!(fix(7), Ok(Applied::Done));
    assert_eq!(fix(7), Ok(Applied::AlreadyApplied));
    assert_eq!(fix(6), Err(StepError::WrongVersion(6)));
    assert_eq!(fix(8), Ok(Applied::Done));
    table.apply(3, &Command::Open { step: 1, members: workers(&["a", "b"]) }).unwrap();
    let late = table.apply(4, &Command::FixVersion { step: 1, version: 9 });
    assert_eq!(late, Err(StepError::WrongState { step: 1, state: StepState::Open }));
    assert_eq!(table.step(1).unwrap().version, Some(8));
}

#[test]
fn a_step_with_an_exact_version_accepts_no_other() {
    let mut table = StepTable::default();
    let exact = StepRequest { version: RequestedVersion::Exactly(5), ..request("one") };
    table.apply(1, &Command::Announce(exact)).unwrap();
    assert_eq!(table.apply(2, &Command::FixVersion { step: 1, version: 6 }), Err(StepError::WrongVersion(6)));
    assert_eq!(table.apply(3, &Command::FixVersion { step: 1, version: 5 }), Ok(Applied::Done));
}

#[test]
fn a_step_opens_with_enough_workers_and_its_epoch_is_the_log_index() {
    let mut table = StepTable::default();
    table.apply(1, &Command::Announce(request("one"))).unwrap();
    table.apply(2, &Command::FixVersion { step: 1, version: VERSION }).unwrap();
    let few = Command::Open { step: 1, members: workers(&["a"]) };
    assert_eq!(table.apply(3, &few), Err(StepError::TooFewWorkers { active_workers: 1, min_workers: 2 }));
    table.apply(9, &Command::Open { step: 1, members: workers(&["a", "b"]) }).unwrap();
    assert_eq!(table.step(1).unwrap().epoch, Some(9));
}

#[test_case(Generation { epoch: EPOCH - 1, ..generation(1) }, DiscardReason::EpochMismatch; "of an earlier epoch")]
#[test_case(Generation { worker: "c".into(), ..generation(1) }, DiscardReason::NotAWorker; "of a worker outside the step")]
#[test_case(Generation { versions: drawn_from(&[VERSION + 1]), ..generation(1) }, DiscardReason::VersionMismatch; "of another version")]
#[test_case(Generation { versions: drawn_from(&[VERSION, VERSION + 1]), ..generation(1) }, DiscardReason::VersionMismatch; "of two versions")]
#[test_case(Generation { versions: drawn_from(&[]), ..generation(1) }, DiscardReason::VersionMismatch; "of no known version")]
#[test_case(Generation { versions: VersionTrail::begin(Some(VERSION)), ..generation(1) }, DiscardReason::VersionMismatch; "that is not complete")]
#[test_case(generation(9), DiscardReason::UnknownPrompt; "for a prompt that nobody submitted")]
fn discards_a_generation(generation: Generation, why: DiscardReason) {
    let mut table = open();
    assert_eq!(table.apply(101, &Command::Record(generation)), Ok(Applied::Discarded(why)));
    let counts = StepCounts { submitted: 2, discarded: 1, ..StepCounts::default() };
    assert_eq!(table.step(1).unwrap().counts, counts);
}

#[test]
fn a_prompt_counts_once() {
    let mut table = open();
    assert_eq!(table.apply(101, &Command::Record(generation(1))), Ok(Applied::Done));
    let other = Generation { worker: "b".into(), ..generation(1) };
    assert_eq!(table.apply(102, &Command::Record(other)), Ok(Applied::Discarded(DiscardReason::Duplicate)));
    assert_eq!(table.step(1).unwrap().results[&1].worker, "a");
}

#[test]
fn results_of_a_removed_worker_count_up_to_its_removal() {
    let mut table = open();
    table.apply(101, &Command::Record(generation(1))).unwrap();
    let remove = Command::RemoveWorker { step: 1, worker: "a".into(), reason: RemovalReason::Lost };
    assert_eq!(table.apply(102, &remove), Ok(Applied::Done));
    assert_eq!(table.apply(103, &remove), Ok(Applied::AlreadyApplied));
    assert_eq!(
        table.apply(104, &Command::Record(generation(2))),
        Ok(Applied::Discarded(DiscardReason::NotAWorker))
    );
    let step = table.step(1).unwrap();
    assert_eq!((step.results.len(), step.has_min_workers()), (1, false));
}

#[test]
fn a_step_closes_complete_or_with_missing_prompts_allowed() {
    let mut table = open();
    table.apply(101, &Command::Record(generation(1))).unwrap();
    assert_eq!(
        table.apply(102, &Command::Close { step: 1, allow_missing: false }),
        Err(StepError::Missing(1))
    );
    table.apply(103, &Command::Close { step: 1, allow_missing: true }).unwrap();
    // What is under way still counts, until the step is sealed.
    assert_eq!(table.apply(104, &Command::Record(generation(2))), Ok(Applied::Done));
    table.apply(105, &Command::Seal { step: 1 }).unwrap();
    let counts = StepCounts { submitted: 2, counted: 2, ..StepCounts::default() };
    assert_eq!(table.step(1).unwrap().counts, counts);
}

#[test]
fn nothing_changes_a_sealed_step() {
    let mut table = sealed();
    let before = table.step(1).unwrap().clone();
    let late = Generation { worker: "b".into(), ..generation(2) };
    assert_eq!(table.apply(200, &Command::Record(late)), Ok(Applied::Discarded(DiscardReason::NotOpen)));
    assert_eq!(table.apply(201, &Command::Seal { step: 1 }), Ok(Applied::AlreadyApplied));
    let wrong = Err(StepError::WrongState { step: 1, state: StepState::Sealed });
    assert_eq!(table.apply(202, &Command::Abort { step: 1 }), wrong);
    assert_eq!(table.apply(203, &Command::Submit { step: 1, prompts: [3].into() }), wrong);
    let remove = Command::RemoveWorker { step: 1, worker: "a".into(), reason: RemovalReason::Lost };
    assert_eq!(table.apply(204, &remove), wrong);
    assert_eq!(*table.step(1).unwrap(), before);
}

#[test]
fn a_step_table_survives_a_snapshot() {
    let table = sealed();
    let text = serde_json::to_string(&table).unwrap();
    assert_eq!(serde_json::from_str::<StepTable>(&text).unwrap(), table);
}

#[test]
fn rejects_unknown_steps() {
    let mut table = StepTable::default();
    assert_eq!(table.apply(1, &Command::Seal { step: 4 }), Err(StepError::UnknownStep(4)));
}

#[test]
fn removes_the_oldest_final_steps() {
    let mut table = StepTable::default();
    for (number, key) in (1..=4).zip(["one", "two", "three", "four"]) {
        table.apply(number, &Command::Announce(request(key))).unwrap();
        table.apply(10 + number, &Command::Abort { step: number }).unwrap();
    }
    table.apply(20, &Command::Announce(request("five"))).unwrap();
    table.remove_old(2);
    assert_eq!(table.steps().map(|step| step.number).collect::<Vec<_>>(), [3, 4, 5]);
    assert_eq!(table.apply(21, &Command::Announce(request("four"))), Ok(Applied::Step(4)));
    assert_eq!(table.apply(22, &Command::Announce(request("one"))), Ok(Applied::Step(6)), "a new step");
}

#[test]
fn closing_again_after_the_seal_changes_nothing() {
    let mut table = sealed();
    let close = Command::Close { step: 1, allow_missing: false };
    assert_eq!(table.apply(300, &close), Ok(Applied::AlreadyApplied));
    assert_eq!(table.step(1).map(pathbank_rollout::step::Step::state), Some(StepState::Sealed));
}
