//! What this edge has seen of the engines behind model servers: how fast each reads prompts, and for how long
//! answers take a slot.

use crate::Millis;
use crate::model_servers::Instance;
use pathbank_control::estimate::{EstimateTable, Prior};

/// Tokens of prompts that a model server reads in a millisecond.
const PREFILL_TOKENS_PER_MS: Prior = Prior { initial: 16.0, min: 0.05, max: 2_000.0 };
/// A model server reads so many times as fast as others do.
const SERVER_FACTOR: Prior = Prior { initial: 1.0, min: 0.05, max: 20.0 };
/// Between two events of a stream that nothing holds up, milliseconds.
const DECODE_PACE_MS: Prior = Prior { initial: 40.0, min: 0.5, max: 10_000.0 };
/// For how long an answer takes a slot, milliseconds.
const SLOT_TIME_MS: Prior = Prior { initial: 1_500.0, min: 1.0, max: 120_000.0 };
/// A prompt with fewer tokens tells more of what comes beside reading it.
const MIN_PREFILL_TOKENS: u64 = 256;

/// A prompt that was read, and nothing of this edge before it at its model server.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSample<'a> {
    /// The model server.
    pub instance: &'a Instance,
    /// The model.
    pub model: &'a str,
    /// Tokens that had to be read there.
    pub tokens: u64,
    /// From the send until the answer began, milliseconds.
    pub took_ms: Millis,
}

/// Estimates by model and by model server.
#[derive(Clone, Debug)]
pub struct EngineEstimates {
    /// By model: a large one reads more slowly.
    prefill_rate: EstimateTable<String>,
    /// By model.
    decode_pace: EstimateTable<String>,
    /// By model server, beside others: the pace of streams tells it, for nothing else moves that.
    server_factor: EstimateTable<Instance>,
    /// By model.
    slot_time: EstimateTable<String>,
}

impl Default for EngineEstimates {
    fn default() -> EngineEstimates {
        EngineEstimates {
            prefill_rate: EstimateTable::new(PREFILL_TOKENS_PER_MS),
            decode_pace: EstimateTable::new(DECODE_PACE_MS),
            server_factor: EstimateTable::new(SERVER_FACTOR),
            slot_time: EstimateTable::new(SLOT_TIME_MS),
        }
    }
}

impl EngineEstimates {
    /// A prompt was read.
    pub fn observe_prefill(&mut self, now: Millis, sample: PrefillSample<'_>) {
        if sample.tokens < MIN_PREFILL_TOKENS {
            return;
        }
        let seen = sample.tokens as f64 / sample.took_ms.max(1) as f64;
        let normalized = seen / self.server_factor.value(now, sample.instance);
        self.prefill_rate.record(now, &sample.model.to_owned(), normalized);
    }

    /// A stream was complete whose events came so many milliseconds apart while nothing held them up.
    pub fn observe_decode_pace(&mut self, now: Millis, instance: &Instance, model: &str, pace_ms: f64) {
        if self.decode_pace.is_known(model) {
            self.server_factor.record(now, instance, self.decode_pace.value(now, model) / pace_ms);
        }
        let normalized = pace_ms * self.server_factor.value(now, instance);
        self.decode_pace.record(now, &model.to_owned(), normalized);
    }

    /// An answer ended that took a slot for so long.
    pub fn observe_slot_time(&mut self, now: Millis, model: &str, slot_time: Millis) {
        self.slot_time.record(now, &model.to_owned(), slot_time as f64);
    }

    /// How long a model server takes to read tokens of a prompt, milliseconds.
    pub fn prefill_ms(&self, now: Millis, instance: &Instance, model: &str, tokens: u64) -> f64 {
        tokens as f64 / (self.prefill_rate.value(now, model) * self.server_factor.value(now, instance))
    }

    /// How long any model server takes to read tokens of a prompt, milliseconds.
    pub fn typical_prefill_ms(&self, now: Millis, model: &str, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate.value(now, model)
    }

    /// For how long an answer of a model takes a slot, milliseconds.
    pub fn slot_time_ms(&self, now: Millis, model: &str) -> f64 {
        self.slot_time.value(now, model)
    }

    /// For how long an answer of any model takes a slot, milliseconds.
    pub fn mean_slot_time_ms(&self) -> f64 {
        self.slot_time.pooled()
    }

    /// Tokens of prompts that any model server reads in a millisecond, by model.
    pub fn prefill_rates(&self, now: Millis) -> impl Iterator<Item = (&String, f64)> {
        self.prefill_rate.iter(now)
    }

    /// How many times as fast as others each model server reads.
    pub fn server_factors(&self, now: Millis) -> impl Iterator<Item = (&Instance, f64)> {
        self.server_factor.iter(now)
    }

    /// For how long an answer takes a slot, by model, milliseconds.
    pub fn slot_times(&self, now: Millis) -> impl Iterator<Item = (&String, f64)> {
        self.slot_time.iter(now)
    }

    /// Forgets what was not seen for long.
    pub fn tidy(&mut self, now: Millis) {
        self.prefill_rate.expire(now);
        self.decode_pace.expire(now);
        self.server_factor.expire(now);
        self.slot_time.expire(now);
    }
}
