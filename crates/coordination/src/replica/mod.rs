//! A replica of the log: Raft's core without I/O, with leases (section 6.4.1) and joint membership changes
//! (section 4.3). Sections are those of Ongaro's thesis, *Consensus: Bridging Theory and Practice* (2014).
//!
//! The caller saves [`Effects::records`] in order. A message with `after_save` leaves once they are on disk;
//! the others may leave at once. [`Replica::on_persisted`] tells the replica how far the disk is.
//!
//! Invariants: `applied_index <= commit_index`; what is committed is never replaced; no vote and no
//! acknowledgement leaves before its record is on disk.

mod election;
mod follower;
mod leader;
mod log;
mod peer;
mod snapshot_transfer;
mod withdrawal;

pub use crate::consensus::election::Role;
pub use snapshot_transfer::SNAPSHOT_CHUNK_BYTES;
pub use withdrawal::Departure;

use crate::consensus::election::{LogPosition, VoteTally};
use crate::record::{DurableState, Record};
use crate::types::{Entry, Index, Member, Membership, Message, Millis, Payload, Snapshot, StoreId, Term};
use election::{Campaign, VoteQuestion, VoteReply};
use follower::AppendEntries;
use leader::AppendReply;
use peer::Peer;
use snapshot_transfer::{EncodedSnapshot, PartialSnapshot, SnapshotReply};
use std::collections::{BTreeMap, BTreeSet};

/// Intervals and timeouts, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between a leader's heartbeats.
    pub heartbeat_interval_ms: Millis,
    /// A follower that hears no leader for this time, and up to twice that, starts an election; before that
    /// it grants no vote.
    pub election_timeout_ms: Millis,
    /// For how long a leader may act after it sent what a quorum answered. Shorter than the election timeout.
    pub lease_ms: Millis,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { heartbeat_interval_ms: 80, election_timeout_ms: 400, lease_ms: 300 }
    }
}

/// A message to another replica.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiver.
    pub to: Member,
    /// The message.
    pub message: Message,
    /// It may leave only after all records handed out so far are on disk.
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

/// Why a proposal was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, or none.
    #[error("this replica does not lead")]
    NotLeader,
    /// A membership change is in progress, or the term has only begun.
    #[error("the membership is changing")]
    MembershipChanging,
}

