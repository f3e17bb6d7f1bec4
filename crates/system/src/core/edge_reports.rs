//! What edges report: demand by model, requests in flight and failures by model server, and the configuration that each
//! edge has in force.

use pathbank_control::demand::DemandTable;
use pathbank_control::edge_configurations::EdgeConfigurations;
use pathbank_control::outliers::OutlierTable;
use pathbank_protocol::message::{EdgeReport, ModelServer, ModelServerLoad};
use std::collections::BTreeMap;

/// Tables of the edges' recent reports.
#[derive(Default)]
pub struct EdgeReports {
    demand: DemandTable,
    outliers: OutlierTable,
    configurations: EdgeConfigurations,
}

impl EdgeReports {
    /// Records a report.
    pub fn observe(&mut self, now: u64, report: &EdgeReport) {
        self.demand.record(now, report);
        self.configurations.record(now, report);
        self.outliers.record(now, &report.loads);
    }

    /// Requests by model, and in flight by model server.
    pub fn demand(&self) -> &DemandTable {
        &self.demand
    }

    /// Which edges have which configuration in force.
    pub fn configurations(&self) -> &EdgeConfigurations {
        &self.configurations
    }

    /// Servers that fail much more than the others, with their failure rates.
    pub fn outliers(&self, now: u64, ready: &[ModelServer]) -> BTreeMap<String, f64> {
        self.outliers.outliers(now, ready)
    }

    /// Requests in flight and outliers by model server, over all edges.
    pub fn joint_loads(&self, now: u64, ready: &[ModelServer]) -> Vec<ModelServerLoad> {
        self.demand.joint_loads(now, self.outliers(now, ready))
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: u64) {
        self.demand.expire(now);
        self.outliers.expire(now);
        self.configurations.expire(now);
    }
}
