//! Runs the system's decision logic, which other crates hold, with real sockets, disks, clocks and signals;
//! and the command line.

pub mod clock;
pub mod command;
pub mod core;
pub mod edge;
pub mod local;
pub mod memory;
pub mod net;
pub mod rehearsal;
pub mod settings;
pub mod signals;
pub mod stand_in;
pub mod startup;
pub mod trainer;
