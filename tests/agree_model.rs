//! Exhaustive model check of the agreement over small bounds: three voters, one lease holder, two edits of the same
//! base version, one crash and one network partition, in every order up to a number of steps. The test runs the
//! program's own code and only chooses the order of events.
//!
//! `MODEL_DEEPER=N` checks N more steps.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank::agree::document::{DocumentChange, Edit, LeaseLevel, Value};
use pathbank::agree::document_state::DocumentState;
use pathbank::agree::lease_holder::LeaseHolder;
use pathbank::agree::voter::{Output, PersistentState, Recipient, Voter, Voters, next_incarnation};
use pathbank::agree::{HolderId, Message, Micros, Timings, VoterId};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Process {
    Voter(usize),
    LeaseHolder,
}

#[derive(Clone, Debug)]
struct State {
    now: Micros,
    voters: Vec<Option<Voter>>,
    disks: Vec<PersistentState>,
    holder: LeaseHolder,
    /// Messages in flight, without an order, each once. Duplicated messages are tested by `tests/agree.rs`.
    in_flight: BTreeMap<String, (Process, u64, Process, Message)>,
    edits: u64,
    crashes: u32,
    cuts: u32,
    cut: Option<usize>,
    ticks: u32,
    renewals: u32,
}

#[derive(Clone, Debug)]
enum Step {
    Tick(usize),
    Deliver(String),
    Propose(usize),
    Crash(usize),
    Restart(usize),
    Cut(usize),
    Heal,
    Renew,
    /// All leases expire.
    Wait,
}

fn times() -> Timings {
    Timings {
        lease: 300,
        long_lease: 600,
        drift_ppm: 0,
        election_timeout: 1_000,
        heartbeat_interval: 100,
        retained_entries: 512,
    }
}

fn voters() -> Voters {
    (0..3).map(|id| (id, String::new())).collect()
}

