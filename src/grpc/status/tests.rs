use super::*;
use crate::interface::AttemptResult;

#[test]
fn each_status_of_a_node_has_its_end_and_what_is_no_status_has_its_own() {
    let full = AttemptResult::Overloaded;
    for (text, not_processed, wanted) in [
        ("0", false, AttemptResult::Served),
        ("5", false, AttemptResult::Served),
        ("12", false, AttemptResult::Served),
        ("16", false, AttemptResult::Served),
        ("1", false, AttemptResult::Error),
        ("2", true, AttemptResult::Error),
        ("4", false, AttemptResult::Error),
        ("4", true, full),
        ("8", false, AttemptResult::Error),
        ("8", true, full),
        ("13", false, AttemptResult::Error),
        ("14", false, AttemptResult::Error),
        ("14", true, full),
        ("15", false, AttemptResult::Error),
        ("17", false, AttemptResult::Error),
        ("-1", false, AttemptResult::Error),
        ("+1", false, AttemptResult::Error),
        ("007", false, AttemptResult::Error),
        ("", false, AttemptResult::Error),
        ("OK", false, AttemptResult::Error),
    ] {
        assert_eq!(attempt(read(Some(text.as_bytes())), not_processed).result(), wanted, "{text:?}");
    }
    assert_eq!(attempt(read(None), true), AttemptEnd::BadAnswer);
}

#[test]
fn what_may_have_run_never_gets_a_status_that_clients_retry_on() {
    let retried = [UNAVAILABLE, RESOURCE_EXHAUSTED];
    for code in (0..=LAST).map(Some).chain([None]) {
        for begun in [false, true] {
            let status = Final::Failed(code).status(begun);
            assert!(!retried.contains(&status.code) && status.code != OK, "{code:?}");
            assert_eq!(status.pushback, Pushback::Never);
        }
    }
    let after = Duration::from_millis(300);
    assert_eq!(Final::Refused(after).status(false).code, UNAVAILABLE);
    assert_eq!(Final::Refused(after).status(false).pushback, Pushback::After(after));
    // The class may allow a repeat, but some of the answer is out.
    assert_eq!(Final::Refused(after).status(true).code, UNKNOWN);
    assert_eq!(Final::Refused(after).status(true).pushback, Pushback::Never);
    assert_eq!(Final::OutOfTime.status(true).code, DEADLINE_EXCEEDED);
}

#[test]
fn details_tell_the_delay_again() {
    let after = Duration::from_millis(2_345);
    let bytes = details::encode(UNAVAILABLE, "refused", after);
    assert_eq!(details::retry_delay(&bytes), Some(after));
    assert_eq!(&bytes[..2], [8, 14], "the first field is the code");
    assert_eq!(details::retry_delay(b"\xff"), None);
}
