//! Tests of training steps in the replicated state: their contents, the limits of these, and snapshots.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::command_outcome::CommandOutcome;
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::{Command, ControlState};
use pathbank_control::training::{
    MAX_OPEN_STEPS, MAX_OUTPUT_BYTES, MAX_PROMPT_BYTES, Output, Prompt, TrainingCommand,
};
use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::step::{StepRequest, StepState};
use pathbank_rollout::step_table::{Command as StepCommand, Generation, StepError};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

fn prompt(body: &str) -> Prompt {
    Prompt { body: body.into(), input_tokens: 3, output_tokens: 9, prefix: String::new() }
}

/// A state, and the index of the last applied log entry.
#[derive(Default)]
struct Scenario {
    state: ControlState,
    index: u64,
}

impl Scenario {
    fn apply(&mut self, command: TrainingCommand) -> Result<CommandOutcome, ResultCode> {
        self.index += 1;
        let command =
            Command::decode(&Command::Training(command).encode()).expect("an encoded command can be decoded");
        self.state.apply(self.index, &command).map_err(|rejection| rejection.code)
    }

    fn apply_step(&mut self, command: StepCommand) -> Result<CommandOutcome, ResultCode> {
        self.apply(TrainingCommand::Step(command))
    }

    fn announce(&mut self, key: &str) -> Result<CommandOutcome, ResultCode> {
        self.apply_step(StepCommand::Announce(StepRequest::new(key, "m", 1)))
    }

    fn submit(&mut self, step: u64, prompts: &[(u64, &str)]) -> Result<CommandOutcome, ResultCode> {
        let prompts: BTreeMap<u64, Prompt> = prompts.iter().map(|(id, body)| (*id, prompt(body))).collect();
        self.apply(TrainingCommand::Submit { step, prompts })
    }

    fn open(&mut self, step: u64) {
        self.apply_step(StepCommand::FixVersion { step, version: 7 }).unwrap();
        self.apply_step(StepCommand::Open { step, members: BTreeSet::from(["w".into()]) }).unwrap();
    }

    fn record(&mut self, step: u64, prompt: u64, text: String) -> Result<CommandOutcome, ResultCode> {
        let epoch = self.state.training().step_table().step(step).and_then(|step| step.epoch).unwrap_or(0);
        let mut versions = VersionTrail::begin(Some(7));
        versions.finish();
        let generation = Generation { step, epoch, prompt, worker: "w".into(), versions, tokens: 9 };
        self.apply(TrainingCommand::Record { generation, output: Output { text, truncated: false } })
    }
}

#[test]
fn a_step_keeps_its_prompts_and_outputs() {
    let mut scenario = Scenario::default();
    assert_eq!(scenario.announce("one"), Ok(CommandOutcome::StepAnnounced(1)));
    assert_eq!(scenario.submit(1, &[(1, "a"), (2, "b")]), Ok(CommandOutcome::Applied));
    assert_eq!(
        scenario.submit(1, &[(2, "b")]),
        Ok(CommandOutcome::AlreadyApplied),
        "the prompt was submitted before"
    );
    scenario.open(1);
    assert_eq!(scenario.record(1, 2, "text".into()), Ok(CommandOutcome::Applied));
    let training = scenario.state.training();
    assert_eq!(training.prompt(1, 1), Some(&prompt("a")));
    assert_eq!(training.output(1, 2).map(|output| output.text.as_str()), Some("text"));
    assert_eq!(training.last_changed(1), scenario.index);
    let back = ControlState::decode(&scenario.state.encode()).expect("a snapshot");
    assert_eq!(back.training(), scenario.state.training());
}

#[test]
fn a_snapshot_of_an_earlier_program_has_no_steps() {
    let earlier = br#"{"document":null,"index":0,"version":0,"taken":[],"sealed":{},"last_sealed":4}"#;
    let state = ControlState::decode(earlier).expect("it is read");
    assert_eq!((state.last_sealed(), state.training().step_table().steps().count()), (4, 0));
}

#[test]
fn a_prompt_id_with_other_content_is_rejected() {
    let mut scenario = Scenario::default();
    scenario.announce("one").unwrap();
    scenario.submit(1, &[(1, "a")]).unwrap();
    assert_eq!(scenario.submit(1, &[(1, "other"), (2, "b")]), Err(ResultCode::PromptTaken));
    assert_eq!(scenario.state.training().prompt(1, 2), None);
    assert_eq!(scenario.state.training().prompt(1, 1), Some(&prompt("a")));
}

#[test]
fn prompts_beyond_the_byte_limit_are_all_rejected() {
    let mut scenario = Scenario::default();
    scenario.announce("one").unwrap();
    let half = "x".repeat(MAX_PROMPT_BYTES / 2 + 1);
    assert_eq!(scenario.submit(1, &[(1, &half)]), Ok(CommandOutcome::Applied));
    assert_eq!(scenario.submit(1, &[(2, &half), (3, "b")]), Err(ResultCode::StepTooLarge));
    assert_eq!(scenario.state.training().prompt(1, 3), None);
    assert_eq!(scenario.submit(1, &[(3, "b")]), Ok(CommandOutcome::Applied));
}

