//! The configuration that each edge has in force, and since when, by the edges' reports.

use pathbank_coordination::types::{Index, Millis};
use pathbank_protocol::message::EdgeReport;
use std::collections::BTreeMap;

/// For how long an edge's last report counts, milliseconds.
const REPORT_TTL_MS: Millis = 30_000;

/// The configuration that an edge has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EdgeConfiguration {
    /// The index of the log entry that brought it.
    pub index: Index,
    /// Its version.
    pub version: u64,
    /// When it came into force, by the clock of the core that received the report, milliseconds.
    pub in_force_since: Millis,
    /// When the last report came, by the same clock, milliseconds.
    pub reported_at: Millis,
}

/// The configurations in force, by edge.
#[derive(Clone, Debug, Default)]
pub struct EdgeConfigurations {
    by_edge: BTreeMap<String, EdgeConfiguration>,
}

impl EdgeConfigurations {
    /// Records an edge's report.
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

    /// Removes edges whose last report has expired.
    pub fn expire(&mut self, now: Millis) {
        self.by_edge.retain(|_, configuration| now < configuration.reported_at + REPORT_TTL_MS);
    }

    /// All edges with their configurations, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &EdgeConfiguration)> {
        self.by_edge.iter().map(|(edge, configuration)| (edge.as_str(), configuration))
    }
}
