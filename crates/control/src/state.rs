//! The replicated state machine. Every replica applies the same commands in the same order and comes to the same state.

use crate::configuration::{self, Rejection};
use crate::document;
use crate::result_code::ResultCode;
use crate::training::{TrainingCommand, TrainingState};
use pathbank_rollout::StepNumber;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Sealed windows that are kept, so that a new leader can repeat them exactly.
const SEALED_KEPT: usize = 8;

/// How an operator changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// The body is a whole configuration.
    Replace,
    /// The body names items to add, replace or remove.
    Update,
}

/// A change as an operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// What the body is.
    pub kind: ChangeKind,
    /// The version on which it builds.
    pub base: u64,
    /// The body as JSON text.
    pub body: String,
}

/// What the log's commands are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's change.
    Change(Change),
    /// The usage of a window, as it is to be reported, word for word.
    SealUsage {
        /// The window's number.
        window: u64,
        /// Requests by tenant.
        counts: BTreeMap<String, u64>,
    },
    /// About a training step.
    Training(TrainingCommand),
}

impl Command {
    /// As it lies in the log.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// From the log; `None` for one that a newer program wrote.
    pub fn decode(bytes: &[u8]) -> Option<Command> {
        serde_json::from_slice(bytes).ok()
    }
}

/// What came of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// It is in force.
    Now,
    /// It was taken before.
    Before,
    /// It is this training step.
    Step(StepNumber),
}

/// A change that was taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Taken {
    version: u64,
    digest: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ControlState {
    /// The document in force.
    document: Option<Value>,
    /// The log's entry that brought it.
    index: u64,
    version: u64,
    taken: Vec<Taken>,
    sealed: BTreeMap<u64, BTreeMap<String, u64>>,
    /// The highest window that was ever sealed.
    last_sealed: u64,
    /// Training steps; a snapshot of an earlier program has none.
    #[serde(default)]
    training: TrainingState,
}

impl ControlState {
    /// The state of a snapshot; an unreadable one is an error of the program that wrote it.
    pub fn decode(bytes: &[u8]) -> Option<ControlState> {
        serde_json::from_slice(bytes).ok()
    }

    /// For a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The document in force, and the entry that brought it.
    pub fn document(&self) -> Option<(&Value, u64)> {
        self.document.as_ref().map(|document| (document, self.index))
    }

    /// The version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Windows whose counts are final, newest last.
    pub fn sealed(&self) -> &BTreeMap<u64, BTreeMap<String, u64>> {
        &self.sealed
    }

    /// The highest window that was ever sealed; 0: none.
    pub fn last_sealed(&self) -> u64 {
        self.last_sealed
    }

    /// Training steps.
    pub fn training(&self) -> &TrainingState {
        &self.training
    }

    /// What would come of a change on this state, without making it: the new document, or that it was taken before.
    pub fn judge(&self, change: &Change) -> Result<Option<Value>, Rejection> {
        let body = document::parse_document(change.body.as_bytes())?;
        let digest = digest(change, &body);
        if self.taken.iter().any(|taken| taken.digest == digest) {
            return Ok(None);
        }
        if change.base != self.version {
            let message = format!("version {} is current, not {}", self.version, change.base);
            return Err(Rejection::new(ResultCode::BaseMismatch, message));
        }
        let document = match change.kind {
            ChangeKind::Replace => body,
            ChangeKind::Update => {
                let empty = Value::Object(serde_json::Map::new());
                document::apply_update(self.document.as_ref().unwrap_or(&empty), &body)?
            }
        };
        let typed = configuration::read(&document)?;
        if typed.version <= self.version {
            let message = format!("version {} is not above {}", typed.version, self.version);
            return Err(Rejection::new(ResultCode::VersionNotAbove, message));
        }
        configuration::check(&typed)?;
        Ok(Some(document))
    }

    /// The one function that changes the state: applies the command of the entry `index`.
    pub fn apply(&mut self, index: u64, command: &Command) -> Result<Accepted, Rejection> {
        match command {
            Command::Change(change) => self.apply_change(index, change),
            Command::SealUsage { window, counts } => {
                if *window > self.last_sealed {
                    self.last_sealed = *window;
                    self.sealed.insert(*window, counts.clone());
                }
                while self.sealed.len() > SEALED_KEPT {
                    self.sealed.pop_first();
                }
                Ok(Accepted::Now)
            }
            Command::Training(command) => self.training.apply(index, command),
        }
    }

    fn apply_change(&mut self, index: u64, change: &Change) -> Result<Accepted, Rejection> {
        let Some(document) = self.judge(change)? else { return Ok(Accepted::Before) };
        let body = document::parse_document(change.body.as_bytes())?;
        let version = document.get("version").and_then(Value::as_u64).unwrap_or(0);
        self.taken.push(Taken { version, digest: digest(change, &body) });
        (self.document, self.index, self.version) = (Some(document), index, version);
        Ok(Accepted::Now)
    }
}

/// FNV-1a over what makes a change the same change: its kind, its base and its content, whatever the spacing.
fn digest(change: &Change, body: &Value) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let text = format!("{:?} {} {body}", change.kind, change.base);
    text.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
