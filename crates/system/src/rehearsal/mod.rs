//! Rehearsals. At size: real cores against hollow edges and model servers, which speak the real control
//! protocol and carry no traffic. Of training steps: all heads and workers as processes, with merchants and
//! faults.

pub mod fit;
pub mod hollow;
pub mod page;
pub mod plot;
pub mod scale;
pub mod stage;
pub mod steps;
