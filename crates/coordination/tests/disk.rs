//! The file of records: what a loss of power, a torn write or a refused one leaves.

use pathbank_coordination::batch::{TailState, UnreadableLog, decode, encode};
use pathbank_coordination::fencing::FencingGuard;
use pathbank_coordination::record::{DurableState, Record};
use pathbank_coordination::store::{DAMAGED_FILE, LogFile, OpenedLog};
use pathbank_coordination::types::{Entry, Membership, Payload, Snapshot, StoreId};
use std::fs;
use std::path::PathBuf;
use test_case::test_case;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("pathbank-log-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Folder(path)
    }

    fn log(&self) -> PathBuf {
        self.0.join("replica.log")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, term: u64) -> Record {
    Record::Entry(Entry { index, term, payload: Payload::Command(vec![index as u8; 20]) })
}

fn identity() -> Record {
    Record::Identity { id: StoreId(5), initial: Membership::default() }
}

#[test]
fn what_was_saved_is_read_back() {
    let folder = Folder::new("saved");
    let (mut log, empty) = LogFile::open(&folder.0).unwrap();
    assert_eq!(empty, OpenedLog::default());
    log.append(&[identity(), Record::Vote { term: 3, voted_for: Some(StoreId(5)) }]).unwrap();
    log.append(&[entry(1, 3), entry(2, 3), entry(2, 4)]).unwrap();
    drop(log);
    let durable = LogFile::open(&folder.0).unwrap().1.durable;
    assert_eq!(
        (durable.id, durable.term, durable.last_index(), durable.position().term),
        (Some(StoreId(5)), 3, 2, 4)
    );
}

#[test_case(1; "one byte less")]
#[test_case(9; "a part of the body less")]
#[test_case(30; "most of the record less")]
fn a_torn_last_record_is_cut_off_and_what_follows_is_found(torn: u64) {
    let folder = Folder::new(&format!("torn{torn}"));
    let (mut log, _) = LogFile::open(&folder.0).unwrap();
    log.append(&[identity(), entry(1, 1)]).unwrap();
    log.append(&[entry(2, 1)]).unwrap();
    let length = log.length();
    drop(log);
    fs::OpenOptions::new().write(true).open(folder.log()).unwrap().set_len(length - torn).unwrap();
    let (mut log, OpenedLog { durable, previous_store_lost }) = LogFile::open(&folder.0).unwrap();
    assert!(!previous_store_lost, "a torn end is no damage");
    assert_eq!(durable.last_index(), 1);
    log.append(&[entry(2, 2)]).unwrap();
    drop(log);
    let durable = LogFile::open(&folder.0).unwrap().1.durable;
    assert_eq!((durable.last_index(), durable.position().term), (2, 2));
}

/// A file of ten saved batches: the identity, and an entry in each other one.
fn ten_batches(folder: &Folder) -> Vec<u8> {
    let (mut log, _) = LogFile::open(&folder.0).unwrap();
    log.append(&[identity()]).unwrap();
    (1..10).for_each(|index| log.append(&[entry(index, 1)]).unwrap());
    fs::read(folder.log()).unwrap()
}

#[test]
fn any_flipped_bit_before_the_last_batch_is_a_lost_disk_and_never_a_shorter_log() {
    let folder = Folder::new("flipped");
    let whole = ten_batches(&folder);
    let last = whole.len() - encode(10, &[entry(9, 1)]).len();
    for at in 0..last {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << (at % 8);
        fs::write(folder.log(), &bytes).unwrap();
        let _ = fs::remove_file(folder.0.join(DAMAGED_FILE));
        let (_, opened) = LogFile::open(&folder.0).unwrap();
        assert_eq!(
            opened,
            OpenedLog { durable: DurableState::default(), previous_store_lost: true },
            "byte {at}"
        );
        assert_eq!(fs::read(folder.0.join(DAMAGED_FILE)).unwrap(), bytes, "the file is kept aside");
    }
}

