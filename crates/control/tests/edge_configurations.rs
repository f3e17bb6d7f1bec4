//! Tests of the list of configurations that edges have in force, by their reports.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::edge_configurations::EdgeConfigurations;
use pathbank_protocol::message::{ConfigurationInForce, EdgeReport};

fn report(edge: &str, index: u64, for_ms: u64) -> EdgeReport {
    let configuration = ConfigurationInForce { index, version: 2 * index, for_ms };
    EdgeReport { edge: edge.into(), configuration, ..EdgeReport::default() }
}

fn reported(configurations: &EdgeConfigurations) -> Vec<(String, u64, u64)> {
    configurations
        .iter()
        .map(|(edge, holder)| (edge.to_owned(), holder.version, holder.in_force_since))
        .collect()
}

#[test]
fn each_edge_is_listed_with_its_version_and_since_when() {
    let mut configurations = EdgeConfigurations::default();
    configurations.record(5_000, &report("e1", 3, 1_200));
    configurations.record(5_100, &report("e2", 4, 100));
    configurations.record(5_600, &report("e1", 4, 500));
    assert_eq!(reported(&configurations), [("e1".into(), 8, 5_100), ("e2".into(), 8, 5_000)]);
}

#[test]
fn an_edge_without_reports_expires() {
    let mut configurations = EdgeConfigurations::default();
    configurations.record(1_000, &report("e1", 3, 0));
    configurations.record(25_000, &report("e2", 3, 0));
    configurations.expire(31_000);
    assert_eq!(reported(&configurations), [("e2".into(), 6, 25_000)]);
}
