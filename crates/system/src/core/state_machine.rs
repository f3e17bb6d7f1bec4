//! The replicated state machine of a core: the control state as of the last applied entry.

use super::preparation::PreparedCommand;
use pathbank_control::command_outcome::CommandOutcome;
use pathbank_control::configuration::Rejection;
use pathbank_control::state::{Command, ControlState, StateError};
use pathbank_coordination::record::DurableState;
use pathbank_coordination::types::{Entry, Index, Payload, Snapshot, Term};
use std::collections::BTreeMap;

/// What an applied entry was.
pub enum Applied {
    /// A leader began its term: its node name.
    LeaderStart(String),
    /// The membership changed.
    Membership,
    /// A command was applied.
    Command {
        /// The command.
        command: Command,
        /// Its result.
        result: Result<CommandOutcome, Rejection>,
        /// Its size in the log.
        bytes: usize,
    },
}

/// The control state with its position in the log.
pub struct StateMachine {
    state: ControlState,
    applied: Index,
    /// Applied since the last snapshot.
    log_bytes: usize,
    /// Commands that were prepared beside the event loop.
    prepared: BTreeMap<Index, PreparedCommand>,
    /// Why nothing more can be applied.
    failure: Option<StateError>,
}

/// Why a disk's state cannot be read by this program.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// The snapshot.
    #[error("state of this disk's snapshot")]
    Snapshot(#[source] StateError),
    /// A command of the log.
    #[error("entry {index} of this disk's log")]
    Entry {
        /// Its entry.
        index: Index,
        /// The error.
        source: StateError,
    },
}

impl StateMachine {
    /// The state machine at a disk's snapshot.
    ///
    /// # Errors
    ///
    /// The snapshot or a command behind it is of a newer program.
    pub fn restore(durable: &DurableState) -> Result<StateMachine, RestoreError> {
        let state = ControlState::decode(&durable.snapshot.data).map_err(RestoreError::Snapshot)?;
        for entry in durable.log.entries() {
            if let Payload::Command(bytes) = &entry.payload {
                Command::decode(bytes)
                    .map_err(|source| RestoreError::Entry { index: entry.index, source })?;
            }
        }
        let applied = durable.snapshot.index;
        Ok(StateMachine { state, applied, log_bytes: 0, prepared: BTreeMap::new(), failure: None })
    }

    /// The control state.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The last entry that was applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Bytes of the entries that were applied since the last snapshot.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    /// Whether nothing more can be applied.
    pub fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// Why this core cannot reach the state of the others, if so. The process has to end then.
    pub fn take_failure(&mut self) -> Option<StateError> {
        self.failure.take()
    }

    fn fail(&mut self, error: StateError) {
        self.failure.get_or_insert(error);
    }

    /// Applies a committed entry. `None`: it, or an earlier one, is of a newer program.
    pub fn apply(&mut self, entry: Entry) -> Option<Applied> {
        if self.has_failed() {
            return None;
        }
        self.applied = entry.index;
        self.log_bytes += entry.payload.size();
        match entry.payload {
            Payload::LeaderStart(name) => Some(Applied::LeaderStart(name)),
            Payload::Membership(_) => Some(Applied::Membership),
            Payload::Command(bytes) => {
                let prepared = self.take_prepared(entry.index, entry.term);
                self.apply_command(entry.index, &bytes, prepared)
            }
        }
    }

    fn apply_command(
        &mut self,
        index: Index,
        bytes: &[u8],
        prepared: Option<PreparedCommand>,
    ) -> Option<Applied> {
        let (command, change) = match prepared {
            Some(prepared) => (prepared.command, prepared.change),
            None => (Command::decode(bytes), None),
        };
        let command = match command {
            Ok(command) => command,
            Err(error) => {
                self.fail(error);
                return None;
            }
        };
        let result = match (&command, &change) {
            (Command::Change(change), Some(prepared)) => self.state.apply_prepared(index, change, prepared),
            _ => self.state.apply(index, &command),
        };
        Some(Applied::Command { command, result, bytes: bytes.len() })
    }

    /// Keeps a prepared command until its entry is applied.
    pub fn keep_prepared(&mut self, command: PreparedCommand) {
        self.prepared.insert(command.index, command);
    }

    /// The prepared command of an entry. One of another term is another command.
    fn take_prepared(&mut self, index: Index, term: Term) -> Option<PreparedCommand> {
        let later = self.prepared.split_off(&(index + 1));
        let prepared = std::mem::replace(&mut self.prepared, later).remove(&index);
        prepared.filter(|prepared| prepared.term == term)
    }

    /// Replaces the state by a leader's snapshot. Returns whether it could be read.
    pub fn install(&mut self, snapshot: &Snapshot) -> bool {
        match ControlState::decode(&snapshot.data) {
            Ok(state) => {
                self.state = state;
                self.applied = snapshot.index;
                true
            }
            Err(error) => {
                self.fail(error);
                false
            }
        }
    }

    /// The encoded state, for a snapshot at the applied entry.
    pub fn take_snapshot(&mut self) -> Vec<u8> {
        self.log_bytes = 0;
        self.state.encode()
    }
}
