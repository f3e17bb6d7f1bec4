//! What training steps do with model servers while placement goes on around them.

use std::collections::{BTreeMap, BTreeSet};

/// Model servers that placement leaves alone, wholly or in part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrainingHold {
    /// Model servers that change the version of a model, and the model: nothing else is ordered there.
    pub changing: BTreeMap<String, String>,
    /// Models that model servers keep, by model server: they draw for a step.
    pub kept: BTreeMap<String, BTreeSet<String>>,
}

impl TrainingHold {
    /// Whether a model server may not be told to drop a model.
    pub fn keeps(&self, instance: &str, model: &str) -> bool {
        self.kept.get(instance).is_some_and(|models| models.contains(model))
    }
}
