//! Real heads with faults between them, and the audit of what they did: fixed seeds, each hard case, and a
//! deliberate break that the audit has to find. Judged by what the processes tell, never by how long anything
//! took.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod cluster;

use cluster::{Cluster, LONG, NOWHERE, own_address};
use futures_util::future::join_all;
use pathbank::agree::document::{DocumentChange, Edit, EditRejection, Value};
use pathbank::agree::report;
use pathbank::net::agree::call::Caller;
use pathbank::net::agree::database::VoterDatabase;
use pathbank::net::agree::wire::{PROPOSE_PATH, ProposalOutcome, STATUS_PATH, VoterStatus};
use pathbank::rehearsal::fleet::link::Link;
use pathbank::rehearsal::fleet::run::{Plan, Played, play};
use pathbank::rehearsal::fleet::schedule::{Fault, KINDS, Kind, drawn};
use pathbank::rehearsal::stage::{Head, Setup, Shared};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Instant;

/// So many fleets at once: each is five processes and all that is between them.
static FREE_PERMITS: (Mutex<u32>, Condvar) = (Mutex::new(2), Condvar::new());

struct FleetPermit;

impl FleetPermit {
    fn take() -> FleetPermit {
        let free = FREE_PERMITS.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut free =
            FREE_PERMITS.1.wait_while(free, |free| *free == 0).unwrap_or_else(PoisonError::into_inner);
        *free -= 1;
        FleetPermit
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *FREE_PERMITS.0.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        FREE_PERMITS.1.notify_one();
    }
}

fn play_fleet(plan: &Plan, faults: &[Fault]) -> Played {
    let _permit = FleetPermit::take();
    let daemon = Path::new(env!("CARGO_BIN_EXE_pathbank"));
    play(daemon, plan, faults).unwrap_or_else(|failure| panic!("seed {}: {failure}\n{faults:?}", plan.seed))
}

fn plan(seed: u64) -> Plan {
    Plan { seed, heads: 5, long_leases: false, lowers: false, traffic: true }
}

fn assert_sound(seed: u64, faults: &[Fault]) {
    let Played { verdict, served, .. } = play_fleet(&plan(seed), faults);
    assert_eq!(verdict.problems, Vec::<String>::new(), "seed {seed}: {faults:?}");
    assert!(
        verdict.acts > 0 && verdict.edits > 0 && verdict.revisions > 0 && served > 0,
        "nothing was played: {verdict:?}"
    );
}

fn assert_sound_with_all_faults(seed: u64) {
    let kinds: Vec<Kind> = KINDS.iter().map(|(kind, _)| *kind).collect();
    assert_sound(seed, &drawn(seed, 5, 3, &kinds, 3_000));
}

#[test]
fn one_seed_of_all_faults() {
    assert_sound_with_all_faults(1);
}

#[test]
fn another_seed_of_all_faults() {
    assert_sound_with_all_faults(2);
}

fn validation_error(at_ms: u64, lasts_ms: u64, kind: Kind, head: usize) -> Fault {
    Fault { at_ms, lasts_ms, kind, head, voter: head % 3 }
}

/// Beside each hard case a head that has no voter ends, and joins again in its midst.
fn assert_sound_beside_a_join(seed: u64, faults: &[Fault]) {
    let joins = Fault { at_ms: 500, lasts_ms: 900, kind: Kind::Kill, head: 4, voter: 0 };
    assert_sound(seed, &[faults, &[joins]].concat());
}

#[test]
fn a_leader_with_a_one_way_partition_is_replaced() {
    // Whichever of the three leads has its turn.
    assert_sound_beside_a_join(
        11,
        &[0, 1, 2].map(|voter| validation_error(400 + 1_800 * voter as u64, 1_600, Kind::DeafLeader, voter)),
    );
}

#[test]
fn a_suspended_leader_resumes_after_its_successors_changes() {
    assert_sound_beside_a_join(
        12,
        &[0, 1, 2].map(|voter| validation_error(400 + 2_400 * voter as u64, 2_200, Kind::Stop, voter)),
    );
}

