//! Which model server is ordered to load or unload what.
//!
//! Demand decides: a model or adapter that clients wait for and no model server holds is loaded first; a
//! model whose model servers are busy gets one more. Room is made by unloading what is asked for least, and
//! never for something asked for less.

mod adapters;
mod allowance;
mod copies;
mod rooms;
mod training_hold;
mod worth;
mod zones;

use crate::configuration::{Backend, Model, Runtime};
use crate::demand::{DemandTable, ModelKey};
use crate::directory::{CachedWeights, Millis};
use crate::order::{Operation, Order, OrderKind};
use crate::order_durations::OrderDurations;
use allowance::LoadAllowance;
use pathbank_protocol::message::{ExpectedModel, LoadedModel, ModelServer};
use std::collections::{BTreeMap, BTreeSet};
pub use training_hold::TrainingReservations;
use worth::ModelLoad;
use zones::ZoneCopies;

/// What a load from the weight store counts for beside one from the model server's own disk, requests a
/// second.
const FETCHED: f64 = 0.4;
/// What a load has to bring at least beyond what goes for it, requests a second.
const LOAD_COST: f64 = 0.03;
/// What the demand that a model server serves already counts for when a load looks for its model server.
const CROWDED: f64 = 0.3;
/// What requests for adapters of a model server's models count for when a load looks for its model server:
/// meanwhile no adapter comes.
const BLOCKED: f64 = 0.5;
/// What a copy in a zone that has one already counts for when a load looks for its model server, requests a
/// second.
const SAME_ZONE: f64 = 0.1;
/// A model server that fails this part of its requests serves none of its models.
const FAILS_MOST: f64 = 0.5;
/// What each request that waits counts for, requests a second.
const WAITING_WEIGHT: f64 = 0.3;

/// A model server that was cleared for a model: nothing else is loaded there until the model is, or the time
/// is over.
#[derive(Clone, Debug)]
struct Reservation {
    model: String,
    /// What the configuration says of its load, milliseconds.
    load_ms: Millis,
    until: Millis,
}

/// Orders under way, and what may follow them.
#[derive(Clone, Debug, Default)]
pub struct Placer {
    pending: BTreeMap<String, Order>,
    /// When each of them was given.
    ordered_at: BTreeMap<String, Millis>,
    reserved: BTreeMap<String, Reservation>,
    allowance: BTreeMap<String, LoadAllowance>,
    training: TrainingReservations,
    durations: OrderDurations,
    /// Model servers that fail most of their requests.
    failing: BTreeSet<String>,
}

/// Model servers that are not placed on as others are.
#[derive(Clone, Debug, Default)]
struct Exceptions {
    training: TrainingReservations,
    failing: BTreeSet<String>,
}

/// What is planned for one service, with what is looked up often worked out once.
struct Plan<'a> {
    now: Millis,
    backend: &'a Backend,
    runtime: &'a Runtime,
    servers: Vec<&'a ModelServer>,
    demand: &'a DemandTable,
    cached_weights: &'a CachedWeights,
    /// What training steps do with model servers meanwhile.
    training: &'a TrainingReservations,
    /// Model servers that fail most of their requests.
    failing: &'a BTreeSet<String>,
    models: BTreeMap<&'a str, &'a Model>,
    /// Requests a second by model and adapter, what waits among them.
    rates: BTreeMap<ModelKey, f64>,
    /// The same by model, all its adapters together.
    model_rates: BTreeMap<String, f64>,
    /// How many model servers hold a model.
    holders: BTreeMap<&'a str, usize>,
    /// The places of those model servers among `servers`.
    holding: BTreeMap<&'a str, Vec<usize>>,
    /// Zones with model servers of the service, and the copies of each model there.
    zones: ZoneCopies<'a>,
    /// Model servers that hold an adapter.
    adapter_holders: BTreeMap<(&'a str, &'a str), usize>,
    /// Requests a second by model that name an adapter.
    adapter_rates: BTreeMap<String, f64>,
    /// What the demand for each model, all its adapters together, asks of model servers.
    model_loads: BTreeMap<String, ModelLoad>,
    /// The shortest objective of requests for each model, milliseconds.
    objectives: BTreeMap<String, u32>,
    /// Slots of a model server.
    capacity: f64,
    /// Requests out at each model server.
    in_flight: BTreeMap<String, u32>,
    orders: Vec<Order>,
}

