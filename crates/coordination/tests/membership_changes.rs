//! Stores join, leave and replace voters, while another machine fails at any time of the change. As long as a
//! quorum remains, the cluster must elect a leader again and lose no acknowledged entry.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::Cluster;
use test_case::test_case;

/// How a machine fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// The machine restarts with an empty disk.
    Wipe,
    /// The machine stays down.
    Dark,
    /// The machine's process is killed and restarts.
    Kill,
}

const LOSSES: [Loss; 3] = [Loss::Wipe, Loss::Dark, Loss::Kill];
/// The machine that is not one of the first voters.
const SPARE: usize = 3;
/// A failed machine restarts after this time.
const RESTART_DELAY_MS: u64 = 1_000;
/// The cluster must have a leader this long after a failure.
const LEADER_TIMEOUT_MS: u64 = 6_000;

fn cluster_with_spare(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(3, 1, seed);
    cluster.kill(SPARE);
    assert!(cluster.run_until_leader(4_000), "a leader");
    cluster.run(500);
    acknowledge(&mut cluster, 3);
    cluster
}

fn acknowledge(cluster: &mut Cluster, count: usize) {
    let before = cluster.acknowledged.len();
    for number in 0..count {
        assert!(cluster.propose(format!("{before} {number}").as_bytes()), "proposed");
        cluster.run(30);
    }
    assert_eq!(cluster.acknowledged.len(), before + count, "all are acknowledged");
}

fn lose(cluster: &mut Cluster, machine: usize, loss: Loss) {
    match loss {
        Loss::Wipe => cluster.wipe(machine),
        Loss::Dark | Loss::Kill => cluster.kill(machine),
    }
}

fn assert_recovers(cluster: &mut Cluster, lost: usize, loss: Loss, what: &str) {
    cluster.run(RESTART_DELAY_MS);
    if loss != Loss::Dark {
        cluster.start(lost);
    }
    assert!(cluster.run_until_leader(LEADER_TIMEOUT_MS), "{what}: a leader comes back");
    cluster.check_no_acknowledged_entry_is_lost();
    acknowledge(cluster, 1);
}

/// A planned replacement: the new machine starts, then the old one receives SIGTERM. After that another voter
/// fails.
#[test_case(300; "0.3 s after the new one started")]
#[test_case(1_000; "1 s after")]
#[test_case(2_000; "2 s after")]
fn a_voter_failure_at_any_time_after_a_planned_replacement_is_survived(head_start: u64) {
    let pairs = (0..3).flat_map(|departing| (0..3).map(move |lost| (departing, lost)));
    for (departing, lost) in pairs.filter(|(departing, lost)| departing != lost) {
        for loss in LOSSES {
            for gap in (0..3_600).step_by(200) {
                let what = format!("{departing} leaves, {loss:?} of {lost} after {gap} ms");
                let mut cluster = cluster_with_spare(gap);
                cluster.start(SPARE);
                cluster.run(head_start);
                cluster.terminate(departing);
                while cluster.is_terminating(departing) {
                    cluster.step();
                }
                cluster.run(gap);
                lose(&mut cluster, lost, loss);
                assert_recovers(&mut cluster, lost, loss, &what);
            }
        }
    }
}

#[test_case(false; "a follower")]
#[test_case(true; "the leader")]
fn a_departing_voter_is_removed_before_its_process_ends(leader: bool) {
    let mut cluster = cluster_with_spare(3);
    cluster.start(SPARE);
    cluster.run(1_500);
    let leads = cluster.leader().unwrap();
    let departing = if leader { leads } else { (leads + 1) % 3 };
    assert!(cluster.propose(b"on its way while the voter leaves"));
    cluster.terminate(departing);
    let mut out_at_the_end = false;
    for _ in 0..common::SHUTDOWN_TIMEOUT_MS {
        let replica = cluster.machines[departing].replica.as_ref();
        let Some(replica) = replica else { break };
        out_at_the_end = !replica.membership().contains(replica.me().id);
        cluster.step();
    }
    assert!(cluster.machines[departing].replica.is_none(), "it ended");
    assert!(out_at_the_end, "removed from the membership before");
    assert!(cluster.run_until_leader(300), "without an election timeout");
    let voters = cluster.voters();
    assert!(voters.contains(&cluster.store(SPARE)) && !voters.contains(&cluster.store(departing)));
    cluster.check_no_acknowledged_entry_is_lost();
}

#[test]
fn a_restart_without_a_learner_keeps_the_membership_and_does_not_wait() {
    let mut cluster = Cluster::new(3, 0, 5);
    assert!(cluster.run_until_leader(4_000));
    cluster.run(1_000);
    let before = cluster.voters();
    for machine in 0..3 {
        cluster.terminate(machine);
        cluster.run(100);
        assert!(cluster.machines[machine].replica.is_none(), "machine {machine} ended at once");
        assert!(cluster.run_until_leader(400), "another one leads");
        cluster.start(machine);
        cluster.run(1_500);
    }
    assert_eq!(cluster.voters(), before);
    assert_recovers(&mut cluster, 0, Loss::Dark, "after the roll");
}

