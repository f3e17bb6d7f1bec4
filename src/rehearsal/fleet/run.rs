//! One run: starts the fleet, breaks it by the schedule, edits and reads all the while, waits until all heads
//! know the same again, and gives what was told to the auditor.

use super::audit::{Acknowledged, Act, History, Read, Verdict, judge};
use super::link::Link;
use super::schedule::{Fault, Kind};
use crate::agree::document::{DocumentChange, Edit, Value};
use crate::agree::voter::Voters;
use crate::agree::{Index, VoterId, report};
use crate::net::agree::call::Caller;
use crate::net::agree::database::{VoterDatabase, path};
use crate::net::agree::wire::{
    PROPOSE_PATH, ProposalOutcome, RECORDS_PATH, RecordsReply, RecordsRequest, STATE_PATH, STATUS_PATH,
    StateReply, StateRequest, VOTERS_PATH, VoterStatus,
};
use crate::rehearsal::stage::{Discovery, Head, HttpClient, Setup, Site, entry};
use crate::rehearsal::storage_node::{Act as Answered, Seen, StandInNode, answer};
use crate::rehearsal::{Failure, Outcome, STUCK, check, header};
use crate::syslog::parse::{Message, parse};
use serde::de::DeserializeOwned;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CLUSTER: &str = "rehearsal";
const VOTERS_AT_FIRST: usize = 3;
const NODES: usize = 3;
/// A client asks again after this; its request waits for so long at most.
const CLIENT_APART: Duration = Duration::from_millis(15);
const DEADLINE: Duration = Duration::from_millis(600);
const EDITS_APART: Duration = Duration::from_millis(250);
/// For a voter's start to be heard of.
const HEARD: Duration = Duration::from_secs(2);
const LOOK: Duration = Duration::from_millis(20);
/// Edits that are timed while nothing breaks.
const MARKS: u64 = 3;

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub heads: usize,
    /// A deliberate break: some heads are told that their leases last far longer than the voters count.
    pub long_leases: bool,
    /// Operators do nothing but lower a limit and raise it again.
    pub lowers: bool,
    /// Clients and nodes are there: without, only the heads among themselves.
    pub traffic: bool,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Played {
    pub verdict: Verdict,
    /// Edits from their proposal until the last head had them in force, in milliseconds.
    pub edit_ms: Vec<u64>,
    pub served: u64,
    pub answered: u64,
    /// What links carried in all.
    pub bytes: u64,
    /// When faults began, and how often an old disk was told of.
    pub begun_us: u64,
    pub old_disks: u64,
}

pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a head told last of what it acts on.
#[derive(Clone, Debug, Default)]
struct RulesChange {
    level: String,
    active: Index,
}

/// What all threads write down.
#[derive(Default)]
struct Notes {
    history: Mutex<History>,
    readings: Mutex<BTreeMap<usize, RulesChange>>,
    /// Voters that were not heard for their disk, and disks that could not be used.
    old_disks: AtomicU64,
    ill: AtomicU64,
    /// No process may panic, whatever breaks.
    panics: Mutex<Vec<String>>,
    over: AtomicBool,
    served: AtomicU64,
    answered: AtomicU64,
}

struct Member {
    setup: Setup,
    head: Option<Head>,
    directory: Option<PathBuf>,
    /// To each voter of the start.
    links: Vec<Link>,
    /// Where clients connect now.
    http: Arc<Mutex<Option<SocketAddr>>>,
}

/// A voter, and the head that it is at.
#[derive(Clone, Debug)]
struct Seat {
    id: VoterId,
    member: usize,
    /// Where operators ask it, past all links.
    address: Option<SocketAddr>,
}

struct Fleet<'a> {
    daemon: &'a Path,
    folder: PathBuf,
    members: Vec<Member>,
    seats: Arc<Mutex<Vec<Seat>>>,
    discovery: Discovery,
    known: Vec<serde_json::Value>,
    notes: Arc<Notes>,
    /// Links to voters that came later, which all heads share.
    later: Vec<(usize, Link)>,
    replaced: u64,
}

fn number<T: std::str::FromStr>(event: &Message, name: &str) -> Option<T> {
    event.any(name)?.parse().ok()
}

