//! What the dispatcher is told of a request, and what it decides.

use super::RequestId;
use crate::Millis;
use crate::model_servers::Instance;
use crate::prompt::{ModelName, PromptPart};
use pathbank_control::result_code::ResultCode;
use pathbank_control::urgency::Urgency;
use std::collections::BTreeSet;

/// What the dispatcher has to know of a request.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The request.
    pub id: RequestId,
    /// The service that its route chose.
    pub backend: String,
    /// The model it asks for.
    pub name: ModelName,
    /// Its told size.
    pub size: u64,
    /// The tokens of its prompt.
    pub input_tokens: u64,
    /// The parts of its prompt.
    pub parts: Vec<PromptPart>,
    /// When it came.
    pub arrived: Millis,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// When the client leaves if nothing of an answer has come.
    pub abandon_at: Millis,
    /// The time inside which an answer earns its full worth.
    pub target_latency_ms: Millis,
    /// The longest pause between events of an answer in time; 0: not told.
    pub target_gap_ms: Millis,
    /// How long a load of its model takes, where that is known.
    pub load_ms: Option<Millis>,
    /// Its client has been refused before: it comes back only a few times more.
    pub previously_rejected: bool,
    /// The model server that the leader granted it, if it was asked and answered in time.
    pub granted: Option<Instance>,
    /// Model servers that are not to get it (again).
    pub excluded: BTreeSet<Instance>,
    /// It is a stream that another model server may take up.
    pub resumable: bool,
    /// How urgent it is among all requests for its service; 0: the most urgent.
    pub urgency: Urgency,
    /// The version of the model's weights that has to answer; `None`: any.
    pub version: Option<u64>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The request goes to a model server now.
    Send {
        /// The request.
        id: RequestId,
        /// The model server's incarnation.
        instance: Instance,
        /// Where it is reached.
        address: String,
    },
    /// A stream leaves its model server, which is taken away, for another one.
    Evacuate {
        /// The request.
        id: RequestId,
        /// When the model server is gone.
        ends_at: Millis,
    },
    /// The request's final answer: it has not run.
    Reject {
        /// The request.
        id: RequestId,
        /// Why.
        code: ResultCode,
        /// When to come back.
        retry_after: Millis,
    },
}
