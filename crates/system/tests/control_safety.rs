//! Cores as real processes: stopped and thawed, ended in order, with damaged or unreadable disks.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::{System, call, document, until};
use pathbank_control::state::ControlState;
use pathbank_coordination::batch;
use pathbank_coordination::record::Record;
use pathbank_coordination::store::{DAMAGED_FILE, LogFile};
use std::time::{Duration, Instant};

const LOG_FILE: &str = "replica.log";
/// An operator tries another core after a second without an answer; a partitioned core has to reject before.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(2_000);
/// A core that cannot participate exits within this, also on a busy machine.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

fn given_a_configured_group(cores: u8) -> (System, usize) {
    let mut system = System::with(cores, 1);
    system.local.start().expect("the program starts");
    system.configure(0, &document(3));
    until("a leader", || system.leader().is_some());
    let leader = system.leader().unwrap();
    (system, leader)
}

fn read(system: &System, core: usize) -> Option<common::Answer> {
    call(system.control[core], "GET", "/api/config/read", &[], "")
}

fn voters(system: &System, core: usize) -> Vec<String> {
    let status = system.status(core).unwrap_or_default();
    let voters = status["voters"].as_array().cloned().unwrap_or_default();
    voters.iter().filter_map(|voter| voter["control"].as_str().map(str::to_owned)).collect()
}

#[test]
fn a_resumed_leader_serves_no_stale_configuration() {
    let (system, leader) = given_a_configured_group(3);
    for (base, version) in [(3, 4), (4, 6), (6, 7)] {
        let frozen = system.leader().unwrap_or(leader);
        system.local.cores[frozen].freeze();
        let base = base.to_string();
        let headers = [("X-Pathbank-Base-Version", base.as_str())];
        until("the others take a change", || {
            let mut others = (0..3).filter(|core| *core != frozen).map(|core| system.control[core]);
            let path = "/api/config/replace";
            others.any(|head| {
                call(head, "POST", path, &headers, &document(version))
                    .is_some_and(|answer| answer.status == 200)
            })
        });
        // Calls that lie in its socket are the first that it sees.
        let address = system.control[frozen];
        let asking = std::thread::spawn(move || call(address, "GET", "/api/config/read", &[], ""));
        let late = std::thread::spawn(move || {
            let base = [("X-Pathbank-Base-Version", "3")];
            call(address, "POST", "/api/config/replace", &base, &document(5))
        });
        std::thread::sleep(Duration::from_millis(300));
        system.local.cores[frozen].thaw();
        let answer = asking.join().unwrap().expect("an answer");
        let is_new = answer.body.contains(&format!("\"version\":{version}"));
        assert!(answer.status != 200 || is_new, "it read {}", answer.body);
        let answer = late.join().unwrap().expect("an answer");
        assert!([307, 412, 500, 503].contains(&answer.status), "{}: {}", answer.status, answer.body);
        let new_version = |read: serde_json::Value| read["version"] == version;
        until("the new one stands", || system.read_configuration().is_some_and(new_version));
    }
}

#[test]
fn a_partitioned_leader_rejects_every_call_at_once() {
    let (system, leader) = given_a_configured_group(3);
    let others: Vec<usize> = (0..3).filter(|core| *core != leader).collect();
    others.iter().for_each(|core| system.local.cores[*core].freeze());
    until("it leads no more", || system.status(leader).is_some_and(|status| status["role"] != "Leader"));
    std::thread::sleep(Duration::from_millis(1_600));
    let asked = Instant::now();
    let answer = read(&system, leader).expect("an answer");
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert!(answer.head.contains("retry-after: 0.5"), "{}", answer.head);
    for (base, version) in [("3", 4), ("1", 2)] {
        let base = [("X-Pathbank-Base-Version", base)];
        let answer = call(system.control[leader], "POST", "/api/config/replace", &base, &document(version));
        assert_eq!(answer.expect("an answer").status, 503);
    }
    assert!(asked.elapsed() < MAX_REJECTION_TIME, "{:?}", asked.elapsed());
    others.iter().for_each(|core| system.local.cores[*core].thaw());
    system.configure(3, &document(4));
}

/// The learner, once it has the whole log.
fn spare(system: &System, leader: usize, version: u64) -> usize {
    let mut found = None;
    until("a fourth machine follows three voters", || {
        let voting = voters(system, leader);
        found = system.control.iter().position(|address| !voting.contains(&address.to_string()));
        let status = found.and_then(|spare| system.status(spare)).unwrap_or_default();
        voting.len() == 3 && status["configuration_version"] == version
    });
    found.expect("a spare machine")
}

/// Four cores, three of them voters: one that withdraws is replaced before it shuts down, and one more may
/// be lost.
#[test]
fn withdrawn_voters_are_replaced_and_another_disk_may_be_lost() {
    /// On a machine that stands still for long the leader may not have heard of the spare lately: it is asked
    /// again.
    const MAX_WITHDRAWALS: usize = 5;
    let (mut system, mut leader) = given_a_configured_group(4);
    let replaced = (0..MAX_WITHDRAWALS).find_map(|_| {
        let spare = spare(&system, leader, 3);
        system.local.cores[leader].ask_to_stop();
        until("it has ended", || system.local.cores[leader].has_ended());
        until("another one leads", || system.leader().is_some());
        let now = system.leader().unwrap();
        if voters(&system, now).contains(&system.control[spare].to_string()) {
            return Some((leader, spare, now));
        }
        system.local.cores[leader].start().unwrap();
        leader = now;
        None
    });
    let (left, spare, now) = replaced.expect("the fourth is in before the voter is gone");
    // Another voter loses its disk at once.
    let lost = (0..4).find(|core| ![left, spare, now].contains(core)).unwrap();
    system.local.cores[lost].kill();
    std::fs::remove_dir_all(system.data(lost)).unwrap();
    system.local.cores[lost].allow_bootstrap(false).unwrap();
    system.local.cores[lost].start().unwrap();
    system.configure(3, &document(4));
    until("it has the configuration again", || {
        system.status(lost).is_some_and(|status| status["configuration_version"] == 4)
    });
}

