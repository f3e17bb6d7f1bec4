#![doc = include_str!("../README.md")]

pub mod agree;
pub mod attempt_end;
pub mod classes;
pub mod clock;
pub mod command_line;
pub mod config;
pub mod core;
pub mod events;
pub mod figures;
pub mod grpc;
pub mod handover;
pub mod idlog;
pub mod index;
pub mod interface;
pub mod life;
pub mod logbook;
pub mod logging;
mod message;
pub mod net;
pub mod peers;
pub mod policy;
pub mod rehearsal;
pub mod replay_buffer;
pub mod staleness;
mod state;
pub mod syslog;
pub mod wire;

pub use interface::{Action, Event, Settings};
pub use policy::Policy;
