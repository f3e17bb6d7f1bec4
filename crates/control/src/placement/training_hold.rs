//! What training steps do with bricks while placement goes on around them.

use std::collections::{BTreeMap, BTreeSet};

/// Bricks that placement leaves alone, wholly or in part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrainingHold {
    /// Bricks that change the version of a model, and the model: nothing else is ordered there.
    pub changing: BTreeMap<String, String>,
    /// Models that bricks keep, by brick: they draw for a step.
    pub kept: BTreeMap<String, BTreeSet<String>>,
}

impl TrainingHold {
    /// Whether a brick may not be told to drop a model.
    pub fn keeps(&self, instance: &str, model: &str) -> bool {
        self.kept.get(instance).is_some_and(|models| models.contains(model))
    }
}
