//! Running estimates of positive quantities such as speeds and durations.
//!
//! An estimate starts from a prior and stays within the prior's bounds, whatever the samples are. It is kept
//! as a logarithm, since samples differ by factors. An outlier changes the estimate little. Several outliers
//! in a row on the same side are a step change, which the estimate follows at once. Without samples the
//! estimate returns to the prior.

use crate::decay::decay;
use pathbank_coordination::types::Millis;
use std::borrow::Borrow;
use std::collections::BTreeMap;

/// The greatest weight, in samples: a new sample moves the estimate by at least the inverse of this.
const MAX_WEIGHT: f64 = 10.0;
/// The factor from which on a sample is an outlier: beyond it, a sample moves a settled estimate no further.
const OUTLIER_FACTOR: f64 = 2.0;
/// The weight, in samples, from which on an estimate is settled.
const SETTLED_WEIGHT: f64 = 3.0;
/// The number of outliers in a row on the same side that make a step change.
const STEP_RUN_LENGTH: u32 = 4;
/// The time constant with which the weight of samples decays, milliseconds.
const TIME_CONSTANT_MS: f64 = 60_000.0;
/// The weight of the prior, in samples.
const PRIOR_WEIGHT: f64 = 1.0;

/// The value of an estimate before the first sample, and its bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prior {
    /// The value before the first sample.
    pub initial: f64,
    /// The lower bound, greater than 0.
    pub min: f64,
    /// The upper bound.
    pub max: f64,
}

/// Outliers in a row on one side.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct OutlierRun {
    above: bool,
    length: u32,
}

/// The estimate of one quantity.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    log_value: f64,
    weight: f64,
    updated_at: Millis,
    outliers: OutlierRun,
}

impl Estimate {
    /// Adds a sample. A sample that is not finite or not greater than 0 is ignored.
    pub fn record(&mut self, now: Millis, prior: Prior, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let log_sample = sample.clamp(prior.min, prior.max).ln();
        self.weight = self.weight_at(now);
        self.updated_at = now;
        let deviation = log_sample - self.log_value;
        let is_outlier = self.weight >= SETTLED_WEIGHT && deviation.abs() > OUTLIER_FACTOR.ln();
        self.outliers = match (is_outlier, self.outliers.above == (deviation > 0.0)) {
            (false, _) => OutlierRun::default(),
            (true, true) => OutlierRun { length: self.outliers.length + 1, ..self.outliers },
            (true, false) => OutlierRun { above: deviation > 0.0, length: 1 },
        };
        if self.outliers.length >= STEP_RUN_LENGTH {
            *self = Estimate {
                log_value: log_sample,
                weight: SETTLED_WEIGHT,
                updated_at: now,
                outliers: OutlierRun::default(),
            };
            return;
        }
        let counted =
            if is_outlier { deviation.clamp(-OUTLIER_FACTOR.ln(), OUTLIER_FACTOR.ln()) } else { deviation };
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        self.log_value += counted / self.weight;
    }

    /// The estimate at `now`, weighted with `prior`.
    pub fn value(&self, now: Millis, prior: Prior) -> f64 {
        let weight = self.weight_at(now);
        let own = weight / (weight + PRIOR_WEIGHT);
        let log_value = own * self.log_value + (1.0 - own) * prior.initial.ln();
        log_value.exp().clamp(prior.min, prior.max)
    }

    /// The decayed weight of its samples.
    pub fn weight_at(&self, now: Millis) -> f64 {
        self.weight * decay(self.updated_at, now, TIME_CONSTANT_MS)
    }
}

/// Estimates of the same quantity by key. The prior of each is the pooled estimate of all keys, in which each
/// counts once, however many samples it has.
#[derive(Clone, Debug)]
pub struct EstimateTable<K> {
    prior: Prior,
    by_key: BTreeMap<K, Estimate>,
    /// The sum of all keys' logarithms.
    log_sum: f64,
}

impl<K: Ord + Clone> EstimateTable<K> {
    /// A table without samples.
    pub fn new(prior: Prior) -> EstimateTable<K> {
        EstimateTable { prior, by_key: BTreeMap::new(), log_sum: 0.0 }
    }

    /// Adds a sample of a key.
    pub fn record(&mut self, now: Millis, key: &K, sample: f64) {
        let known = self.by_key.entry(key.clone()).or_default();
        let before = known.log_value;
        known.record(now, self.prior, sample);
        self.log_sum += known.log_value - before;
        if known.weight == 0.0 {
            self.by_key.remove(key);
        }
    }

    /// The estimate for a key.
    pub fn value<Q: Ord + ?Sized>(&self, now: Millis, key: &Q) -> f64
    where
        K: Borrow<Q>,
    {
        let prior = Prior { initial: self.pooled(), ..self.prior };
        self.by_key.get(key).map_or(prior.initial, |estimate| estimate.value(now, prior))
    }

    /// Whether there are samples of a key.
    pub fn is_known<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.by_key.contains_key(key)
    }

    /// The pooled estimate of all keys.
    pub fn pooled(&self) -> f64 {
        let initial = PRIOR_WEIGHT * self.prior.initial.ln();
        ((initial + self.log_sum) / (PRIOR_WEIGHT + self.by_key.len() as f64)).exp()
    }

    /// Removes keys whose samples have decayed.
    pub fn expire(&mut self, now: Millis) {
        self.by_key.retain(|_, estimate| estimate.weight_at(now) >= PRIOR_WEIGHT / MAX_WEIGHT);
        self.log_sum = self.by_key.values().map(|estimate| estimate.log_value).sum();
    }

    /// All keys with samples, and their estimates.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = (&K, f64)> {
        self.by_key.keys().map(move |key| (key, self.value(now, key)))
    }
}
