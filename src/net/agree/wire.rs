//! The protocol of a voter with its peers, with processes that hold leases and with operators. Every call is a POST with a
//! JSON body; the path has the protocol's version.

use super::database::Record;
use crate::agree::document::EditRejection;
use crate::agree::document_state::DocumentState;
use crate::agree::voter::{Incarnation, Voters};
use crate::agree::{Index, Message, Term, VoterId};
use serde::{Deserialize, Serialize};

/// The header that names the cluster; a voter of another one rejects the call.
pub const CLUSTER_HEADER: &str = "x-pathbank-cluster";
/// The largest body: a snapshot of all documents fits.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// [`MessageEnvelope`] to [`MessageReply`].
pub const MESSAGE_PATH: &str = "/agree/1/hear";
/// [`Message::LeaseRequest`] to [`Message::LeaseReply`].
pub const RENEW_PATH: &str = "/agree/1/renew";
/// An [`Edit`](crate::agree::document::Edit) to a [`ProposalOutcome`].
pub const PROPOSE_PATH: &str = "/agree/1/propose";
/// [`Voters`] to a [`ProposalOutcome`].
pub const VOTERS_PATH: &str = "/agree/1/voters";
/// To a [`VoterStatus`].
pub const STATUS_PATH: &str = "/agree/1/status";
/// [`StateRequest`] to [`StateReply`].
pub const STATE_PATH: &str = "/agree/1/ledger";
/// [`RecordsRequest`] to [`RecordsReply`].
pub const RECORDS_PATH: &str = "/agree/1/records";
/// To a [`Verification`](crate::agree::archive::Verification).
pub const VERIFY_PATH: &str = "/agree/1/verify";

/// A message from one voter to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct MessageEnvelope {
    /// The sender.
    pub from: VoterId,
    /// Of the sender.
    #[serde(rename = "starts")]
    pub incarnation: Incarnation,
    /// What it says.
    pub message: Message,
}

/// The messages that a voter answers at once.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct MessageReply {
    /// Of the voter that answers.
    #[serde(rename = "starts")]
    pub incarnation: Incarnation,
    /// To the sender of the [`MessageEnvelope`].
    pub messages: Vec<Message>,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is committed as this entry, and comes into force once no process can act against it.
    Entry(Index),
    /// It is committed and changes nothing.
    Rejected(EditRejection),
    /// The voter does not lead; the leader, as far as it knows.
    NotLeader(Option<VoterId>),
    /// The leader changed or the time ran out: it may still be committed. The same edit can be sent again.
    Unknown,
    /// The membership cannot be changed now: the reason.
    NotNow(String),
}

/// How a voter stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The voter.
    pub id: VoterId,
    /// How often its database was opened.
    #[serde(rename = "starts")]
    pub incarnation: Incarnation,
    /// Its current term.
    pub term: Term,
    /// The leader, as far as it knows.
    pub leader: Option<VoterId>,
    /// The last entry of its log.
    pub last: Index,
    /// The last entry that it knows to be committed.
    pub commit: Index,
    /// The last committed edit.
    pub prepared: Index,
    /// The last edit in force.
    pub active: Index,
    /// Of all entries up to `commit`, SHA-256 in hexadecimal digits.
    pub digest: String,
    /// The membership and its addresses.
    pub voters: Voters,
    /// The size of its database's file.
    pub disk_bytes: u64,
}

/// Asks for all documents.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateRequest {
    /// Nothing that was committed before the call may be missing; only the leader can answer.
    #[serde(rename = "sure")]
    pub linearizable: bool,
}

/// The answer to a [`StateRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum StateReply {
    /// All documents.
    #[serde(rename = "Ledger")]
    State(Box<DocumentState>),
    /// The voter does not lead; the leader, as far as it knows.
    NotLeader(Option<VoterId>),
    /// The leader changed or the time ran out.
    Unknown,
}

/// Asks for committed entries.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsRequest {
    /// The entry in front of the first that is wanted.
    pub after: Index,
    /// Entries at most; the voter has a limit of its own.
    pub most: usize,
}

/// The answer to a [`RecordsRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsReply {
    /// In their order; maybe fewer than were wanted.
    pub records: Vec<Record>,
    /// The last entry that the voter knows to be committed.
    pub commit: Index,
}
