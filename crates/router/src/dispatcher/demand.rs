//! Demand by model, as the edge reports it to the leader.

use super::{Dispatcher, Offer, PendingRequest, RequestId, Stage};
use crate::Millis;
use crate::model_servers::AttemptOutcome;
use pathbank_protocol::message::{ModelDemand, ModelServerLoad};

impl Dispatcher {
    /// Whether demand should be reported at once, because a request waits for a model that is resident
    /// nowhere. Resets the flag.
    pub fn take_urgent_demand(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Returns the demand since the last call, and the load of each model server.
    pub fn take_report(&mut self) -> (Vec<ModelDemand>, Vec<ModelServerLoad>) {
        self.record_unassigned_demand();
        let demand = std::mem::take(&mut self.demand).into_values().collect();
        (demand, self.servers.take_loads())
    }

    fn demand_of(&mut self, offer: &Offer) -> &mut ModelDemand {
        let fresh = || ModelDemand {
            backend: offer.backend.clone(),
            model: offer.name.model.clone(),
            adapter: offer.name.adapter.clone(),
            ..ModelDemand::default()
        };
        self.demand.entry((offer.backend.clone(), offer.name.clone())).or_insert_with(fresh)
    }

    /// Records the demand of a request that has just arrived.
    pub(super) fn record_demand(&mut self, now: Millis, offer: &Offer) {
        if offer.name.model.is_empty() {
            return;
        }
        let prefill_ms = self.engines.typical_prefill_ms(now, &offer.name.model, offer.tokens.input) as u64;
        let target_latency_ms = offer.target_latency_ms as u32;
        let demand = self.demand_of(offer);
        demand.arrived += 1;
        demand.tokens += offer.tokens.input + offer.tokens.output;
        demand.prefill_ms += prefill_ms;
        demand.objective_ms = if demand.objective_ms == 0 {
            target_latency_ms
        } else {
            demand.objective_ms.min(target_latency_ms)
        };
    }

    /// Records the slot time of an answered request.
    pub(super) fn record_slot_time(
        &mut self,
        now: Millis,
        pending: &PendingRequest,
        outcome: AttemptOutcome,
    ) {
        let is_answered = outcome == AttemptOutcome::Answered && matches!(pending.stage, Stage::Sent(_));
        if !is_answered {
            return;
        }
        let slot_time_ms = now.saturating_sub(pending.since);
        let (backend, model) = (&pending.offer.backend, &pending.offer.name.model);
        self.engines.observe_slot_time(now, backend, model, slot_time_ms);
        self.engines.observe_decode(now, model, pending.offer.tokens, slot_time_ms);
        if !model.is_empty() {
            self.demand_of(&pending.offer).slot_time_ms += slot_time_ms;
        }
    }

    /// Counts requests that were reported before and still wait as waiting in this report, too.
    fn record_unassigned_demand(&mut self) {
        let waits = |pending: &&PendingRequest| pending.reported && pending.stage == Stage::Unassigned;
        let offers: Vec<Offer> =
            self.pending.values().filter(waits).map(|pending| pending.offer.clone()).collect();
        for offer in offers.iter().filter(|offer| !offer.name.model.is_empty()) {
            let demand = self.demand_of(offer);
            demand.waiting = demand.waiting.max(1);
        }
    }

    /// Records a request that waits for a model that is resident nowhere.
    pub(super) fn record_unassigned(&mut self, now: Millis, id: RequestId) {
        let lacks_adapter_only =
            self.pending.get(&id).is_some_and(|pending| self.lacks_adapter_only(now, &pending.offer));
        let Some(pending) = self.pending.get_mut(&id) else { return };
        (pending.reported, pending.lacks_adapter_only) = (true, lacks_adapter_only);
        let offer = pending.offer.clone();
        if !offer.name.model.is_empty() {
            self.demand_of(&offer).waiting += 1;
            self.urgent = true;
        }
    }
}
