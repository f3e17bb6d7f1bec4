//! Simulation of the agreement in virtual time. Voters and hosts (lease holders) have separate clocks; the network
//! loses, delays, duplicates and cuts off messages; processes are killed, suspended and restarted. Every action of a
//! host is checked against the documents in force. A run is determined by its seed.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::agree::document::{DocumentChange, Edit, LeaseLevel, Value};
use pathbank::agree::document_state::DocumentState;
use pathbank::agree::lease_holder::LeaseHolder;
use pathbank::agree::voter::{
    Incarnation, Output, PersistentChange, PersistentState, Recipient, Voter, Voters, next_incarnation,
};
use pathbank::agree::{Command, Entry, HolderId, Index, Message, Micros, Term, Timings, VoterId};
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Faults end here. All voters and hosts must converge before [`END`].
const FAULTS_END: Micros = 12 * S;
const END: Micros = 22 * S;
/// Limit on the events of a run, far above the usual number.
const MAX_EVENTS: u64 = 200_000;
const RENEWAL_INTERVAL: Micros = 200 * MS;
const ACTION_INTERVAL: Micros = 17 * MS;
const FIELDS: [&str; 3] = ["rate", "tries", "node"];

/// Deliberate faults in the program, each of which some seed must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    None,
    /// A voter doesn't save its votes.
    VoteUnsaved,
    /// A voter doesn't save its log entries.
    LogUnsaved,
    /// A voter restarts with an empty database.
    EmptyDisk,
    /// A restarted voter assumes that it granted no leases before.
    GrantsForgotten,
    /// Voters don't wait for leases to expire.
    ActivatedAtOnce,
    /// Voters assume that clocks don't drift.
    DriftLeftOut,
    /// A host checks its leases by a timer only.
    LeaseByTimer,
    /// A host's lease starts when the answer arrives.
    LeaseFromAnswer,
    /// A host holds a lease by one voter's grant.
    OneGrant,
    /// A voter elects itself without a majority.
    NoMajority,
    /// A voter that believes it is the leader answers reads without a barrier.
    ReadAtOnce,
}

/// Random numbers that are determined by the seed.
struct Draw(fastrand::Rng);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0.u64(..)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.0.u64(..limit.max(1))
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// A clock with an offset and a drift in parts per million.
#[derive(Clone, Copy)]
struct Clock {
    offset: Micros,
    ppm: i64,
}

