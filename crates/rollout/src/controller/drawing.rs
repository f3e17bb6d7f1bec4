//! An open step: generations start in free slots, their ends become commands, and workers that fail are removed.

use super::{Action, Draw, DrawEnd, DrawOutcome, StepController};
use crate::step::{RemovalReason, Step, StepState};
use crate::step_table::{Command, Generation, StepTable};
use crate::worker::WorkerState;
use crate::{Millis, Version, WorkerId};

/// Slots of a worker that generations may take.
struct FreeSlots {
    slots: u32,
    worker: WorkerId,
}

impl StepController {
    /// Prompts of the current step for which a generation could start now.
    pub fn drawable_prompts(&self, now: Millis, table: &StepTable) -> usize {
        let Some(step) = table.current(&self.model).filter(|step| step.state() == StepState::Open) else {
            return 0;
        };
        let Some(version) = step.version.filter(|_| step.has_min_workers()) else { return 0 };
        let slots: u32 = self.free_slots(now, step, version).iter().map(|free| free.slots).sum();
        let missing = step.missing().count().saturating_sub(self.draws.expected());
        missing.min(slots as usize)
    }

    /// A generation ended: returns the commands that follow from it.
    pub fn draw_ended(&mut self, end: DrawEnd, table: &StepTable) -> Vec<Action> {
        let Draw { step, epoch, prompt, worker, version, .. } = end.draw;
        let versions = match end.outcome {
            DrawOutcome::Unknown => {
                self.draws.linger(prompt, &worker);
                return Vec::new();
            }
            DrawOutcome::Over => {
                self.draws.end(prompt, &worker);
                return Vec::new();
            }
            DrawOutcome::Complete(versions) => {
                self.draws.end(prompt, &worker);
                versions
            }
        };
        let reason = match versions.single() {
            Some(drawn) if drawn == version => None,
            Some(_) => Some(RemovalReason::VersionMismatch),
            None => Some(RemovalReason::UnknownVersion),
        };
        let generation =
            Generation { step, epoch, prompt, worker: worker.clone(), versions, tokens: end.tokens };
        let mut actions = vec![Action::Propose(Command::Record(generation))];
        let is_in_step = table.step(step).is_some_and(|known| known.has_worker(&worker));
        if let Some(reason) = reason.filter(|_| is_in_step) {
            actions.push(Action::Propose(Command::RemoveWorker { step, worker, reason }));
        }
        actions
    }

    pub(super) fn draw(&mut self, now: Millis, step: &Step, max_draws: usize) -> Vec<Action> {
        let mut actions = self.remove_failed_workers(now, step);
        let (Some(epoch), Some(version)) = (step.epoch, step.version) else { return actions };
        if !step.has_min_workers() {
            return actions;
        }
        let in_flight = self.draws.prompts();
        let mut missing = step.missing().filter(|prompt| !in_flight.contains(prompt));
        let mut free = self.free_slots(now, step, version);
        for _ in 0..max_draws {
            let Some(position) = free.iter().position(|free| free.slots > 0) else { break };
            let Some(prompt) = missing.next() else { break };
            free[position].slots -= 1;
            let worker = free[position].worker.clone();
            // The next generation goes to another worker.
            free.rotate_left(1);
            let within = step.request.generation_ms.min(self.settings.generation_ms);
            let until = now + self.settings.begin_timeout_ms + within;
            self.draws.start(prompt, worker.clone(), until);
            *self.draw_counts.entry(prompt).or_default() += 1;
            actions.push(Action::Draw(Draw { step: step.number, epoch, prompt, worker, version, within }));
        }
        actions
    }

    /// Removes workers of the step that are lost, do not report, or report another version.
    fn remove_failed_workers(&self, now: Millis, step: &Step) -> Vec<Action> {
        let reason = |worker: &WorkerId| {
            let Some(known) = self.workers.get(worker) else { return Some(RemovalReason::Lost) };
            match known.state() {
                WorkerState::Verified(version) if step.version != Some(version) => {
                    Some(RemovalReason::VersionMismatch)
                }
                _ if now >= known.reported_at + self.settings.silence_timeout_ms => {
                    Some(RemovalReason::Unresponsive)
                }
                _ => None,
            }
        };
        // A new leader has not received a report of each worker yet.
        if now < self.earlier_leader_until {
            return Vec::new();
        }
        let removals = step.active_workers().filter_map(|worker| {
            let (step, worker, reason) = (step.number, worker.clone(), reason(worker)?);
            Some(Action::Propose(Command::RemoveWorker { step, worker, reason }))
        });
        removals.collect()
    }

    /// Slots of the step's workers that serving traffic does not need.
    fn free_slots(&self, now: Millis, step: &Step, version: Version) -> Vec<FreeSlots> {
        let in_flight = self.draws.by_worker();
        let in_flight = |worker: &WorkerId| in_flight.get(worker).copied().unwrap_or(0);
        let workers = step.active_workers().filter_map(|id| Some((id, self.workers.get(id)?)));
        let verified = workers.filter(|(_, worker)| worker.is_verified(now, version));
        let free = verified.map(|(id, worker)| {
            let report = &worker.report;
            // The report counts this step's generations among its active requests, with some delay.
            let taken = report.active.max(in_flight(id)) + self.settings.reserved_slots;
            FreeSlots { slots: report.capacity.saturating_sub(taken), worker: id.clone() }
        });
        free.collect()
    }
}
