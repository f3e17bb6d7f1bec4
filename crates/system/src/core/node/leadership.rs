//! What this core does while it leads: placement and orders, singleton roles, admission of prompts.

use super::Node;
use crate::clock;
use crate::core::event::Event;
use crate::core::lease::LeaseGuard;
use crate::core::orders::{self, OrderDrop, OrderOutcome, OrderTask};
use crate::core::replication::Replication;
use crate::core::singleton_roles;
use crate::core::training::scheduler::TrainingScheduler;
use crate::core::usage::WindowUsage;
use crate::net::socket::MAX_DELIVERY;
use crate::settings::{Bounds, Settings};
use crate::startup::Milestone;
use pathbank_control::admission::AdmissionController;
use pathbank_control::configuration::Runtime;
use pathbank_control::order::{Operation, Order};
use pathbank_control::state::Command;
use pathbank_coordination::fencing::{Leadership, Permit, Waits};
use pathbank_protocol::codec;
use pathbank_protocol::message::Frame;
use std::net::SocketAddr;
use std::sync::Arc;

/// The leadership of this core, once it has applied all that earlier leaders committed.
fn leadership<'a>(replication: &Replication, settings: &'a Settings) -> Option<Leadership<'a>> {
    let replica = replication.replica();
    replica.is_established_leader().then(|| Leadership {
        name: &settings.node_name,
        term: replica.term(),
        lease_until: replica.lease_until(),
        follows_settled_leader: replica.follows_settled_leader(),
    })
}

/// How long a new leader waits before it acts on the outside.
fn waits(bounds: &Bounds) -> Waits {
    Waits { returning_leader_ms: bounds.lease_ms, max_delivery_ms: MAX_DELIVERY.as_millis() as u64 }
}

impl Node {
    pub(super) fn count_slots(&mut self, now: u64) {
        if self.is_established_leader() {
            self.admission.update_slots(&self.servers.ready(), &self.reports.demand().in_flight(now));
        }
    }

    /// As the leader, publishes requests in flight by model server, over all edges. Returns the message's
    /// bytes.
    pub(super) fn publish_loads(&mut self, now: u64) -> u64 {
        if !self.is_established_leader() {
            return 0;
        }
        let loads = self.reports.joint_loads(now, &self.servers.ready());
        if loads.is_empty() {
            return 0;
        }
        let frame = Frame::Loads(loads);
        self.links.publish_to_subscribers(&frame);
        self.links.send_to_cores(&frame);
        codec::encode(&frame).len() as u64
    }

    // ---- leadership ----

    /// The right to act on the outside now, if this core has it.
    pub(super) fn permit(&mut self, now: u64) -> Option<Permit> {
        let leadership = leadership(&self.replication, &self.settings)?;
        let permit = self.lease.permit(&leadership, &waits(&self.settings.bounds), now)?;
        if self.replication.replica().is_handing_over() {
            return None;
        }
        self.enter_term(now);
        self.lease.extend(permit.valid_until);
        Some(permit)
    }

    /// Whether this core leads, and nothing that it or an earlier leader has sent outside the group may still arrive.
    pub(super) fn are_calls_settled(&self, now: u64) -> bool {
        let leadership = leadership(&self.replication, &self.settings);
        let waits = waits(&self.settings.bounds);
        leadership.is_some_and(|leadership| self.lease.are_calls_settled(&leadership, &waits, now))
    }

    /// Begins the wait of a new leader, and completes a hand-over once no call may arrive any more.
    pub(super) fn settle_calls(&mut self, now: u64) {
        if self.replication.replica().is_handing_over() {
            self.lease.revoke();
        } else {
            let _ = self.permit(now);
        }
        let effects = self.replication.report_calls(now, self.are_calls_settled(now));
        self.carry_out(now, effects);
    }

    /// Lets another voter lead at once, if this core leads.
    pub(super) fn transfer_leadership(&mut self, now: u64) {
        let effects = self.replication.transfer_leadership(now, self.are_calls_settled(now));
        self.carry_out(now, effects);
    }

    pub(super) fn guard(&self, permit: Permit) -> LeaseGuard {
        self.lease.guard(&self.settings.node_name, permit)
    }

    /// Work of a new term begins without the state of an earlier one.
    pub(super) fn enter_term(&mut self, now: u64) {
        if self.lease.enter_term(self.replication.replica().term()) {
            self.usage.reset(now);
            self.placement.reset();
            self.autoscaling.reset();
            self.admission = AdmissionController::default();
            self.training = TrainingScheduler::default();
        }
    }

    pub(super) fn run_leader_work(&mut self, now: u64) {
        if self.placement.is_due(now) {
            let started_at = clock::now();
            self.run_placement_pass(now);
            self.placement.schedule_next(now, clock::now().saturating_sub(started_at));
        }
        if self.usage.take_due(now) {
            self.report_usage(now);
        }
        if self.autoscaling.take_due(now) {
            self.order_servers(now);
        }
    }

