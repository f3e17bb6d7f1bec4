//! Members that come, leave and are replaced, with a further loss at every moment beside it: as long as no
//! more is lost than a group bears, a leader comes back and nothing acknowledged is lost.

mod common;

use common::Fleet;
use test_case::test_case;

/// How a machine is lost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// It comes back with an empty disk.
    Wipe,
    /// It stays dark.
    Dark,
    /// Its process is killed and starts again.
    Kill,
}

const LOSSES: [Loss; 3] = [Loss::Wipe, Loss::Dark, Loss::Kill];
/// The machine that is not among the founders.
const REPLACEMENT: usize = 3;
/// A lost machine is back after this, milliseconds.
const BACK_AFTER: u64 = 1_000;
/// A leader has to be there after a loss within this, milliseconds.
const LED_WITHIN: u64 = 6_000;

fn given_three_and_one_to_come(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(3, 1, seed);
    fleet.kill(REPLACEMENT);
    assert!(fleet.run_until_led(4_000), "a leader");
    fleet.run(500);
    acknowledge(&mut fleet, 3);
    fleet
}

fn acknowledge(fleet: &mut Fleet, count: usize) {
    let before = fleet.acknowledged.len();
    for number in 0..count {
        assert!(fleet.propose(format!("{before} {number}").as_bytes()), "proposed");
        fleet.run(30);
    }
    assert_eq!(fleet.acknowledged.len(), before + count, "all are acknowledged");
}

fn lose(fleet: &mut Fleet, machine: usize, loss: Loss) {
    match loss {
        Loss::Wipe => fleet.wipe(machine),
        Loss::Dark | Loss::Kill => fleet.kill(machine),
    }
}

fn then_it_goes_on(fleet: &mut Fleet, lost: usize, loss: Loss, what: &str) {
    fleet.run(BACK_AFTER);
    if loss != Loss::Dark {
        fleet.start(lost);
    }
    assert!(fleet.run_until_led(LED_WITHIN), "{what}: a leader comes back");
    fleet.check_nothing_is_lost();
    acknowledge(fleet, 1);
}

/// A planned replacement: the new machine first, then SIGTERM at the old one; behind it the loss of another
/// voter.
#[test_case(300; "0.3 s after the new one started")]
#[test_case(1_000; "1 s after")]
#[test_case(2_000; "2 s after")]
fn a_voter_is_lost_at_any_moment_behind_a_planned_replacement(head_start: u64) {
    let pairs = (0..3).flat_map(|leaver| (0..3).map(move |lost| (leaver, lost)));
    for (leaver, lost) in pairs.filter(|(leaver, lost)| leaver != lost) {
        for loss in LOSSES {
            for gap in (0..3_600).step_by(200) {
                let what = format!("{leaver} leaves, {loss:?} of {lost} after {gap} ms");
                let mut fleet = given_three_and_one_to_come(gap);
                fleet.start(REPLACEMENT);
                fleet.run(head_start);
                fleet.terminate(leaver);
                while fleet.is_terminating(leaver) {
                    fleet.step();
                }
                fleet.run(gap);
                lose(&mut fleet, lost, loss);
                then_it_goes_on(&mut fleet, lost, loss, &what);
            }
        }
    }
}

#[test_case(false; "a follower")]
#[test_case(true; "the leader")]
fn a_voter_that_leaves_is_out_of_the_group_before_it_ends(leader: bool) {
    let mut fleet = given_three_and_one_to_come(3);
    fleet.start(REPLACEMENT);
    fleet.run(1_500);
    let leads = fleet.leader().unwrap();
    let leaver = if leader { leads } else { (leads + 1) % 3 };
    assert!(fleet.propose(b"on its way while the voter leaves"));
    fleet.terminate(leaver);
    let mut out_at_the_end = false;
    for _ in 0..common::LEAVE_WITHIN {
        let replica = fleet.machines[leaver].replica.as_ref();
        let Some(replica) = replica else { break };
        out_at_the_end = !replica.membership().contains(replica.me().id);
        fleet.step();
    }
    assert!(fleet.machines[leaver].replica.is_none(), "it ended");
    assert!(out_at_the_end, "out of the group before");
    assert!(fleet.run_until_led(300), "no election has to be waited for");
    let voters = fleet.voters();
    assert!(voters.contains(&fleet.store(REPLACEMENT)) && !voters.contains(&fleet.store(leaver)));
    fleet.check_nothing_is_lost();
}

#[test]
fn a_restart_with_nobody_to_take_its_place_changes_no_group_and_takes_no_time() {
    let mut fleet = Fleet::new(3, 0, 5);
    assert!(fleet.run_until_led(4_000));
    fleet.run(1_000);
    let before = fleet.voters();
    for machine in 0..3 {
        fleet.terminate(machine);
        fleet.run(100);
        assert!(fleet.machines[machine].replica.is_none(), "machine {machine} ended at once");
        assert!(fleet.run_until_led(400), "another one leads");
        fleet.start(machine);
        fleet.run(1_500);
    }
    assert_eq!(fleet.voters(), before);
    then_it_goes_on(&mut fleet, 0, Loss::Dark, "after the roll");
}