impl<'a> Plan<'a> {
    fn new(
        now: Millis,
        backend: &'a Backend,
        runtime: &'a Runtime,
        servers: Vec<&'a ModelServer>,
        demand: &'a DemandTable,
        cached_weights: &'a CachedWeights,
        exceptions: &'a Exceptions,
    ) -> Plan<'a> {
        let models = runtime.models.iter().map(|model| (model.name.as_str(), model)).collect();
        let mut plan = Plan {
            now,
            backend,
            runtime,
            servers,
            demand,
            cached_weights,
            training: &exceptions.training,
            failing: &exceptions.failing,
            models,
            rates: BTreeMap::new(),
            model_rates: BTreeMap::new(),
            holders: BTreeMap::new(),
            holding: BTreeMap::new(),
            zones: ZoneCopies::default(),
            adapter_holders: BTreeMap::new(),
            adapter_rates: BTreeMap::new(),
            model_loads: BTreeMap::new(),
            objectives: BTreeMap::new(),
            capacity: 1.0,
            in_flight: demand.in_flight(now),
            orders: Vec::new(),
        };
        let slots: f64 = plan.servers.iter().map(|server| f64::from(server.capacity)).sum();
        plan.capacity = (slots / plan.servers.len().max(1) as f64).max(1.0);
        plan.count_holders();
        plan.work_out_rates();
        plan
    }

    fn count_holders(&mut self) {
        self.zones = ZoneCopies::count(&self.servers);
        for (place, server) in self.servers.iter().enumerate() {
            for held in &server.models {
                self.holding.entry(&held.name).or_default().push(place);
                for adapter in &held.adapters {
                    *self.adapter_holders.entry((&held.name, adapter)).or_default() += 1;
                }
            }
        }
        let serves = |place: &&usize| !self.failing.contains(&self.servers[**place].instance);
        let serving = |places: &Vec<usize>| places.iter().filter(serves).count();
        self.holders = self.holding.iter().map(|(name, places)| (*name, serving(places))).collect();
        // A model server that changes versions will hold the model again: no other copy has to take its
        // place.
        let back_soon = self.servers.iter().filter_map(|server| {
            let model = self.training.changing_version.get(&server.instance)?;
            loaded(server, model).is_none().then_some(model.as_str())
        });
        for model in back_soon.collect::<Vec<_>>() {
            *self.holders.entry(model).or_default() += 1;
        }
    }

    fn work_out_rates(&mut self) {
        let keys = self.demand.keys().filter(|key| key.backend == self.backend.name);
        for key in keys {
            let waiting = WAITING_WEIGHT * self.demand.waiting(self.now, key);
            let asked = self.demand.requests_per_s(self.now, key);
            let rate = asked + waiting;
            *self.model_rates.entry(key.model.clone()).or_default() += rate;
            if !key.adapter.is_empty() {
                *self.adapter_rates.entry(key.model.clone()).or_default() += rate;
            }
            self.rates.insert(key.clone(), rate);
            let mut load = self.model_loads.get(&key.model).copied().unwrap_or_default();
            load.add(self, key, asked);
            self.model_loads.insert(key.model.clone(), load);
            if let Some(objective) = self.demand.objective_ms(key) {
                let shortest = self.objectives.entry(key.model.clone()).or_insert(objective);
                *shortest = objective.min(*shortest);
            }
        }
    }
}

impl Placer {
    /// A leader that has just begun knows of no order, and of no load that may have begun.
    pub fn new() -> Placer {
        Placer::default()
    }

    /// The models that new orders bring to model servers, and when.
    pub fn expected(&self, now: Millis, orders: &[Order]) -> Vec<ExpectedModel> {
        let model = |order: &Order| match (order.kind, self.reserved.get(&order.instance)) {
            (OrderKind::Fetch | OrderKind::Reload, _) => Some((order.model.clone(), order.expected_ms)),
            (OrderKind::Unload, Some(reserved)) => {
                let load_ms = self.durations.expected(now, OrderKind::Fetch, reserved.load_ms);
                Some((reserved.model.clone(), order.expected_ms + load_ms))
            }
            (OrderKind::Unload | OrderKind::Adapter, _) => None,
        };
        let expected = orders.iter().filter_map(|order| {
            let (model, ready_in) = model(order)?;
            Some(ExpectedModel { backend: order.backend.clone(), model, ready_in_ms: ready_in as u32 })
        });
        expected.collect()
    }

