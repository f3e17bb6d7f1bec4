use super::*;
use crate::agree::Command;
use crate::agree::archive::Verification;
use crate::agree::document::{DocumentChange, Edit, Value};
use crate::rehearsal::disk::Disk as MemoryDisk;
use std::collections::BTreeMap;

fn entry(i: u64) -> Entry {
    let changes = BTreeMap::from([("x".to_string(), Some(Value::Plain(format!("{i}"))))]);
    let parts = BTreeMap::from([("d".to_string(), DocumentChange { base: 0, changes })]);
    let edit = Edit { id: i, parts, who: "ops".into(), why: "a test".into(), at_ms: i };
    Entry { term: 1, command: Command::Edit(edit) }
}

fn state(to: u64) -> Box<DocumentState> {
    let mut state = DocumentState::default();
    (1..=to).for_each(|i| state.apply(&entry(i)));
    Box::new(state)
}

fn new_database() -> MemoryDisk {
    let memory = MemoryDisk::default();
    let database = redb::Builder::new().create_with_backend(memory.clone()).unwrap();
    VoterDatabase::begin(&database, 77).unwrap();
    drop(database);
    memory
}

fn found(disk: &VoterDatabase) -> Verification {
    disk.verify(DigestChain::default()).unwrap().finish()
}

/// Batches as a voter writes them: votes, entries, truncations, its own snapshots and a leader's snapshot.
fn batches() -> Vec<Vec<PersistentChange>> {
    vec![
        vec![PersistentChange::Vote { term: 3, voted: Some(9) }, PersistentChange::PeerIncarnation(9, 4)],
        (1..=4).map(|i| PersistentChange::Append(i, entry(i))).collect(),
        vec![
            PersistentChange::Truncate(2),
            PersistentChange::Append(3, entry(3)),
            PersistentChange::Barrier(3),
        ],
        vec![PersistentChange::Snapshot { state: state(2), term: 1, replaces_after: None }],
        vec![
            PersistentChange::Append(3, entry(3)),
            PersistentChange::Append(4, entry(4)),
            PersistentChange::Vote { term: 4, voted: None },
        ],
        vec![
            PersistentChange::Snapshot { state: state(9), term: 2, replaces_after: Some(3) },
            PersistentChange::Barrier(9),
        ],
        vec![PersistentChange::Append(10, entry(10))],
    ]
}

/// Whether the loaded state equals the one kept in memory, which may also have entries from before the snapshot.
fn is_same_state(loaded: &PersistentState, kept: &PersistentState) -> bool {
    let before_base = (loaded.log.base().index - kept.log.base().index) as usize;
    let rest = kept.log.entries().get(before_base..).unwrap_or_default();
    (loaded.term, loaded.voted, loaded.barrier, &loaded.peer_incarnations)
        == (kept.term, kept.voted, kept.barrier, &kept.peer_incarnations)
        && loaded.state == kept.state
        && loaded.log.entries() == rest
}

#[test]
fn a_crash_at_any_byte_leaves_a_batch_complete_or_absent() {
    let batches = batches();
    let mut states = vec![PersistentState::default()];
    for batch in &batches {
        let mut next = states[states.len() - 1].clone();
        batch.iter().for_each(|save| next.apply(save));
        states.push(next);
    }
    let written = |left: usize| -> (MemoryDisk, usize, usize) {
        let memory = new_database();
        let (mut disk, _) = VoterDatabase::on(memory.clone()).unwrap();
        memory.image().left = Some(left);
        let done = batches.iter().take_while(|batch| disk.save(batch).is_ok()).count();
        let used = left - memory.image().left.unwrap();
        (memory, done, used)
    };
    let (_, done, total_bytes) = written(usize::MAX);
    assert_eq!(done, batches.len());
    let (mut before, mut after) = (0, 0);
    for left in (0..total_bytes).step_by(total_bytes / 100) {
        let (memory, done, _) = written(left);
        let images = {
            let image = memory.image();
            [image.bytes.clone(), image.synced.clone()]
        };
        for bytes in images {
            let (disk, loaded) =
                VoterDatabase::on(MemoryDisk::of(bytes)).unwrap_or_else(|error| panic!("{left}: {error}"));
            // Acknowledged batches are on disk; the batch that was being written is there completely or not at all.
            let found_state =
                (done..=(done + 1).min(batches.len())).find(|state| is_same_state(&loaded, &states[*state]));
            assert!(
                found_state.is_some(),
                "crashed after {left} of {total_bytes} bytes, {done} batches done: {loaded:?}"
            );
            if found_state == Some(done) {
                before += 1
            } else {
                after += 1
            }
            assert_eq!(found(&disk).corrupt, None, "{left}");
        }
    }
    assert!(before > 0 && before + after > 190, "{before} {after}");
}