#[test]
fn all_four_machines_are_restarted_in_order_with_one_beyond_the_group() {
    let mut fleet = Fleet::new(3, 1, 6);
    assert!(fleet.run_until_led(4_000));
    fleet.run(2_000);
    acknowledge(&mut fleet, 3);
    for machine in 0..4 {
        fleet.terminate(machine);
        fleet.run(700);
        assert!(fleet.machines[machine].replica.is_none(), "machine {machine} ended");
        fleet.start(machine);
        fleet.run(2_000);
        acknowledge(&mut fleet, 2);
        fleet.check_nothing_is_lost();
    }
    assert_eq!(fleet.voters().len(), 3);
}

/// The new store dies while it learns, in the middle of an old one's departure.
#[test]
fn a_replacement_that_dies_at_any_moment_costs_the_group_nothing() {
    for gap in (0..900).step_by(20) {
        let mut fleet = given_three_and_one_to_come(gap);
        fleet.start(REPLACEMENT);
        fleet.run(1_000);
        fleet.terminate(0);
        fleet.run(gap);
        fleet.kill(REPLACEMENT);
        fleet.run(common::LEAVE_WITHIN);
        assert!(fleet.machines[0].replica.is_none(), "gap {gap}: it ended");
        assert!(fleet.run_until_led(LED_WITHIN), "gap {gap}: a leader");
        fleet.check_nothing_is_lost();
    }
}

#[test]
fn two_replacements_at_once_leave_a_group_that_bears_a_loss() {
    for lost in 2..5 {
        let mut fleet = Fleet::new(3, 2, 40 + lost as u64);
        assert!(fleet.run_until_led(4_000));
        fleet.run(3_000);
        assert_eq!(fleet.group_size(), Some(5));
        acknowledge(&mut fleet, 3);
        (0..2).for_each(|machine| fleet.terminate(machine));
        fleet.run(common::LEAVE_WITHIN + 500);
        // Two of five are gone in order: what is left has a majority, and one more may be wiped and return.
        assert!(fleet.run_until_led(LED_WITHIN));
        fleet.check_nothing_is_lost();
        acknowledge(&mut fleet, 1);
    }
}

#[test_case(0; "the first")]
#[test_case(1; "the second")]
#[test_case(2; "the third")]
fn an_empty_disk_at_an_old_address_comes_in_before_a_store_elsewhere(wiped: usize) {
    let mut fleet = given_three_and_one_to_come(7);
    fleet.start(REPLACEMENT);
    fleet.wipe(wiped);
    fleet.run(300);
    fleet.start(wiped);
    fleet.run(4_000);
    let voters = fleet.voters();
    assert_eq!(voters.len(), 3);
    assert!(voters.contains(&fleet.store(wiped)), "the store at the old address votes");
    let other = (wiped + 1) % 3;
    lose(&mut fleet, other, Loss::Dark);
    then_it_goes_on(&mut fleet, other, Loss::Dark, "another one goes dark");
}

/// The leader is cut off at each moment of a change of the group.
#[test]
fn a_leader_cut_off_at_any_moment_of_a_change_of_the_group_loses_nothing() {
    for gap in (0..60).step_by(2) {
        let mut fleet = given_three_and_one_to_come(gap);
        fleet.start(REPLACEMENT);
        fleet.run(1_000);
        let leader = fleet.leader().unwrap();
        fleet.terminate((leader + 1) % 3);
        fleet.run(gap);
        let others = (0..4).filter(|other| *other != leader);
        fleet.cut.extend(others.flat_map(|other| [(leader, other), (other, leader)]));
        fleet.run(common::LEAVE_WITHIN);
        fleet.cut.clear();
        assert!(fleet.run_until_led(LED_WITHIN), "gap {gap}: a leader");
        fleet.check_nothing_is_lost();
        acknowledge(&mut fleet, 1);
    }
}

#[test]
fn a_group_of_five_keeps_its_five_votes_while_two_are_away() {
    let mut fleet = Fleet::new(3, 2, 9);
    assert!(fleet.run_until_led(4_000));
    fleet.run(3_000);
    acknowledge(&mut fleet, 3);
    (0..2).for_each(|machine| fleet.kill(machine));
    fleet.run(6_000);
    assert_eq!(fleet.group_size(), Some(5), "two away are not two lost");
    // Both disks that may be lost are lost among those that hold the newest entry, while the others return.
    acknowledge(&mut fleet, 2);
    (2..4).for_each(|machine| fleet.wipe(machine));
    (0..4).for_each(|machine| fleet.start(machine));
    assert!(fleet.run_until_led(LED_WITHIN));
    fleet.check_nothing_is_lost();
}

#[test]
fn a_store_that_fell_silent_takes_nobodys_place() {
    let mut fleet = given_three_and_one_to_come(11);
    let before = fleet.voters();
    fleet.start(REPLACEMENT);
    fleet.run(1_500);
    fleet.kill(REPLACEMENT);
    fleet.run(700);
    fleet.terminate(0);
    fleet.run(200);
    assert!(fleet.machines[0].replica.is_none(), "it waits for nobody");
    assert!(fleet.run_until_led(LED_WITHIN));
    assert_eq!(fleet.voters(), before);
}
