//! Trainers' calls at the leader, and what came of the commands that they ask for.

use crate::core::node::{Node, send_json};
use crate::core::training::call::{self, TrainingCall};
use crate::core::training::lead::{WATCH_TIMEOUT_MS, Watcher};
use crate::core::training::view;
use pathbank_control::configuration::Rejection;
use pathbank_control::operator_calls::Reply;
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::Command;
use pathbank_control::training::TrainingCommand;
use pathbank_rollout::step::Step;
use pathbank_rollout::step_table::Command as StepCommand;
use tokio::sync::oneshot;

impl Node {
    pub(in crate::core::node) fn on_training_call(
        &mut self,
        now: u64,
        call: TrainingCall,
        reply: oneshot::Sender<Reply>,
    ) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        // Whoever waits for a step waits at the leader of this term.
        self.enter_term(now);
        let certain = self.replication.replica().lease_until() > now;
        if !certain {
            let message = "the lease is not certain".to_owned();
            let _ = reply.send(Reply::Result(ResultCode::NoLeader, message));
            return;
        }
        match self.training_command(&call) {
            Ok(Some(command)) => self.propose_for(now, &Command::Training(command), reply),
            Ok(None) => self.read_training(now, call, reply),
            Err(rejection) => drop(reply.send(Reply::Result(rejection.code, rejection.message))),
        }
    }

    /// The command that a call asks for; `None`: it only reads.
    fn training_command(&mut self, call: &TrainingCall) -> Result<Option<TrainingCommand>, Rejection> {
        let ledger = |command| Ok(Some(TrainingCommand::Step(command)));
        match call {
            TrainingCall::Open(body) => {
                let Some(backends) = self.machine.state().backends() else {
                    return Err(Rejection::new(ResultCode::NoConfiguration, "there is no configuration yet"));
                };
                ledger(StepCommand::Announce(body.clone().request(backends)?))
            }
            TrainingCall::Submit(step, prompts) => {
                Ok(Some(TrainingCommand::Submit { step: *step, prompts: prompts.clone() }))
            }
            TrainingCall::Seal(step, body) => {
                ledger(StepCommand::Close { step: *step, allow_missing: body.allow_missing })
            }
            TrainingCall::Abort(step) => ledger(StepCommand::Abort { step: *step }),
            TrainingCall::List
            | TrainingCall::Read { .. }
            | TrainingCall::Results { .. }
            | TrainingCall::Explain(_) => Ok(None),
        }
    }

    fn read_training(&mut self, now: u64, call: TrainingCall, reply: oneshot::Sender<Reply>) {
        let state = self.machine.state().training();
        let number = match call {
            TrainingCall::Read { step, .. } | TrainingCall::Results { step, .. } => step,
            TrainingCall::Explain(step) => step,
            _ => {
                let steps: Vec<_> = state
                    .step_table()
                    .steps()
                    .map(|step| view::step(state, step, self.waits(now, step)))
                    .collect();
                return send_json(reply, &serde_json::json!({ "steps": steps }));
            }
        };
        let Some(step) = state.step_table().step(number) else {
            let message = format!("there is no step {number}");
            let _ = reply.send(Reply::Result(ResultCode::UnknownStep, message));
            return;
        };
        match call {
            TrainingCall::Results { after, most, .. } => {
                send_json(reply, &view::results(state, step, after, most.min(call::MAX_RESULTS)));
            }
            TrainingCall::Explain(_) => {
                let training = self.training.models.get(&step.request.model);
                send_json(reply, &view::explain(state, step, training, now, number));
            }
            TrainingCall::Read { seen: Some(seen), .. } if state.last_changed(number) <= seen => {
                let until = now + WATCH_TIMEOUT_MS;
                self.training.watchers.push(Watcher { step: number, seen, until, reply });
            }
            _ => send_json(reply, &view::step(state, step, self.waits(now, step))),
        }
    }

    fn waits(&self, now: u64, step: &Step) -> Option<pathbank_rollout::controller::WaitReason> {
        let training = self.training.models.get(&step.request.model)?;
        training.controller.wait_reason(now, self.machine.state().training().step_table(), step.number)
    }

    pub(super) fn answer_watchers(&mut self, now: u64) {
        let due = self.training.due_watchers(now, self.machine.state().training());
        for watcher in due {
            let call = TrainingCall::Read { step: watcher.step, seen: None };
            self.read_training(now, call, watcher.reply);
        }
    }

    /// A command about steps was applied.
    pub(in crate::core::node) fn on_training_applied(
        &mut self,
        now: u64,
        command: &TrainingCommand,
        refused: bool,
    ) {
        if refused {
            // What was proposed and is refused may be proposed again, on what stands then.
            for training in self.training.models.values_mut() {
                training.controller.proposal_lost();
            }
        }
        if let TrainingCommand::Step(command) = command {
            log_step(command, refused);
        }
        self.training.look_at = now;
        self.answer_watchers(now);
    }
}

/// Changes of a step's state, for operators.
fn log_step(command: &StepCommand, refused: bool) {
    match command {
        StepCommand::Announce(request) => {
            tracing::info!(key = request.key, model = request.model, refused, "step announced");
        }
        StepCommand::FixVersion { step, version } => tracing::info!(step, version, refused, "step prepared"),
        StepCommand::Open { step, members } => {
            tracing::info!(step, workers = members.len(), refused, "step open");
        }
        StepCommand::RemoveWorker { step, worker, reason } => {
            tracing::warn!(step, worker, ?reason, refused, "worker left a step");
        }
        StepCommand::Close { step, .. } => tracing::info!(step, refused, "step closed"),
        StepCommand::Seal { step } => tracing::info!(step, refused, "step sealed"),
        StepCommand::Abort { step } => tracing::warn!(step, refused, "step given up"),
        StepCommand::Submit { .. } | StepCommand::Record(_) => {}
    }
}
