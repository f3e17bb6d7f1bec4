//! The budget of the bytes that others make this process hold: clients, operators, model servers and strangers.
//!
//! [`plan`] draws shares from `limits.memory_mb`. Whoever holds such bytes takes a [`share::MemoryLease`] before it
//! reads them, and gives it back by dropping it with them. The table of the shares is in `docs/design/memory.md`.

pub mod arrivals;
pub mod body_reader;
pub mod call_queue;
pub mod plan;

pub use pathbank_memory::{held_body, share};