impl Clock {
    fn at(&self, time: Micros) -> Micros {
        self.offset + (time as i128 * (1_000_000 + i128::from(self.ppm)) / 1_000_000) as Micros
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Process {
    Voter(VoterId),
    Host(usize),
}

enum Event {
    Tick(VoterId),
    Deliver {
        from: Process,
        /// The sender's, if it is a voter.
        incarnation: Incarnation,
        to: Process,
        message: Message,
    },
    Renew(usize),
    Act(usize),
    Edit(u64),
    Read,
    Fault,
    Heal(Fault),
    /// A voter is lost for good; a new voter with another number takes its place.
    Lose(VoterId),
    Replace,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Cut(Process, Process),
    Kill(VoterId),
    Restart(usize),
    /// A host's clock jumps forward by an hour.
    Jump(usize),
    Suspend(Process),
}

struct World {
    brk: Break,
    draw: Draw,
    now: Micros,
    serial: u64,
    events: BTreeMap<(Micros, u64), Event>,
    voter_times: Timings,
    host_times: Timings,
    voters: Vec<Option<Voter>>,
    disks: Vec<PersistentState>,
    /// The voter that is lost for good.
    lost: Option<VoterId>,
    voter_clocks: Vec<Clock>,
    hosts: Vec<LeaseHolder>,
    host_clocks: Vec<Clock>,
    /// The leases at the last timer, for [`Break::LeaseByTimer`].
    seen_level: Vec<LeaseLevel>,
    incarnation: u64,
    cut: BTreeSet<(Process, Process)>,
    suspended: BTreeMap<Process, Micros>,
    loss: u64,
    // The state of the checks: all committed entries, their digests and the resulting state.
    committed: Vec<Entry>,
    digests: Vec<[u8; 32]>,
    truth: DocumentState,
    proposed: BTreeMap<u64, Edit>,
    /// Actions by the lease level.
    actions: [u64; 3],
    /// Pending reads: the voter, the index and term of the barrier, and the oldest version that the answer may have.
    reads: Vec<(VoterId, Index, Term, u64)>,
    /// Answered reads.
    answered: u64,
    problems: Vec<String>,
}

fn voter_ids() -> Vec<VoterId> {
    vec![0, 1, 2]
}

fn voters(ids: &[VoterId]) -> Voters {
    ids.iter().map(|id| (*id, String::new())).collect()
}

impl World {
    fn new(seed: u64, hosts: usize, brk: Break) -> World {
        let mut draw = Draw(fastrand::Rng::with_seed(seed));
        let retained_entries = [3, 512][draw.below(2) as usize];
        let times = Timings { long_lease: 3 * S, drift_ppm: 100_000, retained_entries, ..Timings::default() };
        let voter_times = match brk {
            Break::ActivatedAtOnce => Timings { lease: 0, long_lease: 0, ..times },
            Break::DriftLeftOut => Timings { drift_ppm: 0, ..times },
            _ => times,
        };
        let mut clock = || Clock { offset: draw.below(3_600 * S), ppm: draw.below(200_001) as i64 - 100_000 };
        let voter_clocks: Vec<Clock> = (0..4).map(|_| clock()).collect();
        let host_clocks: Vec<Clock> = (0..hosts).map(|_| clock()).collect();
        let loss = [0, 5, 20][draw.below(3) as usize];
        let mut world = World {
            brk,
            draw,
            now: 0,
            serial: 0,
            events: BTreeMap::new(),
            voter_times,
            host_times: times,
            voters: Vec::new(),
            disks: Vec::new(),
            lost: None,
            voter_clocks,
            hosts: Vec::new(),
            host_clocks,
            seen_level: vec![LeaseLevel::NoLease; hosts],
            incarnation: 0,
            cut: BTreeSet::new(),
            suspended: BTreeMap::new(),
            loss,
            committed: Vec::new(),
            digests: Vec::new(),
            truth: DocumentState::default(),
            proposed: BTreeMap::new(),
            actions: [0; 3],
            reads: Vec::new(),
            answered: 0,
            problems: Vec::new(),
        };
        for id in voter_ids() {
            world.start_new_voter(id);
        }
        if world.draw.chance(40) {
            let (id, at) = (world.draw.below(3) as VoterId, 2 * S + world.draw.below(8 * S));
            world.after(at, Event::Lose(id));
        }
        for host in 0..hosts {
            let holder = world.holder(host);
            world.hosts.push(holder);
            world.after(host as u64 * 7 * MS, Event::Renew(host));
            world.after(host as u64 * 3 * MS, Event::Act(host));
        }
        for number in 0..14 {
            world.after(S + number * 700 * MS, Event::Edit(number));
        }
        for number in 0..20 {
            world.after(1_350 * MS + number * 490 * MS, Event::Read);
        }
        for number in 0..12 {
            let at = 2 * S + number * 800 * MS;
            world.after(at, Event::Fault);
        }
        world
    }

    /// Starts a voter with an empty database.
    fn start_new_voter(&mut self, id: VoterId) {
        self.voters.push(None);
        self.disks.push(PersistentState::default());
        self.voters[id as usize] = Some(self.voter(id));
        self.after(id * MS, Event::Tick(id));
    }

    fn voter(&mut self, id: VoterId) -> Voter {
        let now = self.voter_clocks[id as usize].at(self.now);
        let voters = voters(&if self.brk == Break::NoMajority { vec![id] } else { voter_ids() });
        let started = match self.brk {
            Break::GrantsForgotten => now.saturating_sub(100 * S),
            _ => now,
        };
        let draw = self.draw.next();
        Voter::new(id, &voters, self.voter_times, self.disks[id as usize].clone(), started, draw)
    }

    fn holder(&mut self, host: usize) -> LeaseHolder {
        self.incarnation += 1;
        let id = HolderId { head: format!("n{host}"), start: self.incarnation };
        let voters =
            voters(&if self.brk == Break::OneGrant { vec![host as VoterId % 3] } else { voter_ids() });
        LeaseHolder::new(id, &voters, self.host_times)
    }

    fn after(&mut self, time: Micros, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + time, self.serial), event);
    }

