//! A request that is not answered yet.

use super::offer::Offer;
use crate::Millis;
use crate::model_servers::Instance;

/// Where a request is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The model that it asks for is resident at no model server.
    Unassigned,
    /// It waits for a slot of a model server.
    Queued(Instance),
    /// It was sent to a model server.
    Sent(Instance),
}

/// Whether a request moves to another model server before its own ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evacuation {
    /// Its model server has not announced an end.
    NotPlanned,
    /// It moves at this time.
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
    /// It was reported to the cores as waiting for its model.
    pub(super) reported: bool,
    /// When that was reported, its model was resident somewhere without the adapter.
    pub(super) lacks_adapter_only: bool,
    /// Tokens that its model server has to prefill, where no other prompt of this edge was queued before it there.
    pub(super) uncontended_tokens: Option<u64>,
    pub(super) evacuation: Evacuation,
}

impl PendingRequest {
    /// A request that is assigned to no model server yet.
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

    /// Whether it was not sent to a model server yet.
    pub(super) fn is_waiting(&self) -> bool {
        !matches!(self.stage, Stage::Sent(_))
    }
}
