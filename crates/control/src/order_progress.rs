//! The progress of an order by its model server's report.
//!
//! A report may be some hundred milliseconds old. A report without an order in progress may thus be older
//! than the order; its `sequence` shows that. If an order is given again, the current state answers it.

use crate::order::{Operation, Order};
use pathbank_protocol::message::LoadedModel;

/// The models that a model server has loaded, and the number of orders that it has accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelServerContents {
    /// The loaded models with their adapters.
    pub models: Vec<LoadedModel>,
    /// Orders accepted since its start.
    pub sequence: u64,
    /// Whether an order is in progress.
    pub busy: bool,
}

/// The state of an order by a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Unknown: the report is older than the order.
    Stale,
    /// The order has not ended.
    InProgress,
    /// The order has ended, and had its effect.
    Done,
    /// The order has ended without its effect.
    Failed,
}

/// The state of an order that its model server accepted after `sequence` others.
pub fn progress(order: &Order, sequence: u64, report: &ModelServerContents) -> Progress {
    if report.sequence <= sequence {
        return Progress::Stale;
    }
    match (report.busy, is_satisfied(order, &report.models)) {
        (true, _) => Progress::InProgress,
        (false, true) => Progress::Done,
        (false, false) => Progress::Failed,
    }
}

/// Whether a model server already has the effect of an order: the model or adapter is loaded or not, as
/// ordered.
pub fn is_satisfied(order: &Order, models: &[LoadedModel]) -> bool {
    let loaded = models.iter().find(|loaded| loaded.name == order.model);
    let is_loaded = match order.adapter.as_str() {
        "" => loaded.is_some(),
        adapter => loaded.is_some_and(|loaded| loaded.adapters.iter().any(|name| name == adapter)),
    };
    is_loaded == (order.operation == Operation::Load)
}

/// The contents of a model server once an accepted order is done. `version`: the version of the weights that
/// a load brings.
pub fn contents_after(order: &Order, mut contents: ModelServerContents, version: u64) -> ModelServerContents {
    contents.sequence += 1;
    contents.busy = false;
    if is_satisfied(order, &contents.models) {
        return contents;
    }
    let adapter = order.adapter.clone();
    match (order.operation, adapter.is_empty()) {
        (Operation::Load, true) => {
            let name = order.model.clone();
            contents.models.push(LoadedModel { name, version, adapters: Vec::new() });
        }
        (Operation::Unload, true) => contents.models.retain(|loaded| loaded.name != order.model),
        (operation, false) => {
            let loaded = contents.models.iter_mut().find(|loaded| loaded.name == order.model);
            if let Some(loaded) = loaded {
                loaded.adapters.retain(|name| *name != adapter);
                loaded.adapters.extend((operation == Operation::Load).then_some(adapter));
            }
        }
    }
    contents
}
