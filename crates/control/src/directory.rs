//! The bricks that exist, from their heartbeats, as one core knows them.

use crate::address_index::AddressIndex;
use pathbank_protocol::message::{Brick, BrickNews, BrickState, LoadedModel, WithheldModel};
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds of a steady clock that the caller supplies.
pub type Millis = u64;

/// A brick that says nothing for so many of its heartbeats, and never less than the time below, is taken for gone.
const SILENT_HEARTBEATS: u64 = 5;
const LEAST_SILENCE: Millis = 4_000;
/// A brick that has gone is remembered for so long, so that a late heartbeat does not bring it back.
const GONE_KEPT: Millis = 60_000;
/// What the leader said of a brick that drops something holds for so long without another word.
const NEWS_HOLDS: Millis = 8_000;
/// What a brick says of its models may be as old as this: word of an order's end holds against it for so long.
const WORD_LAG: Millis = 600;
/// An unchanged brick is told to the other cores this often.
const RELAY_EVERY: Millis = 2_000;

#[derive(Clone, Debug)]
struct Known {
    brick: Brick,
    heard: Millis,
    relayed: Millis,
    /// It said itself that it ended.
    deregistered: bool,
    /// Ended by the system's own orders; not to be used until an order's end is known.
    withheld: Vec<WithheldModel>,
    /// When the end of an order there was told.
    order_ended: Option<Millis>,
    /// Until when that holds; the leader knows the end, the other cores hear of it.
    withheld_until: Millis,
}

/// The models that the brick at an address has held, and so has on its own disk.
pub type HeldBefore = BTreeMap<String, BTreeSet<String>>;

/// All bricks of which one core knows.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    held_before: HeldBefore,
    known: BTreeMap<String, Known>,
    addresses: AddressIndex,
    heartbeat_ms: Millis,
}

/// What a heartbeat changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Other incarnations at its address, which are gone by this.
    pub displaced: Vec<Brick>,
    /// Edges have to know.
    pub changed: bool,
    /// The other cores have to know, if this core heard it first.
    pub relay: bool,
}

impl Directory {
    /// `heartbeat_ms`: how often bricks say something.
    pub fn new(heartbeat_ms: Millis) -> Directory {
        Directory { heartbeat_ms, ..Directory::default() }
    }

    /// The bricks that edges should know, those that have gone among them.
    pub fn bricks(&self) -> impl Iterator<Item = Brick> {
        self.known.values().map(Known::told)
    }

    /// What bricks have held, by address.
    pub fn held_before(&self) -> &HeldBefore {
        &self.held_before
    }

    fn note_held(&mut self, address: &str, models: &[LoadedModel]) {
        if models.is_empty() {
            return;
        }
        let held = self.held_before.entry(address.to_owned()).or_default();
        held.extend(models.iter().map(|model| model.name.clone()));
    }

    /// Bricks that take requests.
    pub fn ready(&self) -> impl Iterator<Item = Brick> {
        self.bricks().filter(|brick| brick.state == BrickState::Ready)
    }

    /// One brick.
    pub fn brick(&self, instance: &str) -> Option<Brick> {
        self.known.get(instance).map(Known::told)
    }

    /// The newest version of a model's weights that a brick holds; 0: none does.
    pub fn newest_version(&self, model: &str) -> u64 {
        let held = self.known.values().flat_map(|known| &known.brick.models);
        held.filter(|held| held.name == model).map(|held| held.version).max().unwrap_or(0)
    }

    /// How one brick stands.
    pub fn state(&self, instance: &str) -> Option<BrickState> {
        self.known.get(instance).map(|known| known.brick.state)
    }

    /// A heartbeat, heard from the brick or from another core.
    pub fn heard(&mut self, now: Millis, brick: Brick) -> Heard {
        self.note_held(&brick.address, &brick.models);
        let Some(known) = self.known.get(&brick.instance) else { return self.heard_first(now, brick) };
        if brick.sequence <= known.brick.sequence || known.deregistered {
            return Heard::default();
        }
        self.addresses.change(&known.brick.address, &brick.address, &brick.instance);
        let Some(known) = self.known.get_mut(&brick.instance) else { return Heard::default() };
        known.heard = now;
        let before = known.told();
        let draining = known.brick.state == BrickState::Draining && brick.state == BrickState::Ready;
        let is_older = known.order_ended.is_some_and(|ended| now < ended + WORD_LAG);
        let models = std::mem::take(&mut known.brick.models);
        known.brick = brick;
        if is_older {
            known.brick.models = models;
        }
        if draining {
            known.brick.state = BrickState::Draining;
        }
        known.deregistered = known.brick.state == BrickState::Gone;
        let changed = !same_but_sequence(&before, &known.told());
        let relay = changed || now >= known.relayed + RELAY_EVERY;
        if relay {
            known.relayed = now;
        }
        Heard { displaced: Vec::new(), changed, relay }
    }

    /// The first heartbeat of an instance, which ends any other one at its address.
    fn heard_first(&mut self, now: Millis, brick: Brick) -> Heard {
        let displaced = match brick.state {
            BrickState::Gone => Vec::new(),
            BrickState::Ready | BrickState::Draining => self.displace(&brick.address),
        };
        self.addresses.insert(&brick.address, &brick.instance);
        self.known.insert(brick.instance.clone(), Known::new(now, brick));
        Heard { displaced, changed: true, relay: true }
    }

