//! What this edge reported to the leader, so that it can report the recent demand to a new leader.

use pathbank_protocol::message::{ConfigurationInForce, ModelDemand};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// For how long reported demand is kept for a new leader, milliseconds.
const DEMAND_RETENTION_MS: u64 = 4_000;
/// If only the configuration changed, the edge reports at most once in this time, milliseconds.
const CONFIGURATION_REPORT_INTERVAL_MS: u64 = 1_000;

/// The reports of this edge.
#[derive(Default)]
pub struct ReportHistory {
    /// The leader of the last report.
    pub reported_to: Option<SocketAddr>,
    /// Whether the last report had loads.
    pub had_loads: bool,
    demand: VecDeque<(u64, ModelDemand)>,
    configuration_index: u64,
    configuration_reported_at: u64,
}

impl ReportHistory {
    /// Records that the edge reports demand and a configuration to a leader at `now`.
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

    /// The span of time that the recent demand covers, milliseconds.
    pub fn span_ms(&self, now: u64) -> u64 {
        self.demand.front().map_or(0, |(at, _)| now.saturating_sub(*at))
    }

    /// Whether a report of the configuration in force is due even if nothing else changed.
    pub fn is_configuration_due(&self, now: u64, in_force: ConfigurationInForce) -> bool {
        in_force.index != self.configuration_index
            && now >= self.configuration_reported_at + CONFIGURATION_REPORT_INTERVAL_MS
    }

    /// The recently reported demand, for a new leader.
    pub fn recent(&self) -> Vec<ModelDemand> {
        self.demand.iter().map(|(_, demand)| demand.clone()).collect()
    }
}
