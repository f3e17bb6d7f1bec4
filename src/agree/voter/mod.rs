//! A voter: a Raft server that also grants leases, and says of an edit when no process can act any more without knowing
//! of it, as far as its own grants go. Rules of Raft cite sections of the thesis.
//!
//! Invariant: whatever is in [`Output::save`] is on disk before anything in [`Output::send`] leaves. Where it cannot be
//! saved, the voter is dropped and made again from its database.

mod election;
mod grants;
mod persistent;
mod replication;

pub use persistent::{Incarnation, PersistentChange, PersistentState, Voters, next_incarnation};

use super::document_state::DocumentState;
use super::{Command, Entry, HolderId, Index, Message, Micros, Term, Timings, VoterId};
use crate::agree::document::Edit;
use pathbank_coordination::consensus::election::{LogPosition, Role, VoteRequest, VoteTally};
use pathbank_coordination::consensus::replication_progress::ReplicationProgress;
use persistent::is_older;
use replication::{AppendReply, AppendRequest};
use std::collections::BTreeMap;
use thiserror::Error;

/// Applied entries that take more bytes than this leave memory.
const MAX_TAIL_BYTES: usize = 4 * 1024 * 1024;
/// A term counts as rapid when it begins within this many election time-outs after the one before.
const RAPID_TERM_TIMEOUTS: Micros = 4;
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Leases at once: far more than there are processes.
const MAX_GRANTS: usize = 10_000;

/// Whom a message is for.
#[derive(Clone, Debug, PartialEq)]
pub enum Recipient {
    /// A peer.
    Voter(VoterId),
    /// The process that asked for a lease.
    LeaseHolder(HolderId),
}

/// What one call of a voter asks its caller to do.
#[derive(Debug, Default)]
pub struct Output {
    /// Saved before any of `send` leaves.
    pub save: Vec<PersistentChange>,
    /// Messages may be lost, repeated and overtake each other.
    pub send: Vec<(Recipient, Message)>,
    /// This peer runs on an older copy of its database: its message was dropped.
    pub stale_peer: Option<VoterId>,
}

/// What the leader knows of a peer.
#[derive(Clone, Copy, Debug)]
struct Peer {
    progress: ReplicationProgress,
    cleared: Index,
    heard_at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    prepared: Index,
    at: Micros,
}

/// This voter does not lead; the leader, as far as it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader(pub Option<VoterId>);

/// Why a change of the membership is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MembershipChangeError {
    /// Somebody else leads, or nobody.
    #[error("this voter does not lead")]
    NotLeader(Option<VoterId>),
    /// One voter is added, removed or moved at a time, and one at least stays (section 4.1).
    #[error("one voter is added, removed or moved at a time, and one stays")]
    NotSingleChange,
    /// The last change is not in force yet, or the leader has not committed an entry of its term.
    #[error("some head may not know of the last change yet, or the leader is new")]
    PreviousChangePending,
}

/// A Raft server that also grants leases.
#[derive(Clone, Debug)]
pub struct Voter {
    id: VoterId,
    times: Timings,
    saved: PersistentState,
    /// The membership by the log's last entry on it, committed or not, or the initial one.
    voters: Voters,
    initial_voters: Voters,
    role: Role,
    leader: Option<VoterId>,
    leader_heard_at: Option<Micros>,
    commit: Index,
    state: DocumentState,
    votes: VoteTally<VoterId>,
    peers: BTreeMap<VoterId, Peer>,
    grants: BTreeMap<HolderId, Grant>,
    /// In this run it has had all that some leader had committed. Until then its database may be an old copy, which
    /// does not know the barrier, and it grants no lease.
    caught_up: bool,
    /// Grants of earlier runs are not known: as if one had been given at the start to a process that knew nothing.
    started_at: Micros,
    election_at: Micros,
    heartbeat_at: Micros,
    /// When it came into its term.
    term_began_at: Option<Micros>,
    /// How often the election time-out is doubled: once for each rapid term in a row.
    timeout_doublings: u32,
}

