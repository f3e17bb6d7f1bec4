//! The replicated state of all steps. Every replica applies the same commands in the same order and comes to
//! the same state.

use crate::evidence::VersionTrail;
use crate::step::{RemovalReason, RequestedVersion, Step, StepRequest, StepResult, StepState};
use crate::{Epoch, PromptId, StepNumber, Version, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A generation as a worker drew it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// The step for which it was drawn.
    pub step: StepNumber,
    /// The epoch under which it was begun.
    pub epoch: Epoch,
    /// Its prompt.
    pub prompt: PromptId,
    /// Who drew it.
    pub worker: WorkerId,
    /// What the answer said of versions.
    pub versions: VersionTrail,
    /// Tokens that were put out.
    pub tokens: u64,
}

/// What the log's entries about steps are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A trainer asks for a step.
    Announce(StepRequest),
    /// A trainer submits prompts; those that are there already change nothing.
    Submit {
        /// The step.
        step: StepNumber,
        /// The prompts.
        prompts: BTreeSet<PromptId>,
    },
    /// The step is to draw from this version. While it is prepared a newer one may take its place.
    FixVersion {
        /// The step.
        step: StepNumber,
        /// The version.
        version: Version,
    },
    /// These workers hold the version, and draw from now on.
    #[serde(rename = "Begin")]
    Open {
        /// The step.
        step: StepNumber,
        /// The workers.
        members: BTreeSet<WorkerId>,
    },
    /// A generation came to its end.
    Record(Generation),
    /// A worker takes no part in the step any more.
    #[serde(rename = "Leave")]
    RemoveWorker {
        /// The step.
        step: StepNumber,
        /// The worker.
        worker: WorkerId,
        /// Why.
        reason: RemovalReason,
    },
    /// No generation begins any more.
    Close {
        /// The step.
        step: StepNumber,
        /// The trainer takes it with what is missing.
        allow_missing: bool,
    },
    /// Nothing of the step is under way any more: its counts are final.
    Seal {
        /// The step.
        step: StepNumber,
    },
    /// The step is given up.
    Abort {
        /// The step.
        step: StepNumber,
    },
}

/// What came of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It changed what it says.
    Done,
    /// It had been carried out before.
    AlreadyApplied,
    /// The step that was asked for.
    Step(StepNumber),
    /// A result that does not count.
    Discarded(DiscardReason),
}

/// Why a result does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// The step is not open, or is sealed.
    NotOpen,
    /// It was drawn under another epoch.
    EpochMismatch,
    /// Its worker takes no part in the step.
    NotAWorker,
    /// It was not shown to be drawn from the step's version alone.
    VersionMismatch,
    /// Nobody submitted that prompt.
    UnknownPrompt,
    /// The prompt has one that counts.
    Duplicate,
}

/// Why a command was refused; it changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StepError {
    /// There is no such step.
    #[error("there is no step {0}")]
    UnknownStep(StepNumber),
    /// The step's state does not allow it.
    #[error("step {step} is {state:?}")]
    WrongState {
        /// The step.
        step: StepNumber,
        /// Its state.
        state: StepState,
    },
    /// An earlier step of the model is not over.
    #[error("step {0} of the same model is not over")]
    EarlierStep(StepNumber),
    /// The trainer's key names another request.
    #[error("the key names step {0}, which asks for something else")]
    KeyConflict(StepNumber),
    /// Another version than the one that was asked for, or an older one than before.
    #[error("version {0} is not the one that the step may draw from")]
    WrongVersion(Version),
    /// Fewer workers than the step's floor.
    #[error("{active_workers} workers are fewer than the floor of {floor}")]
    TooFewWorkers {
        /// Workers that could take part.
        active_workers: usize,
        /// The step's floor.
        floor: u32,
    },
    /// Prompts have no generation that counts.
    #[error("{0} prompts have no generation that counts")]
    Missing(usize),
}

/// All steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepTable {
    steps: BTreeMap<StepNumber, Step>,
    by_key: BTreeMap<String, StepNumber>,
}

impl StepTable {
    /// One step.
    pub fn step(&self, number: StepNumber) -> Option<&Step> {
        self.steps.get(&number)
    }