/// Clients ask for far more than the limit gives, and two heads of five hear nothing for longer than both of
/// their leases.
#[test]
fn a_limit_is_lowered_in_a_surge_while_over_a_third_of_the_processes_are_partitioned() {
    let plan = Plan { lowers: true, ..plan(13) };
    let faults =
        [validation_error(300, 4_200, Kind::Isolate, 3), validation_error(300, 4_200, Kind::Isolate, 4)];
    let Played { verdict, served, answered, begun_us, .. } = play_fleet(&plan, &faults);
    assert_eq!(verdict.problems, Vec::<String>::new());
    let meanwhile = begun_us + 300_000..begun_us + 4_500_000;
    assert!(verdict.lowered_us.iter().any(|at| meanwhile.contains(at)), "{meanwhile:?}: {verdict:?}");
    assert!(answered > 2 * served, "that was no surge: {served} of {answered}");
}

#[test]
fn a_majority_is_lost_for_longer_than_all_leases_and_recovers() {
    assert_sound_beside_a_join(
        14,
        &[validation_error(400, 4_000, Kind::Kill, 0), validation_error(600, 4_200, Kind::Kill, 1)],
    );
}

#[test]
fn over_half_of_the_processes_are_killed_during_changes() {
    assert_sound_beside_a_join(
        15,
        &[validation_error(600, 900, Kind::Half, 0), validation_error(2_400, 700, Kind::Half, 0)],
    );
}

#[test]
fn a_voter_that_lost_its_database_is_replaced_under_load() {
    assert_sound_beside_a_join(16, &[validation_error(500, 800, Kind::Empty, 1)]);
}

#[test]
fn a_voter_with_a_damaged_database_stops_voting_and_is_replaced() {
    assert_sound_beside_a_join(17, &[validation_error(500, 800, Kind::Damaged, 2)]);
}

#[test]
fn a_voter_on_an_older_copy_of_its_database_is_ignored_and_replaced() {
    let Played { verdict, old_disks, .. } =
        play_fleet(&plan(18), &[validation_error(500, 800, Kind::Old, 1)]);
    assert_eq!(verdict.problems, Vec::<String>::new());
    assert!(old_disks > 0, "nobody told of it");
}

#[test]
fn a_process_with_too_long_leases_is_detected() {
    let plan = Plan { long_leases: true, ..plan(1) };
    let faults =
        [validation_error(400, 2_500, Kind::Isolate, 3), validation_error(900, 2_500, Kind::Isolate, 4)];
    let verdict = play_fleet(&plan, &faults).verdict;
    assert!(!verdict.problems.is_empty() && verdict.longest_us > 0, "{verdict:?}");
}

/// An edit of so many documents, all on one version.
fn all(id: u64, count: usize, base: u64, text: &str) -> Edit {
    let changes = || BTreeMap::from([("weight".to_string(), Some(Value::Plain(text.to_string())))]);
    let parts =
        (0..count).map(|i| (format!("plan/p{i}"), DocumentChange { base, changes: changes() })).collect();
    Edit { id, parts, who: "ops".into(), why: "all of them".into(), at_ms: 0 }
}

/// The last edit in force that a line of a head's log tells of.
fn active_in(line: &str) -> Option<u64> {
    line.split("active=\"").nth(1)?.split('"').next()?.parse().ok()
}

