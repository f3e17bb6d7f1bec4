//! Which models get one more copy, on which model server, and what goes for it.

use super::allowance::LoadAllowance;
use super::rooms::Rooms;
use super::{Placer, Plan, Reservation, loaded};
use crate::directory::Millis;
use crate::order::{Operation, Order};
use pathbank_protocol::message::ModelServer;
use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap};

/// What a load from a model server's own disk takes of that; it should take nothing, but the disk may be
/// another one by now.
const OWN_DISK_LOAD: f64 = 0.2;
/// For how long a cleared model server is kept for its model, milliseconds.
const RESERVED_FOR: Millis = 6_000;

/// A model that should get one more copy.
struct Wish {
    /// Requests a second that it would take off the others, or serve at all.
    relief: f64,
    name: String,
    /// That it has, or is about to have.
    copies: usize,
}

impl Ord for Wish {
    fn cmp(&self, other: &Wish) -> Ordering {
        self.relief.total_cmp(&other.relief).then_with(|| self.name.cmp(&other.name))
    }
}

impl PartialOrd for Wish {
    fn partial_cmp(&self, other: &Wish) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Wish {
    fn eq(&self, other: &Wish) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Wish {}

impl<'a> Plan<'a> {
    /// Loads what model servers were cleared for.
    pub(super) fn reserved_models(&mut self, placer: &mut Placer, allowance: &mut LoadAllowance) {
        for server in self.servers.clone() {
            let Some(reservation) = placer.reserved.get(&server.instance) else { continue };
            let model = reservation.model.clone();
            let Some(size) = self.model(&model).map(|model| model.weights_mb) else { continue };
            let done = loaded(server, &model).is_some();
            let room = self.runtime.weights_mb - self.used_mb(server) >= size;
            if done || self.is_free(placer, server) && room && allowance.take(self.load_cost(server, &model))
            {
                placer.reserved.remove(&server.instance);
            }
            if !done && !placer.reserved.contains_key(&server.instance) {
                let key = self.key(&model, "");
                self.order(placer, server, Operation::Load, &key);
            }
        }
    }

    /// Gives copies to models, each time to the one that it relieves most.
    pub(super) fn add_copies(&mut self, placer: &mut Placer, allowance: &mut LoadAllowance) {
        let names: BTreeSet<String> = self.rates.keys().map(|key| key.model.clone()).collect();
        let known = names.into_iter().filter(|name| self.models.contains_key(name.as_str()));
        let wishes = known.map(|name| {
            let copies = self.holders(&name) + self.loading(placer, &name);
            Wish { relief: self.relief(&name, copies), name, copies }
        });
        let mut wishes: BinaryHeap<Wish> = wishes.filter(|wish| wish.relief > 0.0).collect();
        if wishes.is_empty() {
            return;
        }
        let mut rooms = Rooms::of(self, placer);
        while let Some(wish) = wishes.pop() {
            if !self.load(placer, allowance, &mut rooms, &wish) {
                continue;
            }
            let copies = wish.copies + 1;
            let relief = self.relief(&wish.name, copies);
            if relief > 0.0 {
                wishes.push(Wish { relief, copies, ..wish });
            }
        }
    }

    /// Model servers that load a model at the moment.
    fn loading(&self, placer: &Placer, name: &str) -> usize {
        let same = |order: &&Order| {
            order.operation == Operation::Load && order.model == name && order.adapter.is_empty()
        };
        let reserved = placer.reserved.values().filter(|reservation| reservation.model == name).count();
        placer.pending.values().filter(same).count() + reserved
    }

    /// Loads a model where the least has to go for it, or makes room there first. Returns whether it could.
    fn load(
        &mut self,
        placer: &mut Placer,
        allowance: &mut LoadAllowance,
        rooms: &mut Rooms<'a>,
        wish: &Wish,
    ) -> bool {
        let Some(size) = self.model(&wish.name).map(|model| model.weights_mb) else { return false };
        let Some(best) = rooms.best(self, &wish.name, size, wish.relief) else { return false };
        match best.victim {
            Some(victim) => {
                let (model, load_ms) = (wish.name.clone(), self.told_load_ms(&wish.name));
                let reservation = Reservation { model, load_ms, until: self.now + RESERVED_FOR };
                placer.reserved.insert(best.server.instance.clone(), reservation);
                let victim = self.key(victim, "");
                self.order(placer, best.server, Operation::Unload, &victim);
            }
            None if allowance.take(self.load_cost(best.server, &wish.name)) => {
                let key = self.key(&wish.name, "");
                self.order(placer, best.server, Operation::Load, &key);
            }
            None => return false,
        }
        rooms.ordered(self, &best);
        true
    }

    /// Whether a model server can read a model from its own disk.
    pub(super) fn has_cached_weights(&self, server: &ModelServer, name: &str) -> bool {
        self.cached_weights.get(&server.address).is_some_and(|models| models.contains(name))
    }

    /// What a load takes of the weight store's loads.
    fn load_cost(&self, server: &ModelServer, name: &str) -> f64 {
        if self.has_cached_weights(server, name) { OWN_DISK_LOAD } else { 1.0 }
    }
}
