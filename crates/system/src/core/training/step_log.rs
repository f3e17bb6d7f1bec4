//! Log lines of changes of a step.

use pathbank_rollout::step_table::Command as StepCommand;

/// Logs a command about steps that was applied, or rejected by the state.
pub fn log_step(command: &StepCommand, rejected: bool) {
    match command {
        StepCommand::Announce(request) => {
            tracing::info!(key = request.key, model = request.model, rejected, "step announced");
        }
        StepCommand::FixVersion { step, version } => tracing::info!(step, version, rejected, "step prepared"),
        StepCommand::Open { step, members } => {
            tracing::info!(step, workers = members.len(), rejected, "step open");
        }
        StepCommand::RemoveWorker { step, worker, reason } => {
            tracing::warn!(step, worker, ?reason, rejected, "worker removed from step");
        }
        StepCommand::Close { step, .. } => tracing::info!(step, rejected, "step closed"),
        StepCommand::Seal { step } => tracing::info!(step, rejected, "step sealed"),
        StepCommand::Abort { step } => tracing::warn!(step, rejected, "step aborted"),
        StepCommand::Submit { .. } | StepCommand::Record(_) => {}
    }
}
