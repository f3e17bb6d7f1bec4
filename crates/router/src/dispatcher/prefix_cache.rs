//! The contents of the model servers' prefix caches, as far as this edge's requests filled them: the parts of
//! prompts that need no prefill.

use crate::Millis;
use crate::model_servers::Instance;
use crate::prompt::{ModelName, PromptPart};
use std::collections::HashMap;

/// A part that was not sent for this long is assumed to be evicted.
const PREFIX_TTL_MS: Millis = 60_000;
/// The limit of parts. Above it, all parts that were not sent for a quarter of the TTL are removed.
const MAX_PARTS: usize = 20_000;
/// The interval at which expired parts are removed.
const TIDY_INTERVAL_MS: Millis = 5_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Key {
    instance: Instance,
    model: String,
    part: u64,
}

/// The parts sent to each model server, with the time of the last send.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    sent: HashMap<Key, Millis>,
    tidied_at: Millis,
}

impl PrefixCache {
    /// Records that a prompt was sent to a model server.
    pub fn record(&mut self, now: Millis, instance: &Instance, name: &ModelName, parts: &[PromptPart]) {
        for part in parts {
            self.sent.insert(key(instance, name, part), now);
        }
        if self.sent.len() > MAX_PARTS {
            self.sent.retain(|_, at| now < *at + PREFIX_TTL_MS / 4);
        }
    }

    /// Tokens at the start of a prompt that a model server should have in its prefix cache.
    pub fn cached_tokens(&self, instance: &Instance, name: &ModelName, parts: &[PromptPart]) -> u64 {
        let cached = parts.iter().take_while(|part| self.sent.contains_key(&key(instance, name, part)));
        cached.map(|part| part.tokens).sum()
    }

    /// Removes expired parts.
    pub fn tidy(&mut self, now: Millis) {
        if now >= self.tidied_at + TIDY_INTERVAL_MS {
            self.tidied_at = now;
            self.sent.retain(|_, at| now < *at + PREFIX_TTL_MS);
        }
    }
}

fn key(instance: &Instance, name: &ModelName, part: &PromptPart) -> Key {
    let model = format!("{}/{}", name.model, name.adapter);
    Key { instance: instance.clone(), model, part: part.id }
}
