//! Running estimates of what is seen: how fast model servers read, how long orders take, what a model server
//! bears.
//!
//! An estimate begins at a start that holds before anything was seen, and stays within bounds whatever is
//! told. It is kept as a logarithm, for what it stands for differs by factors. A sample far off moves it
//! little; several in a row on the same side are a step, and it follows. After a silence it leans on its
//! start again.

use std::borrow::Borrow;
use std::collections::BTreeMap;

/// Milliseconds of a steady clock that the caller supplies.
pub type Millis = u64;

/// Samples that an estimate remembers at most: the weight of a new one is no less than one in so many.
const MOST_WEIGHT: f64 = 10.0;
/// A sample further off than this factor moves a settled estimate no more than one at this factor.
const FAR: f64 = 2.0;
/// An estimate is settled with so many samples.
const SETTLED: f64 = 3.0;
/// So many samples in a row that are far off on the same side are a step.
const STEP_RUN: u32 = 4;
/// What was seen counts for less the older it is; the memory, milliseconds.
const MEMORY: f64 = 60_000.0;
/// Samples of its own that weigh as much as the start.
const PRIOR_WEIGHT: f64 = 1.0;

/// What an estimate is before anything was seen, and within which bounds it stays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prior {
    /// The start.
    pub initial: f64,
    /// Never less than this; above 0.
    pub min: f64,
    /// Never more than this.
    pub max: f64,
}

/// Samples in a row that were far off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct FarRun {
    above: bool,
    length: u32,
}

/// What was seen of one thing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    log_value: f64,
    weight: f64,
    noted: Millis,
    far: FarRun,
}

impl Estimate {
    /// Takes a sample. What is no number, or not above 0, says nothing.
    pub fn record(&mut self, now: Millis, prior: Prior, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let log_sample = sample.clamp(prior.min, prior.max).ln();
        self.weight = self.weight_at(now);
        self.noted = now;
        let off = log_sample - self.log_value;
        let is_far = self.weight >= SETTLED && off.abs() > FAR.ln();
        self.far = match (is_far, self.far.above == (off > 0.0)) {
            (false, _) => FarRun::default(),
            (true, true) => FarRun { length: self.far.length + 1, ..self.far },
            (true, false) => FarRun { above: off > 0.0, length: 1 },
        };
        if self.far.length >= STEP_RUN {
            *self = Estimate { log_value: log_sample, weight: SETTLED, noted: now, far: FarRun::default() };
            return;
        }
        let counted = if is_far { off.clamp(-FAR.ln(), FAR.ln()) } else { off };
        self.weight = (self.weight + 1.0).min(MOST_WEIGHT);
        self.log_value += counted / self.weight;
    }

    /// The estimate now, where `prior` holds what is known without it.
    pub fn value(&self, now: Millis, prior: Prior) -> f64 {
        let weight = self.weight_at(now);
        let own = weight / (weight + PRIOR_WEIGHT);
        let log_value = own * self.log_value + (1.0 - own) * prior.initial.ln();
        log_value.exp().clamp(prior.min, prior.max)
    }

    /// Samples that it rests on; old ones count for less.
    pub fn weight_at(&self, now: Millis) -> f64 {
        self.weight * (-(now.saturating_sub(self.noted) as f64) / MEMORY).exp()
    }
}

/// Estimates of the same thing by key. One that has seen little of its own leans on what all keys say, each
/// of which counts once, however often it was seen.
#[derive(Clone, Debug)]
pub struct EstimateTable<K> {
    prior: Prior,
    by_key: BTreeMap<K, Estimate>,
    /// The sum of all keys' logarithms.
    log_sum: f64,
}

impl<K: Ord + Clone> EstimateTable<K> {
    /// A table that has seen nothing.
    pub fn new(prior: Prior) -> EstimateTable<K> {
        EstimateTable { prior, by_key: BTreeMap::new(), log_sum: 0.0 }
    }

    /// Takes a sample of a key.
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

    /// Whether something was seen of a key.
    pub fn is_known<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.by_key.contains_key(key)
    }

    /// What all keys together say.
    pub fn pooled(&self) -> f64 {
        let initial = PRIOR_WEIGHT * self.prior.initial.ln();
        ((initial + self.log_sum) / (PRIOR_WEIGHT + self.by_key.len() as f64)).exp()
    }

    /// Forgets keys of which nothing was seen for long.
    pub fn expire(&mut self, now: Millis) {
        self.by_key.retain(|_, estimate| estimate.weight_at(now) >= PRIOR_WEIGHT / MOST_WEIGHT);
        self.log_sum = self.by_key.values().map(|estimate| estimate.log_value).sum();
    }

    /// Every key of which something was seen, with its estimate.
    pub fn iter(&self, now: Millis) -> impl Iterator<Item = (&K, f64)> {
        self.by_key.keys().map(move |key| (key, self.value(now, key)))
    }
}
