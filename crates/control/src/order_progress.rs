//! What became of an order, by what its model server says, and how long orders take.
//!
//! A model server's report tells how it stood some hundred milliseconds earlier: one that shows no order
//! under way may be older than the order. Its `sequence` tells. An order that is given again is answered by
//! how things stand now.

use crate::directory::Millis;
use crate::estimate::{Estimate, Prior};
use crate::placement::{Operation, Order};
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
    TooOld,
    /// The order is under way.
    UnderWay,
    /// What was ordered holds.
    Done,
    /// The order has ended, and what was ordered does not hold.
    Undone,
}

/// What a report says of an order that its model server took after `sequence` others.
pub fn judge(order: &Order, sequence: u64, report: &ModelServerContents) -> Progress {
    if report.sequence <= sequence {
        return Progress::TooOld;
    }
    match (report.busy, holds(order, &report.models)) {
        (true, _) => Progress::UnderWay,
        (false, true) => Progress::Done,
        (false, false) => Progress::Undone,
    }
}

/// Whether what an order asks for is so.
pub fn holds(order: &Order, models: &[LoadedModel]) -> bool {
    let held = models.iter().find(|held| held.name == order.model);
    let is_there = match order.adapter.as_str() {
        "" => held.is_some(),
        adapter => held.is_some_and(|held| held.adapters.iter().any(|name| name == adapter)),
    };
    is_there == (order.operation == Operation::Load)
}

/// What a model server holds once an order is done that it took. `version`: of the weights that a load brings
/// in.
pub fn after(order: &Order, mut contents: ModelServerContents, version: u64) -> ModelServerContents {
    contents.sequence += 1;
    contents.busy = false;
    if holds(order, &contents.models) {
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

/// A load takes so many times what the configuration tells.
const LOAD_FACTOR: Prior = Prior { start: 1.0, least: 0.01, most: 4.0 };
/// A load from the model server's own disk, the same.
const RELOAD_FACTOR: Prior = Prior { start: 0.3, least: 0.01, most: 4.0 };
/// An adapter arrives within this, milliseconds.
const ADAPTER_MS: Prior = Prior { start: 25.0, least: 2.0, most: 5_000.0 };
/// An unload of what nobody uses, milliseconds.
const UNLOAD_MS: Prior = Prior { start: 10.0, least: 2.0, most: 1_000.0 };
/// An order is looked at when it should be done, and this part of that later.
const MARGIN: f64 = 1.05;
/// What was done at the first look may have been done this part earlier.
const EARLIER: f64 = 0.9;

/// How long an order may have taken that was done when it was looked at first, after so many milliseconds.
pub fn earlier(looked_ms: Millis) -> Millis {
    (EARLIER * looked_ms as f64) as Millis
}

/// How long orders take, by what was seen of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderTimes {
    fetch: Estimate,
    reload: Estimate,
    adapter: Estimate,
    unload: Estimate,
}

impl OrderTimes {
    /// When an order should be done, milliseconds after it was given. `told_ms`: what the configuration says
    /// of a load.
    pub fn expected(&self, now: Millis, kind: OrderKind, told_ms: Millis) -> Millis {
        let told = told_ms as f64;
        let expected = match kind {
            OrderKind::Fetch => told * self.fetch.value(now, LOAD_FACTOR),
            OrderKind::Reload => told * self.reload.value(now, RELOAD_FACTOR),
            OrderKind::Adapter => self.adapter.value(now, ADAPTER_MS),
            OrderKind::Unload => self.unload.value(now, UNLOAD_MS),
        };
        (MARGIN * expected).ceil() as Millis
    }

    /// How long each kind of order takes: loads as so many times what the configuration tells, others in
    /// milliseconds.
    pub fn learned(&self, now: Millis) -> [(OrderKind, f64); 4] {
        [
            (OrderKind::Fetch, self.fetch.value(now, LOAD_FACTOR)),
            (OrderKind::Reload, self.reload.value(now, RELOAD_FACTOR)),
            (OrderKind::Adapter, self.adapter.value(now, ADAPTER_MS)),
            (OrderKind::Unload, self.unload.value(now, UNLOAD_MS)),
        ]
    }

    /// An order was seen to be done after so many milliseconds.
    pub fn note(&mut self, now: Millis, kind: OrderKind, told_ms: Millis, took_ms: Millis) {
        let (took, told) = (took_ms as f64, told_ms as f64);
        match kind {
            OrderKind::Fetch => self.fetch.note(now, LOAD_FACTOR, took / told),
            OrderKind::Reload => self.reload.note(now, RELOAD_FACTOR, took / told),
            OrderKind::Adapter => self.adapter.note(now, ADAPTER_MS, took),
            OrderKind::Unload => self.unload.note(now, UNLOAD_MS, took),
        }
    }
}
