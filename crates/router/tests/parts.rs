//! The smaller parts of an edge: retry budget, usage, clock, prompts, events.

use pathbank_router::events::EventTracker;
use pathbank_router::prompt::{ModelName, PromptPart, TokenCount, parse_parts};
use pathbank_router::retry_budget::{RetryBudget, RetryBudgetLimits};
use pathbank_router::usage::UsageCounter;
use pathbank_router::wall_clock::WallClock;
use test_case::test_case;

const BOUNDS: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 56.0, window: 10_000 };

/// All edges send again whatever they may, whenever they may; some of them start anew in between.
#[test_case(1, 10; "one edge")]
#[test_case(8, 40; "eight edges")]
#[test_case(82, 400; "eighty-two edges")]
fn all_edges_together_keep_to_the_budget_in_any_window(edges: u32, requests_per_s: u64) {
    let fresh = || {
        let mut budget = RetryBudget::new(BOUNDS);
        budget.set_edges(edges);
        budget
    };
    let mut budgets: Vec<RetryBudget> = (0..edges).map(|_| fresh()).collect();
    let mut random = fastrand::Rng::with_seed(u64::from(edges));
    let mut again: Vec<u64> = Vec::new();
    for now in (0..60_000).step_by(10) {
        // Requests stop for a while: what was saved up then must not come on top.
        let requests = if (20_000..30_000).contains(&now) {
            0
        } else {
            requests_per_s / 100 + u64::from(now % 100 == 0)
        };
        for _ in 0..requests {
            budgets[random.usize(0..edges as usize)].record_request(now, "s");
        }
        if now % 7_000 == 0 {
            budgets[random.usize(0..edges as usize)] = fresh();
        }
        for budget in &mut budgets {
            while budget.try_spend(now, "s") {
                again.push(now);
            }
        }
    }
    for start in (0..50_000).step_by(500) {
        let window = |time: &&u64| **time >= start && **time < start + BOUNDS.window;
        let busiest = requests_per_s * BOUNDS.window / 1_000;
        let permitted = BOUNDS.ratio * busiest as f64 + BOUNDS.slack;
        let count = again.iter().filter(window).count();
        assert!(count as f64 <= permitted, "{count} of {permitted} from {start}");
    }
    assert!(!again.is_empty());
}

/// Edges save up for a while, and then send again whatever they may: what comes all at once when model
/// servers are lost.
#[test_case(1, 10; "one edge")]
#[test_case(8, 40; "eight edges")]
#[test_case(82, 400; "eighty-two edges")]
fn saved_tokens_keep_to_the_budget(edges: u32, requests_per_s: u64) {
    let mut random = fastrand::Rng::with_seed(9);
    let mut budgets: Vec<RetryBudget> = (0..edges).map(|_| RetryBudget::new(BOUNDS)).collect();
    budgets.iter_mut().for_each(|budget| budget.set_edges(edges));
    let mut again: Vec<u64> = Vec::new();
    for now in (0..60_000).step_by(10) {
        for _ in 0..requests_per_s / 100 + u64::from(now % 100 == 0) {
            budgets[random.usize(0..edges as usize)].record_request(now, "s");
        }
        let spends = now % 25_000 >= 15_000;
        for budget in budgets.iter_mut().filter(|_| spends) {
            while budget.try_spend(now, "s") {
                again.push(now);
            }
        }
    }
    for start in (0..50_000).step_by(500) {
        let window = |time: &&u64| **time >= start && **time < start + BOUNDS.window;
        let permitted = BOUNDS.ratio * (requests_per_s * BOUNDS.window / 1_000) as f64 + BOUNDS.slack;
        let count = again.iter().filter(window).count();
        assert!(count as f64 <= permitted, "{count} of {permitted} from {start}");
    }
}

#[test]
fn an_edge_of_many_resumes_several_streams_at_once() {
    // Given one edge of eighty-two, with five requests a second.
    let mut budget = RetryBudget::new(BOUNDS);
    budget.set_edges(82);
    (0..20_000).step_by(200).for_each(|now| budget.record_request(now, "s"));
    // When a model server is lost, then a handful may be sent again in that moment, and not more of them
    // without end.
    let at_once = (0..100).take_while(|_| budget.try_spend(20_000, "s")).count();
    assert!((3..=6).contains(&at_once), "{at_once}");
    // What traffic earned goes with the traffic.
    (20_000..40_000).step_by(200).for_each(|now| budget.record_request(now, "s"));
    let much_later = (0..100).take_while(|_| budget.try_spend(200_000, "s")).count();
    assert!(much_later <= 1, "{much_later}");
}

