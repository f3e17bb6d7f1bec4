//! What an answer from each model server would cost a request.

use super::{Dispatcher, Offer};
use crate::Millis;
use crate::draw::unit_draw;
use crate::model_servers::{Instance, KnownModelServer};
use pathbank_protocol::message::AdmissionOption;

/// Tokens of other prompts that a model server has not begun to answer hold up every stream there, not this
/// request alone.
const BACKLOG_WEIGHT: u64 = 4;
/// What a model server with all slots taken costs a request, as a part of the time for which an answer takes
/// a slot; less in proportion.
const FULL_COST_FRACTION: f64 = 0.33;
/// What another zone costs, as a part of the request's objective: its bytes cost more, and a link may fail.
const CROSS_ZONE_COST_FRACTION: f64 = 0.03;
/// What a model server costs that fails every request, in objectives; less in proportion. It is avoided,
/// never shut out.
const ERROR_COST_TARGETS: f64 = 3.0;
/// Streams stand still while a model server reads prompts. Beyond this part of the pause that is in time,
const STALL_GAP_FRACTION: f64 = 0.75;
/// each stream there, up to so many, counts as one more request that is late.
const MAX_STALLED_STREAMS: f64 = 4.0;
/// Model servers as good as each other are told apart by a draw of so many milliseconds.
const TIE_BREAK_MS: f64 = 3.0;
/// Edges prefer different model servers by up to this part of what a full model server costs, so that what
/// one edge has just sent to a model server tells most of what is on its way there.
const PREFERENCE_FRACTION: f64 = 0.4;
/// Model servers that the leader may choose from at most.
const MAX_ADMISSION_OPTIONS: usize = 8;

impl Dispatcher {
    /// The model servers at which a request with a prompt could be answered soonest, for the leader to choose
    /// from.
    pub fn admission_options(&self, now: Millis, offer: &Offer) -> Vec<AdmissionOption> {
        if offer.name.model.is_empty() || offer.input_tokens == 0 {
            return Vec::new();
        }
        let open = self.candidates(now, offer).filter(|(_, known)| known.has_slot(now));
        let mut options: Vec<AdmissionOption> = open
            .map(|(instance, known)| AdmissionOption {
                instance: instance.clone(),
                prefill_ms: self.prefill_ms(now, offer, instance, self.tokens_to_prefill(offer, instance))
                    as u32,
                other_cost_ms: self.extra_cost(now, offer, instance, known) as u32,
            })
            .collect();
        options.sort_by_key(|option| option.prefill_ms + option.other_cost_ms);
        options.truncate(MAX_ADMISSION_OPTIONS);
        options
    }

    /// What an answer from a model server would cost, as milliseconds until it begins, by what this edge
    /// alone knows.
    pub(super) fn cost(
        &self,
        now: Millis,
        offer: &Offer,
        instance: &Instance,
        known: &KnownModelServer,
    ) -> f64 {
        let prefill_backlog =
            self.tokens_to_prefill(offer, instance) + BACKLOG_WEIGHT * known.prefill_backlog_tokens();
        let prefill = self.prefill_ms(now, offer, instance, prefill_backlog);
        let full_ms = self.full_server_ms(now, offer);
        let preference = PREFERENCE_FRACTION * full_ms * unit_draw(self.seed, instance);
        prefill + preference + self.extra_cost(now, offer, instance, known)
    }

    /// How long a model server takes to read so many tokens for a request, milliseconds.
    pub(super) fn prefill_ms(&self, now: Millis, offer: &Offer, instance: &Instance, tokens: u64) -> f64 {
        self.engines.prefill_ms(now, instance, &offer.name.model, tokens)
    }

    /// Tokens of a request's prompt that a model server has to read.
    pub(super) fn tokens_to_prefill(&self, offer: &Offer, instance: &Instance) -> u64 {
        let cached = self.prefix_cache.cached_tokens(instance, &offer.name, &offer.parts);
        offer.input_tokens.saturating_sub(cached)
    }

    /// What speaks against a model server beside prompts to read, milliseconds.
    fn extra_cost(&self, now: Millis, offer: &Offer, instance: &Instance, known: &KnownModelServer) -> f64 {
        let queued = self.queue.queued_at(instance) as f64 / f64::from(known.server.capacity.max(1));
        let occupancy = known.occupancy(now) + queued;
        let full_ms = self.full_server_ms(now, offer);
        let target_latency_ms = offer.target_latency_ms as f64;
        let full = if known.has_slot(now) { 0.0 } else { full_ms };
        let ejected = if known.accepts_requests(now) { 0.0 } else { 2.0 * full_ms };
        let zone =
            if known.server.zone == self.zone { 0.0 } else { CROSS_ZONE_COST_FRACTION * target_latency_ms };
        let cold = if known.server.cold_remaining_ms > 0 { full_ms / 4.0 } else { 0.0 };
        let errors = ERROR_COST_TARGETS * target_latency_ms * known.error_rate(now);
        let draw = TIE_BREAK_MS * unit_draw(offer.id, instance);
        let stall = self.stall_cost(now, offer, instance, known);
        full_ms * occupancy + full + ejected + zone + cold + errors + stall + draw
    }

    /// What it costs that the streams at a model server stand still while it reads a prompt, milliseconds.
    fn stall_cost(&self, now: Millis, offer: &Offer, instance: &Instance, known: &KnownModelServer) -> f64 {
        let tokens = self.tokens_to_prefill(offer, instance) + known.prefill_backlog_tokens();
        let stall_ms = self.prefill_ms(now, offer, instance, tokens);
        if offer.target_gap_ms == 0 || stall_ms <= STALL_GAP_FRACTION * offer.target_gap_ms as f64 {
            return 0.0;
        }
        let streams = f64::from(known.in_flight) + known.others_in_flight(now);
        offer.target_latency_ms as f64 * streams.min(MAX_STALLED_STREAMS)
    }

    /// What a model server with all slots taken costs a request, milliseconds.
    fn full_server_ms(&self, now: Millis, offer: &Offer) -> f64 {
        FULL_COST_FRACTION * self.engines.slot_time_ms(now, &offer.name.model)
    }
}
