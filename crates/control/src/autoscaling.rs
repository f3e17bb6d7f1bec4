//! How many model servers of a service run in each zone.
//!
//! Target tracking: what model servers take to read the prompts that clients send, and the slots that answers
//! take, over what one model server bears. More model servers are ordered at once, for they take a while to
//! start; fewer only after the load has been low for some time. A zone that does not get what was ordered
//! there is made up for by the others.

use crate::configuration::{Autoscaling, Backend};
use crate::demand::DemandTable;
use crate::directory::Millis;
use pathbank_protocol::message::ModelServer;
use std::collections::{BTreeMap, BTreeSet};

/// A model server answers well while it reads prompts for this part of its time,
const READING_PART: f64 = 0.27;
/// and while so much of its slots is taken.
const SLOTS_PART: f64 = 0.45;
/// Demand counts once so much of it is known.
const LEAST_KNOWN: f64 = 0.3;
/// The demand of a leader that has just begun counts after this, milliseconds: edges tell it what they
/// remember.
const OBSERVE_FIRST: Millis = 2_000;
/// More model servers are ordered where at least this part more is wanted.
const WORTH_ADDING: f64 = 0.08;
/// Fewer model servers are ordered where the load would leave this part of those that are left idle.
const SPARE_AFTER_REMOVAL: f64 = 0.15;
/// The load has to have been low for so long before model servers are taken away, milliseconds.
const LOW_FOR: Millis = 8_000;
/// A zone that lacks ordered model servers so long after they should have started does not get them,
/// milliseconds.
const OVERDUE: Millis = 4_000;
/// An order without a clear answer is given again after this, milliseconds.
const ORDER_AGAIN: Millis = 1_500;

/// An order to the platform: so many model servers of a service are to run in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub backend: String,
    /// The zone.
    pub zone: String,
    /// Model servers that are to run there.
    pub desired_count: u32,
}

/// Whether the platform has taken a zone's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    /// It was given at this time, and no clear answer came yet.
    Pending(Millis),
    /// The platform took it at this time.
    Taken(Millis),
}

#[derive(Clone, Copy, Debug)]
struct ZoneOrder {
    count: u32,
    delivery: Delivery,
}

/// What is known of one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Where model servers of the service ever ran.
    zones: BTreeSet<String>,
    orders: BTreeMap<String, ZoneOrder>,
    low_since: Option<Millis>,
}

/// Orders given, and since when the load has been low. A new leader begins without any.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    began: Option<Millis>,
    services: BTreeMap<String, ServiceState>,
}

impl Autoscaler {
    /// A leader that has just begun knows of no order.
    pub fn new() -> Autoscaler {
        Autoscaler::default()
    }

    /// The orders to give now; each counts as pending until [`Autoscaler::taken`].
    pub fn plan(
        &mut self,
        now: Millis,
        backends: &[Backend],
        servers: &[ModelServer],
        demand: &DemandTable,
    ) -> Vec<ScaleOrder> {
        let began = *self.began.get_or_insert(now);
        let is_known = now >= began + OBSERVE_FIRST && demand.known_fraction(now) >= LEAST_KNOWN;
        let mut orders = Vec::new();
        for backend in backends {
            let Some(bounds) = &backend.autoscaling else { continue };
            let service = self.services.entry(backend.name.clone()).or_default();
            let present = service.note_present(backend, servers);
            if is_known {
                let wanted = servers_wanted(now, backend, servers, demand);
                orders.append(&mut service.plan(now, backend, bounds, &present, wanted));
            }
        }
        orders
    }

    /// The platform took an order, or gave no clear answer: then it is given again.
    pub fn taken(&mut self, now: Millis, order: &ScaleOrder, taken: bool) {
        let service = self.services.get_mut(&order.backend);
        let Some(known) = service.and_then(|service| service.orders.get_mut(&order.zone)) else { return };
        if known.count == order.desired_count && taken {
            known.delivery = Delivery::Taken(now);
        }
    }

