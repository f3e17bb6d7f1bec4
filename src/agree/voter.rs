//! A voter: keeps the log with the others by terms and majorities, grants heads their leases, and says of an edit when no
//! head can act any more without knowing of it, as far as its own grants go.
//!
//! Whatever is in `Output::save` has to be on disk before anything in `Output::send` leaves.

use super::ledger::Ledger;
use super::{Command, Entry, HolderId, Index, Message, Micros, Term, Times, VoterId};
use crate::agree::document::Edit;
use std::collections::{BTreeMap, BTreeSet};

/// Entries in one message.
const AT_ONCE: usize = 64;

/// What a voter must never forget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    pub term: Term,
    pub voted: Option<VoterId>,
    /// Heads that are not prepared up to there get no lease.
    pub barrier: Index,
    pub log: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Save {
    Vote {
        term: Term,
        voted: Option<VoterId>,
    },
    Barrier(Index),
    /// The log ends here.
    Cut(Index),
    Put(Index, Entry),
}

impl Saved {
    /// What the disk does with it.
    pub fn keep(&mut self, save: &Save) {
        match save {
            Save::Vote { term, voted } => (self.term, self.voted) = (*term, *voted),
            Save::Barrier(to) => self.barrier = self.barrier.max(*to),
            Save::Cut(at) => self.log.truncate(*at as usize),
            Save::Put(at, entry) => {
                self.log.truncate(*at as usize - 1);
                self.log.push(entry.clone());
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum To {
    Voter(VoterId),
    Holder(HolderId),
}

#[derive(Debug, Default)]
pub struct Output {
    pub save: Vec<Save>,
    pub send: Vec<(To, Message)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    Candidate,
    Leader,
}

/// What the leader knows of another voter.
#[derive(Clone, Copy, Debug)]
struct Other {
    next: Index,
    matched: Index,
    cleared: Index,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    prepared: Index,
    at: Micros,
}

/// Somebody else leads, or nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader(pub Option<VoterId>);

#[derive(Debug)]
pub struct Voter {
    id: VoterId,
    others: Vec<VoterId>,
    times: Times,
    saved: Saved,
    role: Role,
    leader: Option<VoterId>,
    commit: Index,
    ledger: Ledger,
    votes: BTreeSet<VoterId>,
    known: BTreeMap<VoterId, Other>,
    grants: BTreeMap<HolderId, Grant>,
    /// Grants of before are not known: it is as if one had been given to somebody who knew nothing.
    started: Micros,
    election_at: Micros,
    beat_at: Micros,
}

impl Voter {
    /// `draw` is any number, another one at each call.
    pub fn new(id: VoterId, voters: &[VoterId], times: Times, saved: Saved, now: Micros, draw: u64) -> Voter {
        let others = voters.iter().copied().filter(|other| *other != id).collect();
        let mut voter = Voter {
            id,
            others,
            times,
            saved,
            role: Role::Follower,
            leader: None,
            commit: 0,
            ledger: Ledger::default(),
            votes: BTreeSet::new(),
            known: BTreeMap::new(),
            grants: BTreeMap::new(),
            started: now,
            election_at: 0,
            beat_at: now,
        };
        voter.wait_for_leader(now, draw);
        voter
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    pub fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    pub fn term(&self) -> Term {
        self.saved.term
    }

    /// The whole log, of which all up to `commit` is for good.
    pub fn log(&self) -> &[Entry] {
        &self.saved.log
    }

    pub fn commit(&self) -> Index {
        self.commit
    }

    /// When it wants to be asked again.
    pub fn next(&self) -> Micros {
        if self.leads() { self.beat_at } else { self.election_at }
    }

    fn majority(&self) -> usize {
        self.others.len().div_ceil(2) + 1
    }

    fn last(&self) -> Index {
        self.saved.log.len() as Index
    }

    fn term_at(&self, index: Index) -> Term {
        index
            .checked_sub(1)
            .and_then(|place| self.saved.log.get(place as usize))
            .map_or(0, |entry| entry.term)
    }

    fn wait_for_leader(&mut self, now: Micros, draw: u64) {
        self.election_at = now + self.times.election + draw % self.times.election.max(1);
    }

    fn save(&mut self, save: Save, out: &mut Output) {
        self.saved.keep(&save);
        out.save.push(save);
    }

    fn enter(&mut self, term: Term, voted: Option<VoterId>, out: &mut Output) {
        self.save(Save::Vote { term, voted }, out);
        (self.role, self.leader) = (Role::Follower, None);
    }

    pub fn tick(&mut self, now: Micros, draw: u64) -> Output {
        let mut out = Output::default();
        if self.leads() {
            if now >= self.beat_at {
                self.beat_at = now + self.times.beat;
                self.advance(now, &mut out);
                self.others.clone().into_iter().for_each(|other| self.append_to(other, &mut out));
            }
        } else if now >= self.election_at {
            self.wait_for_leader(now, draw);
            self.enter(self.saved.term + 1, Some(self.id), &mut out);
            self.role = Role::Candidate;
            self.votes = BTreeSet::from([self.id]);
            let (term, last, last_term) = (self.saved.term, self.last(), self.term_at(self.last()));
            let vote = Message::Vote { term, last, last_term };
            out.send.extend(self.others.iter().map(|other| (To::Voter(*other), vote.clone())));
            self.lead_if_chosen(now, &mut out);
        }
        out
    }

    /// Something that another voter said.
    pub fn hear(&mut self, now: Micros, draw: u64, from: VoterId, message: Message) -> Output {
        let led = self.leads();
        let out = self.heard(now, draw, from, message);
        if led && !self.leads() {
            self.wait_for_leader(now, draw);
        }
        out
    }

    fn heard(&mut self, now: Micros, draw: u64, from: VoterId, message: Message) -> Output {
        let mut out = Output::default();
        if !self.others.contains(&from) {
            return out;
        }
        match message {
            Message::Vote { term, last, last_term } => {
                if term > self.saved.term {
                    self.enter(term, None, &mut out);
                }
                let whole = (last_term, last) >= (self.term_at(self.last()), self.last());
                let free = self.saved.voted.is_none_or(|voted| voted == from);
                let yes = term == self.saved.term && whole && free && self.role == Role::Follower;
                if yes {
                    self.save(Save::Vote { term, voted: Some(from) }, &mut out);
                    self.wait_for_leader(now, draw);
                }
                out.send.push((To::Voter(from), Message::Voted { term: self.saved.term, yes }));
            }
            Message::Voted { term, yes } => {
                if term > self.saved.term {
                    self.enter(term, None, &mut out);
                } else if yes && term == self.saved.term && self.role == Role::Candidate {
                    self.votes.insert(from);
                    self.lead_if_chosen(now, &mut out);
                }
            }
            Message::Append { term, before, before_term, entries, commit } => {
                if term > self.saved.term || term == self.saved.term && self.role == Role::Candidate {
                    let voted = if term > self.saved.term { None } else { self.saved.voted };
                    self.enter(term, voted, &mut out);
                }
                let (mut yes, mut matched) = (false, 0);
                if term == self.saved.term {
                    self.leader = Some(from);
                    self.wait_for_leader(now, draw);
                    yes = before <= self.last() && self.term_at(before) == before_term;
                    if yes {
                        matched = self.take(before, entries, &mut out);
                        self.commit_to(commit.min(matched), &mut out);
                    }
                }
                let cleared = self.cleared(now);
                let term = self.saved.term;
                out.send.push((To::Voter(from), Message::Appended { term, yes, matched, cleared }));
            }
            Message::Appended { term, yes, matched, cleared } => {
                if term > self.saved.term {
                    self.enter(term, None, &mut out);
                } else if term == self.saved.term && self.leads() {
                    let last = self.last();
                    let Some(other) = self.known.get_mut(&from) else { return out };
                    let tried = other.next;
                    if yes {
                        other.matched = other.matched.max(matched.min(last));
                        other.next = other.matched + 1;
                        other.cleared = cleared;
                    } else {
                        other.next = (other.next / 2).max(other.matched + 1);
                    }
                    self.advance(now, &mut out);
                    // Where the last try brought nothing new, the next one waits for the beat.
                    let more = |other: &Other| other.next != tried && other.next <= self.last();
                    if self.known.get(&from).is_some_and(more) {
                        self.append_to(from, &mut out);
                    }
                }
            }
            Message::Renew { .. } | Message::Granted { .. } => {}
        }
        out
    }

    fn lead_if_chosen(&mut self, now: Micros, out: &mut Output) {
        if self.votes.len() < self.majority() {
            return;
        }
        (self.role, self.leader, self.beat_at) = (Role::Leader, Some(self.id), now);
        let next = self.last() + 1;
        self.known =
            self.others.iter().map(|other| (*other, Other { next, matched: 0, cleared: 0 })).collect();
        self.put(Command::Begin, out);
        self.advance(now, out);
        self.others.clone().into_iter().for_each(|other| self.append_to(other, out));
    }

    fn put(&mut self, command: Command, out: &mut Output) -> Index {
        let entry = Entry { term: self.saved.term, command };
        self.save(Save::Put(self.last() + 1, entry), out);
        self.last()
    }

    fn append_to(&self, to: VoterId, out: &mut Output) {
        let Some(other) = self.known.get(&to) else { return };
        let before = other.next - 1;
        let entries = self.saved.log.iter().skip(before as usize).take(AT_ONCE).cloned().collect();
        let (term, before_term, commit) = (self.saved.term, self.term_at(before), self.commit);
        out.send.push((To::Voter(to), Message::Append { term, before, before_term, entries, commit }));
    }

    /// Takes what a leader has; what differs from it goes. A late message takes nothing away.
    fn take(&mut self, before: Index, entries: Vec<Entry>, out: &mut Output) -> Index {
        let matched = before + entries.len() as Index;
        for (entry, index) in entries.into_iter().zip(before + 1..) {
            if index <= self.last() && self.term_at(index) == entry.term {
                continue;
            }
            if index <= self.last() {
                self.save(Save::Cut(index - 1), out);
            }
            self.save(Save::Put(index, entry), out);
        }
        matched
    }

    /// Of so many voters a majority has that or more.
    fn reached(&self, own: Index, of: impl Fn(&Other) -> Index) -> Index {
        let mut all: Vec<Index> = self.known.values().map(of).chain([own]).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all[self.majority() - 1]
    }

    fn advance(&mut self, now: Micros, out: &mut Output) {
        if !self.leads() {
            return;
        }
        // Only what is of its own term counts by copies; what came before counts by that.
        let reached = self.reached(self.last(), |other| other.matched);
        if reached > self.commit && self.term_at(reached) == self.saved.term {
            self.commit_to(reached, out);
        }
        let cleared = self.reached(self.cleared(now), |other| other.cleared);
        let activated = self.saved.log[self.commit as usize..]
            .iter()
            .filter_map(|entry| if let Command::Activate(to) = entry.command { Some(to) } else { None })
            .max()
            .unwrap_or(0);
        if let Some(edit) = self.ledger.last_edit_to(cleared).filter(|edit| *edit > activated) {
            self.put(Command::Activate(edit), out);
            let reached = self.reached(self.last(), |other| other.matched);
            if reached > self.commit && self.term_at(reached) == self.saved.term {
                self.commit_to(reached, out);
            }
            self.others.clone().into_iter().for_each(|other| self.append_to(other, out));
        }
    }

    fn commit_to(&mut self, to: Index, out: &mut Output) {
        while self.commit < to {
            let entry = &self.saved.log[self.commit as usize];
            self.ledger.apply(entry);
            self.commit += 1;
        }
        // From here on nobody gets a lease who has not prepared for it, also after a restart.
        let prepared = self.ledger.prepared();
        if prepared > self.saved.barrier {
            self.save(Save::Barrier(prepared), out);
        }
    }

    /// Up to which edit no head can act without knowing of it, as far as this voter's grants go.
    fn cleared(&self, now: Micros) -> Index {
        let unknown = Grant { prepared: 0, at: self.started };
        let blocks = |grant: &Grant| {
            let age = now.saturating_sub(grant.at);
            if age <= self.times.surely_over(self.times.lease) {
                self.ledger.first_against(grant.prepared, false)
            } else if age <= self.times.surely_over(self.times.long_lease) {
                self.ledger.first_against(grant.prepared, true)
            } else {
                None
            }
        };
        let first = self.grants.values().chain([&unknown]).filter_map(blocks).min();
        first.map_or(self.ledger.prepared(), |first| first - 1)
    }

    /// A head asks for its lease. One that is behind gets what it lacks, and none.
    pub fn renew(&mut self, now: Micros, holder: HolderId, asked: Micros, prepared: Index) -> Output {
        let over = self.times.surely_over(self.times.long_lease);
        self.grants.retain(|_, grant| now.saturating_sub(grant.at) <= over);
        let yes = prepared >= self.saved.barrier;
        if yes {
            let grant = self.grants.entry(holder.clone()).or_insert(Grant { prepared, at: now });
            // What it knows it knows for good; late messages of its own do not undo that.
            (grant.prepared, grant.at) = (grant.prepared.max(prepared), now);
        }
        let after = prepared.min(self.commit);
        let entries =
            self.saved.log[after as usize..self.commit as usize].iter().take(AT_ONCE).cloned().collect();
        let granted = Message::Granted { start: holder.start, asked, yes, after, entries };
        Output { save: Vec::new(), send: vec![(To::Holder(holder), granted)] }
    }

    /// Somebody's edit. What became of it the ledger tells once it is committed.
    pub fn propose(&mut self, now: Micros, edit: Edit) -> Result<Output, NotLeader> {
        if !self.leads() {
            return Err(NotLeader(self.leader));
        }
        let mut out = Output::default();
        self.put(Command::Edit(edit), &mut out);
        self.advance(now, &mut out);
        self.others.clone().into_iter().for_each(|other| self.append_to(other, &mut out));
        Ok(out)
    }
}
