//! Runs the agreement on sockets and disks. `runtime` starts its thread, `voter_service` runs the voter with its
//! `database` and `archive`, and `lease_renewal` renews the leases of this process. `wire` defines the protocol between
//! them, `call` is its client and `serve` its server. `command` and `backup` implement the operators' program.

pub mod archive;
mod backup;
pub mod call;
pub mod command;
pub mod database;
mod held_calls;
mod lease_renewal;
pub mod runtime;
mod serve;
mod voter_service;
pub mod wire;

#[cfg(test)]
mod tests;