    /// Whatever was at that address has ended.
    fn displace(&mut self, address: &str) -> Vec<Brick> {
        let mut displaced = Vec::new();
        for instance in self.addresses.at(address) {
            let Some(known) = self.known.get_mut(instance) else { continue };
            if known.brick.state == BrickState::Gone {
                continue;
            }
            known.brick.state = BrickState::Gone;
            known.brick.sequence += 1;
            known.deregistered = true;
            displaced.push(known.told());
        }
        displaced
    }

    /// A brick said that it ends.
    pub fn deregister(&mut self, now: Millis, instance: &str) -> Option<Brick> {
        let known = self.known.get_mut(instance)?;
        known.brick.state = BrickState::Gone;
        known.brick.sequence += 1;
        (known.deregistered, known.heard) = (true, now);
        Some(known.told())
    }

    /// A brick's own report of what it holds, newer than its heartbeats.
    pub fn reported(
        &mut self,
        now: Millis,
        instance: &str,
        models: Vec<LoadedModel>,
        busy: bool,
    ) -> Option<Brick> {
        let address = self.known.get(instance)?.brick.address.clone();
        self.note_held(&address, &models);
        let known = self.known.get_mut(instance)?;
        (known.brick.models, known.brick.busy, known.order_ended) = (models, busy, Some(now));
        Some(known.told())
    }

    /// An order to unload goes out: nobody is to use the model there any more. An empty adapter means the whole model.
    pub fn withhold(&mut self, instance: &str, model: &str, adapter: &str) -> Option<Brick> {
        let known = self.known.get_mut(instance)?;
        known.withheld.push(WithheldModel { model: model.to_owned(), adapter: adapter.to_owned() });
        known.withheld_until = Millis::MAX;
        Some(known.told())
    }

    /// What the other cores should know of a brick by the leader's orders. `reported`: the brick just said what it holds.
    pub fn news(&self, instance: &str, reported: bool) -> Option<BrickNews> {
        let known = self.known.get(instance)?;
        Some(BrickNews {
            instance: instance.to_owned(),
            withheld: known.withheld.clone(),
            models: reported.then(|| known.brick.models.clone()),
            busy: known.brick.busy,
        })
    }

    /// Bricks that drop something by this leader's orders.
    pub fn withheld(&self) -> impl Iterator<Item = &str> {
        let dropping = self.known.iter().filter(|(_, known)| !known.withheld.is_empty());
        dropping.map(|(instance, _)| instance.as_str())
    }

    /// The leader told what its orders have made of a brick. Returns the brick, if that is news.
    pub fn ordered(&mut self, now: Millis, news: BrickNews) -> Option<Brick> {
        let known = self.known.get_mut(&news.instance)?;
        let before = known.told();
        (known.withheld, known.withheld_until) = (news.withheld, now + NEWS_HOLDS);
        if let Some(models) = news.models {
            (known.brick.models, known.brick.busy, known.order_ended) = (models, news.busy, Some(now));
        }
        let after = known.told();
        (before != after).then_some(after)
    }

    /// Time has passed: bricks of which the leader said something that holds no more, as they are without it.
    pub fn lapse(&mut self, now: Millis) -> Vec<Brick> {
        let lapsed = |known: &&mut Known| !known.withheld.is_empty() && now >= known.withheld_until;
        let release = |known: &mut Known| {
            known.withheld.clear();
            known.told()
        };
        self.known.values_mut().filter(lapsed).map(release).collect()
    }

    /// The end of a brick's order is known.
    pub fn release(&mut self, instance: &str) -> Option<Brick> {
        let known = self.known.get_mut(instance)?;
        known.withheld.clear();
        Some(known.told())
    }

    /// This core was cut off: what it did not hear meanwhile says nothing of any brick.
    pub fn forgive_silence(&mut self, now: Millis) {
        for known in self.known.values_mut().filter(|known| known.brick.state != BrickState::Gone) {
            known.heard = now;
        }
    }

    /// Time has passed: the bricks that are taken for gone now. Only a core that is in touch with the others may say so.
    pub fn expire(&mut self, now: Millis) -> Vec<Brick> {
        let silence = (SILENT_HEARTBEATS * self.heartbeat_ms).max(LEAST_SILENCE);
        let mut gone = Vec::new();
        for known in self.known.values_mut() {
            let silent = now >= known.heard + silence && known.brick.state != BrickState::Gone;
            if silent {
                known.brick.state = BrickState::Gone;
                gone.push(known.told());
            }
        }
        let is_over = |known: &Known| known.brick.state == BrickState::Gone && now >= known.heard + GONE_KEPT;
        let forgotten: Vec<(String, Known)> = self.known.extract_if(.., |_, known| is_over(known)).collect();
        for (instance, known) in forgotten {
            self.addresses.remove(&known.brick.address, &instance);
        }
        gone
    }
}

impl Known {
    fn new(now: Millis, brick: Brick) -> Known {
        Known {
            brick,
            heard: now,
            relayed: now,
            deregistered: false,
            withheld: Vec::new(),
            withheld_until: 0,
            order_ended: None,
        }
    }

    /// The brick as edges should see it.
    fn told(&self) -> Brick {
        let mut brick = self.brick.clone();
        for WithheldModel { model, adapter } in &self.withheld {
            match adapter.is_empty() {
                true => brick.models.retain(|loaded| loaded.name != *model),
                false => brick
                    .models
                    .iter_mut()
                    .filter(|loaded| loaded.name == *model)
                    .for_each(|loaded| loaded.adapters.retain(|name| name != adapter)),
            }
        }
        brick
    }
}

fn same_but_sequence(one: &Brick, other: &Brick) -> bool {
    let mut one = one.clone();
    one.sequence = other.sequence;
    one.cold_remaining_ms = other.cold_remaining_ms;
    one.remaining_ms = other.remaining_ms;
    one == *other
}
