//! The singleton role of autoscaling: the leader orders the number of model servers from the platform.

use super::edge_reports::EdgeReports;
use super::singleton_roles::PlatformOutcome;
use pathbank_control::autoscaling::{Autoscaler, ScaleOrder};
use pathbank_control::configuration::Backend;
use pathbank_protocol::message::ModelServer;

const AUTOSCALING_INTERVAL_MS: u64 = 500;

/// Autoscaling of the present term.
pub struct AutoscalingScheduler {
    autoscaler: Autoscaler,
    next_at: u64,
}

impl AutoscalingScheduler {
    /// A scheduler without orders; its first pass is due.
    pub fn new() -> AutoscalingScheduler {
        AutoscalingScheduler { autoscaler: Autoscaler::new(), next_at: 0 }
    }

    /// A new term begins without the orders of the last one.
    pub fn reset(&mut self) {
        self.autoscaler = Autoscaler::new();
    }

    /// Whether a pass is due; the next one is an interval later.
    pub fn take_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.next_at;
        if is_due {
            self.next_at = now + AUTOSCALING_INTERVAL_MS;
        }
        is_due
    }

    /// Runs a pass. Returns the orders to send to the platform.
    pub fn plan(
        &mut self,
        now: u64,
        backends: &[Backend],
        servers: &[ModelServer],
        reports: &EdgeReports,
    ) -> Vec<ScaleOrder> {
        let orders = self.autoscaler.plan(now, backends, servers, reports.demand());
        for ScaleOrder { backend, zone, desired_count, .. } in &orders {
            tracing::info!(backend, zone, count = desired_count, "model servers ordered");
        }
        orders
    }

    /// The call of an order has ended.
    pub fn on_ordered(&mut self, now: u64, order: &ScaleOrder, outcome: PlatformOutcome) {
        self.autoscaler.record_answer(now, order, outcome.is_accepted());
    }

    /// What the platform was asked for last, by backend and zone.
    pub fn orders(&self) -> impl Iterator<Item = ScaleOrder> {
        self.autoscaler.orders()
    }
}
