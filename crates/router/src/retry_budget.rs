//! How many requests this head may send a second time, so that all heads together keep to a service's budget.
//!
//! The budget of all heads is `slack` and `ratio` for each request in a window. A head takes its even part of the
//! slack as a store that fills over a window, and its own requests' part of the ratio.

use crate::Millis;
use std::collections::BTreeMap;

/// Of the slack and the ratio so much is used; the rest covers windows that lie across the store's filling.
const SLACK_USED: f64 = 0.4;
const RATIO_USED: f64 = 0.6;

/// The budget of all heads together.
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
}

/// This head's part of the budgets of all services.
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

    /// Heads that share the budget.
    pub fn set_heads(&mut self, heads: u32) {
        self.heads = heads.max(1);
    }

    /// A client's request for a service arrived.
    pub fn note_request(&mut self, now: Millis, backend: &str) {
        let ratio = RATIO_USED * self.bounds.ratio;
        let most = self.most(ratio);
        let store = self.store(now, backend);
        store.level = (store.level + ratio).min(most);
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

    fn most(&self, ratio: f64) -> f64 {
        self.slack_part().max(1.0) + ratio
    }

    fn store(&mut self, now: Millis, backend: &str) -> &mut Store {
        let part = self.slack_part();
        let most = self.most(0.0);
        let window = self.bounds.window.max(1) as f64;
        let store = self.stores.entry(backend.to_owned()).or_insert(Store { level: 0.0, filled: now });
        let passed = now.saturating_sub(store.filled) as f64;
        store.level = (store.level + part * passed / window).min(most.max(store.level));
        store.filled = now;
        store
    }
}
