//! How many model servers of a service run in each zone.
//!
//! Target tracking by the utilization of prefill time and of slots. An increase is ordered at once, since
//! model servers take time to start; a decrease only after the load has been low for some time. Model servers
//! that one zone cannot start are ordered in the others.

use crate::configuration::{Autoscaling, Backend};
use crate::demand::DemandTable;
use pathbank_coordination::types::Millis;
use pathbank_protocol::message::ModelServer;
use std::collections::{BTreeMap, BTreeSet};

/// The target utilization of a model server's time by prefill.
const TARGET_PREFILL_UTILIZATION: f64 = 0.27;
/// The target utilization of a model server's slots.
const TARGET_SLOT_UTILIZATION: f64 = 0.45;
/// The fraction of the demand that has to be known before anything is ordered.
const MIN_KNOWN_FRACTION: f64 = 0.3;
/// For how long a new leader orders nothing, milliseconds: edges report the demand of the time before.
const WARMUP_MS: Millis = 2_000;
/// The least increase that is ordered, as a fraction of the running model servers.
const MIN_INCREASE: f64 = 0.08;
/// The fraction of spare capacity that has to be left after a decrease.
const SPARE_FRACTION: f64 = 0.15;
/// For how long the load has to be low before a decrease, milliseconds.
const SCALE_DOWN_DELAY_MS: Millis = 8_000;
/// A zone counts as short if it lacks ordered model servers this long after they should have started,
/// milliseconds.
const START_TIMEOUT_MS: Millis = 4_000;
/// An order without a clear answer is given again after this time, milliseconds.
const RETRY_INTERVAL_MS: Millis = 1_500;

/// An order to the platform: the number of model servers of a service in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub backend: String,
    /// The zone.
    pub zone: String,
    /// Model servers that are to run there.
    pub desired_count: u32,
}

/// Whether the platform has accepted an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// The order was given at this time, and has no clear answer yet.
    Pending(Millis),
    /// The order was accepted at this time.
    Accepted(Millis),
}

#[derive(Clone, Copy, Debug)]
struct ZoneOrder {
    count: u32,
    delivery: Delivery,
}

/// The orders of one service, and what they depend on.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Zones in which model servers of the service ever ran.
    zones: BTreeSet<String>,
    orders: BTreeMap<String, ZoneOrder>,
    low_since: Option<Millis>,
}

/// The leader's autoscaling. A new leader begins with an empty one.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    started_at: Option<Millis>,
    services: BTreeMap<String, ServiceState>,
}

impl Autoscaler {
    /// An autoscaler without orders.
    pub fn new() -> Autoscaler {
        Autoscaler::default()
    }

    /// The orders to give now; each is pending until [`Autoscaler::record_answer`].
    pub fn plan(
        &mut self,
        now: Millis,
        backends: &[Backend],
        servers: &[ModelServer],
        demand: &DemandTable,
    ) -> Vec<ScaleOrder> {
        let started_at = *self.started_at.get_or_insert(now);
        let is_known = now >= started_at + WARMUP_MS && demand.known_fraction(now) >= MIN_KNOWN_FRACTION;
        let mut orders = Vec::new();
        for backend in backends {
            let Some(bounds) = &backend.autoscaling else { continue };
            let service = self.services.entry(backend.name.clone()).or_default();
            let present = service.count_present(backend, servers);
            if is_known {
                let wanted = servers_wanted(now, backend, servers, demand);
                orders.append(&mut service.plan(now, backend, bounds, &present, wanted));
            }
        }
        orders
    }

    /// Records the platform's answer to an order. An order that it did not clearly accept is given again.
    pub fn record_answer(&mut self, now: Millis, order: &ScaleOrder, accepted: bool) {
        let service = self.services.get_mut(&order.backend);
        let Some(known) = service.and_then(|service| service.orders.get_mut(&order.zone)) else { return };
        if known.count == order.desired_count && accepted {
            known.delivery = Delivery::Accepted(now);
        }
    }

    /// The latest order of each service and zone.
    pub fn orders(&self) -> impl Iterator<Item = ScaleOrder> {
        self.services.iter().flat_map(|(backend, service)| {
            service.orders.iter().map(|(zone, order)| ScaleOrder {
                backend: backend.clone(),
                zone: zone.clone(),
                desired_count: order.count,
            })
        })
    }
}

/// Model servers that the demand for a service needs, all zones together.
fn servers_wanted(now: Millis, backend: &Backend, servers: &[ModelServer], demand: &DemandTable) -> f64 {
    let keys = || demand.keys().filter(|key| key.backend == backend.name);
    let prefill_ms_per_s: f64 = keys().map(|key| demand.prefill_ms_per_s(now, key)).sum();
    let slot_time_ms_per_s: f64 = keys().map(|key| demand.slot_time_ms_per_s(now, key)).sum();
    let own = servers.iter().filter(|server| server.backend == backend.name);
    let capacity = own.map(|server| server.capacity).max().unwrap_or(1).max(1);
    let by_prefill = prefill_ms_per_s / 1_000.0 / TARGET_PREFILL_UTILIZATION;
    let by_slots = slot_time_ms_per_s / 1_000.0 / (f64::from(capacity) * TARGET_SLOT_UTILIZATION);
    by_prefill.max(by_slots) / demand.known_fraction(now).max(MIN_KNOWN_FRACTION)
}

