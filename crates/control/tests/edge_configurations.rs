//! Who has which configuration in force, by what edges tell.

use pathbank_control::edge_configurations::EdgeConfigurations;
use pathbank_protocol::message::{ConfigurationInForce, EdgeReport};

fn report(edge: &str, index: u64, for_ms: u64) -> EdgeReport {
    let configuration = ConfigurationInForce { index, version: 2 * index, for_ms };
    EdgeReport { edge: edge.into(), configuration, ..EdgeReport::default() }
}

fn told(holders: &EdgeConfigurations) -> Vec<(String, u64, u64)> {
    holders.iter().map(|(edge, holder)| (edge.to_owned(), holder.version, holder.in_force_since)).collect()
}

#[test]
fn each_edge_head_is_named_with_its_version_and_since_when() {
    let mut holders = EdgeConfigurations::default();
    holders.record(5_000, &report("e1", 3, 1_200));
    holders.record(5_100, &report("e2", 4, 100));
    holders.record(5_600, &report("e1", 4, 500));
    assert_eq!(told(&holders), [("e1".into(), 8, 5_100), ("e2".into(), 8, 5_000)]);
}

#[test]
fn one_that_fell_silent_is_forgotten() {
    let mut holders = EdgeConfigurations::default();
    holders.record(1_000, &report("e1", 3, 0));
    holders.record(25_000, &report("e2", 3, 0));
    holders.expire(31_000);
    assert_eq!(told(&holders), [("e2".into(), 6, 25_000)]);
}