impl Voter {
    /// A voter that starts with what its database holds. `draw` is any random number, another one at each call.
    pub fn new(
        id: VoterId,
        voters: &Voters,
        times: Timings,
        saved: PersistentState,
        now: Micros,
        draw: u64,
    ) -> Voter {
        let (commit, state) = (saved.state.applied(), saved.state.clone());
        let mut voter = Voter {
            id,
            times,
            saved,
            voters: voters.clone(),
            initial_voters: voters.clone(),
            role: Role::Follower,
            leader: None,
            leader_heard_at: None,
            commit,
            state,
            votes: VoteTally::default(),
            peers: BTreeMap::new(),
            grants: BTreeMap::new(),
            caught_up: false,
            started_at: now,
            election_at: 0,
            heartbeat_at: now,
            term_began_at: None,
            timeout_doublings: 0,
        };
        voter.read_voters();
        voter.reset_election_timer(now, draw);
        voter
    }

    /// What the committed entries came to.
    pub fn state(&self) -> &DocumentState {
        &self.state
    }

    /// Whether it takes itself for the leader.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader, as far as it knows.
    pub fn leader(&self) -> Option<VoterId> {
        if self.is_leader() { Some(self.id) } else { self.leader }
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.saved.term
    }

    /// Of this run.
    pub fn incarnation(&self) -> Incarnation {
        self.saved.incarnation
    }

    /// The membership, with the log's last word on it, committed or not.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// What it has on disk once all that it put into [`Output::save`] is saved.
    pub fn saved(&self) -> &PersistentState {
        &self.saved
    }

    /// The last entry of its log.
    pub fn last_index(&self) -> Index {
        self.saved.log.last_index()
    }

    /// The last committed entry that it knows of.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// When [`Voter::tick`] has something to do.
    pub fn next_tick_at(&self) -> Micros {
        if self.is_leader() { self.heartbeat_at } else { self.election_at }
    }

    fn peer_ids(&self) -> Vec<VoterId> {
        self.voters.keys().copied().filter(|other| *other != self.id).collect()
    }

    /// Membership is by the log's last entry on it, from when it is appended (section 4.1).
    fn read_voters(&mut self) {
        let voters = self.saved.log.entries().iter().rev().find_map(|entry| match &entry.command {
            Command::Voters(voters) => Some(voters),
            _ => None,
        });
        let voters = voters.or(self.state.latest_voters()).unwrap_or(&self.initial_voters);
        if self.voters != *voters {
            self.voters = voters.clone();
        }
        if self.is_leader() {
            let (progress, now) =
                (ReplicationProgress::after(self.last_index()), self.leader_heard_at.unwrap_or(0));
            for other in self.peer_ids() {
                self.peers.entry(other).or_insert(Peer { progress, cleared: 0, heard_at: now });
            }
            let voters = &self.voters;
            self.peers.retain(|other, _| voters.contains_key(other));
        }
    }

    fn save(&mut self, save: PersistentChange, out: &mut Output) {
        self.saved.apply(&save);
        if matches!(
            save,
            PersistentChange::Truncate(_) | PersistentChange::Snapshot { replaces_after: Some(_), .. }
        ) || matches!(&save, PersistentChange::Append(_, Entry { command: Command::Voters(_), .. }))
        {
            self.read_voters();
        }
        out.save.push(save);
    }

    /// Takes the passing of time: heartbeats of a leader, elections of the others. `draw` is any random number.
    pub fn tick(&mut self, now: Micros, draw: u64) -> Output {
        let mut out = Output::default();
        if self.is_leader() {
            if now >= self.heartbeat_at {
                self.heartbeat_at = now + self.times.heartbeat_interval;
                if !self.has_quorum_contact(now) {
                    // Peers may hear it, but it can commit nothing: it steps down, so that they elect another leader.
                    (self.role, self.leader, self.leader_heard_at) = (Role::Follower, None, None);
                    self.reset_election_timer(now, draw);
                    return out;
                }
                self.activate_cleared(now, &mut out);
                self.append_to_all(&mut out);
            }
        } else if now >= self.election_at {
            self.reset_election_timer(now, draw);
            if self.voters.contains_key(&self.id) {
                (self.role, self.leader) = (Role::PreCandidate, None);
                self.request_votes(true, self.saved.term + 1, &mut out);
                self.tally_votes(now, draw, &mut out);
            }
        }
        out
    }

