//! The cost of an answer from each model server, in milliseconds until the answer begins.

use super::{Dispatcher, Offer};
use crate::Millis;
use crate::draw::unit_draw;
use crate::model_servers::{Instance, KnownModelServer};
use pathbank_protocol::message::AdmissionOption;

/// Weight of the prefill backlog, which delays every stream at the model server and not this request alone.
const BACKLOG_WEIGHT: u64 = 4;
/// Cost of a model server with all slots taken, as a fraction of the slot time. With fewer slots taken the
/// cost is proportionally lower.
const FULL_COST_FRACTION: f64 = 0.33;
/// An answer from another zone begins later by about this time, milliseconds: a round trip between zones.
const CROSS_ZONE_ROUND_TRIP_MS: f64 = 2.0;
/// Random tie-break between equal model servers, milliseconds.
const TIE_BREAK_MS: f64 = 3.0;
/// Edges prefer different model servers by up to this fraction of the cost of a full one, so that an edge
/// knows most of the requests on their way to the servers that it prefers.
const PREFERENCE_FRACTION: f64 = 0.4;
/// The limit of candidates from which the leader chooses.
const MAX_ADMISSION_OPTIONS: usize = 8;

impl Dispatcher {
    /// The candidates with the lowest cost for a request with a prompt, for the leader to choose from.
    pub fn admission_options(&self, now: Millis, offer: &Offer) -> Vec<AdmissionOption> {
        if offer.name.model.is_empty() || offer.tokens.input == 0 {
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

    /// The cost of an answer from a model server, in milliseconds until the answer begins, as far as this
    /// edge knows on its own.
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

    /// Time in which a model server prefills a number of tokens for a request, milliseconds.
    pub(super) fn prefill_ms(&self, now: Millis, offer: &Offer, instance: &Instance, tokens: u64) -> f64 {
        self.engines.prefill_ms(now, instance, &offer.name.model, tokens)
    }

    /// Tokens of a request's prompt that are not in a model server's prefix cache.
    pub(super) fn tokens_to_prefill(&self, offer: &Offer, instance: &Instance) -> u64 {
        let cached = self.prefix_cache.cached_tokens(instance, &offer.name, &offer.parts);
        offer.tokens.input.saturating_sub(cached)
    }

    /// The cost of a model server in addition to prefill, milliseconds.
    fn extra_cost(&self, now: Millis, offer: &Offer, instance: &Instance, known: &KnownModelServer) -> f64 {
        let queued = self.queue.queued_at(instance) as f64 / f64::from(known.server.capacity.max(1));
        let occupancy = known.occupancy(now) + queued;
        let full_ms = self.full_server_ms(now, offer);
        let full = if known.has_slot(now) { 0.0 } else { full_ms };
        let ejected = if known.accepts_requests(now) { 0.0 } else { 2.0 * full_ms };
        let zone = if known.server.zone == self.zone { 0.0 } else { CROSS_ZONE_ROUND_TRIP_MS };
        let cold = if known.server.cold_remaining_ms > 0 { full_ms / 4.0 } else { 0.0 };
        // The work of a failed attempt has to be done again. The server is avoided, never excluded.
        let errors = self.work_ms(now, offer) * known.error_rate(now);
        let draw = TIE_BREAK_MS * unit_draw(offer.id, instance);
        let stall = self.stall_cost(now, offer, instance, known);
        full_ms * occupancy + full + ejected + zone + cold + errors + stall + draw
    }

    /// The cost of stalled streams at a model server, milliseconds: all its streams pause while it prefills a
    /// prompt, and what exceeds the longest gap that clients accept is lost to each of them.
    fn stall_cost(&self, now: Millis, offer: &Offer, instance: &Instance, known: &KnownModelServer) -> f64 {
        if offer.target_gap_ms == 0 {
            return 0.0;
        }
        let tokens = self.tokens_to_prefill(offer, instance) + known.prefill_backlog_tokens();
        let stall_ms = self.prefill_ms(now, offer, instance, tokens);
        let streams = f64::from(known.in_flight) + known.others_in_flight(now);
        streams * (stall_ms - offer.target_gap_ms as f64).max(0.0)
    }

    /// The cost of a model server with all slots taken, milliseconds.
    fn full_server_ms(&self, now: Millis, offer: &Offer) -> f64 {
        FULL_COST_FRACTION * self.engines.slot_time_ms(now, &offer.backend, &offer.name.model)
    }
}
