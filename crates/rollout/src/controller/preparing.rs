//! Preparing a step: its version is learned, workers are brought to it, and the step is opened.

use super::{Action, FirstLoad, StepController};
use crate::step::{RequestedVersion, Step, StepState};
use crate::step_table::Command;
use crate::version_rollout::{self, WorkerAction};
use crate::worker::{Worker, WorkerState};
use crate::{Millis, Version, WorkerId};
use std::collections::BTreeSet;

impl StepController {
    pub(super) fn prepare(&mut self, now: Millis, step: &Step) -> Vec<Action> {
        let newest = self.newest_known(step);
        if let Some(version) = newest.filter(|version| step.version != Some(*version)) {
            let command = Command::FixVersion { step: step.number, version };
            return self.propose_once(step, StepState::Preparing, Some(version), command);
        }
        let mut actions = self.roll_out_version(now, step);
        if let Some(version) = step.version {
            actions.extend(self.open_if_ready(now, step, version));
        }
        actions
    }

    /// The version that the step should use, as far as it is known. A load brings in the newest version, so a worker that
    /// loaded for this step shows it; a worker that came back by itself may be ahead of it.
    fn newest_known(&self, step: &Step) -> Option<Version> {
        if let RequestedVersion::Exactly(version) = step.request.version {
            return Some(version);
        }
        let verified = self.workers.values().filter_map(|worker| match worker.state() {
            WorkerState::Verified(version) => Some(version),
            _ => None,
        });
        let newest = verified.max();
        match step.version {
            Some(known) => Some(newest.map_or(known, |newest| newest.max(known))),
            None => newest.filter(|_| self.has_loaded_for(step)),
        }
    }

    /// Whether some worker has loaded since the step was announced.
    fn has_loaded_for(&self, step: &Step) -> bool {
        self.first_wave.iter().filter(|(_, load)| load.step == step.number).any(|(worker, load)| {
            let loaded = self.workers.get(worker);
            loaded.is_some_and(|loaded| {
                loaded.report.sequence > load.sequence && matches!(loaded.state(), WorkerState::Verified(_))
            })
        })
    }

    fn roll_out_version(&mut self, now: Millis, step: &Step) -> Vec<Action> {
        if let Some(wanted) = step.version {
            return self.worker_actions(now, |worker| version_rollout::is_behind(worker, Some(wanted)));
        }
        // The first wave shows which version is the newest, and whether others have to load at all.
        let actions = self.worker_actions(now, |_| true);
        for worker in actions.iter().filter_map(|action| match action {
            Action::Drain(worker) => Some(worker),
            _ => None,
        }) {
            let sequence = self.workers.get(worker).map_or(0, |known| known.report.sequence);
            self.first_wave.insert(worker.clone(), FirstLoad { step: step.number, sequence });
        }
        actions
    }

    fn worker_actions(&mut self, now: Millis, must_load: impl Fn(&Worker) -> bool) -> Vec<Action> {
        let limits = self.settings.version_rollout;
        let planned =
            version_rollout::plan(now, &limits, &mut self.workers, &mut self.load_limiter, must_load);
        planned.into_iter().map(|next| self.action_of(next)).collect()
    }

    fn action_of(&self, next: WorkerAction) -> Action {
        match next {
            WorkerAction::Drain(worker) => Action::Drain(worker),
            WorkerAction::Load(worker) => {
                let if_revision = self.workers.get(&worker).map_or(0, |known| known.report.sequence);
                Action::Load { worker, if_revision }
            }
        }
    }

    fn open_if_ready(&mut self, now: Millis, step: &Step, version: Version) -> Vec<Action> {
        let verified: BTreeSet<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.is_verified(now, version))
            .map(|(id, _)| id.clone())
            .collect();
        if verified.len() < step.request.min_workers.max(1) as usize {
            self.ready_since = None;
            return Vec::new();
        }
        let since = match self.ready_since {
            Some((number, since)) if number == step.number => since,
            _ => now,
        };
        self.ready_since = Some((step.number, since));
        let is_complete = verified.len() == self.workers.len();
        if !is_complete && now < since + self.settings.straggler_timeout_ms {
            return Vec::new();
        }
        // Epochs must not overlap: every generation of the step before has to have timed out.
        if now < self.earlier_leader_until || self.in_flight() > 0 {
            return Vec::new();
        }
        let command = Command::Open { step: step.number, members: verified };
        self.propose_once(step, StepState::Open, Some(version), command)
    }
}
