//! Which adapters model servers that hold their models are ordered to take, and which make room for them.

use super::{Placer, Plan, adapter_count, holds_adapter};
use crate::demand::ModelKey;
use crate::order::Operation;
use pathbank_protocol::message::ModelServer;

/// An adapter is on so many times as many model servers as its demand alone would fill.
const ADAPTER_SPREAD: f64 = 2.0;

impl Plan<'_> {
    pub(super) fn adapters(&mut self, placer: &mut Placer) {
        let mut wanted: Vec<ModelKey> = self.keys();
        wanted.retain(|key| !key.adapter.is_empty() && self.holders(&key.model) > 0);
        wanted.sort_by(|one, other| self.rate(other).total_cmp(&self.rate(one)));
        for key in wanted {
            let rate = self.rate(&key);
            let known = self.model(&key.model).is_some();
            let holders = self.adapter_holders(&key.model, &key.adapter);
            let enough = self.wanted_adapter_copies(&key);
            let asked = rate > 0.01;
            if known && asked && holders < enough && !self.is_loading(placer, &key.model, &key.adapter) {
                self.add_adapter(placer, &key, rate, holders == 0);
            }
        }
    }

    /// Model servers that an adapter should be on, by its part of its model's demand.
    fn wanted_adapter_copies(&self, key: &ModelKey) -> usize {
        let part = self.rate(key) / self.model_rate(&key.model).max(f64::MIN_POSITIVE);
        1 + (ADAPTER_SPREAD * part * self.servers_filled(&key.model)) as usize
    }

    fn add_adapter(&mut self, placer: &mut Placer, key: &ModelKey, rate: f64, makes_room: bool) {
        let size = self.model(&key.model).map_or(0.0, |model| model.adapter_mb);
        let servers = self.places(&key.model).map(|place| self.servers[place]);
        let lacks = |server: &&ModelServer| !holds_adapter(server, &key.model, &key.adapter);
        let candidates: Vec<&ModelServer> =
            servers.filter(lacks).filter(|server| self.is_free(placer, server)).collect();
        let has_room = |server: &&&ModelServer| {
            adapter_count(server) < self.runtime.max_adapters as usize
                && self.used_mb(server) + size <= self.runtime.weights_mb
        };
        let calmest = |one: &&&ModelServer, other: &&&ModelServer| {
            let rank = |server: &ModelServer| self.occupancy(server) + 0.05 * adapter_count(server) as f64;
            rank(one).total_cmp(&rank(other))
        };
        if let Some(server) = candidates.iter().filter(has_room).min_by(calmest).copied() {
            return self.order(placer, server, Operation::Load, key);
        }
        let victims = candidates.iter().filter_map(|server| Some((self.least_adapter(server)?, *server)));
        let cheapest = victims.min_by(|((_, one), _), ((_, other), _)| one.total_cmp(other));
        if let Some(((victim, _), server)) = cheapest.filter(|((_, value), _)| makes_room && *value < rate) {
            self.order(placer, server, Operation::Unload, &victim);
        }
    }

    /// The adapter of a model server that is asked for least, by copies.
    fn least_adapter(&self, server: &ModelServer) -> Option<(ModelKey, f64)> {
        let held = server.models.iter().flat_map(|held| {
            held.adapters.iter().map(|adapter| self.key(&held.name, adapter)).collect::<Vec<_>>()
        });
        let valued = held.map(|key| {
            let copies = self.adapter_holders(&key.model, &key.adapter).max(1) as f64;
            let value = self.rate(&key) / copies;
            (key, value)
        });
        valued.min_by(|(_, one), (_, other)| one.total_cmp(other))
    }
}
