//! Restarts of cores with a long log on slow processors.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::Cluster;
use test_case::test_case;

const CORES: usize = 3;
const ENTRIES: usize = 800;
/// The time to apply one entry with half a processor.
const APPLY_US_PER_ENTRY: u64 = 2_500;
/// A follower is current only if it has heard its leader within this time.
const LEADER_TIMEOUT_MS: u64 = 1_500;
/// Upper bound of an election after a restart: no vote is granted for 0.4 s, and an election timer runs for
/// at most 0.8 s.
const ELECTION_TIMEOUT_MS: u64 = 1_300;

fn is_current(cluster: &Cluster, core: usize) -> bool {
    let replica = cluster.machines[core].replica.as_ref();
    !cluster.is_paused(core)
        && replica.is_some_and(|replica| replica.is_current(cluster.now, LEADER_TIMEOUT_MS))
}

fn cluster_with_entries(entries: usize, seed: u64) -> Cluster {
    let mut cluster = Cluster::new(CORES, 0, seed);
    assert!(cluster.run_until_leader(3_000), "a first leader");
    for entry in 0..entries {
        assert!(cluster.propose(&entry.to_le_bytes()));
        if entry % 20 == 0 {
            (0..10).for_each(|_| cluster.step());
        }
    }
    cluster.run(500);
    cluster
}

fn restart_all_after_power_loss(cluster: &mut Cluster) {
    (0..CORES).for_each(|core| cluster.power_off(core));
    cluster.run(1_000);
    for core in 0..CORES {
        cluster.start(core);
        cluster.machines[core].apply_us_per_entry = APPLY_US_PER_ENTRY;
    }
}

// Guards against a leader that applies its whole log at once: it sent no heartbeats meanwhile and was deposed
// by the next leader, which did the same. The cluster was current only after several elections.
#[test]
fn a_leader_keeps_leading_while_it_applies_a_long_log() {
    for seed in 0..20 {
        let mut cluster = cluster_with_entries(ENTRIES, seed);
        restart_all_after_power_loss(&mut cluster);
        let (started, changes) = (cluster.now, cluster.leader_changes);
        let replay = ENTRIES as u64 * APPLY_US_PER_ENTRY / 1_000;
        while !(0..CORES).all(|core| is_current(&cluster, core)) {
            cluster.step();
            let took = cluster.now - started;
            assert!(took < ELECTION_TIMEOUT_MS + 2 * replay, "seed {seed}: not current after {took} ms");
        }
        let took = cluster.now - started;
        assert!(
            took < ELECTION_TIMEOUT_MS + replay + replay / 4,
            "seed {seed}: all are current after {took} ms"
        );
        assert!(cluster.leader_changes <= changes + 1, "seed {seed}: one leader is enough");
    }
}

/// A fault during the restart of a core with a long log.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Nothing,
    /// A sync takes 90 ms on all disks.
    SlowDisks,
    /// One message in ten is lost.
    Loss,
    /// Commands are proposed throughout.
    Changes,
    /// The core is killed again while it applies its log.
    Killed,
}

/// A core on a slow processor restarts and replays its log. The others keep their leader and accept commands,
/// and the core is current again within the time that its replay takes.
#[test_case(false, Fault::Nothing; "a follower starts again")]
#[test_case(false, Fault::SlowDisks; "a follower, with slow disks")]
#[test_case(false, Fault::Loss; "a follower, with messages that get lost")]
#[test_case(false, Fault::Changes; "a follower, and changes go on")]
#[test_case(false, Fault::Killed; "a follower is killed again in the midst of its log")]
#[test_case(true, Fault::Nothing; "the leader starts again")]
#[test_case(true, Fault::SlowDisks; "the leader, with slow disks")]
#[test_case(true, Fault::Loss; "the leader, with messages that get lost")]
#[test_case(true, Fault::Changes; "the leader, and changes go on")]
#[test_case(true, Fault::Killed; "the leader is killed again in the midst of its log")]
fn the_replay_of_a_long_log_disturbs_no_leader(is_leader: bool, fault: Fault) {
    for seed in 0..6 {
        let mut cluster = cluster_with_entries(ENTRIES, seed);
        let leader = cluster.leader().expect("a leader");
        let core = if is_leader { leader } else { (leader + 1) % CORES };
        (0..CORES).for_each(|other| cluster.machines[other].apply_us_per_entry = APPLY_US_PER_ENTRY);
        if fault == Fault::SlowDisks {
            (0..CORES).for_each(|other| cluster.machines[other].sync_ms = 90);
        }
        cluster.loss_in_1000 = if fault == Fault::Loss { 100 } else { 0 };
        cluster.kill(core);
        assert!(cluster.run_until_leader(4_000), "seed {seed}: the others have a leader");
        cluster.start(core);
        let (started, changes) = (cluster.now, cluster.leader_changes);
        let replay = ENTRIES as u64 * APPLY_US_PER_ENTRY / 1_000;
        let again_at = if fault == Fault::Killed { started + replay / 2 } else { u64::MAX };
        let bound =
            2 * ELECTION_TIMEOUT_MS + replay + replay / 2 + if again_at < u64::MAX { replay / 2 } else { 0 };
        let mut number = 0_u64;
        while !(0..CORES).all(|other| is_current(&cluster, other)) || cluster.now <= started + 10 {
            cluster.step();
            if cluster.now == again_at {
                cluster.kill(core);
                cluster.start(core);
            }
            if fault == Fault::Changes && cluster.now.is_multiple_of(50) {
                number += 1;
                cluster.propose(&number.to_be_bytes());
            }
            let took = cluster.now - started;
            assert!(took < bound, "seed {seed}: not all are current after {took} ms, {bound} ms at most");
        }
        if fault != Fault::Loss {
            assert_eq!(cluster.leader_changes, changes, "seed {seed}: the others lead on");
        }
        cluster.loss_in_1000 = 0;
        cluster.run(2_000);
        cluster.check_no_acknowledged_entry_is_lost();
    }
}
