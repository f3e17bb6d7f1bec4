//! A voter: keeps the log with the others by terms and majorities, grants heads their leases, and says of an edit when no
//! head can act any more without knowing of it, as far as its own grants go.
//!
//! Whatever is in `Output::save` has to be on disk before anything in `Output::send` leaves. Where it cannot be saved, the
//! voter is to be thrown away and read from its disk again.

use super::ledger::Ledger;
use super::{Command, Entry, HolderId, Index, Message, Micros, Term, Times, VoterId, at_once};
use crate::agree::document::Edit;
use std::collections::{BTreeMap, BTreeSet};

/// None stay in memory where they are this large.
const KEPT_BYTES: usize = 4 * 1024 * 1024;
/// A term that began within so many waits for a leader after the one before it began soon.
const SOON: Micros = 4;
/// The wait for a leader is doubled so often at most.
const MOST_DOUBLED: u32 = 2;
/// Leases that are out at once: far more heads than there are.
const MOST_GRANTS: usize = 10_000;

/// The voters, and where each is reached.
pub type Voters = BTreeMap<VoterId, String>;
/// How often a voter was started on its disk (the upper half), and a draw at each start: a copy of the disk from before
/// its last start shows by it, for a second start of one count draws another number.
pub type Starts = u64;

pub fn next_start(before: Starts, draw: u64) -> Starts {
    ((before >> 32) + 1) << 32 | draw & 0xffff_ffff
}

/// Whether somebody speaks from an older disk than was heard of.
fn is_older(starts: Starts, known: Starts) -> bool {
    starts != known && starts >> 32 <= known >> 32
}

/// What a voter must never forget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Saved {
    pub starts: Starts,
    pub term: Term,
    pub voted: Option<VoterId>,
    /// Heads that are not prepared up to there get no lease.
    pub barrier: Index,
    /// The last start of each other voter that was heard of.
    pub known: BTreeMap<VoterId, Starts>,
    /// What a first part of the log came to, and the term of its last entry.
    pub ledger: Ledger,
    pub ledger_term: Term,
    /// All after the entry of number `first`, and that one's term.
    pub first: Index,
    pub first_term: Term,
    pub log: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Save {
    Vote {
        term: Term,
        voted: Option<VoterId>,
    },
    Barrier(Index),
    Known(VoterId, Starts),
    /// The log ends here.
    Cut(Index),
    Put(Index, Entry),
    /// All up to there came to this. `whole`: it came from another voter, and is in place of what the log holds; of that,
    /// so many entries were for good.
    Snapshot {
        ledger: Box<Ledger>,
        term: Term,
        whole: Option<Index>,
    },
}

impl Saved {
    /// What the disk does with it.
    pub fn keep(&mut self, save: &Save) {
        match save {
            Save::Vote { term, voted } => (self.term, self.voted) = (*term, *voted),
            Save::Barrier(to) => self.barrier = self.barrier.max(*to),
            Save::Known(id, starts) => drop(self.known.insert(*id, *starts)),
            Save::Cut(at) => self.log.truncate(at.saturating_sub(self.first) as usize),
            Save::Put(at, entry) => {
                self.log.truncate((at - 1).saturating_sub(self.first) as usize);
                self.log.push(entry.clone());
            }
            Save::Snapshot { ledger, term, whole } => {
                if whole.is_some() {
                    (self.first, self.first_term) = (ledger.read(), *term);
                    self.log.clear();
                }
                (self.ledger, self.ledger_term) = ((**ledger).clone(), *term);
            }
        }
    }

    fn last(&self) -> Index {
        self.first + self.log.len() as Index
    }

    fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index.checked_sub(self.first + 1)? as usize)
    }

    /// `None`: it is not in memory any more, or not there yet.
    fn term_at(&self, index: Index) -> Option<Term> {
        match index {
            0 => Some(0),
            _ if index == self.first => Some(self.first_term),
            _ => self.entry(index).map(|entry| entry.term),
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
    /// A voter of that number spoke from an older disk than before, and was not heard.
    pub stranger: Option<VoterId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Follower,
    /// Whether it would be chosen.
    Asking,
    Candidate,
    Leader,
}

/// What the leader knows of another voter.
#[derive(Clone, Copy, Debug)]
struct Other {
    next: Index,
    matched: Index,
    cleared: Index,
    heard: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    prepared: Index,
    at: Micros,
}

/// Somebody else leads, or nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader(pub Option<VoterId>);

/// Why voters are not changed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotNow {
    NotLeader(Option<VoterId>),
    /// One is added, taken out or moved at a time, and one at least stays.
    OneAtATime,
    /// Some head may not know of the last change yet, or this leader has only begun.
    Unsettled,
}

