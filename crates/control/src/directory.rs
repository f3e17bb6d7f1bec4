//! The model servers that exist, from their heartbeats, as one core knows them.

use crate::address_index::AddressIndex;
use pathbank_protocol::message::{LoadedModel, ModelServer, ModelServerState, OrderStatus, WithheldModel};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of a steady clock that the caller supplies.
pub type Millis = u64;

/// A model server that says nothing for so many of its heartbeats, and never less than the time below, is
/// taken for gone.
const MAX_MISSED_HEARTBEATS: u64 = 5;
const MIN_HEARTBEAT_TIMEOUT_MS: Millis = 4_000;
/// A model server that has gone is remembered for so long, so that a late heartbeat does not bring it back.
const REMOVED_RETENTION_MS: Millis = 60_000;
/// What the leader said of a model server that drops something holds for so long without another word.
const ORDER_STATUS_TTL_MS: Millis = 8_000;
/// What a model server says of its models may be as old as this: word of an order's end holds against it for
/// so long.
const HEARTBEAT_STALENESS_MS: Millis = 600;
/// An unchanged model server is told to the other cores this often.
const RELAY_INTERVAL_MS: Millis = 2_000;

#[derive(Clone, Debug)]
struct ServerRecord {
    server: ModelServer,
    last_seen: Millis,
    last_relayed_at: Millis,
    /// It said itself that it ended.
    deregistered: bool,
    /// Ended by the system's own orders; not to be used until an order's end is known.
    withheld: Vec<WithheldModel>,
    /// When the end of an order there was told.
    order_ended: Option<Millis>,
    /// Until when that holds; the leader knows the end, the other cores hear of it.
    withheld_until: Millis,
}

/// The models that the model server at an address has held, and so has on its own disk.
pub type CachedWeights = BTreeMap<String, BTreeSet<String>>;

/// All model servers of which one core knows.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    cached_weights: CachedWeights,
    known: BTreeMap<String, ServerRecord>,
    addresses: AddressIndex,
    heartbeat_ms: Millis,
}

/// What a heartbeat changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// Other incarnations at its address, which are gone by this.
    pub displaced: Vec<ModelServer>,
    /// Edges have to know.
    pub changed: bool,
    /// The other cores have to know, if this core heard it first.
    pub relay: bool,
}

impl Directory {
    /// `heartbeat_ms`: how often model servers say something.
    pub fn new(heartbeat_ms: Millis) -> Directory {
        Directory { heartbeat_ms, ..Directory::default() }
    }

    /// The model servers that edges should know, those that have gone among them.
    pub fn servers(&self) -> impl Iterator<Item = ModelServer> {
        self.known.values().map(ServerRecord::published)
    }

    /// What model servers have held, by address.
    pub fn cached_weights(&self) -> &CachedWeights {
        &self.cached_weights
    }

    fn record_cached_weights(&mut self, address: &str, models: &[LoadedModel]) {
        if models.is_empty() {
            return;
        }
        let held = self.cached_weights.entry(address.to_owned()).or_default();
        held.extend(models.iter().map(|model| model.name.clone()));
    }

    /// Model servers that take requests.
    pub fn ready(&self) -> impl Iterator<Item = ModelServer> {
        self.servers().filter(|server| server.state == ModelServerState::Ready)
    }

    /// One model server.
    pub fn server(&self, instance: &str) -> Option<ModelServer> {
        self.known.get(instance).map(ServerRecord::published)
    }

    /// The newest version of a model's weights that a model server holds; 0: none does.
    pub fn newest_version(&self, model: &str) -> u64 {
        let held = self.known.values().flat_map(|known| &known.server.models);
        held.filter(|held| held.name == model).map(|held| held.version).max().unwrap_or(0)
    }

    /// How one model server stands.
    pub fn state(&self, instance: &str) -> Option<ModelServerState> {
        self.known.get(instance).map(|known| known.server.state)
    }

