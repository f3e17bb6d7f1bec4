//! Recovery of the log file after a loss of power, a torn write, damage or a failed write.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::data_directory::DataDirectory;
use pathbank_coordination::batch::{TailState, UnreadableLog, decode, encode};
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::store::{DAMAGED_FILE, DIVERGED_FILE, DIVERGED_STATE_FILE, LogFile, OpenedLog};
use pathbank_coordination::types::{Entry, Membership, Payload, Snapshot, StoreId};
use std::fs;
use test_case::test_case;

fn entry(index: u64, term: u64) -> Record {
    Record::Entry(Entry { index, term, payload: Payload::Command(vec![index as u8; 20]) })
}

fn identity() -> Record {
    Record::Identity { id: StoreId(5), initial: Membership::default() }
}

#[test]
fn saved_records_are_read_back() {
    let directory = DataDirectory::new("saved");
    let (mut log, empty) = LogFile::open(&directory.path).unwrap();
    assert_eq!(empty, OpenedLog::default());
    log.append(&[identity(), Record::Vote { term: 3, voted_for: Some(StoreId(5)) }]).unwrap();
    log.append(&[entry(1, 3), entry(2, 3), entry(2, 4)]).unwrap();
    drop(log);
    let durable = LogFile::open(&directory.path).unwrap().1.durable;
    assert_eq!(
        (durable.id, durable.term, durable.last_index(), durable.position().term),
        (Some(StoreId(5)), 3, 2, 4)
    );
}

#[test_case(1; "one byte less")]
#[test_case(9; "a part of the body less")]
#[test_case(30; "most of the record less")]
fn a_torn_tail_is_truncated_and_appending_goes_on(torn: u64) {
    let directory = DataDirectory::new(&format!("torn{torn}"));
    let (mut log, _) = LogFile::open(&directory.path).unwrap();
    log.append(&[identity(), entry(1, 1)]).unwrap();
    log.append(&[entry(2, 1)]).unwrap();
    let length = log.length();
    drop(log);
    fs::OpenOptions::new().write(true).open(directory.log()).unwrap().set_len(length - torn).unwrap();
    let (mut log, OpenedLog { durable, previous_store_lost }) = LogFile::open(&directory.path).unwrap();
    assert!(!previous_store_lost, "a torn end is no damage");
    assert_eq!(durable.last_index(), 1);
    log.append(&[entry(2, 2)]).unwrap();
    drop(log);
    let durable = LogFile::open(&directory.path).unwrap().1.durable;
    assert_eq!((durable.last_index(), durable.position().term), (2, 2));
}

/// A file of ten saved batches: the first holds the identity, each of the others an entry.
fn log_of_ten_batches(directory: &DataDirectory) -> Vec<u8> {
    let (mut log, _) = LogFile::open(&directory.path).unwrap();
    log.append(&[identity()]).unwrap();
    (1..10).for_each(|index| log.append(&[entry(index, 1)]).unwrap());
    fs::read(directory.log()).unwrap()
}

#[test]
fn a_flipped_bit_before_the_last_batch_is_a_lost_store_and_never_a_shorter_log() {
    let directory = DataDirectory::new("flipped");
    let intact = log_of_ten_batches(&directory);
    let last = intact.len() - encode(10, &[entry(9, 1)]).len();
    for at in 0..last {
        let mut bytes = intact.clone();
        bytes[at] ^= 1 << (at % 8);
        fs::write(directory.log(), &bytes).unwrap();
        let _ = fs::remove_file(directory.path.join(DAMAGED_FILE));
        let (_, opened) = LogFile::open(&directory.path).unwrap();
        assert_eq!(
            opened,
            OpenedLog { durable: DurableState::default(), previous_store_lost: true },
            "byte {at}"
        );
        assert_eq!(fs::read(directory.path.join(DAMAGED_FILE)).unwrap(), bytes, "the file is set aside");
    }
}

#[test]
fn a_damaged_last_batch_counts_as_torn() {
    let directory = DataDirectory::new("last");
    let mut bytes = log_of_ten_batches(&directory);
    let at = bytes.len() - 3;
    bytes[at] ^= 1;
    fs::write(directory.log(), &bytes).unwrap();
    let (_, opened) = LogFile::open(&directory.path).unwrap();
    assert_eq!((opened.durable.last_index(), opened.previous_store_lost), (8, false));
}

#[test]
fn zeros_in_the_middle_are_a_lost_store() {
    let directory = DataDirectory::new("hole");
    let mut bytes = log_of_ten_batches(&directory);
    bytes[60..190].fill(0);
    fs::write(directory.log(), &bytes).unwrap();
    assert!(LogFile::open(&directory.path).unwrap().1.previous_store_lost);
}

#[test]
fn a_last_batch_with_missing_bytes_is_truncated_completely() {
    let directory = DataDirectory::new("part");
    let (mut log, _) = LogFile::open(&directory.path).unwrap();
    log.append(&[identity()]).unwrap();
    let saved = log.length() as usize;
    log.append(&(1..50).map(|index| entry(index, 1)).collect::<Vec<_>>()).unwrap();
    drop(log);
    let mut bytes = fs::read(directory.log()).unwrap();
    bytes[saved + 200..saved + 400].fill(0);
    fs::write(directory.log(), &bytes).unwrap();
    let (_, opened) = LogFile::open(&directory.path).unwrap();
    assert_eq!((opened.durable.id, opened.durable.last_index()), (Some(StoreId(5)), 0));
    assert!(!opened.previous_store_lost);
}

