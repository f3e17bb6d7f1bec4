//! Tests of the replicated list of deregistered instances, and of deregistrations that are not committed yet.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::command_outcome::CommandOutcome;
use pathbank_control::deregistrations::{
    DeregisteredInstances, MAX_DEREGISTERED_INSTANCES, PendingDeregistrations,
};
use pathbank_control::state::{Command, ControlState};

fn deregister(instances: &[&str]) -> Command {
    Command::Deregister { instances: instances.iter().map(|instance| (*instance).to_owned()).collect() }
}

// ---- the replicated list ----

#[test]
fn a_deregistration_that_comes_twice_changes_nothing() {
    let mut state = ControlState::default();
    assert_eq!(state.apply(1, &deregister(&["i-1"])), Ok(CommandOutcome::Applied));
    let before = state.encode();
    assert_eq!(state.apply(2, &deregister(&["i-1"])), Ok(CommandOutcome::AlreadyApplied));
    assert_eq!(state.encode(), before);
    assert_eq!(state.apply(3, &deregister(&["i-1", "i-2"])), Ok(CommandOutcome::Applied));
    assert_eq!(state.deregistered().iter().collect::<Vec<_>>(), ["i-1", "i-2"]);
}

#[test]
fn the_format_of_commands_never_falls() {
    let mut state = ControlState::default();
    assert_eq!(state.apply(1, &Command::RaiseFormat { format: 1 }), Ok(CommandOutcome::Applied));
    assert_eq!(state.apply(2, &Command::RaiseFormat { format: 0 }), Ok(CommandOutcome::AlreadyApplied));
    assert_eq!(state.command_format(), 1);
}

#[test]
fn the_oldest_deregistrations_are_evicted_beyond_the_limit() {
    let mut instances = DeregisteredInstances::default();
    for number in 0..=MAX_DEREGISTERED_INSTANCES {
        assert!(instances.record(&format!("i-{number}")));
    }
    assert!(!instances.contains("i-0"));
    assert!(instances.contains("i-1"));
    assert_eq!(instances.iter().count(), MAX_DEREGISTERED_INSTANCES);
}

// ---- pending deregistrations ----

#[test]
fn a_leader_proposes_each_deregistration_once_in_its_term() {
    let mut pending = PendingDeregistrations::<()>::default();
    pending.record(0, "i-1");
    pending.record(0, "i-2");
    assert_eq!(pending.take_unproposed(4), ["i-1", "i-2"]);
    assert!(pending.take_unproposed(4).is_empty());
    pending.on_committed("i-1");
    assert_eq!(pending.take_unproposed(6), ["i-2"], "the leader of term 4 may have lost its entry");
}

#[test]
fn a_deregistration_is_relayed_again_only_while_a_caller_waits() {
    let mut pending = PendingDeregistrations::default();
    pending.record(0, "heard");
    pending.await_commit(0, "waited for", 1);
    assert!(pending.take_due_relays(199).is_empty());
    assert_eq!(pending.take_due_relays(200), ["waited for"]);
    assert!(pending.take_due_relays(399).is_empty());
    assert_eq!(pending.take_due_relays(400), ["waited for"]);
}

#[test]
fn every_caller_is_answered_by_the_commit_or_by_its_own_timeout() {
    let mut pending = PendingDeregistrations::default();
    pending.await_commit(0, "i-1", 1);
    pending.await_commit(500, "i-1", 2);
    assert!(pending.expire(799).is_empty());
    assert_eq!(pending.expire(800), [1]);
    assert_eq!(pending.on_committed("i-1"), [2]);
    assert!(pending.expire(10_000).is_empty());
    assert!(pending.is_empty());
}

/// The leader may hear of a deregistration long after its caller has given up: no answer means that the server's
/// removal may or may not be committed.
#[test]
fn a_deregistration_whose_caller_gave_up_is_still_proposed() {
    let mut pending = PendingDeregistrations::default();
    pending.await_commit(0, "i-1", 1);
    assert_eq!(pending.expire(59_999), [1]);
    assert_eq!(pending.take_unproposed(2), ["i-1"]);
    pending.expire(60_000);
    assert_eq!(pending.len(), 0);
}
