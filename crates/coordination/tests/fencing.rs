//! Rules by which a leader may act, and the fencing token of its permit.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_coordination::fencing::FencingGuard;

#[test]
fn a_permit_has_the_term_as_token_and_ends_with_the_lease() {
    let mut guard = FencingGuard::default();
    guard.record_leader("a");
    assert_eq!(guard.permit("a", 4, 900, 3_000, 1_000), None, "the lease has expired");
    let permit = guard.permit("a", 4, 1_500, 3_000, 1_000).unwrap();
    assert_eq!((permit.fencing_token, permit.valid_until), (4, 1_500));
}

#[test]
fn a_returning_leader_waits() {
    let mut guard = FencingGuard::default();
    ["a", "b", "a"].iter().for_each(|name| guard.record_leader(name));
    assert_eq!(guard.permit("a", 7, 9_000, 3_000, 1_000), None);
    assert_eq!(guard.permit("a", 7, 9_000, 3_000, 3_999), None);
    assert!(guard.permit("a", 7, 9_000, 3_000, 4_000).is_some());
}

#[test]
fn a_first_time_leader_and_one_reelected_in_a_row_act_at_once() {
    let mut guard = FencingGuard::default();
    ["a", "b"].iter().for_each(|name| guard.record_leader(name));
    assert!(guard.permit("b", 2, 9_000, 3_000, 1_000).is_some());
    guard.record_leader("b");
    assert!(guard.permit("b", 3, 9_000, 3_000, 1_001).is_some(), "no other leader acted in between");
}
