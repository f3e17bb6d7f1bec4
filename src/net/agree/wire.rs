//! What voters, heads and operators say to a voter. Every call is a POST with a JSON body; the path has the
//! form's number.

use super::database::Record;
use crate::agree::document::EditRejection;
use crate::agree::document_state::DocumentState;
use crate::agree::voter::{Incarnation, Voters};
use crate::agree::{Index, Message, Term, VoterId};
use serde::{Deserialize, Serialize};

/// The header that names the fleet: a voter of another one says no.
pub const CLUSTER_HEADER: &str = "x-pathbank-cluster";
/// A message's most bytes: a whole ledger fits, and what is larger is nobody's.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

pub const MESSAGE_PATH: &str = "/agree/1/hear";
pub const RENEW_PATH: &str = "/agree/1/renew";
pub const PROPOSE_PATH: &str = "/agree/1/propose";
pub const VOTERS_PATH: &str = "/agree/1/voters";
pub const STATUS_PATH: &str = "/agree/1/status";
pub const STATE_PATH: &str = "/agree/1/ledger";
pub const RECORDS_PATH: &str = "/agree/1/records";
pub const VERIFY_PATH: &str = "/agree/1/verify";

/// From one voter to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct MessageEnvelope {
    pub from: VoterId,
    #[serde(rename = "starts")]
    pub incarnation: Incarnation,
    pub message: Message,
}

/// What the other one answers at once.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct MessageReply {
    #[serde(rename = "starts")]
    pub incarnation: Incarnation,
    pub messages: Vec<Message>,
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It counts, by this entry, and comes into force when no head can act against it.
    Entry(Index),
    Rejected(EditRejection),
    /// That voter may know better, or nobody leads now.
    NotLeader(Option<VoterId>),
    /// The leader changed, or the time ran out: it may count yet. The same edit can be sent again.
    Unknown,
    /// Voters change one at a time, when all know of the last change.
    NotNow(String),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    pub id: VoterId,
    #[serde(rename = "starts")]
    pub incarnation: Incarnation,
    pub term: Term,
    pub leader: Option<VoterId>,
    pub last: Index,
    pub commit: Index,
    pub prepared: Index,
    pub active: Index,
    /// Of all up to `commit`.
    pub digest: String,
    pub voters: Voters,
    pub disk_bytes: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct StateRequest {
    /// Nothing that counted before the question may be missing; only the leader can answer.
    #[serde(rename = "sure")]
    pub linearizable: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum StateReply {
    #[serde(rename = "Ledger")]
    State(Box<DocumentState>),
    NotLeader(Option<VoterId>),
    Unknown,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsRequest {
    pub after: Index,
    pub most: usize,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct RecordsReply {
    pub records: Vec<Record>,
    pub commit: Index,
}