#[test]
fn ten_thousand_documents_change_by_one_edit_while_a_disk_fills_and_its_voter_recovers() {
    let cluster = Cluster::new("documents", 3);
    let ids = [71, 72, 73];
    let heads = ids.map(|id| cluster.start(id, &ids, if id == 73 { 2 } else { 64 }));
    assert_eq!(cluster.propose(&ids, &all(1, 10_000, 0, "1")).map(drop), Ok(()));
    // Two at once on one base: one is taken, the other hears which fields it met.
    let edits = [2, 3].map(|id| all(id, 1, 1, &id.to_string()));
    let told = cluster.runtime.block_on(join_all(edits.iter().map(|edit| cluster.propose_async(&ids, edit))));
    let conflict = Err(EditRejection::Conflict(vec!["plan/p0.weight".into()]));
    let taken = told.iter().filter(|told| told.is_ok()).count();
    assert!(taken == 1 && told.contains(&conflict), "{told:?}");
    let mut more = all(4, 10_000, 1, "4");
    more.parts.get_mut("plan/p0").unwrap().base = 2;
    let entry = cluster.propose(&ids, &more).unwrap();
    // The others go on, and so does the head of the one that cannot: it holds its leases from them. Which of
    // both its log tells first depends on how soon its voter is sent the entry.
    for id in [71, 72] {
        cluster.in_force(id, entry);
    }
    let is_ill = |line: &str| line.contains(" VOTER_ILL ");
    let has_it = |line: &str| active_in(line).is_some_and(|active| active >= entry);
    heads[2].logged_each("a voter that cannot save, and its head's lease", &[&is_ill, &has_it]).unwrap();
    drop(heads);
    let _again = ids.map(|id| cluster.start(id, &ids, 64));
    let status = cluster.in_force(73, entry);
    assert!(status.incarnation > 1 && cluster.command(&[73], &["verify"]).unwrap().contains("sound"));
}

/// A head without a voter, before one voter at the end of that link.
fn head_behind(link: &Link) -> Head {
    let agree = format!(
        "enabled = true\ncluster = \"few\"\n[voters]\n71 = \"{}\"\n[times]\nlong_lease_ms = 1000\n",
        link.address
    );
    let setup = Setup { name: "behind".into(), agree: Some(agree), watched: false, ..Setup::default() };
    Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), &setup, NOWHERE, Vec::new()).unwrap()
}

#[test]
fn a_process_catches_up_although_that_takes_longer_than_a_lease() {
    let cluster = Cluster::new("slow-link", 1);
    let _voter = cluster.start(71, &[71], 64);
    let entry = cluster.propose(&[71], &all(1, 2_000, 0, "1")).unwrap();
    cluster.in_force(71, entry);
    let link = Link::open().unwrap();
    link.lead_to(Some(cluster.address(71)));
    // An answer of some 200 KB takes well over a second.
    link.slow(0, 150_000);
    let head = head_behind(&link);
    let has_it = |line: &str| active_in(line).is_some_and(|active| active >= entry);
    head.logged_each("the edit in force", &[&has_it]).unwrap();
}

