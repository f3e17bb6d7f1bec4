//! This edge's estimates of the engines behind model servers: prefill rate, decode pace and slot time.

use crate::Millis;
use crate::model_servers::Instance;
use crate::prompt::TokenCount;
use pathbank_control::estimate::{EstimateTable, Prior};

/// Prefill rate, tokens per millisecond.
const PREFILL_TOKENS_PER_MS: Prior = Prior { initial: 16.0, min: 0.05, max: 2_000.0 };
/// Speed of a model server relative to others.
const SERVER_FACTOR: Prior = Prior { initial: 1.0, min: 0.05, max: 20.0 };
/// Time between two events of an undisturbed stream, milliseconds.
const DECODE_PACE_MS: Prior = Prior { initial: 40.0, min: 0.5, max: 10_000.0 };
/// Slot time after prefill for each token that the client announced, milliseconds.
const DECODE_MS_PER_TOKEN: Prior = Prior { initial: 10.0, min: 0.01, max: 10_000.0 };
/// For how long an answer occupies a slot, milliseconds.
const SLOT_TIME_MS: Prior = Prior { initial: 1_500.0, min: 1.0, max: 120_000.0 };
/// Shorter prompts are not measured: their time to the first token is mostly overhead, not prefill.
const MIN_PREFILL_TOKENS: u64 = 256;

/// The prefill of a prompt that had no other prompt of this edge before it in the model server's queue.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSample<'a> {
    /// The model server.
    pub instance: &'a Instance,
    /// The model.
    pub model: &'a str,
    /// Tokens that had to be prefilled.
    pub tokens: u64,
    /// Time from sending the request to the start of the answer, milliseconds.
    pub took_ms: Millis,
}

/// Estimates by model and by model server.
#[derive(Clone, Debug)]
pub struct EngineEstimates {
    /// Prefill rate by model.
    prefill_rate: EstimateTable<String>,
    /// Decode pace by model.
    decode_pace: EstimateTable<String>,
    /// Speed by model server, relative to others. Derived from the decode pace, which depends on little else.
    server_factor: EstimateTable<Instance>,
    /// Slot time after prefill for each announced token, by model.
    decode_per_token: EstimateTable<String>,
    /// Slot time by model.
    slot_time: EstimateTable<String>,
    /// Slot time by backend, over all its models.
    backend_slot_time: EstimateTable<String>,
}

impl Default for EngineEstimates {
    fn default() -> EngineEstimates {
        EngineEstimates {
            prefill_rate: EstimateTable::new(PREFILL_TOKENS_PER_MS),
            decode_pace: EstimateTable::new(DECODE_PACE_MS),
            server_factor: EstimateTable::new(SERVER_FACTOR),
            decode_per_token: EstimateTable::new(DECODE_MS_PER_TOKEN),
            slot_time: EstimateTable::new(SLOT_TIME_MS),
            backend_slot_time: EstimateTable::new(SLOT_TIME_MS),
        }
    }
}

impl EngineEstimates {
    /// Records the prefill of a prompt.
    pub fn observe_prefill(&mut self, now: Millis, sample: PrefillSample<'_>) {
        if sample.tokens < MIN_PREFILL_TOKENS {
            return;
        }
        let seen = sample.tokens as f64 / sample.took_ms.max(1) as f64;
        let normalized = seen / self.server_factor.value(now, sample.instance);
        self.prefill_rate.record(now, &sample.model.to_owned(), normalized);
    }

    /// Records the pace of a complete stream: milliseconds between its events while nothing else delayed
    /// them.
    pub fn observe_decode_pace(&mut self, now: Millis, instance: &Instance, model: &str, pace_ms: f64) {
        if self.decode_pace.is_known(model) {
            self.server_factor.record(now, instance, self.decode_pace.value(now, model) / pace_ms);
        }
        let normalized = pace_ms * self.server_factor.value(now, instance);
        self.decode_pace.record(now, &model.to_owned(), normalized);
    }

    /// Records the slot time of an answer. `model`: empty if the request named none.
    pub fn observe_slot_time(&mut self, now: Millis, backend: &str, model: &str, slot_time: Millis) {
        self.backend_slot_time.record(now, &backend.to_owned(), slot_time as f64);
        if !model.is_empty() {
            self.slot_time.record(now, &model.to_owned(), slot_time as f64);
        }
    }

    /// Records for how long a request with announced tokens occupied a slot.
    pub fn observe_decode(&mut self, now: Millis, model: &str, tokens: TokenCount, slot_time: Millis) {
        if tokens.output == 0 || model.is_empty() {
            return;
        }
        let decode_ms = slot_time as f64 - self.typical_prefill_ms(now, model, tokens.input);
        self.decode_per_token.record(now, &model.to_owned(), decode_ms / tokens.output as f64);
    }

    /// The work of a request: for how long it occupies a slot by the tokens that its client announced,
    /// milliseconds. Without an announcement, as long as others do.
    pub fn work_ms(&self, now: Millis, backend: &str, model: &str, tokens: TokenCount) -> f64 {
        if model.is_empty() || tokens.output == 0 {
            return self.slot_time_ms(now, backend, model);
        }
        let decode_ms = self.decode_per_token.value(now, model) * tokens.output as f64;
        self.typical_prefill_ms(now, model, tokens.input) + decode_ms
    }

    /// Prefill time of a number of tokens at a model server, milliseconds.
    pub fn prefill_ms(&self, now: Millis, instance: &Instance, model: &str, tokens: u64) -> f64 {
        tokens as f64 / (self.prefill_rate.value(now, model) * self.server_factor.value(now, instance))
    }

    /// Prefill time of a number of tokens at an average model server, milliseconds.
    pub fn typical_prefill_ms(&self, now: Millis, model: &str, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate.value(now, model)
    }

    /// Slot time of an answer of a backend's model, milliseconds. `model`: empty if the request names none.
    pub fn slot_time_ms(&self, now: Millis, backend: &str, model: &str) -> f64 {
        if model.is_empty() {
            self.backend_slot_time_ms(now, backend)
        } else {
            self.slot_time.value(now, model)
        }
    }

    /// Slot time of a backend's answers over all its models, milliseconds.
    pub fn backend_slot_time_ms(&self, now: Millis, backend: &str) -> f64 {
        self.backend_slot_time.value(now, backend)
    }

    /// Prefill rates by model, tokens per millisecond.
    pub fn prefill_rates(&self, now: Millis) -> impl Iterator<Item = (&String, f64)> {
        self.prefill_rate.iter(now)
    }

    /// Relative speeds by model server.
    pub fn server_factors(&self, now: Millis) -> impl Iterator<Item = (&Instance, f64)> {
        self.server_factor.iter(now)
    }

    /// Slot times by model, milliseconds.
    pub fn slot_times(&self, now: Millis) -> impl Iterator<Item = (&String, f64)> {
        self.slot_time.iter(now)
    }

    /// Removes estimates that were not updated for long.
    pub fn tidy(&mut self, now: Millis) {
        self.prefill_rate.expire(now);
        self.decode_pace.expire(now);
        self.server_factor.expire(now);
        self.decode_per_token.expire(now);
        self.slot_time.expire(now);
        self.backend_slot_time.expire(now);
    }
}
