//! A replica of the log: Raft's core without I/O, with leases (section 6.4.1) and joint membership changes
//! (section 4.3). Sections are those of Ongaro's thesis, *Consensus: Bridging Theory and Practice* (2014).
//!
//! The caller saves [`Effects::records`] in order. A message with `after_save` leaves once they are on disk;
//! the others may leave at once. [`Replica::on_persisted`] tells the replica which records are on disk.
//!
//! Invariants: `applied_index <= commit_index`; a committed entry is never replaced; no vote and no
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
use election::{Campaign, VoteReply, VoteRequestFields};
use follower::AppendEntries;
use leader::AppendReply;
use peer::Peer;
use snapshot_transfer::{EncodedSnapshot, PartialSnapshot, SnapshotReply};
use std::collections::{BTreeMap, BTreeSet};

/// Intervals and timeouts, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between a leader's heartbeats.
    pub heartbeat_interval_ms: Millis,
    /// A follower that hears no leader starts an election after a random time between this timeout and twice
    /// the timeout. It grants no vote within this time of hearing a leader.
    pub election_timeout_ms: Millis,
    /// How long the leader's lease lasts after it sent the messages that a quorum has answered. Shorter than
    /// the election timeout.
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
    /// Whether the message may leave only after all records handed out so far are on disk.
    pub after_save: bool,
}

/// The actions that the caller has to carry out, in this order: save, send, apply.
#[derive(Debug, Default)]
pub struct Effects {
    /// Records to save, in order.
    pub records: Vec<Record>,
    /// Messages to send.
    pub messages: Vec<Outgoing>,
    /// A snapshot whose state replaces the state machine's.
    pub install: Option<Snapshot>,
    /// The next committed entries for the state machine to apply; there may be more.
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
    /// Every entry up to this index is on the replica's disk.
    pub match_index: Index,
    /// When the replica last asked to join or answered a message.
    pub last_heard_at: Millis,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    me: Member,
    timing: Timing,
    durable: DurableState,
    membership: Membership,
    /// The index of the newest membership entry; 0 if the membership comes from the snapshot or from the
    /// first start.
    membership_index: Index,
    role: Role,
    leader: Option<Member>,
    leader_heard_at: Option<Millis>,
    /// The leader's commit index; this replica may lack some of the entries up to it.
    leader_commit_index: Index,
    /// This replica grants no vote before this time: the process may have heard a leader before its restart.
    no_votes_before: Millis,
    election_deadline: Millis,
    next_heartbeat_at: Millis,
    votes: VoteTally<StoreId>,
    /// What this leader knows of each other replica.
    peers: BTreeMap<StoreId, Peer>,
    /// Whether this leader hands over as soon as its calls outside the group are settled.
    handing_over: bool,
    /// The term that follows a leader all of whose calls outside the group were settled.
    settled_start: Option<Term>,
    /// The voters that asked this leader to remove them from the membership, and when they asked.
    leave_requests: BTreeMap<StoreId, Millis>,
    /// The outcome of this replica's own request to leave.
    departure: Departure,
    /// The newest snapshot as this leader sends it.
    encoded_snapshot: Option<EncodedSnapshot>,
    /// The part of a snapshot that this follower has received so far.
    partial_snapshot: Option<PartialSnapshot>,
    commit_index: Index,
    applied_index: Index,
    /// A longer command, in bytes, is handed out only once the caller has prepared it.
    max_unprepared_bytes: usize,
    /// Entries that the caller has prepared.
    prepared: BTreeSet<Index>,
    persisted_index: Index,
    term_start_index: Index,
    /// Whether the disk accepts no writes at the moment; if so, this replica does not stand for election.
    impaired: bool,
    random: u64,
}

