//! What the leader of control knows of training steps that are under way; it is lost with the leadership.

use pathbank_control::operator_calls::Reply;
use pathbank_control::placement::TrainingReservations;
use pathbank_control::training::TrainingState;
use pathbank_protocol::message::ModelVersions;
use pathbank_rollout::StepNumber;
use pathbank_rollout::controller::StepController;
use pathbank_rollout::step::StepState;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;

/// A worker that changes versions is asked for its report this often, milliseconds; one that does not, that
/// often.
pub const CHANGING_WORKER_POLL_INTERVAL_MS: u64 = 250;
pub const WORKER_POLL_INTERVAL_MS: u64 = 1_000;
/// Steps are looked at this often, milliseconds.
pub const TRAINING_INTERVAL_MS: u64 = 50;
/// An edge that was offered generations is offered more after this, milliseconds.
pub const MIN_OFFER_INTERVAL_MS: u64 = 100;
/// Generations that one edge is offered at once.
pub const MAX_OFFERED_GENERATIONS: usize = 16;
/// Who waits for a step to change is answered after this, milliseconds, whether it has or not.
pub const WATCH_TIMEOUT_MS: u64 = 2_000;

/// Which of the two orders that bring a worker to another version is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangePhase {
    /// It drops the version that it holds.
    Unloading,
    /// It loads the newest one.
    Loading,
}

/// The training of one model.
#[derive(Debug)]
pub struct ModelTraining {
    /// The service.
    pub backend: String,
    /// What decides.
    pub controller: StepController,
    /// Model servers that are workers.
    pub workers: BTreeSet<String>,
    /// Workers that get nothing new of the model, or load it.
    pub changing: BTreeMap<String, Option<ChangePhase>>,
    /// When each worker's report is asked for next.
    pub ask_at: BTreeMap<String, u64>,
}

impl ModelTraining {
    /// One that knows of no worker.
    pub fn new(backend: String, controller: StepController) -> ModelTraining {
        ModelTraining {
            backend,
            controller,
            workers: BTreeSet::new(),
            changing: BTreeMap::new(),
            ask_at: BTreeMap::new(),
        }
    }
}

/// Someone who waits for a step to change.
#[derive(Debug)]
pub struct Watcher {
    /// The step.
    pub step: StepNumber,
    /// The entry of the log that the caller has seen.
    pub seen: u64,
    /// The answer comes by then.
    pub until: u64,
    /// Where it goes.
    pub reply: oneshot::Sender<Reply>,
}

/// All training steps at this head.
#[derive(Debug, Default)]
pub struct Training {
    /// By model.
    pub models: BTreeMap<String, ModelTraining>,
    /// When steps are looked at next.
    pub look_at: u64,
    /// When each edge, by its name, may be offered generations again.
    pub offer_at: BTreeMap<String, u64>,
    /// Who waits for a step to change.
    pub watchers: Vec<Watcher>,
}

impl Training {
    /// What placement has to leave alone.
    pub fn hold(&self, state: &TrainingState) -> TrainingReservations {
        let mut hold = TrainingReservations::default();
        for (model, training) in &self.models {
            hold.changing_version
                .extend(training.changing.keys().map(|worker| (worker.clone(), model.clone())));
            let Some(step) = state.step_table().current(model) else { continue };
            // From the first order on what workers hold is for the step.
            let kept = if step.state() < StepState::Preparing { &BTreeSet::new() } else { &training.workers };
            for worker in kept {
                hold.pinned.entry(worker.clone()).or_default().insert(model.clone());
            }
        }
        hold
    }

    /// Watchers whose step has changed, or whose time is over.
    pub fn due_watchers(&mut self, now: u64, state: &TrainingState) -> Vec<Watcher> {
        let is_due = |watcher: &mut Watcher| {
            now >= watcher.until
                || state.last_changed(watcher.step) > watcher.seen
                || state.step_table().step(watcher.step).is_none()
        };
        self.watchers.extract_if(.., is_due).collect()
    }
}

/// The versions of models in training, as edges should know them.
pub fn model_versions(state: &TrainingState) -> Vec<ModelVersions> {
    let mut by_model: BTreeMap<&str, ModelVersions> = BTreeMap::new();
    for step in state.step_table().steps() {
        let versions = by_model.entry(&step.request.model).or_default();
        (versions.backend, versions.model) = (step.request.backend.clone(), step.request.model.clone());
        match step.state() {
            StepState::Sealed => versions.sealed = step.version,
            StepState::Open | StepState::Sealing => versions.open = step.version,
            StepState::Announced | StepState::Preparing | StepState::Aborted => {}
        }
    }
    by_model.into_values().collect()
}
