//! Which urgencies have come lately: slots are reserved for urgent requests only while such requests come.

use crate::Millis;
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

    /// Whether a request for a backend that is more urgent than `urgency` came within the last `within`
    /// milliseconds.
    pub fn has_more_urgent(&self, now: Millis, backend: &str, urgency: Urgency, within: Millis) -> bool {
        let Some(by_urgency) = self.last_at.get(backend) else { return false };
        by_urgency.range(..urgency).any(|(_, last_at)| now <= *last_at + within)
    }

    /// Forgets urgencies without requests.
    pub fn tidy(&mut self, now: Millis) {
        self.last_at.retain(|_, by_urgency| {
            by_urgency.retain(|_, last_at| now < *last_at + RETENTION_MS);
            !by_urgency.is_empty()
        });
    }
}
