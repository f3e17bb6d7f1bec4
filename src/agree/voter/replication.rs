//! The log on its way from the leader to the others, and what counts by the copies that are there.

use super::{KEPT_BYTES, Other, Output, Save, To, Voter};
use crate::agree::ledger::Ledger;
use crate::agree::{Command, Entry, Index, Message, Micros, Term, VoterId, at_once};
use pathbank_coordination::consensus::election::Role;
use pathbank_coordination::consensus::quorum::{majority_match_index, may_commit};

/// Entries of a leader, as [`Message::Append`] has them.
pub(super) struct Append {
    pub term: Term,
    pub before: Index,
    pub before_term: Term,
    pub entries: Vec<Entry>,
    pub commit: Index,
}

/// A voter's answer to them, as [`Message::Appended`] has it.
pub(super) struct Appended {
    pub term: Term,
    pub yes: bool,
    pub matched: Index,
    pub cleared: Index,
}

impl Voter {
    /// Whether a leader's word counts: of its term there is no other.
    pub(super) fn follows(
        &mut self,
        now: Micros,
        draw: u64,
        from: VoterId,
        term: Term,
        out: &mut Output,
    ) -> bool {
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

    pub(super) fn say_matched(&self, now: Micros, to: VoterId, yes: bool, matched: Index, out: &mut Output) {
        let (term, cleared) = (self.saved.term, self.cleared(now));
        out.send.push((To::Voter(to), Message::Appended { term, yes, matched, cleared }));
    }

    pub(super) fn lead(&mut self, now: Micros, out: &mut Output) {
        (self.role, self.leader, self.led_at, self.beat_at) = (Role::Leader, Some(self.id), Some(now), now);
        self.known.clear();
        self.caught_up = true;
        self.read_voters();
        self.put(Command::Begin, out);
        self.advance(now, out);
        self.append_to_all(out);
    }

    pub(super) fn put(&mut self, command: Command, out: &mut Output) -> Index {
        let entry = Entry { term: self.saved.term, command };
        self.save(Save::Put(self.last() + 1, entry), out);
        self.last()
    }

    pub(super) fn append_to_all(&self, out: &mut Output) {
        self.known.keys().for_each(|other| self.append_to(*other, out));
    }

    pub(super) fn append_to(&self, to: VoterId, out: &mut Output) {
        let Some(other) = self.known.get(&to) else { return };
        let before = other.cursor.next - 1;
        let (term, commit) = (self.saved.term, self.commit);
        let message = match self.saved.log.term_at(before) {
            Some(before_term) => {
                let entries = at_once(self.saved.log.entries_after(before).iter());
                Message::Append { term, before, before_term, entries, commit }
            }
            None => {
                let last_term = self.saved.log.term_at(commit).unwrap_or(0);
                Message::Snapshot { term, last_term, ledger: Box::new(self.ledger.clone()) }
            }
        };
        out.send.push((To::Voter(to), message));
    }

    /// Takes what a leader has; what differs from it goes. A late message takes nothing away.
    pub(super) fn take(&mut self, before: Index, entries: Vec<Entry>, out: &mut Output) -> Index {
        let matched = before + entries.len() as Index;
        let known = self.saved.log.matching_prefix(self.commit, before, &entries);
        for (entry, index) in entries.into_iter().zip(before + 1..).skip(known) {
            if index <= self.last() {
                self.save(Save::Cut(index - 1), out);
            }
            self.save(Save::Put(index, entry), out);
        }
        matched
    }

    /// Of so many voters a majority has that or more.
    pub(super) fn reached(&self, own: Index, of: impl Fn(&Other) -> Index) -> Index {
        let each = |id: &VoterId| match self.known.get(id) {
            Some(other) => of(other),
            None if *id == self.id => own,
            None => 0,
        };
        majority_match_index(self.voters.keys().map(each))
    }

    /// Only what is of its own term counts by copies; what came before counts by that.
    pub(super) fn count_copies(&mut self, out: &mut Output) {
        let reached = self.reached(self.last(), |other| other.cursor.matched);
        if may_commit(reached, self.commit, self.saved.log.term_at(reached), self.saved.term) {
            self.commit_to(reached, out);
        }
    }

    pub(super) fn advance(&mut self, now: Micros, out: &mut Output) {
        if !self.leads() {
            return;
        }
        self.count_copies(out);
        let cleared = self.reached(self.cleared(now), |other| other.cleared);
        let activated = (self.commit + 1..=self.last())
            .filter_map(|index| match self.saved.log.entry(index)?.command {
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

    pub(super) fn commit_to(&mut self, to: Index, out: &mut Output) {
        while self.commit < to {
            let Some(entry) = self.saved.log.entry(self.commit + 1) else { return };
            self.ledger.apply(entry);
            self.commit += 1;
        }
        self.keep_barrier(out);
        self.compact(out);
    }

    /// From here on nobody gets a lease who has not prepared for it, also after a restart.
    pub(super) fn keep_barrier(&mut self, out: &mut Output) {
        let prepared = self.ledger.prepared();
        if prepared > self.saved.barrier {
            self.save(Save::Barrier(prepared), out);
        }
    }

    /// Memory holds the log's end only; the disk has all of it.
    pub(super) fn compact(&mut self, out: &mut Output) {
        let counted = (self.commit - self.saved.log.base().index) as usize;
        let bytes: usize = self.saved.log.entries()[..counted].iter().map(Entry::weight).sum();
        if counted <= 2 * self.times.kept && bytes <= KEPT_BYTES {
            return;
        }
        let term = self.saved.log.term_at(self.commit).unwrap_or(0);
        let ledger = Box::new(self.ledger.clone());
        self.save(Save::Snapshot { ledger, term, whole: None }, out);
        let gone = if bytes > KEPT_BYTES { counted } else { counted - self.times.kept.min(counted) };
        let base = self.saved.log.base().index + gone as Index;
        self.saved.log.compact_to(base);
    }

    /// Entries of a leader.
    pub(super) fn hear_append(
        &mut self,
        now: Micros,
        draw: u64,
        from: VoterId,
        Append { term, before, before_term, entries, commit }: Append,
        out: &mut Output,
    ) {
        let (mut yes, mut matched) = (false, 0);
        if self.follows(now, draw, from, term, out) {
            // What it has for good is as the leader has it, also where the entry itself is gone.
            yes = before <= self.commit || self.saved.log.term_at(before) == Some(before_term);
            if yes {
                matched = self.take(before, entries, out);
                self.commit_to(commit.min(matched), out);
                self.caught_up |= matched >= commit;
            }
        }
        self.say_matched(now, from, yes, matched, out);
    }

    /// What a leader's entries came to, in their place.
    pub(super) fn hear_snapshot(
        &mut self,
        now: Micros,
        draw: u64,
        from: VoterId,
        (term, last_term, ledger): (Term, Term, Box<Ledger>),
        out: &mut Output,
    ) {
        let (mut yes, mut matched) = (false, 0);
        if self.follows(now, draw, from, term, out) {
            (yes, matched, self.caught_up) = (true, ledger.read(), true);
            if self.saved.log.term_at(ledger.read()) == Some(last_term) {
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

    /// What another voter has of this leader's log.
    pub(super) fn hear_appended(
        &mut self,
        now: Micros,
        from: VoterId,
        Appended { term, yes, matched, cleared }: Appended,
        out: &mut Output,
    ) {
        if term > self.saved.term {
            self.enter(now, term, None, out);
            return;
        }
        if term != self.saved.term || !self.leads() {
            return;
        }
        let last = self.last();
        let Some(other) = self.known.get_mut(&from) else { return };
        let tried = other.cursor.next;
        other.heard = now;
        if yes {
            other.cursor.accepted(matched.min(last));
            // Nothing is sent ahead of what was answered.
            other.cursor.go_back();
            other.cleared = cleared;
        } else {
            other.cursor.rejected(tried / 2);
        }
        self.advance(now, out);
        // Where the last try brought nothing new, the next one waits for the beat.
        let more = |other: &Other| other.cursor.next != tried && other.cursor.next <= self.last();
        if self.known.get(&from).is_some_and(more) {
            self.append_to(from, out);
        }
    }
}
