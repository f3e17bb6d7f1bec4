//! Training steps at a core: trainers' calls, and what the leader does about the steps in the replicated state.

pub mod answer;
pub mod call;
pub mod generations;
mod model_training;
pub mod scheduler;
pub mod step_log;
pub mod versions;
mod view;
mod watchers;
pub mod workers;
