//! A replica of the log. Terms, majorities and leases as in Raft, with joint consensus for changes of the group.
//!
//! The caller saves [`Effects::records`] in order. A message with `after_save` leaves once they are on disk; the others
//! may leave at once. [`Replica::saved`] tells the replica how far the disk is.

use crate::record::{Durable, Record};
use crate::types::{Entry, Index, Member, Membership, Message, Millis, Payload, Snapshot, StoreId, Term};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of entries that one message carries at most, beyond its first entry.
const MOST_APPEND_BYTES: usize = 256 * 1024;
/// A message without an answer for so many heartbeats is sent again.
const RESEND_HEARTBEATS: Millis = 4;

/// Waits, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between a leader's heartbeats.
    pub heartbeat: Millis,
    /// A follower that hears no leader for so long, and up to twice that, asks for votes; before, it gives none.
    pub election: Millis,
    /// For how long a leader may act after it sent what a majority answered. Shorter than `election`.
    pub lease: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { heartbeat: 80, election: 400, lease: 300 }
    }
}

/// Where a message goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiver.
    pub to: Member,
    /// What is said.
    pub message: Message,
    /// It may leave only once all records handed out so far are on disk.
    pub after_save: bool,
}

/// What a call asks its caller to do, in this order: save, send, apply.
#[derive(Debug, Default)]
pub struct Effects {
    /// To be saved, in order.
    pub records: Vec<Record>,
    /// To be sent.
    pub messages: Vec<Outgoing>,
    /// A state that replaces the state machine's.
    pub install: Option<Snapshot>,
    /// Entries that are committed now, for the state machine.
    pub committed: Vec<Entry>,
}

/// What a replica is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a leader knows of another replica.
#[derive(Clone, Debug)]
struct Progress {
    member: Member,
    /// The next entry to send.
    next: Index,
    /// All up to here is on its disk.
    matched: Index,
    /// When the newest message that it answered was sent.
    answered: Millis,
    /// When it last joined or answered.
    heard: Millis,
    /// When entries or a snapshot that it has not answered were sent.
    in_flight: Option<Millis>,
}

/// Why a proposal was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, or nobody.
    #[error("this replica does not lead")]
    NotLeader,
    /// A change of the group is under way, or the term has only begun.
    #[error("the group is changing")]
    Unsettled,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    me: Member,
    timing: Timing,
    durable: Durable,
    membership: Membership,
    /// Where the newest membership entry stands; 0: in the snapshot or from the start.
    membership_index: Index,
    role: Role,
    leader: Option<Member>,
    leader_heard: Option<Millis>,
    /// What the leader said is committed, whether this replica has it or not.
    leader_commit: Index,
    /// Before this no vote is given: an earlier life of this process may have heard a leader.
    votes_from: Millis,
    election_at: Millis,
    heartbeat_at: Millis,
    join_at: Millis,
    votes: BTreeSet<StoreId>,
    progress: BTreeMap<StoreId, Progress>,
    commit: Index,
    applied: Index,
    saved: Index,
    term_start: Index,
    /// Its disk takes nothing at the moment: it does not stand for election.
    impaired: bool,
    random: u64,
}

impl Replica {
    /// Starts on what the disk held. `random`: any number, another one at each start.
    pub fn new(me: Member, timing: Timing, durable: Durable, now: Millis, random: u64) -> Replica {
        let last = durable.last_index();
        let mut replica = Replica {
            me,
            timing,
            membership: Membership::default(),
            membership_index: 0,
            role: Role::Follower,
            leader: None,
            leader_heard: None,
            leader_commit: 0,
            votes_from: now + if last > 0 || durable.term > 0 { timing.election } else { 0 },
            election_at: 0,
            heartbeat_at: 0,
            join_at: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            commit: durable.snapshot.index,
            applied: durable.snapshot.index,
            saved: last,
            term_start: 0,
            impaired: false,
            random,
            durable,
        };
        replica.read_membership();
        replica.wait_for_leader(now);
        replica
    }

    // ---- what others read ----

