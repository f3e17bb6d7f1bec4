//! Simulates the control path under faults in virtual time: operators send changes and reads, lose answers
//! and repeat calls; cores publish configurations; leaders act outside the group. Every history is checked
//! for linearizability of the configuration and for the guarantees of fencing tokens.
//!
//! `PATHBANK_HISTORIES=100000 cargo test --release -p pathbank-control --test safety` runs more histories.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

#[path = "../../../coordination/tests/common/mod.rs"]
mod common;
mod faults;
mod history;
mod operators;
mod world;

use faults::{Fault, Step, schedules};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;
use world::World;

/// The number of histories that run by default.
const HISTORIES: u32 = 2_000;
/// The number of parts that run in parallel.
const SHARDS: u32 = 8;

fn histories() -> u32 {
    let asked = std::env::var("PATHBANK_HISTORIES").ok();
    asked.map_or(HISTORIES, |count| count.parse().expect("PATHBANK_HISTORIES is a number"))
}

fn play(seed: u64, steps: &[Step]) -> Result<usize, String> {
    let mut world = World::new(seed, 3);
    world.play(steps).map(|()| world.answered())
}

/// Runs random schedules by seed. A schedule that fails is shrunk to the shortest one that still fails, and
/// printed.
#[test_case(0; "part 1")]
#[test_case(1; "part 2")]
#[test_case(2; "part 3")]
#[test_case(3; "part 4")]
#[test_case(4; "part 5")]
#[test_case(5; "part 6")]
#[test_case(6; "part 7")]
#[test_case(7; "part 8")]
fn random_histories_are_linearizable(shard: u8) {
    let config = Config {
        cases: histories() / SHARDS,
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[shard; 32]));
    let cases = (proptest::num::u64::ANY, schedules());
    let played = runner.run(&cases, |(seed, steps)| {
        let answered = play(seed, &steps).map_err(proptest::test_runner::TestCaseError::fail)?;
        assert!(answered > 5, "operators got only {answered} answers");
        Ok(())
    });
    if let Err(error) = played {
        panic!("{error}");
    }
}

/// Faults of twenty seconds: partitions of the leader, of a follower, in one direction and into halves; a
/// paused leader; a stalled disk.
#[test_case(Fault::PartitionLeader; "the leader is partitioned")]
#[test_case(Fault::Partition(1); "a machine is partitioned")]
#[test_case(Fault::PartitionInbound(0); "a machine receives no messages")]
#[test_case(Fault::PartitionOutbound(0); "the messages of a machine are lost")]
#[test_case(Fault::PartitionHalves(0, 1); "two machines are partitioned from the others")]
#[test_case(Fault::FreezeLeader; "the leader is paused")]
#[test_case(Fault::Stall(0); "a disk is stalled")]
fn histories_are_linearizable_under_a_fault_of_twenty_seconds(fault: Fault) {
    for seed in 0..6 {
        let steps = [Step { fault, lasts: 20_000, pause: 2_000 }];
        let answered = play(seed, &steps).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(answered > 60, "seed {seed}: operators got only {answered} answers during the fault");
    }
}

/// Disks are lost one after the other, each as soon as the group is complete again, with compaction and
/// restarts in between.
#[test]
fn disks_lost_repeatedly_as_soon_as_the_group_is_complete() {
    let lost = |machine: usize| Step { fault: Fault::WipeAndPowerOff(machine), lasts: 600, pause: 3_500 };
    let steps: Vec<Step> = (0..12)
        .flat_map(|round| [lost(round % 3), Step { fault: Fault::Compact, lasts: 0, pause: 0 }])
        .collect();
    for seed in 0..4 {
        play(seed, &steps).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}