#[derive(Clone, Debug)]
pub struct Voter {
    id: VoterId,
    times: Times,
    saved: Saved,
    /// As the log has them, counted or not; before it says anything, those of the start.
    voters: Voters,
    at_start: Voters,
    role: Role,
    leader: Option<VoterId>,
    led_at: Option<Micros>,
    commit: Index,
    ledger: Ledger,
    votes: BTreeSet<VoterId>,
    known: BTreeMap<VoterId, Other>,
    grants: BTreeMap<HolderId, Grant>,
    /// In this start it has seen all that counted for some leader: until then its disk may be an old one, which does not
    /// know what it has to wait for.
    caught_up: bool,
    /// Grants of before are not known: it is as if one had been given to somebody who knew nothing.
    started: Micros,
    election_at: Micros,
    beat_at: Micros,
    /// When it came into its term, and how many terms on end began soon after the one before.
    began: Option<Micros>,
    hasty: u32,
}

impl Voter {
    /// `draw` is any number, another one at each call.
    pub fn new(id: VoterId, voters: &Voters, times: Times, saved: Saved, now: Micros, draw: u64) -> Voter {
        let (commit, ledger) = (saved.ledger.read(), saved.ledger.clone());
        let mut voter = Voter {
            id,
            times,
            saved,
            voters: voters.clone(),
            at_start: voters.clone(),
            role: Role::Follower,
            leader: None,
            led_at: None,
            commit,
            ledger,
            votes: BTreeSet::new(),
            known: BTreeMap::new(),
            grants: BTreeMap::new(),
            caught_up: false,
            started: now,
            election_at: 0,
            beat_at: now,
            began: None,
            hasty: 0,
        };
        voter.read_voters();
        voter.wait_for_leader(now, draw);
        voter
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    pub fn leads(&self) -> bool {
        self.role == Role::Leader
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<VoterId> {
        if self.leads() { Some(self.id) } else { self.leader }
    }

    pub fn term(&self) -> Term {
        self.saved.term
    }

    pub fn starts(&self) -> Starts {
        self.saved.starts
    }

    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// What it has on disk.
    pub fn saved(&self) -> &Saved {
        &self.saved
    }

    pub fn last(&self) -> Index {
        self.saved.last()
    }

    pub fn commit(&self) -> Index {
        self.commit
    }

    /// When it wants to be asked again.
    pub fn next(&self) -> Micros {
        if self.leads() { self.beat_at } else { self.election_at }
    }

    fn others(&self) -> Vec<VoterId> {
        self.voters.keys().copied().filter(|other| *other != self.id).collect()
    }

    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    fn last_term(&self) -> Term {
        self.saved.term_at(self.last()).unwrap_or(0)
    }

    /// The last word of the log on who votes counts from the moment that it is there.
    fn read_voters(&mut self) {
        let told = self.saved.log.iter().rev().find_map(|entry| match &entry.command {
            Command::Voters(voters) => Some(voters),
            _ => None,
        });
        let told = told.or(self.ledger.latest_voters()).unwrap_or(&self.at_start);
        if self.voters != *told {
            self.voters = told.clone();
        }
        if self.leads() {
            let (next, now) = (self.last() + 1, self.led_at.unwrap_or(0));
            for other in self.others() {
                self.known.entry(other).or_insert(Other { next, matched: 0, cleared: 0, heard: now });
            }
            let voters = &self.voters;
            self.known.retain(|other, _| voters.contains_key(other));
        }
    }

    /// How long it waits for a leader's word or another voter's answer. Longer where leaders follow each other fast: a
    /// large entry on a busy machine holds up its leader's beats, and would bring down one leader after the other.
    pub fn patience(&self, now: Micros) -> Micros {
        let patience = self.times.election << self.hasty;
        match self.began {
            Some(began) if now.saturating_sub(began) < SOON * patience => patience,
            _ => self.times.election,
        }
    }

    fn wait_for_leader(&mut self, now: Micros, draw: u64) {
        let patience = self.patience(now);
        self.election_at = now + patience + draw % patience.max(1);
    }

    fn save(&mut self, save: Save, out: &mut Output) {
        self.saved.keep(&save);
        if matches!(save, Save::Cut(_) | Save::Snapshot { whole: Some(_), .. })
            || matches!(&save, Save::Put(_, Entry { command: Command::Voters(_), .. }))
        {
            self.read_voters();
        }
        out.save.push(save);
    }

    fn enter(&mut self, now: Micros, term: Term, voted: Option<VoterId>, out: &mut Output) {
        if term > self.saved.term {
            let soon = |began| now.saturating_sub(began) < SOON * (self.times.election << self.hasty);
            self.hasty = if self.began.is_some_and(soon) { (self.hasty + 1).min(MOST_DOUBLED) } else { 0 };
            self.began = Some(now);
        }
        self.save(Save::Vote { term, voted }, out);
        (self.role, self.leader, self.led_at) = (Role::Follower, None, None);
    }

    pub fn tick(&mut self, now: Micros, draw: u64) -> Output {
        let mut out = Output::default();
        if self.leads() {
            if now >= self.beat_at {
                self.beat_at = now + self.times.beat;
                if !self.is_heard(now) {
                    // Others may hear it, yet nothing that it says can ever count: they are to choose another one.
                    (self.role, self.leader, self.led_at) = (Role::Follower, None, None);
                    self.wait_for_leader(now, draw);
                    return out;
                }
                self.advance(now, &mut out);
                self.append_to_all(&mut out);
            }
        } else if now >= self.election_at {
            self.wait_for_leader(now, draw);
            if self.voters.contains_key(&self.id) {
                (self.role, self.leader) = (Role::Asking, None);
                self.ask_for_votes(true, self.saved.term + 1, &mut out);
                self.count_votes(now, draw, &mut out);
            }
        }
        out
    }

    /// A majority has answered within twice that wait.
    fn is_heard(&self, now: Micros) -> bool {
        let lately = |other: &Other| now.saturating_sub(other.heard) < 2 * self.patience(now);
        let own = usize::from(self.voters.contains_key(&self.id));
        own + self.known.values().filter(|other| lately(other)).count() >= self.majority()
    }

    fn ask_for_votes(&mut self, pre: bool, term: Term, out: &mut Output) {
        self.votes = BTreeSet::from([self.id]);
        let vote = Message::Vote { pre, term, last: self.last(), last_term: self.last_term() };
        out.send.extend(self.others().into_iter().map(|other| (To::Voter(other), vote.clone())));
    }

    fn count_votes(&mut self, now: Micros, draw: u64, out: &mut Output) {
        let count = self.votes.iter().filter(|id| self.voters.contains_key(id)).count();
        if count < self.majority() {
            return;
        }
        match self.role {
            Role::Asking => {
                self.wait_for_leader(now, draw);
                self.enter(now, self.saved.term + 1, Some(self.id), out);
                self.role = Role::Candidate;
                self.ask_for_votes(false, self.saved.term, out);
                self.count_votes(now, draw, out);
            }
            Role::Candidate => self.lead(now, out),
            Role::Follower | Role::Leader => {}
        }
    }

    /// Something that another voter said, in so many starts.
    pub fn hear(
        &mut self,
        now: Micros,
        draw: u64,
        (from, starts): (VoterId, Starts),
        message: Message,
    ) -> Output {
        let mut out = Output::default();
        if from == self.id {
            return out;
        }
        let known = self.saved.known.get(&from).copied().unwrap_or(0);
        if is_older(starts, known) {
            // A copy of its disk: what it voted and granted since then it does not know.
            out.stranger = Some(from);
            return out;
        }
        if starts != known {
            self.save(Save::Known(from, starts), &mut out);
        }
        let led = self.leads();
        self.heard(now, draw, from, message, &mut out);
        if led && !self.leads() {
            self.wait_for_leader(now, draw);
        }
        out
    }

    fn heard(&mut self, now: Micros, draw: u64, from: VoterId, message: Message, out: &mut Output) {
        match message {
            Message::Vote { pre, term, last, last_term } => {
                let whole = (last_term, last) >= (self.last_term(), self.last());
                let yes = if pre {
                    // Whoever hears a leader wants no other, and whoever asks changes nothing by it.
                    let led = self.led_at.is_some_and(|at| now.saturating_sub(at) < self.patience(now));
                    term > self.saved.term && whole && !led && !self.leads()
                } else {
                    if term > self.saved.term {
                        self.enter(now, term, None, out);
                    }
                    let free = self.saved.voted.is_none_or(|voted| voted == from);
                    term == self.saved.term && whole && free && self.role == Role::Follower
                };
                if yes && !pre {
                    self.save(Save::Vote { term, voted: Some(from) }, out);
                    self.wait_for_leader(now, draw);
                }
                out.send.push((To::Voter(from), Message::Voted { pre, term: self.saved.term, yes }));
            }
            Message::Voted { pre, term, yes } => {
                let wanted = if pre { Role::Asking } else { Role::Candidate };
                if term > self.saved.term {
                    self.enter(now, term, None, out);
                } else if yes && (pre || term == self.saved.term) && self.role == wanted {
                    self.votes.insert(from);
                    self.count_votes(now, draw, out);
                }
            }
            Message::Append { term, before, before_term, entries, commit } => {
                let (mut yes, mut matched) = (false, 0);
                if self.follows(now, draw, from, term, out) {
                    // What it has for good is as the leader has it, also where the entry itself is gone.
                    yes = before <= self.commit || self.saved.term_at(before) == Some(before_term);
                    if yes {
                        matched = self.take(before, entries, out);
                        self.commit_to(commit.min(matched), out);
                        self.caught_up |= matched >= commit;
                    }
                }
                self.say_matched(now, from, yes, matched, out);
            }
            Message::Snapshot { term, last_term, ledger } => {
                let (mut yes, mut matched) = (false, 0);
                if self.follows(now, draw, from, term, out) {
                    (yes, matched, self.caught_up) = (true, ledger.read(), true);
                    if self.saved.term_at(ledger.read()) == Some(last_term) {
                        // One that comes late: the log has all of it, and what follows in it was said to be saved. In its
                        // place the ledger would take that away, maybe from a majority that has it.
                        self.commit_to(ledger.read(), out);
                    } else if ledger.read() > self.commit {
                        let whole = Some(self.commit);
                        (self.commit, self.ledger) = (ledger.read(), (*ledger).clone());
                        self.save(Save::Snapshot { ledger, term: last_term, whole }, out);
                        self.keep_barrier(out);
                    }
                }
                self.say_matched(now, from, yes, matched, out);
            }
            Message::Appended { term, yes, matched, cleared } => {
                if term > self.saved.term {
                    self.enter(now, term, None, out);
                } else if term == self.saved.term && self.leads() {
                    let last = self.last();
                    let Some(other) = self.known.get_mut(&from) else { return };
                    let tried = other.next;
                    other.heard = now;
                    if yes {
                        other.matched = other.matched.max(matched.min(last));
                        other.next = other.matched + 1;
                        other.cleared = cleared;
                    } else {
                        other.next = (other.next / 2).max(other.matched + 1);
                    }
                    self.advance(now, out);
                    // Where the last try brought nothing new, the next one waits for the beat.
                    let more = |other: &Other| other.next != tried && other.next <= self.last();
                    if self.known.get(&from).is_some_and(more) {
                        self.append_to(from, out);
                    }
                }
            }
            Message::Renew { .. } | Message::Granted { .. } => {}
        }
    }

    /// Whether a leader's word counts: of its term there is no other.
    fn follows(&mut self, now: Micros, draw: u64, from: VoterId, term: Term, out: &mut Output) -> bool {
        if term > self.saved.term || term == self.saved.term && self.role != Role::Follower {
            let voted = if term > self.saved.term { None } else { self.saved.voted };
            self.enter(now, term, voted, out);
        }
        if term < self.saved.term {
            return false;
        }
        (self.leader, self.led_at) = (Some(from), Some(now));
        self.wait_for_leader(now, draw);
        true
    }

    fn say_matched(&self, now: Micros, to: VoterId, yes: bool, matched: Index, out: &mut Output) {
        let (term, cleared) = (self.saved.term, self.cleared(now));
        out.send.push((To::Voter(to), Message::Appended { term, yes, matched, cleared }));
    }

    fn lead(&mut self, now: Micros, out: &mut Output) {
        (self.role, self.leader, self.led_at, self.beat_at) = (Role::Leader, Some(self.id), Some(now), now);
        self.known.clear();
        self.caught_up = true;
        self.read_voters();
        self.put(Command::Begin, out);
        self.advance(now, out);
        self.append_to_all(out);
    }

    fn put(&mut self, command: Command, out: &mut Output) -> Index {
        let entry = Entry { term: self.saved.term, command };
        self.save(Save::Put(self.last() + 1, entry), out);
        self.last()
    }

    fn append_to_all(&self, out: &mut Output) {
        self.known.keys().for_each(|other| self.append_to(*other, out));
    }

    fn append_to(&self, to: VoterId, out: &mut Output) {
        let Some(other) = self.known.get(&to) else { return };
        let before = other.next - 1;
        let (term, commit) = (self.saved.term, self.commit);
        let message = match self.saved.term_at(before).filter(|_| before >= self.saved.first) {
            Some(before_term) => {
                let entries = at_once(self.saved.log.iter().skip((before - self.saved.first) as usize));
                Message::Append { term, before, before_term, entries, commit }
            }
            None => {
                let last_term = self.saved.term_at(commit).unwrap_or(0);
                Message::Snapshot { term, last_term, ledger: Box::new(self.ledger.clone()) }
            }
        };
        out.send.push((To::Voter(to), message));
    }

    /// Takes what a leader has; what differs from it goes. A late message takes nothing away.
    fn take(&mut self, before: Index, entries: Vec<Entry>, out: &mut Output) -> Index {
        let matched = before + entries.len() as Index;
        for (entry, index) in entries.into_iter().zip(before + 1..) {
            if index <= self.commit || self.saved.term_at(index) == Some(entry.term) {
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
        let each = |id: &VoterId| match self.known.get(id) {
            Some(other) => of(other),
            None if *id == self.id => own,
            None => 0,
        };
        let mut all: Vec<Index> = self.voters.keys().map(each).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(self.majority() - 1).copied().unwrap_or(0)
    }

    /// Only what is of its own term counts by copies; what came before counts by that.
    fn count_copies(&mut self, out: &mut Output) {
        let reached = self.reached(self.last(), |other| other.matched);
        if reached > self.commit && self.saved.term_at(reached) == Some(self.saved.term) {
            self.commit_to(reached, out);
        }
    }

    fn advance(&mut self, now: Micros, out: &mut Output) {
        if !self.leads() {
            return;
        }
        self.count_copies(out);
        let cleared = self.reached(self.cleared(now), |other| other.cleared);
        let activated = (self.commit + 1..=self.last())
            .filter_map(|index| match self.saved.entry(index)?.command {
                Command::Activate(to) => Some(to),
                _ => None,
            })
            .max()
            .unwrap_or(0);
        if let Some(edit) = self.ledger.last_edit_to(cleared).filter(|edit| *edit > activated) {
            self.put(Command::Activate(edit), out);
            self.count_copies(out);
            self.append_to_all(out);
        }
        // Whoever is no voter any more, and has seen that this counts, leaves the others to choose.
        if !self.voters.contains_key(&self.id) && self.commit >= self.ledger.voters_at() {
            (self.role, self.leader, self.led_at) = (Role::Follower, None, None);
        }
    }

    fn commit_to(&mut self, to: Index, out: &mut Output) {
        while self.commit < to {
            let Some(entry) = self.saved.entry(self.commit + 1) else { return };
            self.ledger.apply(entry);
            self.commit += 1;
        }
        self.keep_barrier(out);
        self.compact(out);
    }

    /// From here on nobody gets a lease who has not prepared for it, also after a restart.
    fn keep_barrier(&mut self, out: &mut Output) {
        let prepared = self.ledger.prepared();
        if prepared > self.saved.barrier {
            self.save(Save::Barrier(prepared), out);
        }
    }

    /// Memory holds the log's end only; the disk has all of it.
    fn compact(&mut self, out: &mut Output) {
        let counted = (self.commit - self.saved.first) as usize;
        let bytes: usize = self.saved.log[..counted].iter().map(Entry::weight).sum();
        if counted <= 2 * self.times.kept && bytes <= KEPT_BYTES {
            return;
        }
        let term = self.saved.term_at(self.commit).unwrap_or(0);
        let ledger = Box::new(self.ledger.clone());
        self.save(Save::Snapshot { ledger, term, whole: None }, out);
        let gone = if bytes > KEPT_BYTES { counted } else { counted - self.times.kept.min(counted) };
        let first = self.saved.first + gone as Index;
        self.saved.first_term = self.saved.term_at(first).unwrap_or(0);
        (self.saved.first, self.saved.log) = (first, self.saved.log.split_off(gone));
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
        let room = self.grants.len() < MOST_GRANTS || self.grants.contains_key(&holder);
        let yes = prepared >= self.saved.barrier && room && self.caught_up;
        if yes {
            let grant = self.grants.entry(holder.clone()).or_insert(Grant { prepared, at: now });
            // What it knows it knows for good; late messages of its own do not undo that.
            (grant.prepared, grant.at) = (grant.prepared.max(prepared), now);
        }
        let snapshot = (prepared < self.saved.first).then(|| Box::new(self.ledger.clone()));
        let after = match &snapshot {
            Some(ledger) => ledger.read(),
            None => prepared.min(self.commit),
        };
        let counted = (self.commit - after) as usize;
        let skipped = (after - self.saved.first) as usize;
        let entries = at_once(self.saved.log.iter().skip(skipped).take(counted));
        let granted = Message::Granted { start: holder.start, asked, yes, after, snapshot, entries };
        Output { send: vec![(To::Holder(holder), granted)], ..Output::default() }
    }

    /// Somebody's edit. What became of it the ledger tells once it is committed.
    pub fn propose(&mut self, now: Micros, edit: Edit) -> Result<Output, NotLeader> {
        self.write(now, Command::Edit(edit)).map(|(_, out)| out)
    }

    /// An entry that changes nothing: once it is committed, the ledger holds all that was before this call.
    pub fn ask(&mut self, now: Micros) -> Result<(Index, Output), NotLeader> {
        self.write(now, Command::Begin)
    }

    /// Other voters: one more, one less, or one at another address.
    pub fn change(&mut self, now: Micros, voters: Voters) -> Result<Output, NotNow> {
        if !self.leads() {
            return Err(NotNow::NotLeader(self.leader));
        }
        let more = voters.keys().filter(|id| !self.voters.contains_key(id)).count();
        let less = self.voters.keys().filter(|id| !voters.contains_key(id)).count();
        if more + less > 1 || voters.is_empty() || voters == self.voters {
            return Err(NotNow::OneAtATime);
        }
        // Heads count by the voters that they know: two changes apart, two majorities need have nobody in common. And
        // what another leader began counts only with an entry of this one's.
        let begun = self.saved.term_at(self.commit) == Some(self.saved.term);
        let in_log =
            |index| matches!(self.saved.entry(index), Some(Entry { command: Command::Voters(_), .. }));
        if !begun || self.ledger.voters_pending() || (self.commit + 1..=self.last()).any(in_log) {
            return Err(NotNow::Unsettled);
        }
        self.write(now, Command::Voters(voters)).map(|(_, out)| out).map_err(|no| NotNow::NotLeader(no.0))
    }

    fn write(&mut self, now: Micros, command: Command) -> Result<(Index, Output), NotLeader> {
        if !self.leads() {
            return Err(NotLeader(self.leader));
        }
        let mut out = Output::default();
        let index = self.put(command, &mut out);
        self.advance(now, &mut out);
        self.append_to_all(&mut out);
        Ok((index, out))
    }
}

#[cfg(test)]
mod tests;