/// What a line of a head's log tells the auditor.
fn note(notes: &Notes, head: usize, line: &str) {
    // What no event is may be a panic's word, which goes past the log.
    let Ok(event) = parse(line.as_bytes()) else {
        if line.contains("panicked at") {
            lock(&notes.panics).push(format!("head {head}: {line}"));
        }
        return;
    };
    match event.id {
        Some("ACT") => {
            let act = || {
                Some(Act {
                    head,
                    at_us: number(&event, "at_us")?,
                    late_us: number(&event, "late_us")?,
                    class: number(&event, "class")?,
                    attempt: number(&event, "attempt")?,
                    node: event.any("node")?.to_string(),
                    limit: number(&event, "limits")?,
                })
            };
            lock(&notes.history).acts.extend(act());
        }
        Some("REVISION") => {
            if let (Some(entry), Some(at)) = (number(&event, "entry"), number::<u64>(&event, "at_us")) {
                let mut history = lock(&notes.history);
                let known = history.in_force.entry(entry).or_insert(at);
                *known = at.min(*known);
            }
        }
        Some("READING") => {
            if let (Some(level), Some(active)) = (event.any("level"), number(&event, "active")) {
                lock(&notes.readings).insert(head, RulesChange { level: level.to_string(), active });
            }
        }
        Some("OLD_DISK") => drop(notes.old_disks.fetch_add(1, Ordering::Relaxed)),
        Some("VOTER_ILL") => drop(notes.ill.fetch_add(1, Ordering::Relaxed)),
        _ => {}
    }
}

