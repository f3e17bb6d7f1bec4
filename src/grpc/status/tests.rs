use super::*;
use crate::interface::AttemptResult;

#[test]
fn each_status_of_a_node_maps_to_a_result_and_malformed_ones_to_an_error() {
    let overloaded = AttemptResult::Overloaded;
    for (text, not_processed, wanted) in [
        ("0", false, AttemptResult::Served),
        ("5", false, AttemptResult::Served),
        ("12", false, AttemptResult::Served),
        ("16", false, AttemptResult::Served),
        ("1", false, AttemptResult::Error),
        ("2", true, AttemptResult::Error),
        ("4", false, AttemptResult::Error),
        ("4", true, overloaded),
        ("8", false, AttemptResult::Error),
        ("8", true, overloaded),
        ("13", false, AttemptResult::Error),
        ("14", false, AttemptResult::Error),
        ("14", true, overloaded),
        ("15", false, AttemptResult::Error),
        ("17", false, AttemptResult::Error),
        ("-1", false, AttemptResult::Error),
        ("+1", false, AttemptResult::Error),
        ("007", false, AttemptResult::Error),
        ("", false, AttemptResult::Error),
        ("OK", false, AttemptResult::Error),
    ] {
        assert_eq!(
            attempt_end(parse_code(Some(text.as_bytes())), not_processed).result(),
            wanted,
            "{text:?}"
        );
    }
    assert_eq!(attempt_end(parse_code(None), true), AttemptEnd::BadAnswer);
}

#[test]
fn a_call_that_may_have_run_never_gets_a_status_on_which_clients_retry() {
    let retried = [UNAVAILABLE, RESOURCE_EXHAUSTED];
    for code in (0..=LAST).map(Some).chain([None]) {
        for started in [false, true] {
            let status = Final::Failed(code).status(started);
            assert!(!retried.contains(&status.code) && status.code != OK, "{code:?}");
            assert_eq!(status.pushback, Pushback::Never);
        }
    }
    let after = Duration::from_millis(300);
    assert_eq!(Final::Refused(after).status(false).code, UNAVAILABLE);
    assert_eq!(Final::Refused(after).status(false).pushback, Pushback::After(after));
    // The class may allow a retry, but the client already has a part of the response.
    assert_eq!(Final::Refused(after).status(true).code, UNKNOWN);
    assert_eq!(Final::Refused(after).status(true).pushback, Pushback::Never);
    assert_eq!(Final::OutOfTime.status(true).code, DEADLINE_EXCEEDED);
}

#[test]
fn the_retry_delay_survives_encoding_and_decoding() {
    let after = Duration::from_millis(2_345);
    let bytes = details::encode(UNAVAILABLE, "refused", after);
    assert_eq!(details::retry_delay(&bytes), Some(after));
    assert_eq!(&bytes[..2], [8, 14], "the first field is the status code");
    assert_eq!(details::retry_delay(b"\xff"), None);
}