#[test]
fn a_new_store_after_damage_reports_the_lost_store() {
    let directory = DataDirectory::new("anew");
    let mut bytes = log_of_ten_batches(&directory);
    bytes[40] ^= 4;
    fs::write(directory.log(), &bytes).unwrap();
    let (mut log, opened) = LogFile::open(&directory.path).unwrap();
    assert!(opened.previous_store_lost);
    drop(LogFile::open(&directory.path).unwrap());
    log.append(&[Record::Identity { id: StoreId(9), initial: Membership::default() }]).unwrap();
    let (_, opened) = LogFile::open(&directory.path).unwrap();
    assert_eq!((opened.durable.id, opened.previous_store_lost), (Some(StoreId(9)), true));
}

#[test]
fn a_file_of_a_later_format_is_rejected_and_left_unchanged() {
    let directory = DataDirectory::new("newer");
    let mut bytes = log_of_ten_batches(&directory);
    bytes[4] = 3;
    let checksum = crc32fast::hash(&bytes[..24]);
    bytes[24..28].copy_from_slice(&checksum.to_le_bytes());
    fs::write(directory.log(), &bytes).unwrap();
    let error = LogFile::open(&directory.path).unwrap_err().to_string();
    assert!(error.contains("format 3"), "{error}");
    assert_eq!(fs::read(directory.log()).unwrap(), bytes);
    assert_eq!(decode(&bytes), Err(UnreadableLog::UnknownFormat(3)));
}

/// Encodes a record in the legacy format: length, checksum, body.
fn legacy_record(record: &Record) -> Vec<u8> {
    let body = postcard::to_allocvec(record).unwrap();
    let checksum = crc32fast::hash(&body) ^ 0x5eed_1e55;
    [(body.len() as u32).to_le_bytes().to_vec(), checksum.to_le_bytes().to_vec(), body].concat()
}

#[test]
fn a_file_of_the_legacy_format_is_read_and_rewritten() {
    let directory = DataDirectory::new("first");
    fs::create_dir_all(&directory.path).unwrap();
    let bytes: Vec<u8> = [identity(), entry(1, 1), entry(2, 1)].iter().flat_map(legacy_record).collect();
    fs::write(directory.log(), bytes).unwrap();
    let (mut log, opened) = LogFile::open(&directory.path).unwrap();
    assert_eq!((opened.durable.id, opened.durable.last_index()), (Some(StoreId(5)), 2));
    log.append(&[entry(3, 1)]).unwrap();
    let contents = decode(&fs::read(directory.log()).unwrap()).unwrap();
    assert_eq!((contents.tail, contents.is_legacy_format), (TailState::Complete, false));
    assert_eq!(LogFile::open(&directory.path).unwrap().1.durable.last_index(), 3);
}

#[test]
fn a_rewritten_file_holds_the_state_and_accepts_records() {
    let directory = DataDirectory::new("rewrite");
    let (mut log, OpenedLog { mut durable, .. }) = LogFile::open(&directory.path).unwrap();
    let mut save = |log: &mut LogFile, records: Vec<Record>| {
        log.append(&records).unwrap();
        records.into_iter().for_each(|record| durable.apply(record));
        durable.clone()
    };
    save(&mut log, vec![identity()]);
    let all = save(&mut log, (1..200).map(|index| entry(index, 1)).collect());
    let long = log.length();
    let snapshot = Snapshot { index: 150, term: 1, data: vec![1; 10], ..Snapshot::default() };
    let mut compacted = all;
    compacted.apply(Record::Snapshot { snapshot, keep_tail: true });
    log.rewrite(&compacted).unwrap();
    assert!(log.length() < long);
    log.append(&[entry(200, 1)]).unwrap();
    drop(log);
    let read = LogFile::open(&directory.path).unwrap().1.durable;
    assert_eq!((read.snapshot.index, read.last_index()), (150, 200));
}

#[test]
fn a_new_file_that_was_not_renamed_is_ignored() {
    let directory = DataDirectory::new("unrenamed");
    let (mut log, _) = LogFile::open(&directory.path).unwrap();
    log.append(&[identity(), entry(1, 1)]).unwrap();
    fs::write(directory.path.join("replica.log.new"), b"half a file").unwrap();
    drop(log);
    assert_eq!(LogFile::open(&directory.path).unwrap().1.durable.last_index(), 1);
}

#[test]
fn an_entry_replaces_those_after_it() {
    let mut durable = DurableState::default();
    (1..6).for_each(|index| durable.apply(entry(index, 1)));
    durable.apply(entry(3, 2));
    assert_eq!((durable.last_index(), durable.position().term), (3, 2));
    durable.apply(entry(9, 2));
    assert_eq!(durable.last_index(), 3, "never with a gap");
}

/// A replica whose state differs from that of its group keeps the state for engineers to examine, and starts
/// over as a new store.
#[test]
fn a_log_with_another_state_is_set_aside_and_the_directory_becomes_a_new_store() {
    let directory = DataDirectory::new("diverged");
    let (mut log, _) = LogFile::open(&directory.path).unwrap();
    log.append(&[Record::Vote { term: 3, voted_for: None }]).unwrap();
    log.set_diverged_aside(b"the first state").unwrap();
    log.set_diverged_aside(b"the state").unwrap();
    drop(log);
    assert_eq!(std::fs::read(directory.path.join(DIVERGED_STATE_FILE)).unwrap(), b"the state");
    assert!(directory.path.join(DIVERGED_FILE).exists());
    let (mut log, opened) = LogFile::open(&directory.path).unwrap();
    assert_eq!(opened, OpenedLog { durable: DurableState::default(), previous_store_lost: true });
    log.append(&[Record::Vote { term: 4, voted_for: None }]).unwrap();
    drop(log);
    let (_, opened) = LogFile::open(&directory.path).unwrap();
    assert_eq!((opened.durable.term, opened.previous_store_lost), (4, true));
}
