//! The models of a service as its configuration names them: what a model server holds by these figures, and whether one
//! more load fits. Placement plans by this, and an order is sent by it.

use crate::configuration::{Model, Runtime};
use pathbank_protocol::message::LoadedModel;
use std::collections::BTreeMap;

/// Why a load must not be ordered.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LoadObstacle {
    /// The configuration does not name the model, or does not give it that many adapters.
    #[error("the configuration does not name it")]
    NotConfigured,
    /// The model server holds a model that the configuration does not name (any more): nobody knows its size.
    #[error("the size of the resident model {0} is unknown")]
    UnconfiguredModel(String),
    /// The adapter's model is not resident.
    #[error("its model is not resident")]
    ModelMissing,
    /// The memory does not suffice.
    #[error("it needs {needed_mb} MB of {free_mb} MB")]
    OutOfMemory {
        /// The memory that the load needs, MB.
        needed_mb: f64,
        /// The memory that is free, MB.
        free_mb: f64,
    },
    /// The model server holds as many adapters as it may.
    #[error("{0} adapters are resident already")]
    AdapterLimit(usize),
}

/// What a model server holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Contents<'a> {
    /// The memory of the models that the configuration names, with their adapters, MB.
    pub configured_mb: f64,
    /// Models that the configuration does not name.
    pub unconfigured: Vec<&'a str>,
    /// All adapters.
    pub adapters: usize,
}

/// The models of a service by name, and the capacity of its model servers.
#[derive(Clone, Debug)]
pub struct ModelCatalog<'a> {
    runtime: &'a Runtime,
    models: BTreeMap<&'a str, &'a Model>,
}

impl<'a> ModelCatalog<'a> {
    /// The models of a service. Of several with one name the first counts.
    pub fn of(runtime: &'a Runtime) -> ModelCatalog<'a> {
        let mut models = BTreeMap::new();
        for model in &runtime.models {
            models.entry(model.name.as_str()).or_insert(model);
        }
        ModelCatalog { runtime, models }
    }

    /// A model by its name.
    pub fn model(&self, name: &str) -> Option<&'a Model> {
        self.models.get(name).copied()
    }

    /// The memory of a resident model with its adapters, MB. `None`: nobody knows its size.
    pub fn resident_mb(&self, loaded: &LoadedModel) -> Option<f64> {
        let model = self.model(&loaded.name)?;
        Some(model.weights_mb + loaded.adapters.len() as f64 * model.adapter_mb)
    }

    /// What a model server with these resident models holds.
    pub fn contents<'m>(&self, models: &'m [LoadedModel]) -> Contents<'m> {
        let mut contents = Contents { configured_mb: 0.0, unconfigured: Vec::new(), adapters: 0 };
        for loaded in models {
            contents.adapters += loaded.adapters.len();
            match self.resident_mb(loaded) {
                Some(size_mb) => contents.configured_mb += size_mb,
                None => contents.unconfigured.push(&loaded.name),
            }
        }
        contents
    }

    /// The memory that is free beside the models that the configuration names, MB.
    pub fn free_mb(&self, contents: &Contents) -> f64 {
        self.runtime.weights_mb - contents.configured_mb
    }

    /// Checks that a model server with these resident models may load a model, or an adapter of a resident one
    /// (`adapter` not empty).
    ///
    /// # Errors
    ///
    /// The configuration does not name it, or it does not fit, as far as is known.
    pub fn check_load(&self, models: &[LoadedModel], model: &str, adapter: &str) -> Result<(), LoadObstacle> {
        let wanted = self.model(model).ok_or(LoadObstacle::NotConfigured)?;
        let contents = self.contents(models);
        if let Some(unconfigured) = contents.unconfigured.first() {
            return Err(LoadObstacle::UnconfiguredModel((*unconfigured).to_owned()));
        }
        if adapter.is_empty() {
            return self.check_memory(&contents, wanted.weights_mb);
        }
        if !wanted.has_adapter(adapter) {
            return Err(LoadObstacle::NotConfigured);
        }
        if !models.iter().any(|loaded| loaded.name == model) {
            return Err(LoadObstacle::ModelMissing);
        }
        if contents.adapters >= self.runtime.max_adapters as usize {
            return Err(LoadObstacle::AdapterLimit(contents.adapters));
        }
        self.check_memory(&contents, wanted.adapter_mb)
    }

    fn check_memory(&self, contents: &Contents, needed_mb: f64) -> Result<(), LoadObstacle> {
        let free_mb = self.free_mb(contents);
        match needed_mb <= free_mb {
            true => Ok(()),
            false => Err(LoadObstacle::OutOfMemory { needed_mb, free_mb }),
        }
    }
}
