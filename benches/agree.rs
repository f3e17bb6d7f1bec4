//! What agreement costs on disk: so many revisions (1,000,000 by default; `AGREE_REVISIONS`), their size, a
//! start on them, a check of them all; and documents: 10,000 made and changed by one edit each.
//!
//! `cargo bench --bench agree`

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::agree::archive::DigestChain;
use pathbank::agree::document::{DocumentChange, Edit, Value};
use pathbank::agree::document_state::DocumentState;
use pathbank::agree::voter::{PersistentChange, Voter, Voters};
use pathbank::agree::{Command, Entry, Timings};
use pathbank::net::agree::archive::Archive;
use pathbank::net::agree::database::{VoterDatabase, path};
use std::collections::BTreeMap;
use std::time::Instant;

const BATCH: u64 = 1_000;

fn edit(id: u64, base: u64) -> Entry {
    let value = Value::Limit { rate: 10.0 + (id % 90) as f64, least: 1.0 };
    let part = DocumentChange { base, changes: BTreeMap::from([("limit".to_string(), Some(value))]) };
    let parts = BTreeMap::from([(format!("plan/p{}", id % 100), part)]);
    let edit = Edit {
        id,
        parts,
        who: "operator".into(),
        why: "a change of a limit".into(),
        at_ms: 1_700_000_000_000 + id,
    };
    Entry { term: 1, command: Command::Edit(edit) }
}

fn told<T>(what: &str, act: impl FnOnce() -> T) -> T {
    let begun = Instant::now();
    let done = act();
    println!("{what}: {:.3} s", begun.elapsed().as_secs_f64());
    done
}

fn main() {
    let revisions: u64 =
        std::env::var("AGREE_REVISIONS").ok().and_then(|text| text.parse().ok()).unwrap_or(1_000_000);
    let folder = std::env::temp_dir().join(format!("pathbank-bench-agree-{}", std::process::id()));
    VoterDatabase::create(&folder, 1).expect("a new disk");
    let (mut disk, saved) = VoterDatabase::open(&folder, 1 << 40).expect("it opens");
    let voters = Voters::from([(1, String::new())]);
    let mut voter = Voter::new(1, &voters, Timings::default(), saved, 0, 0);
    let out = voter.tick(2_000_000, 0);
    disk.save(&out.save).expect("it is saved");
    let mut saves: Vec<PersistentChange> = Vec::new();
    told(
        &format!("{revisions} revisions by one voter, {BATCH} at once, each with what brings it into force"),
        || {
            // Past the leases that it may have given in an earlier start: each edit is in force as soon as it
            // counts.
            let now = 200_000_000;
            for id in 0..revisions {
                let Entry { command: Command::Edit(edit), .. } = edit(id, id / 100) else { unreachable!() };
                let out = voter.propose(now, edit).expect("it leads");
                saves.extend(out.save);
                if id % BATCH == BATCH - 1 {
                    disk.save(&std::mem::take(&mut saves)).expect("they are saved");
                }
            }
            disk.save(&saves).expect("the rest is saved");
        },
    );
    println!(
        "documents {}, entries {}, in force up to {}",
        voter.state().documents().count(),
        voter.last_index(),
        voter.state().active()
    );
    println!("held in memory: {} entries", voter.saved().log.len());
    drop(disk);
    let bytes = std::fs::metadata(path(&folder)).expect("it is there").len();
    println!("on disk: {bytes} bytes, {} a revision", bytes / revisions.max(1));
    let (disk, saved) = told("a start on it", || VoterDatabase::open(&folder, 1 << 40).expect("it opens"));
    println!("entries read at the start: {}", saved.log.len());
    let found =
        told("a check of every digest", || disk.verify(DigestChain::default()).expect("it is read").finish());
    println!("{found:?}");
    let (mut disk, archive, keep) = (disk, Archive::beside(&folder), 100_000);
    let mut longest = 0.0_f64;
    told(&format!("all but the last {keep} entries to the archive"), || {
        loop {
            let begun = Instant::now();
            if disk.archive(&archive, Some(keep)).expect("they leave").is_none() {
                return;
            }
            longest = longest.max(begun.elapsed().as_secs_f64());
        }
    });
    println!("the longest segment: {longest:.3} s");
    let found = told("a check of both", || {
        let mut chain = DigestChain::default();
        archive.follow(&mut chain).expect("it is read");
        disk.verify(chain).expect("it is read").finish()
    });
    println!("{found:?}");
    drop(disk);
    std::fs::remove_dir_all(&folder).expect("it goes");

    let all = |base: u64, text: &str| {
        let change = || BTreeMap::from([("weight".to_string(), Some(Value::Plain(text.to_string())))]);
        let parts =
            (0..10_000).map(|i| (format!("plan/p{i}"), DocumentChange { base, changes: change() })).collect();
        let edit = Edit { id: base, parts, who: "operator".into(), why: "all".into(), at_ms: 0 };
        Entry { term: 1, command: Command::Edit(edit) }
    };
    let (mut state, made, changed) = (DocumentState::default(), all(0, "1"), all(1, "2"));
    state.apply(&made);
    state.apply(&Entry { term: 1, command: Command::ActivateUpTo(1) });
    println!(
        "one edit of 10,000 documents: {} bytes",
        serde_json::to_vec(&changed).expect("it is written").len()
    );
    told("read by a head", || state.apply(&changed));
    told("brought into force", || state.apply(&Entry { term: 1, command: Command::ActivateUpTo(3) }));
    let whole = told("written as a snapshot", || serde_json::to_vec(&state).expect("it is written"));
    println!("snapshot: {} bytes", whole.len());
    let same =
        told("read as a snapshot", || serde_json::from_slice::<DocumentState>(&whole).expect("it is read"));
    assert!(same == state && state.documents().all(|(_, document)| document.version == 2));
}
