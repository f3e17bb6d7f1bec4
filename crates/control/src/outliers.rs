//! Model servers that fail more than others, by what all heads together saw.
//!
//! A head meets a model server a few times in a minute and learns little of it; a model server that fails at
//! once, and says that it is well, looks idle to each head that has not met it. The leader therefore adds up
//! how requests ended. What it tells is a hint that makes a model server dear, never a verdict that shuts it
//! out: as requests stay away the counts fade, and it is tried again.

use crate::directory::Millis;
use pathbank_protocol::message::{ModelServer, ModelServerLoad};
use std::collections::BTreeMap;

/// The memory of the counts, milliseconds.
const SPAN: f64 = 3_000.0;
/// Successes that a model server is taken to have had beside those counted: one failure alone says little.
const PRIOR_SUCCESSES: f64 = 2.0;
/// A model server that fails less than this part is told as sound.
const LEAST_ERRORS: f64 = 0.15;
/// At most this part of a service's model servers is told as failing, the worst of them: where most fail, the
/// cause is another.
const MOST_OUTLIERS: f64 = 0.34;
/// Counts below this are forgotten.
const FORGET_BELOW: f64 = 0.05;

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    failed: f64,
    answered: f64,
    at: Millis,
}

impl Outcomes {
    fn at(self, now: Millis) -> Outcomes {
        let faded = (-(now.saturating_sub(self.at) as f64) / SPAN).exp();
        Outcomes { failed: self.failed * faded, answered: self.answered * faded, at: now }
    }

    fn error_part(self) -> f64 {
        self.failed / (self.failed + self.answered + PRIOR_SUCCESSES)
    }
}

/// How requests of all heads ended at each model server lately.
#[derive(Clone, Debug, Default)]
pub struct OutlierTable {
    by_server: BTreeMap<String, Outcomes>,
}

impl OutlierTable {
    /// An edge's report of how requests ended.
    pub fn record(&mut self, now: Millis, loads: &[ModelServerLoad]) {
        for load in loads.iter().filter(|load| load.failed + load.answered > 0) {
            let known = self.by_server.entry(load.instance.clone()).or_default();
            *known = known.at(now);
            known.failed += f64::from(load.failed);
            known.answered += f64::from(load.answered);
        }
    }

    /// The model servers that fail much, each with the part of requests that failed there; `ready`: the model
    /// servers that take requests.
    pub fn outliers(&self, now: Millis, ready: &[ModelServer]) -> BTreeMap<String, f64> {
        let mut by_backend: BTreeMap<&str, Vec<(&str, f64)>> = BTreeMap::new();
        for server in ready {
            let outcomes = self.by_server.get(&server.instance).copied().unwrap_or_default();
            let servers = by_backend.entry(&server.backend).or_default();
            servers.push((&server.instance, outcomes.at(now).error_part()));
        }
        let mut outliers = BTreeMap::new();
        for servers in by_backend.into_values() {
            let most = (MOST_OUTLIERS * servers.len() as f64).floor() as usize;
            let mut failing: Vec<(&str, f64)> =
                servers.into_iter().filter(|(_, errors)| *errors >= LEAST_ERRORS).collect();
            failing.sort_by(|(_, one), (_, other)| other.total_cmp(one));
            outliers.extend(failing.into_iter().take(most).map(|(name, errors)| (name.to_owned(), errors)));
        }
        outliers
    }

    /// Forgets what has faded.
    pub fn expire(&mut self, now: Millis) {
        self.by_server.retain(|_, outcomes| {
            let outcomes = outcomes.at(now);
            outcomes.failed + outcomes.answered >= FORGET_BELOW
        });
    }
}
