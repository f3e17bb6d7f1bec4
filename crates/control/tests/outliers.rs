//! Tests of outliers, by the outcomes of requests at all edges.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::model_server;
use pathbank_control::demand::DemandTable;
use pathbank_control::outliers::OutlierTable;
use pathbank_protocol::message::{EdgeReport, ModelServer, ModelServerLoad};
use std::collections::BTreeMap;

fn servers(count: usize) -> Vec<ModelServer> {
    (0..count).map(|number| ModelServer { capacity: 8, ..model_server(number, &[]) }).collect()
}

fn outcome(number: usize, failed: u32, answered: u32) -> ModelServerLoad {
    ModelServerLoad { instance: format!("i-{number}"), failed, answered, ..ModelServerLoad::default() }
}

fn names(outliers: &BTreeMap<String, f64>) -> Vec<&str> {
    outliers.keys().map(String::as_str).collect()
}

#[test]
fn few_failures_at_each_of_many_edges_add_up_to_an_outlier() {
    let mut table = OutlierTable::default();
    (0..20).for_each(|_| table.record(1_000, &[outcome(0, 1, 0), outcome(1, 0, 1)]));
    let outliers = table.outliers(1_000, &servers(6));
    assert_eq!(names(&outliers), ["i-0"]);
    assert!(outliers["i-0"] > 0.8);
}

#[test]
fn one_failure_is_no_outlier() {
    let mut table = OutlierTable::default();
    table.record(1_000, &[outcome(0, 1, 9)]);
    assert!(table.outliers(1_000, &servers(6)).is_empty());
}

#[test]
fn an_outlier_without_requests_is_forgotten() {
    let mut table = OutlierTable::default();
    table.record(1_000, &[outcome(0, 20, 0)]);
    assert!(!table.outliers(1_000, &servers(6)).is_empty());
    assert!(table.outliers(20_000, &servers(6)).is_empty());
    table.expire(60_000);
    table.record(60_000, &[outcome(0, 0, 5)]);
    assert!(table.outliers(60_000, &servers(6)).is_empty(), "a server that answers again is no outlier");
}

#[test]
fn if_most_servers_fail_only_the_worst_are_outliers() {
    let mut table = OutlierTable::default();
    let all: Vec<ModelServerLoad> = (0..9).map(|number| outcome(number, 10 + number as u32, 5)).collect();
    table.record(1_000, &all);
    assert_eq!(names(&table.outliers(1_000, &servers(9))), ["i-6", "i-7", "i-8"]);
    assert!(table.outliers(1_000, &servers(2)).is_empty(), "neither of two servers is ever an outlier");
}

#[test]
fn a_removed_server_is_no_outlier() {
    let mut table = OutlierTable::default();
    table.record(1_000, &[outcome(7, 20, 0)]);
    assert!(table.outliers(1_000, &servers(6)).is_empty());
}

#[test]
fn joint_loads_include_outliers_without_requests_in_flight() {
    let mut demand = DemandTable::default();
    let in_flight = ModelServerLoad { in_flight: 3, ..outcome(1, 0, 0) };
    let report = EdgeReport { edge: "e".into(), loads: vec![in_flight], ..EdgeReport::default() };
    demand.record(1_000, &report);
    let outliers = BTreeMap::from([("i-0".to_owned(), 0.5), ("i-1".to_owned(), 0.25)]);
    let mut loads = demand.joint_loads(1_000, outliers);
    loads.sort_by(|one, other| one.instance.cmp(&other.instance));
    let values: Vec<_> = loads.iter().map(|load| (load.in_flight, load.error_permille)).collect();
    assert_eq!(values, [(0, 500), (3, 250)]);
}