    fn send(&mut self, from: Process, to: Process, message: Message) {
        if self.cut.contains(&(from, to)) || self.now < FAULTS_END && self.draw.chance(self.loss) {
            return;
        }
        let incarnation = match from {
            Process::Voter(id) => self.disks[id as usize].incarnation,
            Process::Host(_) => 0,
        };
        let copies = if self.draw.chance(5) { 2 } else { 1 };
        for _ in 0..copies {
            let max_delay = if self.draw.chance(5) { 1_500 * MS } else { 8 * MS };
            let delay = MS / 5 + self.draw.below(max_delay);
            self.after(delay, Event::Deliver { from, incarnation, to, message: message.clone() });
        }
    }

    fn carry_out(&mut self, id: VoterId, out: Output) {
        for save in &out.save {
            let is_lost = matches!(
                (self.brk, save),
                (Break::VoteUnsaved, PersistentChange::Vote { .. })
                    | (Break::LogUnsaved, PersistentChange::Append(..))
            );
            if !is_lost {
                self.disks[id as usize].apply(save);
            }
        }
        for (to, message) in out.send {
            let to = match to {
                Recipient::Voter(other) => Process::Voter(other),
                Recipient::LeaseHolder(holder) => {
                    let Some(host) = self.hosts.iter().position(|host| *host.id() == holder) else {
                        continue;
                    };
                    Process::Host(host)
                }
            };
            self.send(Process::Voter(id), to, message);
        }
        self.audit_voter(id);
        self.answer_reads(id);
    }

    /// Checks that an entry that one voter knows to be committed is the same at all voters.
    fn audit_voter(&mut self, id: VoterId) {
        let Some(voter) = &self.voters[id as usize] else { return };
        let commit = voter.commit() as usize;
        // The persistent state has entries that the voter has dropped from memory.
        let (disk, digest, read) =
            (&self.disks[id as usize], *voter.state().digest(), voter.state().applied());
        let first = disk.log.base().index as usize;
        let committed = commit.saturating_sub(first);
        let entries: Vec<Entry> = disk.log.entries().iter().take(committed).cloned().collect();
        for (place, entry) in (first..).zip(entries) {
            match self.committed.get(place) {
                Some(known) if *known == entry => {}
                None if place == self.committed.len() => {
                    self.truth.apply(&entry);
                    self.committed.push(entry);
                    self.digests.push(*self.truth.digest());
                }
                _ => return self.problem(format!("voter {id} has a different entry {}", place + 1)),
            }
        }
        if read > 0 && self.digests.get(read as usize - 1) != Some(&digest) {
            self.problem(format!("voter {id} has a different state after entry {read}"));
        }
    }

    fn problem(&mut self, what: String) {
        if self.problems.len() < 3 {
            self.problems.push(format!("{} ms: {what}", self.now / MS));
        }
    }

    /// A host acts. Checks that the values on which it acts satisfy those in force.
    fn act(&mut self, host: usize) {
        let now = self.host_clocks[host].at(self.now);
        let holder = &self.hosts[host];
        let level = match self.brk {
            Break::LeaseByTimer => self.seen_level[host],
            _ => holder.view().level(now),
        };
        self.actions[level as usize] += 1;
        for field in FIELDS {
            let effective = match self.brk {
                Break::LeaseByTimer => {
                    holder.state().effective_value("plan", field).map(|value| value.at_level(level))
                }
                _ => holder.view().value(now, "plan", field),
            };
            let in_force =
                self.truth.document("plan").and_then(|document| document.fields.get(field).cloned());
            let Some(in_force) = in_force else { continue };
            let satisfied = match &effective {
                Some(effective) => effective.satisfies(&in_force),
                // Only a host without leases, which does nothing, may not know a rule in force.
                None => level == LeaseLevel::NoLease,
            };
            if !satisfied {
                let text =
                    format!("host {host} at {level:?} acts on {effective:?} while {in_force:?} is in force");
                return self.problem(text);
            }
        }
    }

