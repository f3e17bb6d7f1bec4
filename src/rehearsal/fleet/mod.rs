//! The rig: many real heads with links of its own between them, faults by a schedule drawn from a seed, clients and nodes
//! all the while, and an audit of what everybody told.

pub mod audit;
pub mod link;
pub mod mesh;
pub mod run;
pub mod schedule;
pub mod view;
