//! Outlier detection: model servers that fail much more than the others, by the outcomes that all edges saw.
//!
//! An edge sends each model server few requests a minute and learns little of it. A model server that fails
//! every request at once but passes its health checks looks idle to each edge that has not used it. The
//! leader therefore adds up the outcomes of all edges. Edges take its result as a cost, not as an ejection:
//! with fewer requests the counts decay, and the model server is used again.

use crate::decay::decay;
use pathbank_coordination::types::Millis;
use pathbank_protocol::message::{ModelServer, ModelServerLoad};
use std::collections::BTreeMap;

/// The time constant of the counts, milliseconds.
const TIME_CONSTANT_MS: f64 = 3_000.0;
/// Successes that are assumed in addition to the counted ones, so that a single failure makes no outlier.
const PRIOR_SUCCESSES: f64 = 2.0;
/// The fraction of failed requests from which on a model server is an outlier.
const MIN_ERROR_FRACTION: f64 = 0.15;
/// The fraction of a service's model servers that may be outliers, the worst ones first. If most model
/// servers fail, the cause lies elsewhere.
const MAX_OUTLIER_FRACTION: f64 = 0.34;
/// Model servers with fewer outcomes are removed.
const MIN_OUTCOMES: f64 = 0.05;

/// Outcomes of one model server's requests, which decay from `updated_at` on.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    failed: f64,
    answered: f64,
    updated_at: Millis,
}

impl Outcomes {
    fn decayed(self, now: Millis) -> Outcomes {
        let factor = decay(self.updated_at, now, TIME_CONSTANT_MS);
        Outcomes { failed: self.failed * factor, answered: self.answered * factor, updated_at: now }
    }

    fn error_fraction(self) -> f64 {
        self.failed / (self.failed + self.answered + PRIOR_SUCCESSES)
    }
}

/// Recent outcomes of all edges' requests, by model server.
#[derive(Clone, Debug, Default)]
pub struct OutlierTable {
    by_server: BTreeMap<String, Outcomes>,
}

impl OutlierTable {
    /// Adds an edge's report of its outcomes.
    pub fn record(&mut self, now: Millis, loads: &[ModelServerLoad]) {
        for load in loads.iter().filter(|load| load.failed + load.answered > 0) {
            let known = self.by_server.entry(load.instance.clone()).or_default();
            *known = known.decayed(now);
            known.failed += f64::from(load.failed);
            known.answered += f64::from(load.answered);
        }
    }

    /// The outliers among the model servers in `ready`, each with its fraction of failed requests.
    pub fn outliers(&self, now: Millis, ready: &[ModelServer]) -> BTreeMap<String, f64> {
        let mut by_backend: BTreeMap<&str, Vec<(&str, f64)>> = BTreeMap::new();
        for server in ready {
            let outcomes = self.by_server.get(&server.instance).copied().unwrap_or_default();
            let servers = by_backend.entry(&server.backend).or_default();
            servers.push((&server.instance, outcomes.decayed(now).error_fraction()));
        }
        let mut outliers = BTreeMap::new();
        for servers in by_backend.into_values() {
            let max = (MAX_OUTLIER_FRACTION * servers.len() as f64).floor() as usize;
            let mut failing: Vec<(&str, f64)> =
                servers.into_iter().filter(|(_, errors)| *errors >= MIN_ERROR_FRACTION).collect();
            failing.sort_by(|(_, one), (_, other)| other.total_cmp(one));
            outliers.extend(failing.into_iter().take(max).map(|(name, errors)| (name.to_owned(), errors)));
        }
        outliers
    }

    /// Removes model servers whose outcomes have decayed.
    pub fn expire(&mut self, now: Millis) {
        self.by_server.retain(|_, outcomes| {
            let outcomes = outcomes.decayed(now);
            outcomes.failed + outcomes.answered >= MIN_OUTCOMES
        });
    }
}