#[test]
fn a_voter_with_a_damaged_log_returns_as_a_new_store() {
    let (mut system, leader) = given_a_configured_group(3);
    let member = (leader + 1) % 3;
    (4..9).for_each(|version| system.configure(version - 1, &document(version)));
    system.local.cores[member].kill();
    let path = system.data(member).join(LOG_FILE);
    let mut bytes = std::fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    std::fs::write(&path, bytes).unwrap();
    // Its settings still name a first start, at which it was a founder.
    system.local.cores[member].start().unwrap();
    until("it has the configuration again", || {
        system.status(member).is_some_and(|status| status["configuration_version"] == 8)
    });
    assert!(system.data(member).join(DAMAGED_FILE).exists(), "the file is kept for people to look at");
    system.configure(8, &document(9));
    let (_, opened) = LogFile::open(&system.data(member)).unwrap();
    assert_eq!(opened.durable.id.unwrap().0 % 2, 1, "a number of its own, not the founder's");
}

/// Asserts that the core exits, and says why on standard error.
fn then_it_refuses_to_start(system: &mut System, core: usize, why: &str) {
    let settings = system.local.folder.join(format!("core-{core}.conf"));
    let mut process = std::process::Command::new(env!("CARGO_BIN_EXE_pathbank-system"))
        .arg("core")
        .env("PATHBANK_CONFIG", settings)
        .stderr(std::process::Stdio::piped())
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let asked = Instant::now();
    while process.try_wait().unwrap().is_none() {
        if asked.elapsed() > EXIT_TIMEOUT {
            process.kill().unwrap();
            panic!("it takes part, where it should say: {why}");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let output = process.wait_with_output().unwrap();
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(stderr.contains("cannot take part") && stderr.contains(why), "{stderr}");
}

#[test]
fn a_core_with_unreadable_state_does_not_participate() {
    let (mut system, leader) = given_a_configured_group(3);
    let member = (leader + 1) % 3;
    system.local.cores[member].kill();
    let folder = system.data(member);
    let (mut log, opened) = LogFile::open(&folder).unwrap();
    let mut durable = opened.durable.clone();
    let unreadable = pathbank_coordination::types::Snapshot {
        index: durable.last_index(),
        term: durable.term,
        data: b"{\"format\":99".to_vec(),
        ..durable.snapshot.clone()
    };
    durable.apply(Record::Snapshot { snapshot: unreadable, keep_tail: true });
    log.rewrite(&durable).unwrap();
    drop(log);
    then_it_refuses_to_start(&mut system, member, "snapshot cannot be read");
    let entry = pathbank_coordination::types::Entry {
        index: opened.durable.last_index() + 1,
        term: opened.durable.term,
        payload: pathbank_coordination::types::Payload::Command(b"{\"Later\":1}".to_vec()),
    };
    let bytes =
        [batch::encode(1, &opened.durable.records()), batch::encode(2, &[Record::Entry(entry)])].concat();
    std::fs::write(folder.join(LOG_FILE), bytes).unwrap();
    then_it_refuses_to_start(&mut system, member, "cannot be read");
    assert!(ControlState::decode(b"").is_ok(), "a disk without a snapshot is no error");
    system.configure(3, &document(4));
}

// A core applies all entries behind its snapshot again after a start, 0.4 ms each on a small processor. A log
// was shortened by its bytes alone, at four times the snapshot, in which 8,192 remembered changes count:
// 5,500 entries of 400 bytes lay behind it, and would have held up a recovery by two seconds.
#[test]
fn a_log_is_compacted_by_its_number_of_entries() {
    const CHANGES: u64 = 2_300;
    const MAX_ENTRIES: u64 = 1_100;
    let (mut system, leader) = given_a_configured_group(3);
    let mut connections: Vec<_> = system.control.iter().map(|head| common::KeptCall::open(*head)).collect();
    let mut leader_index = leader;
    for version in 4..4 + CHANGES {
        let base = (version - 1).to_string();
        let body =
            format!("{{\"version\":{version},\"upsert\":{{\"limits\":{{\"max_body_bytes\":{version}}}}}}}");
        let headers = [("X-Pathbank-Base-Version", base.as_str())];
        until("the change is taken", || {
            let answer = connections[leader_index].call("POST", "/api/config/update", &headers, &body);
            let is_taken = answer.is_some_and(|answer| answer.status == 200);
            // On a busy machine another core may lead by now.
            leader_index = if is_taken { leader_index } else { (leader_index + 1) % connections.len() };
            is_taken
        });
    }
    system.local.cores.iter_mut().for_each(pathbank_system::local::Process::kill);
    for core in 0..3 {
        let (_, opened) = LogFile::open(&system.data(core)).unwrap();
        let durable = opened.durable;
        let behind = durable.last_index() - durable.snapshot.index;
        assert!(behind <= MAX_ENTRIES, "core {core} would apply {behind} entries again");
    }
    system.local.cores.iter_mut().for_each(|core| core.start().unwrap());
    let newest = 3 + CHANGES;
    until("all of it is read back", || {
        system.read_configuration().is_some_and(|read| read["version"] == newest)
    });
}