/// The model servers of a service in one zone.
struct ZoneStatus<'a> {
    zone: &'a str,
    /// Model servers that take requests there.
    present: u32,
    /// The model servers of the last order, or the present ones if nothing was ordered there.
    ordered: u32,
    /// Whether ordered model servers have not started in time.
    is_short: bool,
}

impl ServiceState {
    /// Counts the model servers by zone, and adds new zones.
    fn count_present(&mut self, backend: &Backend, servers: &[ModelServer]) -> BTreeMap<String, u32> {
        let mut present: BTreeMap<String, u32> = BTreeMap::new();
        for server in servers.iter().filter(|server| server.backend == backend.name) {
            self.zones.insert(server.zone.clone());
            *present.entry(server.zone.clone()).or_default() += 1;
        }
        present
    }

    fn plan(
        &mut self,
        now: Millis,
        backend: &Backend,
        bounds: &Autoscaling,
        present: &BTreeMap<String, u32>,
        wanted: f64,
    ) -> Vec<ScaleOrder> {
        let zones: Vec<ZoneStatus<'_>> =
            self.zones.iter().map(|zone| self.zone_status(now, zone, bounds, present)).collect();
        let running: u32 =
            zones.iter().map(|zone| if zone.is_short { zone.present } else { zone.ordered }).sum();
        let adds = wanted > f64::from(running) * (1.0 + MIN_INCREASE);
        let removes = wanted < f64::from(running) * (1.0 - SPARE_FRACTION);
        let target = if adds { wanted } else { wanted / (1.0 - SPARE_FRACTION) };
        let counts = spread(target, &zones, bounds);
        self.low_since = if removes { self.low_since.or(Some(now)) } else { None };
        let may_remove = self.low_since.is_some_and(|since| now >= since + SCALE_DOWN_DELAY_MS);
        let mut orders = Vec::new();
        for (zone, count) in counts {
            let known = self.orders.get(&zone).copied();
            let before = known.map_or_else(|| present.get(&zone).copied().unwrap_or(0), |order| order.count);
            let changes = adds && count > before || may_remove && count < before;
            let unanswered = known.filter(|order| order.is_unanswered(now)).map(|order| order.count);
            let Some(count) = changes.then_some(count).or(unanswered) else { continue };
            self.orders.insert(zone.clone(), ZoneOrder { count, delivery: Delivery::Pending(now) });
            orders.push(ScaleOrder { backend: backend.name.clone(), zone, desired_count: count });
        }
        if may_remove {
            self.low_since = None;
        }
        orders
    }

    fn zone_status<'a>(
        &self,
        now: Millis,
        zone: &'a str,
        bounds: &Autoscaling,
        present: &BTreeMap<String, u32>,
    ) -> ZoneStatus<'a> {
        let present = present.get(zone).copied().unwrap_or(0);
        let order = self.orders.get(zone);
        let ordered = order.map_or(present, |order| order.count);
        let boot_ms = (bounds.boot_s * 1_000.0) as Millis;
        let timed_out = order.is_none_or(|order| order.has_boot_timed_out(now, boot_ms));
        ZoneStatus { zone, present, ordered, is_short: timed_out && present < ordered }
    }
}

impl ZoneOrder {
    fn is_unanswered(&self, now: Millis) -> bool {
        matches!(self.delivery, Delivery::Pending(at) if now >= at + RETRY_INTERVAL_MS)
    }

    /// Whether the ordered model servers should have started by now.
    fn has_boot_timed_out(&self, now: Millis, boot_ms: Millis) -> bool {
        matches!(self.delivery, Delivery::Accepted(at) if now >= at + boot_ms + START_TIMEOUT_MS)
    }
}

/// Spreads model servers evenly over the zones, within the bounds of each. Model servers that short zones
/// lack are added to the others.
fn spread(wanted: f64, zones: &[ZoneStatus<'_>], bounds: &Autoscaling) -> BTreeMap<String, u32> {
    let (min, max) = (bounds.min_instances, bounds.max_instances.max(bounds.min_instances));
    let (short, able): (Vec<_>, Vec<_>) = zones.iter().partition(|zone| zone.is_short);
    let present: u32 = short.iter().map(|zone| zone.present).sum();
    let missing = (wanted - f64::from(present)).max(0.0);
    let each = (missing / able.len().max(1) as f64).ceil() as u32;
    let even = (wanted / zones.len().max(1) as f64).ceil() as u32;
    let of_able = able.iter().map(|zone| (zone.zone.to_owned(), each.clamp(min, max)));
    let of_short = short.iter().map(|zone| (zone.zone.to_owned(), even.clamp(min, max)));
    of_able.chain(of_short).collect()
}