    /// The model servers that were ordered last, by service and zone.
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

/// Model servers that the demand for a service fills, all zones together: by what model servers take to read
/// its prompts, and by the slots that its answers take.
fn servers_wanted(now: Millis, backend: &Backend, servers: &[ModelServer], demand: &DemandTable) -> f64 {
    let keys = || demand.keys().filter(|key| key.backend == backend.name);
    let prefill_ms_per_s: f64 = keys().map(|key| demand.prefill_ms_per_s(now, key)).sum();
    let slot_time_ms_per_s: f64 = keys().map(|key| demand.slot_time_ms_per_s(now, key)).sum();
    let own = servers.iter().filter(|server| server.backend == backend.name);
    let capacity = own.map(|server| server.capacity).max().unwrap_or(1).max(1);
    let reading = prefill_ms_per_s / 1_000.0 / READING_PART;
    let slots = slot_time_ms_per_s / 1_000.0 / (f64::from(capacity) * SLOTS_PART);
    reading.max(slots) / demand.known_fraction(now).max(LEAST_KNOWN)
}

/// How a zone stands.
struct ZoneView<'a> {
    zone: &'a str,
    /// Model servers that take requests there.
    present: u32,
    /// Model servers that were ordered, or those present where none were.
    orders: u32,
    /// It does not get what was ordered.
    is_short: bool,
}

impl ServiceState {
    /// Counts the model servers that take requests, by zone.
    fn note_present(&mut self, backend: &Backend, servers: &[ModelServer]) -> BTreeMap<String, u32> {
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
        let views: Vec<ZoneView<'_>> =
            self.zones.iter().map(|zone| self.view(now, zone, bounds, present)).collect();
        let running: u32 =
            views.iter().map(|view| if view.is_short { view.present } else { view.orders }).sum();
        let adds = wanted > f64::from(running) * (1.0 + WORTH_ADDING);
        let removes = wanted < f64::from(running) * (1.0 - SPARE_AFTER_REMOVAL);
        let target = if adds { wanted } else { wanted / (1.0 - SPARE_AFTER_REMOVAL) };
        let counts = spread(target, &views, bounds);
        self.low_since = if removes { self.low_since.or(Some(now)) } else { None };
        let is_low_for_long = self.low_since.is_some_and(|since| now >= since + LOW_FOR);
        let mut orders = Vec::new();
        for (zone, count) in counts {
            let known = self.orders.get(&zone).copied();
            let before = known.map_or_else(|| present.get(&zone).copied().unwrap_or(0), |order| order.count);
            let changes = adds && count > before || is_low_for_long && count < before;
            let unanswered = known.filter(|order| order.is_unanswered(now)).map(|order| order.count);
            let Some(count) = changes.then_some(count).or(unanswered) else { continue };
            self.orders.insert(zone.clone(), ZoneOrder { count, delivery: Delivery::Pending(now) });
            orders.push(ScaleOrder { backend: backend.name.clone(), zone, desired_count: count });
        }
        if is_low_for_long {
            self.low_since = None;
        }
        orders
    }

    fn view<'a>(
        &self,
        now: Millis,
        zone: &'a str,
        bounds: &Autoscaling,
        present: &BTreeMap<String, u32>,
    ) -> ZoneView<'a> {
        let present = present.get(zone).copied().unwrap_or(0);
        let order = self.orders.get(zone);
        let orders = order.map_or(present, |order| order.count);
        let boot = (bounds.boot_s * 1_000.0) as Millis;
        let is_due = order.is_none_or(|order| order.is_due(now, boot));
        ZoneView { zone, present, orders, is_short: is_due && present < orders }
    }
}

impl ZoneOrder {
    fn is_unanswered(&self, now: Millis) -> bool {
        matches!(self.delivery, Delivery::Pending(at) if now >= at + ORDER_AGAIN)
    }

    /// Whether what was ordered should run by now.
    fn is_due(&self, now: Millis, boot: Millis) -> bool {
        matches!(self.delivery, Delivery::Taken(at) if now >= at + boot + OVERDUE)
    }
}

/// Spreads model servers evenly over the zones, within the bounds of each. What a zone does not get goes to
/// the others.
fn spread(wanted: f64, views: &[ZoneView<'_>], bounds: &Autoscaling) -> BTreeMap<String, u32> {
    let (least, most) = (bounds.min_instances, bounds.max_instances.max(bounds.min_instances));
    let (short, able): (Vec<_>, Vec<_>) = views.iter().partition(|view| view.is_short);
    let there: u32 = short.iter().map(|view| view.present).sum();
    let missing = (wanted - f64::from(there)).max(0.0);
    let each = (missing / able.len().max(1) as f64).ceil() as u32;
    let even = (wanted / views.len().max(1) as f64).ceil() as u32;
    let of_able = able.iter().map(|view| (view.zone.to_owned(), each.clamp(least, most)));
    let of_short = short.iter().map(|view| (view.zone.to_owned(), even.clamp(least, most)));
    of_able.chain(of_short).collect()
}
