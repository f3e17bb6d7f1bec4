//! The zones in which the replicas of each model are.

use pathbank_protocol::message::ModelServer;
use std::collections::{BTreeMap, BTreeSet};

/// Replicas of each model, counted by zone.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaZones<'a> {
    zones: BTreeSet<&'a str>,
    replicas: BTreeMap<&'a str, BTreeMap<&'a str, usize>>,
}

impl<'a> ReplicaZones<'a> {
    /// Counts the models that are loaded.
    pub(super) fn count(servers: &[&'a ModelServer]) -> ReplicaZones<'a> {
        let mut counted = ReplicaZones::default();
        for server in servers {
            counted.zones.insert(&server.zone);
            for loaded in &server.models {
                let by_zone = counted.replicas.entry(&loaded.name).or_default();
                *by_zone.entry(&server.zone).or_default() += 1;
            }
        }
        counted
    }

    /// Whether there is more than one zone.
    pub(super) fn are_several(&self) -> bool {
        self.zones.len() > 1
    }

    /// The fraction of a model's replicas that are in `zone`.
    pub(super) fn fraction_in(&self, model: &str, zone: &str) -> f64 {
        let Some(by_zone) = self.replicas.get(model) else { return 0.0 };
        let total: usize = by_zone.values().sum();
        by_zone.get(zone).copied().unwrap_or(0) as f64 / total.max(1) as f64
    }

    /// Whether a model that is in two zones would be in one only without a replica in `zone`.
    pub(super) fn leaves_one_zone(&self, model: &str, zone: &str) -> bool {
        let Some(by_zone) = self.replicas.get(model) else { return false };
        let is_last_there = by_zone.get(zone) == Some(&1);
        is_last_there && by_zone.len() == 2
    }
}
