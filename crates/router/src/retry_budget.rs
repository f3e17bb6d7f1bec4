//! The retry budget: how many requests this edge may retry, so that all edges together keep to a backend's
//! limit.
//!
//! In a window, all edges together may retry `slack` requests plus `ratio` times the number of requests. Each
//! edge has a token bucket for each backend. An equal share of the slack refills the bucket over a window,
//! and each request of the edge adds `ratio` tokens.

use crate::Millis;
use std::collections::BTreeMap;

/// The fractions of slack and ratio that are used. The rest covers windows that overlap two refills.
const SLACK_FRACTION: f64 = 0.4;
const RATIO_FRACTION: f64 = 0.6;
/// Beside the share of the slack, a bucket holds up to this fraction of the retries that the ratio allows for
/// the requests of one window, because the requests of a lost model server are all retried at once. In any
/// window an edge thus retries at most `RATIO_FRACTION + RATIO_BURST_FRACTION` of the ratio and twice
/// `SLACK_FRACTION` of its share of the slack.
const RATIO_BURST_FRACTION: f64 = 0.3;

/// The limits for all edges together.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetLimits {
    /// The number of retries that each request allows.
    pub ratio: f64,
    /// The number of further retries in a window.
    pub slack: f64,
    /// The length of the window, milliseconds.
    pub window: Millis,
}

#[derive(Clone, Debug)]
struct TokenBucket {
    level: f64,
    refilled_at: Millis,
    /// The number of requests in about one window: a count that decays over time.
    recent: f64,
}

/// This edge's share of the retry budgets of all backends.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    edges: u32,
    buckets: BTreeMap<String, TokenBucket>,
}

impl RetryBudget {
    /// Creates a budget with empty buckets: the edge does not know the retries from before its start.
    pub fn new(limits: RetryBudgetLimits) -> RetryBudget {
        RetryBudget { limits, edges: u32::MAX, buckets: BTreeMap::new() }
    }

    /// Sets the number of edges that share the budget.
    pub fn set_edges(&mut self, edges: u32) {
        self.edges = edges.max(1);
    }

    /// Records a client's request for a backend, which adds tokens to the backend's bucket.
    pub fn record_request(&mut self, now: Millis, backend: &str) {
        let earned = RATIO_FRACTION * self.limits.ratio;
        let (burst, share) = (RATIO_BURST_FRACTION * self.limits.ratio, self.slack_share());
        let bucket = self.bucket(now, backend);
        bucket.recent += 1.0;
        let capacity = share.max(1.0) + burst * bucket.recent;
        bucket.level = (bucket.level + earned).min(capacity.max(bucket.level));
    }

    /// Spends a token for one retry. Returns whether the budget allows the retry.
    pub fn try_spend(&mut self, now: Millis, backend: &str) -> bool {
        let bucket = self.bucket(now, backend);
        let allowed = bucket.level >= 1.0;
        if allowed {
            bucket.level -= 1.0;
        }
        allowed
    }

    fn slack_share(&self) -> f64 {
        SLACK_FRACTION * self.limits.slack / f64::from(self.edges)
    }

    fn bucket(&mut self, now: Millis, backend: &str) -> &mut TokenBucket {
        let (burst, share) = (RATIO_BURST_FRACTION * self.limits.ratio, self.slack_share());
        let window = self.limits.window.max(1) as f64;
        let fresh = TokenBucket { level: 0.0, refilled_at: now, recent: 0.0 };
        let bucket = self.buckets.entry(backend.to_owned()).or_insert(fresh);
        let passed = now.saturating_sub(bucket.refilled_at) as f64 / window;
        bucket.recent *= (-passed).exp();
        // Tokens that requests added expire as the count of recent requests decays.
        bucket.level = (bucket.level + share * passed).min(share.max(1.0) + burst * bucket.recent);
        bucket.refilled_at = now;
        bucket
    }
}
