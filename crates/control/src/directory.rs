//! The list of model servers as one core knows it: from heartbeats, reports and the leader's order status.

use crate::address_index::AddressIndex;
use pathbank_coordination::types::Millis;
use pathbank_protocol::message::{LoadedModel, ModelServer, ModelServerState, OrderStatus, WithheldModel};
use std::collections::{BTreeMap, BTreeSet};

/// Heartbeats that a model server may miss before it counts as removed, but never in less than
/// `MIN_HEARTBEAT_TIMEOUT_MS`.
const MAX_MISSED_HEARTBEATS: u64 = 5;
const MIN_HEARTBEAT_TIMEOUT_MS: Millis = 4_000;
/// For how long a removed model server is kept, so that a late heartbeat does not bring it back.
const REMOVED_RETENTION_MS: Millis = 60_000;
/// For how long the leader's order status counts without being repeated.
const ORDER_STATUS_TTL_MS: Millis = 8_000;
/// A heartbeat may have been written this long before it arrives: one that arrives sooner after an order's
/// end does not change the list of models.
const HEARTBEAT_STALENESS_MS: Millis = 600;
/// The interval at which an unchanged model server is relayed to the other cores.
const RELAY_INTERVAL_MS: Millis = 2_000;
/// Beyond so many bytes, weights on the disks of machines are not remembered: one that is loaded again counts as fetched
/// from the weight store.
const MAX_CACHED_WEIGHTS_BYTES: usize = 8 * 1024 * 1024;
/// What an address or a name costs beside its bytes.
const CACHED_ITEM_BYTES: usize = 64;

#[derive(Clone, Debug)]
struct ServerRecord {
    server: ModelServer,
    last_seen_at: Millis,
    last_relayed_at: Millis,
    /// Another incarnation was heard of at its address. If the server still runs, its next heartbeat, which has
    /// the sequence of this removal, brings it back: what displaced it was a late heartbeat of an ended one.
    displaced: bool,
    /// Models and adapters that orders unload. They are not published until the end of the order is known.
    withheld: Vec<WithheldModel>,
    /// When `withheld` expires: never at the leader, which learns of the order's end.
    withheld_until: Millis,
    /// When the end of an order was last reported.
    order_ended_at: Option<Millis>,
}

/// Models whose weights are on the disk of the machine at an address, because a model server there has held
/// them.
pub type CachedWeights = BTreeMap<String, BTreeSet<String>>;

/// All model servers that one core knows, and the models on their machines' disks.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    cached_weights: CachedWeights,
    /// What `cached_weights` holds, with [`CACHED_ITEM_BYTES`] for each address and name.
    cached_weights_bytes: usize,
    records: BTreeMap<String, ServerRecord>,
    addresses: AddressIndex,
    heartbeat_ms: Millis,
}

/// The changes by a heartbeat, and who has to be notified of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// Other incarnations at the server's address, which the heartbeat removed.
    pub displaced: Vec<ModelServer>,
    /// Whether subscribed edges have to be notified.
    pub changed: bool,
    /// Whether the other cores have to be notified. Only the core that received the heartbeat from the model
    /// server itself does this.
    pub relay: bool,
}

impl Directory {
    /// An empty list. `heartbeat_ms` is the interval of the model servers' heartbeats.
    pub fn new(heartbeat_ms: Millis) -> Directory {
        Directory { heartbeat_ms, ..Directory::default() }
    }

    /// All model servers as edges should see them, removed ones included.
    pub fn servers(&self) -> impl Iterator<Item = ModelServer> {
        self.records.values().map(ServerRecord::published)
    }

    /// Models on the disks of the machines, by address.
    pub fn cached_weights(&self) -> &CachedWeights {
        &self.cached_weights
    }

