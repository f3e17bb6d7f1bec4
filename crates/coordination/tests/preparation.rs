//! Long commands that the caller prepares outside its event loop: a replica hands them out once they are
//! prepared, in the order of the log.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{Cluster, member};
use pathbank_coordination::record::DurableState;
use pathbank_coordination::replica::{Effects, Replica, Timing};
use pathbank_coordination::types::{
    Entry, Member, Membership, Message, Payload, Snapshot, SnapshotChunk, SnapshotId, StoreId,
};
use test_case::test_case;

/// A command longer than this, in bytes, has to be prepared.
const LIMIT: usize = 10;
const LONG: usize = LIMIT + 1;

fn voters() -> Vec<Member> {
    (0..3).map(|machine| member(machine, machine as u64 + 1)).collect()
}

/// A follower with commands of these lengths, the first `commit` of which are committed.
fn follower(lengths: &[usize], commit: u64) -> (Replica, Effects) {
    let initial = Membership::of(voters());
    let durable = DurableState { id: Some(StoreId(1)), initial, ..DurableState::default() };
    let mut replica = Replica::new(member(0, 1), Timing::default(), durable, 0, 3);
    replica.set_max_unprepared_bytes(LIMIT);
    let entries = (1..).zip(lengths).map(|(index, length)| Entry {
        index,
        term: 3,
        payload: Payload::Command(vec![0; *length]),
    });
    let (entries, leader) = (entries.collect(), voters()[1].clone());
    let message =
        Message::Append { term: 3, previous_index: 0, previous_term: 0, entries, commit, sent_at: 10 };
    let effects = replica.step(10, leader, message);
    (replica, effects)
}

fn handed_out(effects: &Effects) -> Vec<u64> {
    effects.committed.iter().map(|entry| entry.index).collect()
}

fn awaited(replica: &Replica) -> Option<u64> {
    replica.awaits_preparation().map(|entry| entry.index)
}

#[test]
fn a_long_command_and_those_behind_it_wait_until_it_is_prepared() {
    let (mut replica, effects) = follower(&[1, LONG, 1, LONG, 1], 5);
    assert_eq!(handed_out(&effects), [1]);
    assert_eq!(awaited(&replica), Some(2));
    assert!(!replica.has_more_to_apply(), "nothing can be handed out now");
    assert!(!replica.is_current(10, 1_000), "committed entries are not applied");
    assert!(handed_out(&replica.apply_more()).is_empty());
    replica.set_prepared(2);
    assert!(replica.has_more_to_apply());
    assert_eq!(handed_out(&replica.apply_more()), [2, 3]);
    assert_eq!(awaited(&replica), Some(4));
    replica.set_prepared(4);
    assert_eq!(handed_out(&replica.apply_more()), [4, 5]);
    assert!(replica.is_current(10, 1_000));
}

#[test]
fn an_uncommitted_command_does_not_have_to_be_prepared() {
    let (mut replica, effects) = follower(&[LONG], 0);
    assert!(handed_out(&effects).is_empty());
    assert_eq!(awaited(&replica), None);
    replica.set_prepared(1);
    let heartbeat = Message::Append {
        term: 3,
        previous_index: 1,
        previous_term: 3,
        entries: Vec::new(),
        commit: 1,
        sent_at: 20,
    };
    let effects = replica.step(20, voters()[1].clone(), heartbeat);
    assert_eq!(handed_out(&effects), [1], "it was prepared before it was committed");
}

#[test]
fn a_snapshot_replaces_a_command_that_is_being_prepared() {
    let (mut replica, _) = follower(&[LONG, 1], 2);
    assert_eq!(awaited(&replica), Some(1));
    let (membership, leaders) = (Membership::of(voters()), Vec::new());
    let snapshot = Snapshot { index: 4, term: 3, membership, leaders, data: vec![7] };
    let bytes = postcard::to_allocvec(&snapshot).unwrap();
    let id = SnapshotId { index: 4, length: bytes.len() as u64, checksum: crc32fast::hash(&bytes) };
    let chunk = SnapshotChunk { term: 3, id, offset: 0, bytes, sent_at: 20 };
    let effects = replica.step(20, voters()[1].clone(), Message::SnapshotChunk(chunk));
    assert!(effects.install.is_some());
    assert_eq!(awaited(&replica), None);
    replica.set_prepared(1);
    assert!(handed_out(&replica.apply_more()).is_empty(), "the snapshot covers it");
}

/// Each machine takes a second to prepare each command, and the leader fails in the meantime.
#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
fn a_group_that_prepares_commands_for_a_second_loses_no_acknowledged_entry(seed: u64) {
    let mut cluster = Cluster::new(3, 0, seed);
    cluster.preparation_ms = Some(1_000);
    assert!(cluster.run_until_leader(4_000));
    cluster.run(1_000);
    let leader_changes = cluster.leader_changes;
    for number in 0..4 {
        assert!(cluster.propose(format!("a long command {number}").as_bytes()));
    }
    cluster.run(5_000);
    assert_eq!(cluster.acknowledged.len(), 4);
    assert_eq!(cluster.leader_changes, leader_changes, "the leader leads on");
    assert!(cluster.propose(b"a long command under way"));
    cluster.run(200);
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    assert!(cluster.run_until_leader(8_000), "another one has prepared what was committed");
    cluster.check_no_acknowledged_entry_is_lost();
    cluster.start(leader);
    cluster.run(6_000);
    cluster.check_no_acknowledged_entry_is_lost();
    let applied: Vec<usize> = cluster.machines.iter().map(|machine| machine.applied.len()).collect();
    assert!(
        applied.iter().all(|count| *count == applied[0]),
        "all machines have applied the same: {applied:?}"
    );
}
