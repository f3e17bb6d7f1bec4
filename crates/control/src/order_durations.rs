//! How long orders take, estimated from those that were seen to be done.

use crate::directory::Millis;
use crate::estimate::{Estimate, Prior};
use crate::order::OrderKind;

/// A load takes so many times what the configuration tells.
const LOAD_FACTOR: Prior = Prior { initial: 1.0, min: 0.01, max: 4.0 };
/// A load from the model server's own disk, the same.
const RELOAD_FACTOR: Prior = Prior { initial: 0.3, min: 0.01, max: 4.0 };
/// An adapter arrives within this, milliseconds.
const ADAPTER_MS: Prior = Prior { initial: 25.0, min: 2.0, max: 5_000.0 };
/// An unload of what nobody uses, milliseconds.
const UNLOAD_MS: Prior = Prior { initial: 10.0, min: 2.0, max: 1_000.0 };
/// An order is looked at when it should be done, and this part of that later.
const MARGIN: f64 = 1.05;
/// What was done at the first look may have been done this part earlier.
const EARLIER: f64 = 0.9;

/// How long an order may have taken that was done when it was looked at first, after so many milliseconds.
pub fn duration_at_first_check(looked_ms: Millis) -> Millis {
    (EARLIER * looked_ms as f64) as Millis
}

/// How long orders take, by what was seen of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderDurations {
    fetch: Estimate,
    reload: Estimate,
    adapter: Estimate,
    unload: Estimate,
}

impl OrderDurations {
    /// When an order should be done, milliseconds after it was given. `configured_ms`: what the configuration
    /// says of a load.
    pub fn expected(&self, now: Millis, kind: OrderKind, configured_ms: Millis) -> Millis {
        let told = configured_ms as f64;
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
    pub fn estimates(&self, now: Millis) -> [(OrderKind, f64); 4] {
        [
            (OrderKind::Fetch, self.fetch.value(now, LOAD_FACTOR)),
            (OrderKind::Reload, self.reload.value(now, RELOAD_FACTOR)),
            (OrderKind::Adapter, self.adapter.value(now, ADAPTER_MS)),
            (OrderKind::Unload, self.unload.value(now, UNLOAD_MS)),
        ]
    }

    /// An order was seen to be done after so many milliseconds.
    pub fn record(&mut self, now: Millis, kind: OrderKind, configured_ms: Millis, took_ms: Millis) {
        let (took, told) = (took_ms as f64, configured_ms as f64);
        match kind {
            OrderKind::Fetch => self.fetch.record(now, LOAD_FACTOR, took / told),
            OrderKind::Reload => self.reload.record(now, RELOAD_FACTOR, took / told),
            OrderKind::Adapter => self.adapter.record(now, ADAPTER_MS, took),
            OrderKind::Unload => self.unload.record(now, UNLOAD_MS, took),
        }
    }
}