    /// Takes a peer's message; `incarnation` is the peer's.
    pub fn step(
        &mut self,
        now: Micros,
        draw: u64,
        (from, incarnation): (VoterId, Incarnation),
        message: Message,
    ) -> Output {
        let mut out = Output::default();
        if from == self.id {
            return out;
        }
        let known = self.saved.peer_incarnations.get(&from).copied().unwrap_or(0);
        if is_older(incarnation, known) {
            // A copy of its database: it does not know what it voted and granted after that.
            out.stale_peer = Some(from);
            return out;
        }
        if incarnation != known {
            self.save(PersistentChange::PeerIncarnation(from, incarnation), &mut out);
        }
        let was_leader = self.is_leader();
        self.step_message(now, draw, from, message, &mut out);
        if was_leader && !self.is_leader() {
            self.reset_election_timer(now, draw);
        }
        out
    }

    fn step_message(&mut self, now: Micros, draw: u64, from: VoterId, message: Message, out: &mut Output) {
        match message {
            Message::VoteRequest { pre, term, last_index, last_term } => {
                let log = LogPosition { term: last_term, index: last_index };
                self.step_vote_request(now, draw, VoteRequest { candidate: from, term, pre, log }, out);
            }
            Message::VoteReply { pre, term, granted } => {
                self.step_vote_reply(now, draw, from, (pre, term, granted), out)
            }
            Message::AppendRequest { term, previous_index, previous_term, entries, commit } => {
                let append = AppendRequest { term, previous_index, previous_term, entries, commit };
                self.step_append_request(now, draw, from, append, out);
            }
            Message::Snapshot { term, last_term, state } => {
                self.step_snapshot(now, draw, from, (term, last_term, state), out);
            }
            Message::AppendReply { term, accepted, matched, cleared } => {
                self.step_append_reply(now, from, AppendReply { term, accepted, matched, cleared }, out);
            }
            Message::LeaseRequest { .. } | Message::LeaseReply { .. } => {}
        }
    }

    /// Appends an edit. Its result is in [`DocumentState::result`] once it is committed.
    ///
    /// # Errors
    ///
    /// This voter does not lead.
    pub fn propose(&mut self, now: Micros, edit: Edit) -> Result<Output, NotLeader> {
        self.append_command(now, Command::Edit(edit)).map(|(_, out)| out)
    }

    /// Appends an entry that changes nothing: once it is committed, the state has all that was committed before this call.
    ///
    /// # Errors
    ///
    /// This voter does not lead.
    pub fn propose_read_barrier(&mut self, now: Micros) -> Result<(Index, Output), NotLeader> {
        self.append_command(now, Command::Noop)
    }

    /// Appends another membership: one voter more, one less, or one at another address.
    ///
    /// # Errors
    ///
    /// See [`MembershipChangeError`].
    pub fn change_membership(
        &mut self,
        now: Micros,
        voters: Voters,
    ) -> Result<Output, MembershipChangeError> {
        if !self.is_leader() {
            return Err(MembershipChangeError::NotLeader(self.leader));
        }
        let more = voters.keys().filter(|id| !self.voters.contains_key(id)).count();
        let less = self.voters.keys().filter(|id| !voters.contains_key(id)).count();
        if more + less > 1 || voters.is_empty() || voters == self.voters {
            return Err(MembershipChangeError::NotSingleChange);
        }
        // Processes count grants by the voters that they know: majorities two changes apart need not overlap. And what an
        // earlier leader appended is committed only by an entry of this term.
        let begun = self.saved.log.term_at(self.commit) == Some(self.saved.term);
        let in_log =
            |index| matches!(self.saved.log.entry(index), Some(Entry { command: Command::Voters(_), .. }));
        if !begun || self.state.voters_pending() || (self.commit + 1..=self.last_index()).any(in_log) {
            return Err(MembershipChangeError::PreviousChangePending);
        }
        self.append_command(now, Command::Voters(voters))
            .map(|(_, out)| out)
            .map_err(|no| MembershipChangeError::NotLeader(no.0))
    }

    fn append_command(&mut self, now: Micros, command: Command) -> Result<(Index, Output), NotLeader> {
        if !self.is_leader() {
            return Err(NotLeader(self.leader));
        }
        let mut out = Output::default();
        let index = self.append_own(command, &mut out);
        self.activate_cleared(now, &mut out);
        self.append_to_all(&mut out);
        Ok((index, out))
    }
}

#[cfg(test)]
mod tests;
