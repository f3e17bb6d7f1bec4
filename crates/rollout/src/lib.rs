//! Training steps over workers that also serve: every generation that counts in a step was drawn from one
//! version of the model, from its first token to its last, by a worker that took part in the step.
//!
//! No I/O, clock or randomness: `docs/design/training-steps.md` has the promise and why it holds.
//!
//! * [`step_table`]: the replicated state of all steps; its commands go through the log, and the same log gives
//!   the same state.
//! * [`step`]: a step and its states.
//! * [`worker`]: a worker's states, each entered with its evidence.
//! * [`evidence`]: which versions an answer says that it was drawn from.
//! * [`version_rollout`]: which workers drain and load next, beside serving.
//! * [`controller`]: what the leader does about the steps: orders, generations, and commands for the ledger.
//! * [`audit`]: an independent look at what engines drew and what trainers were told.

pub mod audit;
pub mod controller;
pub mod evidence;
pub mod step;
pub mod step_table;
pub mod version_rollout;
pub mod worker;

/// Milliseconds of a steady clock that the caller supplies.
pub type Millis = u64;
/// A version of a model's weights.
pub type Version = u64;
/// The fencing token of an open step: the index of the log's entry that opened it, so that it only rises.
pub type Epoch = u64;
/// Steps in the order in which they were asked for.
pub type StepNumber = u64;
/// Names a prompt within its step.
pub type PromptId = u64;
/// Names one incarnation of a worker; after a restart it is another one.
pub type WorkerId = String;
