//! Placement: which models and adapters each model server is ordered to load or unload.
//!
//! A model or adapter that requests wait for and that is loaded nowhere is loaded first; a model whose
//! replicas are busy gets one more replica. Memory is freed by unloading the replicas of least value, but
//! only if the load gains more than their value. Values, gains and costs are in requests a second.

mod adapters;
mod demand_rates;
mod load_rate_limit;
mod memory_capacity;
mod model_replicas;
mod pending_orders;
mod plan;
mod replica_zones;
mod replicas;
mod training_reservations;
mod value;

use crate::configuration::Backend;
use crate::demand::DemandTable;
use crate::directory::CachedWeights;
use crate::order::Order;
use crate::order_durations::OrderDurations;
use load_rate_limit::LoadRateLimit;
use pathbank_coordination::types::Millis;
use pathbank_protocol::message::{ExpectedModel, ModelServer};
use pending_orders::PendingOrders;
use plan::{Inputs, Plan};
use std::collections::{BTreeMap, BTreeSet};
pub use training_reservations::TrainingReservations;

/// The fraction of failed requests from which on a model server counts as serving none of its models.
const MAX_ERROR_FRACTION: f64 = 0.5;

/// The leader's placement: pending orders, reservations and rate limits. A new leader begins with an empty
/// one.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    pending: PendingOrders,
    /// The rate limits of the services' weight stores.
    rate_limits: BTreeMap<String, LoadRateLimit>,
    training: TrainingReservations,
    /// Instances that fail most of their requests.
    failing: BTreeSet<String>,
}

impl Placer {
    /// A placer without orders.
    pub fn new() -> Placer {
        Placer::default()
    }

    /// The models that orders bring to model servers, and when.
    pub fn expected(&self, now: Millis, orders: &[Order]) -> Vec<ExpectedModel> {
        self.pending.expected_models(now, orders)
    }

    /// The model servers that are reserved for a model, by instance, and that model.
    pub fn reserved(&self) -> impl Iterator<Item = (&str, &str)> {
        self.pending.reservations()
    }

    /// How long orders take, estimated from completed orders.
    pub fn durations(&self) -> &OrderDurations {
        self.pending.durations()
    }

    /// Orders that were given and have not ended.
    pub fn pending_orders(&self) -> impl Iterator<Item = &Order> {
        self.pending.orders()
    }

    /// Sets the model servers and models that training steps reserve from now on.
    pub fn set_training_reservations(&mut self, reservations: TrainingReservations) {
        self.training = reservations;
    }

    /// Sets the fraction of failed requests of each outlier. A model server that fails most of its requests
    /// counts as no replica of its models, and nothing is loaded there.
    pub fn set_failing(&mut self, outliers: &BTreeMap<String, f64>) {
        let failing = outliers.iter().filter(|(_, errors)| **errors >= MAX_ERROR_FRACTION);
        self.failing = failing.map(|(instance, _)| instance.clone()).collect();
    }

    /// Takes a load of a training step from the rate limit of the service's weight store. Returns whether the
    /// load may begin.
    pub fn try_take_training_load(&mut self, now: Millis, backend: &str, loads_per_s: f64) -> bool {
        let rate_limit = self.rate_limits.entry(backend.to_owned()).or_default();
        rate_limit.refill(now, loads_per_s);
        rate_limit.try_take(1.0)
    }

    /// Whether a model server has a pending order.
    pub fn has_pending_order(&self, instance: &str) -> bool {
        self.pending.contains(instance)
    }

    /// Adds the duration of an order that was done, milliseconds.
    pub fn record_duration(&mut self, now: Millis, order: &Order, took_ms: Millis) {
        self.pending.record_duration(now, order, took_ms);
    }

    /// Removes the pending order of a model server, whose end is known or will never be known.
    pub fn clear_order(&mut self, instance: &str) {
        self.pending.remove(instance);
    }

    /// How long ago the pending order of a model server was given, milliseconds; 0: it has none.
    pub fn elapsed_ms(&self, now: Millis, instance: &str) -> Millis {
        self.pending.elapsed_ms(now, instance)
    }

    /// Runs one pass. Returns the orders to give, which are pending from now on.
    pub fn plan(
        &mut self,
        now: Millis,
        backends: &[Backend],
        servers: &[ModelServer],
        demand: &DemandTable,
        cached_weights: &CachedWeights,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        self.pending.expire_reservations(now);
        let inputs = Inputs { now, demand, cached_weights, training: &self.training, failing: &self.failing };
        for backend in backends {
            let Some(runtime) = backend.runtime.as_ref().filter(|runtime| !runtime.models.is_empty()) else {
                continue;
            };
            let mut rate_limit = self.rate_limits.get(&backend.name).copied().unwrap_or_default();
            rate_limit.refill(now, runtime.loads_per_s);
            let servers = servers.iter().filter(|server| server.backend == backend.name).collect();
            let mut plan = Plan::new(inputs, backend, runtime, servers);
            plan.load_reserved(&mut self.pending, &mut rate_limit);
            plan.add_replicas(&mut self.pending, &mut rate_limit);
            plan.add_adapters(&mut self.pending);
            self.rate_limits.insert(backend.name.clone(), rate_limit);
            orders.append(&mut plan.orders);
        }
        orders
    }
}
