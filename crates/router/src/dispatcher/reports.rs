//! What the cores are told of demand.

use super::{Dispatcher, Held, Offer, RequestId, Stage};
use crate::Millis;
use crate::model_servers::AttemptOutcome;
use pathbank_protocol::message::{ModelDemand, ModelServerLoad};

impl Dispatcher {
    /// Whether the cores should hear of demand at once: something waits for a model that no model server
    /// holds.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Demand since the last call, and what is out and was seen at each model server.
    pub fn take_report(&mut self) -> (Vec<ModelDemand>, Vec<ModelServerLoad>) {
        self.note_still_unplaced();
        let demand = std::mem::take(&mut self.demand).into_values().collect();
        (demand, self.servers.take_loads())
    }

    // ---- what the cores are told ----

    fn demand_of(&mut self, offer: &Offer) -> &mut ModelDemand {
        let fresh = || ModelDemand {
            backend: offer.backend.clone(),
            model: offer.name.model.clone(),
            adapter: offer.name.adapter.clone(),
            ..ModelDemand::default()
        };
        self.demand.entry((offer.backend.clone(), offer.name.clone())).or_insert_with(fresh)
    }

    pub(super) fn note_demand(&mut self, now: Millis, offer: &Offer) {
        if offer.name.model.is_empty() {
            return;
        }
        let prefill_ms = self.engines.typical_read_ms(now, &offer.name.model, offer.input_tokens) as u64;
        let objective = offer.objective as u32;
        let demand = self.demand_of(offer);
        demand.arrived += 1;
        demand.tokens += offer.size;
        demand.prefill_ms += prefill_ms;
        demand.objective_ms =
            if demand.objective_ms == 0 { objective } else { demand.objective_ms.min(objective) };
    }

    /// A request ended that may have taken a slot of a model server.
    pub(super) fn note_held(&mut self, now: Millis, held: &Held, outcome: AttemptOutcome) {
        let is_answered = outcome == AttemptOutcome::Answered && matches!(held.stage, Stage::Sent(_));
        if !is_answered || held.offer.name.model.is_empty() {
            return;
        }
        let slot_time_ms = now.saturating_sub(held.since);
        self.engines.note_answer(now, &held.offer.name.model, slot_time_ms);
        self.demand_of(&held.offer).slot_time_ms += slot_time_ms;
    }

    /// Requests that were told of before and still wait count as waiting in each report.
    fn note_still_unplaced(&mut self) {
        let waits = |held: &&Held| held.reported && held.stage == Stage::Unplaced;
        let offers: Vec<Offer> = self.held.values().filter(waits).map(|held| held.offer.clone()).collect();
        for offer in offers.iter().filter(|offer| !offer.name.model.is_empty()) {
            let demand = self.demand_of(offer);
            demand.waiting = demand.waiting.max(1);
        }
    }

    pub(super) fn note_unplaced(&mut self, now: Millis, id: RequestId) {
        let model_held = self.held.get(&id).is_some_and(|held| self.holds_model(now, &held.offer));
        let Some(held) = self.held.get_mut(&id) else { return };
        (held.reported, held.model_held) = (true, model_held);
        let offer = held.offer.clone();
        if !offer.name.model.is_empty() {
            self.demand_of(&offer).waiting += 1;
            self.urgent = true;
        }
    }
}
