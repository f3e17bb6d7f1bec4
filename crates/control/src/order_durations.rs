//! How long orders take, estimated from completed orders.

use crate::estimate::{Estimate, Prior};
use crate::order::OrderKind;
use pathbank_coordination::types::Millis;

/// The duration of a load from the weight store, as a multiple of the configured one.
const FETCH_FACTOR: Prior = Prior { initial: 1.0, min: 0.01, max: 4.0 };
/// The duration of a load from the machine's own disk, as a multiple of the configured one.
const RELOAD_FACTOR: Prior = Prior { initial: 0.3, min: 0.01, max: 4.0 };
/// The duration of an adapter's load, milliseconds.
const ADAPTER_MS: Prior = Prior { initial: 25.0, min: 2.0, max: 5_000.0 };
/// The duration of an unload of a model or adapter that is not in use, milliseconds.
const UNLOAD_MS: Prior = Prior { initial: 10.0, min: 2.0, max: 1_000.0 };
/// An order is first checked after this multiple of its estimated duration.
const FIRST_CHECK_FACTOR: f64 = 1.05;
/// An order that was done at the first check is assumed to have taken this fraction of the time until then.
const DONE_AT_FIRST_CHECK_FRACTION: f64 = 0.9;

/// The assumed duration of an order that was done at the first check, milliseconds after it was given.
pub fn duration_at_first_check(checked_ms: Millis) -> Millis {
    (DONE_AT_FIRST_CHECK_FRACTION * checked_ms as f64) as Millis
}

/// Estimated durations of orders, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderDurations {
    fetch: Estimate,
    reload: Estimate,
    adapter: Estimate,
    unload: Estimate,
}

impl OrderDurations {
    /// When an order should be checked first, milliseconds after it was given. `configured_ms` is the
    /// configured duration of a load.
    pub fn expected(&self, now: Millis, kind: OrderKind, configured_ms: Millis) -> Millis {
        let configured = configured_ms as f64;
        let expected = match kind {
            OrderKind::Fetch => configured * self.fetch.value(now, FETCH_FACTOR),
            OrderKind::Reload => configured * self.reload.value(now, RELOAD_FACTOR),
            OrderKind::Adapter => self.adapter.value(now, ADAPTER_MS),
            OrderKind::Unload => self.unload.value(now, UNLOAD_MS),
        };
        (FIRST_CHECK_FACTOR * expected).ceil() as Millis
    }

    /// The estimates: of loads as multiples of the configured duration, of adapters and unloads in
    /// milliseconds.
    pub fn estimates(&self, now: Millis) -> [(OrderKind, f64); 4] {
        [
            (OrderKind::Fetch, self.fetch.value(now, FETCH_FACTOR)),
            (OrderKind::Reload, self.reload.value(now, RELOAD_FACTOR)),
            (OrderKind::Adapter, self.adapter.value(now, ADAPTER_MS)),
            (OrderKind::Unload, self.unload.value(now, UNLOAD_MS)),
        ]
    }

    /// Adds an order that was done after `took_ms`.
    pub fn record(&mut self, now: Millis, kind: OrderKind, configured_ms: Millis, took_ms: Millis) {
        let (took, configured) = (took_ms as f64, configured_ms as f64);
        match kind {
            OrderKind::Fetch => self.fetch.record(now, FETCH_FACTOR, took / configured),
            OrderKind::Reload => self.reload.record(now, RELOAD_FACTOR, took / configured),
            OrderKind::Adapter => self.adapter.record(now, ADAPTER_MS, took),
            OrderKind::Unload => self.unload.record(now, UNLOAD_MS, took),
        }
    }
}
