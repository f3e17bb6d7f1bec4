//! The value of model replicas, in requests a second that would be lost or late without them.

use super::plan::Plan;
use pathbank_coordination::types::Millis;

/// The odds that a request is late at a model server that is in prefill all the time. They fall with the third power of
/// the utilization.
const LATE_ODDS_AT_FULL: f64 = 1.6;
/// The weight of occupied slots in the utilization, beside prefill.
const SLOTS_WEIGHT: f64 = 0.55;
/// The utilization at which the demand for a model fills a model server.
const FILLED_UTILIZATION: f64 = 0.3;
/// A model without replicas is loaded from this rate on, requests a second.
const MIN_RATE: f64 = 0.05;
/// The value of a model's only replica for requests yet to come, requests a second, if they would wait for a load as long
/// as their latency objective.
const ONLY_REPLICA_VALUE: f64 = 0.15;
/// The value of a replica beside others while demand is unknown, requests a second.
const UNKNOWN_DEMAND_VALUE: f64 = 3.0;
/// A fraction of unknown demand that does not count.
const TOLERATED_UNKNOWN_FRACTION: f64 = 0.15;
/// A model with a request this recent is probably generating, which an unload would have to wait for, milliseconds.
const GENERATION_MS: Millis = 3_000;
/// The cost of that wait, requests a second.
const UNLOAD_WAIT_COST: f64 = 0.06;
/// The least value of a replica, as a fraction of its model's rate.
const MIN_VALUE_FRACTION: f64 = 0.002;
/// From this rate on, requests a second, a model has replicas in two zones, in case one is lost.
const MIN_TWO_ZONE_RATE: f64 = 3.0;

impl Plan<'_> {
    /// The utilization of one model server that serves all demand for a model; above 1 one is not enough.
    fn utilization_of_one(&self, model: &str) -> f64 {
        let load = self.rates.load(model);
        let prefill = load.prefill_ms_per_s / 1_000.0;
        let slots = load.slot_time_ms_per_s / 1_000.0 / self.slots;
        prefill.max(SLOTS_WEIGHT * slots)
    }

    /// Model servers that the demand for a model fills.
    pub(super) fn servers_filled(&self, model: &str) -> f64 {
        self.utilization_of_one(model) / FILLED_UTILIZATION
    }

    /// Requests a second that are late with this many replicas of a model.
    fn late_rate(&self, model: &str, replicas: usize) -> f64 {
        let utilization = self.utilization_of_one(model) / replicas as f64;
        let odds = LATE_ODDS_AT_FULL * utilization.powi(3);
        self.rates.of_model(model) * odds / (1.0 + odds)
    }

    /// The wait of a request that finds its model unloaded, as a fraction of its latency objective; 1 if the objective is
    /// shorter than a load, or not known.
    fn load_wait(&self, model: &str) -> f64 {
        let load_ms = self.configured_load_ms(model) as f64;
        let objective_ms = self.rates.objective_ms(model);
        objective_ms.map_or(1.0, |objective_ms| (load_ms / f64::from(objective_ms)).min(1.0))
    }

    /// Requests a second that one more replica of a model would serve in time.
    pub(super) fn gain(&self, model: &str, replicas: usize) -> f64 {
        let rate = self.rates.of_model(model);
        match replicas {
            0 if rate < MIN_RATE => 0.0,
            // Without a replica none of the requests is served.
            0 => rate,
            1 if rate >= MIN_TWO_ZONE_RATE && self.replicas.zones().are_several() => rate,
            _ => self.late_rate(model, replicas) - self.late_rate(model, replicas + 1),
        }
    }

    /// The value of one replica of a model in a zone, requests a second.
    pub(super) fn replica_value(&self, model: &str, zone: &str) -> f64 {
        let replicas = self.replicas.serving(model).max(1);
        let rate = self.rates.of_model(model);
        // Without its last replica outside one zone the model would be lost with that zone.
        if rate >= MIN_TWO_ZONE_RATE && self.replicas.zones().leaves_one_zone(model, zone) {
            return 2.0 * rate + ONLY_REPLICA_VALUE;
        }
        let (now, demand) = (self.inputs.now, self.inputs.demand);
        let unknown = (demand.unknown_fraction(now) - TOLERATED_UNKNOWN_FRACTION).max(0.0);
        match replicas {
            1 => {
                let generates = demand.requested_within(now, &self.key(model, ""), GENERATION_MS);
                let wait = if generates { UNLOAD_WAIT_COST } else { 0.0 };
                // The requests need a load, and wait for it.
                let load_wait = self.load_wait(model);
                rate + load_wait * (rate + ONLY_REPLICA_VALUE) + wait
            }
            _ => {
                let served = self.late_rate(model, replicas - 1) - self.late_rate(model, replicas);
                served.max(MIN_VALUE_FRACTION * rate) + UNKNOWN_DEMAND_VALUE * unknown
            }
        }
    }
}
