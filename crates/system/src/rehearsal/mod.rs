//! Rehearsals. At size: real control heads against hollow edge heads and bricks, which speak the real control protocol and
//! carry no traffic. Of training steps: all heads and workers as processes, with merchants and faults.

pub mod fit;
pub mod hollow;
pub mod page;
pub mod plot;
pub mod scale;
pub mod stage;
pub mod steps;
