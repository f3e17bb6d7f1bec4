//! The control path under faults in virtual time: operators with changes, reads, lost answers and
//! repeats; cores that publish configurations; leaders that act outside the group. Every history is checked
//! for linearizability of the configuration, and for what fencing promises.
//!
//! `PATHBANK_HISTORIES=100000 cargo test --release -p pathbank-control --test safety` plays more of them.

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

/// Histories that are played without another word.
const HISTORIES: u32 = 2_000;
/// They are played in so many parts at the same time.
const SHARDS: u32 = 8;

fn histories() -> u32 {
    let asked = std::env::var("PATHBANK_HISTORIES").ok();
    asked.map_or(HISTORIES, |count| count.parse().expect("PATHBANK_HISTORIES is a number"))
}

fn play(seed: u64, steps: &[Step]) -> Result<usize, String> {
    let mut world = World::new(seed, 3);
    world.play(steps).map(|()| world.answered())
}

/// Draws schedules from a seed; one that fails is shrunk to the shortest that still does, and printed.
#[test_case(0; "part 1")]
#[test_case(1; "part 2")]
#[test_case(2; "part 3")]
#[test_case(3; "part 4")]
#[test_case(4; "part 5")]
#[test_case(5; "part 6")]
#[test_case(6; "part 7")]
#[test_case(7; "part 8")]
fn drawn_histories_are_linearizable(shard: u8) {
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
        assert!(answered > 5, "operators are answered: {answered}");
        Ok(())
    });
    if let Err(error) = played {
        panic!("{error}");
    }
}

/// Partitions of twenty seconds: of the leader, of a follower, one way, in halves; and a leader that stands
/// still.
#[test_case(Fault::PartitionLeader; "the leader is cut off")]
#[test_case(Fault::Partition(1); "a machine is cut off")]
#[test_case(Fault::PartitionInbound(0); "a machine hears nobody")]
#[test_case(Fault::PartitionOutbound(0); "a machine is not heard")]
#[test_case(Fault::PartitionHalves(0, 1); "two on one side")]
#[test_case(Fault::FreezeLeader; "the leader stands still")]
#[test_case(Fault::Stall(0); "a disk stands still")]
fn for_twenty_seconds(fault: Fault) {
    for seed in 0..6 {
        let steps = [Step { fault, lasts: 20_000, pause: 2_000 }];
        let answered = play(seed, &steps).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(answered > 60, "seed {seed}: operators are answered meanwhile: {answered}");
    }
}

/// Disks are lost one after the other, as soon as the group is whole again, with compaction and restarts
/// between.
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
