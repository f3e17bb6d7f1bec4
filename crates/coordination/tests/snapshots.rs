//! Snapshot transfers: chunks, resumption, heartbeats during a transfer, and the entries that a follower
//! keeps.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{Cluster, member};
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::replica::{Effects, Replica, SNAPSHOT_CHUNK_BYTES, Timing};
use pathbank_coordination::types::{
    Entry, Member, Membership, Message, Payload, Snapshot, SnapshotChunk, SnapshotId, StoreId,
};
use test_case::test_case;

fn voters() -> Vec<Member> {
    (0..3).map(|machine| member(machine, machine as u64 + 1)).collect()
}

fn follower() -> Replica {
    let durable =
        DurableState { id: Some(StoreId(1)), initial: Membership::of(voters()), ..DurableState::default() };
    Replica::new(member(0, 1), Timing::default(), durable, 0, 3)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8]) }
}

fn append(replica: &mut Replica, previous: (u64, u64), entries: Vec<Entry>, commit: u64) -> Effects {
    let message = Message::Append {
        term: 3,
        previous_index: previous.0,
        previous_term: previous.1,
        entries,
        commit,
        sent_at: 10,
    };
    replica.step(10, voters()[1].clone(), message)
}

fn encoded(index: u64, term: u64, size: usize) -> (SnapshotId, Vec<u8>) {
    let membership = Membership::of(voters());
    let snapshot = Snapshot { index, term, membership, leaders: Vec::new(), data: vec![7; size] };
    let bytes = postcard::to_allocvec(&snapshot).unwrap();
    (SnapshotId { index, length: bytes.len() as u64, checksum: crc32fast::hash(&bytes) }, bytes)
}

fn chunk(replica: &mut Replica, id: SnapshotId, offset: usize, bytes: &[u8]) -> Effects {
    let chunk = SnapshotChunk { term: 3, id, offset: offset as u64, bytes: bytes.to_vec(), sent_at: 20 };
    replica.step(20, voters()[1].clone(), Message::SnapshotChunk(chunk))
}

fn received(effects: &Effects) -> Option<u64> {
    effects.messages.iter().find_map(|sent| match sent.message {
        Message::SnapshotReply { received, .. } => Some(received),
        _ => None,
    })
}

/// The leader counts on entries that a follower has acknowledged, so a late snapshot must not remove them.
#[test]
fn a_late_snapshot_keeps_acknowledged_entries_after_it() {
    let mut replica = follower();
    append(&mut replica, (0, 0), (1..=20).map(|index| entry(index, 3)).collect(), 10);
    assert_eq!(replica.durable().last_index(), 20, "all twenty are acknowledged");
    let (id, bytes) = encoded(12, 3, 5);
    let effects = chunk(&mut replica, id, 0, &bytes);
    assert!(effects.install.is_some());
    assert_eq!(replica.durable().last_index(), 20);
    assert!(effects.records.iter().any(|record| matches!(record, Record::Snapshot { keep_tail: true, .. })));
}

#[test]
fn entries_of_another_term_than_the_snapshots_are_removed() {
    let mut replica = follower();
    append(&mut replica, (0, 0), (1..=20).map(|index| entry(index, 2)).collect(), 10);
    let (id, bytes) = encoded(12, 3, 5);
    chunk(&mut replica, id, 0, &bytes);
    assert_eq!(replica.durable().last_index(), 12);
}

#[test]
fn chunks_are_assembled_in_order_and_others_are_ignored() {
    let mut replica = follower();
    let (id, bytes) = encoded(12, 3, 1_000);
    assert_eq!(received(&chunk(&mut replica, id, 0, &bytes[..400])), Some(400));
    assert_eq!(received(&chunk(&mut replica, id, 0, &bytes[..400])), Some(400), "the same chunk again");
    assert_eq!(received(&chunk(&mut replica, id, 600, &bytes[600..])), Some(400), "one was lost before this");
    assert_eq!(received(&chunk(&mut replica, id, 400, &[])), Some(400), "a heartbeat");
    assert!(chunk(&mut replica, id, 400, &bytes[400..]).install.is_some());
    assert_eq!(replica.commit(), 12);
}

