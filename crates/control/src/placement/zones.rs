//! In which zones the copies of each model are.

use pathbank_protocol::message::ModelServer;
use std::collections::{BTreeMap, BTreeSet};

/// Copies of models, by zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneCopies<'a> {
    zones: BTreeSet<&'a str>,
    copies: BTreeMap<&'a str, BTreeMap<&'a str, usize>>,
}

impl<'a> ZoneCopies<'a> {
    /// Counts what model servers hold.
    pub fn count(servers: &[&'a ModelServer]) -> ZoneCopies<'a> {
        let mut counted = ZoneCopies::default();
        for server in servers {
            counted.zones.insert(&server.zone);
            for held in &server.models {
                let by_zone = counted.copies.entry(&held.name).or_default();
                *by_zone.entry(&server.zone).or_default() += 1;
            }
        }
        counted
    }

    /// Whether there is more than one zone.
    pub fn are_several(&self) -> bool {
        self.zones.len() > 1
    }

    /// How much a zone has of a model beside the others: the part of all copies that are there; 0 where it
    /// has none.
    pub fn crowding(&self, model: &str, zone: &str) -> f64 {
        let Some(by_zone) = self.copies.get(model) else { return 0.0 };
        let all: usize = by_zone.values().sum();
        by_zone.get(zone).copied().unwrap_or(0) as f64 / all.max(1) as f64
    }

    /// Whether a model that is in several zones would be in one only, were a copy in `zone` to go.
    pub fn leaves_one_zone(&self, model: &str, zone: &str) -> bool {
        let Some(by_zone) = self.copies.get(model) else { return false };
        let is_last_there = by_zone.get(zone) == Some(&1);
        is_last_there && by_zone.len() == 2
    }
}