#[test]
fn a_new_voter_replaces_a_lost_one_and_a_backup_starts_a_new_cluster() {
    let mut cluster = Cluster::new("recovery", 3);
    let ids = [71, 72, 73];
    let mut heads: Vec<Head> = ids.map(|id| cluster.start(id, &ids, 64)).into();
    let entry = cluster.propose(&ids, &all(1, 2_000, 0, "1")).unwrap();
    cluster.in_force(71, entry);
    // Its disk is lost with its head: its number is gone for good.
    drop(heads.pop());
    std::fs::remove_dir_all(cluster.directory(73)).unwrap();
    let new = cluster.add_voter();
    let change = |words: &[&str]| {
        let until = Instant::now() + LONG;
        // A second change waits until all heads know of the first.
        while let Err(why) = cluster.command(&[71, 72], words) {
            assert!(Instant::now() < until, "{words:?}: {why}");
        }
    };
    change(&["voters", "--remove", "73"]);
    change(&["voters", "--add", &format!("{new}={}", cluster.address(new))]);
    let begun = Instant::now();
    heads.push(cluster.start(new, &ids, 64));
    let status = cluster.in_force(new, entry);
    println!("a voter from nothing has 2,000 documents after {} ms", begun.elapsed().as_millis());
    assert_eq!(status.voters.keys().copied().collect::<Vec<_>>(), [71, 72, new]);
    // It counts: with it and one other there is a majority.
    drop(heads.remove(0));
    let last = cluster.propose(&[72, new], &all(2, 1, 1, "2")).unwrap();
    let file = cluster.folder.join("backup");
    cluster.command(&[72, new], &["backup", "--to", file.to_str().unwrap()]).unwrap();
    drop(heads);
    // All voters are lost but the backup; a changed one is refused by its line.
    let (restored, at) = (cluster.folder.join("restored"), own_address());
    let restore = |file: &Path| {
        let (file, to, at) = (file.to_str().unwrap(), restored.to_str().unwrap(), at.to_string());
        cluster.command(&[72], &["restore", "--from", file, "--directory", to, "--address", &at])
    };
    let lie = cluster.folder.join("lie");
    std::fs::write(&lie, std::fs::read_to_string(&file).unwrap().replacen("all of them", "none at all", 1))
        .unwrap();
    assert!(restore(&lie).unwrap_err().contains("is not what was written"));
    let said = restore(&file).unwrap();
    let id: u64 = said.split(' ').nth(1).and_then(|id| id.parse().ok()).unwrap();
    cluster.voters.push((id, at));
    std::fs::rename(&restored, cluster.directory(id)).unwrap();
    let _alone = cluster.start(id, &[id], 64);
    cluster.in_force(id, last);
    let shown = cluster.command(&[id], &["show", "plan/p0"]).unwrap();
    assert!(shown.contains("plan/p0 version 2, in force"), "{shown}");
}

/// A backup that had been reported as done could not be restored: "its entries are not all there". Its first
/// line came from the leader, its entries from the first voter that answered, and that one had not heard yet
/// that the last of them counts. Here the voter that is asked first answers, but the others reach it no more.
#[test]
fn a_lagging_voter_that_is_asked_first_hides_no_committed_entries() {
    let mut cluster = Cluster::new("lagging", 3);
    let ids = [71, 72, 73];
    let heads: Vec<Head> = ids.map(|id| cluster.start(id, &ids, 64)).into();
    let first = cluster.propose(&ids, &all(1, 1, 0, "1")).unwrap();
    cluster.in_force(73, first);
    let [_one, _two, lagging] = <[Head; 3]>::try_from(heads).ok().unwrap();
    drop(lagging);
    // Its operators know where it listens now; the other voters do not, nor does it reach them. Were it to reach them, it
    // would be elected whenever the leader's heartbeats are late, and would lag no more.
    cluster.voters[2].1 = own_address();
    let _lagging = cluster.start_isolated(73, &ids, 64);
    let last = cluster.propose(&[71, 72], &all(2, 1, 1, "2")).unwrap();
    cluster.in_force(71, last);
    let asked = [73, 71, 72];
    let status = cluster.command(&[73], &["status"]).unwrap();
    assert!(!status.contains(&format!(" counts {last} ")), "it lags behind entry {last}: {status}");

    let (file, restored) = (cluster.folder.join("backup"), cluster.folder.join("restored"));
    cluster.command(&asked, &["backup", "--to", file.to_str().unwrap()]).unwrap();
    let (from, to) = (file.to_str().unwrap(), restored.to_str().unwrap());
    let restore = ["restore", "--from", from, "--directory", to, "--address", &own_address().to_string()];
    let restored = cluster.command(&asked, &restore);
    assert!(restored.is_ok(), "{restored:?}");
    let history = cluster.command(&asked, &["history"]);
    assert!(history.as_ref().is_ok_and(|told| told.contains(&format!("{last}: edit 2 "))), "{history:?}");
    let diff = cluster.command(&asked, &["diff", "plan/p0", "1", "2"]);
    assert!(diff.is_ok(), "{diff:?}");
    let proposal = ["propose", "plan/p1", "limit=limit:9,1", "--why", "a test", "--wait"];
    let in_force = cluster.command(&asked, &proposal);
    assert!(in_force.as_ref().is_ok_and(|told| told.contains("in force")), "{in_force:?}");
    // No voter that answers has it all: said, and no file is left that looks like a backup.
    let part = cluster.folder.join("part");
    let refused = cluster.command(&[73], &["backup", "--to", part.to_str().unwrap()]);
    assert!(refused.is_err() && !part.exists(), "{refused:?}");
}

