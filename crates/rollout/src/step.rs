//! A step and its states.

use crate::{Epoch, Millis, PromptId, StepNumber, Version, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Which version a step is to draw from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedVersion {
    /// Whatever the store holds when the step is prepared.
    Newest,
    /// This one and no other.
    Exactly(Version),
}

/// How many of the workers that could take part in a step should.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedWorkers {
    /// All that hold the model.
    All,
    /// So many.
    Count(u32),
    /// So many in a thousand of those that hold the model, one at least.
    Permille(u16),
}

impl RequestedWorkers {
    /// How many these are where so many hold the model.
    pub fn of(self, holders: usize) -> usize {
        match self {
            RequestedWorkers::All => holders,
            RequestedWorkers::Count(count) => count as usize,
            RequestedWorkers::Permille(permille) => (holders * usize::from(permille)).div_ceil(1_000).max(1),
        }
    }
}

/// The time of a generation whose trainer asks for none, milliseconds.
pub const DEFAULT_GENERATION_MS: Millis = 30_000;

/// What a trainer asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRequest {
    /// The trainer's own name for the call: the same call again is the same step.
    pub key: String,
    /// The service whose model servers are the workers.
    pub backend: String,
    /// The model. Steps of one model go one after the other.
    pub model: String,
    /// The version.
    pub version: RequestedVersion,
    /// Workers that should take part.
    pub workers: RequestedWorkers,
    /// The step goes on with no fewer workers than these.
    pub floor: u32,
    /// Where workers take the prompts, as a path.
    pub path: String,
    /// A generation that is not complete by then is over, milliseconds.
    pub generation_ms: Millis,
    /// The step is given up when it is not sealed so long after its leader saw it first, milliseconds.
    pub deadline_ms: Option<Millis>,
}

impl StepRequest {
    /// A step with the newest version, by all workers that hold the model, without a deadline.
    pub fn new(key: &str, model: &str, floor: u32) -> StepRequest {
        StepRequest {
            key: key.to_owned(),
            backend: String::new(),
            model: model.to_owned(),
            version: RequestedVersion::Newest,
            workers: RequestedWorkers::All,
            floor,
            path: "/".to_owned(),
            generation_ms: DEFAULT_GENERATION_MS,
            deadline_ms: None,
        }
    }
}

/// Where a step stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StepState {
    /// Asked for; earlier steps of the model go first.
    Announced,
    /// Its version is known; workers are brought to it.
    Preparing,
    /// Its workers draw.
    Open,
    /// No generation begins any more; those under way end or run out of time.
    Sealing,
    /// Its counts are final.
    Sealed,
    /// It was given up; its generations count for nothing.
    Aborted,
}

impl StepState {
    /// Whether nothing changes any more.
    pub fn is_final(self) -> bool {
        matches!(self, StepState::Sealed | StepState::Aborted)
    }

    /// Whether results may still count.
    pub fn counts(self) -> bool {
        matches!(self, StepState::Open | StepState::Sealing)
    }

    /// Whether a step may go from this state to another.
    pub fn can_become(self, next: StepState) -> bool {
        use StepState::{Aborted, Announced, Open, Preparing, Sealed, Sealing};
        match (self, next) {
            (Announced, Preparing) | (Preparing, Open) | (Open, Sealing) | (Sealing, Sealed) => true,
            (_, Aborted) => !self.is_final(),
            _ => false,
        }
    }
}

/// Why a worker left a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemovalReason {
    /// It restarted or was lost.
    #[serde(rename = "Gone")]
    Lost,
    /// It drew from another version than the step's.
    #[serde(rename = "OtherVersion")]
    VersionMismatch,
    /// It did not say what it drew from.
    #[serde(rename = "NoVersion")]
    UnknownVersion,
    /// It could not be reached for too long.
    #[serde(rename = "Silent")]
    Unresponsive,
}

/// A generation that counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepResult {
    /// Who drew it.
    pub worker: WorkerId,
    /// From which version.
    pub version: Version,
    /// Tokens that were put out.
    pub tokens: u64,
}

/// What became of a step's generations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepCounts {
    /// Prompts that were submitted.
    pub submitted: u64,
    /// Generations that count.
    pub counted: u64,
    /// Results that were told and do not count.
    pub discarded: u64,
    /// Prompts that the step lacks, known once it is sealed.
    #[serde(rename = "lacking")]
    pub missing: u64,
}

/// One step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Its place in the order of all steps.
    pub number: StepNumber,
    /// What was asked for.
    pub request: StepRequest,
    /// Where it stands.
    pub(crate) state: StepState,
    /// The version that it draws from, from `Preparing` on.
    pub version: Option<Version>,
    /// Its fencing token, from `Open` on.
    pub epoch: Option<Epoch>,
    /// Its workers; those that left, with the reason.
    pub members: BTreeMap<WorkerId, Option<RemovalReason>>,
    /// Prompts that are to be drawn for.
    pub prompts: BTreeSet<PromptId>,
    /// What counts.
    pub results: BTreeMap<PromptId, StepResult>,
    /// What became of it all.
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

    /// Where it stands.
    pub fn state(&self) -> StepState {
        self.state
    }

    /// The one function that changes a step's state. Returns whether it may.
    pub(crate) fn enter(&mut self, next: StepState) -> bool {
        let may = self.state.can_become(next);
        if may {
            self.state = next;
        }
        may
    }

    /// Workers that take part now.
    pub fn active_workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.members.iter().filter(|(_, left)| left.is_none()).map(|(worker, _)| worker)
    }

    /// Whether a worker takes part now.
    pub fn has_worker(&self, worker: &str) -> bool {
        self.members.get(worker).is_some_and(Option::is_none)
    }

    /// Whether enough workers are left to go on.
    pub fn has_min_workers(&self) -> bool {
        self.active_workers().count() >= self.request.floor.max(1) as usize
    }

    /// Prompts that have no generation that counts.
    pub fn missing(&self) -> impl Iterator<Item = PromptId> {
        self.prompts.iter().copied().filter(|prompt| !self.results.contains_key(prompt))
    }
}
