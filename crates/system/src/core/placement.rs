//! When the leader runs a placement pass, and what its orders have made of model servers.

use super::edge_reports::EdgeReports;
use super::orders::{DroppedOrders, OrderDrop, OrderOutcome};
use pathbank_control::configuration::Backend;
use pathbank_control::directory::Directory;
use pathbank_control::order::Order;
use pathbank_control::order_progress::ModelServerContents;
use pathbank_control::placement::{Placer, TrainingReservations};
use pathbank_protocol::message::{ExpectedModel, ModelServer};
use std::collections::BTreeMap;

/// Between passes without a request for one.
const PLACEMENT_INTERVAL_MS: u64 = 500;
const MIN_PLACEMENT_INTERVAL_MS: u64 = 20;
/// After a pass the event loop is left to other work for so many times its duration.
const PLACEMENT_IDLE_FACTOR: u64 = 10;

/// What a placement pass decided.
pub struct PlacementPlan {
    /// Orders to send.
    pub orders: Vec<Order>,
    /// Models that are about to be resident.
    pub expected: Vec<ExpectedModel>,
}

/// Placement of the present term, and its passes.
pub struct PlacementScheduler {
    placer: Placer,
    /// Contents of model servers after the last order there.
    contents: BTreeMap<String, ModelServerContents>,
    /// Orders that were not sent, in all terms.
    dropped: DroppedOrders,
    next_pass_at: u64,
    /// No pass before this, whoever requests one.
    not_before: u64,
}

impl PlacementScheduler {
    /// A scheduler without orders; its first pass is due.
    pub fn new() -> PlacementScheduler {
        PlacementScheduler {
            placer: Placer::new(),
            contents: BTreeMap::new(),
            dropped: DroppedOrders::default(),
            next_pass_at: 0,
            not_before: 0,
        }
    }

    /// A new term begins without the orders of the last one.
    pub fn reset(&mut self) {
        self.placer = Placer::new();
        self.contents.clear();
    }

    /// Orders in progress and reservations.
    pub fn placer(&self) -> &Placer {
        &self.placer
    }

    // ---- passes ----

    /// Whether a pass is due.
    pub fn is_due(&self, now: u64) -> bool {
        now >= self.next_pass_at
    }

    /// Demand or model servers have changed: the next pass runs as soon as it may.
    pub fn request_pass(&mut self, now: u64) {
        let earliest = self.not_before.max(now);
        self.next_pass_at = self.next_pass_at.min(earliest);
    }

    /// A pass was run at `now`.
    pub fn schedule_next(&mut self, now: u64, took_ms: u64) {
        let idle_ms =
            (PLACEMENT_IDLE_FACTOR * took_ms).clamp(MIN_PLACEMENT_INTERVAL_MS, PLACEMENT_INTERVAL_MS);
        self.not_before = now + idle_ms;
        self.next_pass_at = now + PLACEMENT_INTERVAL_MS;
    }

    /// Runs a pass.
    pub fn plan(
        &mut self,
        now: u64,
        backends: &[Backend],
        directory: &Directory,
        reports: &EdgeReports,
    ) -> PlacementPlan {
        let servers: Vec<ModelServer> = directory.ready().collect();
        self.placer.set_failing(&reports.outliers(now, &servers));
        let orders = self.placer.plan(now, backends, &servers, reports.demand(), directory.cached_weights());
        let expected = self.placer.expected(now, &orders);
        PlacementPlan { orders, expected }
    }

    // ---- orders ----

    /// An order of a plan was not sent.
    pub fn cancel(&mut self, order: &Order, cause: &OrderDrop) {
        self.record_dropped(order, cause);
        self.placer.clear_order(&order.instance);
    }

    /// Counts an order that was not sent, and tells its cause.
    pub fn record_dropped(&mut self, order: &Order, cause: &OrderDrop) {
        let Order { instance, operation, model, adapter, .. } = order;
        tracing::warn!(instance, ?operation, model, adapter, %cause, "order not sent");
        self.dropped.record(cause);
    }

    /// Orders that were not sent, by cause.
    pub fn dropped(&self) -> &DroppedOrders {
        &self.dropped
    }

    /// The known contents of a model server that gets an order; unknown until the order has ended.
    pub fn take_contents(&mut self, instance: &str) -> Option<ModelServerContents> {
        self.contents.remove(instance)
    }

    /// An order has ended.
    pub fn on_order_finished(&mut self, now: u64, outcome: &OrderOutcome) {
        let OrderOutcome { order, report, took_ms, dropped } = outcome;
        match dropped {
            Some(cause) => self.record_dropped(order, cause),
            None => self.log_order(now, outcome),
        }
        if let Some(took_ms) = took_ms {
            self.placer.record_duration(now, order, *took_ms);
        }
        self.placer.clear_order(&order.instance);
        if let Some(report) = report {
            self.contents.insert(order.instance.clone(), report.contents());
        }
    }

    fn log_order(&self, now: u64, outcome: &OrderOutcome) {
        let ended_after_ms = self.placer.elapsed_ms(now, &outcome.order.instance);
        let Order { instance, operation, model, adapter, expected_ms, .. } = &outcome.order;
        tracing::debug!(
            instance,
            ?operation,
            model,
            adapter,
            expected_ms,
            took_ms = ?outcome.took_ms,
            ended_after_ms,
            reported = outcome.report.is_some(),
            "order ended"
        );
    }

    // ---- training steps ----

    /// Model servers and models that placement leaves to training steps.
    pub fn set_training_reservations(&mut self, reservations: TrainingReservations) {
        self.placer.set_training_reservations(reservations);
    }

    /// Whether a worker may change its version now: no order is in progress there, and the weight store's rate permits
    /// another load. Takes that load from the rate.
    pub fn take_training_load(&mut self, now: u64, worker: &str, backend: &str, loads_per_s: f64) -> bool {
        !self.placer.has_pending_order(worker)
            && self.placer.try_take_training_load(now, backend, loads_per_s)
    }
}
