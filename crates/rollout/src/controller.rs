//! What the leader does about the steps of one model: it brings workers to a step's version, opens the step once they
//! hold it, has generations run for its prompts, and seals it once none is in flight.
//!
//! What the controller knows of workers and generations is lost with the leader; the durable state is in the
//! [`StepTable`]. A new leader therefore waits, before it opens or seals a step, until whatever an earlier one started
//! has timed out. Actions must be carried out at the moment of the call only: within the leader's lease, and on a table
//! that has applied all committed entries.

mod drawing;
mod pending_draws;
mod preparing;
mod types;

use crate::step::{Step, StepState};
use crate::step_table::{Command, StepTable};
use crate::version_rollout::LoadRateLimiter;
use crate::worker::{Worker, WorkerReport};
use crate::{Millis, PromptId, StepNumber, Version, WorkerId};
use pending_draws::PendingDraws;
use std::collections::BTreeMap;
pub use types::{Action, Draw, DrawEnd, DrawOutcome, Settings, WaitReason};

/// A load that shows a step the newest version.
#[derive(Clone, Copy, Debug)]
struct FirstLoad {
    step: StepNumber,
    /// Orders that the worker had accepted before it.
    sequence: u64,
}

/// The leader's controller of the steps of one model.
#[derive(Clone, Debug)]
pub struct StepController {
    model: String,
    settings: Settings,
    /// Until then generations that an earlier leader started may be running.
    earlier_leader_until: Millis,
    workers: BTreeMap<WorkerId, Worker>,
    load_limiter: LoadRateLimiter,
    draws: PendingDraws,
    /// The step that is being prepared, and since when enough workers hold its version.
    ready_since: Option<(StepNumber, Millis)>,
    /// Workers that load before the step's version is known.
    first_wave: BTreeMap<WorkerId, FirstLoad>,
    /// The transition that was proposed last, so that it is proposed once: step, state and version.
    proposed: Option<(StepNumber, StepState, Option<Version>)>,
    /// The current step, and when this leader saw it first.
    first_seen: Option<(StepNumber, Millis)>,
    /// Generations that this leader started for each prompt of the current step.
    draw_counts: BTreeMap<PromptId, u32>,
}

impl StepController {
    /// The controller of a leader whose term begins at `now`.
    pub fn new(model: String, settings: Settings, now: Millis) -> StepController {
        StepController {
            model,
            settings,
            earlier_leader_until: now
                + settings.lease_ms
                + settings.begin_timeout_ms
                + settings.generation_ms,
            workers: BTreeMap::new(),
            load_limiter: LoadRateLimiter::default(),
            draws: PendingDraws::default(),
            ready_since: None,
            first_wave: BTreeMap::new(),
            proposed: None,
            first_seen: None,
            draw_counts: BTreeMap::new(),
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Prompts of the current step for which this leader started more than one generation, with the number of repeats.
    pub fn redrawn_prompts(&self) -> impl Iterator<Item = (PromptId, u32)> {
        let repeated = self.draw_counts.iter().filter(|(_, count)| **count > 1);
        repeated.map(|(prompt, count)| (*prompt, count - 1))
    }

    /// Generations that this leader started and that may be running.
    pub fn in_flight(&self) -> usize {
        self.draws.count()
    }

    /// The workers that have reported, by incarnation.
    pub fn workers(&self) -> &BTreeMap<WorkerId, Worker> {
        &self.workers
    }

    /// Takes a worker's report.
    pub fn observe_report(&mut self, now: Millis, report: WorkerReport) {
        match self.workers.get_mut(&report.worker) {
            Some(worker) => worker.observe_report(now, report),
            None => drop(self.workers.insert(report.worker.clone(), Worker::new(now, report))),
        }
    }

    /// Removes a worker's incarnation that has ended. Its generations stay pending until they time out.
    pub fn remove_worker(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// The worker's load order could not be sent because the weight store's rate is used up: a later tick sends it.
    pub fn defer_load(&mut self, now: Millis, worker: &str) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.drain(now);
        }
    }

    /// The worker rejected an order, or the order's end is not known.
    pub fn order_failed(&mut self, worker: &str) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.order_failed();
        }
    }

    /// A proposal did not reach the log: the next tick makes it again.
    pub fn proposal_lost(&mut self) {
        self.proposed = None;
    }

    /// Advances the current step, with no limit on new generations. See [`StepController::tick_with_limit`].
    pub fn tick(&mut self, now: Millis, table: &StepTable) -> Vec<Action> {
        self.tick_with_limit(now, table, usize::MAX)
    }

    /// Advances the current step: returns what has to be done now, with at most `max_draws` new generations.
    pub fn tick_with_limit(&mut self, now: Millis, table: &StepTable, max_draws: usize) -> Vec<Action> {
        self.draws.expire(now);
        let Some(step) = table.current(&self.model) else { return Vec::new() };
        if self.is_overdue(now, step) {
            return self.propose_once(step, StepState::Aborted, None, Command::Abort { step: step.number });
        }
        match step.state() {
            StepState::Announced | StepState::Preparing => self.prepare(now, step),
            StepState::Open => self.draw(now, step, max_draws),
            StepState::Sealing => self.seal(now, step),
            StepState::Sealed | StepState::Aborted => Vec::new(),
        }
    }

    /// Whether the step's deadline has passed. A step that is being sealed has none any more.
    fn is_overdue(&mut self, now: Millis, step: &Step) -> bool {
        let since = match self.first_seen {
            Some((number, since)) if number == step.number => since,
            _ => {
                self.first_seen = Some((step.number, now));
                self.draw_counts.clear();
                now
            }
        };
        let deadline = step.request.deadline_ms.filter(|_| step.state() != StepState::Sealing);
        deadline.is_some_and(|deadline| now >= since + deadline)
    }

    fn propose_once(
        &mut self,
        step: &Step,
        next: StepState,
        version: Option<Version>,
        command: Command,
    ) -> Vec<Action> {
        let transition = (step.number, next, version);
        if self.proposed == Some(transition) {
            return Vec::new();
        }
        self.proposed = Some(transition);
        vec![Action::Propose(command)]
    }

    /// Seals the step once no generation of it can be running.
    fn seal(&mut self, now: Millis, step: &Step) -> Vec<Action> {
        if self.in_flight() > 0 || now < self.earlier_leader_until {
            return Vec::new();
        }
        self.propose_once(step, StepState::Sealed, None, Command::Seal { step: step.number })
    }

    /// What a step waits for, for operators; `None`: there is no such step, or it is over.
    pub fn wait_reason(&self, now: Millis, table: &StepTable, number: StepNumber) -> Option<WaitReason> {
        let step = table.step(number).filter(|step| !step.state().is_final())?;
        if table.current(&self.model).is_some_and(|current| current.number < number) {
            return Some(WaitReason::EarlierStep);
        }
        match step.state() {
            StepState::Announced | StepState::Preparing => {
                let is_verified =
                    |worker: &&Worker| step.version.is_some_and(|version| worker.is_verified(now, version));
                let verified = self.workers.values().filter(is_verified).count();
                Some(WaitReason::Workers { verified, known: self.workers.len() })
            }
            StepState::Open if !step.has_min_workers() => Some(WaitReason::MinWorkers),
            StepState::Open if step.missing().next().is_some() => Some(WaitReason::Generations),
            StepState::Open => Some(WaitReason::Trainer),
            StepState::Sealing if self.in_flight() > 0 => Some(WaitReason::Generations),
            _ => Some(WaitReason::EarlierGenerations),
        }
    }
}
