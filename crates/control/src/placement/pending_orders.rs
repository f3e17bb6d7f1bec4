//! Orders that were given and have not ended, and the loads that follow an unload.

use crate::order::{Operation, Order, OrderKind};
use crate::order_durations::OrderDurations;
use pathbank_coordination::types::Millis;
use pathbank_protocol::message::ExpectedModel;
use std::collections::BTreeMap;

/// For how long a model server is reserved for the model for which memory was freed.
const RESERVATION_TTL_MS: Millis = 6_000;

/// A reservation of a model server on which memory is being freed for a model. No other model is loaded there
/// until this one is loaded or the reservation expires.
#[derive(Clone, Debug)]
struct Reservation {
    model: String,
    /// The duration of its load by the configuration, milliseconds.
    configured_load_ms: Millis,
    expires_at: Millis,
}

#[derive(Clone, Debug)]
struct PendingOrder {
    order: Order,
    given_at: Millis,
}

/// Pending orders and reservations, of which a model server has one each at most.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingOrders {
    orders: BTreeMap<String, PendingOrder>,
    reservations: BTreeMap<String, Reservation>,
    durations: OrderDurations,
}

impl PendingOrders {
    /// How long orders take.
    pub(super) fn durations(&self) -> &OrderDurations {
        &self.durations
    }

    /// Adds the duration of an order that was done.
    pub(super) fn record_duration(&mut self, now: Millis, order: &Order, took_ms: Millis) {
        self.durations.record(now, order.kind, order.configured_ms, took_ms);
    }

    /// All pending orders.
    pub(super) fn orders(&self) -> impl Iterator<Item = &Order> {
        self.orders.values().map(|pending| &pending.order)
    }

    /// Whether a model server has a pending order.
    pub(super) fn contains(&self, instance: &str) -> bool {
        self.orders.contains_key(instance)
    }

    /// Adds an order that is given now.
    pub(super) fn insert(&mut self, now: Millis, order: Order) {
        self.orders.insert(order.instance.clone(), PendingOrder { order, given_at: now });
    }

    /// Removes the order of a model server.
    pub(super) fn remove(&mut self, instance: &str) {
        self.orders.remove(instance);
    }

    /// How long ago the pending order of a model server was given, milliseconds; 0: it has none.
    pub(super) fn elapsed_ms(&self, now: Millis, instance: &str) -> Millis {
        self.orders.get(instance).map_or(0, |pending| now.saturating_sub(pending.given_at))
    }

    /// The reserved model servers by instance, and the models for which they are reserved.
    pub(super) fn reservations(&self) -> impl Iterator<Item = (&str, &str)> {
        self.reservations
            .iter()
            .map(|(instance, reservation)| (instance.as_str(), reservation.model.as_str()))
    }

    /// The model for which a model server is reserved.
    pub(super) fn reserved_model(&self, instance: &str) -> Option<&str> {
        self.reservations.get(instance).map(|reservation| reservation.model.as_str())
    }

    /// Reserves a model server for a model.
    pub(super) fn reserve(&mut self, now: Millis, instance: &str, model: &str, configured_load_ms: Millis) {
        let expires_at = now + RESERVATION_TTL_MS;
        let reservation = Reservation { model: model.to_owned(), configured_load_ms, expires_at };
        self.reservations.insert(instance.to_owned(), reservation);
    }

    /// Ends the reservation of a model server.
    pub(super) fn release(&mut self, instance: &str) {
        self.reservations.remove(instance);
    }

    /// Removes reservations that have expired.
    pub(super) fn expire_reservations(&mut self, now: Millis) {
        self.reservations.retain(|_, reservation| now < reservation.expires_at);
    }

    /// Model servers that load a model, or are reserved for it.
    pub(super) fn loading(&self, model: &str) -> usize {
        let loads_model = |order: &&Order| {
            order.operation == Operation::Load && order.model == model && order.adapter.is_empty()
        };
        let reserved = self.reservations.values().filter(|reservation| reservation.model == model).count();
        self.orders().filter(loads_model).count() + reserved
    }

    /// The models that new orders bring to model servers, and when.
    pub(super) fn expected_models(&self, now: Millis, orders: &[Order]) -> Vec<ExpectedModel> {
        let model = |order: &Order| match (order.kind, self.reservations.get(&order.instance)) {
            (OrderKind::Fetch | OrderKind::Reload, _) => Some((order.model.clone(), order.expected_ms)),
            (OrderKind::Unload, Some(reservation)) => {
                let load_ms = self.durations.expected(now, OrderKind::Fetch, reservation.configured_load_ms);
                Some((reservation.model.clone(), order.expected_ms + load_ms))
            }
            (OrderKind::Unload | OrderKind::Adapter, _) => None,
        };
        let expected = orders.iter().filter_map(|order| {
            let (model, ready_in) = model(order)?;
            Some(ExpectedModel { backend: order.backend.clone(), model, ready_in_ms: ready_in as u32 })
        });
        expected.collect()
    }
}
