//! What the control plane decides, without I/O, clock or randomness.
//!
//! * [`configuration`]: the operators' document, its checks, and changes to it.
//! * [`state`]: the replicated state machine: configuration, accepted changes, sealed usage.
//! * [`directory`]: the bricks that exist, from their heartbeats.
//! * [`demand`]: what clients ask of each model, from the edges' reports.
//! * [`placement`]: which brick is ordered to load or unload what.
//! * [`usage`]: requests begun, by tenant and window.
//! * [`result_code`]: the numbered results that callers get.

pub mod configuration;
pub mod demand;
pub mod directory;
pub mod placement;
pub mod result_code;
pub mod routes;
pub mod state;
pub mod usage;
