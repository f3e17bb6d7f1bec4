//! Steps, results and workers as trainers and operators read them.

use pathbank_control::training::{TrainingState, state_name};
use pathbank_rollout::controller::{StepController, WaitReason};
use pathbank_rollout::step::{RemovalReason, RequestedVersion, RequestedWorkers, Step};
use pathbank_rollout::worker::{Worker, WorkerState};
use pathbank_rollout::{Millis, PromptId, StepNumber};
use serde_json::{Value, json};

fn reason_name(reason: RemovalReason) -> &'static str {
    match reason {
        RemovalReason::Lost => "gone",
        RemovalReason::VersionMismatch => "other_version",
        RemovalReason::UnknownVersion => "no_version",
        RemovalReason::Unresponsive => "silent",
    }
}

fn waits_text(waits: WaitReason) -> String {
    match waits {
        WaitReason::EarlierStep => "for an earlier step of the model".to_owned(),
        WaitReason::Workers { verified, known } => {
            format!("for workers: {verified} of {known} hold the version")
        }
        WaitReason::MinWorkers => "for workers: fewer than the floor are left".to_owned(),
        WaitReason::Generations => "for generations".to_owned(),
        WaitReason::EarlierGenerations => "for what an earlier leader may have begun".to_owned(),
        WaitReason::Trainer => "for the trainer: more prompts, or the seal".to_owned(),
    }
}

fn wanted_version(version: RequestedVersion) -> Value {
    match version {
        RequestedVersion::Newest => json!("newest"),
        RequestedVersion::Exactly(version) => json!(version),
    }
}

fn wanted_workers(workers: RequestedWorkers) -> Value {
    match workers {
        RequestedWorkers::All => json!("all"),
        RequestedWorkers::Count(count) => json!(count),
        RequestedWorkers::Permille(permille) => json!({ "share": f64::from(permille) / 1_000.0 }),
    }
}

/// A step. `waits`: why it does not advance; `None`: unknown, or it does.
pub fn step(state: &TrainingState, step: &Step, waits: Option<WaitReason>) -> Value {
    let left = step.members.iter().filter_map(|(worker, left)| Some((worker, (*left)?)));
    let left: Vec<Value> =
        left.map(|(worker, reason)| json!({ "worker": worker, "reason": reason_name(reason) })).collect();
    json!({
        "step": step.number,
        "key": step.request.key,
        "backend": step.request.backend,
        "model": step.request.model,
        "wanted_version": wanted_version(step.request.version),
        "wanted_workers": wanted_workers(step.request.workers),
        "floor": step.request.min_workers,
        "state": state_name(step.state()),
        "version": step.version,
        "epoch": step.epoch,
        "workers": step.active_workers().collect::<Vec<_>>(),
        "left": left,
        "submitted": step.counts.submitted,
        "counted": step.counts.counted,
        "discarded": step.counts.discarded,
        "lacking": step.counts.missing,
        "revision": state.last_changed(step.number),
        "waits": waits.map(waits_text),
    })
}

/// The generations of a step that count, behind a prompt.
pub fn results(state: &TrainingState, step: &Step, after: Option<PromptId>, most: usize) -> Value {
    let behind = |prompt: PromptId| after.is_none_or(|after| prompt > after);
    let counted = step.results.iter().filter(|(prompt, _)| behind(**prompt));
    let mut results: Vec<Value> = Vec::new();
    for (prompt, counted) in counted.take(most) {
        let output = state.output(step.number, *prompt);
        results.push(json!({
            "prompt": prompt,
            "worker": counted.worker,
            "version": counted.version,
            "epoch": step.epoch,
            "tokens": counted.tokens,
            "text": output.map(|output| output.text.as_str()),
            "truncated": output.is_some_and(|output| output.truncated),
        }));
    }
    json!({ "step": step.number, "state": state_name(step.state()), "results": results })
}

fn worker_state(worker: &Worker, now: Millis) -> Value {
    match worker.state() {
        WorkerState::Serving => json!({ "state": "serving" }),
        WorkerState::Draining { until } => {
            json!({ "state": "draining", "left_ms": until.saturating_sub(now) })
        }
        WorkerState::Loading { .. } => json!({ "state": "loading" }),
        WorkerState::Verified(version) => json!({ "state": "verified", "version": version }),
    }
}

/// Why a step stands where it does: each worker that the leader knows, those that left, and what was drawn
/// for again.
pub fn explain(
    state: &TrainingState,
    step: &Step,
    controller: Option<&StepController>,
    now: Millis,
    number: StepNumber,
) -> Value {
    let waits = controller.and_then(|controller| controller.wait_reason(now, state.step_table(), number));
    let mut view = self::step(state, step, waits);
    let is_current =
        state.step_table().current(&step.request.model).is_some_and(|step| step.number == number);
    let Some(controller) = controller.filter(|_| is_current) else { return view };
    let workers = controller.workers().iter().map(|(id, worker)| {
        json!({
            "worker": id,
            "zone": worker.report.zone,
            "in_step": step.has_worker(id),
            "at": worker_state(worker, now),
            "holds": worker.report.loaded_version,
            "active": worker.report.active,
            "capacity": worker.report.capacity,
            "busy": worker.report.busy,
            "heard_ms_ago": now.saturating_sub(worker.reported_at),
        })
    });
    let again =
        controller.redrawn_prompts().map(|(prompt, times)| json!({ "prompt": prompt, "times": times }));
    view["known_workers"] = workers.collect();
    view["drawn_again"] = again.collect();
    view["under_way"] = json!(controller.in_flight());
    view
}
