//! The rollout of a version to workers that go on serving: which workers drain and load next.
//!
//! Workers change in waves: at least `min_serving` of them serve at any time, a zone with several workers keeps one that
//! serves, and loads start no faster than the weight store permits. A worker first drains: it gets no new requests, and
//! those that it has end, or are moved when the time-out is over. Then it loads.

use crate::worker::{Worker, WorkerState};
use crate::{Millis, Version, WorkerId};
use std::collections::BTreeMap;

/// Limits of a rollout.
#[derive(Clone, Copy, Debug)]
pub struct RolloutLimits {
    /// Workers that serve at any time.
    pub min_serving: usize,
    /// Loads that may start in a second, over all workers.
    pub max_loads_per_s: f64,
    /// Requests of a draining worker end within this time or are moved, milliseconds.
    pub drain_timeout_ms: Millis,
}

/// The burst of the token bucket, as seconds of its rate; one load at least.
const BURST_S: f64 = 0.1;

/// A token bucket for the loads that may start.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadRateLimiter {
    tokens: f64,
    refilled_at: Option<Millis>,
}

impl LoadRateLimiter {
    fn try_acquire(&mut self, now: Millis, per_s: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at.unwrap_or(now)) as f64 / 1_000.0;
        let burst = (BURST_S * per_s).max(1.0);
        let initial = if self.refilled_at.is_none() { burst } else { 0.0 };
        self.tokens = (self.tokens + initial + per_s * elapsed_s).min(burst);
        self.refilled_at = Some(now);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

/// Serving workers that may be taken out of service now.
struct DisruptionBudget {
    /// Beyond `min_serving`.
    total: usize,
    /// Beyond the last one of each zone that has several workers.
    by_zone: BTreeMap<String, usize>,
}

impl DisruptionBudget {
    fn new(limits: &RolloutLimits, workers: &BTreeMap<WorkerId, Worker>) -> DisruptionBudget {
        let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
        let mut serving: BTreeMap<String, usize> = BTreeMap::new();
        for worker in workers.values() {
            *in_zone.entry(&worker.report.zone).or_default() += 1;
            if worker.serves_model() {
                *serving.entry(worker.report.zone.clone()).or_default() += 1;
            }
        }
        let total = serving.values().sum::<usize>().saturating_sub(limits.min_serving);
        for (zone, count) in &mut serving {
            *count -= usize::from(in_zone.get(zone.as_str()).is_some_and(|all| *all > 1));
        }
        DisruptionBudget { total, by_zone: serving }
    }

    /// Whether a worker may be taken out of service; if so, the budget is reduced by it.
    fn try_take(&mut self, worker: &Worker) -> bool {
        if !worker.serves_model() {
            return true;
        }
        let Some(in_zone) = self.by_zone.get_mut(&worker.report.zone) else { return false };
        let is_allowed = self.total > 0 && *in_zone > 0;
        if is_allowed {
            self.total -= 1;
            *in_zone -= 1;
        }
        is_allowed
    }
}

/// The next step of a worker's rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAction {
    /// Send no more requests of the model to it.
    Drain(WorkerId),
    /// Order it to load the newest version.
    Load(WorkerId),
}

/// Plans what workers do now, and changes their states accordingly. `must_load`: whether a worker has to load.
pub fn plan(
    now: Millis,
    limits: &RolloutLimits,
    workers: &mut BTreeMap<WorkerId, Worker>,
    load_limiter: &mut LoadRateLimiter,
    must_load: impl Fn(&Worker) -> bool,
) -> Vec<WorkerAction> {
    let mut actions = Vec::new();
    let mut budget = DisruptionBudget::new(limits, workers);
    for (id, worker) in workers.iter_mut() {
        match worker.state() {
            WorkerState::Draining { until }
                if (worker.report.active == 0 || now >= until)
                    && load_limiter.try_acquire(now, limits.max_loads_per_s) =>
            {
                worker.load_ordered();
                actions.push(WorkerAction::Load(id.clone()));
            }
            WorkerState::Serving | WorkerState::Verified(_)
                if must_load(worker) && budget.try_take(worker) =>
            {
                worker.drain(now + limits.drain_timeout_ms);
                actions.push(WorkerAction::Drain(id.clone()));
            }
            _ => {}
        }
    }
    actions
}

/// The time within which `due` of the workers can load, milliseconds: by the store's rate, or by waves in which each worker
/// drains and loads, whichever takes longer.
pub fn max_duration_ms(limits: &RolloutLimits, workers: usize, due: usize, load_ms: Millis) -> Millis {
    let wave_size = workers.saturating_sub(limits.min_serving).max(1);
    let waves = due.div_ceil(wave_size) as Millis;
    let wave_ms = limits.drain_timeout_ms + load_ms;
    let by_store = (due.saturating_sub(1) as f64 / limits.max_loads_per_s * 1_000.0) as Millis + wave_ms;
    by_store.max(waves * wave_ms)
}

/// Whether a worker has to load to reach the wanted version. `None`: the newest version is not known yet, so every worker
/// has to.
pub fn is_behind(worker: &Worker, wanted: Option<Version>) -> bool {
    match (worker.report.loaded_version, wanted) {
        (_, None) | (None, Some(_)) => true,
        (Some(loaded), Some(wanted)) => loaded < wanted,
    }
}
