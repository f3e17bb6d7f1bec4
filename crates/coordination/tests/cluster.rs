//! A cluster in virtual time under failures: crashes, power and disk losses, partitions, stalled disks.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::Cluster;
use test_case::test_case;

fn cluster_with_leader(founders: usize, joining: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(founders, joining, seed);
    assert!(cluster.run_until_leader(4_000), "a leader");
    cluster.run(1_000);
    cluster
}

fn acknowledge_commands(cluster: &mut Cluster, count: usize, name: &str) {
    let before = cluster.acknowledged.len();
    for number in 0..count {
        assert!(cluster.propose(format!("{name} {number}").as_bytes()), "proposed");
        cluster.run(30);
    }
    assert_eq!(cluster.acknowledged.len(), before + count, "all are acknowledged");
}

fn assert_leader_and_no_entry_lost(cluster: &mut Cluster, within: u64) {
    assert!(cluster.run_until_leader(within), "a leader within {within} ms");
    cluster.check_no_acknowledged_entry_is_lost();
    assert!(cluster.propose(b"afterwards"));
    cluster.run(200);
    cluster.check_no_acknowledged_entry_is_lost();
}

#[test]
fn the_first_start_forms_one_cluster_that_accepts_commands() {
    let mut cluster = cluster_with_leader(3, 0, 1);
    acknowledge_commands(&mut cluster, 10, "first");
    assert_leader_and_no_entry_lost(&mut cluster, 100);
}

#[test]
fn further_cores_become_voters() {
    let mut cluster = cluster_with_leader(3, 2, 2);
    cluster.run(3_000);
    assert_eq!(cluster.voters().len(), 5);
}

#[test_case(0; "the first")]
#[test_case(1; "the second")]
#[test_case(2; "the third")]
fn the_crash_of_one_machine_loses_nothing(machine: usize) {
    let mut cluster = cluster_with_leader(3, 0, 3);
    acknowledge_commands(&mut cluster, 5, "before");
    cluster.kill(machine);
    assert_leader_and_no_entry_lost(&mut cluster, 3_000);
    cluster.start(machine);
    cluster.run(2_000);
    cluster.check_no_acknowledged_entry_is_lost();
}

#[test]
fn a_power_loss_of_all_machines_loses_nothing() {
    let mut cluster = cluster_with_leader(3, 0, 4);
    acknowledge_commands(&mut cluster, 5, "before");
    (0..3).for_each(|machine| cluster.power_off(machine));
    cluster.run(500);
    (0..3).for_each(|machine| cluster.start(machine));
    assert_leader_and_no_entry_lost(&mut cluster, 4_000);
}

#[test_case(0; "the first")]
#[test_case(1; "the second")]
#[test_case(2; "the third")]
fn a_disk_loss_during_a_power_loss_of_all_loses_nothing(machine: usize) {
    let mut cluster = cluster_with_leader(3, 0, 5);
    acknowledge_commands(&mut cluster, 5, "before");
    cluster.wipe(machine);
    (0..3).for_each(|machine| cluster.power_off(machine));
    cluster.run(500);
    (0..3).for_each(|machine| cluster.start(machine));
    assert_leader_and_no_entry_lost(&mut cluster, 4_000);
}

#[test_case(0, 1; "first then second")]
#[test_case(1, 0; "second then first")]
#[test_case(2, 1; "third then second")]
#[test_case(1, 1; "the same twice")]
fn successive_disk_losses_lose_nothing(first: usize, second: usize) {
    let mut cluster = cluster_with_leader(3, 0, 6);
    acknowledge_commands(&mut cluster, 5, "before");
    cluster.wipe(first);
    cluster.run(1_000);
    cluster.start(first);
    cluster.run(4_000);
    assert!(cluster.voters().contains(&cluster.store(first)), "the new store has replaced the lost one");
    acknowledge_commands(&mut cluster, 1, "between");
    cluster.wipe(second);
    (0..3).for_each(|machine| cluster.power_off(machine));
    cluster.run(1_000);
    (0..3).for_each(|machine| cluster.start(machine));
    assert_leader_and_no_entry_lost(&mut cluster, 4_000);
    cluster.run(4_000);
    assert!(cluster.voters().contains(&cluster.store(second)), "and so did the other one");
}

#[test]
fn two_disk_losses_of_five_during_a_power_loss_of_all_lose_nothing() {
    let mut cluster = cluster_with_leader(3, 2, 7);
    cluster.run(4_000);
    acknowledge_commands(&mut cluster, 5, "before");
    cluster.wipe(0);
    cluster.wipe(3);
    (0..5).for_each(|machine| cluster.power_off(machine));
    cluster.run(500);
    (0..5).for_each(|machine| cluster.start(machine));
    assert_leader_and_no_entry_lost(&mut cluster, 4_000);
    cluster.run(6_000);
    assert_eq!(cluster.voters().len(), 5);
}

