//! Commands and snapshots as an earlier version stored them: this program must decode them to the same values
//! and encode them to the same bytes.
//!
//! `commands.jsonl` has one log entry on each line, and at least one of each kind. `state.json` is the
//! snapshot after all of them. `state_format_1.json` is a snapshot of the first format,
//! `state_format_1_upgraded.json` the same snapshot after its conversion. `commands_format_1.jsonl` has the commands of
//! format 1 and `state_format_3.json` the snapshot after these alone; `commands_format_2.jsonl` has changes of the kind of
//! format 2 beside one of the kind before, and `state_after_format_2.json` the snapshot after them.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::state::{Change, ChangeKind, Command, ControlState};
use pathbank_control::training::TrainingCommand;
use pathbank_rollout::step::StepState;
use pathbank_rollout::step_table::Command as StepCommand;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

const COMMANDS: &str = include_str!("fixtures/commands.jsonl");
const STATE: &str = include_str!("fixtures/state.json");
const COMMANDS_FORMAT_1: &str = include_str!("fixtures/commands_format_1.jsonl");
const STATE_FORMAT_3: &str = include_str!("fixtures/state_format_3.json");
const COMMANDS_FORMAT_2: &str = include_str!("fixtures/commands_format_2.jsonl");
const STATE_AFTER_FORMAT_2: &str = include_str!("fixtures/state_after_format_2.json");
const STATE_FORMAT_1: &str = include_str!("fixtures/state_format_1.json");
const STATE_FORMAT_1_UPGRADED: &str = include_str!("fixtures/state_format_1_upgraded.json");

/// The digest of the stored state in format 1.
const STATE_DIGEST: u128 = 13982666986440852518653171877868973807;

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("valid JSON")
}

fn encoded(state: &ControlState) -> Value {
    serde_json::from_slice(&state.encode()).expect("valid JSON")
}

fn decoded(lines: &str) -> Vec<Command> {
    lines.lines().map(|line| Command::decode(line.as_bytes()).expect("a readable command")).collect()
}

fn commands() -> Vec<Command> {
    decoded(COMMANDS)
}

fn counts(of: &[(&str, u64)]) -> BTreeMap<String, u64> {
    of.iter().map(|(tenant, count)| ((*tenant).to_owned(), *count)).collect()
}

#[test]
fn stored_commands_are_encoded_byte_for_byte_as_before() {
    for (line, command) in COMMANDS.lines().zip(commands()) {
        assert_eq!(String::from_utf8(command.encode()).unwrap(), line);
    }
}

#[test]
fn stored_commands_of_each_kind_are_decoded() {
    let commands = commands();
    assert_eq!(commands.len(), 29);
    let change = |kind: ChangeKind| {
        commands.iter().find_map(|command| match command {
            Command::Change(change) if change.kind == kind => Some(change.clone()),
            _ => None,
        })
    };
    let Some(Change { base: 0, body, .. }) = change(ChangeKind::Replace) else { panic!("no replacement") };
    assert_eq!(json(&body)["version"], 5);
    let Some(Change { base: 5, body, .. }) = change(ChangeKind::Update) else { panic!("no update") };
    assert_eq!(json(&body)["delete"]["routes"][0], "r1");
    assert_eq!(commands[2], Command::SealUsage { window: 41, counts: counts(&[("t1", 3), ("t2", 1)]) });
    let training = |command: &Command| match command {
        Command::Training(TrainingCommand::Submit { .. }) => Some("submit with text"),
        Command::Training(TrainingCommand::Record { .. }) => Some("record with text"),
        Command::Training(TrainingCommand::Step(command)) => Some(match command {
            StepCommand::Announce(_) => "announce",
            StepCommand::Submit { .. } => "submit",
            StepCommand::FixVersion { .. } => "fix version",
            StepCommand::Open { .. } => "begin",
            StepCommand::Record(_) => "record",
            StepCommand::RemoveWorker { .. } => "leave",
            StepCommand::Close { .. } => "close",
            StepCommand::Seal { .. } => "seal",
            StepCommand::Abort { .. } => "abort",
        }),
        Command::Change(_)
        | Command::SealUsage { .. }
        | Command::RaiseFormat { .. }
        | Command::Deregister { .. } => None,
    };
    let kinds: BTreeSet<&str> = commands.iter().filter_map(training).collect();
    let expected = [
        "abort",
        "announce",
        "begin",
        "close",
        "fix version",
        "leave",
        "record",
        "record with text",
        "seal",
        "submit with text",
    ];
    assert_eq!(kinds, BTreeSet::from(expected));
}

#[test]
fn stored_commands_come_to_the_stored_state() {
    let mut state = ControlState::default();
    for (index, command) in (1..).zip(commands()) {
        state.apply(index, &command).expect("it was accepted before");
    }
    assert_eq!(encoded(&state), json(STATE));
}

