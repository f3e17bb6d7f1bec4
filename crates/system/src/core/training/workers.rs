//! The workers of a step: which model servers take part, and the limits that the step controller keeps with them.

use crate::core::model_server_json::ReportJson;
use pathbank_control::configuration::Runtime;
use pathbank_control::state::ControlState;
use pathbank_control::training::workers::{self, Workers};
use pathbank_protocol::message::{LoadedModel, ModelServer};
use pathbank_rollout::Millis;
use pathbank_rollout::controller::Settings;
use pathbank_rollout::step::{Step, StepRequest};
use pathbank_rollout::version_rollout::RolloutLimits;
use pathbank_rollout::worker::WorkerReport;
use std::collections::BTreeSet;

/// A worker that drains may finish its requests for so long; then the order to unload waits for them.
const DRAIN_TIMEOUT_MS: Millis = 2_000;
/// An edge starts a generation within this after it asked for it, or not at all.
pub const START_TIMEOUT_MS: Millis = 500;
/// A request that was written arrives within this, or its connection breaks.
const MAX_NETWORK_DELAY_MS: Millis = 2_500;
/// By how much clocks may drift during a lease.
const MAX_LEASE_DRIFT_MS: Millis = 200;
/// A step with some verified workers waits for the others for so long.
const STRAGGLER_TIMEOUT_MS: Millis = 5_000;
/// A worker without a report for so long is removed from its step.
const WORKER_TIMEOUT_MS: Millis = 4_000;
/// One of so many slots of a worker is reserved for serving.
const SERVING_SLOTS_ONE_IN: u32 = 4;
/// The part of the weight store's load rate that steps may use.
const LOAD_RATE_FRACTION: f64 = 0.95;

/// The workers of a model's current step.
pub struct WorkerSelection {
    /// The service of the model.
    pub backend: String,
    /// Instance ids of the workers.
    pub chosen: BTreeSet<String>,
    /// Limits and time-outs of the step controller.
    pub settings: Settings,
}

/// What the selection before decided.
#[derive(Default)]
pub struct PreviousSelection {
    /// The workers.
    pub workers: BTreeSet<String>,
    /// Workers that change their version.
    pub changing: BTreeSet<String>,
}

impl WorkerSelection {
    /// Chooses the workers of a model's current step among `servers`, those of before first. `None`: there is no step,
    /// or the configuration does not have its backend.
    pub fn choose(
        state: &ControlState,
        model: &str,
        servers: &[ModelServer],
        previous: Option<PreviousSelection>,
    ) -> Option<WorkerSelection> {
        let step = state.training().step_table().current(model)?;
        let request: &StepRequest = &step.request;
        let backend = state.backends()?.iter().find(|known| known.name == request.backend)?;
        let runtime = backend.runtime.clone()?;
        // After a change of leaders a step's own members come first.
        let PreviousSelection { workers, changing } = previous.unwrap_or_else(|| members_of(step));
        let selected = workers::choose(request, &runtime, servers, &workers, &changing);
        let reserved_slots = reserved_slots(servers, &selected.chosen);
        let settings = settings(&runtime, &selected, reserved_slots, longest_generation(state, model));
        Some(WorkerSelection { backend: request.backend.clone(), chosen: selected.chosen, settings })
    }
}

fn members_of(step: &Step) -> PreviousSelection {
    PreviousSelection { workers: step.active_workers().cloned().collect(), changing: BTreeSet::new() }
}

fn reserved_slots(servers: &[ModelServer], workers: &BTreeSet<String>) -> u32 {
    let chosen = servers.iter().filter(|server| workers.contains(&server.instance));
    let capacity = chosen.map(|server| server.capacity).max().unwrap_or(0);
    capacity.div_ceil(SERVING_SLOTS_ONE_IN)
}

/// The longest time that a generation of a model's steps may take.
fn longest_generation(state: &ControlState, model: &str) -> Millis {
    let steps = state.training().step_table().steps().filter(|step| step.request.model == model);
    steps.map(|step| step.request.generation_ms).max().unwrap_or(0)
}

fn settings(runtime: &Runtime, workers: &Workers, reserved_slots: u32, generation_ms: Millis) -> Settings {
    Settings {
        version_rollout: RolloutLimits {
            min_serving: workers.serving_floor,
            max_loads_per_s: LOAD_RATE_FRACTION * runtime.loads_per_s,
            drain_timeout_ms: DRAIN_TIMEOUT_MS,
        },
        generation_ms,
        begin_timeout_ms: START_TIMEOUT_MS + MAX_NETWORK_DELAY_MS,
        lease_ms: MAX_LEASE_DRIFT_MS,
        reserved_slots,
        straggler_timeout_ms: STRAGGLER_TIMEOUT_MS,
        silence_timeout_ms: WORKER_TIMEOUT_MS,
    }
}

/// A model server's report as that of a worker of the model.
pub fn worker_report(server: &ModelServer, model: &str, report: &ReportJson) -> WorkerReport {
    let loaded: Option<LoadedModel> = report.models().find(|loaded| loaded.name == model);
    WorkerReport {
        worker: server.instance.clone(),
        zone: server.zone.clone(),
        loaded_version: loaded.map(|loaded| loaded.version),
        busy: report.busy,
        sequence: report.sequence,
        active: report.active + report.queued,
        capacity: server.capacity,
    }
}
