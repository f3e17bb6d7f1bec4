//! State comparison: a replica whose state differs from that of its group is found, sets its log aside, and
//! joins again as a new store with the state of the group.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::Cluster;
use test_case::test_case;

/// The interval between comparisons, milliseconds.
const INTERVAL_MS: u64 = 1_000;
/// Time for a repair, milliseconds: a difference is found within two comparisons, and soon after that the new
/// store has caught up and is a voter.
const REPAIR_MS: u64 = 8_000;

fn cluster(founders: usize, joining: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(founders, joining, seed);
    cluster.comparison_interval_ms = Some(INTERVAL_MS);
    assert!(cluster.run_until_leader(4_000), "a leader");
    cluster.run(4_000);
    propose(&mut cluster, 6, "before");
    cluster
}

fn propose(cluster: &mut Cluster, count: usize, name: &str) {
    for number in 0..count {
        assert!(cluster.propose(format!("{name} {number}").as_bytes()));
        cluster.run_unchecked(30);
    }
}

fn follower(cluster: &Cluster) -> usize {
    let leader = cluster.leader().unwrap();
    (0..cluster.machines.len()).find(|machine| *machine != leader).unwrap()
}

fn assert_repaired(cluster: &mut Cluster, damaged: &[usize]) {
    cluster.run_unchecked(REPAIR_MS);
    for machine in 0..cluster.machines.len() {
        let times = cluster.machines[machine].set_aside;
        assert_eq!(
            times,
            usize::from(damaged.contains(&machine)),
            "machine {machine} became a new store {times} times"
        );
    }
    assert!(cluster.run_until_leader(4_000));
    propose(cluster, 2, "after");
    cluster.run(500);
    assert!(cluster.has_one_state());
    cluster.check_no_acknowledged_entry_is_lost();
    let voters = cluster.voters();
    assert!(
        damaged.iter().all(|machine| voters.contains(&cluster.store(*machine))),
        "the repaired machines are voters again"
    );
    assert!(cluster.machines.iter().all(|machine| !machine.saw_no_majority));
}

#[test]
fn replicas_with_equal_states_are_not_reset() {
    let mut cluster = cluster(3, 2, 1);
    assert_repaired(&mut cluster, &[]);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_follower_with_a_damaged_state_is_repaired(seed: u64) {
    let mut cluster = cluster(3, 0, seed);
    let damaged = follower(&cluster);
    cluster.damage_state(damaged);
    assert_repaired(&mut cluster, &[damaged]);
}

#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn a_leader_with_a_damaged_state_is_repaired(seed: u64) {
    let mut cluster = cluster(3, 0, seed);
    let damaged = cluster.leader().unwrap();
    cluster.damage_state(damaged);
    assert_repaired(&mut cluster, &[damaged]);
}

#[test_case(7)]
#[test_case(8)]
fn two_of_five_with_damaged_states_are_repaired(seed: u64) {
    let mut cluster = cluster(3, 2, seed);
    let leader = cluster.leader().unwrap();
    let other = follower(&cluster);
    [leader, other].iter().for_each(|machine| cluster.damage_state(*machine));
    assert_repaired(&mut cluster, &[leader, other]);
}

#[test]
fn a_damaged_state_is_repaired_during_continuous_commands() {
    let mut cluster = cluster(3, 0, 9);
    let damaged = follower(&cluster);
    cluster.damage_state(damaged);
    for number in 0..400 {
        cluster.propose(format!("busy {number}").as_bytes());
        cluster.run_unchecked(10);
    }
    assert_repaired(&mut cluster, &[damaged]);
}

#[test]
fn a_damaged_state_in_a_snapshot_is_repaired() {
    let mut cluster = cluster(3, 0, 10);
    let damaged = follower(&cluster);
    cluster.damage_state(damaged);
    cluster.compact(damaged);
    cluster.run_unchecked(20);
    cluster.kill(damaged);
    cluster.start(damaged);
    assert_repaired(&mut cluster, &[damaged]);
}

#[test]
fn a_damaged_state_is_repaired_during_a_membership_change() {
    let mut cluster = cluster(3, 1, 11);
    let leader = cluster.leader().unwrap();
    let voters = cluster.voters();
    let mut followers =
        (0..4).filter(|machine| *machine != leader && voters.contains(&cluster.store(*machine)));
    let (damaged, replaced) = (followers.next().unwrap(), followers.next().unwrap());
    drop(followers);
    cluster.damage_state(damaged);
    cluster.terminate(replaced);
    cluster.run_unchecked(REPAIR_MS);
    cluster.start(replaced);
    assert_repaired(&mut cluster, &[damaged]);
}

/// Each of three replicas has a different state: no majority shows which one is right, so none is reset.
#[test]
fn without_a_majority_no_replica_is_reset() {
    let mut cluster = cluster(3, 0, 12);
    cluster.damage_state(0);
    cluster.damage_state(1);
    cluster.machines[1].applied.first_mut().unwrap().1[0] ^= 2;
    cluster.run_unchecked(3 * INTERVAL_MS);
    assert!(cluster.machines.iter().all(|machine| machine.saw_no_majority && machine.set_aside == 0));
}

/// One of three programs encodes the same state in a different format.
#[test]
fn digests_of_different_formats_are_never_compared() {
    let mut cluster = cluster(3, 0, 13);
    cluster.machines[0].digest_format = 2;
    cluster.damage_state(0);
    cluster.run_unchecked(3 * INTERVAL_MS);
    assert!(cluster.machines.iter().all(|machine| !machine.saw_no_majority && machine.set_aside == 0));
    cluster.damage_state(0);
    assert_repaired(&mut cluster, &[]);
}

/// One machine applies one command differently, during random histories of lost messages, crashes,
/// partitions, lost disks and compaction.
#[test_case(0..100; "part 1")]
#[test_case(100..200; "part 2")]
#[test_case(200..300; "part 3")]
#[test_case(300..400; "part 4")]
fn a_machine_that_applies_a_command_differently_is_repaired(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut cluster = cluster(3, 2, seed);
        let mutant = random.usize(0..5);
        cluster.machines[mutant].misapplies = Some(b"odd");
        cluster.loss_in_1000 = random.u64(0..3) * 20;
        for number in 0..20 {
            let name = if number == 8 { "odd" } else { "plain" };
            cluster.propose(format!("{name} {number}").as_bytes());
            cluster.run_unchecked(random.u64(20..200));
            match random.u64(0..12) {
                0 => cluster.compact(random.usize(0..5)),
                1 => restart(&mut cluster, random.usize(0..5), false),
                2 if cluster.is_healthy() => restart(&mut cluster, random.usize(0..5), true),
                3 => {
                    let cut = (random.usize(0..5), random.usize(0..5));
                    cluster.partitions.insert(cut);
                    cluster.run_unchecked(random.u64(100..900));
                    cluster.partitions.clear();
                }
                _ => {}
            }
        }
        cluster.loss_in_1000 = 0;
        cluster.run_unchecked(2 * REPAIR_MS);
        assert!(cluster.has_one_state(), "seed {seed}: the states of machine {mutant} and the others differ");
        for (machine, state) in cluster.machines.iter().enumerate() {
            let is_expected = state.set_aside <= usize::from(machine == mutant);
            assert!(is_expected, "seed {seed}: machine {machine} became a new store, {mutant} is the mutant");
        }
    }
}

fn restart(cluster: &mut Cluster, machine: usize, loses_disk: bool) {
    match loses_disk {
        true => cluster.wipe(machine),
        false => cluster.kill(machine),
    }
    cluster.run_unchecked(100);
    cluster.start(machine);
}