impl Fleet<'_> {
    fn start<'a>(daemon: &'a Path, plan: &Plan, storage_nodes: &[StandInNode]) -> Outcome<Fleet<'a>> {
        static SERIAL: AtomicU64 = AtomicU64::new(0);
        let name =
            format!("pathbank-fleet-{}-{}", std::process::id(), SERIAL.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(name);
        let mut draw = fastrand::Rng::with_seed(plan.seed);
        let place = |(number, storage_node): (usize, &StandInNode)| {
            entry(&format!("s-{number}"), storage_node.address, number as u16, "in_service")
        };
        let known: Vec<serde_json::Value> = storage_nodes.iter().enumerate().map(place).collect();
        let discovery = Discovery::start(known.clone())?;
        let mut fleet = Fleet {
            daemon,
            folder,
            members: Vec::new(),
            seats: Arc::default(),
            discovery,
            known,
            notes: Arc::default(),
            later: Vec::new(),
            replaced: 0,
        };
        for member in 0..VOTERS_AT_FIRST {
            let id = draw.u64(1..1 << 48);
            VoterDatabase::create(&fleet.folder.join(format!("v{member}")), id).map_err(unmet)?;
            lock(&fleet.seats).push(Seat { id, member, address: None });
        }
        for number in 0..plan.heads {
            let links = (0..VOTERS_AT_FIRST).map(|_| Link::open()).collect::<Outcome<Vec<Link>>>()?;
            let directory = (number < VOTERS_AT_FIRST).then(|| fleet.folder.join(format!("v{number}")));
            // Clocks are up to an hour apart and run up to 1% apart; leases are shorter than usual, so that
            // they end.
            let lease = if plan.long_leases && number >= VOTERS_AT_FIRST { 30_000 } else { 1_000 };
            let voters: String = lock(&fleet.seats)
                .iter()
                .zip(&links)
                .map(|(seat, link)| format!("{} = \"{}\"\n", seat.id, link.address))
                .collect();
            let agree = format!(
                "enabled = true\ncluster = \"{CLUSTER}\"\nSEAT\n[voters]\n{voters}[times]\nlease_ms = {lease}\n\
                 long_lease_ms = {}\n[rehearsal]\nclock_ahead_ms = {}\nclock_ppm = {}\nkept = 16\n",
                3 * lease,
                draw.u64(..3_600_000),
                draw.i64(-4_500..4_500)
            );
            let setup = Setup {
                site: Site::Asked,
                name: format!("n{number}"),
                number: number as u32,
                heads: plan.heads as u32,
                agree: Some(agree),
                // Acts are told for the auditor only.
                level: if plan.traffic { "debug" } else { "info" },
                deadline: DEADLINE,
                watched: false,
                ..Setup::default()
            };
            let http = Arc::default();
            fleet.members.push(Member { setup, head: None, directory, links, http });
            fleet.begin(number)?;
        }
        Ok(fleet)
    }

    /// Starts a head's process, on whatever its disk is now.
    fn begin(&mut self, number: usize) -> Outcome {
        let member = &mut self.members[number];
        let seat = match &member.directory {
            Some(directory) => {
                format!(
                    "listen = \"127.0.0.1:0\"\ndirectory = \"{}\"\nkeep_entries = 24",
                    directory.display()
                )
            }
            None => String::new(),
        };
        let agree = member.setup.agree.as_deref().map(|text| text.replace("SEAT", &seat));
        let setup = Setup { agree, ..member.setup.clone() };
        let mut head = Head::start(self.daemon, &setup, self.discovery.address, self.known.clone())?;
        let lines = std::mem::replace(&mut head.log, channel().1);
        let notes = self.notes.clone();
        thread::spawn(move || lines.iter().for_each(|line| note(&notes, number, &line)));
        *lock(&member.http) = Some(head.http);
        let voter = head.voter;
        member.head = Some(head);
        let known: Vec<(usize, Option<SocketAddr>)> =
            lock(&self.seats).iter().map(|seat| (seat.member, seat.address)).collect();
        for ((seated, address), link) in known.iter().zip(&self.members[number].links) {
            if *seated != number && self.later.iter().all(|(member, _)| member != seated) {
                link.lead_to(*address);
            }
        }
        let place = known.iter().position(|(seated, _)| *seated == number);
        if let Some(place) = place {
            lock(&self.seats)[place].address = voter;
            if place < VOTERS_AT_FIRST && self.later.iter().all(|(member, _)| *member != number) {
                self.members.iter().for_each(|member| member.links[place].lead_to(voter));
            }
            self.later
                .iter()
                .filter(|(member, _)| *member == number)
                .for_each(|(_, link)| link.lead_to(voter));
        }
        Ok(())
    }

    fn kill(&mut self, number: usize) -> Outcome {
        let member = &mut self.members[number];
        *lock(&member.http) = None;
        lock(&self.notes.readings).remove(&number);
        if let Some(mut head) = member.head.take() {
            head.kill()?;
        }
        Ok(())
    }

    /// Links between two heads, from the first to the second one's voter; none where that has none.
    fn link(&self, from: usize, to: usize) -> Option<&Link> {
        self.members[from].links.get(to)
    }

    fn isolate(&self, number: usize, on: bool) {
        for other in 0..self.members.len() {
            self.link(other, number).into_iter().for_each(|link| link.cut(on, on));
            self.link(number, other).into_iter().for_each(|link| link.cut(on, on));
        }
        self.later.iter().filter(|(member, _)| *member == number).for_each(|(_, link)| link.cut(on, on));
    }

    /// It hears nobody while all hear it.
    fn deafen(&self, number: usize, on: bool) {
        for other in (0..self.members.len()).filter(|other| *other != number) {
            self.link(other, number).into_iter().for_each(|link| link.cut(on, false));
            self.link(number, other).into_iter().for_each(|link| link.cut(false, on));
        }
    }

    fn break_it(&mut self, fault: &Fault) -> Outcome {
        let Fault { kind, head, voter, lasts_ms, .. } = *fault;
        match kind {
            Kind::Cut => self.link(head, voter).into_iter().for_each(|link| link.cut(true, true)),
            Kind::CutOneWay => {
                let forth = lasts_ms % 2 == 0;
                self.link(head, voter).into_iter().for_each(|link| link.cut(forth, !forth));
            }
            Kind::Isolate => self.isolate(head, true),
            Kind::DeafLeader => self.deafen(voter, true),
            Kind::Slow => {
                let links = &self.members[head].links;
                links.iter().for_each(|link| link.slow(20 + lasts_ms % 200, 20 + lasts_ms % 100));
            }
            Kind::Kill | Kind::Empty | Kind::Damaged | Kind::Old => self.kill(head)?,
            Kind::Stop => self.members[head].head.iter().try_for_each(|head| head.stop(true))?,
            Kind::Half => {
                let count = self.members.len() / 2 + 1;
                (self.members.len() - count..self.members.len()).try_for_each(|number| self.kill(number))?;
            }
        }
        Ok(())
    }

    fn heal(&mut self, fault: &Fault) -> Outcome {
        let Fault { kind, head, voter, .. } = *fault;
        match kind {
            Kind::Cut | Kind::CutOneWay => {
                self.link(head, voter).into_iter().for_each(|link| link.cut(false, false));
            }
            Kind::Isolate => self.isolate(head, false),
            Kind::DeafLeader => self.deafen(voter, false),
            Kind::Slow => self.members[head].links.iter().for_each(|link| link.slow(0, 0)),
            Kind::Kill => self.begin_if_ended(head)?,
            Kind::Stop => self.members[head].head.iter().try_for_each(|head| head.stop(false))?,
            Kind::Half => (0..self.members.len()).try_for_each(|number| self.begin_if_ended(number))?,
            Kind::Empty | Kind::Damaged | Kind::Old => {
                self.kill(head)?;
                let Some(directory) = self.members[head].directory.clone() else { return Ok(()) };
                let told = |fleet: &Self, kind| match kind {
                    Kind::Old => fleet.notes.old_disks.load(Ordering::Relaxed),
                    _ => fleet.notes.ill.load(Ordering::Relaxed),
                };
                let kind = self.spoil(head, kind, &directory)?;
                let before = told(self, kind);
                self.begin(head)?;
                // It lives until its disk has been noticed; other faults may keep an old one from being heard
                // at all.
                let until = Instant::now() + HEARD;
                while told(self, kind) == before && Instant::now() < until {
                    thread::sleep(LOOK);
                }
                self.replace(head)?;
            }
        }
        Ok(())
    }

    fn begin_if_ended(&mut self, number: usize) -> Outcome {
        if self.members[number].head.is_none() { self.begin(number) } else { Ok(()) }
    }

    /// Does to a stopped voter's disk what the fault is, and says what it did.
    fn spoil(&mut self, number: usize, kind: Kind, directory: &Path) -> Outcome<Kind> {
        let file = path(directory);
        match kind {
            Kind::Empty => std::fs::remove_file(&file)?,
            Kind::Damaged => {
                let mut bytes = std::fs::read(&file)?;
                let third = bytes.len() / 3;
                bytes[..third].iter_mut().step_by(7).for_each(|byte| *byte ^= 0x55);
                std::fs::write(&file, bytes)?;
            }
            _ => {
                // A copy from before its last start, which the others have heard of. Where other faults keep
                // that start from them, nobody could tell, and the disk is lost instead.
                let copy = std::fs::read(&file)?;
                self.begin(number)?;
                let heard = || {
                    let address = lock(&self.seats).iter().find(|seat| seat.member == number)?.address?;
                    let status = call::<VoterStatus>(address, STATUS_PATH, &()).ok()?;
                    status.leader.filter(|leader| *leader != status.id)
                };
                let until = Instant::now() + HEARD;
                while heard().is_none() && Instant::now() < until {
                    thread::sleep(LOOK);
                }
                let heard = heard().is_some();
                self.kill(number)?;
                if !heard {
                    std::fs::remove_file(&file)?;
                    return Ok(Kind::Empty);
                }
                std::fs::write(&file, copy)?;
            }
        }
        Ok(kind)
    }

    /// A new voter at the same head takes the lost one's place: first the lost one goes, then the new one
    /// comes.
    fn replace(&mut self, number: usize) -> Outcome {
        self.kill(number)?;
        self.replaced += 1;
        let (directory, id) =
            (self.folder.join(format!("v{number}-{}", self.replaced)), now_us() & 0xffff_ffff_ffff);
        VoterDatabase::create(&directory, id).map_err(unmet)?;
        self.members[number].directory = Some(directory);
        let link = Link::open()?;
        let address = link.address.to_string();
        self.later.push((number, link));
        let place = lock(&self.seats).iter().position(|seat| seat.member == number);
        let Some(place) = place else { return Ok(()) };
        let lost = std::mem::replace(&mut lock(&self.seats)[place].id, id);
        // Nobody is at the lost one's place any more.
        self.members.iter().for_each(|member| member.links[place].lead_to(None));
        self.begin(number)?;
        let seats = self.seats.clone();
        let notes = self.notes.clone();
        thread::spawn(move || change_voters(&seats, &notes, lost, id, &address));
        Ok(())
    }

    fn wait_for<T>(&self, what: &str, mut done: impl FnMut(&Self) -> Option<T>) -> Outcome<T> {
        let until = Instant::now() + STUCK;
        while Instant::now() < until {
            if let Some(done) = done(self) {
                return Ok(done);
            }
            thread::sleep(LOOK);
        }
        let readings = lock(&self.notes.readings).clone();
        let seats: Vec<String> = lock(&self.seats)
            .iter()
            .map(|seat| match seat.address.map(|address| call::<VoterStatus>(address, STATUS_PATH, &())) {
                Some(Ok(s)) => format!(
                    "{}: term {} leader {:?} counts {} of {} {:?}",
                    s.id,
                    s.term,
                    s.leader,
                    s.commit,
                    s.last,
                    s.voters.keys()
                ),
                other => format!("{}: {:?}", seat.id, other.map(|told| told.map(drop))),
            })
            .collect();
        let panics = lock(&self.notes.panics).clone();
        Err(Failure::Unmet(format!(
            "never came: {what}; panics {panics:?}; heads {readings:?}; voters {seats:?}"
        )))
    }

    /// All heads hold their leases and have that edit in force.
    fn know(&self, entry: Index) -> Option<()> {
        let readings = lock(&self.notes.readings);
        let knows =
            |head: &usize| readings.get(head).is_some_and(|at| at.level == "held" && at.active >= entry);
        (0..self.members.len()).all(|head| knows(&head)).then_some(())
    }

    /// An edit that changes no rule, and how long it took until all heads had it in force.
    fn mark(&self) -> Outcome<u64> {
        let begun = Instant::now();
        let entry = self.wait_for("an edit that counts", |fleet| {
            // One that was refused stays refused: each try is another edit.
            let id = now_us();
            let text = format!("mark=plain:{id}");
            let base = read_state(&fleet.seats, true)?.latest("marks").map_or(0, |document| document.version);
            let edit = report::edit(id, "marks", base, &[text], ("rehearsal", "a mark", 0)).ok()?;
            match propose(&fleet.seats, &edit) {
                Some(ProposalOutcome::Entry(entry)) => Some(entry),
                _ => None,
            }
        })?;
        self.wait_for("all heads to have an edit in force", |fleet| fleet.know(entry))?;
        Ok(begun.elapsed().as_millis() as u64)
    }
}

