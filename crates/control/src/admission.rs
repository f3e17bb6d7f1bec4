//! At which model server a prompt is read next, and when: joint admission over all heads.
//!
//! While a model server reads a prompt, every stream there stands still. One prompt costs a stream a pause
//! that nobody minds; several at once, sent by heads that do not know of each other, cost it its pace. The
//! leader therefore lines prompts up: each is granted the model server where it would be answered first, and
//! the moment at which that model server has read those before it. A grant is advice: a head that hears
//! nothing in time sends as it sees fit, and a new leader begins without any line.
//!
//! No head sees how many slots of a model server are taken: the leader does, by what all told and what it
//! granted since. A model server whose slots are taken is dear, in whatever zone it is, so that demand
//! spreads over zones by the room that is there and never beyond it. Of the last slots some are kept for what
//! is more urgent (`urgency`).

use crate::directory::Millis;
use crate::urgency::{Urgency, open_slots};
use pathbank_protocol::message::{AdmissionGrant, AdmissionOption, AdmissionRequest, ModelServer};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Between two prompts a model server goes on with its streams for so long, milliseconds.
const BREATH_MS: f64 = 35.0;
/// And for this part of the time that the first of them took.
const BREATH_PART: f64 = 0.25;
/// No prompt waits longer; what is beyond gains nothing by waiting, milliseconds.
const LONGEST_WAIT: f64 = 1_500.0;
/// Lines that have been empty for so long are forgotten, milliseconds.
const FORGET_AFTER: Millis = 10_000;

/// What each request beyond a model server's slots costs the next one there, milliseconds.
const OVERFULL_MS: f64 = 120.0;
/// A grant counts as a taken slot for so long, milliseconds; by then the edge's own report tells of it.
const GRANT_COUNTS: Millis = 600;

/// The slots of one model server.
#[derive(Clone, Debug, Default)]
struct Slots {
    capacity: f64,
    /// Requests there, as all edges told.
    told: f64,
    /// When requests were granted that the edges may not have told of yet.
    granted: VecDeque<Millis>,
}

impl Slots {
    fn taken(&self) -> f64 {
        self.told + self.granted.len() as f64
    }

    fn forget(&mut self, now: Millis) {
        while self.granted.front().is_some_and(|at| now >= at + GRANT_COUNTS) {
            self.granted.pop_front();
        }
    }

    /// Slots that one more request of that urgency would lack; 0: it has one.
    fn lacks(&self, urgency: Urgency) -> f64 {
        if self.capacity == 0.0 {
            return 0.0;
        }
        (self.taken() + 1.0 - open_slots(self.capacity, urgency)).max(0.0)
    }
}

/// Until when each model server reads what was granted there, and its slots, by its incarnation.
#[derive(Clone, Debug, Default)]
pub struct AdmissionController {
    free_at: HashMap<String, f64>,
    slots: HashMap<String, Slots>,
}

impl AdmissionController {
    /// The slots of the model servers that take requests, and the requests there by what all edges told.
    /// Other model servers are forgotten.
    pub fn update_slots(&mut self, ready: &[ModelServer], in_flight: &BTreeMap<String, u32>) {
        let mut known = std::mem::take(&mut self.slots);
        for server in ready {
            let mut slots = known.remove(&server.instance).unwrap_or_default();
            slots.capacity = f64::from(server.capacity);
            slots.told = in_flight.get(&server.instance).copied().map_or(0.0, f64::from);
            self.slots.insert(server.instance.clone(), slots);
        }
    }

    fn lacks(&self, option: &AdmissionOption, urgency: Urgency) -> f64 {
        self.slots.get(&option.instance).map_or(0.0, |slots| slots.lacks(urgency))
    }

    /// Grants the option at which the answer begins first. `None`: the request names no option.
    pub fn admit(&mut self, now: Millis, request: &AdmissionRequest) -> Option<AdmissionGrant> {
        for option in &request.options {
            if let Some(slots) = self.slots.get_mut(&option.instance) {
                slots.forget(now);
            }
        }
        let begins = |option: &AdmissionOption| {
            let overfull = OVERFULL_MS * self.lacks(option, request.urgency);
            let line = self.wait(now, &option.instance);
            line + overfull + f64::from(option.prefill_ms) + f64::from(option.other_cost_ms)
        };
        let best = request
            .options
            .iter()
            .enumerate()
            .min_by(|(_, one), (_, other)| begins(one).total_cmp(&begins(other)));
        let (place, option) = best?;
        let wait = self.wait(now, &option.instance);
        let reads = f64::from(option.prefill_ms);
        let free_at = now as f64 + wait + reads * (1.0 + BREATH_PART) + BREATH_MS;
        self.free_at.insert(option.instance.clone(), free_at);
        if let Some(slots) = self.slots.get_mut(&option.instance) {
            slots.granted.push_back(now);
        }
        Some(AdmissionGrant { request: request.request, option: place as u32, wait_ms: wait as u32 })
    }

    /// How long a prompt would wait at a model server, milliseconds.
    fn wait(&self, now: Millis, instance: &str) -> f64 {
        let free_at = self.free_at.get(instance).copied().unwrap_or(0.0);
        (free_at - now as f64).clamp(0.0, LONGEST_WAIT)
    }

    /// Forgets lines that have been empty for long.
    pub fn expire(&mut self, now: Millis) {
        self.free_at.retain(|_, free_at| *free_at + FORGET_AFTER as f64 > now as f64);
    }
}