    /// Model servers that are cleared for a model, and the model.
    pub fn reserved(&self) -> impl Iterator<Item = (&str, &str)> {
        self.reserved.iter().map(|(instance, reservation)| (instance.as_str(), reservation.model.as_str()))
    }

    /// How long orders take, by what was seen of them.
    pub fn durations(&self) -> &OrderDurations {
        &self.durations
    }

    /// Orders under way.
    pub fn pending_orders(&self) -> impl Iterator<Item = &Order> {
        self.pending.values()
    }

    /// What training steps do with model servers from now on.
    pub fn set_training_reservations(&mut self, hold: TrainingReservations) {
        self.training = hold;
    }

    /// The part of requests that failed at each model server that fails much. One that fails most of them
    /// counts as no copy of what it holds, and nothing is loaded there.
    pub fn set_failing(&mut self, outliers: &BTreeMap<String, f64>) {
        let failing = outliers.iter().filter(|(_, errors)| **errors >= FAILS_MOST);
        self.failing = failing.map(|(instance, _)| instance.clone()).collect();
    }

    /// Takes a load of a training step out of the service's loads. Returns whether it may begin.
    pub fn try_take_training_load(&mut self, now: Millis, backend: &str, loads_per_s: f64) -> bool {
        let allowance = self.allowance.entry(backend.to_owned()).or_default();
        allowance.fill(now, loads_per_s);
        allowance.take(1.0)
    }

    /// Whether an order of placement is under way at a model server.
    pub fn has_pending_order(&self, instance: &str) -> bool {
        self.pending.contains_key(instance)
    }

    /// An order was seen to be done after so many milliseconds.
    pub fn record_duration(&mut self, now: Millis, order: &Order, took_ms: Millis) {
        self.durations.record(now, order.kind, order.configured_ms, took_ms);
    }

    /// The end of a model server's order is known, or nothing more will be heard of it.
    pub fn clear_order(&mut self, instance: &str) {
        self.pending.remove(instance);
        self.ordered_at.remove(instance);
    }

    /// How long ago the order under way at a model server was given, milliseconds; 0: there is none.
    pub fn elapsed_ms(&self, now: Millis, instance: &str) -> Millis {
        self.ordered_at.get(instance).map_or(0, |given| now.saturating_sub(*given))
    }

    /// The orders to give now; each counts as under way from now on.
    pub fn plan(
        &mut self,
        now: Millis,
        backends: &[Backend],
        servers: &[ModelServer],
        demand: &DemandTable,
        cached_weights: &CachedWeights,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        self.reserved.retain(|_, reservation| now < reservation.until);
        let exceptions = Exceptions { training: self.training.clone(), failing: self.failing.clone() };
        for backend in backends {
            let Some(runtime) = backend.runtime.as_ref().filter(|runtime| !runtime.models.is_empty()) else {
                continue;
            };
            let mut allowance = self.allowance.get(&backend.name).copied().unwrap_or_default();
            allowance.fill(now, runtime.loads_per_s);
            let servers = servers.iter().filter(|server| server.backend == backend.name).collect();
            let mut plan = Plan::new(now, backend, runtime, servers, demand, cached_weights, &exceptions);
            plan.reserved_models(self, &mut allowance);
            plan.add_copies(self, &mut allowance);
            plan.adapters(self);
            self.allowance.insert(backend.name.clone(), allowance);
            orders.append(&mut plan.orders);
        }
        orders
    }
}

impl<'a> Plan<'a> {
    fn key(&self, model: &str, adapter: &str) -> ModelKey {
        ModelKey { backend: self.backend.name.clone(), model: model.to_owned(), adapter: adapter.to_owned() }
    }

    fn keys(&self) -> Vec<ModelKey> {
        self.rates.keys().cloned().collect()
    }

