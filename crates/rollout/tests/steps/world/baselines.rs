//! The two baselines: stop everything while all load, and roll without epochs.

use super::super::engine::{DRAW_MS, Engine, LOAD_MS};
use super::{GENERATION_MS, PUBLISH_MS, TICK_MS, World};
use pathbank_rollout::audit::TrainerRecord;
use pathbank_rollout::controller::Draw;

impl World {
    fn draws(&mut self, step: u64, version_of: impl Fn(&Engine) -> Option<u64>) {
        let now = self.now;
        for at in 0..self.engines.len() {
            let Some(version) = version_of(&self.engines[at]) else { continue };
            let id = self.engines[at].id();
            let prompt = 1_000_000 * step + self.engine_records.len() as u64 % self.plan.prompts;
            let draw = Draw { step, epoch: step, prompt, worker: id, version, within: GENERATION_MS };
            if self.engines[at].running.is_empty() {
                self.engines[at].begin(now, &draw);
            }
        }
    }

    /// All workers load at every publication; the step's version is the newest.
    pub(super) fn stop_all(&mut self) {
        if self.now.is_multiple_of(PUBLISH_MS) {
            self.stop_all_until = self.now + DRAW_MS + LOAD_MS;
            self.engines.iter_mut().for_each(|engine| engine.loading = Some(self.stop_all_until));
        }
        if self.now >= self.stop_all_until + TICK_MS && self.now % PUBLISH_MS < PUBLISH_MS - 2 * DRAW_MS {
            self.draws(self.newest, |engine| engine.version);
        }
    }

    /// One worker after the other loads what is newest; each draws for the step whose version it holds, and
    /// what it draws counts for the step that is under way.
    pub(super) fn rolling(&mut self) {
        if self.now.is_multiple_of(150) {
            let at = (self.rolled % self.engines.len() as u64) as usize;
            self.rolled += 1;
            let due = self.engines[at].version < Some(self.newest);
            if due && self.engines[at].loading.is_none() {
                self.engines[at].loading = Some(self.now + LOAD_MS);
            }
        }
        self.draws(self.newest, |engine| engine.version);
        if self.now.is_multiple_of(PUBLISH_MS) {
            let step = self.newest - 1;
            let of_step = self
                .engine_records
                .iter()
                .filter(|engine_records| engine_records.step == step && engine_records.complete);
            let results = of_step
                .map(|engine_records| (engine_records.prompt, engine_records.worker.clone()))
                .collect();
            self.trainer_records.push(TrainerRecord { step, version: step, results });
        }
    }
}
