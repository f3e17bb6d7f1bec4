//! Which parts of prompts model servers keep, as far as this edge sent them there.

use crate::Millis;
use crate::model_servers::Instance;
use crate::prompt::{ModelName, PromptPart};
use std::collections::HashMap;

/// A part that was not sent for so long is taken to have given way.
const PREFIX_TTL_MS: Millis = 60_000;
/// Parts that are remembered at most; beyond, all older than a quarter of the time above go.
const MAX_PARTS: usize = 20_000;
/// How often old parts are looked for.
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
    /// A prompt went to a model server. Its last part is its own or its session's.
    pub fn record(&mut self, now: Millis, instance: &Instance, name: &ModelName, parts: &[PromptPart]) {
        for part in parts {
            self.sent.insert(key(instance, name, part), now);
        }
        if self.sent.len() > MAX_PARTS {
            self.sent.retain(|_, at| now < *at + PREFIX_TTL_MS / 4);
        }
    }

    /// Tokens at the start of a prompt that a model server should not have to read again.
    pub fn cached_tokens(&self, instance: &Instance, name: &ModelName, parts: &[PromptPart]) -> u64 {
        let cached = parts.iter().take_while(|part| self.sent.contains_key(&key(instance, name, part)));
        cached.map(|part| part.tokens).sum()
    }

    /// Forgets what is old.
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
