//! Evacuation of streams from a model server that ends at short notice.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_protocol::message::{LoadedModel, ModelServer, ModelServerState, ModelServerUpdate};
use pathbank_router::dispatcher::{Action, Dispatcher, Offer};
use pathbank_router::evacuation::{EVACUATION_MARGIN_MS, EventRate, Progress, Stream, plan};
use pathbank_router::model_servers::AttemptOutcome;
use pathbank_router::prompt::ModelName;
use std::collections::BTreeSet;
use test_case::test_case;

const NOTICE: u64 = 2_000;
const TICK: u64 = 20;

fn server(instance: &str, state: ModelServerState, remaining_ms: u64, sequence: u64) -> ModelServer {
    ModelServer {
        instance: instance.into(),
        backend: "llm".into(),
        address: format!("{instance}:80"),
        zone: "here".into(),
        version: "v1".into(),
        capacity: 12,
        state,
        cold_remaining_ms: 0,
        remaining_ms,
        models: vec![LoadedModel { name: "a".into(), version: 1, adapters: Vec::new() }],
        sequence,
        busy: false,
    }
}

struct Story {
    dispatcher: Dispatcher,
    now: u64,
    moves: Vec<(u64, u64)>,
}

impl Story {
    /// An edge with one model server, and streams there: the request, its deadline, whether another model
    /// server may take it up.
    fn given(streams: &[(u64, u64, bool)]) -> Story {
        let mut story =
            Story { dispatcher: Dispatcher::new("here".into(), 7), now: 1_000, moves: Vec::new() };
        story.update_servers(server("i-1", ModelServerState::Ready, 0, 1));
        for (id, deadline, resumable) in streams {
            let offer = Offer {
                id: *id,
                backend: "llm".into(),
                name: ModelName::parse("a"),
                size: 1_500,
                input_tokens: 1_000,
                parts: Vec::new(),
                arrived: story.now,
                deadline: *deadline,
                abandon_at: *deadline,
                target_latency_ms: 1_000,
                target_gap_ms: 0,
                load_ms: None,
                previously_rejected: false,
                granted: None,
                excluded: BTreeSet::new(),
                resumable: *resumable,
                urgency: 0,
                version: None,
            };
            let actions = story.dispatcher.offer(story.now, offer, true);
            assert!(matches!(actions[..], [Action::Send { .. }]));
        }
        story
    }

    fn update_servers(&mut self, server: ModelServer) {
        let update = ModelServerUpdate { complete: false, servers: vec![server] };
        let actions = self.dispatcher.update_servers(self.now, update);
        self.note(actions);
    }

    fn after(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / TICK {
            self.now += TICK;
            let actions = self.dispatcher.tick(self.now);
            self.note(actions);
        }
    }

    fn note(&mut self, actions: Vec<Action>) {
        for action in actions {
            if let Action::Evacuate { id, ends_at } = action {
                assert!(ends_at > self.now, "told before it is gone");
                self.moves.push((id, self.now));
            }
        }
    }

    fn moved(&self) -> Vec<u64> {
        self.moves.iter().map(|(id, _)| *id).collect()
    }
}

#[test]
fn streams_move_before_the_server_ends_by_deadline() {
    // Given three streams that may be taken up elsewhere, and one that may not.
    let mut story = Story::given(&[(1, 9_000, true), (2, 5_000, true), (3, 7_000, false), (4, 6_000, true)]);
    let noticed = story.now;
    // When their model server says that it is gone in two seconds, then they leave by deadline, apart, and in
    // time.
    story.update_servers(server("i-1", ModelServerState::Draining, NOTICE, 2));
    story.after(NOTICE);
    assert_eq!(story.moved(), [2, 4, 1]);
    let times: Vec<u64> = story.moves.iter().map(|(_, at)| at - noticed).collect();
    assert!(times.windows(2).all(|pair| pair[1] > pair[0] + 200), "{times:?}");
    assert!(times[2] <= NOTICE - EVACUATION_MARGIN_MS + TICK, "{times:?}");
}

#[test]
fn a_draining_server_without_an_end_keeps_its_streams() {
    let mut story = Story::given(&[(1, 9_000, true)]);
    story.update_servers(server("i-1", ModelServerState::Draining, 0, 2));
    story.after(8_000);
    assert_eq!(story.moved(), [0; 0]);
}

#[test]
fn a_stream_that_ended_is_not_moved() {
    let mut story = Story::given(&[(1, 9_000, true), (2, 9_500, true)]);
    story.update_servers(server("i-1", ModelServerState::Draining, NOTICE, 2));
    story.dispatcher.finish(story.now, 1, AttemptOutcome::Answered);
    story.after(NOTICE);
    assert_eq!(story.moved(), [2]);
}

#[test]
fn a_later_report_neither_moves_a_stream_again_nor_delays_it() {
    let mut story = Story::given(&[(1, 9_000, true)]);
    story.update_servers(server("i-1", ModelServerState::Draining, NOTICE, 2));
    story.after(400);
    story.update_servers(server("i-1", ModelServerState::Draining, NOTICE, 3));
    story.after(NOTICE);
    assert_eq!(story.moved(), [1]);
    assert!(story.moves[0].1 <= 1_000 + NOTICE - EVACUATION_MARGIN_MS + TICK);
}

#[test]
fn a_late_notice_moves_all_streams_at_once() {
    let streams = [Stream { id: 1, deadline: 9_000 }, Stream { id: 2, deadline: 8_000 }];
    let leaves = plan(1_000, 1_100, streams.to_vec(), 0.9);
    assert_eq!((leaves[&1], leaves[&2]), (1_000, 1_000));
}

#[test_case(0.0; "the first edge")]
#[test_case(0.99; "the last edge")]
fn moves_spread_over_the_remaining_time(draw: f64) {
    let streams: Vec<Stream> = (0..10).map(|id| Stream { id, deadline: 9_000 - id }).collect();
    let leaves = plan(1_000, 3_000, streams, draw);
    assert_eq!(leaves.len(), 10);
    assert!(leaves.values().all(|at| (1_000..=3_000 - EVACUATION_MARGIN_MS).contains(at)));
    assert!(leaves[&9] < leaves[&0]);
}

#[test]
fn completion_in_time_is_predicted_by_the_pace() {
    let mut rate = EventRate::default();
    assert_eq!(rate.expected(100), None, "nothing is known yet");
    (0..50).for_each(|_| rate.observe(100, 20));
    let expected = rate.expected(200).unwrap();
    assert!((39.0..41.0).contains(&expected));
    // Ten events in 450 ms: thirty more take 1.5 s.
    let progress = Progress { started_at: 1_000, events: 10, expected: Some(expected) };
    assert!(progress.completes_before(1_450, 1_450 + 1_700));
    assert!(!progress.completes_before(1_450, 1_450 + 1_600));
    assert!(!Progress { expected: None, ..progress }.completes_before(1_450, 9_000), "unknown: it is moved");
    assert!(!Progress { events: 1, ..progress }.completes_before(1_450, 9_000), "no pace yet");
}
