//! A request as the dispatcher sees it, and the dispatcher's decisions.

use crate::model_servers::Instance;
use crate::prompt::{ModelName, PromptPart, TokenCount};
use crate::{Millis, RequestId};
use pathbank_control::result_code::ResultCode;
use pathbank_control::urgency::Urgency;
use std::collections::BTreeSet;

/// A request with the facts that the dispatcher needs.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The request.
    pub id: RequestId,
    /// The backend that its route chose.
    pub backend: String,
    /// The model that the request names.
    pub name: ModelName,
    /// The tokens of its prompt, and the most tokens of its answer, as announced by the client.
    pub tokens: TokenCount,
    /// The parts of its prompt, for the prefix cache.
    pub parts: Vec<PromptPart>,
    /// When it arrived.
    pub arrived: Millis,
    /// The client's deadline.
    pub deadline: Millis,
    /// When the client disconnects if no answer has begun.
    pub abandon_at: Millis,
    /// The latency target: an answer that begins within this time is timely.
    pub target_latency_ms: Millis,
    /// The longest gap between events of a timely stream, milliseconds; 0: none given.
    pub target_gap_ms: Millis,
    /// Load time of its model, milliseconds; `None`: not known.
    pub load_ms: Option<Millis>,
    /// The model server that the leader chose, if its answer came in time.
    pub granted: Option<Instance>,
    /// Model servers that must not get the request (again).
    pub excluded: BTreeSet<Instance>,
    /// Whether the answer is a stream that another model server may resume.
    pub resumable: bool,
    /// Its urgency class among the requests of its backend; 0: the most urgent.
    pub urgency: Urgency,
    /// The version of the model's weights that has to answer; `None`: any version.
    pub version: Option<u64>,
}

/// A decision that the edge has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a model server now.
    Send {
        /// The request.
        id: RequestId,
        /// The model server's incarnation.
        instance: Instance,
        /// Its address.
        address: String,
    },
    /// Move a stream to another model server, because its own ends.
    Evacuate {
        /// The request.
        id: RequestId,
        /// When the model server ends.
        ends_at: Millis,
    },
    /// Reject the request; it has not run.
    Reject {
        /// The request.
        id: RequestId,
        /// The reason.
        code: ResultCode,
        /// Time after which the client should retry, milliseconds.
        retry_after: Millis,
    },
}
