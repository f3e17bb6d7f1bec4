//! Which workers drain and load next, beside serving.
//!
//! Workers change in waves: so many may be out of service at once that the rest bear the floor of serving, a
//! zone with several keeps one, and loads begin no faster than the weight store permits. A worker first gets
//! nothing new; what it has ends, or is moved at the end of a bound; then it loads.

use crate::worker::{Worker, WorkerState};
use crate::{Millis, Version, WorkerId};
use std::collections::BTreeMap;

/// What bounds a change of versions.
#[derive(Clone, Copy, Debug)]
pub struct RolloutLimits {
    /// Workers that serve at any time.
    pub min_serving: usize,
    /// Loads that may begin in a second, over all workers.
    pub max_loads_per_s: f64,
    /// What a worker has when it begins to drain ends within this, or is moved, milliseconds.
    pub drain_timeout_ms: Millis,
}

/// Loads that may follow each other at once: those of so many seconds, one at least.
const BURST_S: f64 = 0.1;

/// Loads that may still begin.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadRateLimiter {
    level: f64,
    filled: Option<Millis>,
}

impl LoadRateLimiter {
    fn take(&mut self, now: Millis, per_s: f64) -> bool {
        let passed = now.saturating_sub(self.filled.unwrap_or(now)) as f64 / 1_000.0;
        let burst = (BURST_S * per_s).max(1.0);
        let fresh = if self.filled.is_none() { burst } else { 0.0 };
        self.level = (self.level + fresh + per_s * passed).min(burst);
        self.filled = Some(now);
        let may = self.level >= 1.0;
        if may {
            self.level -= 1.0;
        }
        may
    }
}

/// Workers that may still leave service.
struct DisruptionBudget {
    /// Above the floor of all.
    total: usize,
    /// Above the last one of each zone that has several.
    by_zone: BTreeMap<String, usize>,
}

impl DisruptionBudget {
    fn count(bounds: &RolloutLimits, workers: &BTreeMap<WorkerId, Worker>) -> DisruptionBudget {
        let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
        let mut serving: BTreeMap<String, usize> = BTreeMap::new();
        for worker in workers.values() {
            *in_zone.entry(&worker.report.zone).or_default() += 1;
            if worker.serves_model() {
                *serving.entry(worker.report.zone.clone()).or_default() += 1;
            }
        }
        let total = serving.values().sum::<usize>().saturating_sub(bounds.min_serving);
        for (zone, count) in &mut serving {
            *count -= usize::from(in_zone.get(zone.as_str()).is_some_and(|all| *all > 1));
        }
        DisruptionBudget { total, by_zone: serving }
    }

    /// Whether a worker may leave service; it counts as gone from then on.
    fn take(&mut self, worker: &Worker) -> bool {
        if !worker.serves_model() {
            return true;
        }
        let Some(in_zone) = self.by_zone.get_mut(&worker.report.zone) else { return false };
        let may = self.total > 0 && *in_zone > 0;
        if may {
            self.total -= 1;
            *in_zone -= 1;
        }
        may
    }
}

/// What is to be done with a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerAction {
    /// It gets nothing new.
    Drain(WorkerId),
    /// It is ordered to load the newest version.
    Load(WorkerId),
}

/// The moves to make now. `is_due`: whether a worker has to load.
pub fn plan(
    now: Millis,
    bounds: &RolloutLimits,
    workers: &mut BTreeMap<WorkerId, Worker>,
    load_limiter: &mut LoadRateLimiter,
    is_due: impl Fn(&Worker) -> bool,
) -> Vec<WorkerAction> {
    let mut moves = Vec::new();
    let mut budget = DisruptionBudget::count(bounds, workers);
    for (id, worker) in workers.iter_mut() {
        match worker.state() {
            WorkerState::Draining { until }
                if (worker.report.active == 0 || now >= until)
                    && load_limiter.take(now, bounds.max_loads_per_s) =>
            {
                worker.ordered();
                moves.push(WorkerAction::Load(id.clone()));
            }
            WorkerState::Serving | WorkerState::Verified(_) if is_due(worker) && budget.take(worker) => {
                worker.drain(now + bounds.drain_timeout_ms);
                moves.push(WorkerAction::Drain(id.clone()));
            }
            _ => {}
        }
    }
    moves
}

/// The time within which so many of the workers can change, milliseconds: by the store's pace, or by waves in
/// which each worker drains and loads, whichever takes longer.
pub fn max_duration_ms(bounds: &RolloutLimits, workers: usize, due: usize, load_ms: Millis) -> Millis {
    let width = workers.saturating_sub(bounds.min_serving).max(1);
    let waves = due.div_ceil(width) as Millis;
    let wave = bounds.drain_timeout_ms + load_ms;
    let by_store = (due.saturating_sub(1) as f64 / bounds.max_loads_per_s * 1_000.0) as Millis + wave;
    by_store.max(waves * wave)
}

/// Whether a worker holds another version than the wanted one. `None`: the newest is not known yet, so any is
/// due.
pub fn is_behind(worker: &Worker, wanted: Option<Version>) -> bool {
    match (worker.report.loaded_version, wanted) {
        (_, None) | (None, Some(_)) => true,
        (Some(loaded_version), Some(wanted)) => loaded_version < wanted,
    }
}
