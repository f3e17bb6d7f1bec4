//! What the rehearsal kit waits for comes, or is said never to come: no case waits for good.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::rehearsal::wait_within;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

const SILENCE: Duration = Duration::from_secs(20);
const AMID_OTHERS: Duration = Duration::from_millis(100);

#[test]
fn an_event_that_fits_is_found_behind_others() {
    let (sender, events) = channel();
    [1, 2, 3].into_iter().for_each(|event| sender.send(event).unwrap());
    let found = wait_within(&events, "three", (SILENCE, AMID_OTHERS), |event| *event == 3);
    assert_eq!(found.unwrap(), 3);
}

#[test]
fn a_program_that_tells_the_same_for_good_is_stuck() {
    let (sender, events) = channel();
    let tells = thread::spawn(move || {
        while sender.send("still ill").is_ok() {
            thread::sleep(Duration::from_millis(1));
        }
    });
    let found = wait_within(&events, "well again", (SILENCE, AMID_OTHERS), |event| *event == "well again");
    assert!(found.unwrap_err().to_string().contains("well again"));
    drop(events);
    tells.join().unwrap();
}

#[test]
fn a_program_that_says_nothing_or_ends_is_told_apart() {
    let (sender, events) = channel::<u32>();
    let silent = wait_within(&events, "a word", (AMID_OTHERS, SILENCE), |_| true);
    assert!(silent.unwrap_err().to_string().contains("never came"));
    drop(sender);
    let ended = wait_within(&events, "a word", (SILENCE, SILENCE), |_| true);
    assert!(ended.unwrap_err().to_string().contains("ended before"));
}
