//! Answers to trainers' reading calls.

use super::call::{MAX_RESULTS, TrainingCall};
use super::scheduler::TrainingScheduler;
use super::view;
use pathbank_control::training::TrainingState;
use pathbank_rollout::StepNumber;
use pathbank_rollout::controller::WaitReason;
use pathbank_rollout::step::Step;
use serde_json::{Value, json};

/// What comes of a reading call.
pub enum ReadOutcome {
    /// The answer.
    Answer(Value),
    /// There is no such step.
    UnknownStep(StepNumber),
    /// The step has not changed since the log entry that the caller knows.
    Unchanged {
        /// The step.
        step: StepNumber,
        /// The log entry.
        seen: u64,
    },
}

/// Answers a reading call; a call that changes something reads as [`TrainingCall::List`].
pub fn read(
    now: u64,
    call: &TrainingCall,
    state: &TrainingState,
    scheduler: &TrainingScheduler,
) -> ReadOutcome {
    let number = match call {
        TrainingCall::Read { step, .. } | TrainingCall::Results { step, .. } => *step,
        TrainingCall::Explain(step) => *step,
        _ => return ReadOutcome::Answer(list(now, state, scheduler)),
    };
    let Some(step) = state.step_table().step(number) else { return ReadOutcome::UnknownStep(number) };
    match call {
        TrainingCall::Results { after, most, .. } => {
            ReadOutcome::Answer(view::results(state, step, *after, (*most).min(MAX_RESULTS)))
        }
        TrainingCall::Explain(_) => {
            let controller = scheduler.controller(&step.request.model);
            ReadOutcome::Answer(view::explain(state, step, controller, now, number))
        }
        TrainingCall::Read { seen: Some(seen), .. } if state.last_changed(number) <= *seen => {
            ReadOutcome::Unchanged { step: number, seen: *seen }
        }
        _ => ReadOutcome::Answer(read_step(now, state, step, scheduler)),
    }
}

fn read_step(now: u64, state: &TrainingState, step: &Step, scheduler: &TrainingScheduler) -> Value {
    view::step(state, step, wait_reason(now, state, step, scheduler))
}

fn list(now: u64, state: &TrainingState, scheduler: &TrainingScheduler) -> Value {
    let steps = state.step_table().steps().map(|step| read_step(now, state, step, scheduler));
    json!({ "steps": steps.collect::<Vec<_>>() })
}

fn wait_reason(
    now: u64,
    state: &TrainingState,
    step: &Step,
    scheduler: &TrainingScheduler,
) -> Option<WaitReason> {
    scheduler.controller(&step.request.model)?.wait_reason(now, state.step_table(), step.number)
}
