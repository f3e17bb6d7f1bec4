//! The result of a committed command, which operators and trainers are answered by.

use pathbank_rollout::StepNumber;

/// The result of a command that the state machine accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The state has changed by it.
    Applied,
    /// An earlier entry of the log carried the same command: nothing has changed.
    AlreadyApplied,
    /// A training step was announced, or had been by an earlier entry, under this number.
    StepAnnounced(StepNumber),
}
