//! Waits of the rehearsal kit end: with the expected event or with an error, never without end.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::rehearsal::wait_within;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

const SILENCE: Duration = Duration::from_secs(20);
const AMONG_OTHERS: Duration = Duration::from_millis(100);

#[test]
fn an_expected_event_is_found_after_other_events() {
    let (sender, events) = channel();
    [1, 2, 3].into_iter().for_each(|event| sender.send(event).unwrap());
    let found = wait_within(&events, "three", (SILENCE, AMONG_OTHERS), |event| *event == 3);
    assert_eq!(found.unwrap(), 3);
}

#[test]
fn waiting_ends_if_a_program_repeats_another_event_forever() {
    let (sender, events) = channel();
    let sender_thread = thread::spawn(move || {
        while sender.send("still ill").is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    });
    let found = wait_within(&events, "well again", (SILENCE, AMONG_OTHERS), |event| *event == "well again");
    assert!(found.unwrap_err().to_string().contains("well again"));
    drop(events);
    sender_thread.join().unwrap();
}

#[test]
fn a_silent_program_and_an_ended_one_give_different_errors() {
    let (sender, events) = channel::<u32>();
    let silent = wait_within(&events, "an event", (AMONG_OTHERS, SILENCE), |_| true);
    assert!(silent.unwrap_err().to_string().contains("never came"));
    drop(sender);
    let ended = wait_within(&events, "an event", (SILENCE, SILENCE), |_| true);
    assert!(ended.unwrap_err().to_string().contains("ended before"));
}
