//! Rules by which a leader may act, and the fencing token of its permit.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_coordination::calls_in_flight::CallsInFlight;
use pathbank_coordination::fencing::{FencingGuard, Leadership, Waits};
use pathbank_coordination::types::Term;

const WAITS: Waits = Waits { returning_leader_ms: 3_000, max_delivery_ms: 2_000 };

fn leadership(name: &str, term: Term) -> Leadership<'_> {
    Leadership { name, term, lease_until: 9_000, follows_settled_leader: false }
}

fn after_settled(name: &str, term: Term) -> Leadership<'_> {
    Leadership { follows_settled_leader: true, ..leadership(name, term) }
}

fn guard(leaders: &[&str]) -> FencingGuard {
    let mut guard = FencingGuard::default();
    leaders.iter().for_each(|name| guard.record_leader(name));
    guard
}

#[test]
fn a_permit_has_the_term_as_token_and_ends_with_the_lease() {
    let mut guard = guard(&["a"]);
    let leadership = |lease_until| Leadership { lease_until, ..leadership("a", 4) };
    assert_eq!(guard.permit(&leadership(900), &WAITS, 1_000), None, "the lease has expired");
    let permit = guard.permit(&leadership(1_500), &WAITS, 1_000).unwrap();
    assert_eq!((permit.fencing_token, permit.valid_until), (4, 1_500));
}

#[test]
fn a_returning_leader_waits() {
    let mut guard = guard(&["a", "b", "a"]);
    assert_eq!(guard.permit(&after_settled("a", 7), &WAITS, 1_000), None);
    assert_eq!(guard.permit(&after_settled("a", 7), &WAITS, 3_999), None);
    assert!(guard.permit(&after_settled("a", 7), &WAITS, 4_000).is_some());
}

#[test]
fn the_first_leader_of_all_acts_at_once() {
    assert!(guard(&["a"]).permit(&leadership("a", 1), &WAITS, 1_000).is_some());
}

/// Guards against calls of an earlier leader that arrive after those of a later one: what was written before the
/// later one led may be delivered until then. The same machine's earlier term, before a restart, counts as well.
#[test]
fn a_leader_waits_until_nothing_of_earlier_leaders_may_arrive() {
    for leaders in [&["a", "b"][..], &["b", "b"]] {
        let mut guard = guard(leaders);
        assert_eq!(guard.permit(&leadership("b", 2), &WAITS, 1_000), None, "{leaders:?}");
        assert_eq!(guard.permit(&leadership("b", 2), &WAITS, 2_999), None, "{leaders:?}");
        assert!(!guard.are_earlier_calls_settled(&leadership("b", 2), &WAITS, 2_999));
        assert!(guard.permit(&leadership("b", 2), &WAITS, 3_000).is_some(), "{leaders:?}");
        assert!(guard.are_earlier_calls_settled(&leadership("b", 2), &WAITS, 3_000));
        assert_eq!(guard.permit(&leadership("b", 3), &WAITS, 3_001), None, "another term begins anew");
    }
}

#[test]
fn the_leaders_of_a_snapshot_are_earlier_ones() {
    let mut guard = FencingGuard::default();
    guard.restore(vec!["a".to_owned()]);
    guard.record_leader("b");
    assert_eq!(guard.permit(&leadership("b", 2), &WAITS, 1_000), None);
    assert!(guard.permit(&leadership("b", 2), &WAITS, 3_000).is_some());
}

#[test]
fn a_leader_acts_at_once_after_one_that_handed_over_with_all_calls_settled() {
    let mut guard = guard(&["a", "b"]);
    assert!(guard.permit(&after_settled("b", 2), &WAITS, 1_000).is_some());
    assert!(guard.are_earlier_calls_settled(&after_settled("b", 2), &WAITS, 1_000));
}

#[test]
fn calls_are_settled_once_answered_or_too_old_to_arrive() {
    let mut calls = CallsInFlight::new(2_000);
    assert!(calls.are_settled(0));
    let first = calls.begin(1_000);
    let second = calls.begin(1_500);
    calls.settle(second);
    assert!(!calls.are_settled(2_999));
    assert!(calls.are_settled(3_000));
    calls.settle(first);
    assert!(calls.are_settled(1_000));
}
