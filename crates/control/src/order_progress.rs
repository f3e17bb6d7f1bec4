//! What became of an order, by what its model server says, and how long orders take.
//!
//! A model server's report tells how it stood some hundred milliseconds earlier: one that shows no order
//! under way may be older than the order. Its `sequence` tells. An order that is given again is answered by
//! how things stand now.

use crate::order::{Operation, Order};
use pathbank_protocol::message::LoadedModel;

/// What a model server holds, and how many orders it has taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelServerContents {
    /// Models with their adapters.
    pub models: Vec<LoadedModel>,
    /// Orders taken since its start.
    pub sequence: u64,
    /// An order is under way.
    pub busy: bool,
}

/// What a report says of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing: the report is older than the order.
    Stale,
    /// The order is under way.
    InProgress,
    /// What was ordered holds.
    Done,
    /// The order has ended, and what was ordered does not hold.
    Failed,
}

/// What a report says of an order that its model server took after `sequence` others.
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

/// Whether what an order asks for is so.
pub fn is_satisfied(order: &Order, models: &[LoadedModel]) -> bool {
    let held = models.iter().find(|held| held.name == order.model);
    let is_there = match order.adapter.as_str() {
        "" => held.is_some(),
        adapter => held.is_some_and(|held| held.adapters.iter().any(|name| name == adapter)),
    };
    is_there == (order.operation == Operation::Load)
}

/// What a model server holds once an order is done that it took. `version`: of the weights that a load brings
/// in.
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
        (Operation::Unload, true) => contents.models.retain(|held| held.name != order.model),
        (operation, false) => {
            let held = contents.models.iter_mut().find(|held| held.name == order.model);
            if let Some(held) = held {
                held.adapters.retain(|name| *name != adapter);
                held.adapters.extend((operation == Operation::Load).then_some(adapter));
            }
        }
    }
    contents
}
