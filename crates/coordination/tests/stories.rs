//! Stories of a group of replicas, over an in-memory fleet in virtual time.

mod common;

use common::Fleet;
use test_case::test_case;

fn given_a_led_group(founders: usize, joining: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(founders, joining, seed);
    assert!(fleet.run_until_led(4_000), "a leader");
    fleet.run(1_000);
    fleet
}

fn when_commands_are_acknowledged(fleet: &mut Fleet, count: usize, name: &str) {
    let before = fleet.acknowledged.len();
    for number in 0..count {
        assert!(fleet.propose(format!("{name} {number}").as_bytes()), "proposed");
        fleet.run(30);
    }
    assert_eq!(fleet.acknowledged.len(), before + count, "all are acknowledged");
}

fn then_it_leads_and_lost_nothing(fleet: &mut Fleet, within: u64) {
    assert!(fleet.run_until_led(within), "a leader within {within} ms");
    fleet.check_nothing_is_lost();
    assert!(fleet.propose(b"afterwards"));
    fleet.run(200);
    fleet.check_nothing_is_lost();
}

#[test]
fn the_first_start_forms_one_group_and_takes_commands() {
    let mut fleet = given_a_led_group(3, 0, 1);
    when_commands_are_acknowledged(&mut fleet, 10, "first");
    then_it_leads_and_lost_nothing(&mut fleet, 100);
}

#[test]
fn cores_beyond_the_seeds_join_the_group() {
    let mut fleet = given_a_led_group(3, 2, 2);
    fleet.run(3_000);
    assert_eq!(fleet.voters().len(), 5);
}

#[test_case(0; "the first")]
#[test_case(1; "the second")]
#[test_case(2; "the third")]
fn a_killed_machine_changes_nothing(machine: usize) {
    let mut fleet = given_a_led_group(3, 0, 3);
    when_commands_are_acknowledged(&mut fleet, 5, "before");
    fleet.kill(machine);
    then_it_leads_and_lost_nothing(&mut fleet, 3_000);
    fleet.start(machine);
    fleet.run(2_000);
    fleet.check_nothing_is_lost();
}

#[test]
fn all_lose_power_at_once_and_nothing_is_lost() {
    let mut fleet = given_a_led_group(3, 0, 4);
    when_commands_are_acknowledged(&mut fleet, 5, "before");
    (0..3).for_each(|machine| fleet.power_off(machine));
    fleet.run(500);
    (0..3).for_each(|machine| fleet.start(machine));
    then_it_leads_and_lost_nothing(&mut fleet, 4_000);
}

#[test_case(0; "the first")]
#[test_case(1; "the second")]
#[test_case(2; "the third")]
fn a_lost_disk_beside_a_loss_of_power_everywhere_loses_nothing(machine: usize) {
    let mut fleet = given_a_led_group(3, 0, 5);
    when_commands_are_acknowledged(&mut fleet, 5, "before");
    fleet.wipe(machine);
    (0..3).for_each(|machine| fleet.power_off(machine));
    fleet.run(500);
    (0..3).for_each(|machine| fleet.start(machine));
    then_it_leads_and_lost_nothing(&mut fleet, 4_000);
}

#[test_case(0, 1; "first then second")]
#[test_case(1, 0; "second then first")]
#[test_case(2, 1; "third then second")]
#[test_case(1, 1; "the same twice")]
fn disks_lost_one_after_the_other_lose_nothing(first: usize, second: usize) {
    let mut fleet = given_a_led_group(3, 0, 6);
    when_commands_are_acknowledged(&mut fleet, 5, "before");
    fleet.wipe(first);
    fleet.run(1_000);
    fleet.start(first);
    fleet.run(4_000);
    assert!(fleet.voters().contains(&fleet.store(first)), "the new store took the old one's place");
    when_commands_are_acknowledged(&mut fleet, 1, "between");
    fleet.wipe(second);
    (0..3).for_each(|machine| fleet.power_off(machine));
    fleet.run(1_000);
    (0..3).for_each(|machine| fleet.start(machine));
    then_it_leads_and_lost_nothing(&mut fleet, 4_000);
    fleet.run(4_000);
    assert!(fleet.voters().contains(&fleet.store(second)), "and so did the other one");
}

#[test]
fn two_of_five_lose_their_disks_while_all_lose_power() {
    let mut fleet = given_a_led_group(3, 2, 7);
    fleet.run(4_000);
    when_commands_are_acknowledged(&mut fleet, 5, "before");
    fleet.wipe(0);
    fleet.wipe(3);
    (0..5).for_each(|machine| fleet.power_off(machine));
    fleet.run(500);
    (0..5).for_each(|machine| fleet.start(machine));
    then_it_leads_and_lost_nothing(&mut fleet, 4_000);
    fleet.run(6_000);
    assert_eq!(fleet.voters().len(), 5);
}

