//! Orders to model servers.

use crate::configuration::Runtime;
use crate::directory::Millis;
use pathbank_protocol::message::LoadedModel;

/// What a model server is ordered to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Load a model or adapter.
    Load,
    /// Unload a model or adapter.
    Unload,
}

/// What an order does, as far as its time goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// A model comes from the weight store.
    Fetch,
    /// A model comes from the model server's own disk.
    Reload,
    /// An adapter comes.
    Adapter,
    /// Something goes.
    Unload,
}

/// An order to a model server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub backend: String,
    /// The model server's incarnation.
    pub instance: String,
    /// Where it takes orders.
    pub address: String,
    /// What it is to do.
    pub operation: Operation,
    /// The model.
    pub model: String,
    /// The adapter; empty: the model itself.
    pub adapter: String,
    /// What it does, as far as its time goes.
    pub kind: OrderKind,
    /// What the configuration says of its time, milliseconds; 0: nothing.
    pub configured_ms: Millis,
    /// How long it should take, milliseconds.
    pub expected_ms: Millis,
    /// The model server's own report has to tell of its end: more has to be known than that it is done.
    pub report_only: bool,
}

impl Order {
    /// Whether a model server that holds `held` has room for what is to be loaded.
    pub fn fits(&self, runtime: &Runtime, held: &[LoadedModel]) -> bool {
        let model = |name: &str| runtime.models.iter().find(|model| model.name == name);
        let Some(wanted) = model(&self.model) else { return false };
        let mut used = 0.0;
        let mut adapters = 0;
        for loaded in held {
            // What the configuration does not know takes room that nobody can tell.
            let Some(known) = model(&loaded.name) else { return false };
            used += known.weights_mb + loaded.adapters.len() as f64 * known.adapter_mb;
            adapters += loaded.adapters.len();
        }
        match self.adapter.is_empty() {
            true => used + wanted.weights_mb <= runtime.weights_mb,
            false => {
                used + wanted.adapter_mb <= runtime.weights_mb && adapters < runtime.max_adapters as usize
            }
        }
    }
}
