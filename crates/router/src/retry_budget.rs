//! How many requests this edge may send a second time, so that all edges together keep to a service's budget.
//!
//! The budget of all edges is `slack` and `ratio` for each request in a window. An edge takes its even share
//! of the slack as a store that fills over a window, and its own requests' share of the ratio.

use crate::Millis;
use std::collections::BTreeMap;

/// Of the slack and the ratio so much is used; the rest covers windows that lie across the store's filling.
const SLACK_FRACTION: f64 = 0.4;
const RATIO_FRACTION: f64 = 0.6;
/// A store holds, beside its share of the slack, this share of what the ratio allows for the requests of one
/// window: what goes with a model server that is lost comes all at once. In any window an edge thus sends at
/// most `RATIO_FRACTION + RATIO_BURST_FRACTION` of the ratio and twice `SLACK_FRACTION` of its share of the
/// slack a second time.
const RATIO_BURST_FRACTION: f64 = 0.3;

/// The budget of all edges together.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetLimits {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends beyond that in a window.
    pub slack: f64,
    /// The window, milliseconds.
    pub window: Millis,
}

#[derive(Clone, Debug)]
struct TokenBucket {
    level: f64,
    refilled_at: Millis,
    /// Requests of about one window, fading.
    recent: f64,
}

/// This edge's share of the budgets of all services.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    edges: u32,
    buckets: BTreeMap<String, TokenBucket>,
}

impl RetryBudget {
    /// An empty bucket for each service; no head knows what was sent before it started.
    pub fn new(limits: RetryBudgetLimits) -> RetryBudget {
        RetryBudget { limits, edges: u32::MAX, buckets: BTreeMap::new() }
    }

    /// Edges that share the budget.
    pub fn set_edges(&mut self, edges: u32) {
        self.edges = edges.max(1);
    }

    /// A client's request for a service arrived.
    pub fn record_request(&mut self, now: Millis, backend: &str) {
        let earned = RATIO_FRACTION * self.limits.ratio;
        let (burst, share) = (RATIO_BURST_FRACTION * self.limits.ratio, self.slack_share());
        let bucket = self.bucket(now, backend);
        bucket.recent += 1.0;
        let capacity = share.max(1.0) + burst * bucket.recent;
        bucket.level = (bucket.level + earned).min(capacity.max(bucket.level));
    }

    /// Takes one second send out of the budget, if there is one.
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
        // What traffic earned is not burst beyond the traffic.
        bucket.level = (bucket.level + share * passed).min(share.max(1.0) + burst * bucket.recent);
        bucket.refilled_at = now;
        bucket
    }
}
