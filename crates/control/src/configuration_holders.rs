//! Which edge has which configuration in force, and since when, as they told.

use pathbank_coordination::types::{Index, Millis};
use pathbank_protocol::message::EdgeReport;
use std::collections::BTreeMap;

/// An edge that told nothing for so long is forgotten, milliseconds.
const FORGOTTEN_AFTER: Millis = 30_000;

/// What an edge has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The log's entry that brought the configuration.
    pub index: Index,
    /// Its version.
    pub version: u64,
    /// Since when, by the clock of whoever was told.
    pub since: Millis,
    /// When it told so.
    pub told: Millis,
}

/// The edges by name.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHolders {
    by_edge: BTreeMap<String, Holder>,
}

impl ConfigurationHolders {
    /// An edge reported.
    pub fn note(&mut self, now: Millis, report: &EdgeReport) {
        let in_force = report.configuration;
        let since = now.saturating_sub(in_force.for_ms);
        let holder = Holder { index: in_force.index, version: in_force.version, since, told: now };
        self.by_edge.insert(report.edge.clone(), holder);
    }

    /// Forgets those that fell silent.
    pub fn tidy(&mut self, now: Millis) {
        self.by_edge.retain(|_, holder| now < holder.told + FORGOTTEN_AFTER);
    }

    /// Who holds what.
    pub fn holders(&self) -> impl Iterator<Item = (&str, &Holder)> {
        self.by_edge.iter().map(|(edge, holder)| (edge.as_str(), holder))
    }
}
