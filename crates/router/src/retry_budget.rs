//! How many requests this edge may send a second time, so that all edges together keep to a service's budget.
//!
//! The budget of all edges is `slack` and `ratio` for each request in a window. An edge takes its even part
//! of the slack as a store that fills over a window, and its own requests' part of the ratio.

use crate::Millis;
use std::collections::BTreeMap;

/// Of the slack and the ratio so much is used; the rest covers windows that lie across the store's filling.
const SLACK_USED: f64 = 0.4;
const RATIO_USED: f64 = 0.6;
/// A store holds, beside its part of the slack, this part of what the ratio allows for the requests of one
/// window: what goes with a model server that is lost comes all at once. In any window an edge thus sends at
/// most `RATIO_USED + RATIO_KEPT` of the ratio and twice `SLACK_USED` of its part of the slack a second time.
const RATIO_KEPT: f64 = 0.3;

/// The budget of all edges together.
#[derive(Clone, Copy, Debug)]
pub struct BudgetBounds {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends beyond that in a window.
    pub slack: f64,
    /// The window, milliseconds.
    pub window: Millis,
}

#[derive(Clone, Debug)]
struct Store {
    level: f64,
    filled: Millis,
    /// Requests of about one window, fading.
    recent: f64,
}

/// This edge's part of the budgets of all services.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    heads: u32,
    stores: BTreeMap<String, Store>,
}

impl RetryBudget {
    /// An empty store for each service; no head knows what was sent before it started.
    pub fn new(bounds: BudgetBounds) -> RetryBudget {
        RetryBudget { bounds, heads: u32::MAX, stores: BTreeMap::new() }
    }

    /// Edges that share the budget.
    pub fn set_heads(&mut self, heads: u32) {
        self.heads = heads.max(1);
    }

    /// A client's request for a service arrived.
    pub fn note_request(&mut self, now: Millis, backend: &str) {
        let earned = RATIO_USED * self.bounds.ratio;
        let (kept, part) = (RATIO_KEPT * self.bounds.ratio, self.slack_part());
        let store = self.store(now, backend);
        store.recent += 1.0;
        let most = part.max(1.0) + kept * store.recent;
        store.level = (store.level + earned).min(most.max(store.level));
    }

    /// Takes one second send out of the budget, if there is one.
    pub fn take(&mut self, now: Millis, backend: &str) -> bool {
        let store = self.store(now, backend);
        let allowed = store.level >= 1.0;
        if allowed {
            store.level -= 1.0;
        }
        allowed
    }

    fn slack_part(&self) -> f64 {
        SLACK_USED * self.bounds.slack / f64::from(self.heads)
    }

    fn store(&mut self, now: Millis, backend: &str) -> &mut Store {
        let (kept, part) = (RATIO_KEPT * self.bounds.ratio, self.slack_part());
        let window = self.bounds.window.max(1) as f64;
        let fresh = Store { level: 0.0, filled: now, recent: 0.0 };
        let store = self.stores.entry(backend.to_owned()).or_insert(fresh);
        let passed = now.saturating_sub(store.filled) as f64 / window;
        store.recent *= (-passed).exp();
        // What traffic earned is not kept beyond the traffic.
        store.level = (store.level + part * passed).min(part.max(1.0) + kept * store.recent);
        store.filled = now;
        store
    }
}
