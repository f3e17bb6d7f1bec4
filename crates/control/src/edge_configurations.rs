//! Which edge has which configuration in force, and since when, as they told.

use pathbank_coordination::types::{Index, Millis};
use pathbank_protocol::message::EdgeReport;
use std::collections::BTreeMap;

/// An edge that told nothing for so long is forgotten, milliseconds.
const REPORT_TTL_MS: Millis = 30_000;

/// What an edge has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EdgeConfiguration {
    /// The log's entry that brought the configuration.
    pub index: Index,
    /// Its version.
    pub version: u64,
    /// Since when, by the clock of whoever was told.
    pub in_force_since: Millis,
    /// When it told so.
    pub reported_at: Millis,
}

/// The edges by name.
#[derive(Clone, Debug, Default)]
pub struct EdgeConfigurations {
    by_edge: BTreeMap<String, EdgeConfiguration>,
}

impl EdgeConfigurations {
    /// An edge reported.
    pub fn record(&mut self, now: Millis, report: &EdgeReport) {
        let in_force = report.configuration;
        let in_force_since = now.saturating_sub(in_force.for_ms);
        let configuration = EdgeConfiguration {
            index: in_force.index,
            version: in_force.version,
            in_force_since,
            reported_at: now,
        };
        self.by_edge.insert(report.edge.clone(), configuration);
    }

    /// Forgets those that fell silent.
    pub fn expire(&mut self, now: Millis) {
        self.by_edge.retain(|_, configuration| now < configuration.reported_at + REPORT_TTL_MS);
    }

    /// Who holds what.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &EdgeConfiguration)> {
        self.by_edge.iter().map(|(edge, configuration)| (edge.as_str(), configuration))
    }
}