impl Drop for Fleet<'_> {
    fn drop(&mut self) {
        self.notes.over.store(true, Ordering::Relaxed);
        // A process that stands still goes on to its end.
        self.members.iter().filter_map(|member| member.head.as_ref()).for_each(|head| drop(head.stop(false)));
        self.members.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn unmet(problem: impl std::fmt::Display) -> Failure {
    Failure::Unmet(problem.to_string())
}

/// One call, past all links.
fn call<A: DeserializeOwned>(address: SocketAddr, path: &str, asked: &impl serde::Serialize) -> Outcome<A> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let caller = Caller::new(CLUSTER);
    let done = runtime.block_on(caller.call(&address.to_string(), path, asked, Duration::from_secs(2)));
    done.map_err(unmet)
}

fn addresses(seats: &Mutex<Vec<Seat>>) -> Vec<SocketAddr> {
    lock(seats).iter().filter_map(|seat| seat.address).collect()
}

/// `None`: nobody who leads answered.
fn propose(seats: &Mutex<Vec<Seat>>, edit: &Edit) -> Option<ProposalOutcome> {
    addresses(seats).into_iter().find_map(|address| {
        match call::<ProposalOutcome>(address, PROPOSE_PATH, edit) {
            Ok(ProposalOutcome::NotLeader(_) | ProposalOutcome::Unknown) | Err(_) => None,
            Ok(told) => Some(told),
        }
    })
}

