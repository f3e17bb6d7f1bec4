//! The replicated state machine: configuration, accepted changes, sealed usage, training steps, deregistered
//! model servers. All replicas apply the same commands in the same order and so have the same state.

use crate::change_log::{ChangeLog, ChangeLookup};
use crate::checked_document::CheckedDocument;
use crate::command_outcome::CommandOutcome;
use crate::configuration::{Backend, Rejection};
use crate::deregistrations::DeregisteredInstances;
use crate::document::Document;
use crate::prepared_change::{ChangeBasis, PreparedChange};
use crate::result_code::ResultCode;
use crate::training::{TrainingCommand, TrainingState};
use pathbank_coordination::digest::digest;
use pathbank_coordination::state_comparison::StateDigest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The number of sealed windows that are kept, so that a new leader can report them again exactly.
const MAX_SEALED_WINDOWS: usize = 8;

/// How an operator changes the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeKind {
    /// The body is a complete configuration.
    Replace,
    /// The body names items to add, replace or remove. A list that the document does not have comes into being, also
    /// where the body names no item of it.
    Update,
    /// Like `Update`, but only an item that is added brings a list into being: a list that is absent stays absent
    /// where the body adds nothing to it. Of command format 2.
    UpdateItems,
}

/// A change as an operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The kind of the body.
    pub kind: ChangeKind,
    /// The version on which the change builds.
    pub base: u64,
    /// The body as JSON text.
    pub body: String,
}

/// A command of the replicated log.
///
/// The meaning of a variant never changes: another meaning needs another variant, which is proposed only once
/// all members of the group can decode it, because a replica that cannot decode a command stops.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// An operator's change.
    Change(Change),
    /// The usage of a window becomes final, exactly as it is reported to the platform.
    SealUsage {
        /// The window's number.
        window: u64,
        /// Requests begun, by tenant.
        counts: BTreeMap<String, u64>,
    },
    /// A command of a training step.
    Training(TrainingCommand),
    /// All members decode commands of this format, and are proposed such commands from now on.
    RaiseFormat {
        /// The format of commands.
        format: u32,
    },
    /// Model servers have deregistered. Of command format 1.
    Deregister {
        /// Their incarnations.
        instances: Vec<String>,
    },
}

/// The newest format of commands that this program decodes. Format 0 ends with `Command::Training`, and
/// `Command::RaiseFormat` itself belongs to format 1.
pub const COMMAND_FORMAT: u32 = FORMAT_WITH_UPDATED_ITEMS;
/// The first format of commands with `Command::Deregister`.
pub const FORMAT_WITH_DEREGISTRATIONS: u32 = 1;
/// The first format of commands with `ChangeKind::UpdateItems`.
pub const FORMAT_WITH_UPDATED_ITEMS: u32 = 2;

impl Command {
    /// The bytes of its log entry, which are JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes the bytes of a log entry.
    ///
    /// # Errors
    ///
    /// `StateError::UnknownCommand`: a newer program wrote the entry, or it is damaged.
    pub fn decode(bytes: &[u8]) -> Result<Command, StateError> {
        serde_json::from_slice(bytes).map_err(StateError::UnknownCommand)
    }
}

/// The newest format of snapshots that this program reads.
const SNAPSHOT_FORMAT: u32 = FORMAT_WITH_COMMAND_FORMAT;
/// The first format with the log of accepted changes.
const FORMAT_WITH_CHANGE_LOG: u32 = 2;
/// The first format with the format of commands. A snapshot has it once commands of format 1 may be in the log:
/// until then, programs of the version before read it.
const FORMAT_WITH_COMMAND_FORMAT: u32 = 3;

/// Why a replica stops: its state would differ from that of the others.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// A snapshot does not decode.
    #[error("the snapshot cannot be read: {0}")]
    UnreadableSnapshot(serde_json::Error),
    /// A snapshot was written by a newer program.
    #[error("the snapshot has format {0}, and this program knows formats up to {SNAPSHOT_FORMAT}")]
    UnknownFormat(u32),
    /// A command does not decode: a newer program wrote it.
    #[error("a command of the log cannot be read: {0}")]
    UnknownCommand(serde_json::Error),
}