impl State {
    fn new() -> State {
        let disks =
            vec![PersistentState { incarnation: next_incarnation(0, 0), ..PersistentState::default() }; 3];
        let voter = |id: VoterId| Some(Voter::new(id, &voters(), times(), disks[id as usize].clone(), 0, 0));
        let holder = LeaseHolder::new(HolderId { head: "n0".into(), start: 1 }, &voters(), times());
        State {
            now: 1,
            voters: (0..3).map(voter).collect(),
            disks,
            holder,
            in_flight: BTreeMap::new(),
            edits: 2,
            crashes: 1,
            cuts: 1,
            cut: None,
            ticks: 4,
            renewals: 3,
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = self.in_flight.keys().cloned().map(Step::Deliver).collect();
        for id in 0..3 {
            match &self.voters[id] {
                Some(voter) => {
                    // Voter 2 never starts an election: by symmetry, that would reach no further states.
                    steps.extend((self.ticks > 0 && id < 2).then_some(Step::Tick(id)));
                    steps.extend((self.edits > 0 && voter.is_leader()).then_some(Step::Propose(id)));
                    steps.extend((self.crashes > 0).then_some(Step::Crash(id)));
                }
                None => steps.push(Step::Restart(id)),
            }
            steps.extend((self.cuts > 0).then_some(Step::Cut(id)));
        }
        steps.extend(self.cut.map(|_| Step::Heal));
        if self.renewals > 0 {
            steps.extend([Step::Renew, Step::Wait]);
        }
        steps
    }

    fn send(&mut self, from: Process, incarnation: u64, to: Process, message: Message) {
        let is_cut = |process: Process| self.cut.is_some_and(|cut| process == Process::Voter(cut));
        if !is_cut(from) && !is_cut(to) {
            self.in_flight.insert(
                format!("{from:?} {incarnation} {to:?} {message:?}"),
                (from, incarnation, to, message),
            );
        }
    }

    fn carry_out(&mut self, id: usize, out: Output) {
        out.save.iter().for_each(|save| self.disks[id].apply(save));
        let incarnation = self.disks[id].incarnation;
        for (to, message) in out.send {
            let to = match to {
                Recipient::Voter(other) => Process::Voter(other as usize),
                Recipient::LeaseHolder(_) => Process::LeaseHolder,
            };
            self.send(Process::Voter(id), incarnation, to, message);
        }
    }

    fn apply(&mut self, step: &Step) {
        let now = self.now;
        match step {
            Step::Tick(id) => {
                self.ticks -= 1;
                let Some(voter) = &mut self.voters[*id] else { return };
                self.now = now.max(voter.next_tick_at());
                let out = voter.tick(self.now, 0);
                self.carry_out(*id, out);
            }
            Step::Deliver(key) => {
                let Some((from, incarnation, to, message)) = self.in_flight.remove(key) else { return };
                match (from, to) {
                    (Process::Voter(from), Process::LeaseHolder) => {
                        self.holder.step(from as VoterId, message)
                    }
                    (from, Process::Voter(id)) => {
                        let Some(voter) = &mut self.voters[id] else { return };
                        let out = match (from, message) {
                            (Process::Voter(from), message) => {
                                voter.step(now, 0, (from as VoterId, incarnation), message)
                            }
                            (
                                Process::LeaseHolder,
                                Message::LeaseRequest { holder, requested_at, prepared },
                            ) => voter.renew(now, holder, requested_at, prepared),
                            _ => return,
                        };
                        self.carry_out(id, out);
                    }
                    (Process::LeaseHolder, Process::LeaseHolder) => {}
                }
            }
            Step::Propose(id) => {
                let field = if self.edits == 2 { Value::Attempts(3) } else { Value::Attempts(1) };
                let part =
                    DocumentChange { base: 0, changes: BTreeMap::from([("tries".to_string(), Some(field))]) };
                let parts = BTreeMap::from([("class".to_string(), part)]);
                let edit = Edit { id: self.edits, parts, who: String::new(), why: String::new(), at_ms: 0 };
                self.edits -= 1;
                let out = self.voters[*id].as_mut().and_then(|voter| voter.propose(now, edit).ok());
                out.into_iter().for_each(|out| self.carry_out(*id, out));
            }
            Step::Crash(id) => {
                self.crashes -= 1;
                self.voters[*id] = None;
            }
            Step::Restart(id) => {
                self.disks[*id].incarnation = next_incarnation(self.disks[*id].incarnation, 0);
                let saved = self.disks[*id].clone();
                self.voters[*id] = Some(Voter::new(*id as VoterId, &voters(), times(), saved, now, 0));
            }
            Step::Cut(id) => {
                self.cuts -= 1;
                self.cut = Some(*id);
                let is_cut = |process: &Process| *process == Process::Voter(*id);
                self.in_flight.retain(|_, (from, _, to, _)| !is_cut(from) && !is_cut(to));
            }
            Step::Heal => self.cut = None,
            Step::Renew => {
                self.renewals -= 1;
                let message = self.holder.renew(now);
                (0..3).for_each(|id| self.send(Process::LeaseHolder, 0, Process::Voter(id), message.clone()));
            }
            Step::Wait => {
                self.renewals -= 1;
                self.now += 2 * times().long_lease;
            }
        }
    }

    /// Checks that no two voters have committed different entries, that a term has one leader, and that the lease
    /// holder violates no rule in force.
    fn violation(&self) -> Option<String> {
        let running: Vec<&Voter> = self.voters.iter().flatten().collect();
        let mut longest: Option<&Voter> = None;
        for voter in &running {
            if longest.is_none_or(|longest| longest.commit() < voter.commit()) {
                longest = Some(voter);
            }
        }
        let longest = longest?;
        for voter in &running {
            let mut replayed = DocumentState::default();
            longest
                .saved()
                .log
                .entries()
                .iter()
                .take(voter.commit() as usize)
                .for_each(|entry| replayed.apply(entry));
            if replayed.digest() != voter.state().digest() {
                return Some(format!(
                    "two different logs: {:?} and {:?}",
                    longest.saved().log,
                    voter.saved().log
                ));
            }
        }
        let leaders: BTreeSet<u64> =
            running.iter().filter(|voter| voter.is_leader()).map(|voter| voter.term()).collect();
        if leaders.len() < running.iter().filter(|voter| voter.is_leader()).count() {
            return Some("two leaders in one term".into());
        }
        let in_force = longest.state().document("class")?.fields.get("tries")?.clone();
        let effective = self.holder.view().value(self.now, "class", "tries");
        let satisfied = match &effective {
            Some(effective) => effective.satisfies(&in_force),
            None => self.holder.view().attempts(self.now, "class", "tries") == Some(1),
        };
        (!satisfied).then(|| format!("the lease holder acts on {effective:?} while {in_force:?} is in force"))
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

#[test]
fn no_order_of_steps_forks_the_log_or_violates_a_rule_in_force() {
    let deeper: usize = std::env::var("MODEL_DEEPER").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    // Three initial states: without a leader; with a leader; and with a committed edit of which the lease holder, which
    // holds its lease, does not know. From the last one, some orders of steps bring the edit into force.
    let mut elected = State::new();
    elected.apply(&Step::Tick(0));
    deliver_all(&mut elected, |_| true);
    assert!(elected.voters[0].as_ref().is_some_and(Voter::is_leader));
    let mut committed = elected.clone();
    for _ in 0..2 {
        committed.apply(&Step::Renew);
        deliver_all(&mut committed, |_| true);
    }
    committed.apply(&Step::Propose(0));
    deliver_all(&mut committed, |key| key.contains("Append"));
    assert!(
        committed.holder.view().level(committed.now) == LeaseLevel::FullLease
            && committed.voters[0].as_ref().is_some_and(|v| v.commit() > 1)
    );
    (elected.ticks, committed.ticks, committed.renewals) = (3, 4, 4);
    // The leases expire, and the leader's next heartbeat is in flight.
    committed.apply(&Step::Wait);
    committed.apply(&Step::Tick(0));
    for (initial, first, depth, min_in_force) in [
        ("without a leader", State::new(), 4, 0),
        ("with a leader", elected, 4, 0),
        ("with a committed edit", committed, 4, 1),
    ] {
        let depth = depth + deeper;
        let mut seen = HashSet::from([first.digest()]);
        let (mut frontier, mut in_force) = (vec![first], 0);
        for step in 0..depth {
            let mut next = Vec::new();
            for state in frontier {
                for step_taken in state.steps() {
                    let mut after = state.clone();
                    after.apply(&step_taken);
                    if !seen.insert(after.digest()) {
                        continue;
                    }
                    assert_eq!(
                        after.violation(),
                        None,
                        "{initial}, step {step}: {step_taken:?} from {state:?}"
                    );
                    in_force +=
                        usize::from(after.voters.iter().flatten().any(|voter| voter.state().active() > 0));
                    next.push(after);
                }
            }
            frontier = next;
        }
        println!(
            "{initial}: {} states in {depth} steps, {in_force} of them with an edit in force",
            seen.len()
        );
        assert!(seen.len() > 1_000 && in_force >= min_in_force, "{initial}: {} {in_force}", seen.len());
    }
}

/// Delivers all messages in flight that match, and those that result from them, until none is left.
fn deliver_all(state: &mut State, matches: impl Fn(&str) -> bool) {
    while let Some(key) = state.in_flight.keys().find(|key| matches(key)).cloned() {
        state.apply(&Step::Deliver(key));
    }
}