#[test]
fn a_full_disk_is_an_error_and_loses_no_saved_change() {
    let memory = new_database();
    let (mut disk, _) = VoterDatabase::on(memory.clone()).unwrap();
    disk.save(&[PersistentChange::Append(1, entry(1)), PersistentChange::Vote { term: 2, voted: Some(1) }])
        .unwrap();
    memory.image().full = true;
    let snapshot = PersistentChange::Snapshot { state: state(1), term: 1, replaces_after: None };
    assert!(disk.save(&[snapshot]).is_err());
    drop(disk);
    memory.image().full = false;
    let (disk, saved) = VoterDatabase::on(memory).unwrap();
    assert_eq!((saved.term, saved.voted, saved.log.len(), saved.incarnation >> 32), (2, Some(1), 1, 2));
    assert_eq!(found(&disk), Verification { entries: 1, last: 1, ..Verification::default() });
}

#[test]
fn verification_finds_changed_entries_and_lists_gaps() {
    let memory = new_database();
    let (mut disk, _) = VoterDatabase::on(memory.clone()).unwrap();
    batches().iter().for_each(|batch| disk.save(batch).unwrap());
    assert_eq!(found(&disk), Verification { entries: 4, last: 10, gaps: vec![(4, 9)], corrupt: None });
    drop(disk);
    let database = redb::Builder::new().create_with_backend(memory.clone()).unwrap();
    let write = database.begin_write().unwrap();
    {
        let mut log = write.open_table(LOG).unwrap();
        let value = log.get(2).unwrap().unwrap().value().to_vec();
        let forged = String::from_utf8_lossy(&value[32..]).replace("a test", "a lie!");
        let value = [&value[..32], forged.as_bytes()].concat();
        log.insert(2, value.as_slice()).unwrap();
    }
    write.commit().unwrap();
    drop(database);
    let (disk, _) = VoterDatabase::on(memory).unwrap();
    assert_eq!(found(&disk).corrupt, Some(2));
}

/// A database of twenty entries that the snapshot includes and two later ones, with an empty archive.
fn twenty_two_entries(name: &str) -> (MemoryDisk, VoterDatabase, Archive, PathBuf) {
    let (memory, folder) =
        (new_database(), std::env::temp_dir().join(format!("pathbank-{name}-{}", std::process::id())));
    let _ = std::fs::remove_dir_all(&folder);
    let (mut disk, _) = VoterDatabase::on(memory.clone()).unwrap();
    let entries: Vec<PersistentChange> = (1..=20).map(|i| PersistentChange::Append(i, entry(i))).collect();
    disk.save(&entries).unwrap();
    disk.save(&[PersistentChange::Snapshot { state: state(20), term: 1, replaces_after: None }]).unwrap();
    disk.save(&[PersistentChange::Append(21, entry(21)), PersistentChange::Append(22, entry(22))]).unwrap();
    (memory, disk, Archive::beside(&folder), folder)
}

/// The verification of archive and log, and the indexes of all their records.
fn verify_and_read(disk: &VoterDatabase, archive: &Archive) -> (Verification, Vec<Index>) {
    let mut chain = DigestChain::default();
    archive.follow(&mut chain).unwrap();
    let (mut all, mut at) = (Vec::new(), 0);
    loop {
        let old = archive.records(at, 3).unwrap();
        let records = if old.is_empty() { disk.records(at, 3).unwrap() } else { old };
        let Some(last) = records.last() else { break };
        at = last.index;
        for record in records {
            let Command::Edit(edit) = &record.entry.command else { panic!("{record:?}") };
            assert_eq!(edit.id, record.index);
            all.push(record.index);
        }
    }
    (disk.verify(chain).unwrap().finish(), all)
}

const INTACT: Verification = Verification { entries: 22, last: 22, gaps: Vec::new(), corrupt: None };

#[test]
fn archiving_loses_no_entry_wherever_the_machine_crashes() {
    let range = |from, to| Some(EntryRange { from, to });
    let (memory, mut disk, archive, folder) = twenty_two_entries("archive");
    assert_eq!(disk.archive(&archive, None).unwrap(), None);
    for due in [range(1, 6), range(7, 12), None] {
        assert_eq!(disk.archive(&archive, Some(6)).unwrap(), due);
        assert_eq!(verify_and_read(&disk, &archive), (INTACT, (1..=22).collect()), "{due:?}");
    }
    drop(disk);
    let (mut disk, saved) = VoterDatabase::on(memory).unwrap();
    assert_eq!((saved.log.base().index, saved.log.len()), (20, 2));
    disk.save(&[PersistentChange::Append(23, entry(23))]).unwrap();
    assert_eq!(verify_and_read(&disk, &archive).0, Verification { entries: 23, last: 23, ..INTACT });
    std::fs::remove_dir_all(&folder).unwrap();
    let mut crashed_and_done = (0, 0);
    for left in (0..).step_by(997) {
        let (memory, mut disk, archive, folder) = twenty_two_entries(&format!("archive-{left}"));
        memory.image().left = Some(left);
        let done = disk.archive(&archive, Some(6)).is_ok();
        let images = {
            let image = memory.image();
            [image.bytes.clone(), image.synced.clone()]
        };
        for bytes in images {
            let (mut disk, _) =
                VoterDatabase::on(MemoryDisk::of(bytes)).unwrap_or_else(|e| panic!("{left}: {e}"));
            assert_eq!(verify_and_read(&disk, &archive), (INTACT, (1..=22).collect()), "{left}");
            // Archiving continues where it stopped.
            while disk.archive(&archive, Some(6)).unwrap().is_some() {}
            assert_eq!(verify_and_read(&disk, &archive), (INTACT, (1..=22).collect()), "{left}");
            assert_eq!(archive.segments().unwrap().len(), 2, "{left}");
        }
        std::fs::remove_dir_all(&folder).unwrap();
        crashed_and_done =
            if done { (crashed_and_done.0, crashed_and_done.1 + 1) } else { (crashed_and_done.0 + 1, 0) };
        if done {
            break;
        }
    }
    assert!(crashed_and_done.0 > 3 && crashed_and_done.1 == 1, "{crashed_and_done:?}");
}