    fn record_cached_weights(&mut self, address: &str, models: &[LoadedModel]) {
        if models.is_empty() {
            return;
        }
        if self.cached_weights_bytes > MAX_CACHED_WEIGHTS_BYTES {
            self.forget_weights_of_unknown_addresses();
        }
        if self.cached_weights_bytes > MAX_CACHED_WEIGHTS_BYTES {
            return;
        }
        if !self.cached_weights.contains_key(address) {
            self.cached_weights_bytes += CACHED_ITEM_BYTES + address.len();
        }
        let cached = self.cached_weights.entry(address.to_owned()).or_default();
        for model in models {
            if cached.insert(model.name.clone()) {
                self.cached_weights_bytes += CACHED_ITEM_BYTES + model.name.len();
            }
        }
    }

    /// Forgets which weights machines have at whose addresses no model server is known.
    fn forget_weights_of_unknown_addresses(&mut self) {
        let known: BTreeSet<&String> = self.records.values().map(|record| &record.server.address).collect();
        self.cached_weights.retain(|address, _| known.contains(address));
        let bytes = |(address, names): (&String, &BTreeSet<String>)| {
            let names: usize = names.iter().map(|name| CACHED_ITEM_BYTES + name.len()).sum();
            CACHED_ITEM_BYTES + address.len() + names
        };
        self.cached_weights_bytes = self.cached_weights.iter().map(bytes).sum();
    }

    /// Model servers that take requests.
    pub fn ready(&self) -> impl Iterator<Item = ModelServer> {
        self.servers().filter(|server| server.state == ModelServerState::Ready)
    }

    /// One model server as edges should see it.
    pub fn server(&self, instance: &str) -> Option<ModelServer> {
        self.records.get(instance).map(ServerRecord::published)
    }

    /// The models that a model server holds, withheld ones included; none if the server is not known.
    pub fn loaded_models(&self, instance: &str) -> &[LoadedModel] {
        self.records.get(instance).map_or(&[], |record| &record.server.models)
    }

    /// The newest version of a model's weights that is loaded anywhere; 0 where the model is loaded nowhere.
    pub fn newest_version(&self, model: &str) -> u64 {
        let loaded = self.records.values().flat_map(|record| &record.server.models);
        loaded.filter(|loaded| loaded.name == model).map(|loaded| loaded.version).max().unwrap_or(0)
    }

    /// The state of one model server.
    pub fn state(&self, instance: &str) -> Option<ModelServerState> {
        self.records.get(instance).map(|record| record.server.state)
    }

    /// Applies a heartbeat that came from the model server itself or was relayed by another core, or a
    /// deregistration that was relayed. A heartbeat that is not newer than the last one, or comes after the
    /// deregistration, changes nothing.
    pub fn observe_heartbeat(&mut self, now: Millis, server: ModelServer) -> HeartbeatOutcome {
        if server.is_deregistered() {
            let changed = self.deregister(now, &server.instance).is_some();
            return HeartbeatOutcome { displaced: Vec::new(), changed, relay: changed };
        }
        self.record_cached_weights(&server.address, &server.models);
        let Some(record) = self.records.get(&server.instance) else { return self.insert_first(now, server) };
        if record.supersedes(&server) {
            return HeartbeatOutcome::default();
        }
        let returns =
            record.server.state == ModelServerState::Removed && server.state != ModelServerState::Removed;
        let displaced = if returns { self.displace(&server.address) } else { Vec::new() };
        let Some(record) = self.records.get(&server.instance) else { return HeartbeatOutcome::default() };
        self.addresses.relocate(&record.server.address, &server.address, &server.instance);
        let Some(record) = self.records.get_mut(&server.instance) else { return HeartbeatOutcome::default() };
        record.last_seen_at = now;
        let before = record.published();
        let was_draining =
            record.server.state == ModelServerState::Draining && server.state == ModelServerState::Ready;
        let is_stale = record.order_ended_at.is_some_and(|ended| now < ended + HEARTBEAT_STALENESS_MS);
        let models = std::mem::take(&mut record.server.models);
        record.server = server;
        if is_stale {
            record.server.models = models;
        }
        if was_draining {
            record.server.state = ModelServerState::Draining;
        }
        record.displaced &= record.server.state == ModelServerState::Removed;
        let changed = !equal_but_for_times(&before, &record.published());
        let relay = changed || now >= record.last_relayed_at + RELAY_INTERVAL_MS;
        if relay {
            record.last_relayed_at = now;
        }
        HeartbeatOutcome { displaced, changed, relay }
    }

