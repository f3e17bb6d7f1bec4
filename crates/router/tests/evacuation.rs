//! Tests of the evacuation of streams from a model server that ends at short notice.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod common;

use pathbank_protocol::message::{ModelServer, ModelServerState, ModelServerUpdate};
use pathbank_router::dispatcher::{Action, Dispatcher, Offer};
use pathbank_router::evacuation::{EVACUATION_MARGIN_MS, EventRate, Progress, Stream, plan};
use pathbank_router::model_servers::AttemptOutcome;
use test_case::test_case;

const NOTICE_MS: u64 = 2_000;
const TICK_MS: u64 = 20;

/// A model server with 12 slots and its announced end.
fn server(instance: &str, state: ModelServerState, remaining_ms: u64, sequence: u64) -> ModelServer {
    ModelServer { capacity: 12, state, remaining_ms, sequence, ..common::server(instance, &["a"]) }
}

struct Scenario {
    dispatcher: Dispatcher,
    now: u64,
    moves: Vec<(u64, u64)>,
}

impl Scenario {
    /// An edge with one model server that runs `streams`: each with its request, its deadline, and whether
    /// another model server may resume it.
    fn new(streams: &[(u64, u64, bool)]) -> Scenario {
        let mut scenario =
            Scenario { dispatcher: Dispatcher::new("here".into(), 7), now: 1_000, moves: Vec::new() };
        scenario.update_servers(server("i-1", ModelServerState::Ready, 0, 1));
        for (id, deadline, resumable) in streams {
            let offer = Offer {
                deadline: *deadline,
                abandon_at: *deadline,
                resumable: *resumable,
                ..common::offer(*id, "a", scenario.now)
            };
            let actions = scenario.dispatcher.offer(scenario.now, offer, true);
            assert!(matches!(actions[..], [Action::Send { .. }]));
        }
        scenario
    }

    fn update_servers(&mut self, server: ModelServer) {
        let update = ModelServerUpdate { complete: false, servers: vec![server] };
        let actions = self.dispatcher.update_servers(self.now, update);
        self.record_moves(actions);
    }

    fn advance(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / TICK_MS {
            self.now += TICK_MS;
            let actions = self.dispatcher.tick(self.now);
            self.record_moves(actions);
        }
    }

    fn record_moves(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Evacuate { id, ends_at } = action {
                assert!(ends_at > self.now, "the edge is asked before the model server ends");
                self.moves.push((id, self.now));
            }
        }
    }

    fn moved_requests(&self) -> Vec<u64> {
        self.moves.iter().map(|(id, _)| *id).collect()
    }
}

#[test]
fn streams_move_before_the_server_ends_by_deadline() {
    // Three streams are resumable, and one is not.
    let mut scenario =
        Scenario::new(&[(1, 9_000, true), (2, 5_000, true), (3, 7_000, false), (4, 6_000, true)]);
    let notice_at = scenario.now;
    // The model server announces its end in two seconds. The resumable streams move in the order of their
    // deadlines, one after the other, before the margin.
    scenario.update_servers(server("i-1", ModelServerState::Draining, NOTICE_MS, 2));
    scenario.advance(NOTICE_MS);
    assert_eq!(scenario.moved_requests(), [2, 4, 1]);
    let times: Vec<u64> = scenario.moves.iter().map(|(_, at)| at - notice_at).collect();
    assert!(times.windows(2).all(|pair| pair[1] > pair[0] + 200), "{times:?}");
    assert!(times[2] <= NOTICE_MS - EVACUATION_MARGIN_MS + TICK_MS, "{times:?}");
}

#[test]
fn a_draining_server_without_an_end_keeps_its_streams() {
    let mut scenario = Scenario::new(&[(1, 9_000, true)]);
    scenario.update_servers(server("i-1", ModelServerState::Draining, 0, 2));
    scenario.advance(8_000);
    assert_eq!(scenario.moved_requests(), [0; 0]);
}

#[test]
fn a_stream_that_ended_is_not_moved() {
    let mut scenario = Scenario::new(&[(1, 9_000, true), (2, 9_500, true)]);
    scenario.update_servers(server("i-1", ModelServerState::Draining, NOTICE_MS, 2));
    scenario.dispatcher.finish(scenario.now, 1, AttemptOutcome::Answered);
    scenario.advance(NOTICE_MS);
    assert_eq!(scenario.moved_requests(), [2]);
}

#[test]
fn a_later_report_neither_moves_a_stream_again_nor_delays_it() {
    let mut scenario = Scenario::new(&[(1, 9_000, true)]);
    scenario.update_servers(server("i-1", ModelServerState::Draining, NOTICE_MS, 2));
    scenario.advance(400);
    scenario.update_servers(server("i-1", ModelServerState::Draining, NOTICE_MS, 3));
    scenario.advance(NOTICE_MS);
    assert_eq!(scenario.moved_requests(), [1]);
    assert!(scenario.moves[0].1 <= 1_000 + NOTICE_MS - EVACUATION_MARGIN_MS + TICK_MS);
}

#[test]
fn all_streams_move_at_once_if_less_than_the_margin_remains() {
    let streams = [Stream { id: 1, deadline: 9_000 }, Stream { id: 2, deadline: 8_000 }];
    let move_times = plan(1_000, 1_100, streams.to_vec(), 0.9);
    assert_eq!((move_times[&1], move_times[&2]), (1_000, 1_000));
}

#[test_case(0.0; "the lowest draw")]
#[test_case(0.99; "the highest draw")]
fn moves_spread_over_the_remaining_time(draw: f64) {
    let streams: Vec<Stream> = (0..10).map(|id| Stream { id, deadline: 9_000 - id }).collect();
    let move_times = plan(1_000, 3_000, streams, draw);
    assert_eq!(move_times.len(), 10);
    assert!(move_times.values().all(|at| (1_000..=3_000 - EVACUATION_MARGIN_MS).contains(at)));
    assert!(move_times[&9] < move_times[&0]);
}

#[test]
fn the_pace_of_a_stream_predicts_whether_it_completes_in_time() {
    let mut rate = EventRate::default();
    assert_eq!(rate.expected(100), None, "no stream is complete yet");
    (0..50).for_each(|_| rate.observe(100, 20));
    let expected = rate.expected(200).unwrap();
    assert!((39.0..41.0).contains(&expected));
    // The first ten events took 450 ms, so thirty more take 1.5 s.
    let progress = Progress { started_at: 1_000, events: 10, expected: Some(expected) };
    assert!(progress.completes_before(1_450, 1_450 + 1_700));
    assert!(!progress.completes_before(1_450, 1_450 + 1_600));
    assert!(
        !Progress { expected: None, ..progress }.completes_before(1_450, 9_000),
        "without an expected number of events the stream moves"
    );
    assert!(!Progress { events: 1, ..progress }.completes_before(1_450, 9_000), "one event gives no pace");
}
