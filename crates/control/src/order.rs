//! Orders to model servers: loads and unloads of models and adapters.

use crate::configuration::Runtime;
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
    /// Whether a model server with the loaded models `models` has the memory for this load.
    pub fn fits(&self, runtime: &Runtime, models: &[LoadedModel]) -> bool {
        let model = |name: &str| runtime.models.iter().find(|model| model.name == name);
        let Some(wanted) = model(&self.model) else { return false };
        let mut used_mb = 0.0;
        let mut adapters = 0;
        for loaded in models {
            // The size of a model that is not in the configuration is unknown.
            let Some(known) = model(&loaded.name) else { return false };
            used_mb += known.weights_mb + loaded.adapters.len() as f64 * known.adapter_mb;
            adapters += loaded.adapters.len();
        }
        match self.adapter.is_empty() {
            true => used_mb + wanted.weights_mb <= runtime.weights_mb,
            false => {
                used_mb + wanted.adapter_mb <= runtime.weights_mb && adapters < runtime.max_adapters as usize
            }
        }
    }
}
