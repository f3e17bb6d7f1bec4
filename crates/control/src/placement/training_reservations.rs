//! Model servers and models that training steps have reserved.

use std::collections::{BTreeMap, BTreeSet};

/// What placement must leave alone for training steps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrainingReservations {
    /// Model servers that change the version of a model, and that model: they get no orders.
    pub changing_version: BTreeMap<String, String>,
    /// Models that model servers keep because they generate for a step, by instance.
    pub pinned: BTreeMap<String, BTreeSet<String>>,
}

impl TrainingReservations {
    /// Whether a model must not be unloaded from a model server.
    pub fn pins(&self, instance: &str, model: &str) -> bool {
        self.pinned.get(instance).is_some_and(|models| models.contains(model))
    }
}
