//! Sockets: framed links between processes, HTTP servers, and connections to bricks.

pub mod client;
pub mod link;
pub mod mesh;
pub mod server;
pub mod socket;