/// The effect that a change would have on a state.
#[derive(Clone, Debug)]
pub enum ChangeEvaluation {
    /// The change is valid, and is in force once it is committed.
    Applicable {
        /// The resulting document.
        document: CheckedDocument,
        /// The digest by which the change is recognised if it is sent again.
        digest: u128,
    },
    /// The change was accepted before; it changes nothing.
    AlreadyApplied,
}

/// The format of the encoded state, which changes with every change of the encoding. Digests of different
/// formats are not compared. Fields that are written only once all members know them leave it as it is.
pub const DIGEST_FORMAT: u32 = 1;

/// The replicated state. Copies share its large parts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlState {
    /// The format of the snapshot. A snapshot without this field has format 1.
    #[serde(default)]
    format: u32,
    /// The document in force.
    document: Option<CheckedDocument>,
    /// The index of the log entry that brought the document.
    index: u64,
    version: u64,
    /// Accepted changes. Format 1 had digests of another kind instead.
    #[serde(default)]
    changes: Arc<ChangeLog>,
    sealed: BTreeMap<u64, BTreeMap<String, u64>>,
    /// The highest window that was ever sealed.
    last_sealed: u64,
    /// Training steps. A snapshot of an earlier program has none.
    #[serde(default)]
    training: Arc<TrainingState>,
    /// The format of commands that all members decode.
    #[serde(default, skip_serializing_if = "is_zero")]
    command_format: u32,
    /// The model servers that deregistered last.
    #[serde(default, skip_serializing_if = "is_empty")]
    deregistered: Arc<DeregisteredInstances>,
}

fn is_zero(format: &u32) -> bool {
    *format == 0
}

fn is_empty(instances: &Arc<DeregisteredInstances>) -> bool {
    instances.is_empty()
}

impl Default for ControlState {
    fn default() -> ControlState {
        ControlState {
            format: FORMAT_WITH_CHANGE_LOG,
            document: None,
            index: 0,
            version: 0,
            changes: Arc::default(),
            sealed: BTreeMap::new(),
            last_sealed: 0,
            training: Arc::default(),
            command_format: 0,
            deregistered: Arc::default(),
        }
    }
}

impl ControlState {
    /// Decodes a snapshot. No bytes stand for the state before the first command.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be decoded, or a newer program wrote it.
    pub fn decode(bytes: &[u8]) -> Result<ControlState, StateError> {
        if bytes.is_empty() {
            return Ok(ControlState::default());
        }
        let mut state: ControlState =
            serde_json::from_slice(bytes).map_err(StateError::UnreadableSnapshot)?;
        if state.format > SNAPSHOT_FORMAT {
            return Err(StateError::UnknownFormat(state.format));
        }
        if state.format < FORMAT_WITH_CHANGE_LOG {
            state.format = FORMAT_WITH_CHANGE_LOG;
            state.changes = Arc::new(ChangeLog::complete_from(state.version));
        }
        Ok(state)
    }

