//! Generations that this leader started and that may still run.

use crate::{Millis, PromptId, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// Generations in flight, each with the time at which it has timed out at its worker.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingDraws {
    expected: BTreeMap<(PromptId, WorkerId), Millis>,
    /// Generations that no answer is expected of but that may still run; their prompts are drawn for elsewhere.
    lingering: Vec<Millis>,
}

impl PendingDraws {
    /// A generation starts that has timed out at `until`.
    pub(super) fn start(&mut self, prompt: PromptId, worker: WorkerId, until: Millis) {
        self.expected.insert((prompt, worker), until);
    }

    /// A generation has ended.
    pub(super) fn end(&mut self, prompt: PromptId, worker: &WorkerId) {
        self.expected.remove(&(prompt, worker.clone()));
    }

    /// A generation brings no answer and may run until its time-out.
    pub(super) fn linger(&mut self, prompt: PromptId, worker: &WorkerId) {
        self.lingering.extend(self.expected.remove(&(prompt, worker.clone())));
    }

    /// Removes generations that have timed out.
    pub(super) fn expire(&mut self, now: Millis) {
        self.expected.retain(|_, until| now < *until);
        self.lingering.retain(|until| now < *until);
    }

    /// Generations that may be running.
    pub(super) fn count(&self) -> usize {
        self.expected.len() + self.lingering.len()
    }

    /// Generations whose answer is expected.
    pub(super) fn expected(&self) -> usize {
        self.expected.len()
    }

    /// Prompts for which an answer is expected.
    pub(super) fn prompts(&self) -> BTreeSet<PromptId> {
        self.expected.keys().map(|(prompt, _)| *prompt).collect()
    }

    /// Generations whose answer is expected, by worker.
    pub(super) fn by_worker(&self) -> BTreeMap<&WorkerId, u32> {
        let mut counts: BTreeMap<&WorkerId, u32> = BTreeMap::new();
        for (_, worker) in self.expected.keys() {
            *counts.entry(worker).or_default() += 1;
        }
        counts
    }
}
