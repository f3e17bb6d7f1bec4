//! When a model that no model server holds can be expected on one: by the leader's word of its loads, or by
//! what earlier ones took.

use crate::Millis;
use crate::prompt::ModelName;
use pathbank_control::estimate::{Estimate, Prior};
use pathbank_protocol::message::ExpectedModel;
use std::collections::BTreeMap;

/// From a request for a model that no model server holds until one does, beyond the load itself,
/// milliseconds.
const LOAD_OVERHEAD_MS: Prior = Prior { initial: 400.0, min: 20.0, max: 20_000.0 };
/// The same for an adapter of a model that a model server holds: it arrives within milliseconds.
const ADAPTER_LOAD_MS: Prior = Prior { initial: 150.0, min: 10.0, max: 10_000.0 };
/// A load of which the configuration tells nothing, milliseconds.
const DEFAULT_LOAD_MS: Millis = 900;
/// Word of a load's end comes so long after it, milliseconds.
const REPORT_DELAY_MS: Millis = 60;
/// A load that is overdue is expected within this, and no more after the longer time, milliseconds.
const OVERDUE_ETA_MS: Millis = 400;
const OVERDUE_RETENTION_MS: Millis = 3_000;

/// Loads under way, and how long misses took.
#[derive(Clone, Debug, Default)]
pub struct ModelEta {
    /// When each model should be on a model server, by service and model.
    expected: BTreeMap<(String, String), Millis>,
    model_overhead: Estimate,
    adapter: Estimate,
}

impl ModelEta {
    /// The leader told of loads.
    pub fn set_expected_models(&mut self, now: Millis, models: Vec<ExpectedModel>) {
        for model in models {
            let ready_at = now + Millis::from(model.ready_in_ms) + REPORT_DELAY_MS;
            let known = self.expected.entry((model.backend, model.model)).or_insert(ready_at);
            // Of several loads the first one counts, as long as it is not overdue.
            *known = if *known > now { ready_at.min(*known) } else { ready_at };
        }
    }

    /// A request that waited for what no model server held may go to one, so long after it came.
    pub fn observe_miss(
        &mut self,
        now: Millis,
        name: &ModelName,
        is_model_resident: bool,
        load_ms: Option<Millis>,
        waited: Millis,
    ) {
        if is_model_resident {
            return self.adapter.record(now, ADAPTER_LOAD_MS, waited as f64);
        }
        if !self.expected.keys().any(|(_, model)| *model == name.model) {
            let overhead = waited.saturating_sub(load_ms.unwrap_or(DEFAULT_LOAD_MS));
            self.model_overhead.record(now, LOAD_OVERHEAD_MS, (overhead as f64).max(LOAD_OVERHEAD_MS.min));
        }
    }

    /// How long it takes until what a request asks for is on a model server. `waited`: how long the request
    /// has waited. `is_model_resident`: a model server holds the model, but not its adapter.
    pub fn ready_in(
        &self,
        now: Millis,
        backend: &str,
        name: &ModelName,
        is_model_resident: bool,
        load_ms: Option<Millis>,
        waited: Millis,
    ) -> Millis {
        if is_model_resident {
            let expected = self.adapter.value(now, ADAPTER_LOAD_MS) as Millis;
            return expected.saturating_sub(waited).max(expected / 4);
        }
        if let Some(ready_at) = self.expected.get(&(backend.to_owned(), name.model.clone())) {
            return if *ready_at > now { ready_at - now } else { OVERDUE_ETA_MS };
        }
        let overhead = self.model_overhead.value(now, LOAD_OVERHEAD_MS) as Millis;
        let whole = load_ms.unwrap_or(DEFAULT_LOAD_MS) + overhead;
        whole.saturating_sub(waited).max(OVERDUE_ETA_MS)
    }

    /// Forgets loads that should be over for long.
    pub fn tidy(&mut self, now: Millis) {
        self.expected.retain(|_, ready_at| now < *ready_at + OVERDUE_RETENTION_MS);
    }
}