    /// Applies the first heartbeat of an instance, which removes any other instance at its address.
    fn insert_first(&mut self, now: Millis, server: ModelServer) -> HeartbeatOutcome {
        let displaced = match server.state {
            ModelServerState::Removed => Vec::new(),
            ModelServerState::Ready | ModelServerState::Draining => self.displace(&server.address),
        };
        self.addresses.insert(&server.address, &server.instance);
        self.records.insert(server.instance.clone(), ServerRecord::new(now, server));
        HeartbeatOutcome { displaced, changed: true, relay: true }
    }

    /// Removes the instances at an address, and returns those that were not removed before.
    fn displace(&mut self, address: &str) -> Vec<ModelServer> {
        let mut displaced = Vec::new();
        for instance in self.addresses.at(address) {
            let Some(record) = self.records.get_mut(instance) else { continue };
            if record.server.state == ModelServerState::Removed {
                continue;
            }
            record.server.state = ModelServerState::Removed;
            record.server.sequence += 1;
            record.displaced = true;
            displaced.push(record.published());
        }
        displaced
    }

    /// Applies a model server's own deregistration, also of one that is not known: this core may have just
    /// started. `None`: it has deregistered before.
    pub fn deregister(&mut self, now: Millis, instance: &str) -> Option<ModelServer> {
        let Some(record) = self.records.get_mut(instance) else {
            let server = ModelServer::deregistered(instance.to_owned());
            self.records.insert(instance.to_owned(), ServerRecord::new(now, server.clone()));
            return Some(server);
        };
        if record.server.is_deregistered() {
            return None;
        }
        record.server.state = ModelServerState::Removed;
        record.server.sequence = ModelServer::FINAL_SEQUENCE;
        (record.displaced, record.last_seen_at) = (false, now);
        Some(record.published())
    }

    /// Applies a model server's own report of its loaded models, which is newer than its heartbeats.
    pub fn observe_report(
        &mut self,
        now: Millis,
        instance: &str,
        models: Vec<LoadedModel>,
        busy: bool,
    ) -> Option<ModelServer> {
        let address = self.records.get(instance)?.server.address.clone();
        self.record_cached_weights(&address, &models);
        let record = self.records.get_mut(instance)?;
        (record.server.models, record.server.busy, record.order_ended_at) = (models, busy, Some(now));
        Some(record.published())
    }

    /// Withholds a model from use before the order to unload it goes out. An empty adapter means the model
    /// with all its adapters.
    pub fn withhold(&mut self, instance: &str, model: &str, adapter: &str) -> Option<ModelServer> {
        let record = self.records.get_mut(instance)?;
        record.withheld.push(WithheldModel { model: model.to_owned(), adapter: adapter.to_owned() });
        record.withheld_until = Millis::MAX;
        Some(record.published())
    }

    /// The status of the leader's orders at a model server, for the other cores. `with_models`: includes the
    /// loaded models, which the model server has just reported.
    pub fn order_status(&self, instance: &str, with_models: bool) -> Option<OrderStatus> {
        let record = self.records.get(instance)?;
        Some(OrderStatus {
            instance: instance.to_owned(),
            withheld: record.withheld.clone(),
            models: with_models.then(|| record.server.models.clone()),
            busy: record.server.busy,
        })
    }

    /// Instances at which an order withholds a model or an adapter.
    pub fn withholding(&self) -> impl Iterator<Item = &str> {
        let withholding = self.records.iter().filter(|(_, record)| !record.withheld.is_empty());
        withholding.map(|(instance, _)| instance.as_str())
    }

