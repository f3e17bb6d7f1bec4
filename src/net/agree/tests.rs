//! The agreement's files and messages as the program of commit 5480d97 wrote them (`tests/fixtures`).

mod samples;

use super::archive::Archive;
use super::backup::{self, Backup};
use super::database::VoterDatabase;
use super::wire::{
    MessageEnvelope, MessageReply, ProposalOutcome, RecordsReply, RecordsRequest, StateReply, StateRequest,
    VoterStatus,
};
use crate::agree::archive::{DigestChain, EntryRange, Verification};
use crate::agree::document::{Document, Edit, Value};
use crate::agree::voter::{PersistentState, Voters};
use crate::agree::{Entry, Message};
use samples::{KEEP, VOTER, batches, entries, messages, state, voters};
use serde::{Serialize, de::DeserializeOwned};
use std::fs;
use std::path::{Path, PathBuf};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// A temporary folder of one test, removed when dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path = std::env::temp_dir().join(format!("pathbank-stored-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        TestFolder(path)
    }

    /// A folder with a copy of the stored database and archive, since opening the database changes it.
    fn of_voter(name: &str) -> TestFolder {
        let folder = TestFolder::new(name);
        let copy = |name: &str| fs::copy(fixture("agreement").join(name), folder.0.join(name)).unwrap();
        fs::create_dir_all(folder.0.join("archive")).unwrap();
        copy("agree.redb");
        copy("archive/00000000000000000001-00000000000000000004.jsonl");
        folder
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn verify(folder: &Path, disk: &VoterDatabase) -> Verification {
    let mut chain = DigestChain::default();
    Archive::beside(folder).follow(&mut chain).unwrap();
    disk.verify(chain).unwrap().finish()
}

#[test]
fn the_stored_database_and_archive_have_the_vote_the_log_and_the_state() {
    let folder = TestFolder::of_voter("database");
    let (disk, saved) = VoterDatabase::open(&folder.0, 1 << 30).unwrap();
    assert_eq!(disk.id(), VOTER);
    assert_eq!((saved.term, saved.voted, saved.barrier), (3, Some(72), 9));
    assert_eq!(saved.peer_incarnations, [(72, 5 << 32 | 77)].into());
    // The database was opened once to write the fixture; this is the second time.
    assert_eq!(saved.incarnation >> 32, 2);
    assert_eq!((&saved.state, saved.state_term), (&state(11), 2));
    assert_eq!((saved.log.base().index, saved.log.last_index()), (11, 14));
    assert_eq!(saved.log.entries(), &entries()[11..]);

    let archive = Archive::beside(&folder.0);
    assert_eq!(archive.segments().unwrap(), [EntryRange { from: 1, to: 4 }]);
    let mut records = archive.records(0, 100).unwrap();
    records.extend(disk.records(0, 100).unwrap());
    assert!(records.iter().map(|record| record.index).eq(1..=14));
    let stored: Vec<Entry> = records.into_iter().map(|record| record.entry).collect();
    assert_eq!(stored, entries());
    let intact = Verification { entries: 14, last: 14, gaps: Vec::new(), corrupt: None };
    assert_eq!(verify(&folder.0, &disk), intact);
}

#[test]
fn the_same_changes_saved_by_this_program_give_the_stored_log_state_and_segment() {
    let (stored, written) = (TestFolder::of_voter("stored"), TestFolder::new("written"));
    VoterDatabase::create(&written.0, VOTER).unwrap();
    let (mut disk, _) = VoterDatabase::open(&written.0, 1 << 30).unwrap();
    for batch in batches() {
        disk.save(&batch).unwrap();
    }
    let archive = Archive::beside(&written.0);
    assert_eq!(disk.archive(&archive, Some(KEEP)).unwrap(), Some(EntryRange { from: 1, to: 4 }));
    assert_eq!(disk.archive(&archive, Some(KEEP)).unwrap(), None);
    let segment = |folder: &TestFolder| {
        fs::read(folder.0.join("archive/00000000000000000001-00000000000000000004.jsonl")).unwrap()
    };
    assert_eq!(segment(&written), segment(&stored));
    drop(disk);
    let (ours, our_state) = VoterDatabase::open(&written.0, 1 << 30).unwrap();
    let (theirs, their_state) = VoterDatabase::open(&stored.0, 1 << 30).unwrap();
    assert_eq!(
        PersistentState { incarnation: 0, ..our_state },
        PersistentState { incarnation: 0, ..their_state }
    );
    assert_eq!(ours.records(0, 100).unwrap(), theirs.records(0, 100).unwrap());
}

#[test]
fn the_stored_state_has_its_documents_in_force_and_the_results_of_edits() {
    let folder = TestFolder::of_voter("state");
    let (_, saved) = VoterDatabase::open(&folder.0, 1 << 30).unwrap();
    let state = saved.state;
    assert_eq!((state.applied(), state.active(), state.prepared()), (11, 9, 9));
    assert_eq!((state.latest_voters(), state.voters_at()), (Some(&voters()), 9));
    let value = |document: &str, field: &str| state.document(document)?.fields.get(field).cloned();
    assert_eq!(value("plan/gold", "limit"), Some(Value::Limit { rate: 120.5, least: 20.0 }));
    assert_eq!(value("class/read", "attempts"), Some(Value::Attempts(3)));
    assert_eq!(value("nodes", "n7"), Some(Value::Node(false)));
    assert_eq!(state.result(1), Some(&Ok(2)));
    assert!(matches!(state.result(5), Some(Err(_))), "the edit's base was an old version");
    assert_eq!(state.result(6), None, "the edit follows the snapshot");
    let versions: Vec<(&str, u64)> =
        state.documents().map(|(name, Document { version, .. })| (name, *version)).collect();
    assert_eq!(versions, [("class/read", 2), ("nodes", 1), ("plan/gold", 1)]);
}

#[test]
fn a_stored_backup_is_restored_and_written_again_as_the_same_bytes() {
    let (folder, stored) = (TestFolder::new("backup"), fixture("agreement-backup.jsonl"));
    let backup = Backup::read(&stored).unwrap();
    assert_eq!(backup.cluster, "few");
    let directory = folder.0.join("restored");
    assert_eq!(backup.restore(&directory, 5, "127.0.0.1:7000").unwrap(), 15);
    let (disk, saved) = VoterDatabase::open(&directory, 1 << 30).unwrap();
    assert_eq!(saved.state, state(14));
    assert_eq!(verify(&directory, &disk).corrupt, None);
    let records: Vec<_> = disk.records(0, 14).unwrap();
    let written = folder.0.join("again");
    backup::write(&written, "few", state(14), &records).unwrap();
    assert_eq!(fs::read(&written).unwrap(), fs::read(&stored).unwrap());
}

fn read_and_write<T: Serialize + DeserializeOwned>(json: &str) -> String {
    serde_json::to_string(&serde_json::from_str::<T>(json).unwrap()).unwrap()
}

/// This program writes the stored bytes for the same values, and parses the stored bytes into values that it writes as
/// the same bytes.
#[test]
fn messages_of_the_protocol_have_the_stored_bytes() {
    let stored = fs::read_to_string(fixture("agreement-messages.tsv")).unwrap();
    let written: String = messages().into_iter().map(|(kind, json)| format!("{kind}\t{json}\n")).collect();
    assert_eq!(written, stored);
    for line in stored.lines() {
        let (kind, json) = line.split_once('\t').unwrap();
        let again = match kind {
            "message" => read_and_write::<Message>(json),
            "said" => read_and_write::<MessageEnvelope>(json),
            "heard" => read_and_write::<MessageReply>(json),
            "edit" => read_and_write::<Edit>(json),
            "voters" => read_and_write::<Voters>(json),
            "proposed" => read_and_write::<ProposalOutcome>(json),
            "status" => read_and_write::<VoterStatus>(json),
            "ledger asked" => read_and_write::<StateRequest>(json),
            "ledger" => read_and_write::<StateReply>(json),
            "records asked" => read_and_write::<RecordsRequest>(json),
            "records" => read_and_write::<RecordsReply>(json),
            "verified" => read_and_write::<Verification>(json),
            other => panic!("unknown kind of message: {other}"),
        };
        assert_eq!(again, json, "{kind}");
    }
}
