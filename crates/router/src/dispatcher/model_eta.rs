//! Estimates when a model that is resident nowhere will be resident: from the leader's report of loads in
//! progress, or from the time that earlier loads took.

use crate::Millis;
use crate::prompt::ModelName;
use pathbank_control::estimate::{Estimate, Prior};
use pathbank_protocol::message::ExpectedModel;
use std::collections::BTreeMap;

/// Time from a request for a model that is resident nowhere until the model is resident, less the load time,
/// milliseconds.
const LOAD_OVERHEAD_MS: Prior = Prior { initial: 400.0, min: 20.0, max: 20_000.0 };
/// Time from a request for an adapter of a resident model until the adapter is resident, including its load,
/// which is short; milliseconds.
const ADAPTER_LOAD_MS: Prior = Prior { initial: 150.0, min: 10.0, max: 10_000.0 };
/// Load time of a model for which the configuration has none.
const DEFAULT_LOAD_MS: Millis = 900;
/// Delay between the end of a load and its report.
const REPORT_DELAY_MS: Millis = 60;
/// A load that has just become overdue is expected to end within this time.
const OVERDUE_ETA_MS: Millis = 400;
/// An overdue load is forgotten after this time.
const OVERDUE_RETENTION_MS: Millis = 3_000;

/// The loads in progress, and how long requests waited for earlier loads.
#[derive(Clone, Debug, Default)]
pub struct ModelEta {
    /// When each model should be resident, by backend and model.
    expected: BTreeMap<(String, String), Millis>,
    model_overhead: Estimate,
    adapter: Estimate,
}

impl ModelEta {
    /// Takes the leader's report of loads in progress.
    pub fn set_expected_models(&mut self, now: Millis, models: Vec<ExpectedModel>) {
        for model in models {
            let ready_at = now + Millis::from(model.ready_in_ms) + REPORT_DELAY_MS;
            let known = self.expected.entry((model.backend, model.model)).or_insert(ready_at);
            // The earliest of several loads counts, unless it is overdue.
            *known = if *known > now { ready_at.min(*known) } else { ready_at };
        }
    }

    /// Records that a request for a model that was not resident can be sent, `waited` milliseconds after it
    /// arrived.
    pub fn observe_miss(
        &mut self,
        now: Millis,
        name: &ModelName,
        lacks_adapter_only: bool,
        load_ms: Option<Millis>,
        waited: Millis,
    ) {
        if lacks_adapter_only {
            return self.adapter.record(now, ADAPTER_LOAD_MS, waited as f64);
        }
        if !self.expected.keys().any(|(_, model)| *model == name.model) {
            let overhead = waited.saturating_sub(load_ms.unwrap_or(DEFAULT_LOAD_MS));
            self.model_overhead.record(now, LOAD_OVERHEAD_MS, (overhead as f64).max(LOAD_OVERHEAD_MS.min));
        }
    }

    /// Time until the model of a request is resident, milliseconds. `waited`: how long the request has
    /// waited. `lacks_adapter_only`: the model is resident somewhere, without the adapter. A load is expected to
    /// take as long again as it is overdue, so that nobody waits to the end for one that does not come.
    pub fn ready_in(
        &self,
        now: Millis,
        backend: &str,
        name: &ModelName,
        lacks_adapter_only: bool,
        load_ms: Option<Millis>,
        waited: Millis,
    ) -> Millis {
        if lacks_adapter_only {
            let expected = self.adapter.value(now, ADAPTER_LOAD_MS) as Millis;
            return remaining(expected, waited, expected / 4);
        }
        if let Some(ready_at) = self.expected.get(&(backend.to_owned(), name.model.clone())) {
            return remaining(*ready_at, now, OVERDUE_ETA_MS);
        }
        let overhead = self.model_overhead.value(now, LOAD_OVERHEAD_MS) as Millis;
        let total = load_ms.unwrap_or(DEFAULT_LOAD_MS) + overhead;
        remaining(total, waited, OVERDUE_ETA_MS)
    }

    /// Removes loads that are long overdue.
    pub fn tidy(&mut self, now: Millis) {
        self.expected.retain(|_, ready_at| now < *ready_at + OVERDUE_RETENTION_MS);
    }
}

/// The time from `passed` until `expected`, or, where that has passed, as long as it is overdue; `least` at least.
fn remaining(expected: Millis, passed: Millis, least: Millis) -> Millis {
    expected.abs_diff(passed).max(least)
}
