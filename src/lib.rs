#![doc = include_str!("../README.md")]

pub mod agree;
pub mod attempt_end;
pub mod classes;
pub mod clock;
pub mod command_line;
pub mod config;
pub mod core;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod events;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod grpc;
pub mod handover;
pub mod idlog;
pub mod index;
pub mod interface;
pub mod lifecycle_state;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod logbook;
pub mod logging;
pub mod memory;
mod message;
pub mod metrics;
pub mod net;
pub mod peers;
pub mod policy;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod rehearsal;
pub mod replay_buffer;
pub mod staleness;
mod state;
pub mod syslog;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod wire;

pub use interface::{Action, Event, Settings};
pub use policy::Policy;
