//! The controller's settings, and what it exchanges with its caller.

use crate::evidence::VersionTrail;
use crate::step_table::Command;
use crate::version_rollout::RolloutLimits;
use crate::{Epoch, Millis, PromptId, StepNumber, Version, WorkerId};

/// Limits and time-outs.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Limits of the rollout of a version.
    pub version_rollout: RolloutLimits,
    /// The longest time-out of a generation, whatever its step asks for, milliseconds.
    pub generation_ms: Millis,
    /// Edges start a generation within this time of their request or not at all, milliseconds.
    pub begin_timeout_ms: Millis,
    /// For how long an earlier leader may have acted after this one was elected, milliseconds.
    pub lease_ms: Millis,
    /// Slots of each worker that are reserved for serving traffic.
    pub reserved_slots: u32,
    /// Once enough workers hold a step's version, the step waits this long for the others, milliseconds.
    pub straggler_timeout_ms: Millis,
    /// A worker of an open step that has not reported for this long is removed from the step, milliseconds.
    pub silence_timeout_ms: Millis,
}

/// What the leader has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Propose a command to the log.
    Propose(Command),
    /// Send no more requests of the model to the worker.
    Drain(WorkerId),
    /// Order the worker to load the newest version, provided that it has accepted no order since `if_revision`.
    Load {
        /// The worker.
        worker: WorkerId,
        /// Orders that the worker has accepted so far.
        if_revision: u64,
    },
    /// Have an edge run a generation, with `Expect-Version`.
    Draw(Draw),
}

/// A generation that is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draw {
    /// The step.
    pub step: StepNumber,
    /// The step's epoch.
    pub epoch: Epoch,
    /// The prompt.
    pub prompt: PromptId,
    /// The worker's incarnation.
    pub worker: WorkerId,
    /// The version that it has to run with.
    pub version: Version,
    /// Its time-out from its start, milliseconds.
    pub within: Millis,
}

/// What is known of a generation's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrawOutcome {
    /// The answer is complete, with the versions that it names.
    Complete(VersionTrail),
    /// It did not run, or has ended, without a complete answer.
    Over,
    /// There is no complete answer, and the worker may go on until the generation's time-out.
    Unknown,
}

/// How a generation ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrawEnd {
    /// The generation.
    pub draw: Draw,
    /// Its outcome.
    pub outcome: DrawOutcome,
    /// Output tokens.
    pub tokens: u64,
}

/// What a step waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// An earlier step of the model is not over.
    EarlierStep,
    /// Workers are loading the step's version.
    Workers {
        /// Workers that hold it.
        verified: usize,
        /// All workers that have reported.
        known: usize,
    },
    /// The step has fewer workers than its minimum.
    MinWorkers,
    /// Generations are queued or in flight.
    Generations,
    /// The time-out of generations that an earlier leader or a removed worker may be running.
    EarlierGenerations,
    /// The trainer has to submit prompts or to close the step.
    Trainer,
}
