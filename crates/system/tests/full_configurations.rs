//! Full configurations, which cores send to edges that have none or lack the base of a difference: a core
//! must neither repeat nor encode them needlessly.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::listener::EdgeListener;
use common::slow_edge::SlowEdge;
use common::{System, document_with_routes, until};
use pathbank_protocol::message::Frame;
use std::time::{Duration, Instant};

/// The number of routes; their configuration has some hundred kilobytes.
const ROUTES: usize = 3_000;
/// The length of each route's note if the configuration has to exceed the kernel's buffers between two
/// processes. The configuration then has some megabytes.
const LONG_NOTE_BYTES: usize = 1_500;

/// After this time a core sends a full configuration again to an edge that still requests it.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// The processor time that a process has used so far, in kernel ticks of a hundredth of a second.
fn processor_ticks(process: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    // The process's name may contain spaces, so the fields are counted from behind it. User and system time
    // are the 14th and 15th of all fields.
    let fields: Vec<&str> = stat.rsplit_once(") ").unwrap().1.split(' ').collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn full_configurations(frames: &[Frame]) -> usize {
    let is_full = |frame: &&Frame| matches!(frame, Frame::Configuration(update) if update.base_index == 0);
    frames.iter().filter(is_full).count()
}

// Guards against answering each repeated request with another full configuration. During a network partition
// of five cores, edges subscribed to the minority learned of new configurations from the majority, and
// requested the newest one in full every 0.2 s, although the last answer was still on its way. The leader
// encoded each answer again on the thread that also sends its heartbeats: it sent nothing from 58.94 s to
// 60.29 s ("contact with a majority current=false"), its followers fell silent after it, and at 61.43 s edges
// refused with 404 requests that a configuration confirmed at 58.47 s allowed. After a power loss of all
// machines 82 edges were sent 193 full configurations, the last one 3.6 s after a leader was elected.
#[test]
fn a_configuration_in_flight_is_not_sent_again() {
    let system = System::started();
    system.configure(0, &document_with_routes(3, ROUTES, LONG_NOTE_BYTES));
    system.until_ready();
    let mut edge = SlowEdge::subscribed_to(system.local.internal[0], "slow");
    for _ in 0..5 {
        std::thread::sleep(Duration::from_millis(200));
        edge.say(&Frame::FetchDifference(0));
    }
    let received = edge.read_until_silent_for(Duration::from_secs(2));
    assert_eq!(full_configurations(&received), 1, "one is in flight, and was requested five times more");
}

// Guards against a second answer to requests like the five above. A busy core read them only after the edge
// had begun to read, when the whole first answer was written, and answered once more.
#[test]
fn a_request_that_crossed_a_full_configuration_is_not_answered_again() {
    let system = System::started();
    system.configure(0, &document_with_routes(3, 1, 0));
    system.until_ready();
    let mut edge = SlowEdge::subscribed_to(system.local.internal[0], "crossing");
    let first = edge.read_until_silent_for(Duration::from_millis(500));
    assert_eq!(full_configurations(&first), 1, "the edge had none");
    for _ in 0..3 {
        edge.say(&Frame::FetchDifference(0));
    }
    let crossed = edge.read_until_silent_for(Duration::from_millis(600));
    assert_eq!(full_configurations(&crossed), 0, "the link has delivered the first one");
    let repeats_from = Instant::now() + REPEAT_TIMEOUT;
    while Instant::now() < repeats_from {
        edge.say(&Frame::Ping(0));
        std::thread::sleep(Duration::from_millis(200));
    }
    edge.say(&Frame::FetchDifference(0));
    let repeated = edge.read_until_silent_for(Duration::from_millis(600));
    assert_eq!(
        full_configurations(&repeated),
        1,
        "an edge that requests it for so long could not use the first one"
    );
}

// Guards against encoding the same message for each edge, as happened in the run with the partition above:
// all edges without a configuration get the same message.
#[test]
fn edges_without_a_configuration_share_one_encoded_message() {
    const EDGES: usize = 40;
    let system = System::started();
    system.configure(0, &document_with_routes(3, ROUTES, 0));
    system.until_ready();
    let core = system.local.cores[0].id().expect("the core runs");
    let has_configuration = |listener: &EdgeListener| full_configurations(&listener.heard()) == 1;
    let cost_of = |count: usize| {
        let before = processor_ticks(core);
        for _ in 0..count {
            let listener = EdgeListener::of(system.local.internal[0]);
            until("the configuration arrives", || has_configuration(&listener));
        }
        processor_ticks(core) - before
    };
    let first = cost_of(1);
    let others = cost_of(EDGES);
    assert!(
        others < EDGES as u64 * first.max(2) / 4,
        "{first} ticks for the first one, {others} for {EDGES} more"
    );
}
