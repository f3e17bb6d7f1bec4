//! A replica of the log. Terms, majorities and leases as in Raft, with joint consensus for changes of the
//! group.
//!
//! The caller saves [`Effects::records`] in order. A message with `after_save` leaves once they are on disk;
//! the others may leave at once. [`Replica::on_persisted`] tells the replica how far the disk is.

mod departing;
mod following;
mod leading;
mod log;
mod transfer;
mod voting;

pub use crate::consensus::election::Role;
pub use departing::Departure;
pub use transfer::SNAPSHOT_CHUNK_BYTES;

use crate::consensus::election::{LogPosition, VoteTally};
use crate::record::{DurableState, Record};
use crate::types::{Entry, Index, Member, Membership, Message, Millis, Payload, Snapshot, StoreId, Term};
use leading::{AppendReply, Progress};
use std::collections::BTreeMap;
use transfer::{EncodedSnapshot, PartialSnapshot};
use voting::{VoteQuestion, VoteReply};

/// Waits, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between a leader's heartbeats.
    pub heartbeat_interval_ms: Millis,
    /// A follower that hears no leader for so long, and up to twice that, asks for votes; before, it gives
    /// none.
    pub election_timeout_ms: Millis,
    /// For how long a leader may act after it sent what a majority answered. Shorter than `election`.
    pub lease_ms: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { heartbeat_interval_ms: 80, election_timeout_ms: 400, lease_ms: 300 }
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
    /// Entries that are committed, for the state machine: the next ones, not necessarily all.
    pub committed: Vec<Entry>,
}

