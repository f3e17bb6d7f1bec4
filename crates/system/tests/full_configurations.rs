//! Full configurations for edges that have none, or lack the base of a difference: what they cost a core
//! beside its other work.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::listener::EdgeListener;
use common::slow_edge::SlowEdge;
use common::{System, document_with_routes, until};
use pathbank_protocol::message::Frame;
use std::time::{Duration, Instant};

/// Routes of the configuration: some hundred kilobytes.
const ROUTES: usize = 3_000;
/// What each route notes for operators where the configuration is to be more than the kernel's buffers
/// between two processes take in: some megabytes.
const LONG_NOTE_BYTES: usize = 1_500;

/// After this an edge that still asks is sent a full configuration again.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// Processor time that a process has used so far, in the kernel's ticks of a hundredth of a second.
fn processor_ticks(process: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    // The name may hold spaces; the fields behind it do not. User and system time are the 14th and 15th field
    // of all.
    let fields: Vec<&str> = stat.rsplit_once(") ").unwrap().1.split(' ').collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

fn full_configurations(frames: &[Frame]) -> usize {
    let is_full = |frame: &&Frame| matches!(frame, Frame::Configuration(update) if update.base_index == 0);
    frames.iter().filter(is_full).count()
}

// While a group of five cores was cut in two, the edges that listened to the smaller half heard of new
// configurations from the larger one, and asked it for the newest in full, each of them again every 0.2
// s although the last answer was still on its way. The leader made each answer anew on the thread that also
// carries its heartbeats. It said nothing from 58.94 s to 60.29 s ("contact with a majority current=false"),
// its followers fell silent after it, and edges refused with 404 at 61.43 s what had been confirmed at 58.47
// s. After a loss of power of all machines 82 edges were sent 193 full configurations, the last one
// 3.6 s after a leader was there.
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
    assert_eq!(full_configurations(&received), 1, "one is on its way, and asked for five times more");
}

// A core that was busy read the five questions above only after the edge had begun to read, when all of the answer was
// written: it answered once more.
#[test]
fn a_question_that_crossed_a_full_configuration_is_not_answered_again() {
    let system = System::started();
    system.configure(0, &document_with_routes(3, 1, 0));
    system.until_ready();
    let mut edge = SlowEdge::subscribed_to(system.local.internal[0], "crossing");
    let first = edge.read_until_silent_for(Duration::from_millis(500));
    assert_eq!(full_configurations(&first), 1, "it had none");
    for _ in 0..3 {
        edge.say(&Frame::FetchDifference(0));
    }
    let crossed = edge.read_until_silent_for(Duration::from_millis(600));
    assert_eq!(full_configurations(&crossed), 0, "the link has delivered it");
    let repeats_from = Instant::now() + REPEAT_TIMEOUT;
    while Instant::now() < repeats_from {
        edge.say(&Frame::Ping(0));
        std::thread::sleep(Duration::from_millis(200));
    }
    edge.say(&Frame::FetchDifference(0));
    let repeated = edge.read_until_silent_for(Duration::from_millis(600));
    assert_eq!(full_configurations(&repeated), 1, "an edge that goes on asking could not use the first one");
}

// In the same run: the message for an edge without a configuration is the same for all of them, and was
// encoded again for each.
#[test]
fn edges_without_a_configuration_share_one_encoded_message() {
    const EDGES: usize = 40;
    let system = System::started();
    system.configure(0, &document_with_routes(3, ROUTES, 0));
    system.until_ready();
    let core = system.local.cores[0].id().expect("it runs");
    let has_configuration = |listener: &EdgeListener| full_configurations(&listener.heard()) == 1;
    let cost_of = |count: usize| {
        let before = processor_ticks(core);
        for _ in 0..count {
            let listener = EdgeListener::of(system.local.internal[0]);
            until("the configuration comes", || has_configuration(&listener));
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
