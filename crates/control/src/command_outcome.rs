//! The result of a committed command, from which operators and trainers are answered.

use pathbank_rollout::StepNumber;

/// The result of a command that the state machine accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command changed the state.
    Applied,
    /// An earlier entry of the log carried the same command: nothing has changed.
    AlreadyApplied,
    /// A training step has this number; this entry or an earlier one announced it.
    StepAnnounced(StepNumber),
}
