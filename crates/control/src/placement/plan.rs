//! One pass of placement for one service: its inputs, with what is looked up often computed once.

use super::demand_rates::DemandRates;
use super::model_replicas::ModelReplicas;
use super::pending_orders::PendingOrders;
use super::training_reservations::TrainingReservations;
use crate::configuration::{Backend, Model, Runtime};
use crate::demand::{DemandTable, ModelKey};
use crate::directory::CachedWeights;
use crate::model_catalog::ModelCatalog;
use crate::order::{Operation, Order, OrderKind};
use pathbank_coordination::types::Millis;
use pathbank_protocol::message::{LoadedModel, ModelServer};
use std::collections::{BTreeMap, BTreeSet};

/// What placement decides on, for all services.
#[derive(Clone, Copy)]
pub(super) struct Inputs<'a> {
    pub(super) now: Millis,
    pub(super) demand: &'a DemandTable,
    pub(super) cached_weights: &'a CachedWeights,
    pub(super) training: &'a TrainingReservations,
    /// Instances that fail most of their requests.
    pub(super) failing: &'a BTreeSet<String>,
}

/// The plan of one service.
pub(super) struct Plan<'a> {
    pub(super) inputs: Inputs<'a>,
    pub(super) backend: &'a Backend,
    /// The service's model servers that take requests.
    pub(super) servers: Vec<&'a ModelServer>,
    pub(super) rates: DemandRates,
    pub(super) replicas: ModelReplicas<'a>,
    /// Slots of a model server, the mean of all.
    pub(super) slots: f64,
    pub(super) catalog: ModelCatalog<'a>,
    /// Requests in flight by instance.
    in_flight: BTreeMap<String, u32>,
    /// The orders to give.
    pub(super) orders: Vec<Order>,
}

impl<'a> Plan<'a> {
    pub(super) fn new(
        inputs: Inputs<'a>,
        backend: &'a Backend,
        runtime: &'a Runtime,
        servers: Vec<&'a ModelServer>,
    ) -> Plan<'a> {
        let slots: f64 = servers.iter().map(|server| f64::from(server.capacity)).sum();
        Plan {
            inputs,
            backend,
            rates: DemandRates::of(inputs.now, inputs.demand, &backend.name),
            replicas: ModelReplicas::count(&servers, inputs.failing, inputs.training),
            slots: (slots / servers.len().max(1) as f64).max(1.0),
            catalog: ModelCatalog::of(runtime),
            in_flight: inputs.demand.in_flight(inputs.now),
            servers,
            orders: Vec::new(),
        }
    }

    pub(super) fn key(&self, model: &str, adapter: &str) -> ModelKey {
        ModelKey { backend: self.backend.name.clone(), model: model.to_owned(), adapter: adapter.to_owned() }
    }

    /// A model of the configuration.
    pub(super) fn model(&self, name: &str) -> Option<&'a Model> {
        self.catalog.model(name)
    }

    /// The duration of a model's load by the configuration, milliseconds.
    pub(super) fn configured_load_ms(&self, model: &str) -> Millis {
        self.model(model).map_or(0, |model| (model.load_s * 1_000.0) as Millis)
    }

    /// Whether the disk of a model server's machine has a model's weights.
    pub(super) fn has_cached_weights(&self, server: &ModelServer, name: &str) -> bool {
        self.inputs.cached_weights.get(&server.address).is_some_and(|models| models.contains(name))
    }

    /// Whether a model server can take an order.
    pub(super) fn is_free(&self, pending: &PendingOrders, server: &ModelServer) -> bool {
        let changes_version = self.inputs.training.changing_version.contains_key(&server.instance);
        !server.busy && !changes_version && !pending.contains(&server.instance)
    }

    /// Whether a model or an adapter of this service is being loaded.
    pub(super) fn is_loading(&self, pending: &PendingOrders, model: &str, adapter: &str) -> bool {
        let is_ours = |order: &Order| self.servers.iter().any(|server| server.instance == order.instance);
        let is_same = |order: &Order| {
            order.operation == Operation::Load && order.model == model && order.adapter == adapter
        };
        pending.orders().any(|order| is_same(order) && is_ours(order))
            || adapter.is_empty() && pending.reservations().any(|(_, reserved)| reserved == model)
    }

    /// The fraction of a model server's slots that are occupied.
    pub(super) fn occupancy(&self, server: &ModelServer) -> f64 {
        let in_flight = self.in_flight.get(&server.instance).copied().unwrap_or(0);
        f64::from(in_flight) / f64::from(server.capacity.max(1))
    }

    /// The rate that a model server serves, if the demand for each model is spread evenly over its replicas.
    pub(super) fn served_rate(&self, server: &ModelServer) -> f64 {
        let share = |loaded: &LoadedModel| {
            self.rates.of_model(&loaded.name) / self.replicas.serving(&loaded.name).max(1) as f64
        };
        server.models.iter().map(share).sum()
    }

    /// The rate of requests with adapters for a model server's models, spread evenly over the replicas of each.
    pub(super) fn adapter_rate(&self, server: &ModelServer) -> f64 {
        let share = |loaded: &LoadedModel| {
            self.rates.with_adapter(&loaded.name) / self.replicas.serving(&loaded.name).max(1) as f64
        };
        server.models.iter().map(share).sum()
    }

    /// A resident model that the configuration does not name and that may be unloaded. Until it is, nothing is
    /// loaded on the server.
    pub(super) fn unconfigured_model<'m>(&self, server: &'m ModelServer) -> Option<&'m str> {
        let unconfigured = self.catalog.contents(&server.models).unconfigured;
        unconfigured.into_iter().find(|model| !self.inputs.training.pins(&server.instance, model))
    }

    /// Gives an order to a model server.
    pub(super) fn give_order(
        &mut self,
        pending: &mut PendingOrders,
        server: &ModelServer,
        operation: Operation,
        key: &ModelKey,
    ) {
        let configured_ms = self.configured_load_ms(&key.model);
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
            configured_ms,
            expected_ms: pending.durations().expected(self.inputs.now, kind, configured_ms),
            report_only: false,
        };
        if operation == Operation::Unload && key.adapter.is_empty() {
            self.replicas.remove_one(&key.model);
        }
        pending.insert(self.inputs.now, order.clone());
        self.orders.push(order);
    }
}
