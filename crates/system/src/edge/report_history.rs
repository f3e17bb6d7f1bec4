//! What was reported to the leader, so that a new leader can be told the recent demand.

use pathbank_protocol::message::{ConfigurationInForce, ModelDemand};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// For how long demand is kept for a new leader, milliseconds.
const DEMAND_RETENTION_MS: u64 = 4_000;
/// A new configuration alone is reason for a report at most this often, milliseconds.
const CONFIGURATION_REPORT_INTERVAL_MS: u64 = 1_000;

/// The reports of this edge.
#[derive(Default)]
pub struct ReportHistory {
    /// The leader of the last report.
    pub reported_to: Option<SocketAddr>,
    /// The last report had loads.
    pub had_loads: bool,
    demand: VecDeque<(u64, ModelDemand)>,
    configuration_index: u64,
    configuration_reported_at: u64,
}

impl ReportHistory {
    /// Records that demand and a configuration are reported to a leader now.
    pub fn record(
        &mut self,
        now: u64,
        leader: SocketAddr,
        demand: &[ModelDemand],
        in_force: ConfigurationInForce,
    ) {
        self.configuration_index = in_force.index;
        self.configuration_reported_at = now;
        self.reported_to = Some(leader);
        self.demand.extend(demand.iter().cloned().map(|demand| (now, demand)));
        while self.demand.front().is_some_and(|(at, _)| now > at + DEMAND_RETENTION_MS) {
            self.demand.pop_front();
        }
    }

    /// The time that the recent demand covers, milliseconds.
    pub fn span_ms(&self, now: u64) -> u64 {
        self.demand.front().map_or(0, |(at, _)| now.saturating_sub(*at))
    }

    /// Whether the configuration in force has to be reported although nothing else has changed.
    pub fn is_configuration_due(&self, now: u64, in_force: ConfigurationInForce) -> bool {
        in_force.index != self.configuration_index
            && now >= self.configuration_reported_at + CONFIGURATION_REPORT_INTERVAL_MS
    }

    /// The recent demand, for a new leader.
    pub fn recent(&self) -> Vec<ModelDemand> {
        self.demand.iter().map(|(_, demand)| demand.clone()).collect()
    }
}
