//! The states of workers, and rollouts of versions beside serving traffic.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_rollout::version_rollout::{
    LoadRateLimiter, RolloutLimits, WorkerAction, is_behind, max_duration_ms, plan,
};
use pathbank_rollout::worker::{REPORT_TTL_MS, Worker, WorkerReport, WorkerState};
use std::collections::BTreeMap;

const BOUNDS: RolloutLimits = RolloutLimits { min_serving: 7, max_loads_per_s: 2.0, drain_timeout_ms: 400 };

fn report(number: usize, loaded_version: Option<u64>, sequence: u64) -> WorkerReport {
    let (worker, zone) = (format!("w{number}"), "z".to_owned());
    WorkerReport { worker, zone, loaded_version, busy: false, sequence, active: 0, capacity: 8 }
}

fn workers(count: usize) -> BTreeMap<String, Worker> {
    let worker = |number| Worker::new(0, report(number, Some(1), 0));
    (0..count).map(|number| (format!("w{number}"), worker(number))).collect()
}

#[test]
fn a_worker_is_verified_by_its_own_report_only() {
    let mut worker = Worker::new(0, report(1, None, 0));
    assert_eq!(worker.state(), WorkerState::Serving);
    worker.observe_report(10, WorkerReport { busy: true, ..report(1, Some(4), 1) });
    assert_eq!(worker.state(), WorkerState::Serving, "an order is under way");
    worker.observe_report(20, report(1, Some(4), 1));
    assert_eq!(worker.state(), WorkerState::Verified(4));
    worker.observe_report(30, report(1, None, 2));
    assert_eq!(worker.state(), WorkerState::Serving, "it dropped the model");
}

#[test]
fn ignores_reports_from_before_an_order() {
    let mut worker = Worker::new(0, report(1, Some(4), 3));
    worker.drain(400);
    worker.load_ordered();
    // What it said before it took the order comes late.
    worker.observe_report(10, report(1, Some(4), 3));
    assert_eq!(worker.state(), WorkerState::Loading { sequence: 3 });
    worker.observe_report(900, report(1, Some(5), 4));
    assert_eq!(worker.state(), WorkerState::Verified(5));
    // And what it said of its orders before does not take that back.
    worker.observe_report(910, report(1, Some(4), 3));
    assert_eq!((worker.state(), worker.report.loaded_version), (WorkerState::Verified(5), Some(5)));
}

#[test]
fn a_rejected_order_restores_the_state() {
    let mut worker = Worker::new(0, report(1, Some(4), 3));
    worker.drain(400);
    worker.load_ordered();
    worker.order_failed();
    assert_eq!(worker.state(), WorkerState::Verified(4));
}

#[test]
fn an_old_report_does_not_verify() {
    let worker = Worker::new(1_000, report(1, Some(4), 0));
    assert!(worker.is_verified(1_000 + REPORT_TTL_MS - 1, 4));
    assert!(!worker.is_verified(1_000 + REPORT_TTL_MS, 4));
    assert!(!worker.is_verified(1_000, 5));
}

#[test]
fn min_serving_holds_in_every_wave() {
    let mut workers = workers(10);
    let mut load_limiter = LoadRateLimiter::default();
    for now in (0..20_000).step_by(50) {
        plan(now, &BOUNDS, &mut workers, &mut load_limiter, |worker| is_behind(worker, Some(2)));
        let serving = workers.values().filter(|worker| worker.serves()).count();
        assert!(serving >= BOUNDS.min_serving, "{serving} serve at {now}");
        // Loads take 800 ms.
        for (number, worker) in workers.values_mut().enumerate() {
            if matches!(worker.state(), WorkerState::Loading { .. }) && now % 800 == 0 {
                worker.observe_report(now, report(number, Some(2), 1));
            }
        }
    }
    assert!(workers.values().all(|worker| worker.report.loaded_version == Some(2)), "all have changed");
}

