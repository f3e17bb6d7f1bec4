//! Tests of the list of model servers, and of what cores publish of it.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::model_server;
use pathbank_control::directory::Directory;
use pathbank_control::pending_changes::{PendingChanges, ServerChanges};
use pathbank_protocol::message::{LoadedModel, ModelServer, ModelServerState, OrderStatus};
use std::time::{Duration, Instant};

const HEARTBEAT_MS: u64 = 1_200;

fn next_heartbeat(mut server: ModelServer, sequence: u64, state: ModelServerState) -> ModelServer {
    (server.sequence, server.state) = (sequence, state);
    server
}

fn state_of(directory: &Directory, instance: &str) -> ModelServerState {
    directory.server(instance).unwrap().state
}

// ---- directory ----

#[test]
fn a_draining_server_never_becomes_ready_again() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &[]));
    assert!(
        directory
            .observe_heartbeat(10, next_heartbeat(model_server(1, &[]), 5, ModelServerState::Draining))
            .changed
    );
    assert!(
        !directory
            .observe_heartbeat(20, next_heartbeat(model_server(1, &[]), 4, ModelServerState::Ready))
            .changed,
        "an older word"
    );
    directory.observe_heartbeat(30, next_heartbeat(model_server(1, &[]), 6, ModelServerState::Ready));
    assert_eq!(state_of(&directory, "i-1"), ModelServerState::Draining);
    assert_eq!(directory.ready().count(), 0);
}

#[test]
fn an_older_heartbeat_changes_nothing() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, next_heartbeat(model_server(1, &["new"]), 7, ModelServerState::Ready));
    let late = directory
        .observe_heartbeat(10, next_heartbeat(model_server(1, &["old"]), 6, ModelServerState::Ready));
    assert!(!late.changed && !late.relay);
    assert_eq!(directory.server("i-1").unwrap().models[0].name, "new");
}

#[test]
fn a_deregistered_server_stays_removed_whatever_heartbeats_arrive_late() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &[]));
    assert_eq!(directory.deregister(10, "i-1").unwrap().state, ModelServerState::Removed);
    directory.observe_heartbeat(20, next_heartbeat(model_server(1, &[]), 9, ModelServerState::Ready));
    assert_eq!(state_of(&directory, "i-1"), ModelServerState::Removed);
}

/// Guards against requests to a server that left: a core that had missed its last heartbeat numbered its removal
/// too low, and the others dropped that.
#[test]
fn a_deregistration_heard_by_a_core_that_is_a_heartbeat_behind_counts_at_every_core() {
    let mut behind = Directory::new(HEARTBEAT_MS);
    let mut ahead = Directory::new(HEARTBEAT_MS);
    behind.observe_heartbeat(0, next_heartbeat(model_server(1, &[]), 4, ModelServerState::Ready));
    ahead.observe_heartbeat(0, next_heartbeat(model_server(1, &[]), 9, ModelServerState::Ready));
    let removed = behind.deregister(10, "i-1").expect("it is new");
    assert!(ahead.observe_heartbeat(20, removed.clone()).changed);
    assert_eq!(state_of(&ahead, "i-1"), ModelServerState::Removed);
    assert!(!ahead.observe_heartbeat(30, removed).changed, "it comes twice");
    ahead.observe_heartbeat(40, next_heartbeat(model_server(1, &[]), 10, ModelServerState::Ready));
    assert_eq!(state_of(&ahead, "i-1"), ModelServerState::Removed, "a late heartbeat");
}

/// Guards against requests to a server that left: a core that had just started forgot the deregistration of a
/// server that it did not know.
#[test]
fn a_deregistration_of_an_unknown_server_is_remembered() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    let removed = directory.deregister(0, "i-1").expect("it is new");
    assert_eq!(removed.state, ModelServerState::Removed);
    assert_eq!(directory.deregister(10, "i-1"), None, "it comes twice");
    let late =
        directory.observe_heartbeat(20, next_heartbeat(model_server(1, &[]), 7, ModelServerState::Ready));
    assert!(!late.changed && !late.relay);
    assert_eq!(state_of(&directory, "i-1"), ModelServerState::Removed);
}

/// Guards against a server that is acknowledged and never listed: a core that was behind took a time-out that
/// another core relayed for a deregistration.
#[test]
fn a_relayed_timeout_is_no_deregistration() {
    let mut timed_out = Directory::new(HEARTBEAT_MS);
    let mut behind = Directory::new(HEARTBEAT_MS);
    timed_out.observe_heartbeat(0, next_heartbeat(model_server(1, &[]), 5, ModelServerState::Ready));
    behind.observe_heartbeat(0, next_heartbeat(model_server(1, &[]), 4, ModelServerState::Ready));
    let expired = timed_out.expire(5 * HEARTBEAT_MS).remove(0);
    assert!(behind.observe_heartbeat(10, expired).changed);
    assert!(
        behind
            .observe_heartbeat(20, next_heartbeat(model_server(1, &[]), 6, ModelServerState::Ready))
            .changed
    );
    assert_eq!(state_of(&behind, "i-1"), ModelServerState::Ready);
}

