//! Commands and state as the program of revision 5480d97 stored them: this program reads them, and stores the
//! same.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::step::{RemovalReason, RequestedVersion, RequestedWorkers, StepRequest, StepState};
use pathbank_rollout::step_table::{Command, Generation, StepTable};
use std::collections::BTreeSet;

/// One command a line, as JSON.
const COMMANDS: &str = include_str!("fixtures/commands.jsonl");
/// The state that they come to, as JSON.
const STEPS: &str = include_str!("fixtures/steps.json");

fn trail(header_version: Option<u64>, events: &[u64], complete: bool) -> VersionTrail {
    let mut trail = VersionTrail::begin(header_version);
    events.iter().for_each(|version| trail.record_event(*version));
    if complete {
        trail.finish();
    }
    trail
}
/// A history with every kind of command, and steps in several states after it.
fn commands() -> Vec<Command> {
    let generation = |prompt: u64, worker: &str, versions: VersionTrail| Generation {
        step: 1,
        epoch: 6,
        prompt,
        worker: worker.into(),
        versions,
        tokens: 50,
    };
    let full = StepRequest {
        key: "two".into(),
        backend: "llm".into(),
        model: "n".into(),
        version: RequestedVersion::Exactly(9),
        workers: RequestedWorkers::Count(3),
        min_workers: 1,
        path: "/generate".into(),
        generation_ms: 9_000,
        deadline_ms: Some(60_000),
    };
    let by_part = StepRequest {
        key: "three".into(),
        workers: RequestedWorkers::Permille(500),
        ..StepRequest::new("three", "m", 1)
    };
    let close = |step, allow_missing| Command::Close { step, allow_missing };
    let remove = |worker: &str, reason| Command::RemoveWorker { step: 1, worker: worker.into(), reason };
    vec![
        Command::Announce(StepRequest::new("one", "m", 1)),
        Command::Announce(full),
        Command::Announce(by_part),
        Command::Submit { step: 1, prompts: BTreeSet::from([1, 2, 3]) },
        Command::FixVersion { step: 1, version: 7 },
        Command::Open { step: 1, members: ["a", "b", "c", "d", "e"].map(String::from).into() },
        Command::Record(generation(1, "a", trail(Some(7), &[7], true))),
        Command::Record(generation(2, "b", trail(Some(7), &[8, 9], true))),
        Command::Record(generation(3, "c", trail(None, &[], false))),
        remove("b", RemovalReason::VersionMismatch),
        remove("c", RemovalReason::UnknownVersion),
        remove("d", RemovalReason::Unresponsive),
        remove("e", RemovalReason::Lost),
        close(1, true),
        Command::Seal { step: 1 },
        Command::FixVersion { step: 2, version: 9 },
        Command::Abort { step: 2 },
        Command::FixVersion { step: 3, version: 8 },
        Command::Open { step: 3, members: BTreeSet::from(["a".to_owned()]) },
        Command::Submit { step: 3, prompts: BTreeSet::from([4]) },
        close(3, true),
        Command::Announce(StepRequest::new("four", "m", 1)),
    ]
}

fn applied() -> StepTable {
    let mut table = StepTable::default();
    for (index, command) in (1..).zip(&commands()) {
        table.apply(index, command).unwrap();
    }
    table
}

#[test]
fn stored_commands_have_the_same_value() {
    let stored: Vec<Command> = COMMANDS.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(stored, commands());
}

#[test]
fn commands_are_stored_as_before() {
    let lines: Vec<String> =
        commands().iter().map(|command| serde_json::to_string(command).unwrap()).collect();
    assert_eq!(lines, COMMANDS.lines().collect::<Vec<_>>());
}

#[test]
fn a_stored_state_has_the_same_value() {
    let stored: StepTable = serde_json::from_str(STEPS).unwrap();
    assert_eq!(stored, applied());
    let states: Vec<StepState> = stored.steps().map(pathbank_rollout::step::Step::state).collect();
    assert_eq!(states, [StepState::Sealed, StepState::Aborted, StepState::Sealing, StepState::Announced]);
    assert_eq!(stored.step(1).unwrap().results[&1].tokens, 50);
}

#[test]
fn a_state_is_stored_as_before() {
    assert_eq!(serde_json::to_string(&applied()).unwrap(), STEPS);
}
