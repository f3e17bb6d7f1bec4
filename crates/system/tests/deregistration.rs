//! Model servers that deregister while cores restart, at cores that know less than others, and beside cores that
//! do not run. An acknowledged deregistration counts at every core, and every edge hears of it.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::listener::EdgeListener;
use common::{System, call, document, until};
use pathbank_protocol::message::{Frame, ModelServer, ModelServerState};
use pathbank_system::local::Process;
use std::time::{Duration, Instant};
use test_case::test_case;

const INSTANCE: &str = "i-1";
/// Every edge knows of an acknowledged deregistration within this: `drain_ms` of the settings.
const KNOWN_WITHIN: Duration = Duration::from_millis(2_000);

fn started() -> System {
    let system = System::started();
    system.configure(0, &document(3));
    system.until_ready();
    until("all cores replicate deregistrations", || {
        (0..3).all(|core| system.status(core).is_some_and(|status| status["command_format"] != 0))
    });
    system
}

fn heartbeat(sequence: u64) -> ModelServer {
    common::heartbeat(INSTANCE, "127.9.0.1:80", sequence)
}

/// Tells one core alone of a heartbeat, as another core relays it.
fn relay(listener: &EdgeListener, server: ModelServer) {
    until("the link is open", || listener.say(&Frame::Heartbeats(vec![server.clone()])));
}

/// The status of the answer; `None`: there was no answer.
fn deregister(system: &System, core: usize) -> Option<u16> {
    let path = format!("/api/instances/{INSTANCE}/deregister");
    call(system.control[core], "POST", &path, &[], "").map(|answer| answer.status)
}

fn deregister_until_acknowledged(system: &System, core: usize) -> Instant {
    until("the deregistration is acknowledged", || deregister(system, core) == Some(200));
    Instant::now()
}

/// The state of the model server in a core's overview.
fn state_at(system: &System, core: usize) -> Option<String> {
    let answer = call(system.control[core], "GET", "/api/bricks", &[], "")?;
    let servers: Vec<serde_json::Value> = serde_json::from_str(&answer.body).ok()?;
    let server = servers.into_iter().find(|server| server["instance"] == INSTANCE)?;
    server["state"].as_str().map(str::to_owned)
}

fn assert_known_everywhere(system: &System, acknowledged: Instant) {
    for core in 0..system.control.len() {
        until("the core knows of the deregistration", || {
            state_at(system, core).as_deref() == Some("gone") || acknowledged.elapsed() > KNOWN_WITHIN
        });
        assert_eq!(state_at(system, core).as_deref(), Some("gone"), "core {core}");
    }
}

fn updates_of(listener: &EdgeListener) -> Vec<ModelServer> {
    let updates = listener.heard().into_iter().filter_map(|frame| match frame {
        Frame::ModelServers(update) => Some(update.servers),
        _ => None,
    });
    updates.flatten().filter(|server| server.instance == INSTANCE).collect()
}

fn assert_published_as_gone(listener: &EdgeListener) {
    until("the edge hears of the deregistration", || !updates_of(listener).is_empty());
    assert!(updates_of(listener).iter().all(|server| server.state == ModelServerState::Removed));
}

/// Guards against requests to a server that left (DRAIN): a core that had just started acknowledged the
/// deregistration of a server that it did not know, and forgot it.
#[test]
fn a_core_that_has_just_started_does_not_forget_a_deregistration() {
    let mut system = started();
    system.local.cores.iter_mut().for_each(Process::kill);
    system.local.start().expect("the program starts");
    let acknowledged = deregister_until_acknowledged(&system, 0);
    assert_known_everywhere(&system, acknowledged);
    for core in 0..3 {
        let listener = EdgeListener::of(system.local.internal[core]);
        relay(&listener, heartbeat(9));
        assert_published_as_gone(&listener);
    }
}

/// Guards against requests to a server that left (DRAIN): the core that was told had missed the server's last
/// heartbeats, numbered the removal too low, and a core that was ahead dropped it and listed the server on.
#[test_case(4, 5; "one heartbeat behind")]
#[test_case(1, 900; "far behind")]
fn a_deregistration_at_a_core_that_is_behind_counts_at_the_others(behind: u64, ahead: u64) {
    let system = started();
    let listeners: Vec<EdgeListener> =
        system.local.internal.iter().map(|core| EdgeListener::of(*core)).collect();
    relay(&listeners[0], heartbeat(behind));
    relay(&listeners[1], heartbeat(ahead));
    until("two cores know the server", || {
        (0..2).all(|core| state_at(&system, core).as_deref() == Some("ready"))
    });
    let acknowledged = deregister_until_acknowledged(&system, 0);
    assert_known_everywhere(&system, acknowledged);
    assert_published_as_gone(&EdgeListener::of(system.local.internal[1]));
}

