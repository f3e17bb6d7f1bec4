//! The replicated state of all steps. It is deterministic: replicas that apply the same commands in the same order have
//! the same state.

mod command;

use crate::step::{RemovalReason, RequestedVersion, Step, StepRequest, StepResult, StepState};
use crate::{PromptId, StepNumber, Version, WorkerId};
pub use command::{Applied, Command, DiscardReason, Generation, StepError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The state of all steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepTable {
    steps: BTreeMap<StepNumber, Step>,
    by_key: BTreeMap<String, StepNumber>,
}

impl StepTable {
    /// The step with a number.
    pub fn step(&self, number: StepNumber) -> Option<&Step> {
        self.steps.get(&number)
    }

    /// All steps, in their order.
    pub fn steps(&self) -> impl DoubleEndedIterator<Item = &Step> {
        self.steps.values()
    }

    /// The current step of a model: the first that is not final.
    pub fn current(&self, model: &str) -> Option<&Step> {
        self.steps.values().find(|step| step.request.model == model && !step.state().is_final())
    }

    /// Models that have a current step.
    pub fn models(&self) -> BTreeSet<&str> {
        let open = self.steps.values().filter(|step| !step.state().is_final());
        open.map(|step| step.request.model.as_str()).collect()
    }

    /// Applies the command of the log entry `index`.
    ///
    /// # Errors
    ///
    /// The command is rejected and nothing changes.
    pub fn apply(&mut self, index: u64, command: &Command) -> Result<Applied, StepError> {
        match command {
            Command::Announce(request) => self.announce(request),
            Command::Submit { step, prompts } => self.submit(*step, prompts),
            Command::FixVersion { step, version } => self.fix_version(*step, *version),
            Command::Open { step, members } => self.open(index, *step, members),
            Command::Record(generation) => self.record(generation),
            Command::RemoveWorker { step, worker, reason } => self.remove_worker(*step, worker, *reason),
            Command::Close { step, allow_missing } => self.close(*step, *allow_missing),
            Command::Seal { step } => self.enter(*step, StepState::Sealed),
            Command::Abort { step } => self.enter(*step, StepState::Aborted),
        }
    }

    /// Removes the oldest final steps, keeping `retained` of them. Their idempotency keys become free.
    pub fn remove_old(&mut self, retained: usize) {
        let finished: Vec<StepNumber> =
            self.steps.values().filter(|step| step.state().is_final()).map(|step| step.number).collect();
        for number in &finished[..finished.len().saturating_sub(retained.max(1))] {
            if let Some(step) = self.steps.remove(number) {
                self.by_key.remove(&step.request.key);
            }
        }
    }

    fn announce(&mut self, request: &StepRequest) -> Result<Applied, StepError> {
        if let Some(number) = self.by_key.get(&request.key) {
            let same = self.steps.get(number).is_some_and(|step| step.request == *request);
            return if same { Ok(Applied::Step(*number)) } else { Err(StepError::KeyConflict(*number)) };
        }
        let number = self.steps.keys().next_back().map_or(1, |last| last + 1);
        self.steps.insert(number, Step::new(number, request.clone()));
        self.by_key.insert(request.key.clone(), number);
        Ok(Applied::Step(number))
    }

    fn step_mut(&mut self, number: StepNumber) -> Result<&mut Step, StepError> {
        self.steps.get_mut(&number).ok_or(StepError::UnknownStep(number))
    }

    /// The step, if no earlier step of its model is current.
    fn current_mut(&mut self, number: StepNumber) -> Result<&mut Step, StepError> {
        let model = self.step_mut(number)?.request.model.clone();
        match self.current(&model).map(|step| step.number) {
            Some(current) if current < number => Err(StepError::EarlierStep(current)),
            _ => self.step_mut(number),
        }
    }

    fn submit(&mut self, number: StepNumber, prompts: &BTreeSet<PromptId>) -> Result<Applied, StepError> {
        let step = self.step_mut(number)?;
        if step.state() > StepState::Open {
            return Err(wrong_state(step));
        }
        let before = step.prompts.len();
        step.prompts.extend(prompts);
        step.counts.submitted = step.prompts.len() as u64;
        Ok(if step.prompts.len() > before { Applied::Done } else { Applied::AlreadyApplied })
    }

    fn fix_version(&mut self, number: StepNumber, version: Version) -> Result<Applied, StepError> {
        let step = self.current_mut(number)?;
        if step.state() > StepState::Preparing {
            return Err(wrong_state(step));
        }
        let wrong = match step.request.version {
            RequestedVersion::Exactly(wanted) => version != wanted,
            RequestedVersion::Newest => step.version.is_some_and(|known| version < known),
        };
        if wrong {
            return Err(StepError::WrongVersion(version));
        }
        if step.version == Some(version) {
            return Ok(Applied::AlreadyApplied);
        }
        step.enter(StepState::Preparing);
        step.version = Some(version);
        Ok(Applied::Done)
    }

    fn open(
        &mut self,
        index: u64,
        number: StepNumber,
        members: &BTreeSet<WorkerId>,
    ) -> Result<Applied, StepError> {
        let step = self.current_mut(number)?;
        if step.state() != StepState::Preparing {
            return Err(wrong_state(step));
        }
        let min_workers = step.request.min_workers.max(1);
        if members.len() < min_workers as usize {
            return Err(StepError::TooFewWorkers { active_workers: members.len(), min_workers });
        }
        step.enter(StepState::Open);
        step.epoch = Some(index);
        step.members = members.iter().map(|worker| (worker.clone(), None)).collect();
        Ok(Applied::Done)
    }

    fn record(&mut self, generation: &Generation) -> Result<Applied, StepError> {
        let step = self.step_mut(generation.step)?;
        if let Some(reason) = discard_reason(step, generation) {
            if !step.state().is_final() {
                step.counts.discarded += 1;
            }
            return Ok(Applied::Discarded(reason));
        }
        let Some(version) = step.version else { return Err(wrong_state(step)) };
        let result = StepResult { worker: generation.worker.clone(), version, tokens: generation.tokens };
        step.results.insert(generation.prompt, result);
        step.counts.counted = step.results.len() as u64;
        Ok(Applied::Done)
    }

    fn remove_worker(
        &mut self,
        number: StepNumber,
        worker: &str,
        reason: RemovalReason,
    ) -> Result<Applied, StepError> {
        let step = self.step_mut(number)?;
        if !step.state().accepts_results() {
            return Err(wrong_state(step));
        }
        match step.members.get_mut(worker) {
            Some(removed) if removed.is_none() => {
                *removed = Some(reason);
                Ok(Applied::Done)
            }
            _ => Ok(Applied::AlreadyApplied),
        }
    }

    fn close(&mut self, number: StepNumber, allow_missing: bool) -> Result<Applied, StepError> {
        let step = self.step_mut(number)?;
        // A trainer that did not receive the answer repeats its call.
        if matches!(step.state(), StepState::Sealing | StepState::Sealed) {
            return Ok(Applied::AlreadyApplied);
        }
        let missing = step.missing().count();
        if missing > 0 && !allow_missing {
            return Err(StepError::Missing(missing));
        }
        match step.enter(StepState::Sealing) {
            true => Ok(Applied::Done),
            false => Err(wrong_state(step)),
        }
    }

    fn enter(&mut self, number: StepNumber, state: StepState) -> Result<Applied, StepError> {
        let step = self.step_mut(number)?;
        if step.state() == state {
            return Ok(Applied::AlreadyApplied);
        }
        if !step.enter(state) {
            return Err(wrong_state(step));
        }
        step.counts.missing = step.missing().count() as u64;
        Ok(Applied::Done)
    }
}

fn wrong_state(step: &Step) -> StepError {
    StepError::WrongState { step: step.number, state: step.state() }
}

/// Why a generation does not count in a step; `None`: it counts.
fn discard_reason(step: &Step, generation: &Generation) -> Option<DiscardReason> {
    if !step.state().accepts_results() {
        return Some(DiscardReason::NotOpen);
    }
    if step.epoch != Some(generation.epoch) {
        return Some(DiscardReason::EpochMismatch);
    }
    if !step.has_worker(&generation.worker) {
        return Some(DiscardReason::NotAWorker);
    }
    if generation.versions.single().is_none_or(|version| step.version != Some(version)) {
        return Some(DiscardReason::VersionMismatch);
    }
    if !step.prompts.contains(&generation.prompt) {
        return Some(DiscardReason::UnknownPrompt);
    }
    step.results.contains_key(&generation.prompt).then_some(DiscardReason::Duplicate)
}