#[test]
fn another_snapshot_restarts_the_transfer_and_a_corrupted_one_is_rejected() {
    let mut replica = follower();
    let (old, old_bytes) = encoded(12, 3, 1_000);
    let (new, new_bytes) = encoded(15, 3, 1_000);
    chunk(&mut replica, old, 0, &old_bytes[..400]);
    assert_eq!(received(&chunk(&mut replica, new, 400, &new_bytes[400..])), Some(0));
    let mut broken = new_bytes.clone();
    broken[500] ^= 1;
    let effects = chunk(&mut replica, new, 0, &broken);
    assert!(effects.install.is_none());
    assert_eq!(received(&effects), Some(0), "it asks for all of it again");
    assert!(chunk(&mut replica, new, 0, &new_bytes).install.is_some());
}

/// A follower whose log is far behind restarts on a link of 10 Mbit/s while ten commands per second are
/// proposed.
#[test_case(1; "1 MB")]
#[test_case(4; "4 MB")]
#[test_case(16; "16 MB")]
fn a_large_snapshot_over_a_slow_link_causes_no_election(megabytes: u64) {
    const BYTES_A_MS: u64 = 1_250;
    let mut cluster = Cluster::new(3, 0, 21);
    assert!(cluster.run_until_leader(4_000));
    cluster.run(500);
    let lagging = (0..3).find(|machine| Some(*machine) != cluster.leader()).unwrap();
    cluster.kill(lagging);
    for _ in 0..megabytes * 4 {
        assert!(cluster.propose(&vec![1; 256 * 1024]));
        cluster.run(30);
    }
    (0..3).for_each(|machine| cluster.compact(machine));
    cluster.run(500);
    cluster.bandwidth_bytes_per_ms = BYTES_A_MS;
    let changes = cluster.leader_changes;
    cluster.start(lagging);
    let started = cluster.now;
    let wire_time = megabytes * 1_048_576 / BYTES_A_MS;
    let leader = cluster.leader().unwrap();
    while cluster.machines[lagging].applied.len() < cluster.machines[leader].applied.len() {
        assert!(cluster.propose(b"a change meanwhile"), "there is a leader throughout");
        cluster.run(100);
        assert!(cluster.now < started + wire_time * 5 / 4 + 1_500, "caught up in time");
    }
    assert_eq!(cluster.leader_changes, changes, "no election meanwhile");
    cluster.check_no_acknowledged_entry_is_lost();
}

#[test]
fn a_transfer_completes_despite_lost_messages_and_a_leader_change() {
    let mut cluster = Cluster::new(3, 0, 22);
    assert!(cluster.run_until_leader(4_000));
    let lagging = (0..3).find(|machine| Some(*machine) != cluster.leader()).unwrap();
    cluster.kill(lagging);
    for _ in 0..16 {
        assert!(cluster.propose(&vec![1; SNAPSHOT_CHUNK_BYTES]));
        cluster.run(30);
    }
    (0..3).for_each(|machine| cluster.compact(machine));
    cluster.bandwidth_bytes_per_ms = 1_250;
    cluster.loss_in_1000 = 100;
    cluster.start(lagging);
    cluster.run(1_000);
    let old = cluster.leader().unwrap();
    cluster.kill(old);
    cluster.run(500);
    cluster.start(old);
    cluster.run(12_000);
    cluster.loss_in_1000 = 0;
    cluster.run(2_000);
    assert_eq!(cluster.machines[lagging].applied.len(), 16);
    cluster.check_no_acknowledged_entry_is_lost();
}

/// A follower restarts with fewer entries than it had acknowledged to the same leader.
#[test]
fn entries_that_a_follower_lost_within_a_term_are_sent_again() {
    let mut cluster = Cluster::new(3, 0, 23);
    assert!(cluster.run_until_leader(4_000));
    let lagging = (0..3).find(|machine| Some(*machine) != cluster.leader()).unwrap();
    for number in 0..10 {
        assert!(cluster.propose(&[number]));
        cluster.run(30);
    }
    cluster.kill(lagging);
    let lost_from = cluster.machines[lagging].disk.last_index() - 3;
    cluster.machines[lagging].disk.log.truncate(lost_from);
    cluster.start(lagging);
    cluster.run(1_500);
    assert_eq!(cluster.machines[lagging].applied.len(), 10);
}
