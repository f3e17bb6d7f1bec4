//! Tests of the adapter's program: malformed input, and an instance that restarts within a batch.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_pathbank-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    adapter.stdin.take().unwrap().write_all(input).unwrap();
    adapter.wait_with_output().unwrap()
}

fn batch(records: &[&[u8]]) -> Vec<u8> {
    let body = records.concat();
    let mut frame = (12 + body.len() as u32).to_be_bytes().to_vec();
    frame.extend(1_000_000u64.to_be_bytes());
    frame.extend(body);
    frame
}

fn start_record(settings: &str) -> Vec<u8> {
    let mut record = vec![16];
    record.extend(7u64.to_be_bytes());
    record.extend((settings.len() as u32).to_be_bytes());
    record.extend(settings.as_bytes());
    record
}

const INSTANCE: &[u8] = &[27, 0, 3];
const STOP: &[u8] = &[25];
const SETTINGS: &str =
    "balancers=1\nposition=0\nmembership_mode=subscribe\npolicy_limits.send_cap=2\nprofiles.count=0";

/// A cached, empty node list: an instance that has to subscribe answers with one TRACK record.
fn cached_empty_list() -> Vec<u8> {
    let mut records = vec![26, 0, 0, 0, 0, 0, 0];
    records.extend([17, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 1]);
    records
}

#[test]
fn end_of_input_between_frames_is_not_an_error() {
    let output = run(&batch(&[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [0, 0, 0, 8, 0, 0, 0, 0]);
}

#[test]
fn errors_in_frames_go_to_standard_error_after_complete_replies() {
    let unknown = batch(&[INSTANCE, &[99]]);
    let never_started = batch(&[INSTANCE, &[21, 0, 0, 0, 0, 0, 0, 0, 1]]);
    for (bad, what) in [
        (&unknown[..], "byte 15 of the frame: unknown event code 99"),
        (&never_started, "byte 15 of the frame: instance 3 was never started"),
        (&unknown[..14], "byte 14 of the frame: cut short"),
    ] {
        let output = run(&[batch(&[]), bad.to_vec()].concat());
        assert_eq!(output.status.code(), Some(1));
        assert_eq!(output.stdout, [0, 0, 0, 8, 0, 0, 0, 0]);
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(message.contains(what) && message.lines().count() == 1, "{message}");
    }
}

#[test]
fn missing_settings_are_reported_as_a_bug_of_their_instance() {
    let output = run(&batch(&[INSTANCE, &start_record("balancers=3\n"), &cached_empty_list()]));
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains("settings: profiles.count is missing"), "{text}");
}

#[test]
fn a_restart_within_a_batch_drops_the_actions_from_before_it() {
    let start = [start_record(SETTINGS), cached_empty_list()].concat();
    let output = run(&batch(&[INSTANCE, &start, STOP, &start]));
    // One SOURCE and one TRACK record, from after the restart.
    assert_eq!(output.stdout, [0, 0, 0, 13, 0, 0, 0, 2, 28, 0, 3, 26, 1]);
}
