//! Joint admission over all edges: which model server prefills a prompt next, and when.
//!
//! During prefill all streams of a model server pause. One prompt delays the streams by a short pause;
//! several prompts at once, from edges that do not know of each other, slow the streams down. The leader
//! therefore queues prompts: it grants each prompt the model server where the answer would begin first, and
//! the time at which the prompts before it are prefilled there. A grant is advice: an edge that gets no grant
//! in time decides by itself, and a new leader begins with empty queues.
//!
//! The leader also knows how many slots are occupied, by the edges' reports and its own grants since. A model
//! server without free slots costs more, in any zone, so that demand spreads over zones by their free
//! capacity. The last slots are reserved for urgent requests ([`crate::urgency`]).

use crate::urgency::{Urgency, open_slots};
use pathbank_coordination::types::Millis;
use pathbank_protocol::message::{AdmissionGrant, AdmissionOption, AdmissionRequest, ModelServer};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The least pause between two prefills, in which the streams go on, milliseconds.
const MIN_DECODE_PAUSE_MS: f64 = 35.0;
/// The further pause, as a fraction of the prefill before it.
const DECODE_PAUSE_FRACTION: f64 = 0.25;
/// The longest wait that is granted, milliseconds.
const MAX_WAIT_MS: f64 = 1_500.0;
/// For how long an empty queue is kept, milliseconds.
const EMPTY_QUEUE_RETENTION_MS: Millis = 10_000;

/// The cost of each slot that a request would lack, milliseconds.
const MISSING_SLOT_COST_MS: f64 = 120.0;
/// For how long a grant counts as an occupied slot, milliseconds; after that the edge's report includes it.
const GRANT_TTL_MS: Millis = 600;

/// The slots of one model server.
#[derive(Clone, Debug, Default)]
struct Slots {
    capacity: f64,
    /// Requests in flight there, by the reports of all edges.
    reported: f64,
    /// The times of grants that the edges' reports may not include yet.
    granted_at: VecDeque<Millis>,
}

impl Slots {
    fn occupied(&self) -> f64 {
        self.reported + self.granted_at.len() as f64
    }

    fn expire_grants(&mut self, now: Millis) {
        while self.granted_at.front().is_some_and(|at| now >= at + GRANT_TTL_MS) {
            self.granted_at.pop_front();
        }
    }

    /// The slots that one more request of an urgency would lack; 0: there is a free slot for it.
    fn missing(&self, urgency: Urgency) -> f64 {
        if self.capacity == 0.0 {
            return 0.0;
        }
        (self.occupied() + 1.0 - open_slots(self.capacity, urgency)).max(0.0)
    }
}

/// The leader's admission: queues and slots of model servers, by instance.
#[derive(Clone, Debug, Default)]
pub struct AdmissionController {
    /// When each model server has prefilled the prompts that were granted there, milliseconds.
    free_at: HashMap<String, f64>,
    slots: HashMap<String, Slots>,
}

impl AdmissionController {
    /// Sets the slots of the model servers that take requests, and the requests in flight there. Other model
    /// servers are removed.
    pub fn update_slots(&mut self, ready: &[ModelServer], in_flight: &BTreeMap<String, u32>) {
        let mut known = std::mem::take(&mut self.slots);
        for server in ready {
            let mut slots = known.remove(&server.instance).unwrap_or_default();
            slots.capacity = f64::from(server.capacity);
            slots.reported = in_flight.get(&server.instance).copied().map_or(0.0, f64::from);
            self.slots.insert(server.instance.clone(), slots);
        }
    }

    fn missing_slots(&self, option: &AdmissionOption, urgency: Urgency) -> f64 {
        self.slots.get(&option.instance).map_or(0.0, |slots| slots.missing(urgency))
    }

    /// Grants the option with the earliest first token. `None`: the request has no options.
    pub fn admit(&mut self, now: Millis, request: &AdmissionRequest) -> Option<AdmissionGrant> {
        for option in &request.options {
            if let Some(slots) = self.slots.get_mut(&option.instance) {
                slots.expire_grants(now);
            }
        }
        let first_token_ms = |option: &AdmissionOption| {
            let missing_slots = MISSING_SLOT_COST_MS * self.missing_slots(option, request.urgency);
            let queue = self.wait(now, &option.instance);
            queue + missing_slots + f64::from(option.prefill_ms) + f64::from(option.other_cost_ms)
        };
        let best = request
            .options
            .iter()
            .enumerate()
            .min_by(|(_, one), (_, other)| first_token_ms(one).total_cmp(&first_token_ms(other)));
        let (position, option) = best?;
        let wait = self.wait(now, &option.instance);
        let prefill_ms = f64::from(option.prefill_ms);
        let free_at = now as f64 + wait + prefill_ms * (1.0 + DECODE_PAUSE_FRACTION) + MIN_DECODE_PAUSE_MS;
        self.free_at.insert(option.instance.clone(), free_at);
        if let Some(slots) = self.slots.get_mut(&option.instance) {
            slots.granted_at.push_back(now);
        }
        Some(AdmissionGrant { request: request.request, option: position as u32, wait_ms: wait as u32 })
    }

    /// The wait of a prompt at a model server, milliseconds.
    fn wait(&self, now: Millis, instance: &str) -> f64 {
        let free_at = self.free_at.get(instance).copied().unwrap_or(0.0);
        (free_at - now as f64).clamp(0.0, MAX_WAIT_MS)
    }

    /// Removes queues that have been empty for long.
    pub fn expire(&mut self, now: Millis) {
        self.free_at.retain(|_, free_at| *free_at + EMPTY_QUEUE_RETENTION_MS as f64 > now as f64);
    }
}
