//! The demand for one service's models, summed for one pass of placement.

use crate::demand::{DemandTable, ModelKey};
use pathbank_coordination::types::Millis;
use std::collections::BTreeMap;

/// The rate that each waiting request adds, requests a second.
const WAITING_WEIGHT: f64 = 0.3;

/// Model server time that the demand for a model takes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ModelLoad {
    /// Prefill time, milliseconds a second.
    pub(super) prefill_ms_per_s: f64,
    /// Slot time, milliseconds a second.
    pub(super) slot_time_ms_per_s: f64,
}

impl ModelLoad {
    /// Adds the demand for a key: its mean times per request, at a rate of `requests_per_s`.
    fn add(&mut self, now: Millis, demand: &DemandTable, key: &ModelKey, requests_per_s: f64) {
        let mean = demand.mean_requests_per_s(now, key);
        if mean > 0.0 {
            let rise = requests_per_s / mean;
            self.prefill_ms_per_s += rise * demand.prefill_ms_per_s(now, key);
            self.slot_time_ms_per_s += rise * demand.slot_time_ms_per_s(now, key);
        }
    }
}

/// Rates in requests a second, in which waiting requests count too.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandRates {
    by_key: BTreeMap<ModelKey, f64>,
    /// All requests for a model, with and without adapters.
    by_model: BTreeMap<String, f64>,
    /// Requests for a model with any adapter.
    with_adapter: BTreeMap<String, f64>,
    loads: BTreeMap<String, ModelLoad>,
    /// The shortest latency objective of each model's requests, milliseconds.
    objectives_ms: BTreeMap<String, u32>,
}

impl DemandRates {
    /// The demand for the models of `backend`.
    pub(super) fn of(now: Millis, demand: &DemandTable, backend: &str) -> DemandRates {
        let mut rates = DemandRates::default();
        for key in demand.keys().filter(|key| key.backend == backend) {
            let waiting = WAITING_WEIGHT * demand.waiting(now, key);
            let requests_per_s = demand.requests_per_s(now, key);
            let rate = requests_per_s + waiting;
            *rates.by_model.entry(key.model.clone()).or_default() += rate;
            if !key.adapter.is_empty() {
                *rates.with_adapter.entry(key.model.clone()).or_default() += rate;
            }
            rates.by_key.insert(key.clone(), rate);
            rates.loads.entry(key.model.clone()).or_default().add(now, demand, key, requests_per_s);
            if let Some(objective) = demand.objective_ms(key) {
                let shortest = rates.objectives_ms.entry(key.model.clone()).or_insert(objective);
                *shortest = objective.min(*shortest);
            }
        }
        rates
    }

    /// All keys with demand.
    pub(super) fn keys(&self) -> impl Iterator<Item = &ModelKey> {
        self.by_key.keys()
    }

    /// The rate of one key.
    pub(super) fn of_key(&self, key: &ModelKey) -> f64 {
        self.by_key.get(key).copied().unwrap_or(0.0)
    }

    /// The rate of a model with all its adapters.
    pub(super) fn of_model(&self, model: &str) -> f64 {
        self.by_model.get(model).copied().unwrap_or(0.0)
    }

    /// The rate of requests for a model with any adapter.
    pub(super) fn with_adapter(&self, model: &str) -> f64 {
        self.with_adapter.get(model).copied().unwrap_or(0.0)
    }

    /// Model server time that the demand for a model takes.
    pub(super) fn load(&self, model: &str) -> ModelLoad {
        self.loads.get(model).copied().unwrap_or_default()
    }

    /// The shortest latency objective of a model's requests, milliseconds.
    pub(super) fn objective_ms(&self, model: &str) -> Option<u32> {
        self.objectives_ms.get(model).copied()
    }
}
