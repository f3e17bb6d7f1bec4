//! Bytes that others make a process hold come out of a budget with shares. Whoever holds such bytes takes a
//! [`share::MemoryLease`] before it reads them, and gives it back by dropping it with them.
//!
//! What the shares are is decided by each program. Free of sockets, clocks and randomness.

pub mod held_body;
pub mod share;