#[test]
fn an_edge_that_does_not_know_the_others_retries_nothing() {
    let mut budget = RetryBudget::new(BOUNDS);
    budget.record_request(0, "s");
    assert!(!budget.try_spend(0, "s"));
}

#[test]
fn usage_is_counted_by_wall_clock_window() {
    let mut usage = UsageCounter::new(5_000);
    usage.record_start(9_999, "a");
    usage.record_start(10_000, "a");
    usage.record_start(10_001, "b");
    assert_eq!(usage.take_changed().len(), 2);
    usage.record_start(10_002, "b");
    assert_eq!(usage.take_changed().iter().map(|window| window.window).collect::<Vec<_>>(), [2]);
    assert!(usage.take_changed().is_empty());
    let windows = usage.windows();
    assert_eq!((windows[0].window, windows[0].counts.as_slice()), (1, &[("a".to_owned(), 1)][..]));
    assert_eq!(windows[1].counts, [("a".to_owned(), 1), ("b".to_owned(), 2)]);
    usage.record_start(100_000, "a");
    assert_eq!(usage.windows().len(), 1, "old windows are sealed long ago");
}

#[test]
fn a_jump_of_one_clock_does_not_move_the_median() {
    let mut clock = WallClock::default();
    assert_eq!(clock.now(5, 42), 42, "nothing is told yet");
    for (core, wall) in [("a", 1_000_000), ("b", 1_000_010), ("c", 9_000_000)] {
        clock.observe(100, core, wall);
    }
    assert_eq!(clock.now(150, 0), 1_000_060);
    assert_eq!(clock.now(60_000, 7), 1_059_910, "without a core the steady clock goes on");
}

#[test_case("m", "m", ""; "a model")]
#[test_case("m/a3", "m", "a3"; "an adapter")]
#[test_case("", "", ""; "none")]
fn parses_a_model_and_its_adapter(value: &str, model: &str, adapter: &str) {
    assert_eq!(ModelName::parse(value), ModelName { model: model.into(), adapter: adapter.into() });
}

#[test]
fn parses_prompt_parts_up_to_the_first_malformed_one() {
    assert_eq!(TokenCount::parse("1460,80"), Some(TokenCount { input: 1_460, output: 80 }));
    assert_eq!(TokenCount::parse("1460,80").unwrap().size(), 2_260);
    assert_eq!(TokenCount::parse("1460"), None);
    let parts = parse_parts("5c1e07a2:800,91bd3f06:410,bad,1:1");
    assert_eq!(
        parts,
        [PromptPart { id: 0x5c1e_07a2, tokens: 800 }, PromptPart { id: 0x91bd_3f06, tokens: 410 }]
    );
}

fn pass_all(tracker: &mut EventTracker, stream: &[u8], piece: usize) -> Vec<u8> {
    stream.chunks(piece).flat_map(|bytes| tracker.pass(bytes)).collect()
}

#[test_case(1; "byte by byte")]
#[test_case(7; "in sevens")]
#[test_case(1_000; "at once")]
fn passes_complete_events_and_tracks_the_last_id(piece: usize) {
    let mut tracker = EventTracker::default();
    let stream = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c";
    let passed = pass_all(&mut tracker, stream, piece);
    assert_eq!(passed, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(tracker.last_id(), Some("2"));
    tracker.broke();
    assert!(tracker.finish().is_empty(), "the next model server sends the third one whole");
}

#[test]
fn a_regular_end_passes_the_remaining_bytes() {
    let mut tracker = EventTracker::default();
    let mut passed = tracker.pass(b"id:9\r\ndata: x\r\n\r\ntail");
    passed.extend(tracker.finish());
    assert_eq!(passed, b"id:9\r\ndata: x\r\n\r\ntail");
    assert_eq!(tracker.last_id(), Some("9"));
}