    fn model(&self, name: &str) -> Option<&'a Model> {
        self.models.get(name).copied()
    }

    /// Requests a second asked of a model with all its adapters, and what waits for it.
    fn model_rate(&self, model: &str) -> f64 {
        self.model_rates.get(model).copied().unwrap_or(0.0)
    }

    fn rate(&self, key: &ModelKey) -> f64 {
        self.rates.get(key).copied().unwrap_or(0.0)
    }

    fn holders(&self, model: &str) -> usize {
        self.holders.get(model).copied().unwrap_or(0)
    }

    /// The places of the model servers that hold a model.
    fn places(&self, model: &str) -> impl Iterator<Item = usize> {
        self.holding.get(model).into_iter().flatten().copied()
    }

    fn adapter_holders(&self, model: &str, adapter: &str) -> usize {
        self.adapter_holders.get(&(model, adapter)).copied().unwrap_or(0)
    }

    fn is_free(&self, placer: &Placer, server: &ModelServer) -> bool {
        let changes = self.training.changing_version.contains_key(&server.instance);
        !server.busy && !changes && !placer.pending.contains_key(&server.instance)
    }

    fn is_loading(&self, placer: &Placer, model: &str, adapter: &str) -> bool {
        let ours = |order: &Order| self.servers.iter().any(|server| server.instance == order.instance);
        let same = |order: &Order| {
            order.operation == Operation::Load && order.model == model && order.adapter == adapter
        };
        placer.pending.values().any(|order| same(order) && ours(order))
            || adapter.is_empty() && placer.reserved.values().any(|reservation| reservation.model == model)
    }

    fn occupancy(&self, server: &ModelServer) -> f64 {
        let in_flight = self.in_flight.get(&server.instance).copied().unwrap_or(0);
        f64::from(in_flight) / f64::from(server.capacity.max(1))
    }

    /// Requests a second that a model server serves, if every model's demand is spread evenly over its
    /// copies.
    fn served_by(&self, server: &ModelServer) -> f64 {
        let part = |held: &LoadedModel| self.model_rate(&held.name) / self.holders(&held.name).max(1) as f64;
        server.models.iter().map(part).sum()
    }

    /// Requests a second for adapters of a model server's models, spread evenly over the copies of each.
    fn adapters_asked_at(&self, server: &ModelServer) -> f64 {
        let part = |held: &LoadedModel| {
            let asked = self.adapter_rates.get(&held.name).copied().unwrap_or(0.0);
            asked / self.holders(&held.name).max(1) as f64
        };
        server.models.iter().map(part).sum()
    }

    /// Megabytes that a model server's models and adapters take.
    fn used_mb(&self, server: &ModelServer) -> f64 {
        let size = |held: &LoadedModel| {
            let model = self.model(&held.name);
            model.map_or(0.0, |model| model.weights_mb + held.adapters.len() as f64 * model.adapter_mb)
        };
        server.models.iter().map(size).sum()
    }

    /// What the configuration says of a model's load, milliseconds.
    fn told_load_ms(&self, model: &str) -> Millis {
        self.model(model).map_or(0, |model| (model.load_s * 1_000.0) as Millis)
    }

    fn order(&mut self, placer: &mut Placer, server: &ModelServer, operation: Operation, key: &ModelKey) {
        let load_ms = self.told_load_ms(&key.model);
        let kind = match (operation, key.adapter.is_empty()) {
            (Operation::Unload, _) => OrderKind::Unload,
            (Operation::Load, false) => OrderKind::Adapter,
            (Operation::Load, true) if self.has_cached_weights(server, &key.model) => OrderKind::Reload,
            (Operation::Load, true) => OrderKind::Fetch,
        };
        let order = Order {
            backend: self.backend.name.clone(),
            instance: server.instance.clone(),
            address: server.address.clone(),
            operation,
            model: key.model.clone(),
            adapter: key.adapter.clone(),
            kind,
            configured_ms: load_ms,
            expected_ms: placer.durations.expected(self.now, kind, load_ms),
            report_only: false,
        };
        if operation == Operation::Unload && key.adapter.is_empty() {
            // The next choice has to count without it.
            if let Some(holders) = self.holders.get_mut(key.model.as_str()) {
                *holders = holders.saturating_sub(1);
            }
        }
        placer.pending.insert(server.instance.clone(), order.clone());
        placer.ordered_at.insert(server.instance.clone(), self.now);
        self.orders.push(order);
    }
}

fn loaded<'a>(server: &'a ModelServer, model: &str) -> Option<&'a LoadedModel> {
    server.models.iter().find(|held| held.name == model)
}

fn holds_adapter(server: &ModelServer, model: &str, adapter: &str) -> bool {
    loaded(server, model).is_some_and(|held| held.adapters.iter().any(|name| name == adapter))
}

fn adapter_count(server: &ModelServer) -> usize {
    server.models.iter().map(|held| held.adapters.len()).sum()
}
