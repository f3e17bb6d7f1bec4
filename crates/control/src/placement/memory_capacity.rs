//! The memory of model servers for one more model, and the cost of freeing it, computed once for all models
//! of a pass.

use super::model_replicas::loaded;
use super::pending_orders::PendingOrders;
use super::plan::Plan;
use pathbank_protocol::message::ModelServer;

// Costs of a model server for a load, requests a second.

/// The additional cost of a load from the weight store, compared with a load from the machine's own disk.
const FETCH_COST: f64 = 0.4;
/// The least gain of a load beyond the value of the models that are unloaded for it.
const MIN_GAIN: f64 = 0.03;
/// The weight of the demand that the model server serves already.
const SERVED_RATE_WEIGHT: f64 = 0.3;
/// The weight of requests for adapters of the model server's models, since no adapter is loaded during the
/// load.
const ADAPTER_RATE_WEIGHT: f64 = 0.5;
/// The cost of a model of unknown size on the server, which has to be unloaded before the load begins.
const UNCONFIGURED_MODEL_COST: f64 = 0.05;
/// The cost of a replica in the zone that has all other replicas.
const SAME_ZONE_COST: f64 = 0.1;

/// A model that may be unloaded from a model server.
struct EvictionCandidate<'a> {
    model: &'a str,
    /// The memory that is free without it, as far as is known.
    size_mb: f64,
    /// The value of the replica, requests a second.
    value: f64,
    /// Whether it has to be unloaded before any load, as the configuration does not name it: nobody knows its size.
    must_go: bool,
}

/// The memory of one model server.
struct ServerCapacity<'a> {
    server: &'a ModelServer,
    /// Whether the server has no pending order and no reservation, and does not fail.
    is_available: bool,
    /// The memory that is free beside the models that the configuration names.
    free_mb: f64,
    /// Whether it holds a model of unknown size.
    holds_unconfigured: bool,
    /// The rate that it serves by its share of each model's demand.
    served_rate: f64,
    /// The cost of delaying its adapters while it loads a model, requests a second.
    adapter_delay_cost: f64,
    /// The models that may be unloaded, the least valuable first.
    candidates: Vec<EvictionCandidate<'a>>,
}

impl<'a> ServerCapacity<'a> {
    fn of(plan: &Plan<'a>, pending: &PendingOrders, server: &'a ModelServer) -> ServerCapacity<'a> {
        let is_reserved = pending.reserved_model(&server.instance).is_some();
        let is_available =
            plan.is_free(pending, server) && !is_reserved && !plan.inputs.failing.contains(&server.instance);
        let contents = plan.catalog.contents(&server.models);
        let mut capacity = ServerCapacity {
            server,
            is_available,
            free_mb: plan.catalog.free_mb(&contents),
            holds_unconfigured: !contents.unconfigured.is_empty(),
            served_rate: 0.0,
            adapter_delay_cost: 0.0,
            candidates: Vec::new(),
        };
        capacity.update_values(plan);
        capacity
    }

    /// Computes the values of its models again, which depend on the replicas elsewhere.
    fn update_values(&mut self, plan: &Plan<'a>) {
        let server = self.server;
        let training = plan.inputs.training;
        let evictable = server.models.iter().filter(|loaded| !training.pins(&server.instance, &loaded.name));
        let candidates = evictable.map(|loaded| match plan.catalog.resident_mb(loaded) {
            Some(size_mb) => {
                let value = plan.replica_value(&loaded.name, &server.zone);
                EvictionCandidate { model: &loaded.name, size_mb, value, must_go: false }
            }
            // The operator took it away: no demand for it counts.
            None => EvictionCandidate { model: &loaded.name, size_mb: 0.0, value: 0.0, must_go: true },
        });
        self.candidates = candidates.collect();
        self.candidates
            .sort_by(|one, other| other.must_go.cmp(&one.must_go).then(one.value.total_cmp(&other.value)));
        self.served_rate = plan.served_rate(server);
        self.adapter_delay_cost = ADAPTER_RATE_WEIGHT * plan.adapter_rate(server);
    }

    /// The value of the models that have to be unloaded to free `size_mb`, requests a second, and the model
    /// to unload first. `None`: that would not free enough memory.
    fn eviction_cost(&self, size_mb: f64) -> Option<(f64, Option<&'a str>)> {
        let (mut free_mb, mut cost) = (self.free_mb, 0.0);
        if free_mb >= size_mb && !self.holds_unconfigured {
            return Some((0.0, None));
        }
        let first = self.candidates.first()?;
        if self.holds_unconfigured && !first.must_go {
            // What has to go is pinned.
            return None;
        }
        for candidate in &self.candidates {
            free_mb += candidate.size_mb;
            cost += candidate.value;
            if free_mb >= size_mb {
                return Some((cost, Some(first.model)));
            }
        }
        None
    }
}

