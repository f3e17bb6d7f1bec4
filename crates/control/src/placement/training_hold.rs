//! What training steps do with model servers while placement goes on around them.

use std::collections::{BTreeMap, BTreeSet};

/// Model servers that placement leaves alone, wholly or in part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrainingReservations {
    /// Model servers that change the version of a model, and the model: nothing else is ordered there.
    pub changing_version: BTreeMap<String, String>,
    /// Models that model servers keep, by model server: they draw for a step.
    pub pinned: BTreeMap<String, BTreeSet<String>>,
}

impl TrainingReservations {
    /// Whether a model server may not be told to drop a model.
    pub fn pins(&self, instance: &str, model: &str) -> bool {
        self.pinned.get(instance).is_some_and(|models| models.contains(model))
    }
}
