//! A request that is not answered yet.

use super::offer::Offer;
use crate::Millis;
use crate::model_servers::Instance;

/// The stage of a request on its way to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The model that the request names is resident at no model server.
    Unassigned,
    /// The request waits for a slot of a model server.
    Queued(Instance),
    /// The request was sent to a model server.
    Sent(Instance),
}

/// Whether a request moves to another model server before the one that runs it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evacuation {
    /// No move is planned.
    NotPlanned,
    /// The request moves at this time.
    Planned(Millis),
    /// The edge was asked to move it.
    Notified,
}

/// A request that is not answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    pub(super) offer: Offer,
    pub(super) stage: Stage,
    /// When it entered its stage.
    pub(super) since: Millis,
    /// Whether the request was reported to the cores as waiting for its model.
    pub(super) reported: bool,
    /// Whether the model was resident somewhere without the adapter when the request was reported.
    pub(super) lacks_adapter_only: bool,
    /// Tokens that its model server has to prefill; `None`: the server had other requests to prefill or no
    /// free slot when the request was sent, or the answer has begun.
    pub(super) uncontended_tokens: Option<u64>,
    pub(super) evacuation: Evacuation,
}

impl PendingRequest {
    /// Creates a request that is not assigned to a model server yet.
    pub(super) fn new(now: Millis, offer: Offer) -> PendingRequest {
        PendingRequest {
            offer,
            stage: Stage::Unassigned,
            since: now,
            reported: false,
            lacks_adapter_only: false,
            uncontended_tokens: None,
            evacuation: Evacuation::NotPlanned,
        }
    }

    /// Whether the request was not sent to a model server yet.
    pub(super) fn is_waiting(&self) -> bool {
        !matches!(self.stage, Stage::Sent(_))
    }
}