#[test]
fn a_damaged_last_batch_is_taken_for_torn() {
    let folder = Folder::new("last");
    let mut bytes = ten_batches(&folder);
    let at = bytes.len() - 3;
    bytes[at] ^= 1;
    fs::write(folder.log(), &bytes).unwrap();
    let (_, opened) = LogFile::open(&folder.0).unwrap();
    assert_eq!((opened.durable.last_index(), opened.previous_store_lost), (8, false));
}

#[test]
fn a_hole_of_zeros_in_the_middle_is_a_lost_disk() {
    let folder = Folder::new("hole");
    let mut bytes = ten_batches(&folder);
    bytes[60..190].fill(0);
    fs::write(folder.log(), &bytes).unwrap();
    assert!(LogFile::open(&folder.0).unwrap().1.previous_store_lost);
}

#[test]
fn a_batch_of_which_a_part_in_the_middle_never_came_is_cut_off_whole() {
    let folder = Folder::new("part");
    let (mut log, _) = LogFile::open(&folder.0).unwrap();
    log.append(&[identity()]).unwrap();
    let saved = log.length() as usize;
    log.append(&(1..50).map(|index| entry(index, 1)).collect::<Vec<_>>()).unwrap();
    drop(log);
    let mut bytes = fs::read(folder.log()).unwrap();
    bytes[saved + 200..saved + 400].fill(0);
    fs::write(folder.log(), &bytes).unwrap();
    let (_, opened) = LogFile::open(&folder.0).unwrap();
    assert_eq!((opened.durable.id, opened.durable.last_index()), (Some(StoreId(5)), 0));
    assert!(!opened.previous_store_lost);
}

#[test]
fn a_store_that_began_anew_after_damage_remembers_that_another_was_there_before() {
    let folder = Folder::new("anew");
    let mut bytes = ten_batches(&folder);
    bytes[40] ^= 4;
    fs::write(folder.log(), &bytes).unwrap();
    let (mut log, opened) = LogFile::open(&folder.0).unwrap();
    assert!(opened.previous_store_lost);
    drop(LogFile::open(&folder.0).unwrap());
    log.append(&[Record::Identity { id: StoreId(9), initial: Membership::default() }]).unwrap();
    let (_, opened) = LogFile::open(&folder.0).unwrap();
    assert_eq!((opened.durable.id, opened.previous_store_lost), (Some(StoreId(9)), true));
}

#[test]
fn a_file_of_a_newer_program_is_an_error_and_stays_as_it_is() {
    let folder = Folder::new("newer");
    let mut bytes = ten_batches(&folder);
    bytes[4] = 3;
    let checksum = crc32fast::hash(&bytes[..24]);
    bytes[24..28].copy_from_slice(&checksum.to_le_bytes());
    fs::write(folder.log(), &bytes).unwrap();
    let error = LogFile::open(&folder.0).unwrap_err().to_string();
    assert!(error.contains("format 3"), "{error}");
    assert_eq!(fs::read(folder.log()).unwrap(), bytes);
    assert_eq!(decode(&bytes), Err(UnreadableLog::UnknownFormat(3)));
}

/// A record as the first format had it: length, checksum, body.
fn first_format(record: &Record) -> Vec<u8> {
    let body = postcard::to_allocvec(record).unwrap();
    let checksum = crc32fast::hash(&body) ^ 0x5eed_1e55;
    [(body.len() as u32).to_le_bytes().to_vec(), checksum.to_le_bytes().to_vec(), body].concat()
}

