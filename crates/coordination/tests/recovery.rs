//! Heads that start again with a long log, on small processors.

mod common;

use common::Fleet;
use test_case::test_case;

const HEADS: usize = 3;
const ENTRIES: usize = 800;
/// What it took a core with half of a core to apply one change.
const ENTRY_TAKES_US: u64 = 2_500;
/// A follower believes in a leader that it heard within this, milliseconds.
const LEADER_SILENCE: u64 = 1_500;
/// Nobody votes for 0.4 s after a start, and who stands waits for 0.8 s at most.
const ELECTION_WITHIN: u64 = 1_300;

fn is_current(fleet: &Fleet, head: usize) -> bool {
    let replica = fleet.machines[head].replica.as_ref();
    !fleet.is_frozen(head) && replica.is_some_and(|replica| replica.is_current(fleet.now, LEADER_SILENCE))
}

fn given_a_log_of(entries: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(HEADS, 0, seed);
    assert!(fleet.run_until_led(3_000), "a first leader");
    for entry in 0..entries {
        assert!(fleet.propose(&entry.to_le_bytes()));
        if entry % 20 == 0 {
            (0..10).for_each(|_| fleet.step());
        }
    }
    fleet.run(500);
    fleet
}

fn when_all_were_dark_for_a_second(fleet: &mut Fleet) {
    (0..HEADS).for_each(|head| fleet.power_off(head));
    fleet.run(1_000);
    for head in 0..HEADS {
        fleet.start(head);
        fleet.machines[head].entry_takes_us = ENTRY_TAKES_US;
    }
}

// All three cores of a deployment were dark for a second while changes came without a pause, and edges had
// the newest configuration only 3.1 to 3.7 s after the start. Whoever led first applied its whole log in one
// turn, said nothing meanwhile, and was deposed by the next head, which did the same:
//   62.070 role=Leader term=10 last=603      62.631 role=PreCandidate term=10 (another head)
//   62.643 role=Leader term=11 last=604      64.252 the first one's next word
#[test]
fn a_leader_that_applies_a_long_log_goes_on_leading() {
    for seed in 0..20 {
        let mut fleet = given_a_log_of(ENTRIES, seed);
        when_all_were_dark_for_a_second(&mut fleet);
        let (started, changes) = (fleet.now, fleet.leader_changes);
        let replay = ENTRIES as u64 * ENTRY_TAKES_US / 1_000;
        while !(0..HEADS).all(|head| is_current(&fleet, head)) {
            fleet.step();
            let took = fleet.now - started;
            assert!(took < ELECTION_WITHIN + 2 * replay, "seed {seed}: not current after {took} ms");
        }
        let took = fleet.now - started;
        assert!(took < ELECTION_WITHIN + replay + replay / 4, "seed {seed}: all are current after {took} ms");
        assert!(fleet.leader_changes <= changes + 1, "seed {seed}: one leader is enough");
    }
}

/// What comes beside the start of one head that has a long log to apply.
#[derive(Clone, Copy, PartialEq)]
enum Beside {
    Nothing,
    /// A sync takes 90 ms on all disks.
    SlowDisks,
    /// One message in ten is lost.
    Loss,
    /// Changes go on.
    Changes,
    /// It is killed again while it applies its log.
    Killed,
}

/// A head that starts again on a small processor applies its log beside the others: they lead on, take
/// changes, and it is current within the time that its replay takes.
#[test_case(false, Beside::Nothing; "a follower starts again")]
#[test_case(false, Beside::SlowDisks; "a follower, with slow disks")]
#[test_case(false, Beside::Loss; "a follower, with messages that get lost")]
#[test_case(false, Beside::Changes; "a follower, and changes go on")]
#[test_case(false, Beside::Killed; "a follower is killed again in the midst of its log")]
#[test_case(true, Beside::Nothing; "the leader starts again")]
#[test_case(true, Beside::SlowDisks; "the leader, with slow disks")]
#[test_case(true, Beside::Loss; "the leader, with messages that get lost")]
#[test_case(true, Beside::Changes; "the leader, and changes go on")]
#[test_case(true, Beside::Killed; "the leader is killed again in the midst of its log")]
fn a_head_that_applies_its_log_again_disturbs_nobody(is_leader: bool, beside: Beside) {
    for seed in 0..6 {
        let mut fleet = given_a_log_of(ENTRIES, seed);
        let leader = fleet.leader().expect("a leader");
        let head = if is_leader { leader } else { (leader + 1) % HEADS };
        (0..HEADS).for_each(|other| fleet.machines[other].entry_takes_us = ENTRY_TAKES_US);
        if beside == Beside::SlowDisks {
            (0..HEADS).for_each(|other| fleet.machines[other].sync_takes = 90);
        }
        fleet.loss_in_1000 = if beside == Beside::Loss { 100 } else { 0 };
        fleet.kill(head);
        assert!(fleet.run_until_led(4_000), "seed {seed}: the others have a leader");
        fleet.start(head);
        let (started, changes) = (fleet.now, fleet.leader_changes);
        let replay = ENTRIES as u64 * ENTRY_TAKES_US / 1_000;
        let again_at = if beside == Beside::Killed { started + replay / 2 } else { u64::MAX };
        let bound =
            2 * ELECTION_WITHIN + replay + replay / 2 + if again_at < u64::MAX { replay / 2 } else { 0 };
        let mut number = 0_u64;
        while !(0..HEADS).all(|other| is_current(&fleet, other)) || fleet.now <= started + 10 {
            fleet.step();
            if fleet.now == again_at {
                fleet.kill(head);
                fleet.start(head);
            }
            if beside == Beside::Changes && fleet.now.is_multiple_of(50) {
                number += 1;
                fleet.propose(&number.to_be_bytes());
            }
            let took = fleet.now - started;
            assert!(took < bound, "seed {seed}: not all are current after {took} ms, {bound} ms at most");
        }
        if beside != Beside::Loss {
            assert_eq!(fleet.leader_changes, changes, "seed {seed}: the others lead on");
        }
        fleet.loss_in_1000 = 0;
        fleet.run(2_000);
        fleet.check_nothing_is_lost();
    }
}