/// A voter that keeps cluster entries: the old ones are told from its archive, and where that was moved away,
/// as missing. A backup from then still begins a cluster.
#[test]
fn history_reads_the_archive_and_a_backup_does_without_segments_that_were_moved_away() {
    let mut cluster = Cluster::new("archive", 1);
    let (ids, first) = ([71], cluster.voters[0].1.to_string());
    let head = cluster.start_with(71, &ids, "keep_entries = 8", "[rehearsal]\nkept = 4\n");
    let edits = (1..=40).map(|i| cluster.propose(&ids, &all(i, 1, i - 1, &format!("w{i}"))).unwrap()).last();
    cluster.in_force(71, edits.unwrap());
    head.logged(" ARCHIVED ").unwrap();
    let folder = cluster.directory(71).join("archive");
    let segments = || std::fs::read_dir(&folder).map_or(0, Iterator::count);
    assert!(segments() > 1, "{}", segments());
    let history = cluster.command(&ids, &["history"]).unwrap();
    for i in 1..=40 {
        assert!(
            history.contains(&format!("w{i}\n")) || history.contains(&format!("w{i} ")),
            "w{i}: {history}"
        );
    }
    assert!(cluster.command(&ids, &["diff", "plan/p0", "1", "40"]).unwrap().contains("w40"));
    let verified = cluster.command(&ids, &["verify"]).unwrap();
    assert!(verified.contains(": sound") && !verified.contains("without"), "{verified}");
    let whole = cluster.folder.join("whole");
    cluster.command(&ids, &["backup", "--to", whole.to_str().unwrap()]).unwrap();
    // The operators move the archive away while the voter runs; it goes on, and so does its archive.
    let moved = cluster.folder.join("moved");
    std::fs::rename(&folder, &moved).unwrap();
    let verified = cluster.command(&ids, &["verify"]).unwrap();
    assert!(verified.contains("without 1 to") && verified.contains(": sound"), "{verified}");
    assert!(cluster.command(&ids, &["diff", "plan/p0", "1", "40"]).unwrap_err().contains("moved away"));
    let last = (41..=60)
        .map(|i| cluster.propose(&ids, &all(i, 1, i - 1, &format!("w{i}"))).unwrap())
        .last()
        .unwrap();
    cluster.in_force(71, last);
    let part = cluster.folder.join("part");
    cluster.command(&ids, &["backup", "--to", part.to_str().unwrap()]).unwrap();
    drop(head);
    // On the stopped one's disk, with its archive back in place: all of it.
    for segment in std::fs::read_dir(&moved).unwrap() {
        let name = segment.unwrap().file_name();
        std::fs::rename(moved.join(&name), folder.join(&name)).unwrap();
    }
    let directory = cluster.directory(71);
    let verified = cluster.command(&[], &["verify", "--directory", directory.to_str().unwrap()]);
    assert!(
        verified.as_ref().is_ok_and(|told| told.contains(": sound") && !told.contains("without")),
        "{verified:?}"
    );
    let restore = |cluster: &Cluster, file: &Path, to: &Path| {
        let (file, to) = (file.to_str().unwrap(), to.to_str().unwrap());
        cluster.command(&ids, &["restore", "--from", file, "--directory", to, "--address", &first])
    };
    let (lie, nowhere) = (cluster.folder.join("lie"), cluster.folder.join("nowhere"));
    let text = std::fs::read_to_string(&part).unwrap();
    let forged = text.replacen("all of them", "none at all", 9).replacen("none at all", "all of them", 8);
    let cut: String = text.lines().take(text.lines().count() - 1).map(|line| format!("{line}\n")).collect();
    for (changed, why) in [(forged, "is not what was written"), (cut, "are not all there")] {
        std::fs::write(&lie, changed).unwrap();
        let said = restore(&cluster, &lie, &nowhere).unwrap_err();
        assert!(said.contains(why), "{said}");
    }
    for (file, version) in [(&whole, 40), (&part, 60)] {
        let new = cluster.folder.join(format!("new-{version}"));
        let said = restore(&cluster, file, &new).unwrap();
        let id: u64 = said.split(' ').nth(1).and_then(|id| id.parse().ok()).unwrap();
        cluster.voters.push((id, own_address()));
        std::fs::rename(&new, cluster.directory(id)).unwrap();
        let _alone = cluster.start(id, &[id], 64);
        let entry = cluster.propose(&[id], &all(900 + version, 1, version, "after")).unwrap();
        cluster.in_force(id, entry);
        let shown = cluster.command(&[id], &["show", "plan/p0"]).unwrap();
        assert!(shown.contains(&format!("plan/p0 version {}, in force", version + 1)), "{shown}");
        assert!(cluster.command(&[id], &["verify"]).unwrap().contains(": sound"));
    }
}