/// Guards against a server that is acknowledged and never listed: a late heartbeat of an ended incarnation, at a
/// core that had started since, removed its successor at the address for good.
#[test]
fn a_server_displaced_by_a_late_heartbeat_returns_with_its_next_one() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, next_heartbeat(model_server(1, &[]), 4, ModelServerState::Ready));
    let mut ended = next_heartbeat(model_server(1, &[]), 30, ModelServerState::Ready);
    ended.instance = "i-ended".into();
    assert_eq!(directory.observe_heartbeat(10, ended).displaced.len(), 1);
    assert_eq!(state_of(&directory, "i-1"), ModelServerState::Removed);
    let outcome =
        directory.observe_heartbeat(20, next_heartbeat(model_server(1, &[]), 5, ModelServerState::Ready));
    assert!(outcome.changed);
    assert_eq!(outcome.displaced[0].instance, "i-ended");
    assert_eq!(state_of(&directory, "i-1"), ModelServerState::Ready);
    assert_eq!(state_of(&directory, "i-ended"), ModelServerState::Removed);
}

#[test]
fn a_server_whose_heartbeats_time_out_is_removed_until_the_next_heartbeat() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &[]));
    assert!(directory.expire(5 * HEARTBEAT_MS - 1).is_empty());
    assert_eq!(directory.expire(5 * HEARTBEAT_MS).len(), 1);
    assert!(
        directory
            .observe_heartbeat(9_000, next_heartbeat(model_server(1, &[]), 2, ModelServerState::Ready))
            .changed
    );
    assert_eq!(directory.ready().count(), 1);
}

#[test]
fn missed_heartbeats_do_not_count_after_a_partition_of_this_core() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &[]));
    directory.reset_timeouts(9_000);
    assert!(directory.expire(9_100).is_empty());
    assert_eq!(directory.expire(9_000 + 5 * HEARTBEAT_MS).len(), 1);
}

#[test]
fn another_incarnation_at_the_address_removes_the_one_before() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &["m"]));
    let mut next = model_server(1, &[]);
    next.instance = "i-next".into();
    let outcome = directory.observe_heartbeat(10, next);
    assert_eq!(outcome.displaced.len(), 1, "edges are told of the displaced server");
    assert_eq!(outcome.displaced[0].state, ModelServerState::Removed);
    assert_eq!(state_of(&directory, "i-1"), ModelServerState::Removed);
    assert!(directory.cached_weights()["10.0.0.1:80"].contains("m"), "the machine's disk still has it");
}

/// After all machines were killed, cores answered each other's vote requests only after half a second: they
/// compared the first heartbeat of each instance with all known instances, which took 0.1 to 0.2 ms on a
/// third of a processor core with 3,008 instances. With the number of instances in this test it would take
/// minutes; with an index by address it takes a fraction of a second.
#[test]
fn a_first_heartbeat_costs_the_same_however_many_servers_are_known() {
    const SERVERS: usize = 100_000;
    const FAR_MORE_THAN_NEEDED: Duration = Duration::from_secs(20);
    let mut directory = Directory::new(HEARTBEAT_MS);
    let begun = Instant::now();
    for number in 0..SERVERS {
        assert!(directory.observe_heartbeat(0, model_server(number, &[])).changed);
        assert!(
            begun.elapsed() < FAR_MORE_THAN_NEEDED,
            "only {number} of {SERVERS} model servers were heard by then"
        );
    }
}

#[test]
fn a_server_is_displaced_at_the_address_where_it_is_now() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &[]));
    let mut moved = next_heartbeat(model_server(1, &[]), 2, ModelServerState::Ready);
    moved.address = "10.0.0.2:80".into();
    directory.observe_heartbeat(10, moved);
    let mut at_old_address = model_server(3, &[]);
    at_old_address.address = "10.0.0.1:80".into();
    assert!(directory.observe_heartbeat(20, at_old_address).displaced.is_empty());
    assert_eq!(directory.observe_heartbeat(30, model_server(2, &[])).displaced.len(), 1);
    assert_eq!(state_of(&directory, "i-1"), ModelServerState::Removed);
}

#[test]
fn an_expired_server_is_not_displaced() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &[]));
    directory.deregister(0, "i-1");
    directory.expire(1_000_000);
    assert!(directory.server("i-1").is_none());
    let mut next = model_server(1, &[]);
    next.instance = "i-next".into();
    assert!(directory.observe_heartbeat(1_000_000, next).displaced.is_empty());
}

#[test]
fn unchanged_heartbeats_are_relayed_at_an_interval_and_not_published_to_edges() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &["m"]));
    let mut relayed = 0;
    for round in 1..=10 {
        let outcome = directory.observe_heartbeat(
            round * HEARTBEAT_MS,
            next_heartbeat(model_server(1, &["m"]), round + 1, ModelServerState::Ready),
        );
        assert!(!outcome.changed);
        relayed += u64::from(outcome.relay);
    }
    assert_eq!(relayed, 5);
}