/// Why a proposal was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, or nobody.
    #[error("this replica does not lead")]
    NotLeader,
    /// A change of the group is under way, or the term has only begun.
    #[error("the group is changing")]
    MembershipChanging,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    me: Member,
    timing: Timing,
    durable: DurableState,
    membership: Membership,
    /// Where the newest membership entry stands; 0: in the snapshot or from the start.
    membership_index: Index,
    role: Role,
    leader: Option<Member>,
    leader_heard: Option<Millis>,
    /// What the leader said is committed, whether this replica has it or not.
    leader_commit: Index,
    /// Before this no vote is given: an earlier incarnation of this process may have heard a leader.
    votes_from: Millis,
    election_at: Millis,
    heartbeat_at: Millis,
    join_at: Millis,
    votes: VoteTally<StoreId>,
    progress: BTreeMap<StoreId, Progress>,
    /// Voters that told this leader that they are about to end, and when.
    leaving: BTreeMap<StoreId, Millis>,
    /// What became of this replica's own wish to leave.
    departure: Departure,
    /// The newest snapshot as this leader sends it.
    encoded_snapshot: Option<EncodedSnapshot>,
    /// The snapshot that this follower is being sent.
    partial_snapshot: Option<PartialSnapshot>,
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
    pub fn new(me: Member, timing: Timing, durable: DurableState, now: Millis, random: u64) -> Replica {
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
            votes_from: now + if last > 0 || durable.term > 0 { timing.election_timeout_ms } else { 0 },
            election_at: 0,
            heartbeat_at: 0,
            join_at: now,
            votes: VoteTally::default(),
            progress: BTreeMap::new(),
            leaving: BTreeMap::new(),
            departure: Departure::default(),
            encoded_snapshot: None,
            partial_snapshot: None,
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
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }
    /// Leads, and has applied all that earlier leaders committed.
    pub fn is_established_leader(&self) -> bool {
        self.role == Role::Leader && self.applied >= self.term_start
    }
    /// Until when no other replica can lead: what this one answers or does before is the newest.
    pub fn lease_until(&self) -> Millis {
        if !self.is_established_leader() {
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
        newest.saturating_add(if newest == 0 { 0 } else { self.timing.lease_ms })
    }
    /// The replicas that this leader speaks to: the member, all that it saved, and when it was last heard.
    pub fn peers(&self) -> impl Iterator<Item = (&Member, Index, Millis)> {
        self.progress.values().map(|other| (&other.member, other.cursor.match_index, other.heard))
    }
    /// Whether this replica has applied all that it could know to be committed: it leads within its lease, or
    /// heard a leader within `silence` milliseconds and lacks nothing of what that leader told.
    pub fn is_current(&self, now: Millis, silence: Millis) -> bool {
        if self.role == Role::Leader {
            return self.lease_until() > now;
        }
        let heard = self.leader_heard.is_some_and(|heard| now < heard + silence);
        // A leader that has only begun does not know yet how far the log was committed before it.
        let settled = self.durable.term_at(self.leader_commit) == Some(self.durable.term);
        heard && settled && self.applied >= self.leader_commit
    }
    /// Who leads, as far as was heard within `silence` milliseconds: one that fell silent may lead no longer.
    pub fn leader_within(&self, now: Millis, silence: Millis) -> Option<&Member> {
        let heard = self.role == Role::Leader || self.leader_heard.is_some_and(|heard| now < heard + silence);
        self.leader().filter(|_| heard)
    }
    /// When the leader of this group was heard last, if ever in this incarnation.
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
            self.join_at = now + self.timing.election_timeout_ms / 2;
        }
        self.finish(&mut effects);
        effects
    }

    /// Whether this replica should ask others to let it take part: nobody has led it for a while.
    pub fn wants_to_join(&self, now: Millis) -> bool {
        let silence = self.leader_heard().map_or(Millis::MAX, |heard| now.saturating_sub(heard));
        self.role != Role::Leader && silence > self.timing.election_timeout_ms
    }

    /// All records handed out up to the entry `index` are on disk.
    pub fn on_persisted(&mut self, now: Millis, index: Index) -> Effects {
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
    pub fn propose_membership(&mut self, now: Millis, voters: Vec<Member>) -> Result<Effects, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        let settled = self.is_established_leader() && self.commit >= self.membership_index;
        if !settled || self.membership.is_joint() || voters.is_empty() {
            return Err(ProposeError::MembershipChanging);
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
    pub fn transfer_leadership(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::default();
        if self.role == Role::Leader {
            self.transfer_to_best_voter(now, &mut effects);
        }
        effects
    }

    /// Another replica said something.
    pub fn step(&mut self, now: Millis, from: Member, message: Message) -> Effects {
        let mut effects = Effects::default();
        if from.id == self.me.id {
            return effects;
        }
        match message {
            Message::VoteRequest { term, pre, leadership_transfer, last_index, last_term } => {
                let log = LogPosition { term: last_term, index: last_index };
                self.on_vote_request(
                    now,
                    from,
                    VoteQuestion { term, pre, leadership_transfer, log },
                    &mut effects,
                );
            }
            Message::VoteReply { term, pre, granted } => {
                self.on_vote_reply(now, from, VoteReply { term, pre, granted }, &mut effects);
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
            Message::SnapshotChunk(part) => self.on_snapshot_part(now, from, part, &mut effects),
            Message::SnapshotReply { term, index, received, sent_at } => {
                self.on_snapshot_reply(now, &from, (term, index, received, sent_at), &mut effects);
            }
            Message::AppendReply { term, accepted, index, sent_at } => {
                let reply = AppendReply { term, accepted, index, sent_at };
                self.on_append_reply(now, from, reply, &mut effects);
            }
            Message::CampaignNow { term } => {
                let mine = term == self.durable.term && self.membership.contains(self.me.id);
                if mine && !self.impaired && self.role == Role::Follower {
                    self.ask_for_votes(now, false, true, &mut effects);
                }
            }
            Message::Join => self.on_join(now, from, &mut effects),
            Message::Leave => self.on_leave(now, from, &mut effects),
            Message::LeaveReply { term, replacing } => self.on_leave_reply(term, replacing),
        }
        self.finish(&mut effects);
        effects
    }
}
