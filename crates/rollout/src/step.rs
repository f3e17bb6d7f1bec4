//! A training step and its states.

use crate::{Epoch, Millis, PromptId, StepNumber, Version, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The version of the weights that a step asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedVersion {
    /// The newest version in the weight store when the step is prepared.
    Newest,
    /// This version and no other.
    Exactly(Version),
}

/// How many workers a step asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedWorkers {
    /// All that hold the model.
    All,
    /// A number of workers.
    Count(u32),
    /// A share of those that hold the model, in thousandths; one worker at least.
    Permille(u16),
}

impl RequestedWorkers {
    /// The number of workers where `holders` hold the model.
    pub fn of(self, holders: usize) -> usize {
        match self {
            RequestedWorkers::All => holders,
            RequestedWorkers::Count(count) => count as usize,
            RequestedWorkers::Permille(permille) => (holders * usize::from(permille)).div_ceil(1_000).max(1),
        }
    }
}

/// Time-out of a generation whose trainer gives none, milliseconds.
pub const DEFAULT_GENERATION_MS: Millis = 30_000;

/// A trainer's request for a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRequest {
    /// The trainer's idempotency key: the same request under the same key is the same step.
    pub key: String,
    /// The backend whose model servers are the workers.
    pub backend: String,
    /// The model. Steps of one model run one after the other.
    pub model: String,
    /// The version of the weights.
    pub version: RequestedVersion,
    /// The workers that should take part.
    pub workers: RequestedWorkers,
    /// The step runs only while at least this many workers take part.
    #[serde(rename = "floor")]
    pub min_workers: u32,
    /// The path of the workers' HTTP interface that takes prompts.
    pub path: String,
    /// Time-out of a generation from its start, milliseconds.
    pub generation_ms: Millis,
    /// The step is aborted if it is not closed within this time after the leader first saw it, milliseconds.
    pub deadline_ms: Option<Millis>,
}

impl StepRequest {
    /// A step with the newest version, by all workers that hold the model, without a deadline.
    pub fn new(key: &str, model: &str, min_workers: u32) -> StepRequest {
        StepRequest {
            key: key.to_owned(),
            backend: String::new(),
            model: model.to_owned(),
            version: RequestedVersion::Newest,
            workers: RequestedWorkers::All,
            min_workers,
            path: "/".to_owned(),
            generation_ms: DEFAULT_GENERATION_MS,
            deadline_ms: None,
        }
    }
}

/// The state of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StepState {
    /// Announced by its trainer; earlier steps of the model run first.
    Announced,
    /// Its version is known; workers load it.
    Preparing,
    /// Its workers generate.
    Open,
    /// Closed: no generation starts any more; those in flight end or time out.
    Sealing,
    /// Its counts are final.
    Sealed,
    /// Aborted: its generations do not count.
    Aborted,
}

impl StepState {
    /// Whether the step does not change any more.
    pub fn is_final(self) -> bool {
        matches!(self, StepState::Sealed | StepState::Aborted)
    }

    /// Whether results are still accepted.
    pub fn accepts_results(self) -> bool {
        matches!(self, StepState::Open | StepState::Sealing)
    }

    /// Whether a step may change from this state to `next`.
    pub fn can_become(self, next: StepState) -> bool {
        use StepState::{Aborted, Announced, Open, Preparing, Sealed, Sealing};
        match (self, next) {
            (Announced, Preparing) | (Preparing, Open) | (Open, Sealing) | (Sealing, Sealed) => true,
            (_, Aborted) => !self.is_final(),
            _ => false,
        }
    }
}

/// Why a worker was removed from a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemovalReason {
    /// Its incarnation ended.
    #[serde(rename = "Gone")]
    Lost,
    /// It used or reported another version than the step's.
    #[serde(rename = "OtherVersion")]
    VersionMismatch,
    /// Its answer did not show that one version generated all of it.
    #[serde(rename = "NoVersion")]
    UnknownVersion,
    /// It did not report for too long.
    #[serde(rename = "Silent")]
    Unresponsive,
}

/// The generation that counts for a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepResult {
    /// The worker that generated it.
    pub worker: WorkerId,
    /// The version that generated it.
    pub version: Version,
    /// Output tokens.
    pub tokens: u64,
}

/// Counts of a step's prompts and generations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepCounts {
    /// Submitted prompts.
    pub submitted: u64,
    /// Generations that count.
    pub counted: u64,
    /// Results that were discarded.
    pub discarded: u64,
    /// Prompts without a generation that counts; set when the step is sealed or aborted.
    #[serde(rename = "lacking")]
    pub missing: u64,
}

/// A training step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Its number in the order of all steps.
    pub number: StepNumber,
    /// The trainer's request.
    pub request: StepRequest,
    /// Its state.
    pub(crate) state: StepState,
    /// The version of the weights, from `Preparing` on.
    pub version: Option<Version>,
    /// Its fencing token, from `Open` on.
    pub epoch: Option<Epoch>,
    /// Its workers; `Some`: the worker was removed, with the reason.
    pub members: BTreeMap<WorkerId, Option<RemovalReason>>,
    /// Submitted prompts.
    pub prompts: BTreeSet<PromptId>,
    /// The generations that count, by prompt.
    pub results: BTreeMap<PromptId, StepResult>,
    /// Its counts.
    pub counts: StepCounts,
}

impl Step {
    pub(crate) fn new(number: StepNumber, request: StepRequest) -> Step {
        Step {
            number,
            request,
            state: StepState::Announced,
            version: None,
            epoch: None,
            members: BTreeMap::new(),
            prompts: BTreeSet::new(),
            results: BTreeMap::new(),
            counts: StepCounts::default(),
        }
    }

    /// Its state.
    pub fn state(&self) -> StepState {
        self.state
    }

    /// Changes the state if the transition is allowed; returns whether it is. No other function changes it.
    pub(crate) fn enter(&mut self, next: StepState) -> bool {
        let may = self.state.can_become(next);
        if may {
            self.state = next;
        }
        may
    }

    /// Workers that take part.
    pub fn active_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.members.iter().filter(|(_, left)| left.is_none()).map(|(worker, _)| worker)
    }

    /// Whether a worker takes part.
    pub fn has_worker(&self, worker: &str) -> bool {
        self.members.get(worker).is_some_and(Option::is_none)
    }

    /// Whether at least `min_workers` workers take part.
    pub fn has_min_workers(&self) -> bool {
        self.active_workers().count() >= self.request.min_workers.max(1) as usize
    }

    /// Prompts that have no generation that counts.
    pub fn missing(&self) -> impl Iterator<Item = PromptId> {
        self.prompts.iter().copied().filter(|prompt| !self.results.contains_key(prompt))
    }
}
