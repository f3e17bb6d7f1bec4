//! What only the leader does: orders to model servers and calls to the platform, each within its lease.

use super::Node;
use crate::clock;
use crate::core::event::Event;
use crate::core::lease::{LeaseExpiry, LeaseGuard};
use crate::core::model_server_json::ReportJson;
use crate::core::orders::{self, OrderOutcome, OrderTask};
use crate::core::singleton_roles::{self, PlatformOutcome};
use crate::core::training::lead::Training;
use crate::startup::Milestone;
use pathbank_control::admission::AdmissionController;
use pathbank_control::autoscaling::{Autoscaler, ScaleOrder};
use pathbank_control::configuration::Runtime;
use pathbank_control::order::{Operation, Order};
use pathbank_control::order_progress::ModelServerContents;
use pathbank_control::placement::Placer;
use pathbank_control::state::Command;
use pathbank_control::usage::{LEADER_WARMUP_MS, SealRule};
use pathbank_coordination::fencing::{FencingGuard, Permit};
use pathbank_coordination::types::Term;
use pathbank_protocol::message::{Frame, ModelServer};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// How often placement is looked at without news, milliseconds.
const PLACEMENT_INTERVAL_MS: u64 = 500;
/// With news it is looked at again after this, milliseconds.
const MIN_PLACEMENT_INTERVAL_MS: u64 = 20;
/// And after so many times what the last look took: links, votes and callers wait meanwhile.
const PLACEMENT_IDLE_FACTOR: u64 = 10;
/// How often usage is looked at, milliseconds.
const USAGE_INTERVAL_MS: u64 = 200;
/// Usage is sealed so long before it is due, milliseconds: the report has to reach the platform.
const SEAL_MARGIN_MS: u64 = 2_000;
/// How often the number of model servers is looked at, milliseconds.
const AUTOSCALING_INTERVAL_MS: u64 = 500;
/// Calls are not begun so shortly before the lease ends, milliseconds.
const LEASE_MARGIN_MS: u64 = 100;

/// The state that one leadership needs.
pub struct Leadership {
    pub fence: FencingGuard,
    pub placer: Placer,
    pub autoscaler: Autoscaler,
    pub admission: AdmissionController,
    pub training: Training,
    /// The term that `placer`, `autoscaler`, `admission`, `training`, `reported`, `contents` and `told_by`
    /// belong to, and when it was seen first.
    term: Term,
    term_seen: u64,
    /// What model servers hold by the ends of this leader's orders there.
    pub contents: BTreeMap<String, ModelServerContents>,
    /// Edges that have told this leader their counts.
    told_by: BTreeSet<String>,
    /// Windows that are reported, or being reported.
    pub reported: BTreeSet<u64>,
    /// The window whose sealing was proposed last.
    sealing: u64,
    /// Set for all that act in this leadership's name once it is over.
    revoked: Arc<AtomicBool>,
    /// Until when they may act, extended with this leadership's lease.
    lease: Arc<LeaseExpiry>,
    place_at: u64,
    /// With news it is not looked at before this.
    place_not_before: u64,
    usage_at: u64,
    scale_at: u64,
}

impl Leadership {
    pub fn new(fence: FencingGuard) -> Leadership {
        Leadership {
            fence,
            placer: Placer::new(),
            autoscaler: Autoscaler::new(),
            admission: AdmissionController::default(),
            training: Training::default(),
            term: 0,
            term_seen: 0,
            contents: BTreeMap::new(),
            told_by: BTreeSet::new(),
            reported: BTreeSet::new(),
            sealing: 0,
            revoked: Arc::default(),
            lease: Arc::default(),
            place_at: 0,
            place_not_before: 0,
            usage_at: 0,
            scale_at: 0,
        }
    }

    /// This machine leads no more: what still acts in its name ends.
    pub fn revoke(&mut self) {
        std::mem::take(&mut self.revoked).store(true, Ordering::Release);
        self.lease = Arc::default();
    }

    /// A window's usage was taken by the platform, or has to be reported again.
    pub fn usage_reported(&mut self, window: u64, outcome: PlatformOutcome) {
        if !outcome.is_accepted() {
            self.reported.remove(&window);
        }
    }

    /// The platform took an order of model servers, or gave no clear answer.
    pub fn servers_ordered(&mut self, now: u64, order: &ScaleOrder, outcome: PlatformOutcome) {
        self.autoscaler.taken(now, order, outcome.is_accepted());
    }

    /// An edge told its counts to the leader of this term.
    pub fn told(&mut self, now: u64, term: Term, edge: &str) {
        self.enter_term(now, term);
        self.told_by.insert(edge.to_owned());
    }