    // ---- placement ----

    pub(super) fn run_placement_pass(&mut self, now: u64) {
        let Some(permit) = self.permit(now) else { return };
        let Some(backends) = self.machine.state().backends() else { return };
        let plan = self.placement.plan(now, backends, self.servers.directory(), &self.reports);
        if !plan.expected.is_empty() {
            let frame = Frame::ExpectedModels(plan.expected);
            self.links.publish_to_subscribers(&frame);
            self.links.send_to_cores(&frame);
        }
        let guard = self.guard(permit);
        for order in plan.orders {
            self.send_order(order, guard.clone());
        }
    }

    pub(super) fn send_order(&mut self, order: Order, guard: LeaseGuard) {
        let Some(runtime) = self.runtime_of(&order.instance) else {
            return self.placement.cancel(&order, &OrderDrop::NoService);
        };
        if order.operation == Operation::Unload {
            self.servers.withhold(&self.links, &order.instance, &order.model, &order.adapter);
        }
        self.startup.reach(Milestone::Ordered);
        let known = self.placement.take_contents(&order.instance);
        let version = self.servers.directory().newest_version(&order.model);
        self.spawn_order(OrderTask { order, runtime, guard, known, version }, Event::OrderFinished);
    }

    /// Executes an order beside the event loop; its outcome comes back as an event.
    pub(super) fn spawn_order(
        &self,
        task: OrderTask,
        event: impl FnOnce(Box<OrderOutcome>) -> Event + Send + 'static,
    ) {
        let (pool, events) = (self.pool.clone(), self.events.clone());
        tokio::spawn(async move {
            let outcome = orders::execute(pool, task).await;
            let _ = events.send(event(Box::new(outcome)));
        });
    }

    /// The capacity of a model server, by the configuration of its backend.
    pub(super) fn runtime_of(&self, instance: &str) -> Option<Arc<Runtime>> {
        let backend = self.servers.directory().server(instance)?.backend;
        let known = self.machine.state().backends()?.iter().find(|known| known.name == backend)?;
        known.runtime.clone().map(Arc::new)
    }

    pub(super) fn on_order_finished(&mut self, outcome: &OrderOutcome) {
        let now = clock::now();
        self.placement.on_order_finished(now, outcome);
        self.on_server_released(now, outcome);
    }

    /// A model server may be used and ordered again.
    pub(super) fn on_server_released(&mut self, now: u64, outcome: &OrderOutcome) {
        let instance = &outcome.order.instance;
        self.servers.on_order_finished(now, &self.links, instance, outcome.report.as_ref());
        self.placement.request_pass(now);
    }

    // ---- singleton roles ----

    /// Where the platform takes the calls of a singleton role, if this deployment has that role.
    pub(super) fn role_address(&self, name: &str) -> Option<SocketAddr> {
        let has_role = self.settings.cloud_api.duties.iter().any(|role| role == name);
        self.settings.cloud_api.address.filter(|_| has_role)
    }

    pub(super) fn report_usage(&mut self, now: u64) {
        let Some(platform) = self.role_address("usage_reporting") else { return };
        let Some(permit) = self.permit(now) else { return };
        let wall_clock_ms = self.wall_clock.now(now, clock::wall_clock());
        let edges = self.links.edges().map(|(_, name)| name);
        let last_sealed = self.machine.state().last_sealed();
        let bounds = &self.settings.bounds;
        if let Some(seal) = self.usage.next_seal(now, wall_clock_ms, bounds, edges, last_sealed) {
            // Sealed before it is reported: every leader reports the same counts of a window.
            let WindowUsage { window, counts } = seal;
            self.propose(now, &Command::SealUsage { window, counts });
        }
        for WindowUsage { window, counts } in self.usage.take_unreported(self.machine.state()) {
            let (pool, events, guard) = (self.pool.clone(), self.events.clone(), self.guard(permit));
            tokio::spawn(async move {
                let outcome = singleton_roles::report_usage(pool, platform, window, counts, guard).await;
                let _ = events.send(Event::UsageReported { window, outcome });
            });
        }
    }

    pub(super) fn order_servers(&mut self, now: u64) {
        let Some(platform) = self.role_address("autoscale") else { return };
        let Some(permit) = self.permit(now) else { return };
        let Some(backends) = self.machine.state().backends() else { return };
        for order in self.autoscaling.plan(now, backends, &self.servers.ready(), &self.reports) {
            let (pool, events, guard) = (self.pool.clone(), self.events.clone(), self.guard(permit));
            tokio::spawn(async move {
                let outcome = singleton_roles::order_servers(pool, platform, &order, guard).await;
                let _ = events.send(Event::ServersOrdered { order, outcome });
            });
        }
    }
}