    /// This replica.
    pub fn me(&self) -> &Member {
        &self.me
    }
    /// Its role.
    pub fn role(&self) -> Role {
        self.role
    }
    /// The term.
    pub fn term(&self) -> Term {
        self.durable.term
    }
    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<&Member> {
        match self.role {
            Role::Leader => Some(&self.me),
            _ => self.leader.as_ref(),
        }
    }
    /// The group as its log has it.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }
    /// All up to here is committed.
    pub fn commit(&self) -> Index {
        self.commit
    }
    /// Its durable state.
    pub fn durable(&self) -> &Durable {
        &self.durable
    }
    /// Leads, and has applied all that earlier leaders committed.
    pub fn is_settled_leader(&self) -> bool {
        self.role == Role::Leader && self.applied >= self.term_start
    }
    /// Until when no other replica can lead: what this one answers or does before is the newest.
    pub fn lease_until(&self) -> Millis {
        if !self.is_settled_leader() {
            return 0;
        }
        let mut sent: Vec<Millis> = self.progress.values().map(|other| other.answered).collect();
        sent.push(Millis::MAX);
        sent.sort_unstable();
        let quorum_at = |time: Millis| {
            self.membership.has_quorum(|id| {
                id == self.me.id || self.progress.get(&id).is_some_and(|p| p.answered >= time)
            })
        };
        let newest = sent.into_iter().rev().find(|time| quorum_at(*time)).unwrap_or(0);
        newest.saturating_add(if newest == 0 { 0 } else { self.timing.lease })
    }
    /// The replicas that this leader speaks to: the member, all that it saved, and when it was last heard.
    pub fn others(&self) -> impl Iterator<Item = (&Member, Index, Millis)> {
        self.progress.values().map(|other| (&other.member, other.matched, other.heard))
    }
    /// Whether this replica has applied all that it could know to be committed: it leads, or heard a leader within
    /// `silence` milliseconds and lacks nothing of what that leader told.
    pub fn is_current(&self, now: Millis, silence: Millis) -> bool {
        let heard = self.leader_heard.is_some_and(|heard| now < heard + silence);
        self.is_settled_leader() || heard && self.leader_commit > 0 && self.applied >= self.leader_commit
    }
    /// When the leader of this group was heard last, if ever in this life.
    pub fn leader_heard(&self) -> Option<Millis> {
        if self.role == Role::Leader { Some(Millis::MAX) } else { self.leader_heard }
    }

