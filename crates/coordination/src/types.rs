//! The replicated log's vocabulary: stores, members, entries and messages.

use crate::consensus::log_tail::LogEntry;
use crate::consensus::quorum;
use serde::{Deserialize, Serialize};

/// Milliseconds of a steady clock that the caller supplies.
pub type Millis = u64;
pub use crate::consensus::{Index, Term};

/// Names one store: the data directory of one replica. A directory that was lost and made anew is another
/// store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreId(pub u64);

/// A store and where its replica is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The store.
    pub id: StoreId,
    /// The machine's name, for people and for the platform.
    pub name: String,
    /// `ip:port` for messages between replicas.
    pub address: String,
    /// `ip:port` of the control plane served there.
    pub control_address: String,
}

/// Who votes. While the group changes, both the new and the old group have to agree (joint consensus).
///
/// ```
/// use pathbank_coordination::types::{Member, Membership, StoreId};
///
/// let no_text = String::new;
/// let member = |id| Member {
///     id: StoreId(id),
///     name: no_text(),
///     address: no_text(),
///     control_address: no_text(),
/// };
/// let old = vec![member(1), member(2), member(3)];
/// let joint = Membership { voters: vec![member(1), member(2), member(9)], outgoing: old };
/// assert!(joint.has_quorum(|id| id.0 < 3));
/// assert!(!joint.has_quorum(|id| id.0 == 1 || id.0 == 9), "no majority of the old group");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The voters of the current or, during a change, of the new group.
    pub voters: Vec<Member>,
    /// The voters of the old group during a change; empty otherwise.
    pub outgoing: Vec<Member>,
}

impl Membership {
    /// A group that is not changing.
    pub fn of(voters: Vec<Member>) -> Membership {
        Membership { voters, outgoing: Vec::new() }
    }

    /// Whether a change is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether a store votes, in either group.
    pub fn contains(&self, id: StoreId) -> bool {
        self.members().any(|member| member.id == id)
    }

    /// Every voter of both groups, those of the new one first; a store in both groups appears once.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let repeated = |member: &&Member| !self.voters.iter().any(|voter| voter.id == member.id);
        self.voters.iter().chain(self.outgoing.iter().filter(repeated))
    }

    /// Whether the stores for which `agrees` holds are a majority of every group.
    pub fn has_quorum(&self, agrees: impl Fn(StoreId) -> bool) -> bool {
        self.groups().all(|group| quorum::has_majority(group, |member| agrees(member.id)))
    }

    /// The highest index that a majority of every group has reached; `reached`: each store's.
    pub fn quorum_match_index(&self, reached: impl Fn(StoreId) -> Index) -> Index {
        let of_group =
            |group: &[Member]| quorum::majority_match_index(group.iter().map(|member| reached(member.id)));
        self.groups().map(of_group).min().unwrap_or(0)
    }

    /// The groups that have to agree: one, or during a change two.
    fn groups(&self) -> impl Iterator<Item = &[Member]> {
        let outgoing = Some(self.outgoing.as_slice()).filter(|group| !group.is_empty());
        [self.voters.as_slice()].into_iter().chain(outgoing)
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A leader's first entry of its term, with the name of its machine.
    LeaderStart(String),
    /// Another group of voters; counts as soon as it is in a replica's log.
    Membership(Membership),
    /// A command of the replicated state machine.
    Command(Vec<u8>),
}

impl Payload {
    /// Bytes that the payload takes, roughly.
    pub fn size(&self) -> usize {
        match self {
            Payload::LeaderStart(name) => name.len(),
            Payload::Membership(membership) => 100 * (membership.voters.len() + membership.outgoing.len()),
            Payload::Command(bytes) => bytes.len(),
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term of the leader that wrote it.
    pub term: Term,
    /// What it carries.
    pub payload: Payload,
}

impl LogEntry for Entry {
    fn term(&self) -> Term {
        self.term
    }
}

/// The state that a first part of the log came to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry covered.
    pub index: Index,
    /// Its term.
    pub term: Term,
    /// The voters at that point.
    pub membership: Membership,
    /// The machine that led last at that point, and those that led before it.
    pub leaders: Vec<String>,
    /// The state machine's own encoding.
    pub data: Vec<u8>,
}

/// What replicas say to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks for a vote, or (`pre`) whether one would be given.
    VoteRequest {
        /// The candidate's term; of a `pre` request the one that it would begin.
        term: Term,
        /// Only asks; changes nothing.
        pre: bool,
        /// The leader itself handed over: its lease does not stand in the way.
        leadership_transfer: bool,
        /// The candidate's last entry.
        last_index: Index,
        /// Its term.
        last_term: Term,
    },
    /// The answer to a [`Message::VoteRequest`].
    VoteReply {
        /// The voter's term; of a granted `pre` request the one asked for.
        term: Term,
        /// Answers a `pre` request.
        pre: bool,
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries, or none as the leader's heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The entry before the first one here.
        previous_index: Index,
        /// Its term.
        previous_term: Term,
        /// The entries, in order.
        entries: Vec<Entry>,
        /// All up to here is committed.
        commit: Index,
        /// When the leader sent it, by its own clock.
        sent_at: Millis,
    },
    /// The answer to [`Message::Append`], and to the last part of a snapshot.
    AppendReply {
        /// The follower's term.
        term: Term,
        /// Whether the log matched at `previous_index`.
        accepted: bool,
        /// Accepted: all up to here is on this follower's disk. Otherwise: where the leader should try next.
        index: Index,
        /// `sent_at` of the message that is answered.
        sent_at: Millis,
    },
    /// A part of the state in place of entries that the leader no longer has. Without bytes it is a heartbeat
    /// that asks how much has come.
    SnapshotChunk(SnapshotChunk),
    /// The answer to [`Message::SnapshotChunk`].
    SnapshotReply {
        /// The follower's term.
        term: Term,
        /// The last entry that the snapshot covers.
        index: Index,
        /// Bytes of the encoded snapshot that have come, from its start without gaps.
        received: u64,
        /// `sent_at` of the part that is answered.
        sent_at: Millis,
    },
    /// The leader hands over: the receiver is to become a candidate at once.
    CampaignNow {
        /// The leader's term.
        term: Term,
    },
    /// A store that no leader speaks to asks to take part.
    Join,
    /// A voter that is about to end asks the leader to be taken out of the group first.
    Leave,
    /// The leader's answer to [`Message::Leave`].
    LeaveReply {
        /// The leader's term.
        term: Term,
        /// Another store is about to take the voter's place: it should go on until it is out of the group.
        replacing: bool,
    },
}

/// A part of an encoded snapshot on its way to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: Term,
    /// Which snapshot it is a part of.
    pub id: SnapshotId,
    /// Where these bytes belong.
    pub offset: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
    /// When the leader sent it, by its own clock.
    pub sent_at: Millis,
}

/// Tells one encoded snapshot from another, whoever sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotId {
    /// The last entry covered.
    pub index: Index,
    /// Bytes of its encoding.
    pub length: u64,
    /// CRC-32 of its encoding.
    pub checksum: u32,
}