/// What a leader knows of another replica.
#[derive(Clone, Copy, Debug)]
pub struct PeerStatus<'a> {
    /// The replica.
    pub member: &'a Member,
    /// All up to here is on its disk.
    pub match_index: Index,
    /// When it last joined or answered.
    pub last_heard_at: Millis,
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
    leader_heard_at: Option<Millis>,
    /// What the leader has committed, whether this replica has it or not.
    leader_commit_index: Index,
    /// Before this time no vote is granted: an earlier incarnation of this process may have heard a leader.
    no_votes_before: Millis,
    election_deadline: Millis,
    next_heartbeat_at: Millis,
    votes: VoteTally<StoreId>,
    /// What a leader knows of the other replicas.
    peers: BTreeMap<StoreId, Peer>,
    /// Voters that asked this leader to be taken out of the membership, and when.
    leave_requests: BTreeMap<StoreId, Millis>,
    /// What became of this replica's own request to leave.
    departure: Departure,
    /// The newest snapshot as this leader sends it.
    encoded_snapshot: Option<EncodedSnapshot>,
    /// The snapshot that this follower is being sent.
    partial_snapshot: Option<PartialSnapshot>,
    commit_index: Index,
    applied_index: Index,
    /// Longer commands are handed out once the caller has prepared them, bytes.
    max_unprepared_bytes: usize,
    /// Entries that the caller has prepared.
    prepared: BTreeSet<Index>,
    persisted_index: Index,
    term_start_index: Index,
    /// Its disk accepts no writes at the moment: it does not stand for election.
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
            leader_heard_at: None,
            leader_commit_index: 0,
            no_votes_before: now + if last > 0 || durable.term > 0 { timing.election_timeout_ms } else { 0 },
            election_deadline: 0,
            next_heartbeat_at: 0,
            votes: VoteTally::default(),
            peers: BTreeMap::new(),
            leave_requests: BTreeMap::new(),
            departure: Departure::default(),
            encoded_snapshot: None,
            partial_snapshot: None,
            commit_index: durable.snapshot.index,
            applied_index: durable.snapshot.index,
            max_unprepared_bytes: usize::MAX,
            prepared: BTreeSet::new(),
            persisted_index: last,
            term_start_index: 0,
            impaired: false,
            random,
            durable,
        };
        replica.read_membership();
        replica.reset_election_timer(now);
        replica
    }

    // ---- state ----

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
    /// The leader, as far as it is known.
    pub fn leader(&self) -> Option<&Member> {
        match self.role {
            Role::Leader => Some(&self.me),
            _ => self.leader.as_ref(),
        }
    }
    /// The membership as its log has it.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }
    /// All up to here is committed.
    pub fn commit(&self) -> Index {
        self.commit_index
    }
    /// Its durable state.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }
    /// Whether it leads, and has applied all that earlier leaders committed.
    pub fn is_established_leader(&self) -> bool {
        self.role == Role::Leader && self.applied_index >= self.term_start_index
    }
    /// Until when no other replica can lead (section 6.4.1): what this one reads or does before is up to
    /// date. 0: it has no lease.
    pub fn lease_until(&self) -> Millis {
        if !self.is_established_leader() {
            return 0;
        }
        let mut sent_times: Vec<Millis> =
            self.peers.values().map(|peer| peer.last_answered_sent_at).collect();
        sent_times.push(Millis::MAX);
        sent_times.sort_unstable();
        let has_quorum_at = |time: Millis| {
            self.membership.has_quorum(|id| {
                let peer = self.peers.get(&id);
                id == self.me.id || peer.is_some_and(|peer| peer.last_answered_sent_at >= time)
            })
        };
        let newest = sent_times.into_iter().rev().find(|time| has_quorum_at(*time)).unwrap_or(0);
        newest.saturating_add(if newest == 0 { 0 } else { self.timing.lease_ms })
    }
    /// The replicas to which this leader sends its log.
    pub fn peers(&self) -> impl Iterator<Item = PeerStatus<'_>> {
        self.peers.values().map(|peer| PeerStatus {
            member: &peer.member,
            match_index: peer.progress.match_index,
            last_heard_at: peer.last_heard_at,
        })
    }
    /// Whether this replica has applied all that it could know to be committed: it leads within its lease, or
    /// has heard a leader within `timeout` milliseconds and lacks nothing of what that leader has committed.
    pub fn is_current(&self, now: Millis, timeout: Millis) -> bool {
        if self.role == Role::Leader {
            return self.lease_until() > now;
        }
        let has_live_leader = self.leader_heard_at.is_some_and(|heard_at| now < heard_at + timeout);
        // A new leader does not know how far the log is committed until it has committed an entry of its
        // term.
        let is_commit_known = self.durable.term_at(self.leader_commit_index) == Some(self.durable.term);
        has_live_leader && is_commit_known && self.applied_index >= self.leader_commit_index
    }
    /// The leader, if it was heard within `timeout` milliseconds: a silent one may lead no longer.
    pub fn leader_within(&self, now: Millis, timeout: Millis) -> Option<&Member> {
        let is_live = self.role == Role::Leader
            || self.leader_heard_at.is_some_and(|heard_at| now < heard_at + timeout);
        self.leader().filter(|_| is_live)
    }

    // ---- events ----

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::default();
        match self.role {
            Role::Leader => self.tick_leader(now, &mut effects),
            _ if now >= self.election_deadline => self.campaign(now, Campaign::PreVote, &mut effects),
            _ => {}
        }
        self.hand_out_committed(&mut effects);
        effects
    }

    /// Whether this replica should ask others to let it take part: no leader was heard within the election
    /// timeout.
    pub fn wants_to_join(&self, now: Millis) -> bool {
        let silent_for = self.leader_heard_at.map_or(Millis::MAX, |heard_at| now.saturating_sub(heard_at));
        self.role != Role::Leader && silent_for > self.timing.election_timeout_ms
    }

    /// All records handed out up to the entry `index` are on disk.
    pub fn on_persisted(&mut self, now: Millis, index: Index) -> Effects {
        let mut effects = Effects::default();
        self.persisted_index = index.min(self.durable.last_index());
        if self.role == Role::Leader {
            self.advance_commit(now, &mut effects);
        }
        self.hand_out_committed(&mut effects);
        effects
    }

    /// The disk fails or has not answered for long (`true`), or works again.
    pub fn set_impaired(&mut self, now: Millis, impaired: bool) -> Effects {
        let mut effects = Effects::default();
        self.impaired = impaired;
        if impaired && self.role == Role::Leader {
            self.step_down(now);
        }
        self.hand_out_committed(&mut effects);
        effects
    }

    /// Proposes an entry. Returns its index. It may still be lost: another leader's entry may be committed at
    /// its index.
    ///
    /// # Errors
    ///
    /// This replica does not lead.
    pub fn propose(&mut self, now: Millis, command: Vec<u8>) -> Result<(Index, Effects), ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        let mut effects = Effects::default();
        let index = self.append(now, Payload::Command(command), &mut effects);
        self.hand_out_committed(&mut effects);
        Ok((index, effects))
    }

    /// Begins a joint membership change; the leader completes it by itself (section 4.3).
    ///
    /// # Errors
    ///
    /// This replica does not lead, or another change is in progress.
    pub fn propose_membership(&mut self, now: Millis, voters: Vec<Member>) -> Result<Effects, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader);
        }
        let is_settled = self.is_established_leader() && self.commit_index >= self.membership_index;
        if !is_settled || self.membership.is_joint() || voters.is_empty() {
            return Err(ProposeError::MembershipChanging);
        }
        let mut effects = Effects::default();
        let outgoing = self.membership.voters.clone();
        self.append(now, Payload::Membership(Membership { voters, outgoing }), &mut effects);
        self.hand_out_committed(&mut effects);
        Ok(effects)
    }

    /// Replaces all entries up to `index`, which has to be applied, by a snapshot with the state machine's
    /// `data`.
    pub fn compact(&mut self, index: Index, leaders: Vec<String>, data: Vec<u8>) -> Effects {
        let mut effects = Effects::default();
        let Some(term) = self.durable.term_at(index).filter(|_| index <= self.applied_index) else {
            return effects;
        };
        let membership = self.membership_at(index);
        let snapshot = Snapshot { index, term, membership, leaders, data };
        self.save(Record::Snapshot { snapshot, keep_tail: true }, &mut effects);
        effects
    }

    /// The leader asks the voter with the most up-to-date log to start an election, and steps down (section
    /// 3.10).
    pub fn transfer_leadership(&mut self, now: Millis) -> Effects {
        let mut effects = Effects::default();
        if self.role == Role::Leader {
            self.transfer_to_best_voter(now, &mut effects);
        }
        effects
    }

    /// Takes a message from another replica.
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
                    let append = AppendEntries { previous_index, previous_term, entries, commit, sent_at };
                    self.on_append(from, append, &mut effects);
                }
            }
            Message::SnapshotChunk(chunk) => self.on_snapshot_chunk(now, from, chunk, &mut effects),
            Message::SnapshotReply { term, index, received, sent_at } => {
                let reply = SnapshotReply { term, index, received, sent_at };
                self.on_snapshot_reply(now, &from, reply, &mut effects);
            }
            Message::AppendReply { term, accepted, index, sent_at } => {
                let reply = AppendReply { term, accepted, index, sent_at };
                self.on_append_reply(now, from, reply, &mut effects);
            }
            Message::CampaignNow { term } => {
                let is_for_this_voter = term == self.durable.term && self.membership.contains(self.me.id);
                if is_for_this_voter && !self.impaired && self.role == Role::Follower {
                    self.campaign(now, Campaign::LeadershipTransfer, &mut effects);
                }
            }
            Message::Join => self.on_join(now, from, &mut effects),
            Message::Leave => self.on_leave(now, from, &mut effects),
            Message::LeaveReply { term, replacing } => self.on_leave_reply(term, replacing),
        }
        self.hand_out_committed(&mut effects);
        effects
    }
}
