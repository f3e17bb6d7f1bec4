//! What room model servers have for one more model, worked out once for all models that look for a model
//! server.

use super::{BLOCKED, CROWDED, FETCHED, LOAD_COST, Placer, Plan, SAME_ZONE, loaded};
use pathbank_protocol::message::ModelServer;

/// A model that may go from a model server.
struct Evictable<'a> {
    model: &'a str,
    weights_mb: f64,
    /// What the copy serves, requests a second.
    value: f64,
}

/// The room of one model server.
struct Room<'a> {
    server: &'a ModelServer,
    /// Nothing is under way there, and it is kept for nothing.
    is_open: bool,
    left_mb: f64,
    /// Requests a second that it serves by its part of each model's demand.
    served: f64,
    /// Requests a second whose adapters cannot come while the model server loads a model.
    blocked: f64,
    /// The least valuable first.
    evictable: Vec<Evictable<'a>>,
}

impl<'a> Room<'a> {
    fn of(plan: &Plan<'a>, placer: &Placer, server: &'a ModelServer) -> Room<'a> {
        let is_reserved = placer.reserved.contains_key(&server.instance);
        let is_open =
            plan.is_free(placer, server) && !is_reserved && !plan.failing.contains(&server.instance);
        let left_mb = plan.runtime.weights_mb - plan.used_mb(server);
        let mut room = Room { server, is_open, left_mb, served: 0.0, blocked: 0.0, evictable: Vec::new() };
        room.value_models(plan);
        room
    }

    /// What its models serve changes with the copies that other model servers hold.
    fn value_models(&mut self, plan: &Plan<'a>) {
        let server = self.server;
        let may_go = server.models.iter().filter(|held| !plan.training.pins(&server.instance, &held.name));
        let evictable = may_go.map(|held| Evictable {
            model: &held.name,
            weights_mb: plan.model(&held.name).map_or(0.0, |model| model.weights_mb),
            value: plan.value(&held.name, &server.zone),
        });
        self.evictable = evictable.collect();
        self.evictable.sort_by(|one, other| one.value.total_cmp(&other.value));
        self.served = plan.served_by(server);
        self.blocked = BLOCKED * plan.adapters_asked_at(server);
    }

    /// What room for so many megabytes costs, requests a second, and the model that has to go first.
    fn cost(&self, size_mb: f64) -> Option<(f64, Option<&'a str>)> {
        let (mut left_mb, mut cost) = (self.left_mb, 0.0);
        if left_mb >= size_mb {
            return Some((0.0, None));
        }
        let first = self.evictable.first()?.model;
        for evictable in &self.evictable {
            left_mb += evictable.weights_mb;
            cost += evictable.value;
            if left_mb >= size_mb {
                return Some((cost, Some(first)));
            }
        }
        None
    }
}

/// Where a model is best loaded.
pub struct Best<'a> {
    /// Its place among all rooms.
    place: usize,
    /// The model server.
    pub server: &'a ModelServer,
    /// The model that has to go first, if any.
    pub victim: Option<&'a str>,
}

/// The room of all model servers of a service.
pub struct Rooms<'a> {
    /// In the order of the plan's model servers.
    rooms: Vec<Room<'a>>,
}

impl<'a> Rooms<'a> {
    /// As model servers stand now.
    pub fn of(plan: &Plan<'a>, placer: &Placer) -> Rooms<'a> {
        Rooms { rooms: plan.servers.iter().map(|server| Room::of(plan, placer, server)).collect() }
    }

    /// The model server where the least has to go for a model, and less than it would bring.
    pub fn best(&self, plan: &Plan<'a>, name: &str, size_mb: f64, relief: f64) -> Option<Best<'a>> {
        let mut best: Option<(f64, Best)> = None;
        for (place, room) in self.rooms.iter().enumerate().filter(|(_, room)| room.is_open) {
            let Some((cost, victim)) = room.cost(size_mb).filter(|(cost, _)| cost + LOAD_COST < relief)
            else {
                continue;
            };
            let server = room.server;
            // What follows is looked up by name: not for a model server that is worse without it.
            let crowded = CROWDED * room.served;
            let is_worse = best.as_ref().is_some_and(|(least, _)| cost + crowded > *least);
            if is_worse || loaded(server, name).is_some() {
                continue;
            }
            let fetched = if plan.has_cached_weights(server, name) { 0.0 } else { FETCHED };
            let beside = SAME_ZONE * plan.zones.crowding(name, &server.zone);
            let blocked = if plan.has_cached_weights(server, name) { 0.0 } else { room.blocked };
            let total = cost + fetched + beside + crowded + blocked;
            if best.as_ref().is_none_or(|(least, _)| total < *least) {
                best = Some((total, Best { place, server, victim }));
            }
        }
        best.map(|(_, best)| best)
    }

    /// That model server was given an order.
    pub fn ordered(&mut self, plan: &Plan<'a>, best: &Best<'a>) {
        self.rooms[best.place].is_open = false;
        // A copy that goes leaves more to the others.
        for place in best.victim.into_iter().flat_map(|model| plan.places(model)) {
            self.rooms[place].value_models(plan);
        }
    }
}