    fn propose(&mut self, number: u64) {
        let field = FIELDS[self.draw.below(3) as usize];
        let lax = self.draw.chance(50);
        let value = match field {
            "rate" if lax => Value::Limit { rate: 9.0, least: 1.0 },
            "rate" => Value::Limit { rate: 2.0, least: 1.0 },
            "tries" => Value::Attempts(if lax { 3 } else { 1 }),
            _ => Value::Node(lax),
        };
        let leaders: Vec<usize> = (0..self.voters.len())
            .filter(|id| self.voters[*id].as_ref().is_some_and(Voter::is_leader))
            .collect();
        // The chosen voter may be a leader of an earlier term that has not stepped down yet.
        let Some(id) = leaders.first().copied() else { return };
        let id = leaders[self.draw.below(leaders.len() as u64) as usize].max(id);
        if self.suspended.contains_key(&Process::Voter(id as VoterId)) {
            return;
        }
        let now = self.voter_clocks[id].at(self.now);
        let Some(voter) = &mut self.voters[id] else { return };
        let base = voter.state().latest("plan").map_or(0, |document| document.version);
        let edit = Edit {
            id: number,
            parts: BTreeMap::from([(
                "plan".to_string(),
                DocumentChange { base, changes: BTreeMap::from([(field.to_string(), Some(value))]) },
            )]),
            who: "ops".into(),
            why: "a change".into(),
            at_ms: 0,
        };
        self.proposed.insert(number, edit.clone());
        if let Ok(out) = voter.propose(now, edit) {
            self.carry_out(id as VoterId, out);
        }
    }

    /// Reads from every voter that believes it is the leader. The answer must include everything committed before.
    fn read(&mut self) {
        let version = |state: &DocumentState| state.latest("plan").map_or(0, |document| document.version);
        let known = version(&self.truth);
        for id in 0..self.voters.len() as VoterId {
            let now = self.voter_clocks[id as usize].at(self.now);
            let suspended = self.suspended.contains_key(&Process::Voter(id));
            let Some(voter) = self.voters[id as usize].as_mut().filter(|_| !suspended) else { continue };
            if self.brk == Break::ReadAtOnce && voter.is_leader() {
                if version(voter.state()) < known {
                    self.problem(format!("voter {id} answered with an old version"));
                }
            } else if let Ok((index, out)) = voter.propose_read_barrier(now) {
                self.reads.push((id, index, voter.term(), known));
                self.carry_out(id, out);
            }
        }
    }

    /// Answers the reads whose barrier is committed, and checks the version.
    fn answer_reads(&mut self, id: VoterId) {
        let Some(voter) = &self.voters[id as usize] else { return };
        let (commit, term) = (voter.commit(), voter.term());
        let version = voter.state().latest("plan").map_or(0, |document| document.version);
        let is_done = |(at, index, of, _): &mut (VoterId, Index, Term, u64)| {
            *at == id && (*of != term || *index <= commit)
        };
        for (_, _, of, known) in self.reads.extract_if(.., is_done).collect::<Vec<_>>() {
            if of == term {
                self.answered += 1;
                if version < known {
                    self.problem(format!(
                        "voter {id} answered with version {version} after {known} was committed"
                    ));
                }
            }
        }
    }