#[test]
fn a_withheld_model_is_not_published() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &["m", "n"]));
    assert_eq!(directory.withhold("i-1", "m", "").unwrap().models.len(), 1);
    directory.observe_heartbeat(10, next_heartbeat(model_server(1, &["m", "n"]), 2, ModelServerState::Ready));
    assert_eq!(
        directory.server("i-1").unwrap().models.len(),
        1,
        "a heartbeat from before the order does not publish it either"
    );
    assert_eq!(directory.release("i-1").unwrap().models.len(), 2);
}

// ---- order status ----

/// The leader's order status of a model server, as another core receives it.
fn order_status(leader: &Directory, instance: &str, reported: bool) -> OrderStatus {
    leader.order_status(instance, reported).expect("it is known")
}

#[test]
fn another_core_applies_what_the_leader_withholds_until_the_order_has_ended() {
    let mut leader = Directory::new(HEARTBEAT_MS);
    let mut other = Directory::new(HEARTBEAT_MS);
    [&mut leader, &mut other]
        .into_iter()
        .for_each(|directory| drop(directory.observe_heartbeat(0, model_server(1, &["m", "n"]))));
    leader.withhold("i-1", "m", "");
    assert_eq!(other.apply_order_status(10, order_status(&leader, "i-1", false)).unwrap().models.len(), 1);
    assert_eq!(
        other.apply_order_status(20, order_status(&leader, "i-1", false)),
        None,
        "a repeated status changes nothing"
    );
    other.observe_heartbeat(30, next_heartbeat(model_server(1, &["m", "n"]), 2, ModelServerState::Ready));
    assert_eq!(other.server("i-1").unwrap().models.len(), 1, "a heartbeat from before the order's end");
    // The order has ended: the model server holds another model, and reports it before its next heartbeat.
    leader.release("i-1");
    let loaded = |name: &str| LoadedModel { name: name.into(), version: 1, adapters: Vec::new() };
    leader.observe_report(0, "i-1", vec![loaded("n"), loaded("o")], false);
    let published = other.apply_order_status(40, order_status(&leader, "i-1", true)).unwrap();
    assert_eq!(published.models.iter().map(|loaded| loaded.name.as_str()).collect::<Vec<_>>(), ["n", "o"]);
}

/// A heartbeat that a model server had written before it completed an unload published the unloaded model
/// again. For a second, edges sent the server requests that it rejected.
#[test]
fn a_stale_heartbeat_does_not_undo_a_completed_order() {
    let mut directory = Directory::new(HEARTBEAT_MS);
    directory.observe_heartbeat(0, model_server(1, &["a", "b"]));
    directory.withhold("i-1", "a", "");
    directory.observe_report(1_000, "i-1", model_server(1, &["b"]).models, false);
    directory.release("i-1");
    let names = |directory: &Directory| -> Vec<String> {
        directory.server("i-1").unwrap().models.into_iter().map(|loaded| loaded.name).collect()
    };
    directory
        .observe_heartbeat(1_100, next_heartbeat(model_server(1, &["a", "b"]), 2, ModelServerState::Ready));
    assert_eq!(names(&directory), ["b"]);
    directory
        .observe_heartbeat(2_300, next_heartbeat(model_server(1, &["a", "b"]), 3, ModelServerState::Ready));
    assert_eq!(names(&directory), ["a", "b"], "a later heartbeat counts");
}

#[test]
fn withheld_models_expire_without_a_leader() {
    let mut leader = Directory::new(HEARTBEAT_MS);
    let mut other = Directory::new(HEARTBEAT_MS);
    [&mut leader, &mut other]
        .into_iter()
        .for_each(|directory| drop(directory.observe_heartbeat(0, model_server(1, &["m"]))));
    leader.withhold("i-1", "m", "");
    other.apply_order_status(10, order_status(&leader, "i-1", false));
    assert_eq!(leader.withholding().collect::<Vec<_>>(), ["i-1"]);
    assert!(other.expire_withheld(8_009).is_empty());
    assert_eq!(other.expire_withheld(8_010).len(), 1);
    assert_eq!(other.server("i-1").unwrap().models.len(), 1);
    assert!(leader.expire_withheld(1_000_000).is_empty(), "the leader knows the end of its order");
}

// ---- pending changes ----

#[test]
fn the_first_unavailable_server_is_published_at_once_and_later_ones_in_batches() {
    let mut pending = PendingChanges::default();
    pending.record_changed("stays".into());
    assert_eq!(pending.take_urgent(0), None, "later changes are collected");
    let mut published = Vec::new();
    for now in 0..100 {
        pending.record_unavailable(format!("i-{now}"));
        published.extend(pending.take_urgent(now).map(|pending| (now, pending.unavailable.len())));
    }
    assert_eq!(published, [(0, 1), (25, 25), (50, 25), (75, 25)]);
    assert_eq!(pending.take(100).unavailable.len(), 24);
}

#[test]
fn unavailability_replaces_other_changes_of_a_server() {
    let mut pending = PendingChanges::default();
    pending.record_changed("i-1".into());
    pending.record_unavailable("i-1".into());
    pending.record_changed("i-1".into());
    let published = pending.take_urgent(0).unwrap();
    assert_eq!((published.unavailable.len(), published.changed.len()), (1, 0));
    assert_eq!(pending.take(1), ServerChanges::default());
}