    // ---- events ----

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::default();
        match self.role {
            Role::Leader => self.lead_on(now, &mut effects),
            _ if now >= self.election_at => self.ask_for_votes(now, true, false, &mut effects),
            _ => {}
        }
        if self.role != Role::Leader && now >= self.join_at {
            self.join_at = now + self.timing.election / 2;
        }
        self.finish(&mut effects);
        effects
    }

    /// Whether this replica should ask others to let it take part: nobody has led it for a while.
    pub fn wants_to_join(&self, now: Millis) -> bool {
        let silence = self.leader_heard().map_or(Millis::MAX, |heard| now.saturating_sub(heard));
        self.role != Role::Leader && silence > self.timing.election
    }

    /// All records handed out up to the entry `index` are on disk.
    pub fn saved(&mut self, now: Millis, index: Index) -> Effects {
        let mut effects = Effects::default();
        self.saved = index.min(self.durable.last_index());
        if self.role == Role::Leader {
            self.advance_commit(now, &mut effects);
        }
        self.finish(&mut effects);
        effects
    }

    /// The disk refuses or has not answered for long (`true`), or works again.
    pub fn set_impaired(&mut self, now: Millis, impaired: bool) -> Effects {
        let mut effects = Effects::default();
        self.impaired = impaired;
        if impaired && self.role == Role::Leader {
            self.step_down(now);
        }
        self.finish(&mut effects);
        effects
    }

    /// Proposes an entry. It may still be lost; whoever waits looks at what is committed.
    pub fn propose(&mut self, now: Millis, command: Vec<u8>) -> Result<(Index, Effects), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        let mut effects = Effects::default();
        let index = self.append(now, Payload::Command(command), &mut effects);
        self.finish(&mut effects);
        Ok((index, effects))
    }

    /// Begins a change of the group; the leader ends it by itself.
    pub fn change_group(&mut self, now: Millis, voters: Vec<Member>) -> Result<Effects, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        let settled = self.is_settled_leader() && self.commit >= self.membership_index;
        if !settled || self.membership.is_joint() || voters.is_empty() {
            return Err(ProposeError::Unsettled);
        }
        let mut effects = Effects::default();
        let outgoing = self.membership.voters.clone();
        self.append(now, Payload::Membership(Membership { voters, outgoing }), &mut effects);
        self.finish(&mut effects);
        Ok(effects)
    }

    /// Replaces all entries up to `index`, which has to be applied, by the state machine's own `data`.
    pub fn compact(&mut self, index: Index, leaders: Vec<String>, data: Vec<u8>) -> Effects {
        let mut effects = Effects::default();
        let Some(term) = self.durable.term_at(index).filter(|_| index <= self.applied) else {
            return effects;
        };
        let membership = self.membership_at(index);
        let snapshot = Snapshot { index, term, membership, leaders, data };
        self.save(Record::Snapshot { snapshot, keep_tail: true }, &mut effects);
        effects
    }

    /// The leader hands over to the voter that has most of the log, and leads no more.
    pub fn hand_over(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::default();
        if self.role != Role::Leader {
            return effects;
        }
        let voters = self.progress.values().filter(|other| self.membership.contains(other.member.id));
        let Some(best) = voters.max_by_key(|other| (other.matched, other.answered)) else { return effects };
        let to = best.member.clone();
        let message = Message::CampaignNow { term: self.durable.term };
        self.step_down(now);
        effects.messages.push(Outgoing { to, message, after_save: false });
        effects
    }

    /// Another replica said something.
    pub fn hear(&mut self, now: Millis, from: Member, message: Message) -> Effects {
        let mut effects = Effects::default();
        if from.id == self.me.id {
            return effects;
        }
        match message {
            Message::VoteRequest { term, pre, handover, last_index, last_term } => {
                let candidate_log = (last_term, last_index);
                self.on_vote_request(now, from, term, pre, handover, candidate_log, &mut effects);
            }
            Message::VoteReply { term, pre, granted } => {
                self.on_vote_reply(now, from, term, pre, granted, &mut effects);
            }
            Message::Append { term, previous_index, previous_term, entries, commit, sent_at } => {
                if self.follow(now, &from, term, sent_at, &mut effects) {
                    self.on_append(
                        from,
                        (previous_index, previous_term),
                        entries,
                        commit,
                        sent_at,
                        &mut effects,
                    );
                }
            }
            Message::InstallSnapshot { term, snapshot, sent_at } => {
                if self.follow(now, &from, term, sent_at, &mut effects) {
                    self.on_snapshot(from, snapshot, sent_at, &mut effects);
                }
            }
            Message::AppendReply { term, accepted, index, sent_at } => {
                self.on_append_reply(now, from, term, accepted, index, sent_at, &mut effects);
            }
            Message::CampaignNow { term } => {
                let mine = term == self.durable.term && self.membership.contains(self.me.id);
                if mine && !self.impaired && self.role == Role::Follower {
                    self.ask_for_votes(now, false, true, &mut effects);
                }
            }
            Message::Join => self.on_join(now, from, &mut effects),
        }
        self.finish(&mut effects);
        effects
    }

    // ---- elections ----

    fn draw(&mut self) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random >> 33
    }

    fn wait_for_leader(&mut self, now: Millis) {
        let spread = self.draw() % self.timing.election;
        self.election_at = now + self.timing.election + spread;
    }

    fn step_down(&mut self, now: Millis) {
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        self.wait_for_leader(now);
    }

    fn enter_term(&mut self, now: Millis, term: Term, voted_for: Option<StoreId>, effects: &mut Effects) {
        self.step_down(now);
        self.save(Record::Vote { term, voted_for }, effects);
    }

    fn ask_for_votes(&mut self, now: Millis, pre: bool, handover: bool, effects: &mut Effects) {
        self.wait_for_leader(now);
        if self.impaired || !self.membership.contains(self.me.id) {
            self.role = Role::Follower;
            return;
        }
        let term = self.durable.term + 1;
        if !pre {
            self.enter_term(now, term, Some(self.me.id), effects);
        }
        self.role = if pre { Role::PreCandidate } else { Role::Candidate };
        self.votes = BTreeSet::from([self.me.id]);
        let (last_index, last_term) = (self.durable.last_index(), self.durable.last_term());
        let message = Message::VoteRequest { term, pre, handover, last_index, last_term };
        let others = self.membership.members().filter(|member| member.id != self.me.id);
        let requests =
            others.map(|to| Outgoing { to: to.clone(), message: message.clone(), after_save: true });
        effects.messages.extend(requests);
        self.count_votes(now, handover, effects);
    }

    fn count_votes(&mut self, now: Millis, handover: bool, effects: &mut Effects) {
        if !self.membership.has_quorum(|id| self.votes.contains(&id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.ask_for_votes(now, false, handover, effects),
            Role::Candidate => self.become_leader(now, effects),
            Role::Follower | Role::Leader => {}
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn on_vote_request(
        &mut self,
        now: Millis,
        from: Member,
        term: Term,
        pre: bool,
        handover: bool,
        candidate_log: (Term, Index),
        effects: &mut Effects,
    ) {
        let leader_lives = match self.role {
            Role::Leader => true,
            _ => self.leader_heard.is_some_and(|heard| now < heard + self.timing.election),
        };
        let bound = !handover && (leader_lives || now < self.votes_from);
        if bound || term < self.durable.term {
            let reply = Message::VoteReply { term: self.durable.term, pre, granted: false };
            effects.messages.push(Outgoing { to: from, message: reply, after_save: true });
            return;
        }
        let up_to_date = candidate_log >= (self.durable.last_term(), self.durable.last_index());
        if pre {
            let granted = up_to_date && term > self.durable.term;
            let reply =
                Message::VoteReply { term: if granted { term } else { self.durable.term }, pre, granted };
            effects.messages.push(Outgoing { to: from, message: reply, after_save: true });
            return;
        }
        if term > self.durable.term {
            self.enter_term(now, term, None, effects);
        }
        let free = self.durable.voted_for.is_none_or(|voted| voted == from.id);
        let granted = free && up_to_date && self.role == Role::Follower;
        if granted {
            self.save(Record::Vote { term, voted_for: Some(from.id) }, effects);
            self.wait_for_leader(now);
        }
        let reply = Message::VoteReply { term, pre, granted };
        effects.messages.push(Outgoing { to: from, message: reply, after_save: true });
    }

    fn on_vote_reply(
        &mut self,
        now: Millis,
        from: Member,
        term: Term,
        pre: bool,
        granted: bool,
        effects: &mut Effects,
    ) {
        if !granted {
            if term > self.durable.term {
                self.enter_term(now, term, None, effects);
            }
            return;
        }
        let counts = match self.role {
            Role::PreCandidate => pre && term == self.durable.term + 1,
            Role::Candidate => !pre && term == self.durable.term,
            Role::Follower | Role::Leader => false,
        };
        if counts {
            self.votes.insert(from.id);
            self.count_votes(now, false, effects);
        }
    }

    fn become_leader(&mut self, now: Millis, effects: &mut Effects) {
        self.role = Role::Leader;
        self.leader = None;
        self.progress.clear();
        self.sync_progress(now);
        self.term_start = self.append(now, Payload::LeaderStart(self.me.name.clone()), effects);
        self.heartbeat_at = now;
        self.lead_on(now, effects);
    }

    // ---- leading ----

    /// Every voter has its progress; what voters were are kept while they answer.
    fn sync_progress(&mut self, now: Millis) {
        let next = self.durable.last_index() + 1;
        for member in self.membership.members().filter(|member| member.id != self.me.id) {
            let fresh = || Progress {
                member: member.clone(),
                next,
                matched: 0,
                answered: 0,
                heard: now,
                in_flight: None,
            };
            self.progress.entry(member.id).or_insert_with(fresh);
        }
    }

    fn lead_on(&mut self, now: Millis, effects: &mut Effects) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + self.timing.heartbeat;
        let patience = 2 * self.timing.election;
        let heard = |id| self.progress.get(&id).is_some_and(|other: &Progress| now < other.heard + patience);
        if !self.membership.has_quorum(|id| id == self.me.id || heard(id)) {
            self.step_down(now);
            return;
        }
        let membership = &self.membership;
        self.progress.retain(|id, other| membership.contains(*id) || now < other.heard + patience);
        let ids: Vec<StoreId> = self.progress.keys().copied().collect();
        ids.into_iter().for_each(|id| self.send_append(now, id, true, effects));
    }

    /// Sends what a replica lacks, or nothing but a heartbeat.
    fn send_append(&mut self, now: Millis, id: StoreId, heartbeat: bool, effects: &mut Effects) {
        let patience = RESEND_HEARTBEATS * self.timing.heartbeat;
        let Some(other) = self.progress.get_mut(&id) else { return };
        let waits = other.in_flight.is_some_and(|sent| now < sent + patience);
        if other.in_flight.is_some() && !waits {
            other.next = other.matched + 1;
            other.in_flight = None;
        }
        let lacks = other.next <= self.durable.last_index();
        if !heartbeat && (waits || !lacks) {
            return;
        }
        let term = self.durable.term;
        let previous_index = other.next - 1;
        let Some(previous_term) = self.durable.term_at(previous_index) else {
            if !waits {
                other.in_flight = Some(now);
                let snapshot = self.durable.snapshot.clone();
                let message = Message::InstallSnapshot { term, snapshot, sent_at: now };
                effects.messages.push(Outgoing { to: other.member.clone(), message, after_save: false });
            }
            return;
        };
        let mut entries = Vec::new();
        let mut bytes = 0;
        while let Some(entry) = self.durable.entry(other.next).filter(|_| !waits && bytes < MOST_APPEND_BYTES)
        {
            bytes += entry.payload.size();
            entries.push(entry.clone());
            other.next += 1;
        }
        if !entries.is_empty() {
            other.in_flight = Some(now);
        }
        let commit = self.commit;
        let message = Message::Append { term, previous_index, previous_term, entries, commit, sent_at: now };
        effects.messages.push(Outgoing { to: other.member.clone(), message, after_save: false });
    }

    fn append(&mut self, now: Millis, payload: Payload, effects: &mut Effects) -> Index {
        let index = self.durable.last_index() + 1;
        let entry = Entry { index, term: self.durable.term, payload };
        self.save(Record::Entry(entry), effects);
        self.sync_progress(now);
        let ids: Vec<StoreId> = self.progress.keys().copied().collect();
        ids.into_iter().for_each(|id| self.send_append(now, id, false, effects));
        index
    }

    #[allow(clippy::too_many_arguments)]
    fn on_append_reply(
        &mut self,
        now: Millis,
        from: Member,
        term: Term,
        accepted: bool,
        index: Index,
        sent_at: Millis,
        effects: &mut Effects,
    ) {
        if term > self.durable.term {
            self.enter_term(now, term, None, effects);
            return;
        }
        if self.role != Role::Leader || term != self.durable.term {
            return;
        }
        let Some(other) = self.progress.get_mut(&from.id) else {
            // A new store at a voter's address hears what is said to that voter, and so never asks to join.
            return self.on_join(now, from, effects);
        };
        other.heard = now;
        other.answered = other.answered.max(sent_at);
        other.member = from.clone();
        if accepted {
            other.matched = other.matched.max(index);
            other.next = other.next.max(other.matched + 1);
            if other.in_flight.is_some_and(|sent| sent <= sent_at) {
                other.in_flight = None;
            }
            self.advance_commit(now, effects);
        } else {
            other.next = (index + 1).min(other.next).max(other.matched + 1);
            other.in_flight = None;
        }
        self.send_append(now, from.id, false, effects);
    }

    fn on_join(&mut self, now: Millis, from: Member, effects: &mut Effects) {
        if self.role != Role::Leader {
            return;
        }
        let next = self.durable.last_index() + 1;
        let id = from.id;
        let fresh = Progress { member: from, next, matched: 0, answered: 0, heard: now, in_flight: None };
        let other = self.progress.entry(id).or_insert(fresh);
        other.heard = now;
        self.send_append(now, id, true, effects);
    }

    fn advance_commit(&mut self, now: Millis, effects: &mut Effects) {
        let saved = |id: StoreId| match id == self.me.id {
            true => self.saved,
            false => self.progress.get(&id).map_or(0, |other| other.matched),
        };
        let candidates: Vec<Index> = self.membership.members().map(|member| saved(member.id)).collect();
        let reached =
            candidates.into_iter().filter(|index| self.membership.has_quorum(|id| saved(id) >= *index)).max();
        let Some(index) = reached.filter(|index| *index > self.commit) else { return };
        // Entries of earlier terms count only together with one of this term.
        if self.durable.term_at(index) != Some(self.durable.term) {
            return;
        }
        self.commit = index;
        self.finish_group_change(now, effects);
        let ids: Vec<StoreId> = self.progress.keys().copied().collect();
        ids.into_iter().for_each(|id| self.send_append(now, id, true, effects));
    }

    /// A committed joint group is followed by the new one alone; a leader outside the new group goes.
    fn finish_group_change(&mut self, now: Millis, effects: &mut Effects) {
        if self.commit < self.membership_index {
            return;
        }
        if self.membership.is_joint() {
            let voters = self.membership.voters.clone();
            self.append(now, Payload::Membership(Membership::of(voters)), effects);
        } else if !self.membership.contains(self.me.id) {
            self.step_down(now);
        }
    }

    // ---- following ----

    /// Whether `from` leads in a term that counts; then it is the leader from now on.
    fn follow(
        &mut self,
        now: Millis,
        from: &Member,
        term: Term,
        sent_at: Millis,
        effects: &mut Effects,
    ) -> bool {
        if term < self.durable.term {
            let message =
                Message::AppendReply { term: self.durable.term, accepted: false, index: 0, sent_at };
            effects.messages.push(Outgoing { to: from.clone(), message, after_save: true });
            return false;
        }
        if term > self.durable.term {
            self.enter_term(now, term, None, effects);
        }
        self.role = Role::Follower;
        self.leader = Some(from.clone());
        self.leader_heard = Some(now);
        self.wait_for_leader(now);
        true
    }

    fn on_append(
        &mut self,
        from: Member,
        previous: (Index, Term),
        entries: Vec<Entry>,
        commit: Index,
        sent_at: Millis,
        effects: &mut Effects,
    ) {
        let (previous_index, previous_term) = previous;
        self.leader_commit = self.leader_commit.max(commit);
        let covered = previous_index < self.durable.snapshot.index;
        if !covered && self.durable.term_at(previous_index) != Some(previous_term) {
            let retry_from = previous_index.saturating_sub(1).min(self.durable.last_index()).max(self.commit);
            self.reply(from, false, retry_from, sent_at, effects);
            return;
        }
        let last = previous_index + entries.len() as Index;
        for entry in entries {
            let known = entry.index <= self.durable.snapshot.index;
            if !known && self.durable.term_at(entry.index) != Some(entry.term) {
                self.save(Record::Entry(entry), effects);
            }
        }
        self.commit = self.commit.max(commit.min(last));
        self.reply(from, true, last, sent_at, effects);
    }

    fn on_snapshot(&mut self, from: Member, snapshot: Snapshot, sent_at: Millis, effects: &mut Effects) {
        let index = snapshot.index;
        if index > self.commit {
            self.commit = index;
            self.applied = index;
            effects.install = Some(snapshot.clone());
            self.save(Record::Snapshot { snapshot, keep_tail: false }, effects);
        }
        self.reply(from, true, index, sent_at, effects);
    }

    fn reply(&mut self, to: Member, accepted: bool, index: Index, sent_at: Millis, effects: &mut Effects) {
        let message = Message::AppendReply { term: self.durable.term, accepted, index, sent_at };
        effects.messages.push(Outgoing { to, message, after_save: true });
    }

    // ---- durable state ----

    fn save(&mut self, record: Record, effects: &mut Effects) {
        let may_change_group = match &record {
            Record::Entry(entry) => {
                entry.index <= self.membership_index || matches!(entry.payload, Payload::Membership(_))
            }
            Record::Snapshot { .. } => true,
            _ => false,
        };
        if let Record::Entry(entry) = &record {
            self.saved = self.saved.min(entry.index - 1);
        }
        effects.records.push(record.clone());
        self.durable.apply(record);
        if may_change_group {
            self.read_membership();
        }
    }

    fn membership_entry(&self, up_to: Index) -> Option<(Index, &Membership)> {
        let entries = self.durable.entries.iter().rev().filter(|entry| entry.index <= up_to);
        let mut groups = entries.filter_map(|entry| match &entry.payload {
            Payload::Membership(membership) => Some((entry.index, membership)),
            _ => None,
        });
        groups.next()
    }

    fn membership_at(&self, index: Index) -> Membership {
        let in_log = self.membership_entry(index).map(|(_, membership)| membership);
        let snapshot = Some(&self.durable.snapshot.membership).filter(|group| !group.voters.is_empty());
        in_log.or(snapshot).unwrap_or(&self.durable.initial).clone()
    }

    fn read_membership(&mut self) {
        self.membership_index = self.membership_entry(Index::MAX).map_or(0, |(index, _)| index);
        self.membership = self.membership_at(Index::MAX);
    }

    /// Hands out what is committed and not yet applied.
    fn finish(&mut self, effects: &mut Effects) {
        while self.applied < self.commit {
            let Some(entry) = self.durable.entry(self.applied + 1) else { return };
            effects.committed.push(entry.clone());
            self.applied += 1;
        }
    }
}