fn read_state(
    seats: &Mutex<Vec<Seat>>,
    linearizable: bool,
) -> Option<Box<crate::agree::document_state::DocumentState>> {
    addresses(seats).into_iter().find_map(|address| {
        match call::<StateReply>(address, STATE_PATH, &StateRequest { linearizable }) {
            Ok(StateReply::State(state)) => Some(state),
            _ => None,
        }
    })
}

/// Asks whoever leads, until both changes are made.
fn change_voters(seats: &Mutex<Vec<Seat>>, notes: &Notes, lost: VoterId, new: VoterId, address: &str) {
    while !notes.over.load(Ordering::Relaxed) {
        for at in addresses(seats) {
            let Ok(status) = call::<VoterStatus>(at, STATUS_PATH, &()) else { continue };
            if status.leader != Some(status.id) {
                continue;
            }
            let mut voters: Voters = status.voters;
            if voters.remove(&lost).is_none() && voters.insert(new, address.to_string()).is_some() {
                return;
            }
            let _ = call::<ProposalOutcome>(at, VOTERS_PATH, &voters); // whatever it says, the next look tells
        }
        thread::sleep(LOOK);
    }
}

/// Edits rules and reads them, as operators do, for as long as the run lasts.
fn operate(seats: &Mutex<Vec<Seat>>, notes: &Notes, plan: &Plan) {
    let mut draw = fastrand::Rng::with_seed(plan.seed ^ 0xed17);
    let (mut id, mut low) = (1_000_000 + draw.u64(..1_000_000) * 1_000, false);
    while !notes.over.load(Ordering::Relaxed) {
        thread::sleep(EDITS_APART);
        let asked_us = now_us();
        let Some(state) = read_state(seats, true) else { continue };
        lock(&notes.history).reads.push(Read { asked_us, told_us: now_us(), up_to: state.applied() });
        low = !low;
        let limit = |rate| ("plan/starter", "limit", Value::Limit { rate, least: 4.0 });
        let (document, field, value) = match draw.u32(..4) {
            _ if plan.lowers => limit(if low { 12.0 } else { 80.0 }),
            0 => limit([12.0, 40.0, 80.0][draw.usize(..3)]),
            1 => ("class/token-read", "attempts", Value::Attempts(draw.u32(1..4))),
            2 => ("nodes", "s-1", Value::Node(draw.bool())),
            _ => ("plan/starter", "weight", Value::Plain(format!("{}", draw.u32(1..5)))),
        };
        let base = state.latest(document).map_or(0, |document| document.version);
        // Now and then two at once on one base: one of them at most is taken.
        let both = draw.u32(..4) == 0;
        let edits: Vec<Edit> = (0..if both { 2 } else { 1 })
            .map(|_| {
                id += 1;
                let changes = BTreeMap::from([(field.to_string(), Some(value.clone()))]);
                let parts = BTreeMap::from([(document.to_string(), DocumentChange { base, changes })]);
                Edit { id, parts, who: "rehearsal".into(), why: "a change".into(), at_ms: now_us() / 1_000 }
            })
            .collect();
        let asked_us = now_us();
        let done: Vec<(u64, Option<ProposalOutcome>)> = thread::scope(|scope| {
            let asked: Vec<_> =
                edits.iter().map(|edit| scope.spawn(move || (edit.id, propose(seats, edit)))).collect();
            asked.into_iter().filter_map(|asked| asked.join().ok()).collect()
        });
        for (id, told) in done {
            if let Some(ProposalOutcome::Entry(entry)) = told {
                let told_us = now_us();
                lock(&notes.history).acknowledged.push(Acknowledged { asked_us, told_us, entry, id });
            }
        }
    }
}