#[test]
fn a_machine_that_went_for_good_is_replaced_by_one_elsewhere() {
    let mut fleet = given_a_led_group(3, 1, 8);
    fleet.run(3_000);
    fleet.kill(1);
    fleet.run(6_000);
    let voters = fleet.voters();
    assert_eq!(voters.len(), 3);
    assert!(voters.contains(&fleet.store(3)) && !voters.contains(&fleet.store(1)));
}

#[test]
fn a_leader_cut_off_acknowledges_nothing_and_follows_later() {
    let mut fleet = given_a_led_group(3, 0, 9);
    let old = fleet.leader().unwrap();
    for other in (0..3).filter(|other| *other != old) {
        fleet.cut.extend([(old, other), (other, old)]);
    }
    assert!(fleet.propose(b"to nobody"));
    fleet.run(3_000);
    let new = fleet.leader().unwrap();
    assert_ne!(new, old);
    when_commands_are_acknowledged(&mut fleet, 3, "by the new one");
    fleet.cut.clear();
    fleet.run(2_000);
    assert!(!fleet.acknowledged.values().any(|command| command == b"to nobody"));
    fleet.check_nothing_is_lost();
}

#[test]
fn a_one_way_cut_of_the_leader_ends_its_lead() {
    let mut fleet = given_a_led_group(3, 0, 10);
    let old = fleet.leader().unwrap();
    for other in (0..3).filter(|other| *other != old) {
        fleet.cut.insert((other, old));
    }
    fleet.run(4_000);
    assert_ne!(fleet.leader(), Some(old));
    fleet.cut.clear();
    then_it_leads_and_lost_nothing(&mut fleet, 4_000);
}

#[test]
fn a_leader_whose_disk_stalls_still_commits_by_the_others() {
    let mut fleet = given_a_led_group(3, 0, 11);
    let leader = fleet.leader().unwrap();
    fleet.machines[leader].stalled = true;
    when_commands_are_acknowledged(&mut fleet, 3, "stalled");
    fleet.power_off(leader);
    then_it_leads_and_lost_nothing(&mut fleet, 4_000);
}

#[test]
fn what_the_leader_has_not_saved_counts_for_nothing() {
    let mut fleet = given_a_led_group(3, 0, 13);
    let leader = fleet.leader().unwrap();
    let away = (leader + 1) % 3;
    fleet.kill(away);
    fleet.machines[leader].stalled = true;
    assert!(fleet.propose(b"on one disk of three"));
    fleet.run(300);
    assert!(fleet.acknowledged.is_empty());
    fleet.machines[leader].stalled = false;
    fleet.run(300);
    assert_eq!(fleet.acknowledged.len(), 1);
}

#[test]
fn a_store_that_lags_behind_a_snapshot_gets_the_snapshot() {
    let mut fleet = given_a_led_group(3, 0, 12);
    let behind = (0..3).find(|machine| Some(*machine) != fleet.leader()).unwrap();
    fleet.kill(behind);
    when_commands_are_acknowledged(&mut fleet, 10, "while away");
    (0..3).for_each(|machine| fleet.compact(machine));
    fleet.run(100);
    fleet.start(behind);
    fleet.run(2_000);
    assert_eq!(fleet.machines[behind].applied.len(), 10);
    fleet.check();
}

/// Short histories of everything at once: kills, lost power, one lost disk at a time, cuts, lost messages.
#[test_case(0; "seeds from 0")]
#[test_case(1; "seeds from 300")]
#[test_case(2; "seeds from 600")]
#[test_case(3; "seeds from 900")]
fn short_histories_lose_nothing(part: u64) {
    (part * 300..(part + 1) * 300).for_each(play_history);
}

fn play_history(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut fleet = given_a_led_group(3, 0, seed);
    fleet.loss_in_1000 = random.u64(0..40);
    for round in 0..6_u32 {
        for number in 0..random.usize(1..4) {
            fleet.propose(format!("{round} {number}").as_bytes());
            fleet.run(random.u64(1..12));
        }
        disturb(&mut fleet, &mut random);
        fleet.cut.clear();
        // A machine that lost its disk counts again once the new store is in.
        fleet.run(4_500);
        assert!(fleet.run_until_led(6_000), "seed {seed}: a leader after round {round}");
        fleet.check_nothing_is_lost();
    }
}

fn disturb(fleet: &mut Fleet, random: &mut fastrand::Rng) {
    let machine = random.usize(0..3);
    match random.u32(0..6) {
        0 => fleet.kill(machine),
        1 => (0..3).for_each(|machine| fleet.power_off(machine)),
        2 => {
            fleet.wipe(machine);
            (0..3).for_each(|machine| fleet.power_off(machine));
        }
        3 => fleet.wipe(machine),
        4 => {
            for other in (0..3).filter(|other| *other != machine) {
                fleet.cut.extend([(machine, other), (other, machine)]);
            }
        }
        _ => fleet.compact(machine),
    }
    fleet.run(random.u64(50..2_500));
    for machine in 0..3 {
        if fleet.machines[machine].replica.is_none() {
            fleet.start(machine);
        }
    }
}
