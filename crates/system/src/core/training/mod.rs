//! Training steps at a core: what trainers ask, what is told of steps, and what the leader knows of workers.

pub mod call;
pub mod lead;
pub mod view;