/// A request of the limited plan at one of the shards.
fn request(id: &str, key: u64, class: &str, shard: usize, heads: usize) -> String {
    format!(
        "GET /api/00000003b4d60021/{key:016x} HTTP/1.1\r\nHost: app.svc\r\nX-Priority-Class: {class}\r\n\
         X-Storage-Class: starter\r\nX-Timeout-Ms: {}\r\nX-Extent: units=1,shard={shard},hosts={heads}\r\n\
         X-Request-ID: {id}\r\nContent-Length: 0\r\n\r\n",
        DEADLINE.as_millis()
    )
}

fn connect(address: SocketAddr) -> Outcome<HttpClient> {
    let client = HttpClient::connect(address)?;
    // A head that was stopped answers nobody for a while.
    client.stream.set_read_timeout(Some(4 * DEADLINE))?;
    Ok(client)
}

/// A client of one head: a request after the other, each with its one answer while the head lives.
fn ask(http: &Mutex<Option<SocketAddr>>, notes: &Notes, number: usize, heads: usize) {
    let (mut client, mut at, mut serial) = (None::<HttpClient>, None, 0u64);
    while !notes.over.load(Ordering::Relaxed) {
        thread::sleep(CLIENT_APART);
        let now = *lock(http);
        if client.is_none() || at != now {
            at = now;
            client = now.and_then(|address| connect(address).ok());
        }
        let Some(open) = &mut client else { continue };
        serial += 1;
        let class = ["token-read", "receipt-write", "once"][serial as usize % 3];
        let text = request(&format!("{number}-{serial}"), serial, class, serial as usize % NODES, heads);
        let answer =
            open.stream.write_all(text.as_bytes()).map_err(Failure::from).and_then(|()| open.receive());
        let Ok((status, head, _)) = answer else {
            client = None;
            continue;
        };
        notes.answered.fetch_add(1, Ordering::Relaxed);
        notes.served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
        if header(&head, "connection").is_some_and(|word| word.eq_ignore_ascii_case("close")) {
            client = None;
        }
    }
}

/// Notes when each request is first seen by any node.
fn watch(storage_node: StandInNode, notes: Arc<Notes>, known: Arc<Mutex<BTreeSet<String>>>) {
    for seen in &storage_node.seen {
        if let Seen::Request { head, .. } = seen
            && let Some(id) = header(&head, "x-request-id")
            && lock(&known).insert(id.to_string())
        {
            lock(&notes.history).seen.push(now_us());
        }
    }
}

