//! Which workers drain and load next, beside serving.
//!
//! Workers change in waves: so many may be out of service at once that the rest bear the floor of serving, a zone with
//! several keeps one, and loads begin no faster than the weight store permits. A worker first gets nothing new; what it has ends, or is moved at
//! the end of a bound; then it loads.

use crate::worker::{Worker, WorkerState};
use crate::{Millis, Version, WorkerId};
use std::collections::BTreeMap;

/// What bounds a change of versions.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Workers that serve at any time.
    pub serving_floor: usize,
    /// Loads that may begin in a second, over all workers.
    pub loads_per_s: f64,
    /// What a worker has when it begins to drain ends within this, or is moved, milliseconds.
    pub drain_ms: Millis,
}

/// Loads that may follow each other at once: those of so many seconds, one at least.
const BURST_S: f64 = 0.1;

/// Loads that may still begin.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadAllowance {
    level: f64,
    filled: Option<Millis>,
}

impl LoadAllowance {
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
struct Spare {
    /// Above the floor of all.
    total: usize,
    /// Above the last one of each zone that has several.
    by_zone: BTreeMap<String, usize>,
}

impl Spare {
    fn count(bounds: &Bounds, workers: &BTreeMap<WorkerId, Worker>) -> Spare {
        let mut in_zone: BTreeMap<&str, usize> = BTreeMap::new();
        let mut serving: BTreeMap<String, usize> = BTreeMap::new();
        for worker in workers.values() {
            *in_zone.entry(&worker.report.zone).or_default() += 1;
            if worker.serves_model() {
                *serving.entry(worker.report.zone.clone()).or_default() += 1;
            }
        }
        let total = serving.values().sum::<usize>().saturating_sub(bounds.serving_floor);
        for (zone, count) in &mut serving {
            *count -= usize::from(in_zone.get(zone.as_str()).is_some_and(|all| *all > 1));
        }
        Spare { total, by_zone: serving }
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
pub enum Move {
    /// It gets nothing new.
    Drain(WorkerId),
    /// It is ordered to load the newest version.
    Load(WorkerId),
}

/// The moves to make now. `is_due`: whether a worker has to load.
pub fn plan(
    now: Millis,
    bounds: &Bounds,
    workers: &mut BTreeMap<WorkerId, Worker>,
    allowance: &mut LoadAllowance,
    is_due: impl Fn(&Worker) -> bool,
) -> Vec<Move> {
    let mut moves = Vec::new();
    let mut spare = Spare::count(bounds, workers);
    for (id, worker) in workers.iter_mut() {
        match worker.state() {
            WorkerState::Draining { until }
                if (worker.report.active == 0 || now >= until) && allowance.take(now, bounds.loads_per_s) =>
            {
                worker.ordered();
                moves.push(Move::Load(id.clone()));
            }
            WorkerState::Serving | WorkerState::Verified(_) if is_due(worker) && spare.take(worker) => {
                worker.drain(now + bounds.drain_ms);
                moves.push(Move::Drain(id.clone()));
            }
            _ => {}
        }
    }
    moves
}

/// The time within which so many of the workers can change, milliseconds: by the store's pace, or by waves in which each
/// worker drains and loads, whichever takes longer.
pub fn time_bound(bounds: &Bounds, workers: usize, due: usize, load_ms: Millis) -> Millis {
    let width = workers.saturating_sub(bounds.serving_floor).max(1);
    let waves = due.div_ceil(width) as Millis;
    let wave = bounds.drain_ms + load_ms;
    let by_store = (due.saturating_sub(1) as f64 / bounds.loads_per_s * 1_000.0) as Millis + wave;
    by_store.max(waves * wave)
}

/// Whether a worker holds another version than the wanted one. `None`: the newest is not known yet, so any is due.
pub fn is_behind(worker: &Worker, wanted: Option<Version>) -> bool {
    match (worker.report.holds, wanted) {
        (_, None) | (None, Some(_)) => true,
        (Some(holds), Some(wanted)) => holds < wanted,
    }
}