    /// Whether each of these edges has told the leader of now, which leads for long enough to have heard of
    /// all.
    fn all_told<'a>(&self, now: u64, mut edges: impl Iterator<Item = &'a str>) -> bool {
        now >= self.term_seen + LEADER_WARMUP_MS && edges.all(|edge| self.told_by.contains(edge))
    }

    /// A new term begins without what the one before knew.
    pub(super) fn enter_term(&mut self, now: u64, term: Term) {
        if self.term != term {
            self.revoke();
            (self.term, self.term_seen, self.sealing) = (term, now, 0);
            self.told_by.clear();
            self.contents.clear();
            self.placer = Placer::new();
            self.autoscaler = Autoscaler::new();
            self.admission = AdmissionController::default();
            self.training = Training::default();
            self.reported.clear();
        }
    }
}

impl Node {
    /// The right to act now, if this head has it.
    pub(super) fn permit(&mut self, now: u64) -> Option<Permit> {
        let replica = &self.replication.replica;
        if !replica.is_established_leader() {
            return None;
        }
        let (term, lease) = (replica.term(), replica.lease_until().saturating_sub(LEASE_MARGIN_MS));
        let turn_wait = self.settings.bounds.lease_ms;
        let permit = self.leadership.fence.permit(&self.settings.node_name, term, lease, turn_wait, now)?;
        self.leadership.enter_term(now, term);
        self.leadership.lease.extend(permit.until);
        Some(permit)
    }

    pub(super) fn guard(&self, permit: Permit) -> LeaseGuard {
        LeaseGuard {
            lease_holder: self.settings.node_name.clone(),
            fencing_token: permit.fencing_token,
            lease: self.leadership.lease.clone(),
            revoked: self.leadership.revoked.clone(),
        }
    }

    /// News of demand or of model servers came: placement is looked at soon.
    pub(super) fn place_soon(&mut self, now: u64) {
        let soon = self.leadership.place_not_before.max(now);
        self.leadership.place_at = self.leadership.place_at.min(soon);
    }

    pub(super) fn lead(&mut self, now: u64) {
        if now >= self.leadership.place_at {
            let begun = clock::now();
            self.place(now);
            let took = clock::now().saturating_sub(begun);
            self.leadership.place_not_before =
                now + (PLACEMENT_IDLE_FACTOR * took).clamp(MIN_PLACEMENT_INTERVAL_MS, PLACEMENT_INTERVAL_MS);
            self.leadership.place_at = now + PLACEMENT_INTERVAL_MS;
        }
        if now >= self.leadership.usage_at {
            self.leadership.usage_at = now + USAGE_INTERVAL_MS;
            self.report_usage(now);
        }
        if now >= self.leadership.scale_at {
            self.leadership.scale_at = now + AUTOSCALING_INTERVAL_MS;
            self.order_servers(now);
        }
    }

    // ---- placement ----

    fn place(&mut self, now: u64) {
        let Some(permit) = self.permit(now) else { return };
        let Some(backends) = self.state.backends() else { return };
        let servers: Vec<ModelServer> = self.directory.ready().collect();
        self.leadership.placer.set_failing(&self.outliers.outliers(now, &servers));
        let orders = self.leadership.placer.plan(
            now,
            backends,
            &servers,
            &self.demand,
            self.directory.cached_weights(),
        );
        let expected = self.leadership.placer.expected(now, &orders);
        if !expected.is_empty() {
            let frame = Frame::ExpectedModels(expected);
            self.publish_to_subscribers(&frame);
            self.mesh.send_to_all(&frame);
        }
        let guard = self.guard(permit);
        for order in orders {
            self.give(order, guard.clone());
        }
    }

    fn give(&mut self, order: Order, guard: LeaseGuard) {
        if order.operation == Operation::Unload {
            self.directory.withhold(&order.instance, &order.model, &order.adapter);
            self.publish_order_update(&order.instance, false);
        }
        let Some(runtime) = self.runtime_of(&order.instance) else {
            return self.leadership.placer.clear_order(&order.instance);
        };
        self.startup.reach(Milestone::Ordered);
        let (pool, events) = (self.pool.clone(), self.events.clone());
        let known = self.leadership.contents.remove(&order.instance);
        let version = self.directory.newest_version(&order.model);
        let task = OrderTask { order, runtime, guard, known, version };
        tokio::spawn(async move {
            let end = orders::execute(pool, task).await;
            let _ = events.send(Event::OrderFinished(Box::new(end)));
        });
    }

