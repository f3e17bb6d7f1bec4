//! A voter: keeps the log with the others by terms and majorities, grants heads their leases, and says of an edit when no
//! head can act any more without knowing of it, as far as its own grants go.
//!
//! Whatever is in `Output::save` has to be on disk before anything in `Output::send` leaves. Where it cannot be saved, the
//! voter is to be thrown away and read from its disk again.

mod election;
mod grants;
mod replication;
mod saved;

pub use saved::{Save, Saved, Starts, Voters, next_start};

use super::ledger::Ledger;
use super::{Command, Entry, HolderId, Index, Message, Micros, Term, Times, VoterId};
use crate::agree::document::Edit;
use pathbank_coordination::consensus::election::{LogPosition, Role, VoteRequest, VoteTally};
use pathbank_coordination::consensus::replication_progress::ReplicationProgress;
use replication::{Append, Appended};
use saved::is_older;
use std::collections::BTreeMap;

/// None stay in memory where they are this large.
const KEPT_BYTES: usize = 4 * 1024 * 1024;
/// A term that began within so many waits for a leader after the one before it began soon.
const SOON: Micros = 4;
/// The wait for a leader is doubled so often at most.
const MOST_DOUBLED: u32 = 2;
/// Leases that are out at once: far more heads than there are.
const MOST_GRANTS: usize = 10_000;

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

/// What the leader knows of another voter.
#[derive(Clone, Copy, Debug)]
struct Other {
    cursor: ReplicationProgress,
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
    votes: VoteTally<VoterId>,
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
            votes: VoteTally::default(),
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
        self.saved.log.last_index()
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

    /// The last word of the log on who votes counts from the moment that it is there.
    fn read_voters(&mut self) {
        let told = self.saved.log.entries().iter().rev().find_map(|entry| match &entry.command {
            Command::Voters(voters) => Some(voters),
            _ => None,
        });
        let told = told.or(self.ledger.latest_voters()).unwrap_or(&self.at_start);
        if self.voters != *told {
            self.voters = told.clone();
        }
        if self.leads() {
            let (cursor, now) = (ReplicationProgress::behind(self.last()), self.led_at.unwrap_or(0));
            for other in self.others() {
                self.known.entry(other).or_insert(Other { cursor, cleared: 0, heard: now });
            }
            let voters = &self.voters;
            self.known.retain(|other, _| voters.contains_key(other));
        }
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
                (self.role, self.leader) = (Role::PreCandidate, None);
                self.ask_for_votes(true, self.saved.term + 1, &mut out);
                self.count_votes(now, draw, &mut out);
            }
        }
        out
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
                let log = LogPosition { term: last_term, index: last };
                self.hear_vote(now, draw, VoteRequest { candidate: from, term, pre, log }, out);
            }
            Message::Voted { pre, term, yes } => self.hear_voted(now, draw, from, (pre, term, yes), out),
            Message::Append { term, before, before_term, entries, commit } => {
                let append = Append { term, before, before_term, entries, commit };
                self.hear_append(now, draw, from, append, out);
            }
            Message::Snapshot { term, last_term, ledger } => {
                self.hear_snapshot(now, draw, from, (term, last_term, ledger), out);
            }
            Message::Appended { term, yes, matched, cleared } => {
                self.hear_appended(now, from, Appended { term, yes, matched, cleared }, out);
            }
            Message::Renew { .. } | Message::Granted { .. } => {}
        }
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
        let begun = self.saved.log.term_at(self.commit) == Some(self.saved.term);
        let in_log =
            |index| matches!(self.saved.log.entry(index), Some(Entry { command: Command::Voters(_), .. }));
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
