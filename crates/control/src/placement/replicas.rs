//! Which models get one more replica, on which model server, and what is unloaded for it.

use super::load_rate_limit::LoadRateLimit;
use super::memory_capacity::CapacityTable;
use super::model_replicas::loaded;
use super::pending_orders::PendingOrders;
use super::plan::Plan;
use crate::model_catalog::LoadObstacle;
use crate::order::Operation;
use pathbank_protocol::message::ModelServer;
use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap};

/// The tokens of a load from the machine's own disk. It uses the weight store only if the disk was replaced.
const CACHED_LOAD_TOKENS: f64 = 0.2;

/// A model that would gain from one more replica.
struct ReplicaRequest {
    /// What the replica would serve, requests a second.
    gain: f64,
    name: String,
    /// Replicas that the model has or is about to have.
    replicas: usize,
}

impl Ord for ReplicaRequest {
    fn cmp(&self, other: &ReplicaRequest) -> Ordering {
        self.gain.total_cmp(&other.gain).then_with(|| self.name.cmp(&other.name))
    }
}

impl PartialOrd for ReplicaRequest {
    fn partial_cmp(&self, other: &ReplicaRequest) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for ReplicaRequest {
    fn eq(&self, other: &ReplicaRequest) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ReplicaRequest {}

/// Whether a load was ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadDecision {
    Ordered,
    Skipped,
}

impl<'a> Plan<'a> {
    /// Loads the models for which model servers are reserved and have the memory by now.
    pub(super) fn load_reserved(&mut self, pending: &mut PendingOrders, rate_limit: &mut LoadRateLimit) {
        for server in self.servers.clone() {
            let Some(model) = pending.reserved_model(&server.instance).map(str::to_owned) else { continue };
            if self.model(&model).is_none() || loaded(server, &model).is_some() {
                pending.release(&server.instance);
                continue;
            }
            if !self.is_free(pending, server) {
                continue;
            }
            match self.catalog.check_load(&server.models, &model, "") {
                Ok(()) if rate_limit.try_take(self.load_tokens(server, &model)) => {
                    pending.release(&server.instance);
                    let key = self.key(&model, "");
                    self.give_order(pending, server, Operation::Load, &key);
                }
                Err(LoadObstacle::UnconfiguredModel(_)) => self.unload_unconfigured(pending, server),
                Ok(()) | Err(_) => {}
            }
        }
    }

    /// Unloads a model that the configuration does not name, if one may be unloaded.
    pub(super) fn unload_unconfigured(&mut self, pending: &mut PendingOrders, server: &ModelServer) {
        if let Some(model) = self.unconfigured_model(server) {
            let key = self.key(model, "");
            self.give_order(pending, server, Operation::Unload, &key);
        }
    }

    /// Adds replicas, each time of the model that gains most.
    pub(super) fn add_replicas(&mut self, pending: &mut PendingOrders, rate_limit: &mut LoadRateLimit) {
        let names: BTreeSet<String> = self.rates.keys().map(|key| key.model.clone()).collect();
        let known = names.into_iter().filter(|name| self.model(name).is_some());
        let requests = known.map(|name| {
            let replicas = self.replicas.serving(&name) + pending.loading(&name);
            ReplicaRequest { gain: self.gain(&name, replicas), name, replicas }
        });
        let mut requests: BinaryHeap<ReplicaRequest> =
            requests.filter(|request| request.gain > 0.0).collect();
        if requests.is_empty() {
            return;
        }
        let mut capacities = CapacityTable::of(self, pending);
        while let Some(request) = requests.pop() {
            if self.load(pending, rate_limit, &mut capacities, &request) == LoadDecision::Skipped {
                continue;
            }
            let replicas = request.replicas + 1;
            let gain = self.gain(&request.name, replicas);
            if gain > 0.0 {
                requests.push(ReplicaRequest { gain, replicas, ..request });
            }
        }
    }

    /// Orders the load of a model on the cheapest model server, or an unload that frees memory there and reserves it.
    fn load(
        &mut self,
        pending: &mut PendingOrders,
        rate_limit: &mut LoadRateLimit,
        capacities: &mut CapacityTable<'a>,
        request: &ReplicaRequest,
    ) -> LoadDecision {
        let Some(size_mb) = self.model(&request.name).map(|model| model.weights_mb) else {
            return LoadDecision::Skipped;
        };
        let Some(target) = capacities.cheapest_target(self, &request.name, size_mb, request.gain) else {
            return LoadDecision::Skipped;
        };
        match target.evicted {
            Some(evicted) => {
                let load_ms = self.configured_load_ms(&request.name);
                pending.reserve(self.inputs.now, &target.server.instance, &request.name, load_ms);
                let evicted = self.key(evicted, "");
                self.give_order(pending, target.server, Operation::Unload, &evicted);
            }
            None if rate_limit.try_take(self.load_tokens(target.server, &request.name)) => {
                let key = self.key(&request.name, "");
                self.give_order(pending, target.server, Operation::Load, &key);
            }
            None => return LoadDecision::Skipped,
        }
        capacities.record_order(self, &target);
        LoadDecision::Ordered
    }

    /// The tokens that a load takes of the weight store's rate limit.
    fn load_tokens(&self, server: &ModelServer, name: &str) -> f64 {
        if self.has_cached_weights(server, name) { CACHED_LOAD_TOKENS } else { 1.0 }
    }
}