#[test]
fn a_file_of_the_first_format_is_read_and_written_anew() {
    let folder = Folder::new("first");
    fs::create_dir_all(&folder.0).unwrap();
    let bytes: Vec<u8> = [identity(), entry(1, 1), entry(2, 1)].iter().flat_map(first_format).collect();
    fs::write(folder.log(), bytes).unwrap();
    let (mut log, opened) = LogFile::open(&folder.0).unwrap();
    assert_eq!((opened.durable.id, opened.durable.last_index()), (Some(StoreId(5)), 2));
    log.append(&[entry(3, 1)]).unwrap();
    let contents = decode(&fs::read(folder.log()).unwrap()).unwrap();
    assert_eq!((contents.tail, contents.is_legacy_format), (TailState::Complete, false));
    assert_eq!(LogFile::open(&folder.0).unwrap().1.durable.last_index(), 3);
}

#[test]
fn a_rewritten_file_holds_the_state_and_takes_more() {
    let folder = Folder::new("rewrite");
    let (mut log, OpenedLog { mut durable, .. }) = LogFile::open(&folder.0).unwrap();
    let mut save = |log: &mut LogFile, records: Vec<Record>| {
        log.append(&records).unwrap();
        records.into_iter().for_each(|record| durable.apply(record));
        durable.clone()
    };
    save(&mut log, vec![identity()]);
    let all = save(&mut log, (1..200).map(|index| entry(index, 1)).collect());
    let long = log.length();
    let snapshot = Snapshot { index: 150, term: 1, data: vec![1; 10], ..Snapshot::default() };
    let mut compacted = all.clone();
    compacted.apply(Record::Snapshot { snapshot, keep_tail: true });
    log.rewrite(&compacted).unwrap();
    assert!(log.length() < long);
    log.append(&[entry(200, 1)]).unwrap();
    drop(log);
    let read = LogFile::open(&folder.0).unwrap().1.durable;
    assert_eq!((read.snapshot.index, read.last_index()), (150, 200));
}

#[test]
fn a_new_file_that_was_never_renamed_changes_nothing() {
    let folder = Folder::new("unrenamed");
    let (mut log, _) = LogFile::open(&folder.0).unwrap();
    log.append(&[identity(), entry(1, 1)]).unwrap();
    fs::write(folder.0.join("replica.log.new"), b"half a file").unwrap();
    drop(log);
    assert_eq!(LogFile::open(&folder.0).unwrap().1.durable.last_index(), 1);
}

#[test]
fn entries_replace_those_behind_them() {
    let mut durable = DurableState::default();
    (1..6).for_each(|index| durable.apply(entry(index, 1)));
    durable.apply(entry(3, 2));
    assert_eq!((durable.last_index(), durable.position().term), (3, 2));
    durable.apply(entry(9, 2));
    assert_eq!(durable.last_index(), 3, "never with a gap");
}

#[test]
fn a_leader_acts_within_its_lease_with_its_term_as_token() {
    let mut fence = FencingGuard::default();
    fence.record_leader("a");
    assert_eq!(fence.permit("a", 4, 900, 3_000, 1_000), None, "the lease is over");
    let permit = fence.permit("a", 4, 1_500, 3_000, 1_000).unwrap();
    assert_eq!((permit.fencing_token, permit.valid_until), (4, 1_500));
}

#[test]
fn a_leader_that_comes_back_waits_until_turns_are_apart() {
    let mut fence = FencingGuard::default();
    ["a", "b", "a"].iter().for_each(|name| fence.record_leader(name));
    assert_eq!(fence.permit("a", 7, 9_000, 3_000, 1_000), None);
    assert_eq!(fence.permit("a", 7, 9_000, 3_000, 3_999), None);
    assert!(fence.permit("a", 7, 9_000, 3_000, 4_000).is_some());
}

#[test]
fn a_new_leader_acts_at_once_and_one_that_is_chosen_again_does_too() {
    let mut fence = FencingGuard::default();
    ["a", "b"].iter().for_each(|name| fence.record_leader(name));
    assert!(fence.permit("b", 2, 9_000, 3_000, 1_000).is_some());
    fence.record_leader("b");
    assert!(fence.permit("b", 3, 9_000, 3_000, 1_001).is_some(), "nobody acted in between");
}