    /// A heartbeat, heard from the model server or from another core.
    pub fn observe_heartbeat(&mut self, now: Millis, server: ModelServer) -> HeartbeatOutcome {
        self.record_cached_weights(&server.address, &server.models);
        let Some(known) = self.known.get(&server.instance) else { return self.insert_first(now, server) };
        if server.sequence <= known.server.sequence || known.deregistered {
            return HeartbeatOutcome::default();
        }
        self.addresses.change(&known.server.address, &server.address, &server.instance);
        let Some(known) = self.known.get_mut(&server.instance) else { return HeartbeatOutcome::default() };
        known.last_seen = now;
        let before = known.published();
        let draining =
            known.server.state == ModelServerState::Draining && server.state == ModelServerState::Ready;
        let is_older = known.order_ended.is_some_and(|ended| now < ended + HEARTBEAT_STALENESS_MS);
        let models = std::mem::take(&mut known.server.models);
        known.server = server;
        if is_older {
            known.server.models = models;
        }
        if draining {
            known.server.state = ModelServerState::Draining;
        }
        known.deregistered = known.server.state == ModelServerState::Removed;
        let changed = !same_but_sequence(&before, &known.published());
        let relay = changed || now >= known.last_relayed_at + RELAY_INTERVAL_MS;
        if relay {
            known.last_relayed_at = now;
        }
        HeartbeatOutcome { displaced: Vec::new(), changed, relay }
    }

    /// The first heartbeat of an instance, which ends any other one at its address.
    fn insert_first(&mut self, now: Millis, server: ModelServer) -> HeartbeatOutcome {
        let displaced = match server.state {
            ModelServerState::Removed => Vec::new(),
            ModelServerState::Ready | ModelServerState::Draining => self.displace(&server.address),
        };
        self.addresses.insert(&server.address, &server.instance);
        self.known.insert(server.instance.clone(), ServerRecord::new(now, server));
        HeartbeatOutcome { displaced, changed: true, relay: true }
    }

    /// Whatever was at that address has ended.
    fn displace(&mut self, address: &str) -> Vec<ModelServer> {
        let mut displaced = Vec::new();
        for instance in self.addresses.at(address) {
            let Some(known) = self.known.get_mut(instance) else { continue };
            if known.server.state == ModelServerState::Removed {
                continue;
            }
            known.server.state = ModelServerState::Removed;
            known.server.sequence += 1;
            known.deregistered = true;
            displaced.push(known.published());
        }
        displaced
    }

    /// A model server said that it ends.
    pub fn deregister(&mut self, now: Millis, instance: &str) -> Option<ModelServer> {
        let known = self.known.get_mut(instance)?;
        known.server.state = ModelServerState::Removed;
        known.server.sequence += 1;
        (known.deregistered, known.last_seen) = (true, now);
        Some(known.published())
    }

    /// A model server's own report of what it holds, newer than its heartbeats.
    pub fn observe_report(
        &mut self,
        now: Millis,
        instance: &str,
        models: Vec<LoadedModel>,
        busy: bool,
    ) -> Option<ModelServer> {
        let address = self.known.get(instance)?.server.address.clone();
        self.record_cached_weights(&address, &models);
        let known = self.known.get_mut(instance)?;
        (known.server.models, known.server.busy, known.order_ended) = (models, busy, Some(now));
        Some(known.published())
    }

    /// An order to unload goes out: nobody is to use the model there any more. An empty adapter means the
    /// whole model.
    pub fn withhold(&mut self, instance: &str, model: &str, adapter: &str) -> Option<ModelServer> {
        let known = self.known.get_mut(instance)?;
        known.withheld.push(WithheldModel { model: model.to_owned(), adapter: adapter.to_owned() });
        known.withheld_until = Millis::MAX;
        Some(known.published())
    }

    /// What the other cores should know of a model server by the leader's orders. `observe_report`: the model
    /// server just said what it holds.
    pub fn order_status(&self, instance: &str, observe_report: bool) -> Option<OrderStatus> {
        let known = self.known.get(instance)?;
        Some(OrderStatus {
            instance: instance.to_owned(),
            withheld: known.withheld.clone(),
            models: observe_report.then(|| known.server.models.clone()),
            busy: known.server.busy,
        })
    }