/// Plays one run. `Err`: it could not be played, or never came to rest.
pub fn play(daemon: &Path, plan: &Plan, faults: &[Fault]) -> Outcome<Played> {
    let storage_nodes = (0..NODES)
        .map(|number| StandInNode::start(&format!("b-{number}")))
        .collect::<Outcome<Vec<StandInNode>>>()?;
    for storage_node in &storage_nodes {
        // One in four breaks off, so that there are second attempts.
        for number in 0..20_000 {
            storage_node.next(match number % 4 {
                3 => Answered::Cut(String::new()),
                _ => Answered::Answer(answer("200 OK", "", "ok")),
            });
        }
    }
    let mut fleet = Fleet::start(daemon, plan, &storage_nodes)?;
    let (seats, notes) = (fleet.seats.clone(), fleet.notes.clone());
    let known: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    for storage_node in storage_nodes {
        let (notes, known) = (notes.clone(), known.clone());
        thread::spawn(move || watch(storage_node, notes, known));
    }
    fleet.mark()?;
    if plan.traffic {
        for (number, member) in fleet.members.iter().enumerate() {
            let (http, notes, heads) = (member.http.clone(), notes.clone(), plan.heads);
            thread::spawn(move || ask(&http, &notes, number, heads));
        }
        let (seats, notes, plan) = (seats.clone(), notes.clone(), plan.clone());
        thread::spawn(move || operate(&seats, &notes, &plan));
    }
    let mut events: Vec<(u64, bool, &Fault)> = Vec::new();
    for fault in faults {
        events.push((fault.at_ms, true, fault));
        events.push((fault.at_ms + fault.lasts_ms, false, fault));
    }
    events.sort_by_key(|(at, begins, _)| (*at, *begins));
    let (begun, begun_us) = (Instant::now(), now_us());
    for (at, begins, fault) in events {
        thread::sleep((begun + Duration::from_millis(at)).saturating_duration_since(Instant::now()));
        if begins { fleet.break_it(fault)? } else { fleet.heal(fault)? }
    }
    // Two faults of one head may have overlapped: whatever is still broken is mended now.
    for number in 0..fleet.members.len() {
        fleet.isolate(number, false);
        fleet.members[number].links.iter().for_each(|link| link.slow(0, 0));
        fleet.begin_if_ended(number)?;
        fleet.members[number].head.iter().try_for_each(|head| head.stop(false))?;
    }
    let edit_ms = (0..MARKS).map(|_| fleet.mark()).collect::<Outcome<Vec<u64>>>()?;
    notes.over.store(true, Ordering::Relaxed);
    fleet
        .wait_for("the voters to be those that should be", |fleet| {
            let wanted: BTreeSet<VoterId> = lock(&fleet.seats).iter().map(|seat| seat.id).collect();
            let voters = read_state(&fleet.seats, false)?.latest_voters().cloned();
            let voters = voters.map_or(wanted.clone(), |voters| voters.into_keys().collect());
            (voters == wanted).then_some(())
        })
        .or_else(|problem| if fleet.replaced > 0 { Err(problem) } else { Ok(()) })?;
    let mut history = lock(&notes.history).clone();
    history.heads = plan.heads;
    let at: Vec<Seat> = lock(&seats).clone();
    for seat in at {
        let Some(address) = seat.address else { continue };
        let (mut log, mut after) = (BTreeMap::new(), 0);
        loop {
            let told: RecordsReply = call(address, RECORDS_PATH, &RecordsRequest { after, most: 1_000 })?;
            let Some(last) = told.records.last() else { break };
            after = last.index;
            log.extend(told.records.into_iter().map(|record| (record.index, record.entry)));
        }
        history.logs.push((seat.id, log));
    }
    check(history.logs.len() == VOTERS_AT_FIRST, "a voter has no log")?;
    let bytes = fleet.members.iter().flat_map(|member| &member.links).map(Link::bytes).sum();
    let mut verdict = judge(&history);
    verdict.problems.extend(lock(&notes.panics).iter().cloned());
    let (served, answered) = (notes.served.load(Ordering::Relaxed), notes.answered.load(Ordering::Relaxed));
    let old_disks = notes.old_disks.load(Ordering::Relaxed);
    Ok(Played { verdict, edit_ms, served, answered, bytes, begun_us, old_disks })
}

/// A run's figures in one line.
pub fn line(plan: &Plan, played: &Played) -> String {
    let Played { verdict, edit_ms, served, answered, bytes, old_disks, .. } = played;
    json!({"seed": plan.seed, "heads": plan.heads, "acts": verdict.acts, "edits": verdict.edits,
        "in_force": verdict.revisions, "reads": verdict.reads, "longest_us": verdict.longest_us,
        "late_us": verdict.latest_us, "edit_ms": edit_ms, "served": served, "answered": answered, "bytes": bytes,
        "old_disks": old_disks})
    .to_string()
}

