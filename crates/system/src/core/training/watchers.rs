//! Trainers that wait for a step to change.

use pathbank_control::operator_calls::Reply;
use pathbank_control::training::TrainingState;
use pathbank_rollout::StepNumber;
use tokio::sync::oneshot;

/// A watcher is answered after this, whether the step has changed or not.
const WATCH_TIMEOUT_MS: u64 = 2_000;

/// A call that is answered once a step has changed.
#[derive(Debug)]
pub struct Watcher {
    /// The step.
    pub step: StepNumber,
    /// Where the answer goes.
    pub reply: oneshot::Sender<Reply>,
    /// The log entry up to which the caller knows the step.
    seen: u64,
    deadline: u64,
}

/// All calls that wait for a step.
#[derive(Debug, Default)]
pub struct Watchers(Vec<Watcher>);

impl Watchers {
    /// Adds a call that knows the step as of the log entry `seen`.
    pub fn add(&mut self, now: u64, step: StepNumber, seen: u64, reply: oneshot::Sender<Reply>) {
        self.0.push(Watcher { step, reply, seen, deadline: now + WATCH_TIMEOUT_MS });
    }

    /// Removes the calls whose step has changed or is gone, and those that have waited long enough.
    pub fn take_due(&mut self, now: u64, state: &TrainingState) -> Vec<Watcher> {
        let is_due = |watcher: &mut Watcher| {
            now >= watcher.deadline
                || state.last_changed(watcher.step) > watcher.seen
                || state.step_table().step(watcher.step).is_none()
        };
        self.0.extract_if(.., is_due).collect()
    }
}
