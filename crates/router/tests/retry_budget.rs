//! Tests of the retry budgets of all edges together.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_router::retry_budget::{RetryBudget, RetryBudgetLimits};
use test_case::test_case;

const LIMITS: RetryBudgetLimits = RetryBudgetLimits { ratio: 0.2, slack: 56.0, window: 10_000 };

/// All edges retry as much and as early as their budgets allow. Some edges restart in between.
#[test_case(1, 10; "one edge")]
#[test_case(8, 40; "eight edges")]
#[test_case(82, 400; "eighty-two edges")]
fn all_edges_together_keep_to_the_budget_in_any_window(edges: u32, requests_per_s: u64) {
    let fresh = || {
        let mut budget = RetryBudget::new(LIMITS);
        budget.set_edges(edges);
        budget
    };
    let mut budgets: Vec<RetryBudget> = (0..edges).map(|_| fresh()).collect();
    let mut random = fastrand::Rng::with_seed(u64::from(edges));
    let mut retries: Vec<u64> = Vec::new();
    for now in (0..60_000).step_by(10) {
        // Requests stop for a while: tokens that were saved by then must not add to the later ones.
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
                retries.push(now);
            }
        }
    }
    for start in (0..50_000).step_by(500) {
        let window = |time: &&u64| **time >= start && **time < start + LIMITS.window;
        let busiest = requests_per_s * LIMITS.window / 1_000;
        let permitted = LIMITS.ratio * busiest as f64 + LIMITS.slack;
        let count = retries.iter().filter(window).count();
        assert!(count as f64 <= permitted, "{count} of {permitted} from {start}");
    }
    assert!(!retries.is_empty());
}

/// Edges save tokens for a while and then retry as much as their budgets allow, as they do when model servers
/// are lost.
#[test_case(1, 10; "one edge")]
#[test_case(8, 40; "eight edges")]
#[test_case(82, 400; "eighty-two edges")]
fn saved_tokens_keep_to_the_budget(edges: u32, requests_per_s: u64) {
    let mut random = fastrand::Rng::with_seed(9);
    let mut budgets: Vec<RetryBudget> = (0..edges).map(|_| RetryBudget::new(LIMITS)).collect();
    budgets.iter_mut().for_each(|budget| budget.set_edges(edges));
    let mut retries: Vec<u64> = Vec::new();
    for now in (0..60_000).step_by(10) {
        for _ in 0..requests_per_s / 100 + u64::from(now % 100 == 0) {
            budgets[random.usize(0..edges as usize)].record_request(now, "s");
        }
        let spends = now % 25_000 >= 15_000;
        for budget in budgets.iter_mut().filter(|_| spends) {
            while budget.try_spend(now, "s") {
                retries.push(now);
            }
        }
    }
    for start in (0..50_000).step_by(500) {
        let window = |time: &&u64| **time >= start && **time < start + LIMITS.window;
        let permitted = LIMITS.ratio * (requests_per_s * LIMITS.window / 1_000) as f64 + LIMITS.slack;
        let count = retries.iter().filter(window).count();
        assert!(count as f64 <= permitted, "{count} of {permitted} from {start}");
    }
}

#[test]
fn one_of_many_edges_may_retry_several_requests_at_once() {
    // One edge of eighty-two receives five requests a second.
    let mut budget = RetryBudget::new(LIMITS);
    budget.set_edges(82);
    (0..20_000).step_by(200).for_each(|now| budget.record_request(now, "s"));
    // When a model server is lost, the edge may retry a few requests at once, but not any number.
    let at_once = (0..100).take_while(|_| budget.try_spend(20_000, "s")).count();
    assert!((3..=6).contains(&at_once), "{at_once}");
    // Tokens that requests added expire when the requests stop.
    (20_000..40_000).step_by(200).for_each(|now| budget.record_request(now, "s"));
    let much_later = (0..100).take_while(|_| budget.try_spend(200_000, "s")).count();
    assert!(much_later <= 1, "{much_later}");
}

#[test]
fn an_edge_that_does_not_know_the_number_of_edges_retries_nothing() {
    let mut budget = RetryBudget::new(LIMITS);
    budget.record_request(0, "s");
    assert!(!budget.try_spend(0, "s"));
}
