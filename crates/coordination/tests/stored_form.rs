//! Files and datagrams of an earlier release are read, and written byte for byte as it wrote them.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::data_directory::DataDirectory;
use pathbank_coordination::gossip::datagram::{Body, Datagram, FleetKey};
use pathbank_coordination::gossip::{Incarnation, NodeId, NodeRecord, NodeState, NodeStatus};
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::store::{DAMAGED_FILE, LogFile, OpenedLog};
use pathbank_coordination::types::{Entry, Member, Membership, Payload, Snapshot, StoreId};
use std::fs;
use std::path::Path;
use test_case::test_case;

fn fixture(name: &str) -> Vec<u8> {
    fs::read(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)).unwrap()
}

fn directory_with_log(name: &str) -> DataDirectory {
    let directory = DataDirectory::new(name);
    fs::create_dir_all(&directory.path).unwrap();
    fs::write(directory.log(), fixture(name)).unwrap();
    directory
}

fn member(id: u64) -> Member {
    Member {
        id: StoreId(id),
        name: format!("core-{id}"),
        address: format!("10.0.0.{id}:7000"),
        control_address: format!("10.0.0.{id}:7001"),
    }
}

fn members(ids: [u64; 3]) -> Vec<Member> {
    ids.map(member).to_vec()
}

fn entry(index: u64, term: u64, payload: Payload) -> Record {
    Record::Entry(Entry { index, term, payload })
}

fn command(index: u64, term: u64) -> Record {
    entry(index, term, Payload::Command(format!("command {index}").into_bytes()))
}

/// The state in the first batch of the fixture log: a snapshot, and one entry after it.
fn compacted() -> DurableState {
    let initial = Membership::of(members([1, 2, 3]));
    let snapshot = Snapshot {
        index: 4,
        term: 3,
        membership: initial.clone(),
        leaders: vec!["core-3".into(), "core-1".into()],
        data: b"state at 4".to_vec(),
    };
    let mut durable = DurableState { id: Some(StoreId(2)), initial, ..DurableState::default() };
    durable.apply(Record::Vote { term: 3, voted_for: Some(StoreId(1)) });
    durable.apply(Record::Snapshot { snapshot, keep_tail: false });
    durable.apply(command(5, 3));
    durable
}

/// The batches appended after the first one: votes, a leader's start, a joint membership, and commands, of
/// which one is replaced.
fn batches() -> [Vec<Record>; 4] {
    let joint = Membership { voters: members([1, 2, 4]), outgoing: members([1, 2, 3]) };
    [
        vec![
            Record::Vote { term: 4, voted_for: None },
            Record::Vote { term: 4, voted_for: Some(StoreId(3)) },
        ],
        vec![entry(6, 4, Payload::LeaderStart("core-3".into())), entry(7, 4, Payload::Membership(joint))],
        vec![entry(8, 4, Payload::Command(b"replaced".to_vec())), command(8, 4)],
        vec![command(9, 4)],
    ]
}

fn state_after(appended: usize) -> DurableState {
    let mut durable = compacted();
    batches().into_iter().take(appended).flatten().for_each(|record| durable.apply(record));
    durable
}

#[test]
fn a_log_of_an_earlier_release_is_read() {
    let directory = directory_with_log("replica.log");
    let (mut log, opened) = LogFile::open(&directory.path).unwrap();
    assert_eq!(opened, OpenedLog { durable: state_after(4), previous_store_lost: false });
    assert_eq!(opened.durable.last_index(), 9);
    log.append(&[command(10, 4)]).unwrap();
    assert_eq!(LogFile::open(&directory.path).unwrap().1.durable.last_index(), 10);
}

#[test]
fn a_log_is_written_as_the_earlier_release_wrote_it() {
    let directory = DataDirectory::new("written");
    let (mut log, _) = LogFile::open(&directory.path).unwrap();
    log.rewrite(&compacted()).unwrap();
    batches().iter().for_each(|batch| log.append(batch).unwrap());
    assert_eq!(fs::read(directory.log()).unwrap(), fixture("replica.log"));
}

#[test_case("torn-tail.log"; "its last bytes are missing")]
#[test_case("damaged-tail.log"; "a bit of its last batch is flipped")]
fn a_log_that_is_damaged_at_its_tail_ends_before_the_last_batch(name: &str) {
    let directory = directory_with_log(name);
    let (log, opened) = LogFile::open(&directory.path).unwrap();
    assert_eq!(opened, OpenedLog { durable: state_after(3), previous_store_lost: false });
    let intact = log.length() as usize;
    assert_eq!(fs::read(directory.log()).unwrap(), fixture("replica.log")[..intact]);
}

#[test]
fn a_log_that_is_damaged_before_its_tail_is_a_lost_store() {
    let directory = directory_with_log("damaged.log");
    let (_, opened) = LogFile::open(&directory.path).unwrap();
    assert_eq!(opened, OpenedLog { durable: DurableState::default(), previous_store_lost: true });
    assert_eq!(fs::read(directory.path.join(DAMAGED_FILE)).unwrap(), fixture("damaged.log"));
}

/// One datagram of each kind.
fn datagrams() -> Vec<Datagram> {
    let record = |number: u64| {
        let incarnation = Incarnation::from_bits(number << 20 | 7);
        (number as NodeId, NodeRecord { incarnation, state: NodeState::ALL[number as usize % 5] })
    };
    let records: Vec<_> = (1..6).map(record).collect();
    let bodies = [
        Body::Probe(records.clone()),
        Body::Ack { subject: 9, records: records.clone() },
        Body::IndirectProbe { target: 1_023, records: records.clone() },
        Body::BlockDigests((0..6).map(|number| number * 0x03_0201).collect()),
        Body::Repair(records),
    ];
    let status =
        NodeStatus { node_list_version: 77, configuration_revision: 1 << 30, draining: true, pressure: 3 };
    let datagram = |body| Datagram {
        from: 5,
        to: 1_000,
        incarnation: Incarnation::started_at(1_700_000_000),
        joined: true,
        sequence: u32::MAX - 1,
        digest: u64::MAX / 3,
        status,
        body,
    };
    bodies.into_iter().map(datagram).collect()
}

#[test]
fn datagrams_of_an_earlier_release_are_read_and_written_alike() {
    let key = FleetKey::derive("fleet-a");
    let hex = String::from_utf8(fixture("datagrams.hex")).unwrap();
    let byte = |digits: &[u8]| u8::from_str_radix(std::str::from_utf8(digits).unwrap(), 16).unwrap();
    let stored: Vec<Vec<u8>> =
        hex.lines().map(|line| line.as_bytes().chunks(2).map(byte).collect()).collect();
    let datagrams = datagrams();
    assert_eq!(stored.len(), datagrams.len());
    for (bytes, datagram) in stored.iter().zip(datagrams) {
        assert_eq!(Datagram::decode(bytes, &key), Ok(datagram.clone()));
        assert_eq!(datagram.encode(&key), *bytes);
    }
}