#[test]
fn loads_are_rate_limited() {
    let bounds = RolloutLimits { min_serving: 0, ..BOUNDS };
    let mut workers = workers(30);
    let mut load_limiter = LoadRateLimiter::default();
    let mut loads = Vec::new();
    for now in (0..10_000).step_by(50) {
        let moves = plan(now, &bounds, &mut workers, &mut load_limiter, |worker| is_behind(worker, Some(2)));
        loads.extend(moves.iter().filter(|next| matches!(next, WorkerAction::Load(_))).map(|_| now));
    }
    assert!((18..=20).contains(&loads.len()), "two a second: {loads:?}");
    assert!(loads.windows(2).all(|pair| pair[1] - pair[0] >= 450), "{loads:?}");
}

#[test]
fn a_high_load_rate_is_reached_with_rare_ticks() {
    let bounds = RolloutLimits { min_serving: 0, max_loads_per_s: 400.0, ..BOUNDS };
    let mut workers = workers(1_000);
    let mut load_limiter = LoadRateLimiter::default();
    let mut loads = 0;
    for now in (0..1_000).step_by(50) {
        let moves = plan(now, &bounds, &mut workers, &mut load_limiter, |worker| is_behind(worker, Some(2)));
        loads += moves.iter().filter(|next| matches!(next, WorkerAction::Load(_))).count();
    }
    assert!((380..=440).contains(&loads), "{loads} in a second");
}

#[test]
fn a_worker_loads_once_drained_or_at_the_drain_time_out() {
    let mut workers = workers(10);
    let mut load_limiter = LoadRateLimiter::default();
    let busy = WorkerReport { active: 3, ..report(0, Some(1), 0) };
    workers.get_mut("w0").unwrap().observe_report(0, busy);
    let mut moves_of = |now| {
        let only_w0 = |worker: &Worker| worker.report.worker == "w0" && is_behind(worker, Some(2));
        plan(now, &BOUNDS, &mut workers, &mut load_limiter, only_w0)
    };
    assert_eq!(moves_of(1_000), [WorkerAction::Drain("w0".into())]);
    assert_eq!(moves_of(1_300), []);
    assert_eq!(moves_of(1_400), [WorkerAction::Load("w0".into())]);
}

#[test]
fn max_duration_follows_the_store_or_the_waves() {
    assert_eq!(max_duration_ms(&BOUNDS, 10, 10, 800), 4_500 + 1_200, "by the store");
    let quick = RolloutLimits { max_loads_per_s: 100.0, ..BOUNDS };
    assert_eq!(max_duration_ms(&quick, 10, 10, 800), 4 * 1_200, "by waves of three");
    assert_eq!(max_duration_ms(&quick, 10, 0, 800), 1_200, "nobody has to load");
}

#[test]
fn a_zone_with_several_workers_keeps_one_that_serves() {
    // Given two workers in one zone and one in another, none of which has to stay for the floor.
    let bounds = RolloutLimits { min_serving: 0, max_loads_per_s: 100.0, drain_timeout_ms: 0 };
    let mut workers = workers(3);
    let alone = WorkerReport { zone: "other".into(), ..report(2, Some(1), 0) };
    workers.insert("w2".into(), Worker::new(0, alone));
    let mut load_limiter = LoadRateLimiter::default();
    let moves = plan(10, &bounds, &mut workers, &mut load_limiter, |worker| is_behind(worker, Some(2)));
    assert_eq!(moves, [WorkerAction::Drain("w0".into()), WorkerAction::Drain("w2".into())]);
}

#[test]
fn a_worker_without_the_model_needs_no_disruption_budget() {
    // Given a floor that all holders of the model are needed for.
    let bounds = RolloutLimits { min_serving: 2, max_loads_per_s: 100.0, drain_timeout_ms: 0 };
    let mut workers = workers(3);
    workers.insert("w2".into(), Worker::new(0, report(2, None, 0)));
    let mut load_limiter = LoadRateLimiter::default();
    let moves = plan(10, &bounds, &mut workers, &mut load_limiter, |worker| is_behind(worker, Some(2)));
    assert_eq!(moves, [WorkerAction::Drain("w2".into())]);
}
