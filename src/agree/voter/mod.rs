//! A voter: a Raft server that also grants leases and reports up to which edit its grants are cleared, so that every
//! process that may still act by them has prepared for the edit. Section numbers refer to the Raft thesis.
//!
//! Invariant: the caller writes [`Output::save`] to disk before it sends anything of [`Output::send`]. If the write
//! fails, the caller drops the voter and creates it again from its database.

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

/// Applied entries are dropped from memory when together they are larger than this.
const MAX_TAIL_BYTES: usize = 4 * 1024 * 1024;
/// A term is rapid when it begins within this many election timeouts of the term before it.
const RAPID_TERM_TIMEOUTS: Micros = 4;
/// Limit on the doublings of the election timeout.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Limit on grants held at once, far above the number of processes.
const MAX_GRANTS: usize = 10_000;

/// The receiver of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Recipient {
    /// Another voter.
    Voter(VoterId),
    /// The process that requested a lease.
    LeaseHolder(HolderId),
}

/// The changes to save and messages to send that result from one call of a voter.
#[derive(Debug, Default)]
pub struct Output {
    /// Changes to write to disk before any message of `send` is sent.
    pub save: Vec<PersistentChange>,
    /// Messages to send; they may be lost, duplicated and reordered.
    pub send: Vec<(Recipient, Message)>,
    /// A peer that runs on an older copy of its database, and whose message was dropped.
    pub stale_peer: Option<VoterId>,
}

/// The leader's view of a peer.
#[derive(Clone, Copy, Debug)]
struct Peer {
    progress: ReplicationProgress,
    cleared: Index,
    heard_at: Micros,
}

/// The last lease that was granted to a process.
#[derive(Clone, Copy, Debug)]
struct Grant {
    prepared: Index,
    at: Micros,
}

/// Error: this voter is not the leader. Holds the leader, if the voter knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader(pub Option<VoterId>);

/// Why a change of the membership is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MembershipChangeError {
    /// Another voter is the leader, or there is none.
    #[error("this voter does not lead")]
    NotLeader(Option<VoterId>),
    /// More than one voter would be added, removed or moved, or no voter would remain (section 4.1).
    #[error("one voter is added, removed or moved at a time, and one stays")]
    NotSingleChange,
    /// The last membership change is not in force yet, or the leader has not committed an entry of its term.
    #[error("some head may not know of the last change yet, or the leader is new")]
    PreviousChangePending,
}

/// A Raft server that also grants leases.
#[derive(Clone, Debug)]
pub struct Voter {
    id: VoterId,
    times: Timings,
    saved: PersistentState,
    /// The membership of the log's last [`Command::Voters`], committed or not, or the initial one.
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
    /// Whether, in this run, the voter has reached some leader's commit index. Until then its database may be an old
    /// copy without the current barrier, so it grants no lease.
    caught_up: bool,
    /// When this run started. Grants of earlier runs are unknown: the voter assumes one that it gave at this time to a
    /// process that had prepared for nothing.
    started_at: Micros,
    election_at: Micros,
    heartbeat_at: Micros,
    /// When the voter entered its term.
    term_began_at: Option<Micros>,
    /// How often the election timeout is doubled: once for each rapid term in a row.
    timeout_doublings: u32,
}

impl Voter {
    /// Creates a voter from the state in its database. `draw` is a fresh random number at each call.
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

    /// The state after the committed entries that the voter knows of.
    pub fn state(&self) -> &DocumentState {
        &self.state
    }

    /// Whether the voter is a leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// The leader, if the voter knows it.
    pub fn leader(&self) -> Option<VoterId> {
        if self.is_leader() { Some(self.id) } else { self.leader }
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.saved.term
    }

    /// The incarnation of this run.
    pub fn incarnation(&self) -> Incarnation {
        self.saved.incarnation
    }

    /// The membership of the log's last [`Command::Voters`], committed or not, or the initial one.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// The state on disk once all changes of [`Output::save`] are written.
    pub fn saved(&self) -> &PersistentState {
        &self.saved
    }

    /// The last entry of the log.
    pub fn last_index(&self) -> Index {
        self.saved.log.last_index()
    }

    /// The last entry that the voter knows to be committed.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// When [`Voter::tick`] must be called next.
    pub fn next_tick_at(&self) -> Micros {
        if self.is_leader() { self.heartbeat_at } else { self.election_at }
    }

    fn peer_ids(&self) -> Vec<VoterId> {
        self.voters.keys().copied().filter(|other| *other != self.id).collect()
    }

    /// Takes the membership from the log's last [`Command::Voters`], which counts once it is appended (section 4.1).
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

    /// Advances the voter to `now`: a leader sends heartbeats, any other voter starts an election when its timeout has
    /// passed. `draw` is a fresh random number.
    pub fn tick(&mut self, now: Micros, draw: u64) -> Output {
        let mut out = Output::default();
        if self.is_leader() {
            if now >= self.heartbeat_at {
                self.heartbeat_at = now + self.times.heartbeat_interval;
                if !self.has_quorum_contact(now) {
                    // Its heartbeats may still reach the peers, but it can commit nothing: it steps down so that they
                    // elect another leader.
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

    /// Handles a message of the peer `from`, whose incarnation is `incarnation`.
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
            // The peer runs on an old copy of its database, which lacks later votes and grants of the peer.
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
    /// This voter is not the leader.
    pub fn propose(&mut self, now: Micros, edit: Edit) -> Result<Output, NotLeader> {
        self.append_command(now, Command::Edit(edit)).map(|(_, out)| out)
    }

    /// Appends an entry that changes nothing. Once it is committed, the state includes every entry that was committed
    /// before this call.
    ///
    /// # Errors
    ///
    /// This voter is not the leader.
    pub fn propose_read_barrier(&mut self, now: Micros) -> Result<(Index, Output), NotLeader> {
        self.append_command(now, Command::Noop)
    }

    /// Appends a new membership that adds one voter, removes one, or changes one voter's address.
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
        let added = voters.keys().filter(|id| !self.voters.contains_key(id)).count();
        let removed = self.voters.keys().filter(|id| !voters.contains_key(id)).count();
        if added + removed > 1 || voters.is_empty() || voters == self.voters {
            return Err(MembershipChangeError::NotSingleChange);
        }
        // Processes count grants by the membership that they know, and majorities two changes apart need not overlap.
        // Entries of an earlier leader are committed only by an entry of this term.
        let begun = self.saved.log.term_at(self.commit) == Some(self.saved.term);
        let in_log =
            |index| matches!(self.saved.log.entry(index), Some(Entry { command: Command::Voters(_), .. }));
        if !begun || self.state.voters_pending() || (self.commit + 1..=self.last_index()).any(in_log) {
            return Err(MembershipChangeError::PreviousChangePending);
        }
        self.append_command(now, Command::Voters(voters))
            .map(|(_, out)| out)
            .map_err(|NotLeader(leader)| MembershipChangeError::NotLeader(leader))
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