    fn inject_fault(&mut self) {
        let process = |draw: &mut Draw, hosts: usize| match draw.below(3 + hosts as u64) {
            id @ 0..3 => Process::Voter(id as VoterId),
            host => Process::Host(host as usize - 3),
        };
        let hosts = self.hosts.len();
        let lasts = 300 * MS + self.draw.below(2_500 * MS);
        let fault = match self.draw.below(7) {
            0 | 1 => {
                let (a, b) = (process(&mut self.draw, hosts), process(&mut self.draw, hosts));
                Fault::Cut(a, b)
            }
            2 => {
                // One process is cut off from all others, in one direction or both.
                let (one, both) = (process(&mut self.draw, hosts), self.draw.chance(60));
                let all = (0..3).map(Process::Voter).chain((0..hosts).map(Process::Host));
                for other in all.filter(|other| *other != one).collect::<Vec<_>>() {
                    self.cut.insert((one, other));
                    self.after(lasts, Event::Heal(Fault::Cut(one, other)));
                    if both {
                        self.cut.insert((other, one));
                        self.after(lasts, Event::Heal(Fault::Cut(other, one)));
                    }
                }
                return;
            }
            3 => Fault::Kill(self.draw.below(3) as VoterId),
            4 => Fault::Restart(self.draw.below(hosts as u64) as usize),
            5 => Fault::Jump(self.draw.below(hosts as u64) as usize),
            _ => Fault::Suspend(process(&mut self.draw, hosts)),
        };
        match fault {
            Fault::Cut(a, b) => drop(self.cut.insert((a, b))),
            Fault::Kill(id) => self.voters[id as usize] = None,
            Fault::Restart(host) => {
                self.hosts[host] = self.holder(host);
                self.seen_level[host] = LeaseLevel::NoLease;
                return;
            }
            Fault::Jump(host) => {
                self.host_clocks[host].offset += 3_600 * S;
                return;
            }
            Fault::Suspend(process) => drop(self.suspended.insert(process, self.now + lasts)),
        }
        self.after(lasts, Event::Heal(fault));
    }

    fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::Cut(a, b) => drop(self.cut.remove(&(a, b))),
            Fault::Kill(id) if self.voters[id as usize].is_none() && self.lost != Some(id) => {
                if self.brk == Break::EmptyDisk {
                    let incarnation = self.disks[id as usize].incarnation;
                    self.disks[id as usize] = PersistentState { incarnation, ..PersistentState::default() };
                }
                let next = next_incarnation(self.disks[id as usize].incarnation, self.draw.next());
                self.disks[id as usize].incarnation = next;
                self.voters[id as usize] = Some(self.voter(id));
                self.after(0, Event::Tick(id));
            }
            Fault::Suspend(process) => drop(self.suspended.remove(&process)),
            _ => {}
        }
    }

    /// When a suspended process resumes; it then handles the deferred events in their order.
    fn deferred(&self, event: &Event) -> Option<Micros> {
        let process = match event {
            Event::Tick(id) => Process::Voter(*id),
            Event::Deliver { to, .. } => *to,
            Event::Renew(host) | Event::Act(host) => Process::Host(*host),
            _ => return None,
        };
        self.suspended.get(&process).copied()
    }

    fn step(&mut self, event: Event) {
        if let Some(until) = self.deferred(&event) {
            self.after(until.saturating_sub(self.now) + 1, event);
            return;
        }
        match event {
            Event::Tick(id) => {
                let (clock, draw) = (self.voter_clocks[id as usize], self.draw.next());
                let now = clock.at(self.now);
                let Some(voter) = &mut self.voters[id as usize] else { return };
                let out = voter.tick(now, draw);
                let wait = voter.next_tick_at().saturating_sub(now).clamp(MS, 50 * MS);
                self.carry_out(id, out);
                self.after(wait, Event::Tick(id));
            }
            Event::Deliver { from, incarnation, to: Process::Voter(id), message } => {
                let (now, draw) = (self.voter_clocks[id as usize].at(self.now), self.draw.next());
                let Some(voter) = &mut self.voters[id as usize] else { return };
                let out = match (from, message) {
                    (Process::Voter(other), message) => voter.step(now, draw, (other, incarnation), message),
                    (Process::Host(_), Message::LeaseRequest { holder, requested_at, prepared }) => {
                        voter.renew(now, holder, requested_at, prepared)
                    }
                    _ => return,
                };
                self.carry_out(id, out);
            }
            Event::Deliver { from, to: Process::Host(host), mut message, .. } => {
                let Process::Voter(from) = from else { return };
                if let (Break::LeaseFromAnswer, Message::LeaseReply { requested_at, .. }) =
                    (self.brk, &mut message)
                {
                    *requested_at = self.host_clocks[host].at(self.now);
                }
                self.hosts[host].step(from, message);
            }
            Event::Renew(host) => {
                let now = self.host_clocks[host].at(self.now);
                self.seen_level[host] = self.hosts[host].view().level(now);
                let message = self.hosts[host].renew(now);
                let voters: Vec<VoterId> = self.hosts[host].voters().keys().copied().collect();
                for id in voters {
                    self.send(Process::Host(host), Process::Voter(id), message.clone());
                }
                self.after(RENEWAL_INTERVAL, Event::Renew(host));
            }
            Event::Act(host) => {
                self.act(host);
                self.after(ACTION_INTERVAL, Event::Act(host));
            }
            Event::Edit(number) => self.propose(number),
            Event::Read => self.read(),
            Event::Fault => self.inject_fault(),
            Event::Lose(id) => {
                self.lost = Some(id);
                self.voters[id as usize] = None;
                self.start_new_voter(3);
                self.after(0, Event::Replace);
            }
            Event::Replace => self.replace(),
            Event::Heal(fault) => self.heal(fault),
        }
    }

    fn run(mut self) -> World {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > END || !self.problems.is_empty() {
                break;
            }
            self.now = at;
            self.step(event);
            if self.serial > MAX_EVENTS {
                self.problem("too many events".into());
            }
        }
        if self.problems.is_empty() {
            self.check_convergence();
        }
        self
    }

    /// Replaces the lost voter: removes it, then adds the new one. Repeats the changes at every leader.
    fn replace(&mut self) {
        let Some(lost) = self.lost else { return };
        for id in 0..self.voters.len() {
            let (now, suspended) = (
                self.voter_clocks[id].at(self.now),
                self.suspended.contains_key(&Process::Voter(id as VoterId)),
            );
            let Some(voter) = self.voters[id].as_mut().filter(|voter| voter.is_leader() && !suspended) else {
                continue;
            };
            let mut wanted = voter.voters().clone();
            if wanted.remove(&lost).is_none() {
                wanted.insert(3, String::new());
            }
            if let Ok(out) = voter.change_membership(now, wanted) {
                self.carry_out(id as VoterId, out);
            }
        }
        self.after(300 * MS, Event::Replace);
    }

    /// Checks that all voters and hosts have the same state, and every committed edit is in force.
    fn check_convergence(&mut self) {
        let expected = match self.lost {
            Some(lost) => voter_ids().into_iter().filter(|id| *id != lost).chain([3]).collect(),
            None => voter_ids(),
        };
        if self.lost.is_some() && self.truth.latest_voters() != Some(&voters(&expected)) {
            return self
                .problem(format!("the lost voter was never replaced: {:?}", self.truth.latest_voters()));
        }
        for id in expected.into_iter().map(|id| id as usize) {
            let Some(voter) = &self.voters[id] else { return self.problem(format!("voter {id} is down")) };
            if voter.state() != &self.truth {
                return self.problem(format!("voter {id} has a different state"));
            }
        }
        if self.truth.prepared() != self.truth.active() {
            return self.problem("an edit never came into force".into());
        }
        for host in 0..self.hosts.len() {
            let now = self.host_clocks[host].at(self.now);
            if self.hosts[host].view().level(now) != LeaseLevel::FullLease
                || self.hosts[host].state() != &self.truth
            {
                return self.problem(format!("host {host} has no lease or a different state"));
            }
        }
    }

    /// Whether the run committed no edit or answered no read.
    fn made_no_progress(&self) -> bool {
        self.answered == 0 || !self.proposed.keys().any(|id| self.truth.result(*id).is_some())
    }
}

fn simulate(seed: u64, brk: Break) -> World {
    World::new(seed, 5, brk).run()
}

/// The time from an edit's proposal until it is in force at all hosts, without faults other than those of messages.
fn time_to_reach_all(seed: u64, hosts: usize) -> Option<Micros> {
    let mut world = World::new(seed, hosts, Break::None);
    world.events.retain(|_, event| matches!(event, Event::Tick(_) | Event::Renew(_)));
    world.after(5 * S, Event::Edit(1));
    while let Some(((at, _), event)) = world.events.pop_first() {
        world.now = at;
        world.step(event);
        let has_edit = |holder: &LeaseHolder| holder.state().active() > 0;
        if at > 5 * S && world.hosts.iter().all(has_edit) {
            return Some(at - 5 * S);
        }
        if at > END {
            break;
        }
    }
    None
}

