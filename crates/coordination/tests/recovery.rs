//! Heads that start again with a long log, on small processors.

mod common;

use common::Fleet;

const HEADS: usize = 3;
const ENTRIES: usize = 800;
/// What it took a control head with half of a core to apply one change.
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

// All three control heads of a deployment were dark for a second while changes came without a pause, and edge heads had the
// newest configuration only 3.1 to 3.7 s after the start. Whoever led first applied its whole log in one turn, said nothing
// meanwhile, and was deposed by the next head, which did the same:
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
