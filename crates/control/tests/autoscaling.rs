//! How many model servers run: stories of demand that comes, goes and finds a zone that gives nothing.

use pathbank_control::autoscaling::{Autoscaler, ScaleOrder};
use pathbank_control::configuration::{Autoscaling, Backend};
use pathbank_control::demand::DemandTable;
use pathbank_protocol::message::{EdgeReport, ModelDemand, ModelServer, ModelServerState};
use test_case::test_case;

/// Told size of one request.
const SIZE: u64 = 1_900;
/// What a model server takes to read its prompt, milliseconds.
const READ_MS: u64 = 27;
/// Requests a second that fill one model server: it reads for a bit more than a quarter of its time.
const SERVER_FILL: u64 = 10;
const REPORT_EVERY: u64 = 100;

struct Story {
    now: u64,
    backends: Vec<Backend>,
    /// Model servers by zone.
    running: Vec<(&'static str, u32)>,
    demand: DemandTable,
    autoscaler: Autoscaler,
    /// The platform answers.
    answers: bool,
    orders: Vec<ScaleOrder>,
}

impl Story {
    fn given(running: &[(&'static str, u32)], least: u32, most: u32) -> Story {
        let backend = Backend {
            name: "llm".into(),
            health_path: None,
            max_connections: None,
            runtime: None,
            autoscaling: Some(Autoscaling { min_instances: least, max_instances: most, boot_s: 8.0 }),
        };
        Story {
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
            backend: "llm".into(),
            address: format!("{zone}-{number}:80"),
            zone: (*zone).into(),
            version: "v1".into(),
            capacity: 8,
            state: ModelServerState::Ready,
            cold_remaining_ms: 0,
            remaining_ms: 0,
            models: Vec::new(),
            sequence: 1,
            busy: false,
        };
        zones.map(server).collect()
    }

    /// So many requests a second come, for so long.
    fn when_asked(&mut self, per_s: u64, seconds: u64) {
        for _ in 0..seconds * 1_000 / REPORT_EVERY {
            self.now += REPORT_EVERY;
            self.hear(per_s * REPORT_EVERY / 1_000, 0);
            self.look();
        }
    }

    /// An edge reports requests, and how far back the first report to a leader reaches.
    fn hear(&mut self, arrived: u64, demand_span_ms: u64) {
        let row = ModelDemand {
            backend: "llm".into(),
            model: "m".into(),
            adapter: String::new(),
            arrived,
            tokens: arrived * SIZE,
            waiting: 0,
            prefill_ms: arrived * READ_MS,
            ..ModelDemand::default()
        };
        let report = EdgeReport { demand: vec![row], demand_span_ms, ..EdgeReport::default() };
        self.demand.record(self.now, &report);
    }

    fn look(&mut self) {
        let servers = self.servers();
        let orders = self.autoscaler.plan(self.now, &self.backends, &servers, &self.demand);
        for order in orders {
            self.autoscaler.record_answer(self.now, &order, self.answers);
            self.orders.push(order);
        }
    }

    /// The platform runs what was ordered, but for these zones.
    fn when_started_but_in(&mut self, without: &[&str]) {
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
fn more_than_the_servers_bear_brings_more_in_every_zone() {
    let mut story = Story::given(&[("a", 4), ("b", 4)], 2, 20);
    story.when_asked(16 * SERVER_FILL, 6);
    let (a, b) = (story.ordered("a").unwrap(), story.ordered("b").unwrap());
    assert_eq!(a, b, "spread evenly");
    assert!((8..=10).contains(&a), "{a}");
}

#[test]
fn nothing_is_ordered_on_the_first_words_of_demand() {
    let mut story = Story::given(&[("a", 4), ("b", 4)], 2, 20);
    story.when_asked(16 * SERVER_FILL, 1);
    assert_eq!(story.orders, Vec::new());
}

#[test]
fn demand_that_the_servers_bear_changes_nothing() {
    let mut story = Story::given(&[("a", 4), ("b", 4)], 2, 20);
    story.when_asked(8 * SERVER_FILL, 30);
    assert_eq!(story.orders, Vec::new());
}

#[test]
fn servers_go_only_after_the_load_was_low_for_some_time() {
    let mut story = Story::given(&[("a", 8), ("b", 8)], 2, 20);
    story.when_asked(4 * SERVER_FILL, 5);
    assert_eq!(story.orders, Vec::new());
    story.when_asked(4 * SERVER_FILL, 7);
    let a = story.ordered("a").unwrap();
    assert!((2..=3).contains(&a), "what is left bears the load: {a}");
}

#[test]
fn a_short_lull_takes_no_server_away() {
    let mut story = Story::given(&[("a", 8), ("b", 8)], 2, 20);
    story.when_asked(15 * SERVER_FILL, 10);
    story.when_asked(2 * SERVER_FILL, 2);
    story.when_asked(15 * SERVER_FILL, 10);
    assert_eq!(story.orders, Vec::new());
}

#[test_case(1_000, 20; "no more than the most")]
#[test_case(0, 3; "no fewer than the least")]
fn orders_keep_to_the_bounds_of_the_zone(servers_worth: u64, expected: u32) {
    let mut story = Story::given(&[("a", 8), ("b", 8)], 3, 20);
    story.when_asked(servers_worth * SERVER_FILL, 20);
    assert_eq!(story.ordered("a"), Some(expected));
}

#[test]
fn what_a_zone_does_not_get_runs_in_the_others() {
    let mut story = Story::given(&[("a", 4), ("b", 4), ("c", 4)], 2, 30);
    story.when_asked(30 * SERVER_FILL, 8);
    story.when_started_but_in(&["c"]);
    let before = story.ordered("a").unwrap();
    story.when_asked(30 * SERVER_FILL, 14);
    let after = story.ordered("a").unwrap();
    assert!(after > before, "{before} before, {after} after");
    assert!(2 * after + 4 >= 30, "{after}");
}

#[test]
fn a_lost_zone_is_made_up_for_by_the_others() {
    let mut story = Story::given(&[("a", 6), ("b", 6), ("c", 6)], 2, 30);
    story.when_asked(17 * SERVER_FILL, 5);
    story.when_started_but_in(&[]);
    story.running[2].1 = 0;
    story.when_asked(17 * SERVER_FILL, 4);
    story.when_started_but_in(&["c"]);
    story.when_asked(17 * SERVER_FILL, 14);
    assert!(story.ordered("a").is_some_and(|count| count >= 8), "{:?}", story.ordered("a"));
}

#[test]
fn an_order_without_an_answer_is_given_again() {
    let mut story = Story::given(&[("a", 4)], 2, 20);
    story.answers = false;
    story.when_asked(10 * SERVER_FILL, 10);
    let unanswered = story.orders.len();
    assert!(unanswered >= 3, "{unanswered}");
    story.answers = true;
    story.when_asked(10 * SERVER_FILL, 5);
    story.when_started_but_in(&[]);
    let answered = story.orders.len();
    story.when_asked(10 * SERVER_FILL, 20);
    assert_eq!(story.orders.len(), answered, "once taken it is not repeated");
}

#[test]
fn a_new_leader_hears_what_edges_remember_and_orders_no_more_for_it() {
    let mut story = Story::given(&[("a", 8), ("b", 8)], 2, 20);
    story.when_asked(15 * SERVER_FILL, 10);
    story.autoscaler = Autoscaler::new();
    story.demand = DemandTable::default();
    story.look();
    story.hear(4 * 15 * SERVER_FILL, 4_000);
    story.when_asked(15 * SERVER_FILL, 10);
    assert_eq!(story.orders, Vec::new());
}