#[test]
fn an_edit_reaches_every_process_for_any_number_of_processes() {
    let many = std::env::var("AGREE_HEADS").ok().and_then(|text| text.parse().ok()).unwrap_or(30);
    for hosts in [3, many] {
        let mut times: Vec<Micros> =
            (0..5).filter_map(|seed| time_to_reach_all(seed, hosts)).map(|time| time / MS).collect();
        times.sort_unstable();
        println!("{hosts} hosts, ms from proposal until in force at all hosts: {times:?}");
        assert_eq!(times.len(), 5, "{hosts} hosts: some edit never came into force");
    }
}

/// The number of seeds to run; `AGREE_SEEDS` overrides it for a long run.
fn seeds(default: u64) -> u64 {
    std::env::var("AGREE_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn no_process_violates_a_rule_in_force_under_faults_and_all_converge_afterwards() {
    let (mut actions, mut committed, mut stalled) = ([0; 3], 0, 0);
    for seed in 0..seeds(60) {
        let world = simulate(seed, Break::None);
        assert!(world.problems.is_empty(), "seed {seed}: {:?}", world.problems);
        (0..3).for_each(|level| actions[level] += world.actions[level]);
        stalled += u64::from(world.made_no_progress());
        committed += world.proposed.keys().filter(|id| world.truth.result(**id).is_some()).count();
    }
    // Regression: with this seed, a snapshot delayed past a restart once removed entries that the leader took for
    // replicated.
    let world = simulate(7083, Break::None);
    assert_eq!(world.problems, Vec::<String>::new(), "seed 7083");
    println!(
        "actions without a lease, on the long lease, on both: {actions:?}; edits committed: {committed}; runs without progress: {stalled}"
    );
    assert!(stalled <= seeds(60) / 100, "{stalled} runs committed no edit or answered no read");
    // The runs cover all lease levels, and most actions are under both leases.
    assert!(
        actions.iter().all(|actions| *actions > 0) && actions[2] > actions[0] + actions[1],
        "{actions:?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let summary = |world: World| (world.actions, world.committed, world.serial);
    assert_eq!(summary(simulate(7, Break::None)), summary(simulate(7, Break::None)));
}

/// The first seed that detects the fault.
fn first_detection(brk: Break, seeds: u64) -> Option<(u64, String)> {
    (0..seeds).find_map(|seed| simulate(seed, brk).problems.first().map(|problem| (seed, problem.clone())))
}

macro_rules! breaks {
    ($($test:ident $brk:ident $seed:literal)*) => {
        $(#[test]
        fn $test() {
            let found = match std::env::var("AGREE_SEEDS") {
                Ok(_) => first_detection(Break::$brk, seeds(0)),
                Err(_) => simulate($seed, Break::$brk).problems.first().map(|problem| ($seed, problem.clone())),
            };
            println!("{:?}: {found:?}", Break::$brk);
            assert!(found.is_some(), "{:?} is not detected", Break::$brk);
        })*
    };
}

/// The lease barrier must survive a restart. If it is not saved, a message that is delayed past the restart lets the
/// voter grant a lease to a process that lacks a committed edit. Seeds rarely reach this case, so it is tested
/// directly.
#[test]
fn an_unsaved_lease_barrier_is_detected() {
    let edit = Edit {
        id: 1,
        parts: BTreeMap::from([(
            "plan".to_string(),
            DocumentChange {
                base: 0,
                changes: BTreeMap::from([("tries".to_string(), Some(Value::Attempts(1)))]),
            },
        )]),
        who: "ops".into(),
        why: "a change".into(),
        at_ms: 0,
    };
    let entry = |command| Entry { term: 1, command };
    let append = |entries: Vec<Entry>| {
        let commit = entries.len() as Index;
        Message::AppendRequest { term: 1, previous_index: 0, previous_term: 0, entries, commit }
    };
    let delayed = append(vec![entry(Command::Noop)]);
    let all = append(vec![entry(Command::Noop), entry(Command::Edit(edit))]);
    let leader = (1, next_incarnation(0, 0));
    for (saved, expected) in [(true, false), (false, true)] {
        let mut disk = PersistentState::default();
        let mut voter = Voter::new(0, &voters(&voter_ids()), Timings::default(), disk.clone(), 0, 0);
        let output = voter.step(1, 0, leader, all.clone());
        let kept = |save: &&PersistentChange| saved || !matches!(save, PersistentChange::Barrier(_));
        output.save.iter().filter(kept).for_each(|save| disk.apply(save));
        // The voter restarts, and the new process gets the leader's first message.
        let mut voter = Voter::new(0, &voters(&voter_ids()), Timings::default(), disk, 2, 0);
        voter.step(3, 0, leader, delayed.clone());
        let holder = HolderId { head: "n0".into(), start: 1 };
        let reply = voter.renew(4, holder, 0, 1).send.pop();
        let Some((_, Message::LeaseReply { granted, .. })) = reply else { panic!("{reply:?}") };
        assert_eq!(
            granted, expected,
            "a lease for a host that lacks a committed edit: barrier saved {saved}"
        );
    }
}

/// A snapshot is delayed past a restart, after which the voter knows only the entries of its own snapshot to be
/// committed. The delayed snapshot must not remove later entries that the voter has acknowledged.
#[test]
fn a_late_snapshot_removes_no_acknowledged_entries() {
    let entry = |term| Entry { term, command: Command::Noop };
    let log: Vec<Entry> = [1, 1, 1, 2, 2, 2].map(entry).into();
    let state = |to: usize| {
        let mut state = DocumentState::default();
        log[..to].iter().for_each(|entry| state.apply(entry));
        Box::new(state)
    };
    let leader = (1, next_incarnation(0, 0));
    // The snapshot's last entry, the term that the message gives it, and the voter's expected last entry.
    for (to, last_term, last) in [(4, 2, 6), (6, 2, 6), (3, 1, 6), (4, 1, 4)] {
        let mut disk = PersistentState::default();
        let mut voter = Voter::new(0, &voters(&voter_ids()), Timings::default(), disk.clone(), 0, 0);
        let append = Message::AppendRequest {
            term: 2,
            previous_index: 0,
            previous_term: 0,
            entries: log.clone(),
            commit: 2,
        };
        let output = voter.step(1, 0, leader, append);
        assert!(
            matches!(output.send[..], [(_, Message::AppendReply { accepted: true, matched: 6, .. })]),
            "{output:?}"
        );
        output.save.iter().for_each(|save| disk.apply(save));
        let mut voter = Voter::new(0, &voters(&voter_ids()), Timings::default(), disk.clone(), 2, 0);
        let delayed = Message::Snapshot { term: 2, last_term, state: state(to) };
        let out = voter.step(3, 0, leader, delayed);
        out.save.iter().for_each(|save| disk.apply(save));
        let on_disk = disk.log.last_index();
        assert_eq!(
            (voter.last_index(), on_disk, voter.commit()),
            (last, last, to as Index),
            "{to} {last_term}"
        );
        assert_eq!(voter.state(), &*state(to), "{to} {last_term}");
    }
}

// Each fault runs with a seed that detects it; with `AGREE_SEEDS`, the tests search for the first such seed.
breaks! {
    a_vote_that_is_not_saved_is_detected VoteUnsaved 2263
    a_log_that_is_not_saved_is_detected LogUnsaved 0
    an_empty_disk_is_detected EmptyDisk 1
    forgotten_grants_are_detected GrantsForgotten 71
    an_activation_without_waiting_for_leases_is_detected ActivatedAtOnce 0
    ignored_clock_drift_is_detected DriftLeftOut 182
    a_lease_that_is_checked_by_a_timer_is_detected LeaseByTimer 3
    a_lease_counted_from_the_answer_is_detected LeaseFromAnswer 3000
    a_lease_by_one_grant_is_detected OneGrant 0
    an_election_without_majority_is_detected NoMajority 0
    a_read_without_a_barrier_is_detected ReadAtOnce 79
}