    /// Encodes a snapshot as JSON.
    #[expect(clippy::expect_used, reason = "JSON can represent every value of the state")]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("JSON can represent every value of the state")
    }

    /// The digest by which replicas compare their states. This encodes the state, which takes milliseconds
    /// for a large one.
    pub fn digest(&self) -> StateDigest {
        StateDigest { format: DIGEST_FORMAT, digest: digest(&[&self.encode()]) }
    }

    /// The document in force, and the index of the log entry that brought it.
    pub fn document(&self) -> Option<(&Document, u64)> {
        self.document.as_ref().map(|checked| (checked.document(), self.index))
    }

    /// The services of the document in force; `None` before the first.
    pub fn backends(&self) -> Option<&Arc<[Backend]>> {
        self.document.as_ref().map(CheckedDocument::backends)
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

    /// The format of commands that all members decode: newer ones must not be proposed.
    pub fn command_format(&self) -> u32 {
        self.command_format
    }

    /// The kind of an update that is proposed now: the newest that all members decode.
    pub fn update_kind(&self) -> ChangeKind {
        match self.command_format >= FORMAT_WITH_UPDATED_ITEMS {
            true => ChangeKind::UpdateItems,
            false => ChangeKind::Update,
        }
    }

    /// The model servers that deregistered last.
    pub fn deregistered(&self) -> &DeregisteredInstances {
        &self.deregistered
    }

    /// The configuration in force, for changes that are prepared outside the event loop.
    pub fn change_basis(&self) -> ChangeBasis {
        ChangeBasis::new(self.document.clone(), self.index, self.version)
    }

    /// Determines the effect that a change would have on this state, without applying it.
    ///
    /// # Errors
    ///
    /// The change is invalid, does not build on the current version, or is too old to tell whether it was
    /// accepted before.
    pub fn evaluate(&self, change: &Change) -> Result<ChangeEvaluation, Rejection> {
        self.evaluate_prepared(change, &self.change_basis().prepare(change)?)
    }

    /// Like [`ControlState::evaluate`], for a change that was prepared on this state's configuration or an
    /// earlier one.
    ///
    /// # Errors
    ///
    /// Those of [`ControlState::evaluate`].
    pub fn evaluate_prepared(
        &self,
        change: &Change,
        prepared: &PreparedChange,
    ) -> Result<ChangeEvaluation, Rejection> {
        let digest = prepared.digest();
        match self.changes.lookup(digest, change.base) {
            ChangeLookup::Accepted => return Ok(ChangeEvaluation::AlreadyApplied),
            ChangeLookup::Evicted => {
                let message = format!("what was taken on version {} is forgotten", change.base);
                return Err(Rejection::new(ResultCode::Unclear, message));
            }
            ChangeLookup::Unknown => {}
        }
        if change.base != self.version {
            let message = format!("version {} is current, not {}", self.version, change.base);
            return Err(Rejection::new(ResultCode::BaseMismatch, message));
        }
        match prepared.document_on(self.index) {
            Some(document) => Ok(ChangeEvaluation::Applicable { document: document?, digest }),
            // The configuration has changed since the preparation.
            None => self.evaluate(change),
        }
    }

    /// Applies the command of the log entry `index`. Nothing else changes the state.
    ///
    /// # Errors
    ///
    /// The command is rejected, and changes nothing.
    pub fn apply(&mut self, index: u64, command: &Command) -> Result<CommandOutcome, Rejection> {
        match command {
            Command::Change(change) => {
                let evaluation = self.evaluate(change)?;
                Ok(self.apply_change(index, change, evaluation))
            }
            Command::SealUsage { window, counts } => {
                if *window > self.last_sealed {
                    self.last_sealed = *window;
                    self.sealed.insert(*window, counts.clone());
                }
                while self.sealed.len() > MAX_SEALED_WINDOWS {
                    self.sealed.pop_first();
                }
                Ok(CommandOutcome::Applied)
            }
            Command::Training(command) => Arc::make_mut(&mut self.training).apply(index, command),
            Command::RaiseFormat { format } => Ok(self.raise_format(*format)),
            Command::Deregister { instances } => Ok(self.deregister(instances)),
        }
    }

    fn raise_format(&mut self, format: u32) -> CommandOutcome {
        if format <= self.command_format {
            return CommandOutcome::AlreadyApplied;
        }
        (self.command_format, self.format) = (format, FORMAT_WITH_COMMAND_FORMAT);
        CommandOutcome::Applied
    }

    fn deregister(&mut self, instances: &[String]) -> CommandOutcome {
        let deregistered = Arc::make_mut(&mut self.deregistered);
        let new = instances.iter().filter(|instance| deregistered.record(instance)).count();
        if new > 0 { CommandOutcome::Applied } else { CommandOutcome::AlreadyApplied }
    }

    /// Applies the change of the log entry `index`, which was prepared before. The result is that of
    /// [`ControlState::apply`].
    ///
    /// # Errors
    ///
    /// The change is rejected, and changes nothing.
    pub fn apply_prepared(
        &mut self,
        index: u64,
        change: &Change,
        prepared: &PreparedChange,
    ) -> Result<CommandOutcome, Rejection> {
        let evaluation = self.evaluate_prepared(change, prepared)?;
        Ok(self.apply_change(index, change, evaluation))
    }

    fn apply_change(&mut self, index: u64, change: &Change, evaluation: ChangeEvaluation) -> CommandOutcome {
        let ChangeEvaluation::Applicable { document, digest } = evaluation else {
            return CommandOutcome::AlreadyApplied;
        };
        let version = document.version();
        Arc::make_mut(&mut self.changes).record(digest, change.base);
        (self.document, self.index, self.version) = (Some(document), index, version);
        CommandOutcome::Applied
    }
}
