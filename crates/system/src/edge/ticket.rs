//! A guard for a request at the dispatcher. Dropping it, as when the client disconnects, ends the request
//! there.

use super::shared::{Decision, Shared};
use pathbank_router::dispatcher::{Offer, RequestId};
use pathbank_router::model_servers::{AttemptOutcome, Instance};
use std::sync::Arc;

/// A request that the dispatcher holds.
pub struct Ticket {
    shared: Arc<Shared>,
    id: RequestId,
    open: bool,
    /// The model server that the dispatcher chose; empty before that.
    instance: Instance,
}

impl Ticket {
    /// Creates a ticket for a request that is not offered yet.
    pub fn new(shared: Arc<Shared>) -> Ticket {
        let id = shared.next_id();
        Ticket { shared, id, open: false, instance: Instance::new() }
    }

    /// The request's number at this edge.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// The model server that the dispatcher chose; empty before that.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Offers the request to the dispatcher and waits for its decision.
    pub async fn offer(&mut self, offer: Offer, first: bool) -> Option<Decision> {
        self.open = true;
        let decision = self.shared.offer(offer, first).await.ok();
        match &decision {
            Some(Decision::Send { instance, .. }) => self.instance.clone_from(instance),
            Some(Decision::Reject { .. }) => self.open = false,
            None => {}
        }
        decision
    }

    /// Ends the request at the dispatcher with the outcome of its attempt. Only the first call counts.
    pub fn end(&mut self, outcome: AttemptOutcome) {
        if std::mem::take(&mut self.open) {
            self.shared.finish(self.id, outcome);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.open
            && let Some((name, waited_ms, stage)) = self.shared.waiting(self.id)
        {
            tracing::debug!(request = self.id, ?name, waited_ms, stage, "client left while queued");
        }
        self.end(AttemptOutcome::Abandoned);
    }
}