#[test]
fn verification_finds_archives_that_were_changed_truncated_or_moved_away() {
    let (_memory, mut disk, archive, folder) = twenty_two_entries("changed");
    while disk.archive(&archive, Some(6)).unwrap().is_some() {}
    let at = |range: EntryRange| folder.join("archive").join(range.name());
    let ranges = archive.segments().unwrap();
    let texts: Vec<String> =
        ranges.iter().map(|range| std::fs::read_to_string(at(*range)).unwrap()).collect();
    let gap = |entries, gap| Verification { entries, gaps: vec![gap], ..INTACT };
    let corrupt =
        |entries, gaps, index| Verification { entries, last: index - 1, gaps, corrupt: Some(index) };
    let lines = |text: &str, count: usize| {
        text.lines().take(count).map(|line| format!("{line}\n")).collect::<String>()
    };
    let forged = texts[0].replacen("a test", "a lie!", 3).replacen("a lie!", "a test", 2);
    // The changed segment, the text in its place (`None`: it was moved away), and the expected result.
    for (segment, text, due) in [
        (0, None, gap(16, (1, 6))),
        (1, None, gap(16, (7, 12))),
        (0, Some(forged), corrupt(2, vec![], 3)),
        (1, Some(lines(&texts[1], 4)), corrupt(9, vec![], 10)),
        (1, Some(lines(&texts[1], 4) + "{\"index\":"), corrupt(9, vec![], 10)),
        (1, Some(String::new()), corrupt(6, vec![], 7)),
        (1, Some(texts[0].clone()), corrupt(6, vec![], 7)),
    ] {
        match &text {
            Some(text) => std::fs::write(at(ranges[segment]), text).unwrap(),
            None => std::fs::remove_file(at(ranges[segment])).unwrap(),
        }
        let mut chain = DigestChain::default();
        archive.follow(&mut chain).unwrap();
        assert_eq!(disk.verify(chain).unwrap().finish(), due, "{text:?}");
        std::fs::write(at(ranges[segment]), &texts[segment]).unwrap();
    }
    assert_eq!(verify_and_read(&disk, &archive).0, INTACT);
    // With a file in the archive folder's place, archiving fails and the log keeps its entries.
    std::fs::remove_dir_all(folder.join("archive")).unwrap();
    std::fs::write(folder.join("archive"), "").unwrap();
    assert!(matches!(disk.archive(&archive, Some(2)), Err(DatabaseError::Io(_))));
    assert_eq!(found(&disk), gap(10, (1, 12)));
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn files_that_are_not_a_voters_database_are_rejected() {
    let folder = std::env::temp_dir().join(format!("pathbank-disk-{}", std::process::id()));
    let open = || VoterDatabase::open(&folder, 1 << 30);
    assert!(matches!(open(), Err(DatabaseError::Absent(_))));
    VoterDatabase::create(&folder, 5).unwrap();
    assert!(matches!(VoterDatabase::create(&folder, 6), Err(DatabaseError::Exists(_))));
    let (disk, saved) = open().unwrap();
    assert_eq!((disk.id(), saved.incarnation >> 32), (5, 1));
    assert!(matches!(open(), Err(DatabaseError::Foreign { .. })), "another process has the file open");
    drop(disk);
    assert_eq!(open().unwrap().1.incarnation >> 32, 2);
    let total_bytes = std::fs::read(path(&folder)).unwrap();
    let of = |bytes: &[u8]| {
        std::fs::write(path(&folder), bytes).unwrap();
        open().map(|(disk, _)| disk.id())
    };
    for (what, bytes) in [
        ("empty", &b""[..]),
        ("a text", b"not a database"),
        ("truncated", &total_bytes[..total_bytes.len() / 3]),
        ("zeroes", &[0; 9000]),
    ] {
        assert!(of(bytes).is_err(), "{what}");
    }
    // A database of another program, and one with a later schema.
    for (key, value) in [("other", "1"), ("schema", "9")] {
        std::fs::remove_file(path(&folder)).unwrap();
        let database = Database::create(path(&folder)).unwrap();
        let write = database.begin_write().unwrap();
        put(&mut write.open_table(META).unwrap(), key, &serde_json::from_str::<u64>(value).unwrap()).unwrap();
        write.commit().unwrap();
        drop(database);
        assert!(matches!(open(), Err(DatabaseError::Foreign { .. } | DatabaseError::Schema(9))), "{key}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
