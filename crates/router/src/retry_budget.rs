//! The retry budget: how many requests this edge may send again, so that all edges together keep to a
//! backend's limit.
//!
//! The limit over all edges in a window is `slack` and `ratio` for each request. An edge takes an equal share
//! of the slack as a token bucket that refills over a window, and the ratio for its own requests.

use crate::Millis;
use std::collections::BTreeMap;

/// The fractions of slack and ratio that are used; the rest covers windows that overlap two refills.
const SLACK_FRACTION: f64 = 0.4;
const RATIO_FRACTION: f64 = 0.6;
/// Beside the share of the slack, a bucket holds up to this fraction of what the ratio allows for the
/// requests of one window: the requests of a lost model server are retried all at once. In any window an edge
/// thus retries at most `RATIO_FRACTION + RATIO_BURST_FRACTION` of the ratio and twice `SLACK_FRACTION` of
/// its share of the slack.
const RATIO_BURST_FRACTION: f64 = 0.3;

/// The limits over all edges.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetLimits {
    /// Retries for each request.
    pub ratio: f64,
    /// Further retries in a window.
    pub slack: f64,
    /// The window, milliseconds.
    pub window: Millis,
}

#[derive(Clone, Debug)]
struct TokenBucket {
    level: f64,
    refilled_at: Millis,
    /// Requests of about one window: a decaying count.
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
    /// Buckets start empty: an edge does not know what was sent before it started.
    pub fn new(limits: RetryBudgetLimits) -> RetryBudget {
        RetryBudget { limits, edges: u32::MAX, buckets: BTreeMap::new() }
    }

    /// Sets the number of edges that share the budget.
    pub fn set_edges(&mut self, edges: u32) {
        self.edges = edges.max(1);
    }

    /// Records a client's request for a backend.
    pub fn record_request(&mut self, now: Millis, backend: &str) {
        let earned = RATIO_FRACTION * self.limits.ratio;
        let (burst, share) = (RATIO_BURST_FRACTION * self.limits.ratio, self.slack_share());
        let bucket = self.bucket(now, backend);
        bucket.recent += 1.0;
        let capacity = share.max(1.0) + burst * bucket.recent;
        bucket.level = (bucket.level + earned).min(capacity.max(bucket.level));
    }

    /// Spends one retry; returns whether the budget allows it.
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
        // Tokens earned by requests expire with the requests.
        bucket.level = (bucket.level + share * passed).min(share.max(1.0) + burst * bucket.recent);
        bucket.refilled_at = now;
        bucket
    }
}