#[test]
fn a_lost_machine_is_replaced_by_one_at_another_address() {
    let mut cluster = cluster_with_leader(3, 1, 8);
    cluster.run(3_000);
    cluster.kill(1);
    cluster.run(6_000);
    let voters = cluster.voters();
    assert_eq!(voters.len(), 3);
    assert!(voters.contains(&cluster.store(3)) && !voters.contains(&cluster.store(1)));
}

#[test]
fn a_partitioned_leader_acknowledges_nothing_and_follows_after_healing() {
    let mut cluster = cluster_with_leader(3, 0, 9);
    let old = cluster.leader().unwrap();
    for other in (0..3).filter(|other| *other != old) {
        cluster.partitions.extend([(old, other), (other, old)]);
    }
    assert!(cluster.propose(b"to nobody"));
    cluster.run(3_000);
    let new = cluster.leader().unwrap();
    assert_ne!(new, old);
    acknowledge_commands(&mut cluster, 3, "by the new one");
    cluster.partitions.clear();
    cluster.run(2_000);
    assert!(!cluster.acknowledged.values().any(|command| command == b"to nobody"));
    cluster.check_no_acknowledged_entry_is_lost();
}

#[test]
fn a_leader_that_receives_nothing_is_replaced() {
    let mut cluster = cluster_with_leader(3, 0, 10);
    let old = cluster.leader().unwrap();
    for other in (0..3).filter(|other| *other != old) {
        cluster.partitions.insert((other, old));
    }
    cluster.run(4_000);
    assert_ne!(cluster.leader(), Some(old));
    cluster.partitions.clear();
    assert_leader_and_no_entry_lost(&mut cluster, 4_000);
}

#[test]
fn a_leader_with_a_stalled_disk_commits_by_its_followers() {
    let mut cluster = cluster_with_leader(3, 0, 11);
    let leader = cluster.leader().unwrap();
    cluster.machines[leader].disk_stalled = true;
    acknowledge_commands(&mut cluster, 3, "stalled");
    cluster.power_off(leader);
    assert_leader_and_no_entry_lost(&mut cluster, 4_000);
}

#[test]
fn an_entry_that_the_leader_has_not_persisted_does_not_count_for_a_quorum() {
    let mut cluster = cluster_with_leader(3, 0, 13);
    let leader = cluster.leader().unwrap();
    let away = (leader + 1) % 3;
    cluster.kill(away);
    cluster.machines[leader].disk_stalled = true;
    assert!(cluster.propose(b"on one disk of three"));
    cluster.run(300);
    assert!(cluster.acknowledged.is_empty());
    cluster.machines[leader].disk_stalled = false;
    cluster.run(300);
    assert_eq!(cluster.acknowledged.len(), 1);
}

#[test]
fn a_follower_behind_the_log_base_gets_the_snapshot() {
    let mut cluster = cluster_with_leader(3, 0, 12);
    let lagging = (0..3).find(|machine| Some(*machine) != cluster.leader()).unwrap();
    cluster.kill(lagging);
    acknowledge_commands(&mut cluster, 10, "while away");
    (0..3).for_each(|machine| cluster.compact(machine));
    cluster.run(100);
    cluster.start(lagging);
    cluster.run(2_000);
    assert_eq!(cluster.machines[lagging].applied.len(), 10);
    cluster.check();
}

/// Random histories of all faults: crashes, power losses, one disk loss at a time, partitions, lost messages.
#[test_case(0; "seeds from 0")]
#[test_case(1; "seeds from 300")]
#[test_case(2; "seeds from 600")]
#[test_case(3; "seeds from 900")]
fn random_histories_lose_no_acknowledged_entry(chunk: u64) {
    (chunk * 300..(chunk + 1) * 300).for_each(run_history);
}

fn run_history(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut cluster = cluster_with_leader(3, 0, seed);
    cluster.loss_in_1000 = random.u64(0..40);
    for round in 0..6_u32 {
        for number in 0..random.usize(1..4) {
            cluster.propose(format!("{round} {number}").as_bytes());
            cluster.run(random.u64(1..12));
        }
        inject_fault(&mut cluster, &mut random);
        cluster.partitions.clear();
        // After a lost disk the next fault is injected once the new store is a voter.
        cluster.run(4_500);
        assert!(cluster.run_until_leader(6_000), "seed {seed}: a leader after round {round}");
        cluster.check_no_acknowledged_entry_is_lost();
    }
}

fn inject_fault(cluster: &mut Cluster, random: &mut fastrand::Rng) {
    let machine = random.usize(0..3);
    match random.u32(0..6) {
        0 => cluster.kill(machine),
        1 => (0..3).for_each(|machine| cluster.power_off(machine)),
        2 => {
            cluster.wipe(machine);
            (0..3).for_each(|machine| cluster.power_off(machine));
        }
        3 => cluster.wipe(machine),
        4 => {
            for other in (0..3).filter(|other| *other != machine) {
                cluster.partitions.extend([(machine, other), (other, machine)]);
            }
        }
        _ => cluster.compact(machine),
    }
    cluster.run(random.u64(50..2_500));
    for machine in 0..3 {
        if cluster.machines[machine].replica.is_none() {
            cluster.start(machine);
        }
    }
}
