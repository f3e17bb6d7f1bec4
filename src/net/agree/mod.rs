//! The agreement on real sockets and disks: `runtime` starts its thread; `voter_service` runs the voter with its `database`
//! and `archive`; `lease_renewal` keeps the leases of this process; `wire` and `call` are the protocol between them,
//! `serve` its server; `command` and `backup` are the operators' program.

pub mod archive;
mod backup;
pub mod call;
pub mod command;
pub mod database;
mod lease_renewal;
pub mod runtime;
mod serve;
mod voter_service;
pub mod wire;

#[cfg(test)]
mod tests;
