//! Snapshots on their way: in parts, resumed, one at a time, behind heartbeats; and what a follower keeps
//! beside them.

mod common;

use common::{Fleet, member};
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

fn part(replica: &mut Replica, id: SnapshotId, offset: usize, bytes: &[u8]) -> Effects {
    let part = SnapshotChunk { term: 3, id, offset: offset as u64, bytes: bytes.to_vec(), sent_at: 20 };
    replica.step(20, voters()[1].clone(), Message::SnapshotChunk(part))
}

fn received(effects: &Effects) -> Option<u64> {
    effects.messages.iter().find_map(|sent| match sent.message {
        Message::SnapshotReply { received, .. } => Some(received),
        _ => None,
    })
}

/// The leader counts what was acknowledged for good: a snapshot that comes late must not take it away again.
#[test]
fn entries_acknowledged_behind_a_snapshot_outlast_its_late_arrival() {
    let mut replica = follower();
    append(&mut replica, (0, 0), (1..=20).map(|index| entry(index, 3)).collect(), 10);
    assert_eq!(replica.durable().last_index(), 20, "all twenty are acknowledged");
    let (id, bytes) = encoded(12, 3, 5);
    let effects = part(&mut replica, id, 0, &bytes);
    assert!(effects.install.is_some());
    assert_eq!(replica.durable().last_index(), 20);
    assert!(effects.records.iter().any(|record| matches!(record, Record::Snapshot { keep_tail: true, .. })));
}

#[test]
fn entries_that_do_not_follow_on_a_snapshot_go() {
    let mut replica = follower();
    append(&mut replica, (0, 0), (1..=20).map(|index| entry(index, 2)).collect(), 10);
    let (id, bytes) = encoded(12, 3, 5);
    part(&mut replica, id, 0, &bytes);
    assert_eq!(replica.durable().last_index(), 12);
}

#[test]
fn parts_are_put_together_in_order_and_others_are_left_out() {
    let mut replica = follower();
    let (id, bytes) = encoded(12, 3, 1_000);
    assert_eq!(received(&part(&mut replica, id, 0, &bytes[..400])), Some(400));
    assert_eq!(received(&part(&mut replica, id, 0, &bytes[..400])), Some(400), "the same part again");
    assert_eq!(received(&part(&mut replica, id, 600, &bytes[600..])), Some(400), "one was lost before this");
    assert_eq!(received(&part(&mut replica, id, 400, &[])), Some(400), "a heartbeat");
    assert!(part(&mut replica, id, 400, &bytes[400..]).install.is_some());
    assert_eq!(replica.commit(), 12);
}

#[test]
fn another_snapshot_begins_anew_and_a_broken_one_is_not_taken() {
    let mut replica = follower();
    let (old, old_bytes) = encoded(12, 3, 1_000);
    let (new, new_bytes) = encoded(15, 3, 1_000);
    part(&mut replica, old, 0, &old_bytes[..400]);
    assert_eq!(received(&part(&mut replica, new, 400, &new_bytes[400..])), Some(0));
    let mut broken = new_bytes.clone();
    broken[500] ^= 1;
    let effects = part(&mut replica, new, 0, &broken);
    assert!(effects.install.is_none());
    assert_eq!(received(&effects), Some(0), "it asks for all of it again");
    assert!(part(&mut replica, new, 0, &new_bytes).install.is_some());
}

/// A follower that comes back far behind, over a link of 10 Mbit/s, while changes go on at ten a second.
#[test_case(1; "1 MB")]
#[test_case(4; "4 MB")]
#[test_case(16; "16 MB")]
fn a_large_state_comes_over_a_slow_link_without_an_election(megabytes: u64) {
    const BYTES_A_MS: u64 = 1_250;
    let mut fleet = Fleet::new(3, 0, 21);
    assert!(fleet.run_until_led(4_000));
    fleet.run(500);
    let behind = (0..3).find(|machine| Some(*machine) != fleet.leader()).unwrap();
    fleet.kill(behind);
    for _ in 0..megabytes * 4 {
        assert!(fleet.propose(&vec![1; 256 * 1024]));
        fleet.run(30);
    }
    (0..3).for_each(|machine| fleet.compact(machine));
    fleet.run(500);
    fleet.bandwidth = BYTES_A_MS;
    let changes = fleet.leader_changes;
    fleet.start(behind);
    let started = fleet.now;
    let wire_time = megabytes * 1_048_576 / BYTES_A_MS;
    let leader = fleet.leader().unwrap();
    while fleet.machines[behind].applied.len() < fleet.machines[leader].applied.len() {
        assert!(fleet.propose(b"a change meanwhile"), "it is led all the while");
        fleet.run(100);
        assert!(fleet.now < started + wire_time * 5 / 4 + 1_500, "caught up in time");
    }
    assert_eq!(fleet.leader_changes, changes, "no election meanwhile");
    fleet.check_nothing_is_lost();
}

#[test]
fn a_snapshot_goes_on_where_it_broke_off_when_the_link_or_the_leader_changes() {
    let mut fleet = Fleet::new(3, 0, 22);
    assert!(fleet.run_until_led(4_000));
    let behind = (0..3).find(|machine| Some(*machine) != fleet.leader()).unwrap();
    fleet.kill(behind);
    for _ in 0..16 {
        assert!(fleet.propose(&vec![1; SNAPSHOT_CHUNK_BYTES]));
        fleet.run(30);
    }
    (0..3).for_each(|machine| fleet.compact(machine));
    fleet.bandwidth = 1_250;
    fleet.loss_in_1000 = 100;
    fleet.start(behind);
    fleet.run(1_000);
    let old = fleet.leader().unwrap();
    fleet.kill(old);
    fleet.run(500);
    fleet.start(old);
    fleet.run(12_000);
    fleet.loss_in_1000 = 0;
    fleet.run(2_000);
    assert_eq!(fleet.machines[behind].applied.len(), 16);
    fleet.check_nothing_is_lost();
}

/// A follower that comes back with less than it had acknowledged to this very leader gets it again.
#[test]
fn what_a_follower_lost_within_one_term_is_sent_again() {
    let mut fleet = Fleet::new(3, 0, 23);
    assert!(fleet.run_until_led(4_000));
    let behind = (0..3).find(|machine| Some(*machine) != fleet.leader()).unwrap();
    for number in 0..10 {
        assert!(fleet.propose(&[number]));
        fleet.run(30);
    }
    fleet.kill(behind);
    let lost_from = fleet.machines[behind].disk.last_index() - 3;
    fleet.machines[behind].disk.log.truncate(lost_from);
    fleet.start(behind);
    fleet.run(1_500);
    assert_eq!(fleet.machines[behind].applied.len(), 10);
}