#[test]
fn a_rolling_restart_with_one_learner_loses_nothing() {
    let mut cluster = Cluster::new(3, 1, 6);
    assert!(cluster.run_until_leader(4_000));
    cluster.run(2_000);
    acknowledge(&mut cluster, 3);
    for machine in 0..4 {
        cluster.terminate(machine);
        cluster.run(700);
        assert!(cluster.machines[machine].replica.is_none(), "machine {machine} ended");
        cluster.start(machine);
        cluster.run(2_000);
        acknowledge(&mut cluster, 2);
        cluster.check_no_acknowledged_entry_is_lost();
    }
    assert_eq!(cluster.voters().len(), 3);
}

/// A new store crashes while it is a learner and an old voter is leaving.
#[test]
fn a_learner_crash_at_any_time_during_a_departure_is_survived() {
    for gap in (0..900).step_by(20) {
        let mut cluster = cluster_with_spare(gap);
        cluster.start(SPARE);
        cluster.run(1_000);
        cluster.terminate(0);
        cluster.run(gap);
        cluster.kill(SPARE);
        cluster.run(common::SHUTDOWN_TIMEOUT_MS);
        assert!(cluster.machines[0].replica.is_none(), "gap {gap}: it ended");
        assert!(cluster.run_until_leader(LEADER_TIMEOUT_MS), "gap {gap}: a leader");
        cluster.check_no_acknowledged_entry_is_lost();
    }
}

#[test]
fn after_two_departures_of_five_the_cluster_has_a_leader() {
    for lost in 2..5 {
        let mut cluster = Cluster::new(3, 2, 40 + lost as u64);
        assert!(cluster.run_until_leader(4_000));
        cluster.run(3_000);
        assert_eq!(cluster.voter_count(), Some(5));
        acknowledge(&mut cluster, 3);
        (0..2).for_each(|machine| cluster.terminate(machine));
        cluster.run(common::SHUTDOWN_TIMEOUT_MS + 500);
        // Two of five voters have left; the other three are a quorum.
        assert!(cluster.run_until_leader(LEADER_TIMEOUT_MS));
        cluster.check_no_acknowledged_entry_is_lost();
        acknowledge(&mut cluster, 1);
    }
}

#[test_case(0; "the first")]
#[test_case(1; "the second")]
#[test_case(2; "the third")]
fn a_new_store_at_a_voters_address_is_preferred_to_a_learner(wiped: usize) {
    let mut cluster = cluster_with_spare(7);
    cluster.start(SPARE);
    cluster.wipe(wiped);
    cluster.run(300);
    cluster.start(wiped);
    cluster.run(4_000);
    let voters = cluster.voters();
    assert_eq!(voters.len(), 3);
    assert!(voters.contains(&cluster.store(wiped)), "the store at the old address votes");
    let other = (wiped + 1) % 3;
    lose(&mut cluster, other, Loss::Dark);
    assert_recovers(&mut cluster, other, Loss::Dark, "another one goes dark");
}

/// The leader is partitioned from the others at any time of a membership change.
#[test]
fn a_leader_partitioned_at_any_time_of_a_membership_change_loses_nothing() {
    for gap in (0..60).step_by(2) {
        let mut cluster = cluster_with_spare(gap);
        cluster.start(SPARE);
        cluster.run(1_000);
        let leader = cluster.leader().unwrap();
        cluster.terminate((leader + 1) % 3);
        cluster.run(gap);
        let others = (0..4).filter(|other| *other != leader);
        cluster.partitions.extend(others.flat_map(|other| [(leader, other), (other, leader)]));
        cluster.run(common::SHUTDOWN_TIMEOUT_MS);
        cluster.partitions.clear();
        assert!(cluster.run_until_leader(LEADER_TIMEOUT_MS), "gap {gap}: a leader");
        cluster.check_no_acknowledged_entry_is_lost();
        acknowledge(&mut cluster, 1);
    }
}

#[test]
fn five_voters_stay_while_two_are_down() {
    let mut cluster = Cluster::new(3, 2, 9);
    assert!(cluster.run_until_leader(4_000));
    cluster.run(3_000);
    acknowledge(&mut cluster, 3);
    (0..2).for_each(|machine| cluster.kill(machine));
    cluster.run(6_000);
    assert_eq!(cluster.voter_count(), Some(5), "two that are down are not replaced");
    // Of the machines with the newest entry two lose their disks, the most that is tolerated, while the
    // others restart.
    acknowledge(&mut cluster, 2);
    (2..4).for_each(|machine| cluster.wipe(machine));
    (0..4).for_each(|machine| cluster.start(machine));
    assert!(cluster.run_until_leader(LEADER_TIMEOUT_MS));
    cluster.check_no_acknowledged_entry_is_lost();
}

#[test]
fn a_silent_learner_replaces_no_voter() {
    let mut cluster = cluster_with_spare(11);
    let before = cluster.voters();
    cluster.start(SPARE);
    cluster.run(1_500);
    cluster.kill(SPARE);
    cluster.run(700);
    cluster.terminate(0);
    cluster.run(200);
    assert!(cluster.machines[0].replica.is_none(), "it waits for no learner");
    assert!(cluster.run_until_leader(LEADER_TIMEOUT_MS));
    assert_eq!(cluster.voters(), before);
}