#[test]
fn stored_commands_of_format_1_come_to_the_stored_state() {
    let commands = decoded(COMMANDS_FORMAT_1);
    for (line, command) in COMMANDS_FORMAT_1.lines().zip(&commands) {
        assert_eq!(String::from_utf8(command.encode()).unwrap(), line);
    }
    let mut state = ControlState::default();
    for (index, command) in (1..).zip(commands) {
        state.apply(index, &command).expect("it was accepted before");
    }
    assert_eq!(encoded(&state), json(STATE_FORMAT_3));
    let state = ControlState::decode(STATE_FORMAT_3.as_bytes()).unwrap();
    assert_eq!(state.command_format(), 1);
    let deregistered: Vec<&str> = state.deregistered().iter().map(String::as_str).collect();
    assert_eq!(deregistered, ["i-1", "i-2", "i-3"]);
    assert!(state.deregistered().contains("i-2"));
    assert_eq!(encoded(&state), json(STATE_FORMAT_3));
}

#[test]
fn stored_commands_of_format_2_come_to_the_stored_state() {
    let commands = decoded(COMMANDS_FORMAT_2);
    for (line, command) in COMMANDS_FORMAT_2.lines().zip(&commands) {
        assert_eq!(String::from_utf8(command.encode()).unwrap(), line);
    }
    let mut state = ControlState::default();
    let mut tenants = Vec::new();
    for (index, command) in (1..).zip(commands) {
        state.apply(index, &command).expect("it was accepted before");
        tenants.push(state.document().and_then(|(document, _)| document.to_value().get("tenants").cloned()));
    }
    let empty = Some(Value::Array(Vec::new()));
    assert_eq!(tenants, [None, None, None, empty.clone(), empty]);
    assert_eq!(encoded(&state), json(STATE_AFTER_FORMAT_2));
    assert_eq!(
        encoded(&ControlState::decode(STATE_AFTER_FORMAT_2.as_bytes()).unwrap()),
        json(STATE_AFTER_FORMAT_2)
    );
}

/// Programs of the version before read format 2, and no later one.
#[test]
fn a_snapshot_has_format_2_until_all_members_decode_newer_commands() {
    let mut state = ControlState::default();
    assert_eq!(encoded(&state)["format"], 2);
    assert!(encoded(&state).get("deregistered").is_none());
    state.apply(1, &Command::RaiseFormat { format: 1 }).unwrap();
    assert_eq!(encoded(&state)["format"], 3);
}

#[test]
fn a_stored_snapshot_is_decoded_and_encoded_the_same() {
    let state = ControlState::decode(STATE.as_bytes()).unwrap();
    let (document, index) = state.document().expect("a document");
    let document = document.to_value();
    assert_eq!((state.version(), index), (6, 2));
    assert_eq!(document["routes"].as_array().unwrap().len(), 1);
    assert_eq!(document["backends"][0]["kept"]["as"], "sent");
    assert_eq!(document["unknown"][1], "two");
    assert_eq!(document["tenants"][1]["api_keys"][0], "k3");
    let backends = state.backends().expect("typed services");
    assert_eq!(backends[1].runtime.as_ref().unwrap().models[0].name, "m");
    assert_eq!(state.last_sealed(), 43);
    let sealed = BTreeMap::from([(41, counts(&[("t1", 3), ("t2", 1)])), (43, counts(&[("t1", 12)]))]);
    assert_eq!(*state.sealed(), sealed);
    let training = state.training();
    let steps: Vec<StepState> =
        training.step_table().steps().map(pathbank_rollout::step::Step::state).collect();
    let expected = [
        StepState::Sealed,
        StepState::Aborted,
        StepState::Sealing,
        StepState::Open,
        StepState::Preparing,
        StepState::Announced,
    ];
    assert_eq!(steps, expected);
    assert_eq!(training.prompt(1, 1).unwrap().prefix, "p/q");
    assert_eq!(training.output(1, 1).unwrap().text, "out one");
    assert!(training.output(1, 2).unwrap().truncated);
    assert_eq!(training.last_changed(1), 14);
    assert_eq!(encoded(&state), json(STATE));
}

#[test]
fn a_stored_snapshot_of_the_first_format_is_upgraded_as_before() {
    let state = ControlState::decode(STATE_FORMAT_1.as_bytes()).unwrap();
    assert_eq!((state.version(), state.document().unwrap().1), (5, 3));
    assert_eq!(encoded(&state), json(STATE_FORMAT_1_UPGRADED));
}

/// Digests of programs whose states have different forms must not be compared: whoever changes the form
/// changes `DIGEST_FORMAT` too, and this pair.
#[test]
fn the_digest_of_a_stored_state_belongs_to_its_format() {
    let digest = ControlState::decode(STATE.as_bytes()).unwrap().digest();
    assert_eq!((digest.format, digest.digest), (1, STATE_DIGEST));
}
