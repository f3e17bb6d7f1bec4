//! Estimates when a model that is resident nowhere will be resident: from the leader's report of loads in
//! progress, or from the time that earlier loads took.

use super::Offer;
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
/// For how long a missing model is remembered without requests for it: clients come back as late as they were
/// told.
const MISSING_RETENTION_MS: Millis = 15_000;

/// A model or an adapter that requests found resident nowhere.
#[derive(Clone, Copy, Debug)]
struct MissingModel {
    /// When a request first found it missing.
    since: Millis,
    /// When the last request was told how long it has to wait.
    asked_at: Millis,
}

/// The loads in progress, and how long requests waited for earlier loads.
#[derive(Clone, Debug, Default)]
pub struct ModelEta {
    /// By backend, and by model or adapter.
    missing: BTreeMap<(String, ModelName), MissingModel>,
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

    /// Records that a request finds its model resident nowhere, or only without the adapter. The load counts from
    /// the first such request on, also for clients that come back later.
    pub fn note_missing(&mut self, now: Millis, offer: &Offer, lacks_adapter_only: bool) {
        let fresh = MissingModel { since: now, asked_at: now };
        let missing = self.missing.entry(key(offer, lacks_adapter_only)).or_insert(fresh);
        missing.asked_at = now;
    }

    /// Forgets that the model of a request was missing: it is resident.
    pub fn forget_missing(&mut self, offer: &Offer) {
        self.missing.remove(&key(offer, false));
        self.missing.remove(&key(offer, true));
    }

    /// Records that the model that a request waited for is resident now.
    pub fn observe_resident(&mut self, now: Millis, offer: &Offer, lacked_adapter_only: bool) {
        let missing = self.missing.get(&key(offer, lacked_adapter_only)).copied();
        self.forget_missing(offer);
        let waited = now.saturating_sub(missing.map_or(offer.arrived, |missing| missing.since));
        if lacked_adapter_only {
            return self.adapter.record(now, ADAPTER_LOAD_MS, waited as f64);
        }
        if !self.expected.keys().any(|(_, model)| *model == offer.name.model) {
            let overhead = waited.saturating_sub(offer.load_ms.unwrap_or(DEFAULT_LOAD_MS));
            self.model_overhead.record(now, LOAD_OVERHEAD_MS, (overhead as f64).max(LOAD_OVERHEAD_MS.min));
        }
    }

    /// Time until the model of a request is resident, milliseconds. `lacks_adapter_only`: the model is resident
    /// somewhere, without the adapter. A load is expected to take as long again as it is overdue, so that nobody
    /// waits to the end for one that does not come.
    pub fn ready_in(&self, now: Millis, offer: &Offer, lacks_adapter_only: bool) -> Millis {
        let missing = self.missing.get(&key(offer, lacks_adapter_only));
        let waited = missing.map_or(0, |missing| now.saturating_sub(missing.since));
        if lacks_adapter_only {
            let expected = self.adapter.value(now, ADAPTER_LOAD_MS) as Millis;
            return remaining(expected, waited, expected / 4);
        }
        if let Some(ready_at) = self.expected.get(&(offer.backend.clone(), offer.name.model.clone())) {
            return remaining(*ready_at, now, OVERDUE_ETA_MS);
        }
        let overhead = self.model_overhead.value(now, LOAD_OVERHEAD_MS) as Millis;
        let total = offer.load_ms.unwrap_or(DEFAULT_LOAD_MS) + overhead;
        remaining(total, waited, OVERDUE_ETA_MS)
    }

    /// Removes loads that are long overdue, and missing models for which nobody asks any more.
    pub fn tidy(&mut self, now: Millis) {
        self.missing.retain(|_, missing| now < missing.asked_at + MISSING_RETENTION_MS);
        self.expected.retain(|_, ready_at| now < *ready_at + OVERDUE_RETENTION_MS);
    }
}

/// The time from `passed` until `expected`, or, where that has passed, as long as it is overdue; `least` at least.
fn remaining(expected: Millis, passed: Millis, least: Millis) -> Millis {
    expected.abs_diff(passed).max(least)
}

/// Names what a request lacks: the adapter alone, or its model, whatever the adapter.
fn key(offer: &Offer, lacks_adapter_only: bool) -> (String, ModelName) {
    let model = offer.name.model.clone();
    let adapter = if lacks_adapter_only { offer.name.adapter.clone() } else { String::new() };
    (offer.backend.clone(), ModelName { model, adapter })
}
