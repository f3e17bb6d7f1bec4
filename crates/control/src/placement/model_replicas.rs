//! The replicas of one service's models, counted for one pass of placement.

use super::replica_zones::ReplicaZones;
use super::training_reservations::TrainingReservations;
use pathbank_protocol::message::{LoadedModel, ModelServer};
use std::collections::{BTreeMap, BTreeSet};

/// A model as a model server has it loaded.
pub(super) fn loaded<'a>(server: &'a ModelServer, model: &str) -> Option<&'a LoadedModel> {
    server.models.iter().find(|loaded| loaded.name == model)
}

/// Whether a model server has an adapter of a model loaded.
pub(super) fn has_adapter(server: &ModelServer, model: &str, adapter: &str) -> bool {
    loaded(server, model).is_some_and(|loaded| loaded.adapters.iter().any(|name| name == adapter))
}

/// The number of adapters that a model server has loaded.
pub(super) fn adapter_count(server: &ModelServer) -> usize {
    server.models.iter().map(|loaded| loaded.adapters.len()).sum()
}

/// Where models and adapters are loaded.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelReplicas<'a> {
    /// Replicas of each model that serve, or will again once their version has changed.
    serving: BTreeMap<&'a str, usize>,
    /// The indices of all model servers that have a model loaded.
    positions: BTreeMap<&'a str, Vec<usize>>,
    /// Model servers with an adapter, by model and adapter.
    adapters: BTreeMap<(&'a str, &'a str), usize>,
    zones: ReplicaZones<'a>,
}

impl<'a> ModelReplicas<'a> {
    /// Counts what is loaded. Replicas on the model servers in `failing` do not count as serving.
    pub(super) fn count(
        servers: &[&'a ModelServer],
        failing: &BTreeSet<String>,
        training: &'a TrainingReservations,
    ) -> ModelReplicas<'a> {
        let mut replicas = ModelReplicas { zones: ReplicaZones::count(servers), ..ModelReplicas::default() };
        for (position, server) in servers.iter().enumerate() {
            for loaded in &server.models {
                replicas.positions.entry(&loaded.name).or_default().push(position);
                for adapter in &loaded.adapters {
                    *replicas.adapters.entry((&loaded.name, adapter)).or_default() += 1;
                }
            }
        }
        let serves = |position: &&usize| !failing.contains(&servers[**position].instance);
        let serving = |positions: &Vec<usize>| positions.iter().filter(serves).count();
        replicas.serving =
            replicas.positions.iter().map(|(name, positions)| (*name, serving(positions))).collect();
        // A model server that changes the version of a model will have it loaded again: it needs no
        // substitute.
        for server in servers {
            if let Some(model) = training.changing_version.get(&server.instance)
                && loaded(server, model).is_none()
            {
                *replicas.serving.entry(model).or_default() += 1;
            }
        }
        replicas
    }

    /// Replicas of a model that serve.
    pub(super) fn serving(&self, model: &str) -> usize {
        self.serving.get(model).copied().unwrap_or(0)
    }

    /// Records that a replica of a model is about to be unloaded, so that later choices do not count it.
    pub(super) fn remove_one(&mut self, model: &str) {
        if let Some(serving) = self.serving.get_mut(model) {
            *serving = serving.saturating_sub(1);
        }
    }

    /// The indices of the model servers that have a model loaded.
    pub(super) fn positions(&self, model: &str) -> impl Iterator<Item = usize> {
        self.positions.get(model).into_iter().flatten().copied()
    }

    /// Model servers that have an adapter loaded.
    pub(super) fn of_adapter(&self, model: &str, adapter: &str) -> usize {
        self.adapters.get(&(model, adapter)).copied().unwrap_or(0)
    }

    /// The replicas by zone.
    pub(super) fn zones(&self) -> &ReplicaZones<'a> {
        &self.zones
    }
}
