//! All permutations of a few events on a small cluster: a store joins, a voter leaves, a disk is lost, a
//! process crashes, logs are compacted. In each order no term may have two leaders, no acknowledged entry may
//! be lost, and the cluster must have a leader at the end.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::Cluster;
use test_case::test_case;

/// An event in a cluster of three voters and a fourth machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The fourth machine starts.
    Join,
    /// A voter receives SIGTERM and starts again.
    Leave(usize),
    /// A machine loses its disk, or only its process if the cluster would not tolerate another lost disk; it
    /// starts again.
    Wipe(usize),
    /// A process crashes and starts again.
    Crash(usize),
    /// All machines compact their logs.
    Compact,
}

const SPARE: usize = 3;
/// A stopped machine restarts after this time.
const RESTART_DELAY_MS: u64 = 300;
/// The cluster must have a leader this long after the last event.
const LEADER_TIMEOUT_MS: u64 = 6_000;

/// All permutations of some events.
fn permutations(events: &[Event]) -> Vec<Vec<Event>> {
    if events.is_empty() {
        return vec![Vec::new()];
    }
    let mut found = Vec::new();
    for (at, first) in events.iter().enumerate() {
        let rest: Vec<Event> = [&events[..at], &events[at + 1..]].concat();
        found.extend(permutations(&rest).into_iter().map(|order| [vec![*first], order].concat()));
    }
    found
}

fn inject(cluster: &mut Cluster, event: Event) {
    match event {
        Event::Join => cluster.start(SPARE),
        Event::Leave(machine) => cluster.terminate(machine),
        Event::Wipe(machine) if cluster.is_healthy() => cluster.wipe(machine),
        Event::Wipe(machine) | Event::Crash(machine) => cluster.kill(machine),
        Event::Compact => (0..4).for_each(|machine| cluster.compact(machine)),
    }
}

fn restart_stopped(cluster: &mut Cluster) {
    for machine in 0..4 {
        let has_run = machine != SPARE || cluster.machines[SPARE].disk.last_index() > 0;
        if has_run && cluster.machines[machine].replica.is_none() {
            cluster.start(machine);
        }
    }
}

fn run_order(order: &[Event], gap: u64, seed: u64) {
    let mut cluster = Cluster::new(3, 1, seed);
    cluster.kill(SPARE);
    assert!(cluster.run_until_leader(4_000), "a leader");
    for (number, event) in order.iter().enumerate() {
        cluster.propose(&[number as u8]);
        cluster.run(20);
        inject(&mut cluster, *event);
        cluster.run(gap.min(RESTART_DELAY_MS));
        restart_stopped(&mut cluster);
        cluster.run(gap.saturating_sub(RESTART_DELAY_MS));
    }
    for _ in 0..4 {
        cluster.run(1_000);
        restart_stopped(&mut cluster);
    }
    assert!(cluster.run_until_leader(LEADER_TIMEOUT_MS), "a leader after {order:?}, {gap} ms apart");
    cluster.check_no_acknowledged_entry_is_lost();
    assert!(cluster.propose(b"afterwards"));
    cluster.run(200);
    cluster.check_no_acknowledged_entry_is_lost();
}

#[test_case(60, 0; "60 ms apart, the first leaves")]
#[test_case(60, 1; "60 ms apart, the second leaves")]
#[test_case(60, 2; "60 ms apart, the third leaves")]
#[test_case(450, 0; "half a second apart, the first leaves")]
#[test_case(450, 1; "half a second apart, the second leaves")]
#[test_case(450, 2; "half a second apart, the third leaves")]
#[test_case(1_300, 0; "more than a second apart, the first leaves")]
#[test_case(1_300, 1; "more than a second apart, the second leaves")]
#[test_case(1_300, 2; "more than a second apart, the third leaves")]
fn all_permutations_of_five_events_lose_nothing(gap: u64, departing: usize) {
    for combination in 0..9 {
        let (wiped, crashed) = (combination % 3, combination / 3);
        let events =
            [Event::Join, Event::Leave(departing), Event::Wipe(wiped), Event::Crash(crashed), Event::Compact];
        permutations(&events).iter().enumerate().for_each(|(seed, order)| run_order(order, gap, seed as u64));
    }
}

/// All orders of five events: a store joins, two voters leave, a disk is lost and a process crashes.
#[test]
fn all_permutations_of_two_departures_a_disk_loss_and_a_crash_lose_nothing() {
    for combination in 0..9 {
        let (wiped, crashed) = (combination % 3, combination / 3);
        let events =
            [Event::Join, Event::Leave(0), Event::Leave(1), Event::Wipe(wiped), Event::Crash(crashed)];
        permutations(&events).iter().enumerate().for_each(|(seed, order)| run_order(order, 700, seed as u64));
    }
}
