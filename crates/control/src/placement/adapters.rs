//! Chooses the replicas of its model on which an adapter is loaded, and the adapter that is unloaded for it.

use super::model_replicas::{adapter_count, has_adapter};
use super::pending_orders::PendingOrders;
use super::plan::Plan;
use crate::demand::ModelKey;
use crate::order::Operation;
use pathbank_protocol::message::ModelServer;

/// An adapter is loaded on this many times the model servers that its demand alone would fill.
const SPREAD_FACTOR: f64 = 2.0;
/// The least rate for which an adapter is loaded, requests a second.
const MIN_RATE: f64 = 0.01;
/// The weight of each loaded adapter in the choice of a model server, relative to its occupancy.
const ADAPTER_WEIGHT: f64 = 0.05;

impl Plan<'_> {
    /// Loads adapters that have fewer replicas than their demand needs, the ones with the highest rate first.
    pub(super) fn add_adapters(&mut self, pending: &mut PendingOrders) {
        let mut keys: Vec<ModelKey> = self.rates.keys().cloned().collect();
        keys.retain(|key| !key.adapter.is_empty() && self.replicas.serving(&key.model) > 0);
        keys.sort_by(|one, other| self.rates.of_key(other).total_cmp(&self.rates.of_key(one)));
        for key in keys {
            let rate = self.rates.of_key(&key);
            let is_configured = self.is_configured(&key);
            let replicas = self.replicas.of_adapter(&key.model, &key.adapter);
            let wanted = self.wanted_adapter_replicas(&key);
            let is_requested = rate > MIN_RATE;
            if is_configured
                && is_requested
                && replicas < wanted
                && !self.is_loading(pending, &key.model, &key.adapter)
            {
                self.add_adapter(pending, &key, rate, replicas == 0);
            }
        }
    }

    /// Whether the configuration has an adapter.
    fn is_configured(&self, key: &ModelKey) -> bool {
        self.model(&key.model).is_some_and(|model| model.has_adapter(&key.adapter))
    }

    /// Model servers that an adapter should be on, by its fraction of its model's demand.
    fn wanted_adapter_replicas(&self, key: &ModelKey) -> usize {
        let fraction = self.rates.of_key(key) / self.rates.of_model(&key.model).max(f64::MIN_POSITIVE);
        1 + (SPREAD_FACTOR * fraction * self.servers_filled(&key.model)) as usize
    }

    /// Loads an adapter on the least occupied model server with memory for it. If there is none, unloads what keeps it
    /// out instead: a model that the configuration does not name, or, if `may_evict`, an adapter with a lower rate.
    fn add_adapter(&mut self, pending: &mut PendingOrders, key: &ModelKey, rate: f64, may_evict: bool) {
        let servers = self.replicas.positions(&key.model).map(|position| self.servers[position]);
        let lacks = |server: &&ModelServer| !has_adapter(server, &key.model, &key.adapter);
        let candidates: Vec<&ModelServer> =
            servers.filter(lacks).filter(|server| self.is_free(pending, server)).collect();
        let fits = |server: &&&ModelServer| {
            self.catalog.check_load(&server.models, &key.model, &key.adapter).is_ok()
        };
        let clearable = |server: &&&ModelServer| self.unconfigured_model(server).is_some();
        let by_occupancy = |one: &&&ModelServer, other: &&&ModelServer| {
            let rank =
                |server: &ModelServer| self.occupancy(server) + ADAPTER_WEIGHT * adapter_count(server) as f64;
            rank(one).total_cmp(&rank(other))
        };
        if let Some(server) = candidates.iter().filter(fits).min_by(by_occupancy).copied() {
            return self.give_order(pending, server, Operation::Load, key);
        }
        if let Some(server) = candidates.iter().filter(clearable).min_by(by_occupancy).copied() {
            return self.unload_unconfigured(pending, server);
        }
        let evictable =
            candidates.iter().filter_map(|server| Some((self.least_requested_adapter(server)?, *server)));
        let cheapest = evictable.min_by(|((_, one), _), ((_, other), _)| one.total_cmp(other));
        if let Some(((evicted, _), server)) = cheapest.filter(|((_, value), _)| may_evict && *value < rate) {
            self.give_order(pending, server, Operation::Unload, &evicted);
        }
    }

    /// The adapter of a model server with the lowest rate for each of its replicas, and that rate. One that the
    /// configuration does not have counts as not requested.
    fn least_requested_adapter(&self, server: &ModelServer) -> Option<(ModelKey, f64)> {
        let keys = server.models.iter().flat_map(|loaded| {
            loaded.adapters.iter().map(|adapter| self.key(&loaded.name, adapter)).collect::<Vec<_>>()
        });
        let rates = keys.map(|key| {
            let replicas = self.replicas.of_adapter(&key.model, &key.adapter).max(1) as f64;
            let rate = if self.is_configured(&key) { self.rates.of_key(&key) / replicas } else { 0.0 };
            (key, rate)
        });
        rates.min_by(|(_, one), (_, other)| one.total_cmp(other))
    }
}
