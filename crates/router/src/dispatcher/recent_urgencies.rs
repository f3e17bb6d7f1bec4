//! Which urgencies have come lately: slots are reserved for urgent requests only while such requests come.

use super::Offer;
use crate::Millis;
use crate::engine_estimates::EngineEstimates;
use pathbank_control::urgency::Urgency;
use std::collections::BTreeMap;

/// For how long an urgency without requests is kept.
const RETENTION_MS: Millis = 120_000;

/// The time of the last request of each urgency, by backend.
#[derive(Clone, Debug, Default)]
pub struct RecentUrgencies {
    last_at: BTreeMap<String, BTreeMap<Urgency, Millis>>,
}

impl RecentUrgencies {
    /// Records a request for a backend.
    pub fn record(&mut self, now: Millis, backend: &str, urgency: Urgency) {
        self.last_at.entry(backend.to_owned()).or_default().insert(urgency, now);
    }

    /// The urgency by which slots are reserved before a request. A slot that it takes is occupied for a slot
    /// time: while no more urgent request has come for as long, all slots are open to it.
    pub fn reserving(&self, now: Millis, offer: &Offer, engines: &EngineEstimates) -> Urgency {
        let slot_time = engines.backend_slot_time_ms(now, &offer.backend) as Millis;
        let is_recent = |(_, last_at): (&Urgency, &Millis)| now <= *last_at + slot_time;
        let by_urgency = self.last_at.get(&offer.backend);
        match by_urgency.is_some_and(|by_urgency| by_urgency.range(..offer.urgency).any(is_recent)) {
            true => offer.urgency,
            false => 0,
        }
    }

    /// Forgets urgencies without requests.
    pub fn tidy(&mut self, now: Millis) {
        self.last_at.retain(|_, by_urgency| {
            by_urgency.retain(|_, last_at| now < *last_at + RETENTION_MS);
            !by_urgency.is_empty()
        });
    }
}