/// What agreement costs and how fast it is, with nothing broken but a leader that is killed now and then.
pub fn measure(daemon: &Path, plan: &Plan) -> Outcome<Vec<String>> {
    let storage_nodes = (0..NODES)
        .map(|number| StandInNode::start(&format!("b-{number}")))
        .collect::<Outcome<Vec<StandInNode>>>()?;
    let mut fleet = Fleet::start(daemon, plan, &storage_nodes)?;
    fleet.mark()?;
    let mut told = Vec::new();
    let mut marks = (0..MEASURED).map(|_| fleet.mark()).collect::<Outcome<Vec<u64>>>()?;
    marks.sort_unstable();
    told.push(format!("edit to the last of {} heads, ms: {marks:?}", plan.heads));
    // Nobody does anything.
    let processes: Vec<u32> =
        fleet.members.iter().filter_map(|member| member.head.as_ref().map(Head::process)).collect();
    let used = |fleet: &Fleet| -> (u64, Vec<u64>) {
        let bytes = fleet.members.iter().flat_map(|member| &member.links).map(Link::bytes).sum();
        (bytes, processes.iter().map(|process| cpu_ticks(*process)).collect())
    };
    let (bytes, cpu) = used(&fleet);
    thread::sleep(IDLE);
    let (bytes_after, cpu_after) = used(&fleet);
    let ms: Vec<u64> =
        cpu.iter().zip(&cpu_after).map(|(before, after)| (after - before) * 10 / IDLE.as_secs()).collect();
    let each = (bytes_after - bytes) / IDLE.as_secs() / plan.heads as u64;
    told.push(format!(
        "idle: {each} bytes a second and head (voters' own included); CPU ms a second: {ms:?}"
    ));
    // Edits of documents of their own, from several operators.
    let (begun, seats, counted) = (Instant::now(), fleet.seats.clone(), AtomicU64::new(0));
    thread::scope(|scope| {
        for operator in 0..OPERATORS {
            let (seats, counted) = (&seats, &counted);
            scope.spawn(move || {
                let (name, mut base) = (format!("measured-{operator}"), 0);
                while begun.elapsed() < EDITING {
                    let id = now_us() * OPERATORS + operator;
                    let text = [format!("x=plain:{id}")];
                    let Ok(edit) = report::edit(id, &name, base, &text, ("rehearsal", "measured", 0)) else {
                        return;
                    };
                    if let Some(ProposalOutcome::Entry(_)) = propose(seats, &edit) {
                        counted.fetch_add(1, Ordering::Relaxed);
                        base += 1;
                    }
                }
            });
        }
    });
    let counted = counted.load(Ordering::Relaxed) as f64 / begun.elapsed().as_secs_f64();
    told.push(format!("edits a second from {OPERATORS} operators: {counted:.0}"));
    // The leader is killed, and an edit tried again and again until it counts.
    let mut gaps = Vec::new();
    for _ in 0..KILLS {
        let leader = fleet.wait_for("a leader", |fleet| {
            let seats = lock(&fleet.seats).clone();
            seats.into_iter().find_map(|seat| {
                let status = call::<VoterStatus>(seat.address?, STATUS_PATH, &()).ok()?;
                (status.leader == Some(seat.id)).then_some(seat.member)
            })
        })?;
        fleet.kill(leader)?;
        let begun = Instant::now();
        fleet.wait_for("another leader's word", |fleet| read_state(&fleet.seats, true))?;
        gaps.push(begun.elapsed().as_millis() as u64);
        fleet.begin(leader)?;
        fleet.mark()?;
    }
    gaps.sort_unstable();
    told.push(format!("from the leader's kill to the next one's word, ms: {gaps:?}"));
    // Requests in turn through a head with agreement and one without, which share nodes.
    let plain = Setup { agree: None, level: "info", ..fleet.members[plan.heads - 1].setup.clone() };
    let other = Head::start(daemon, &plain, fleet.discovery.address, fleet.known.clone())?;
    let with = fleet.members[plan.heads - 1].head.as_ref().map(|head| head.http);
    let Some(with) = with else { return Ok(told) };
    let mut took: [Vec<u64>; 2] = [Vec::new(), Vec::new()];
    let mut clients = [connect(with)?, connect(other.http)?];
    for number in 0..2 * ASKED {
        let (way, begun) = (number % 2, Instant::now());
        let text = request(&format!("m-{number}"), number as u64, "token-read", 0, 1);
        clients[way].stream.write_all(text.as_bytes())?;
        clients[way].receive()?;
        took[way].push(begun.elapsed().as_micros() as u64);
    }
    let [on, off] = took.map(|mut took| {
        took.sort_unstable();
        (took[took.len() / 2], took[took.len() * 99 / 100])
    });
    told.push(format!("a request's time in turn, {ASKED} each, us (median, 99th): on {on:?}, off {off:?}"));
    Ok(told)
}

const MEASURED: usize = 9;
const IDLE: Duration = Duration::from_secs(5);
const EDITING: Duration = Duration::from_secs(4);
const OPERATORS: u64 = 4;
const KILLS: usize = 9;
const ASKED: usize = 2_000;

/// Hundredths of a second that a process has used.
pub fn cpu_ticks(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |place: usize| fields.get(place).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    ticks(11) + ticks(12)
}
