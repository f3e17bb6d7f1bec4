//! The types of the replicated log: stores, members, entries, snapshots and messages.

use crate::consensus::log_tail::LogEntry;
use crate::consensus::quorum;
use serde::{Deserialize, Serialize};

/// Milliseconds of a monotonic clock that the caller reads.
pub type Millis = u64;
pub use crate::consensus::{Index, Term};

/// The identity of a store, which is the data directory of one replica. A directory that was lost and created
/// again is a different store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoreId(pub u64);

/// A store and the addresses of its replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The store.
    pub id: StoreId,
    /// The machine's name, for operators and for the platform.
    pub name: String,
    /// `ip:port` for messages between replicas.
    pub address: String,
    /// `ip:port` of the control plane served there.
    pub control_address: String,
}

/// The voters of a group. During a change a majority of the new voters and a majority of the old ones both
/// have to agree (joint consensus, section 4.3 of Ongaro's thesis).
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
    /// The current voters; during a change the new ones.
    pub voters: Vec<Member>,
    /// The old voters during a change; empty otherwise.
    pub outgoing: Vec<Member>,
}

impl Membership {
    /// A membership that is not changing.
    pub fn of(voters: Vec<Member>) -> Membership {
        Membership { voters, outgoing: Vec::new() }
    }

    /// Whether a change is in progress.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether a store is a new or an old voter.
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

    /// The highest index up to which a majority of every group has the log. `match_index` returns the match
    /// index of a store.
    pub fn quorum_match_index(&self, match_index: impl Fn(StoreId) -> Index) -> Index {
        let of_group = |group: &[Member]| {
            quorum::majority_match_index(group.iter().map(|member| match_index(member.id)))
        };
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
    /// A new membership; a replica uses it as soon as the entry is in its log, committed or not.
    Membership(Membership),
    /// A command of the replicated state machine.
    Command(Vec<u8>),
}

impl Payload {
    /// The approximate size, bytes.
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

/// The state that results from applying the log up to an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry covered.
    pub index: Index,
    /// Its term.
    pub term: Term,
    /// The voters at that point.
    pub membership: Membership,
    /// The names of the machines that were leaders until that point, in order.
    pub leaders: Vec<String>,
    /// The state machine's own encoding.
    pub data: Vec<u8>,
}

/// The messages between replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Requests a vote, or a pre-vote.
    VoteRequest {
        /// The candidate's term; in a pre-vote the term that it would begin.
        term: Term,
        /// A pre-vote: asks whether the vote would be granted, and changes nothing.
        pre: bool,
        /// The leader asked the candidate to campaign, so voters need not wait for the leader's lease to end.
        leadership_transfer: bool,
        /// The candidate's last entry.
        last_index: Index,
        /// Its term.
        last_term: Term,
    },
    /// The answer to a [`Message::VoteRequest`].
    VoteReply {
        /// The voter's term; in a granted pre-vote the requested term.
        term: Term,
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote was granted.
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
        /// The leader's commit index.
        commit: Index,
        /// When the leader sent it, by the leader's clock.
        sent_at: Millis,
    },
    /// The reply to [`Message::Append`], and to the last chunk of a snapshot.
    AppendReply {
        /// The follower's term.
        term: Term,
        /// Whether the log matched at `previous_index`.
        accepted: bool,
        /// If accepted, every entry up to this index is on the follower's disk; otherwise the index that the
        /// leader should try next.
        index: Index,
        /// `sent_at` of the message that this answers.
        sent_at: Millis,
    },
    /// A chunk of a snapshot, sent in place of entries that the leader no longer has. A chunk without bytes
    /// is a heartbeat that asks how many bytes the follower has received.
    SnapshotChunk(SnapshotChunk),
    /// The answer to [`Message::SnapshotChunk`].
    SnapshotReply {
        /// The follower's term.
        term: Term,
        /// The last entry that the snapshot covers.
        index: Index,
        /// How many bytes of the encoded snapshot the follower has, from the start without gaps.
        received: u64,
        /// `sent_at` of the chunk that this answers.
        sent_at: Millis,
    },
    /// Leadership transfer (`TimeoutNow`, section 3.10): the receiver starts an election at once.
    CampaignNow {
        /// The leader's term.
        term: Term,
        /// Whether nothing that this leader, or an earlier one, has sent outside the group may still arrive: the
        /// receiver need not wait for it once it leads.
        calls_settled: bool,
    },
    /// A store that hears no leader asks to join the group.
    Join,
    /// A voter whose process is about to end asks the leader to remove it from the membership first.
    Leave,
    /// The leader's answer to [`Message::Leave`].
    LeaveReply {
        /// The leader's term.
        term: Term,
        /// Whether the membership is about to go on without the voter, which should keep running until then.
        replacing: bool,
    },
}

/// A part of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: Term,
    /// The snapshot.
    pub id: SnapshotId,
    /// The offset of the bytes in the encoded snapshot.
    pub offset: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
    /// When the leader sent it, by the leader's clock.
    pub sent_at: Millis,
}

/// The identity of an encoded snapshot; the same for every leader that sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotId {
    /// The last entry covered.
    pub index: Index,
    /// The length of its encoding, bytes.
    pub length: u64,
    /// CRC-32 of its encoding.
    pub checksum: u32,
}
