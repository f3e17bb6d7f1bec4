//! Orders that were planned and not sent.

use pathbank_control::model_catalog::LoadObstacle;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Why a planned order was not sent.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OrderDrop {
    /// The model server is gone, or the configuration has no models for its service any more.
    #[error("its model server or the models of its service are gone")]
    NoService,
    /// The model server's address is none.
    #[error("the model server's address cannot be parsed")]
    InvalidAddress,
    /// The model server did not tell its contents.
    #[error("the model server sent no report")]
    NoReport,
    /// Another order is in progress at the model server.
    #[error("the model server carries out another order")]
    Busy,
    /// The load does not fit what the model server holds.
    #[error(transparent)]
    Obstacle(#[from] LoadObstacle),
}

impl OrderDrop {
    /// The name under which it is counted.
    fn label(&self) -> &'static str {
        match self {
            OrderDrop::NoService => "no_service",
            OrderDrop::InvalidAddress => "invalid_address",
            OrderDrop::NoReport => "no_report",
            OrderDrop::Busy => "busy",
            OrderDrop::Obstacle(LoadObstacle::NotConfigured) => "not_configured",
            OrderDrop::Obstacle(LoadObstacle::UnconfiguredModel(_)) => "unconfigured_model",
            OrderDrop::Obstacle(LoadObstacle::ModelMissing) => "model_missing",
            OrderDrop::Obstacle(LoadObstacle::OutOfMemory { .. }) => "out_of_memory",
            OrderDrop::Obstacle(LoadObstacle::AdapterLimit(_)) => "adapter_limit",
        }
    }
}

/// How many planned orders were not sent since the start of the process, by cause.
#[derive(Debug, Default)]
pub struct DroppedOrders(BTreeMap<&'static str, u64>);

impl DroppedOrders {
    /// Counts an order that was not sent.
    pub fn record(&mut self, cause: &OrderDrop) {
        *self.0.entry(cause.label()).or_default() += 1;
    }

    /// The counts by cause, for operators.
    pub fn to_json(&self) -> Value {
        json!(self.0)
    }
}