    /// What the service of a model server can hold, by the newest configuration.
    pub(super) fn runtime_of(&self, instance: &str) -> Option<Arc<Runtime>> {
        let backend = self.directory.server(instance)?.backend;
        let known = self.state.backends()?.iter().find(|known| known.name == backend)?;
        known.runtime.clone().map(Arc::new)
    }

    pub(super) fn on_order_finished(&mut self, end: OrderOutcome) {
        let now = clock::now();
        let OrderOutcome { order, report, took_ms } = end;
        let ended_after_ms = self.leadership.placer.elapsed_ms(now, &order.instance);
        let Order { instance, operation, model, adapter, expected_ms, .. } = &order;
        let reported = report.is_some();
        tracing::debug!(
            instance,
            ?operation,
            model,
            adapter,
            expected_ms,
            ?took_ms,
            ended_after_ms,
            reported,
            "order ended"
        );
        if let Some(took_ms) = took_ms {
            self.leadership.placer.record_duration(now, &order, took_ms);
        }
        self.leadership.placer.clear_order(&order.instance);
        if let Some(report) = &report {
            self.leadership.contents.insert(order.instance.clone(), report.contents());
        }
        self.order_is_known(&order.instance, report);
    }

    /// The end of a model server's order is known, and what it holds now, if it told.
    pub(super) fn order_is_known(&mut self, instance: &str, report: Option<ReportJson>) {
        self.directory.release(instance);
        let reported = report.is_some();
        if let Some(report) = report {
            self.directory.observe_report(clock::now(), instance, report.models().collect(), report.busy);
        }
        self.publish_order_update(instance, reported);
        self.place_soon(clock::now());
    }

    // ---- usage ----

    fn report_usage(&mut self, now: u64) {
        let Some(platform) = self.role_address("usage_reporting") else { return };
        let Some(permit) = self.permit(now) else { return };
        let wall_clock = self.wall_clock.now(now, crate::clock::wall_clock());
        let edges = self.edges().map(|edge| edge.hello.name.as_str());
        let rule = SealRule {
            window_ms: self.settings.bounds.report_window_ms,
            all_reported: self.leadership.all_told(now, edges),
            max_delay_ms: self.settings.bounds.usage_delay_ms.saturating_sub(SEAL_MARGIN_MS),
        };
        let last_sealed = self.state.last_sealed().max(self.leadership.sealing);
        if let Some((window, counts)) = self.usage.next_to_seal(wall_clock, rule, last_sealed) {
            // Sealed before it is told: whoever reports it, now or after a change of leaders, reports the
            // same.
            self.leadership.sealing = window;
            self.propose(now, &Command::SealUsage { window, counts });
        }
        let newest = self.state.sealed().iter().rev().take(2);
        let open: Vec<_> = newest.filter(|(window, _)| !self.leadership.reported.contains(*window)).collect();
        let open: Vec<_> = open.into_iter().map(|(window, counts)| (*window, counts.clone())).collect();
        for (window, counts) in open {
            self.leadership.reported.insert(window);
            let (pool, events, guard) = (self.pool.clone(), self.events.clone(), self.guard(permit));
            tokio::spawn(async move {
                let outcome = singleton_roles::report_usage(pool, platform, window, counts, guard).await;
                let _ = events.send(Event::UsageReported { window, outcome });
            });
        }
    }

    // ---- model servers ordered ----

    fn order_servers(&mut self, now: u64) {
        let Some(platform) = self.role_address("autoscale") else { return };
        let Some(permit) = self.permit(now) else { return };
        let Some(backends) = self.state.backends() else { return };
        let servers: Vec<ModelServer> = self.directory.ready().collect();
        let orders = self.leadership.autoscaler.plan(now, backends, &servers, &self.demand);
        for order in orders {
            tracing::info!(
                backend = order.backend,
                zone = order.zone,
                count = order.desired_count,
                "model servers ordered"
            );
            let (pool, events, guard) = (self.pool.clone(), self.events.clone(), self.guard(permit));
            tokio::spawn(async move {
                let outcome = singleton_roles::order_servers(pool, platform, &order, guard).await;
                let _ = events.send(Event::ServersOrdered { order, outcome });
            });
        }
    }

    /// Where the platform takes the calls of a duty, if this deployment has that duty.
    fn role_address(&self, name: &str) -> Option<SocketAddr> {
        let has_duty = self.settings.cloud_api.duties.iter().any(|duty| duty == name);
        self.settings.cloud_api.address.filter(|_| has_duty)
    }
}