/// One voter's head, alone in its cluster, and its next process: the old one keeps the voter until it ends.
#[test]
fn the_second_process_of_an_upgrade_takes_over_the_voter() {
    let folder = std::env::temp_dir().join(format!("pathbank-upgrade-agree-{}", std::process::id()));
    VoterDatabase::create(&folder, 77).unwrap();
    // Both processes are to listen there, one after the other.
    let listen: SocketAddr = own_address();
    let agree = format!(
        "enabled = true\ncluster = \"up\"\nlisten = \"{listen}\"\ndirectory = \"{}\"\n[voters]\n77 = \"{listen}\"\n\
         [times]\nlong_lease_ms = 1000\n",
        folder.display()
    );
    let shared = Some(Arc::new(Shared::new().unwrap()));
    let setup = Setup { agree: Some(agree), shared, watched: false, ..Setup::default() };
    let start =
        |setup: &Setup| Head::start(Path::new(env!("CARGO_BIN_EXE_pathbank")), setup, NOWHERE, Vec::new());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let caller = Caller::new("up");
    let mut old = start(&setup).unwrap();
    let edit = report::edit(1, "plan/starter", 0, &["limit=limit:9,1".into()], ("ops", "a test", 0)).unwrap();
    // Nobody leads in its first moments.
    let until = Instant::now() + LONG;
    let entry = loop {
        assert!(Instant::now() < until, "nobody leads");
        match runtime
            .block_on(caller.call::<ProposalOutcome>(&listen.to_string(), PROPOSE_PATH, &edit, LONG))
            .unwrap()
        {
            ProposalOutcome::Entry(entry) => break entry,
            ProposalOutcome::NotLeader(_) | ProposalOutcome::Unknown => {}
            other => panic!("{other:?}"),
        }
    };
    let has_it = |line: &str| active_in(line).is_some_and(|active| active >= entry);
    old.logged_each("the edit in force", &[&has_it]).unwrap();
    // The later process has no voter, and its leases all the same: from the one that the old process keeps.
    let later = Setup { second: true, ..setup };
    let new = start(&later).unwrap();
    old.terminate().unwrap();
    old.ended().unwrap();
    new.logged(" AGREE ").unwrap();
    let until = Instant::now() + LONG;
    let status = loop {
        assert!(Instant::now() < until, "the voter never led on");
        if let Ok(status) =
            runtime.block_on(caller.call::<VoterStatus>(&listen.to_string(), STATUS_PATH, &(), LONG))
            && status.leader == Some(77)
        {
            break status;
        }
    };
    assert_eq!((status.id, status.incarnation, status.active >= entry), (77, 2, true));
    drop(new);
    std::fs::remove_dir_all(&folder).unwrap();
}
