//! Reads files that the storage proxy of commit 5480d97 wrote (`tests/fixtures`): the ids of requests and the spool of
//! the event log. The tests of `src/net/agree` read the agreement's files.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::config::syslog::SpoolLimits;
use pathbank::idlog::{Header, RECORD, Record};
use pathbank::logging::spool::Spool;
use pathbank::net::ids::Ids;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const CENTURY: Duration = Duration::from_secs(100 * 365 * 86_400);

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// A temporary folder of one test with a copy of the fixture.
fn copy_of(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pathbank-stored-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    fs::copy(fixture(name), folder.join(name)).unwrap();
    folder
}

#[test]
fn stored_ids_are_known_to_the_next_process() {
    let folder = copy_of("ids");
    let file = |name: &str| {
        let options = File::options().create(true).truncate(false).read(true).write(true).clone();
        Arc::new(options.open(folder.join(name)).unwrap())
    };
    let ids = Ids::new(8, CENTURY);
    ids.share((file("ids"), file("ids-other"))).unwrap();
    let now = Instant::now();
    let first = ["a", "b", "c", "d"].map(|id| ids.first_time(id.as_bytes(), now));
    assert_eq!(first, [false, false, false, true]);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn stored_ids_have_a_header_and_records_that_are_written_as_the_same_bytes() {
    let stored = fs::read(fixture("ids")).unwrap();
    let header = Header::decode(&stored).unwrap();
    assert_eq!(header.records, 8);
    // Records are numbered from 1, so the first place of the ring is written last and still empty.
    let mut written = header.encode().to_vec();
    written.extend([0; RECORD]);
    for (number, id) in (1..).zip(["a", "b", "c"]) {
        let offset = header.offset(number) as usize;
        let record = Record::decode(&stored[offset..offset + RECORD]).unwrap();
        assert_eq!((record.number, record.hash), (number, header.hash(id.as_bytes())));
        assert_eq!(offset, written.len());
        written.extend(record.encode());
    }
    assert_eq!(written, stored);
}

#[test]
fn a_stored_spool_holds_the_lines_that_were_not_released() {
    let folder = copy_of("spool.redb");
    let spool = Spool::open(&SpoolLimits { directory: folder.clone(), bytes: 1 << 20, age: CENTURY });
    let problems = spool.problems();
    assert!(problems.is_empty(), "{problems:?}");
    let lines = spool.read(0, usize::MAX);
    assert_eq!(lines, [(2, b"line 2".to_vec()), (3, b"line 3".to_vec())]);
    drop(spool);
    fs::remove_dir_all(&folder).unwrap();
}
