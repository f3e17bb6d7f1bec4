//! The protocol between a voter and its peers, lease holders and operators. Every call is a POST with a JSON body; the
//! path includes the protocol's version.

use super::database::Record;
use crate::agree::document::EditRejection;
use crate::agree::document_state::DocumentState;
use crate::agree::voter::{Incarnation, Voters};
use crate::agree::{Index, Message, Term, VoterId};
use serde::{Deserialize, Serialize};

/// The header with the cluster's name. A voter of another cluster rejects the call.
pub const CLUSTER_HEADER: &str = "x-pathbank-cluster";
/// Limit on the size of a body, large enough for a snapshot of all documents.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Takes a [`MessageEnvelope`], returns a [`MessageReply`].
pub const MESSAGE_PATH: &str = "/agree/1/hear";
/// Takes a [`Message::LeaseRequest`], returns a [`Message::LeaseReply`].
pub const RENEW_PATH: &str = "/agree/1/renew";
/// Takes an [`Edit`](crate::agree::document::Edit), returns a [`ProposalOutcome`].
pub const PROPOSE_PATH: &str = "/agree/1/propose";
/// Takes [`Voters`], returns a [`ProposalOutcome`].
pub const VOTERS_PATH: &str = "/agree/1/voters";
/// Returns a [`VoterStatus`].
pub const STATUS_PATH: &str = "/agree/1/status";
/// Takes a [`StateRequest`], returns a [`StateReply`].
pub const STATE_PATH: &str = "/agree/1/ledger";
/// Takes a [`RecordsRequest`], returns a [`RecordsReply`].
pub const RECORDS_PATH: &str = "/agree/1/records";
/// Returns a [`Verification`](crate::agree::archive::Verification).
pub const VERIFY_PATH: &str = "/agree/1/verify";

/// A message from one voter to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct MessageEnvelope {
    /// The sender.
    pub from: VoterId,
    /// The sender's incarnation.
    #[serde(rename = "starts")]
    pub incarnation: Incarnation,
    /// The message.
    pub message: Message,
}

/// A voter's immediate answer to a [`MessageEnvelope`].
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct MessageReply {
    /// The incarnation of the answering voter.
    #[serde(rename = "starts")]
    pub incarnation: Incarnation,
    /// Messages to the sender of the envelope.
    pub messages: Vec<Message>,
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal is committed as this entry, and comes into force once every process that may still act has prepared
    /// for it.
    Entry(Index),
    /// The edit is committed and rejected: it changes nothing.
    Rejected(EditRejection),
    /// The voter is not the leader. Holds the leader, if the voter knows it.
    NotLeader(Option<VoterId>),
    /// The leader changed or the timeout passed: the proposal may still be committed. The same edit can be sent again.
    Unknown,
    /// The membership cannot be changed now. Holds the reason.
    NotNow(String),
}

/// The status of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The voter's number.
    pub id: VoterId,
    /// How often the voter's database was opened.
    #[serde(rename = "starts")]
    pub incarnation: Incarnation,
    /// The voter's current term.
    pub term: Term,
    /// The leader, if the voter knows it.
    pub leader: Option<VoterId>,
    /// The last entry of the voter's log.
    pub last: Index,
    /// The last entry that the voter knows to be committed.
    pub commit: Index,
    /// The last committed edit.
    pub prepared: Index,
    /// The last edit in force.
    pub active: Index,
    /// The digest of all entries up to `commit`, SHA-256 in hexadecimal digits.
    pub digest: String,
    /// The membership, with each voter's address.
    pub voters: Voters,
    /// The size of the database's file, in bytes.
    pub disk_bytes: u64,
}

/// A request for all documents.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateRequest {
    /// Whether the answer must include everything that was committed before the call. Only the leader can answer then.
    #[serde(rename = "sure")]
    pub linearizable: bool,
}

/// The answer to a [`StateRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum StateReply {
    /// All documents.
    #[serde(rename = "Ledger")]
    State(Box<DocumentState>),
    /// The voter is not the leader. Holds the leader, if the voter knows it.
    NotLeader(Option<VoterId>),
    /// The leader changed or the timeout passed.
    Unknown,
}

/// A request for committed entries.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// The entry before the first requested one.
    pub after: Index,
    /// Limit on the number of entries; the voter has its own limit too.
    pub most: usize,
}

/// The answer to a [`RecordsRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsReply {
    /// Consecutive entries in log order, possibly fewer than requested.
    pub records: Vec<Record>,
    /// The last entry that the voter knows to be committed.
    pub commit: Index,
}
