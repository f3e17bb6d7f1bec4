//! Orders to model servers: loads and unloads of models and adapters.

use crate::configuration::Runtime;
use crate::model_catalog::{LoadObstacle, ModelCatalog};
use pathbank_coordination::types::Millis;
use pathbank_protocol::message::LoadedModel;

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
}

/// The kinds of orders, which differ in their durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Loads a model from the weight store.
    Fetch,
    /// Loads a model from the disk of the model server's machine.
    Reload,
    /// Loads an adapter.
    Adapter,
    /// Unloads a model or an adapter.
    Unload,
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub backend: String,
    /// The model server's incarnation.
    pub instance: String,
    /// The address at which the model server takes orders.
    pub address: String,
    /// Load or unload.
    pub operation: Operation,
    /// The model.
    pub model: String,
    /// The adapter; empty: the model itself.
    pub adapter: String,
    /// The kind, by which the duration is estimated.
    pub kind: OrderKind,
    /// The duration of the model's load by the configuration, milliseconds; 0: unknown.
    pub configured_ms: Millis,
    /// The estimated duration, milliseconds.
    pub expected_ms: Millis,
    /// Whether only the model server's own report can show the order's end, because more is needed from the
    /// report than that the order is done.
    pub report_only: bool,
}

impl Order {
    /// Checks that the order may be sent to a model server with these resident models. Only a load may not.
    ///
    /// # Errors
    ///
    /// The obstacle to the load.
    pub fn check(&self, runtime: &Runtime, models: &[LoadedModel]) -> Result<(), LoadObstacle> {
        match self.operation {
            Operation::Load => ModelCatalog::of(runtime).check_load(models, &self.model, &self.adapter),
            Operation::Unload => Ok(()),
        }
    }
}
