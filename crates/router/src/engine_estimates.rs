//! What this edge has seen of the engines behind model servers: how fast each reads prompts, and for how long
//! answers take a slot.

use crate::Millis;
use crate::model_servers::Instance;
use pathbank_control::estimate::{EstimateTable, Prior};

/// Tokens of prompts that a model server reads in a millisecond.
const TOKENS_PER_MS: Prior = Prior { initial: 16.0, min: 0.05, max: 2_000.0 };
/// A model server reads so many times as fast as others do.
const SERVER_FACTOR: Prior = Prior { initial: 1.0, min: 0.05, max: 20.0 };
/// Between two events of a stream that nothing holds up, milliseconds.
const PACE_MS: Prior = Prior { initial: 40.0, min: 0.5, max: 10_000.0 };
/// For how long an answer takes a slot, milliseconds.
const ANSWER_MS: Prior = Prior { initial: 1_500.0, min: 1.0, max: 120_000.0 };
/// A prompt with fewer tokens tells more of what comes beside reading it.
const LEAST_TOKENS: u64 = 256;

/// A prompt that was read, and nothing of this edge before it at its model server.
#[derive(Clone, Copy, Debug)]
pub struct ReadSample<'a> {
    /// The model server.
    pub instance: &'a Instance,
    /// The model.
    pub model: &'a str,
    /// Tokens that had to be read there.
    pub tokens: u64,
    /// From the send until the answer began, milliseconds.
    pub took: Millis,
}

/// Estimates by model and by model server.
#[derive(Clone, Debug)]
pub struct EngineEstimates {
    /// By model: a large one reads more slowly.
    read: EstimateTable<String>,
    /// By model.
    pace: EstimateTable<String>,
    /// By model server, beside others: the pace of streams tells it, for nothing else moves that.
    server: EstimateTable<Instance>,
    /// By model.
    answer: EstimateTable<String>,
}

impl Default for EngineEstimates {
    fn default() -> EngineEstimates {
        EngineEstimates {
            read: EstimateTable::new(TOKENS_PER_MS),
            pace: EstimateTable::new(PACE_MS),
            server: EstimateTable::new(SERVER_FACTOR),
            answer: EstimateTable::new(ANSWER_MS),
        }
    }
}

impl EngineEstimates {
    /// A prompt was read.
    pub fn note_read(&mut self, now: Millis, sample: ReadSample<'_>) {
        if sample.tokens < LEAST_TOKENS {
            return;
        }
        let seen = sample.tokens as f64 / sample.took.max(1) as f64;
        let elsewhere = seen / self.server.value(now, sample.instance);
        self.read.record(now, &sample.model.to_owned(), elsewhere);
    }

    /// A stream was complete whose events came so many milliseconds apart while nothing held them up.
    pub fn note_pace(&mut self, now: Millis, instance: &Instance, model: &str, pace_ms: f64) {
        if self.pace.is_known(model) {
            self.server.record(now, instance, self.pace.value(now, model) / pace_ms);
        }
        let elsewhere = pace_ms * self.server.value(now, instance);
        self.pace.record(now, &model.to_owned(), elsewhere);
    }

    /// An answer ended that took a slot for so long.
    pub fn note_answer(&mut self, now: Millis, model: &str, held: Millis) {
        self.answer.record(now, &model.to_owned(), held as f64);
    }

    /// How long a model server takes to read tokens of a prompt, milliseconds.
    pub fn prefill_ms(&self, now: Millis, instance: &Instance, model: &str, tokens: u64) -> f64 {
        tokens as f64 / (self.read.value(now, model) * self.server.value(now, instance))
    }

    /// How long any model server takes to read tokens of a prompt, milliseconds.
    pub fn typical_read_ms(&self, now: Millis, model: &str, tokens: u64) -> f64 {
        tokens as f64 / self.read.value(now, model)
    }

    /// For how long an answer of a model takes a slot, milliseconds.
    pub fn answer_ms(&self, now: Millis, model: &str) -> f64 {
        self.answer.value(now, model)
    }

    /// For how long an answer of any model takes a slot, milliseconds.
    pub fn any_answer_ms(&self) -> f64 {
        self.answer.pooled()
    }

    /// Tokens of prompts that any model server reads in a millisecond, by model.
    pub fn reading(&self, now: Millis) -> impl Iterator<Item = (&String, f64)> {
        self.read.iter(now)
    }

    /// How many times as fast as others each model server reads.
    pub fn servers(&self, now: Millis) -> impl Iterator<Item = (&Instance, f64)> {
        self.server.iter(now)
    }

    /// For how long an answer takes a slot, by model, milliseconds.
    pub fn answers(&self, now: Millis) -> impl Iterator<Item = (&String, f64)> {
        self.answer.iter(now)
    }

    /// Forgets what was not seen for long.
    pub fn tidy(&mut self, now: Millis) {
        self.read.expire(now);
        self.pace.expire(now);
        self.server.expire(now);
        self.answer.expire(now);
    }
}
