//! Tests of autoscaling under rising and falling demand, and in zones without capacity.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use common::model_server;
use pathbank_control::autoscaling::{Autoscaler, ScaleOrder};
use pathbank_control::configuration::{Autoscaling, Backend};
use pathbank_control::demand::DemandTable;
use pathbank_protocol::message::{EdgeReport, ModelDemand, ModelServer};
use test_case::test_case;

/// The announced size of one request.
const TOKENS: u64 = 1_900;
/// The prefill time of one request, milliseconds.
const PREFILL_MS: u64 = 27;
/// Requests a second that fill one model server: it then spends a bit more than a quarter of its time on
/// prefill.
const REQUESTS_PER_SERVER: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 100;

struct Scenario {
    now: u64,
    backends: Vec<Backend>,
    /// Model servers by zone.
    running: Vec<(&'static str, u32)>,
    demand: DemandTable,
    autoscaler: Autoscaler,
    /// Whether the platform answers.
    answers: bool,
    orders: Vec<ScaleOrder>,
}

impl Scenario {
    fn new(running: &[(&'static str, u32)], min: u32, max: u32) -> Scenario {
        let backend = Backend {
            name: "llm".into(),
            health_path: None,
            max_connections: None,
            runtime: None,
            autoscaling: Some(Autoscaling { min_instances: min, max_instances: max, boot_s: 8.0 }),
        };
        Scenario {
            now: 1_000,
            backends: vec![backend],
            running: running.to_vec(),
            demand: DemandTable::default(),
            autoscaler: Autoscaler::new(),
            answers: true,
            orders: Vec::new(),
        }
    }

    fn servers(&self) -> Vec<ModelServer> {
        let zones =
            self.running.iter().flat_map(|(zone, count)| (0..*count).map(move |number| (zone, number)));
        let server = |(zone, number): (&&str, u32)| ModelServer {
            instance: format!("{zone}-{number}"),
            address: format!("{zone}-{number}:80"),
            zone: (*zone).into(),
            capacity: 8,
            ..model_server(0, &[])
        };
        zones.map(server).collect()
    }

    /// Runs demand of `per_s` requests a second for `seconds`.
    fn run_demand(&mut self, per_s: u64, seconds: u64) {
        for _ in 0..seconds * 1_000 / REPORT_INTERVAL_MS {
            self.now += REPORT_INTERVAL_MS;
            self.report_demand(per_s * REPORT_INTERVAL_MS / 1_000, 0);
            self.run_pass();
        }
    }

    /// Reports requests of an edge. `demand_span_ms`: how far back the first report to a leader reaches.
    fn report_demand(&mut self, arrived: u64, demand_span_ms: u64) {
        let row = ModelDemand {
            backend: "llm".into(),
            model: "m".into(),
            adapter: String::new(),
            arrived,
            tokens: arrived * TOKENS,
            waiting: 0,
            prefill_ms: arrived * PREFILL_MS,
            ..ModelDemand::default()
        };
        let report = EdgeReport { demand: vec![row], demand_span_ms, ..EdgeReport::default() };
        self.demand.record(self.now, &report);
    }

    fn run_pass(&mut self) {
        let servers = self.servers();
        let orders = self.autoscaler.plan(self.now, &self.backends, &servers, &self.demand);
        for order in orders {
            self.autoscaler.record_answer(self.now, &order, self.answers);
            self.orders.push(order);
        }
    }

    /// Starts the ordered model servers in all zones except `without`.
    fn start_ordered_except_in(&mut self, without: &[&str]) {
        for order in self.autoscaler.orders() {
            let able = !without.contains(&order.zone.as_str());
            let zone = self.running.iter_mut().find(|(zone, _)| *zone == order.zone && able);
            zone.into_iter().for_each(|(_, count)| *count = order.desired_count);
        }
    }

    fn ordered(&self, zone: &str) -> Option<u32> {
        self.orders.iter().rev().find(|order| order.zone == zone).map(|order| order.desired_count)
    }
}

#[test]
fn an_overload_scales_every_zone_up() {
    let mut scenario = Scenario::new(&[("a", 4), ("b", 4)], 2, 20);
    scenario.run_demand(16 * REQUESTS_PER_SERVER, 6);
    let (a, b) = (scenario.ordered("a").unwrap(), scenario.ordered("b").unwrap());
    assert_eq!(a, b, "the zones get equal numbers");
    assert!((8..=10).contains(&a), "{a}");
}

#[test]
fn nothing_is_ordered_during_the_warm_up() {
    let mut scenario = Scenario::new(&[("a", 4), ("b", 4)], 2, 20);
    scenario.run_demand(16 * REQUESTS_PER_SERVER, 1);
    assert_eq!(scenario.orders, Vec::new());
}

#[test]
fn demand_within_the_target_changes_nothing() {
    let mut scenario = Scenario::new(&[("a", 4), ("b", 4)], 2, 20);
    scenario.run_demand(8 * REQUESTS_PER_SERVER, 30);
    assert_eq!(scenario.orders, Vec::new());
}

#[test]
fn scaling_down_waits_until_the_load_was_low_for_some_time() {
    let mut scenario = Scenario::new(&[("a", 8), ("b", 8)], 2, 20);
    scenario.run_demand(4 * REQUESTS_PER_SERVER, 5);
    assert_eq!(scenario.orders, Vec::new());
    scenario.run_demand(4 * REQUESTS_PER_SERVER, 7);
    let a = scenario.ordered("a").unwrap();
    assert!((2..=3).contains(&a), "the remaining servers can serve the load: {a}");
}

#[test]
fn a_short_lull_does_not_scale_down() {
    let mut scenario = Scenario::new(&[("a", 8), ("b", 8)], 2, 20);
    scenario.run_demand(15 * REQUESTS_PER_SERVER, 10);
    scenario.run_demand(2 * REQUESTS_PER_SERVER, 2);
    scenario.run_demand(15 * REQUESTS_PER_SERVER, 10);
    assert_eq!(scenario.orders, Vec::new());
}

#[test_case(1_000, 20; "at most the maximum")]
#[test_case(0, 3; "at least the minimum")]
fn orders_stay_within_the_bounds_of_the_zone(servers: u64, expected: u32) {
    let mut scenario = Scenario::new(&[("a", 8), ("b", 8)], 3, 20);
    scenario.run_demand(servers * REQUESTS_PER_SERVER, 20);
    assert_eq!(scenario.ordered("a"), Some(expected));
}

#[test]
fn servers_that_a_zone_cannot_start_are_ordered_in_the_others() {
    let mut scenario = Scenario::new(&[("a", 4), ("b", 4), ("c", 4)], 2, 30);
    scenario.run_demand(30 * REQUESTS_PER_SERVER, 8);
    scenario.start_ordered_except_in(&["c"]);
    let before = scenario.ordered("a").unwrap();
    scenario.run_demand(30 * REQUESTS_PER_SERVER, 14);
    let after = scenario.ordered("a").unwrap();
    assert!(after > before, "{before} before, {after} after");
    assert!(2 * after + 4 >= 30, "{after}");
}

#[test]
fn a_lost_zone_is_replaced_by_the_others() {
    let mut scenario = Scenario::new(&[("a", 6), ("b", 6), ("c", 6)], 2, 30);
    scenario.run_demand(17 * REQUESTS_PER_SERVER, 5);
    scenario.start_ordered_except_in(&[]);
    scenario.running[2].1 = 0;
    scenario.run_demand(17 * REQUESTS_PER_SERVER, 4);
    scenario.start_ordered_except_in(&["c"]);
    scenario.run_demand(17 * REQUESTS_PER_SERVER, 14);
    assert!(scenario.ordered("a").is_some_and(|count| count >= 8), "{:?}", scenario.ordered("a"));
}

#[test]
fn an_unanswered_order_is_retried() {
    let mut scenario = Scenario::new(&[("a", 4)], 2, 20);
    scenario.answers = false;
    scenario.run_demand(10 * REQUESTS_PER_SERVER, 10);
    let unanswered = scenario.orders.len();
    assert!(unanswered >= 3, "{unanswered}");
    scenario.answers = true;
    scenario.run_demand(10 * REQUESTS_PER_SERVER, 5);
    scenario.start_ordered_except_in(&[]);
    let answered = scenario.orders.len();
    scenario.run_demand(10 * REQUESTS_PER_SERVER, 20);
    assert_eq!(scenario.orders.len(), answered, "an accepted order is not repeated");
}

#[test]
fn a_new_leader_counts_demand_from_before_its_term_once() {
    let mut scenario = Scenario::new(&[("a", 8), ("b", 8)], 2, 20);
    scenario.run_demand(15 * REQUESTS_PER_SERVER, 10);
    scenario.autoscaler = Autoscaler::new();
    scenario.demand = DemandTable::default();
    scenario.run_pass();
    scenario.report_demand(4 * 15 * REQUESTS_PER_SERVER, 4_000);
    scenario.run_demand(15 * REQUESTS_PER_SERVER, 10);
    assert_eq!(scenario.orders, Vec::new());
}
