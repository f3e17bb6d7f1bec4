//! Commands about steps, and their outcomes.

use crate::evidence::VersionTrail;
use crate::step::{RemovalReason, StepRequest, StepState};
use crate::{Epoch, PromptId, StepNumber, Version, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A complete generation as its edge reported it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generation {
    /// The step.
    pub step: StepNumber,
    /// The epoch in which it started.
    pub epoch: Epoch,
    /// Its prompt.
    pub prompt: PromptId,
    /// The worker that generated it.
    pub worker: WorkerId,
    /// The versions that the answer names.
    pub versions: VersionTrail,
    /// Output tokens.
    pub tokens: u64,
}

/// A command about steps, as an entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A trainer announces a step.
    Announce(StepRequest),
    /// A trainer submits prompts; known ones change nothing.
    Submit {
        /// The step.
        step: StepNumber,
        /// The prompts.
        prompts: BTreeSet<PromptId>,
    },
    /// Fixes the version of a step. While the step is prepared a newer version may replace it.
    FixVersion {
        /// The step.
        step: StepNumber,
        /// The version.
        version: Version,
    },
    /// Opens the step with workers that hold its version. The index of this entry becomes the epoch.
    #[serde(rename = "Begin")]
    Open {
        /// The step.
        step: StepNumber,
        /// The workers.
        members: BTreeSet<WorkerId>,
    },
    /// Records a complete generation.
    Record(Generation),
    /// Removes a worker from the step.
    #[serde(rename = "Leave")]
    RemoveWorker {
        /// The step.
        step: StepNumber,
        /// The worker.
        worker: WorkerId,
        /// The reason.
        reason: RemovalReason,
    },
    /// Closes the step: no generation starts any more.
    Close {
        /// The step.
        step: StepNumber,
        /// Prompts without a generation are accepted.
        allow_missing: bool,
    },
    /// Seals the step: no generation is in flight, its counts are final.
    Seal {
        /// The step.
        step: StepNumber,
    },
    /// Aborts the step.
    Abort {
        /// The step.
        step: StepNumber,
    },
}

/// The outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The state changed.
    Done,
    /// The command had been applied before; nothing changed.
    AlreadyApplied,
    /// The announced step, new or known.
    Step(StepNumber),
    /// The result does not count.
    Discarded(DiscardReason),
}

/// Why a result does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscardReason {
    /// The step accepts no results.
    NotOpen,
    /// It started in another epoch.
    EpochMismatch,
    /// Its worker does not take part in the step.
    NotAWorker,
    /// It does not show that the step's version alone generated it.
    VersionMismatch,
    /// The prompt was not submitted.
    UnknownPrompt,
    /// The prompt already has a result.
    Duplicate,
}

/// Why a command was rejected. The state has not changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StepError {
    /// The step does not exist.
    #[error("there is no step {0}")]
    UnknownStep(StepNumber),
    /// The step's state does not allow the command.
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
    /// The idempotency key belongs to another request.
    #[error("the key names step {0}, which asks for something else")]
    KeyConflict(StepNumber),
    /// The version is not the requested one, or older than the one fixed before.
    #[error("version {0} is not the one that the step may draw from")]
    WrongVersion(Version),
    /// Fewer workers than the step's minimum.
    #[error("{active_workers} workers are fewer than the floor of {min_workers}")]
    TooFewWorkers {
        /// Workers of the command.
        active_workers: usize,
        /// The step's minimum.
        min_workers: u32,
    },
    /// The step cannot be closed: this many prompts have no result.
    #[error("{0} prompts have no generation that counts")]
    Missing(usize),
}