impl Replica {
    /// Starts a replica from the durable state read from disk. `random` seeds the election timeouts and has
    /// to differ at each start.
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
            handing_over: false,
            settled_start: None,
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
    /// The newest membership in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }
    /// The commit index: every entry up to it is committed.
    pub fn commit(&self) -> Index {
        self.commit_index
    }
    /// Its durable state.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }
    /// Whether this replica leads and has applied every entry that earlier leaders committed.
    pub fn is_established_leader(&self) -> bool {
        self.role == Role::Leader && self.applied_index >= self.term_start_index
    }
    /// When this leader's lease ends (section 6.4.1). No other replica can lead before that, so what
    /// this replica reads or does until then is up to date. 0: this replica has no lease.
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
    /// Whether this replica has applied every entry that it can know to be committed: it leads within its
    /// lease, or it has heard a leader within `timeout` milliseconds and has applied every entry up to that
    /// leader's commit index.
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
    /// The leader, if this replica heard it within `timeout` milliseconds: a silent leader may have been
    /// replaced.
    pub fn leader_within(&self, now: Millis, timeout: Millis) -> Option<&Member> {
        let is_live = self.role == Role::Leader
            || self.leader_heard_at.is_some_and(|heard_at| now < heard_at + timeout);
        self.leader().filter(|_| is_live)
    }

    // ---- events ----

    /// Starts an election or sends heartbeats if either is due at `now`.
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

    /// Whether this replica should send [`Message::Join`] to others: it has heard no leader within the
    /// election timeout.
    pub fn wants_to_join(&self, now: Millis) -> bool {
        let silent_for = self.leader_heard_at.map_or(Millis::MAX, |heard_at| now.saturating_sub(heard_at));
        self.role != Role::Leader && silent_for > self.timing.election_timeout_ms
    }

    /// Reports that all records handed out up to the entry `index` are on disk.
    pub fn on_persisted(&mut self, now: Millis, index: Index) -> Effects {
        let mut effects = Effects::default();
        self.persisted_index = index.min(self.durable.last_index());
        if self.role == Role::Leader {
            self.advance_commit(now, &mut effects);
        }
        self.hand_out_committed(&mut effects);
        effects
    }

    /// Reports whether the disk is impaired: it fails or has not answered for long. An impaired leader steps
    /// down.
    pub fn set_impaired(&mut self, now: Millis, impaired: bool) -> Effects {
        let mut effects = Effects::default();
        self.impaired = impaired;
        if impaired && self.role == Role::Leader {
            self.step_down(now);
        }
        self.hand_out_committed(&mut effects);
        effects
    }

    /// Proposes an entry and returns its index. The entry may still be lost: another leader's entry may be
    /// committed at the same index.
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

    /// Begins a joint membership change, which the leader completes without further calls (section 4.3).
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

    /// Replaces all entries up to `index` by a snapshot with the state machine's `data`. Does nothing if the
    /// entry at `index` has not been applied.
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

    /// Asks the voter with the most up-to-date log to start an election, and steps down (section 3.10). Does
    /// nothing if this replica does not lead. `calls_settled`: see [`Replica::report_calls`].
    pub fn transfer_leadership(&mut self, now: Millis, calls_settled: bool) -> Effects {
        let mut effects = Effects::default();
        if self.role == Role::Leader {
            self.transfer_to_best_voter(now, calls_settled, &mut effects);
        }
        effects
    }

    /// Begins to hand the leadership over. The caller makes no further calls outside the group, and
    /// [`Replica::report_calls`] completes the transfer once those that it has made are settled.
    pub fn hand_over(&mut self) {
        self.handing_over = self.role == Role::Leader;
    }

    /// Whether this replica leads and hands over. It does so of its own accord once it is out of the membership.
    pub fn is_handing_over(&self) -> bool {
        self.handing_over
    }

    /// Reports whether all calls that this leader, or an earlier one, has made outside the group are settled: each was
    /// answered, or cannot arrive any more. Transfers the leadership then, if it is to be handed over.
    pub fn report_calls(&mut self, now: Millis, settled: bool) -> Effects {
        let mut effects = Effects::default();
        if self.handing_over && settled {
            self.transfer_to_best_voter(now, settled, &mut effects);
            if !self.membership.contains(self.me.id) {
                self.step_down(now);
            }
        }
        effects
    }

    /// Whether this replica leads the term after that of a leader that handed over with all calls settled.
    pub fn follows_settled_leader(&self) -> bool {
        self.role == Role::Leader && self.settled_start == Some(self.durable.term)
    }

    /// Handles a message from another replica.
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
                    VoteRequestFields { term, pre, leadership_transfer, log },
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
            Message::CampaignNow { term, calls_settled } => {
                let is_for_this_voter = term == self.durable.term && self.membership.contains(self.me.id);
                if is_for_this_voter && !self.impaired && self.role == Role::Follower {
                    self.settled_start = calls_settled.then_some(term + 1);
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
