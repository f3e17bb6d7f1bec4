//! Tests of the log of recent requests.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::result_code::ResultCode;
use pathbank_router::request_log::{MAX_REQUESTS, RequestLog, Step, TimedStep};

fn sent(instance: &str) -> Step {
    Step::Sent { instance: instance.into() }
}

#[test]
fn steps_are_logged_in_order_with_their_times() {
    let mut log = RequestLog::default();
    log.record(100, "a", sent("i-1"));
    log.record(105, "b", Step::Refused { code: ResultCode::Overloaded });
    log.record(130, "a", Step::Broken);
    log.record(190, "a", sent("i-2"));
    let expected = [(0, sent("i-1")), (30, Step::Broken), (90, sent("i-2"))]
        .map(|(after_ms, step)| TimedStep { after_ms, step });
    assert_eq!(log.steps("a"), Some(&expected[..]));
    assert_eq!(log.steps("b").map(<[_]>::len), Some(1));
    assert_eq!(log.steps("c"), None);
}

#[test]
fn the_log_is_bounded_by_requests_and_by_steps() {
    let mut log = RequestLog::default();
    (0..=MAX_REQUESTS).for_each(|number| log.record(number as u64, &format!("r{number}"), Step::NotRun));
    assert_eq!(log.steps("r0"), None);
    assert!(log.steps("r1").is_some());
    (0..1_000).for_each(|_| log.record(5_000, "r1", Step::Resuming));
    assert!(log.steps("r1").unwrap().len() < 100);
}
