//! Every order of a few events on a small group: a store comes, a voter leaves, a disk is lost, a process dies, logs are
//! compacted. Whatever the order and whoever it meets, no term has two leaders, nothing acknowledged is lost, and a leader
//! comes back.

mod common;

use common::Fleet;
use test_case::test_case;

/// What happens to a group of three and a fourth machine.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// The fourth machine starts.
    Join,
    /// A voter gets SIGTERM, and starts again.
    Leave(usize),
    /// A disk is lost where another loss can be borne, or else its process dies; it starts again.
    Wipe(usize),
    /// A process dies and starts again.
    Crash(usize),
    /// All compact their logs.
    Compact,
}

const SPARE: usize = 3;
/// A machine is back after this, milliseconds.
const BACK_AFTER: u64 = 300;
/// A leader has to be there after the last event within this, milliseconds.
const LED_WITHIN: u64 = 6_000;

/// All orders of some events.
fn orders(events: &[Event]) -> Vec<Vec<Event>> {
    if events.is_empty() {
        return vec![Vec::new()];
    }
    let mut found = Vec::new();
    for (at, first) in events.iter().enumerate() {
        let rest: Vec<Event> = [&events[..at], &events[at + 1..]].concat();
        found.extend(orders(&rest).into_iter().map(|order| [vec![*first], order].concat()));
    }
    found
}

fn begin(fleet: &mut Fleet, event: Event) {
    match event {
        Event::Join => fleet.start(SPARE),
        Event::Leave(machine) => fleet.terminate(machine),
        Event::Wipe(machine) if fleet.is_whole() => fleet.wipe(machine),
        Event::Wipe(machine) | Event::Crash(machine) => fleet.kill(machine),
        Event::Compact => (0..4).for_each(|machine| fleet.compact(machine)),
    }
}

fn start_again(fleet: &mut Fleet) {
    for machine in 0..4 {
        let has_run = machine != SPARE || fleet.machines[SPARE].disk.last_index() > 0;
        if has_run && fleet.machines[machine].replica.is_none() {
            fleet.start(machine);
        }
    }
}

fn play(order: &[Event], gap: u64, seed: u64) {
    let mut fleet = Fleet::new(3, 1, seed);
    fleet.kill(SPARE);
    assert!(fleet.run_until_led(4_000), "a leader");
    for (number, event) in order.iter().enumerate() {
        fleet.propose(&[number as u8]);
        fleet.run(20);
        begin(&mut fleet, *event);
        fleet.run(gap.min(BACK_AFTER));
        start_again(&mut fleet);
        fleet.run(gap.saturating_sub(BACK_AFTER));
    }
    for _ in 0..4 {
        fleet.run(1_000);
        start_again(&mut fleet);
    }
    assert!(fleet.run_until_led(LED_WITHIN), "a leader after {order:?}, {gap} ms apart");
    fleet.check_nothing_is_lost();
    assert!(fleet.propose(b"afterwards"));
    fleet.run(200);
    fleet.check_nothing_is_lost();
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
fn every_order_of_five_events_on_any_three_machines(gap: u64, leaves: usize) {
    for who in 0..9 {
        let (wiped, crashed) = (who % 3, who / 3);
        let events =
            [Event::Join, Event::Leave(leaves), Event::Wipe(wiped), Event::Crash(crashed), Event::Compact];
        orders(&events).iter().enumerate().for_each(|(seed, order)| play(order, gap, seed as u64));
    }
}

/// Two replacements, one behind the other, with a disk lost and a process dead at each place between.
#[test]
fn every_order_of_two_departures_a_lost_disk_and_a_crash() {
    for who in 0..9 {
        let (wiped, crashed) = (who % 3, who / 3);
        let events =
            [Event::Join, Event::Leave(0), Event::Leave(1), Event::Wipe(wiped), Event::Crash(crashed)];
        orders(&events).iter().enumerate().for_each(|(seed, order)| play(order, 700, seed as u64));
    }
}