#[test]
fn generations_beyond_the_byte_limit_count_without_their_text() {
    let mut scenario = Scenario::default();
    scenario.announce("one").unwrap();
    scenario.submit(1, &[(1, "a"), (2, "b")]).unwrap();
    scenario.open(1);
    scenario.record(1, 1, "x".repeat(MAX_OUTPUT_BYTES)).unwrap();
    scenario.record(1, 2, "y".into()).unwrap();
    let training = scenario.state.training();
    assert_eq!(training.output(1, 2), Some(&Output { text: String::new(), truncated: true }));
    assert_eq!(training.step_table().step(1).map(|step| step.counts.counted), Some(2));
}

#[test]
fn the_number_of_open_steps_is_limited() {
    let mut scenario = Scenario::default();
    for number in 0..MAX_OPEN_STEPS {
        scenario.announce(&format!("{number}")).unwrap();
    }
    assert_eq!(scenario.announce("more"), Err(ResultCode::TooManySteps));
    assert_eq!(
        scenario.announce("0"),
        Ok(CommandOutcome::StepAnnounced(1)),
        "a repeated announcement names the open step"
    );
    scenario.apply_step(StepCommand::Abort { step: 1 }).unwrap();
    assert_eq!(scenario.announce("more"), Ok(CommandOutcome::StepAnnounced(MAX_OPEN_STEPS as u64 + 1)));
}

#[test]
fn contents_of_old_steps_are_removed_and_their_counts_stay() {
    let mut scenario = Scenario::default();
    for number in 1..=6 {
        scenario.announce(&format!("{number}")).unwrap();
        scenario.submit(number, &[(1, "a")]).unwrap();
        scenario.apply_step(StepCommand::Abort { step: number }).unwrap();
    }
    let training = scenario.state.training();
    let kept: Vec<u64> = (1..=6).filter(|step| training.prompt(*step, 1).is_some()).collect();
    assert_eq!(kept, [3, 4, 5, 6]);
    assert!(
        (1..=6).all(|step| training.step_table().step(step).is_some_and(|step| step.counts.submitted == 1))
    );
}

#[test]
fn a_thousand_steps_keep_only_the_latest_in_the_snapshot() {
    let mut scenario = Scenario::default();
    for number in 1..=1_000 {
        scenario.announce(&format!("{number}")).unwrap();
        scenario.submit(number, &[(1, "a")]).unwrap();
        scenario.open(number);
        scenario.record(number, 1, "text".into()).unwrap();
        scenario.apply_step(StepCommand::Close { step: number, allow_missing: false }).unwrap();
        scenario.apply_step(StepCommand::Seal { step: number }).unwrap();
    }
    let bytes = scenario.state.encode().len();
    assert!(bytes < 100_000, "{bytes} bytes of a snapshot");
    let last = scenario.state.training().step_table().step(1_000).map(pathbank_rollout::step::Step::state);
    assert_eq!(last, Some(StepState::Sealed));
}

#[test_case(StepCommand::Seal { step: 9 }, ResultCode::UnknownStep; "no such step")]
#[test_case(StepCommand::Seal { step: 1 }, ResultCode::WrongStepState; "the step is not being sealed")]
#[test_case(StepCommand::FixVersion { step: 2, version: 1 }, ResultCode::EarlierStep; "an earlier step is not over")]
#[test_case(StepCommand::Close { step: 1, allow_missing: false }, ResultCode::MissingGenerations; "a prompt has no generation")]
#[test_case(StepCommand::Announce(StepRequest::new("one", "n", 1)), ResultCode::StepKeyTaken; "the key belongs to another step")]
fn a_rejected_command_has_a_result_code_and_changes_nothing(command: StepCommand, code: ResultCode) {
    let mut scenario = Scenario::default();
    scenario.announce("one").unwrap();
    scenario.announce("two").unwrap();
    scenario.submit(1, &[(1, "a")]).unwrap();
    let before = scenario.state.training().clone();
    assert_eq!(scenario.apply_step(command), Err(code));
    assert_eq!(*scenario.state.training(), before);
    assert!((400..500).contains(&code.status()));
}

#[test]
fn every_step_error_has_its_own_result_code() {
    let state = StepState::Open;
    let refusals = [
        StepError::UnknownStep(1),
        StepError::WrongState { step: 1, state },
        StepError::EarlierStep(1),
        StepError::KeyConflict(1),
        StepError::WrongVersion(1),
        StepError::TooFewWorkers { active_workers: 1, min_workers: 2 },
        StepError::Missing(1),
    ];
    let numbers: BTreeSet<u16> = refusals.iter().map(|refusal| ResultCode::from(refusal).number()).collect();
    assert_eq!(numbers, (401..=407).collect());
}
