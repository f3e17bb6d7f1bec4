//! Agreement over small bounds, exhaustively: three voters, a head, two edits on one base, one crash and one
//! cut, in every order of so many steps. The same code as everywhere; only the order of things is chosen
//! here, all of it.
//!
//! `MODEL_DEEPER=N` goes N steps deeper.

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
enum Who {
    Voter(usize),
    Head,
}

#[derive(Clone, Debug)]
struct State {
    now: Micros,
    voters: Vec<Option<Voter>>,
    disks: Vec<PersistentState>,
    head: LeaseHolder,
    /// On their way, in no order, each once: a message that is told twice changes nothing, which the other
    /// rig plays.
    sent: BTreeMap<String, (Who, u64, Who, Message)>,
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
    Back(usize),
    Cut(usize),
    Heal,
    Renew,
    /// All leases run out.
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
        let head = LeaseHolder::new(HolderId { head: "n0".into(), start: 1 }, &voters(), times());
        State {
            now: 1,
            voters: (0..3).map(voter).collect(),
            disks,
            head,
            sent: BTreeMap::new(),
            edits: 2,
            crashes: 1,
            cuts: 1,
            cut: None,
            ticks: 4,
            renewals: 3,
        }
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = self.sent.keys().cloned().map(Step::Deliver).collect();
        for id in 0..3 {
            match &self.voters[id] {
                Some(voter) => {
                    // Voter 2 never stands: which of them does is the same seen from another side.
                    steps.extend((self.ticks > 0 && id < 2).then_some(Step::Tick(id)));
                    steps.extend((self.edits > 0 && voter.is_leader()).then_some(Step::Propose(id)));
                    steps.extend((self.crashes > 0).then_some(Step::Crash(id)));
                }
                None => steps.push(Step::Back(id)),
            }
            steps.extend((self.cuts > 0).then_some(Step::Cut(id)));
        }
        steps.extend(self.cut.map(|_| Step::Heal));
        if self.renewals > 0 {
            steps.extend([Step::Renew, Step::Wait]);
        }
        steps
    }

    fn put(&mut self, from: Who, incarnation: u64, to: Who, message: Message) {
        let cut = |who: Who| self.cut.is_some_and(|cut| who == Who::Voter(cut));
        if !cut(from) && !cut(to) {
            self.sent.insert(
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
                Recipient::Voter(other) => Who::Voter(other as usize),
                Recipient::LeaseHolder(_) => Who::Head,
            };
            self.put(Who::Voter(id), incarnation, to, message);
        }
    }

    fn take(&mut self, step: &Step) {
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
                let Some((from, incarnation, to, message)) = self.sent.remove(key) else { return };
                match (from, to) {
                    (Who::Voter(from), Who::Head) => self.head.step(from as VoterId, message),
                    (from, Who::Voter(id)) => {
                        let Some(voter) = &mut self.voters[id] else { return };
                        let out = match (from, message) {
                            (Who::Voter(from), message) => {
                                voter.step(now, 0, (from as VoterId, incarnation), message)
                            }
                            (Who::Head, Message::LeaseRequest { holder, requested_at, prepared }) => {
                                voter.renew(now, holder, requested_at, prepared)
                            }
                            _ => return,
                        };
                        self.carry_out(id, out);
                    }
                    (Who::Head, Who::Head) => {}
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
            Step::Back(id) => {
                self.disks[*id].incarnation = next_incarnation(self.disks[*id].incarnation, 0);
                let saved = self.disks[*id].clone();
                self.voters[*id] = Some(Voter::new(*id as VoterId, &voters(), times(), saved, now, 0));
            }
            Step::Cut(id) => {
                self.cuts -= 1;
                self.cut = Some(*id);
                let held = |who: &Who| *who == Who::Voter(*id);
                self.sent.retain(|_, (from, _, to, _)| !held(from) && !held(to));
            }
            Step::Heal => self.cut = None,
            Step::Renew => {
                self.renewals -= 1;
                let message = self.head.renew(now);
                (0..3).for_each(|id| self.put(Who::Head, 0, Who::Voter(id), message.clone()));
            }
            Step::Wait => {
                self.renewals -= 1;
                self.now += 2 * times().long_lease;
            }
        }
    }

    /// No two voters hold different entries for good, and the head acts against none of them that is in
    /// force.
    fn validation_error(&self) -> Option<String> {
        let known: Vec<&Voter> = self.voters.iter().flatten().collect();
        let mut longest: Option<&Voter> = None;
        for voter in &known {
            if longest.is_none_or(|longest| longest.commit() < voter.commit()) {
                longest = Some(voter);
            }
        }
        let longest = longest?;
        for voter in &known {
            let mut read = DocumentState::default();
            longest
                .saved()
                .log
                .entries()
                .iter()
                .take(voter.commit() as usize)
                .for_each(|entry| read.apply(entry));
            if read.digest() != voter.state().digest() {
                return Some(format!("two logs: {:?} and {:?}", longest.saved().log, voter.saved().log));
            }
        }
        let leaders: BTreeSet<u64> =
            known.iter().filter(|voter| voter.is_leader()).map(|voter| voter.term()).collect();
        if leaders.len() < known.iter().filter(|voter| voter.is_leader()).count() {
            return Some("two leaders in one term".into());
        }
        let in_force = longest.state().document("class")?.fields.get("tries")?.clone();
        let effective = self.head.view().value(self.now, "class", "tries");
        let kept = match &effective {
            Some(effective) => effective.satisfies(&in_force),
            None => self.head.view().attempts(self.now, "class", "tries") == Some(1),
        };
        (!kept).then(|| format!("acts on {effective:?} where {in_force:?} is in force"))
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

#[test]
fn in_every_order_of_steps_the_log_does_not_fork_and_no_act_breaks_a_rule_in_force() {
    let deeper: usize = std::env::var("MODEL_DEEPER").ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    // Before a leader is chosen; after that; and when the head holds its lease, the first edit counts and the
    // head does not know of it: from there on the ways lead to where it is in force.
    let mut chosen = State::new();
    chosen.take(&Step::Tick(0));
    deliver_all(&mut chosen, |_| true);
    assert!(chosen.voters[0].as_ref().is_some_and(Voter::is_leader));
    let mut counts = chosen.clone();
    for _ in 0..2 {
        counts.take(&Step::Renew);
        deliver_all(&mut counts, |_| true);
    }
    counts.take(&Step::Propose(0));
    deliver_all(&mut counts, |key| key.contains("Append"));
    assert!(
        counts.head.view().level(counts.now) == LeaseLevel::FullLease
            && counts.voters[0].as_ref().is_some_and(|v| v.commit() > 1)
    );
    (chosen.ticks, counts.ticks, counts.renewals) = (3, 4, 4);
    // Its leases run out, and the leader's next beat is on its way.
    counts.take(&Step::Wait);
    counts.take(&Step::Tick(0));
    for (begins, first, depth, least) in [
        ("with nothing", State::new(), 4, 0),
        ("with a leader", chosen, 4, 0),
        ("with an edit that counts", counts, 4, 1),
    ] {
        let depth = depth + deeper;
        let mut seen = HashSet::from([first.digest()]);
        let (mut edge, mut in_force) = (vec![first], 0);
        for step in 0..depth {
            let mut next = Vec::new();
            for state in edge {
                for way in state.steps() {
                    let mut after = state.clone();
                    after.take(&way);
                    if !seen.insert(after.digest()) {
                        continue;
                    }
                    assert_eq!(
                        after.validation_error(),
                        None,
                        "{begins}, step {step}: {way:?} from {state:?}"
                    );
                    in_force +=
                        usize::from(after.voters.iter().flatten().any(|voter| voter.state().active() > 0));
                    next.push(after);
                }
            }
            edge = next;
        }
        println!(
            "{begins}: {} states in {depth} steps, {in_force} of them with an edit in force",
            seen.len()
        );
        assert!(seen.len() > 1_000 && in_force >= least, "{begins}: {} {in_force}", seen.len());
    }
}

/// Everything that is on its way and fits, and what follows from it, until nothing is left.
fn deliver_all(state: &mut State, fits: impl Fn(&str) -> bool) {
    while let Some(key) = state.sent.keys().find(|key| fits(key)).cloned() {
        state.take(&Step::Deliver(key));
    }
}