    /// Applies the leader's order status. Returns the model server if edges have to be told of a change.
    pub fn apply_order_status(&mut self, now: Millis, status: OrderStatus) -> Option<ModelServer> {
        let record = self.records.get_mut(&status.instance)?;
        let before = record.published();
        (record.withheld, record.withheld_until) = (status.withheld, now + ORDER_STATUS_TTL_MS);
        if let Some(models) = status.models {
            (record.server.models, record.server.busy, record.order_ended_at) =
                (models, status.busy, Some(now));
        }
        let after = record.published();
        (before != after).then_some(after)
    }

    /// Removes order status that has expired. Returns the model servers that had one, as edges should see
    /// them now.
    pub fn expire_withheld(&mut self, now: Millis) -> Vec<ModelServer> {
        let has_expired =
            |record: &&mut ServerRecord| !record.withheld.is_empty() && now >= record.withheld_until;
        let release = |record: &mut ServerRecord| {
            record.withheld.clear();
            record.published()
        };
        self.records.values_mut().filter(has_expired).map(release).collect()
    }

    /// Withholds nothing at a model server any more, because the end of its order is known.
    pub fn release(&mut self, instance: &str) -> Option<ModelServer> {
        let record = self.records.get_mut(instance)?;
        record.withheld.clear();
        Some(record.published())
    }

    /// Restarts all heartbeat time-outs. A core that was partitioned from the others cannot tell which
    /// heartbeats it missed.
    pub fn reset_timeouts(&mut self, now: Millis) {
        for record in
            self.records.values_mut().filter(|record| record.server.state != ModelServerState::Removed)
        {
            record.last_seen_at = now;
        }
    }

    /// Removes model servers whose heartbeats have timed out, and returns them. Only a core that is in touch
    /// with the others may call it.
    pub fn expire(&mut self, now: Millis) -> Vec<ModelServer> {
        let timeout_ms = (MAX_MISSED_HEARTBEATS * self.heartbeat_ms).max(MIN_HEARTBEAT_TIMEOUT_MS);
        let mut expired = Vec::new();
        for record in self.records.values_mut() {
            let timed_out =
                now >= record.last_seen_at + timeout_ms && record.server.state != ModelServerState::Removed;
            if timed_out {
                record.server.state = ModelServerState::Removed;
                expired.push(record.published());
            }
        }
        let is_obsolete = |record: &ServerRecord| {
            record.server.state == ModelServerState::Removed
                && now >= record.last_seen_at + REMOVED_RETENTION_MS
        };
        let obsolete: Vec<(String, ServerRecord)> =
            self.records.extract_if(.., |_, record| is_obsolete(record)).collect();
        for (instance, record) in obsolete {
            self.addresses.remove(&record.server.address, &instance);
        }
        expired
    }
}

impl ServerRecord {
    fn new(now: Millis, server: ModelServer) -> ServerRecord {
        ServerRecord {
            server,
            last_seen_at: now,
            last_relayed_at: now,
            displaced: false,
            withheld: Vec::new(),
            withheld_until: 0,
            order_ended_at: None,
        }
    }

    /// Whether what is known is newer than a heartbeat, or final.
    fn supersedes(&self, heartbeat: &ModelServer) -> bool {
        let known = self.server.sequence;
        if self.displaced { heartbeat.sequence < known } else { heartbeat.sequence <= known }
    }

    /// The model server as edges should see it: without withheld models and adapters.
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

/// Whether two heartbeats differ only in their sequence and in remaining times.
fn equal_but_for_times(one: &ModelServer, other: &ModelServer) -> bool {
    let mut one = one.clone();
    one.sequence = other.sequence;
    one.cold_remaining_ms = other.cold_remaining_ms;
    one.remaining_ms = other.remaining_ms;
    one == *other
}