/// The model server for a load.
pub(super) struct LoadTarget<'a> {
    /// Its index in the table.
    position: usize,
    pub(super) server: &'a ModelServer,
    /// The model that has to be unloaded first, if any.
    pub(super) evicted: Option<&'a str>,
}

/// The memory of all model servers of a service.
pub(super) struct CapacityTable<'a> {
    /// In the order of the plan's model servers.
    servers: Vec<ServerCapacity<'a>>,
}

impl<'a> CapacityTable<'a> {
    /// The memory at the beginning of a pass.
    pub(super) fn of(plan: &Plan<'a>, pending: &PendingOrders) -> CapacityTable<'a> {
        let servers = plan.servers.iter().map(|server| ServerCapacity::of(plan, pending, server));
        CapacityTable { servers: servers.collect() }
    }

    /// The cheapest model server for a model of `size_mb` among those where the load gains more than it
    /// costs. `gain`: the rate that the load would serve, requests a second.
    pub(super) fn cheapest_target(
        &self,
        plan: &Plan<'a>,
        name: &str,
        size_mb: f64,
        gain: f64,
    ) -> Option<LoadTarget<'a>> {
        let mut best: Option<(f64, LoadTarget)> = None;
        for (position, capacity) in self.servers.iter().enumerate().filter(|(_, server)| server.is_available)
        {
            let Some((cost, evicted)) =
                capacity.eviction_cost(size_mb).filter(|(cost, _)| cost + MIN_GAIN < gain)
            else {
                continue;
            };
            let server = capacity.server;
            let served = SERVED_RATE_WEIGHT * capacity.served_rate;
            // The other costs need look-ups by name, which are skipped if the server is too expensive
            // already.
            let is_worse = best.as_ref().is_some_and(|(least, _)| cost + served > *least);
            if is_worse || loaded(server, name).is_some() {
                continue;
            }
            let is_cached = plan.has_cached_weights(server, name);
            let fetch = if is_cached { 0.0 } else { FETCH_COST };
            let same_zone = SAME_ZONE_COST * plan.replicas.zones().fraction_in(name, &server.zone);
            let adapter_delay = if is_cached { 0.0 } else { capacity.adapter_delay_cost };
            let unknown_size = if capacity.holds_unconfigured { UNCONFIGURED_MODEL_COST } else { 0.0 };
            let total = cost + fetch + same_zone + served + adapter_delay + unknown_size;
            if best.as_ref().is_none_or(|(least, _)| total < *least) {
                best = Some((total, LoadTarget { position, server, evicted }));
            }
        }
        best.map(|(_, target)| target)
    }

    /// Records that the target was given an order: it takes no further order, and an eviction raises the
    /// value of the other replicas.
    pub(super) fn record_order(&mut self, plan: &Plan<'a>, target: &LoadTarget<'a>) {
        self.servers[target.position].is_available = false;
        for position in target.evicted.into_iter().flat_map(|model| plan.replicas.positions(model)) {
            self.servers[position].update_values(plan);
        }
    }
}