    /// All steps, in their order.
    pub fn steps(&self) -> impl DoubleEndedIterator<Item = &Step> {
        self.steps.values()
    }

    /// The step of a model that is under way: the first that is not over.
    pub fn current(&self, model: &str) -> Option<&Step> {
        self.steps.values().find(|step| step.request.model == model && !step.state().is_final())
    }

    /// Models that have a step under way.
    pub fn models(&self) -> BTreeSet<&str> {
        let open = self.steps.values().filter(|step| !step.state().is_final());
        open.map(|step| step.request.model.as_str()).collect()
    }

    /// The one function that changes the state: applies the command of the log's entry `index`.
    ///
    /// # Errors
    ///
    /// The command is refused, and nothing changes.
    pub fn apply(&mut self, index: u64, command: &Command) -> Result<Applied, StepError> {
        match command {
            Command::Announce(request) => self.announce(request),
            Command::Submit { step, prompts } => self.submit(*step, prompts),
            Command::FixVersion { step, version } => self.fix_version(*step, *version),
            Command::Open { step, members } => self.begin(index, *step, members),
            Command::Record(generation) => self.record(generation),
            Command::RemoveWorker { step, worker, reason } => self.leave(*step, worker, *reason),
            Command::Close { step, allow_missing } => self.close(*step, *allow_missing),
            Command::Seal { step } => self.enter(*step, StepState::Sealed),
            Command::Abort { step } => self.enter(*step, StepState::Aborted),
        }
    }

    /// Forgets the oldest steps that are over, but for so many of them. A key that is forgotten may be used
    /// again.
    pub fn forget_old(&mut self, kept: usize) {
        let over: Vec<StepNumber> =
            self.steps.values().filter(|step| step.state().is_final()).map(|step| step.number).collect();
        for number in &over[..over.len().saturating_sub(kept.max(1))] {
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

    /// The step, if it is the one of its model that is under way.
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

    fn begin(
        &mut self,
        index: u64,
        number: StepNumber,
        members: &BTreeSet<WorkerId>,
    ) -> Result<Applied, StepError> {
        let step = self.current_mut(number)?;
        if step.state() != StepState::Preparing {
            return Err(wrong_state(step));
        }
        let floor = step.request.floor.max(1);
        if members.len() < floor as usize {
            return Err(StepError::TooFewWorkers { active_workers: members.len(), floor });
        }
        step.enter(StepState::Open);
        step.epoch = Some(index);
        step.members = members.iter().map(|worker| (worker.clone(), None)).collect();
        Ok(Applied::Done)
    }

    fn record(&mut self, generation: &Generation) -> Result<Applied, StepError> {
        let step = self.step_mut(generation.step)?;
        if let Some(why) = why_not(step, generation) {
            if !step.state().is_final() {
                step.counts.discarded += 1;
            }
            return Ok(Applied::Discarded(why));
        }
        let Some(version) = step.version else { return Err(wrong_state(step)) };
        let counted = StepResult { worker: generation.worker.clone(), version, tokens: generation.tokens };
        step.results.insert(generation.prompt, counted);
        step.counts.counted = step.results.len() as u64;
        Ok(Applied::Done)
    }

    fn leave(
        &mut self,
        number: StepNumber,
        worker: &str,
        reason: RemovalReason,
    ) -> Result<Applied, StepError> {
        let step = self.step_mut(number)?;
        if !step.state().counts() {
            return Err(wrong_state(step));
        }
        match step.members.get_mut(worker) {
            Some(left) if left.is_none() => {
                *left = Some(reason);
                Ok(Applied::Done)
            }
            _ => Ok(Applied::AlreadyApplied),
        }
    }

    fn close(&mut self, number: StepNumber, allow_missing: bool) -> Result<Applied, StepError> {
        let step = self.step_mut(number)?;
        // Whoever did not hear that it is being sealed asks again.
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

/// Why a generation does not count in a step, if it does not.
fn why_not(step: &Step, generation: &Generation) -> Option<DiscardReason> {
    if !step.state().counts() {
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