    /// Model servers that drop something by this leader's orders.
    pub fn withheld(&self) -> impl Iterator<Item = &str> {
        let dropping = self.known.iter().filter(|(_, known)| !known.withheld.is_empty());
        dropping.map(|(instance, _)| instance.as_str())
    }

    /// The leader told what its orders have made of a model server. Returns the model server, if that is
    /// news.
    pub fn apply_order_status(&mut self, now: Millis, order_status: OrderStatus) -> Option<ModelServer> {
        let known = self.known.get_mut(&order_status.instance)?;
        let before = known.published();
        (known.withheld, known.withheld_until) = (order_status.withheld, now + ORDER_STATUS_TTL_MS);
        if let Some(models) = order_status.models {
            (known.server.models, known.server.busy, known.order_ended) =
                (models, order_status.busy, Some(now));
        }
        let after = known.published();
        (before != after).then_some(after)
    }

    /// Time has passed: model servers of which the leader said something that holds no more, as they are
    /// without it.
    pub fn expire_withheld(&mut self, now: Millis) -> Vec<ModelServer> {
        let lapsed = |known: &&mut ServerRecord| !known.withheld.is_empty() && now >= known.withheld_until;
        let release = |known: &mut ServerRecord| {
            known.withheld.clear();
            known.published()
        };
        self.known.values_mut().filter(lapsed).map(release).collect()
    }

    /// The end of a model server's order is known.
    pub fn release(&mut self, instance: &str) -> Option<ModelServer> {
        let known = self.known.get_mut(instance)?;
        known.withheld.clear();
        Some(known.published())
    }

    /// This core was cut off: what it did not hear meanwhile says nothing of any model server.
    pub fn reset_timeouts(&mut self, now: Millis) {
        for known in self.known.values_mut().filter(|known| known.server.state != ModelServerState::Removed) {
            known.last_seen = now;
        }
    }

    /// Time has passed: the model servers that are taken for gone now. Only a core that is in touch with the
    /// others may say so.
    pub fn expire(&mut self, now: Millis) -> Vec<ModelServer> {
        let silence = (MAX_MISSED_HEARTBEATS * self.heartbeat_ms).max(MIN_HEARTBEAT_TIMEOUT_MS);
        let mut gone = Vec::new();
        for known in self.known.values_mut() {
            let silent = now >= known.last_seen + silence && known.server.state != ModelServerState::Removed;
            if silent {
                known.server.state = ModelServerState::Removed;
                gone.push(known.published());
            }
        }
        let is_over = |known: &ServerRecord| {
            known.server.state == ModelServerState::Removed && now >= known.last_seen + REMOVED_RETENTION_MS
        };
        let forgotten: Vec<(String, ServerRecord)> =
            self.known.extract_if(.., |_, known| is_over(known)).collect();
        for (instance, known) in forgotten {
            self.addresses.remove(&known.server.address, &instance);
        }
        gone
    }
}

impl ServerRecord {
    fn new(now: Millis, server: ModelServer) -> ServerRecord {
        ServerRecord {
            server,
            last_seen: now,
            last_relayed_at: now,
            deregistered: false,
            withheld: Vec::new(),
            withheld_until: 0,
            order_ended: None,
        }
    }

    /// The model server as edges should see it.
    fn published(&self) -> ModelServer {
        let mut server = self.server.clone();
        for WithheldModel { model, adapter } in &self.withheld {
            match adapter.is_empty() {
                true => server.models.retain(|loaded| loaded.name != *model),
                false => server
                    .models
                    .iter_mut()
                    .filter(|loaded| loaded.name == *model)
                    .for_each(|loaded| loaded.adapters.retain(|name| name != adapter)),
            }
        }
        server
    }
}

fn same_but_sequence(one: &ModelServer, other: &ModelServer) -> bool {
    let mut one = one.clone();
    one.sequence = other.sequence;
    one.cold_remaining_ms = other.cold_remaining_ms;
    one.remaining_ms = other.remaining_ms;
    one == *other
}