/// Guards against acknowledgements that a restart makes untrue: the deregistration was in memory only.
#[test_case(3; "all cores")]
#[test_case(1; "the core that acknowledged")]
fn an_acknowledged_deregistration_outlives_cores_that_are_killed_at_once(killed: usize) {
    let mut system = started();
    deregister_until_acknowledged(&system, 0);
    system.local.cores[..killed].iter_mut().for_each(Process::kill);
    system.local.start().expect("the program starts");
    for core in 0..3 {
        until("the core knows of the deregistration", || state_at(&system, core).as_deref() == Some("gone"));
        let listener = EdgeListener::of(system.local.internal[core]);
        relay(&listener, heartbeat(9));
        assert_published_as_gone(&listener);
    }
    assert_eq!(deregister(&system, 2), Some(200), "it comes twice");
}

/// An edge that connects after a removal was published hears of it from every core, also where it does not
/// subscribe: the core to which it subscribes may not have heard of the removal.
#[test]
fn an_edge_that_connects_later_hears_what_is_unavailable_before_it_subscribes() {
    let system = started();
    deregister_until_acknowledged(&system, 0);
    for core in 0..3 {
        until("the core knows of the deregistration", || state_at(&system, core).as_deref() == Some("gone"));
        let listener = EdgeListener::of(system.local.internal[core]);
        let is_partial = |frame: &Frame| match frame {
            Frame::ModelServers(update) => {
                !update.complete && update.servers.iter().any(|server| server.instance == INSTANCE)
            }
            _ => false,
        };
        until("the edge hears of it beside the complete list", || listener.heard().iter().any(is_partial));
    }
}

/// A core that has not heard a server for long may be wrong, and tells only the edges that subscribe to it.
#[test]
fn an_edge_that_connects_later_hears_of_a_timeout_only_in_the_complete_list() {
    let system = started();
    let first = EdgeListener::of(system.local.internal[0]);
    relay(&first, heartbeat(1));
    until("the core knows the server", || state_at(&system, 0).as_deref() == Some("ready"));
    until("its heartbeats time out", || state_at(&system, 0).as_deref() == Some("gone"));
    let listener = EdgeListener::of(system.local.internal[0]);
    until("the edge is subscribed", || !updates_of(&listener).is_empty());
    let is_partial = |frame: &Frame| matches!(frame, Frame::ModelServers(update) if !update.complete);
    assert!(!listener.heard().iter().any(is_partial));
}

/// Guards against acknowledgements by a core that cannot tell the others: the model server then calls the next
/// core.
#[test]
fn a_core_without_a_majority_acknowledges_no_end_of_a_server() {
    let mut system = started();
    system.local.cores[1..].iter_mut().for_each(Process::kill);
    until("the core has noticed", || system.status(0).is_some_and(|status| status["current"] == false));
    let heartbeat = |state: &str, sequence: u64| {
        let path = format!("/api/instances/{INSTANCE}/heartbeat");
        let body = format!(
            "{{\"backend\":\"app\",\"address\":\"127.9.0.1:80\",\"state\":\"{state}\",\"sequence\":{sequence}}}"
        );
        call(system.control[0], "POST", &path, &[], &body).map(|answer| answer.status)
    };
    assert_eq!(heartbeat("ready", 1), Some(200), "nothing ends");
    assert_eq!(heartbeat("draining", 2), Some(503));
    assert_eq!(state_at(&system, 0).as_deref(), Some("draining"), "though it counts here at once");
    assert_eq!(deregister(&system, 0), Some(500));
    assert_eq!(state_at(&system, 0).as_deref(), Some("gone"));
    system.local.start().expect("the program starts");
    let acknowledged = deregister_until_acknowledged(&system, 0);
    assert_known_everywhere(&system, acknowledged);
}

/// A member that was never heard of may be of the version before, which cannot decode the command of the log.
/// The cores that run keep deregistrations in memory until it starts.
#[test]
fn deregistrations_are_kept_in_memory_while_a_member_may_be_of_the_version_before() {
    let mut system = System::new();
    system.local.cores[..2].iter_mut().for_each(|core| core.start().expect("the program starts"));
    until("a leader", || system.leader().is_some());
    let acknowledged = deregister_until_acknowledged(&system, 0);
    until("the other core knows it", || state_at(&system, 1).as_deref() == Some("gone"));
    assert!(acknowledged.elapsed() < KNOWN_WITHIN);
    assert_eq!(system.status(0).unwrap()["command_format"], 0);
    system.local.start().expect("the program starts");
    until("the deregistration is replicated", || {
        (0..3).all(|core| {
            system
                .status(core)
                .is_some_and(|status| status["command_format"] == 2 && status["deregistrations_pending"] == 0)
                && state_at(&system, core).as_deref() == Some("gone")
        })
    });
    system.local.cores.iter_mut().for_each(Process::kill);
    system.local.start().expect("the program starts");
    until("it is restored from the log", || {
        (0..3).all(|core| state_at(&system, core).as_deref() == Some("gone"))
    });
}

#[test_case(""; "no id")]
#[test_case(&"i".repeat(257); "a long id")]
fn a_call_with_an_instance_id_that_cannot_be_one_is_refused(instance: &str) {
    let system = System::started();
    let path = format!("/api/instances/{instance}/deregister");
    let mut status = None;
    until("an answer", || {
        status = call(system.control[0], "POST", &path, &[], "").map(|answer| answer.status);
        status.is_some()
    });
    assert!([400, 404].contains(&status.unwrap()));
}
