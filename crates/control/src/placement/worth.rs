//! What a copy of a model is worth, in requests a second that would be lost or late without it.

use super::Plan;
use crate::demand::ModelKey;
use crate::directory::Millis;

/// Of the requests to a model server that reads prompts all the time so many are harmed for each one that is
/// not. Of others it is less, by the third power of the part of its time that it reads.
const HARM_WHEN_FULL: f64 = 1.6;
/// Slots that are taken harm less than reading: this part of them counts beside it.
const SLOTS_HARM: f64 = 0.55;
/// A model server is filled by demand that it reads for this part of its time.
const FILLED: f64 = 0.3;
/// A load that takes this part of an objective or less serves the request that waits for it in time.
const IN_TIME_PART: f64 = 0.85;
/// What a request counts for that can wait for a load: the load, and the copy that has to go for it.
const CAN_WAIT: f64 = 0.3;
/// A model that no model server holds is loaded for demand above this, requests a second.
const LEAST_DEMAND: f64 = 0.05;
/// What the only copy of a model counts for beyond its demand, requests a second: whoever asks for it waits
/// for a load.
const ONLY_COPY: f64 = 0.15;
/// The same where requests can wait for a load.
const ONLY_COPY_THAT_CAN_WAIT: f64 = 0.02;
const ONLY_COPY_FACTOR: f64 = 2.0;
/// What a copy of a model with several counts for while demand is not known yet, requests a second.
const UNKNOWN_COPY: f64 = 3.0;
/// A model that was asked for within this is likely to answer at the moment, milliseconds: an unload waits
/// for the end of its answers.
const ANSWERS_FOR: Millis = 3_000;
/// What such a wait counts for, requests a second.
const UNLOAD_WAIT: f64 = 0.06;
/// What is known of demand by then is enough to go by.
const UNKNOWN_PART_LEFT: f64 = 0.15;
/// What a copy counts for that serves next to nothing, as a part of its requests.
const LEAST_VALUE: f64 = 0.002;
/// A model that is asked for so often, requests a second, is held in two zones: one may be lost.
const RESERVED_RATE: f64 = 3.0;

impl Plan<'_> {
    /// The part of a model server that the demand for a model takes, as if it were on one model server alone;
    /// above 1: it would need more.
    fn demand_on_one(&self, model: &str) -> f64 {
        let load = self.model_loads.get(model).copied().unwrap_or_default();
        let reading = load.prefill_ms_per_s / 1_000.0;
        let slots = load.slot_time_ms_per_s / 1_000.0 / self.capacity;
        reading.max(SLOTS_HARM * slots)
    }

    /// Model servers that the demand for a model fills.
    pub(super) fn servers_filled(&self, model: &str) -> f64 {
        self.demand_on_one(model) / FILLED
    }

    /// Requests a second to a model that so many copies do not serve in time.
    fn harmed(&self, model: &str, copies: usize) -> f64 {
        let used = self.demand_on_one(model) / copies as f64;
        let odds = HARM_WHEN_FULL * used.powi(3);
        self.model_rate(model) * odds / (1.0 + odds)
    }

    /// Whether a request that finds no copy of a model can be served in time by a load.
    pub(super) fn can_wait(&self, model: &str) -> bool {
        let load_ms = self.told_load_ms(model) as f64;
        self.objectives.get(model).is_some_and(|objective| load_ms <= IN_TIME_PART * f64::from(*objective))
    }

    /// Requests a second that one more copy of a model would serve in time.
    pub(super) fn relief(&self, model: &str, copies: usize) -> f64 {
        let rate = self.model_rate(model);
        match copies {
            0 if rate < LEAST_DEMAND => 0.0,
            0 if self.can_wait(model) => CAN_WAIT * rate,
            0 => rate,
            1 if rate >= RESERVED_RATE && self.zones.are_several() => rate,
            _ => self.harmed(model, copies) - self.harmed(model, copies + 1),
        }
    }

    /// What a copy of a model in a zone serves, requests a second.
    pub(super) fn value(&self, model: &str, zone: &str) -> f64 {
        let copies = self.holders(model).max(1);
        let rate = self.model_rate(model);
        // Without its last copy outside one zone it would be lost with that zone.
        if rate >= RESERVED_RATE && self.zones.leaves_one_zone(model, zone) {
            return ONLY_COPY_FACTOR * rate + ONLY_COPY;
        }
        let unknown_fraction = (self.demand.unknown_fraction(self.now) - UNKNOWN_PART_LEFT).max(0.0);
        match copies {
            1 if self.can_wait(model) => {
                let answers = self.demand.requested_within(self.now, &self.key(model, ""), ANSWERS_FOR);
                let wait = if answers { UNLOAD_WAIT } else { 0.0 };
                CAN_WAIT * rate + ONLY_COPY_THAT_CAN_WAIT + wait
            }
            1 => ONLY_COPY_FACTOR * rate + ONLY_COPY,
            _ => {
                let served = self.harmed(model, copies - 1) - self.harmed(model, copies);
                served.max(LEAST_VALUE * rate) + UNKNOWN_COPY * unknown_fraction
            }
        }
    }
}

/// What the demand for a model asks of model servers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ModelLoad {
    /// Time that model servers take to read prompts, milliseconds a second.
    prefill_ms_per_s: f64,
    /// Slots taken, in milliseconds a second.
    slot_time_ms_per_s: f64,
}

impl ModelLoad {
    /// Adds the demand for a key: the means of what its requests take, as often as they come.
    pub(super) fn add(&mut self, plan: &Plan<'_>, key: &ModelKey, requests_per_s: f64) {
        let told = plan.demand.mean_requests_per_s(plan.now, key);
        if told > 0.0 {
            let rise = requests_per_s / told;
            self.prefill_ms_per_s += rise * plan.demand.prefill_ms_per_s(plan.now, key);
            self.slot_time_ms_per_s += rise * plan.demand.slot_time_ms_per_s(plan.now, key);
        }
    }
}
