//! The versions of models in training.

use pathbank_control::training::TrainingState;
use pathbank_protocol::message::ModelVersions;
use pathbank_rollout::step::StepState;
use std::collections::BTreeMap;

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
