//! Networking: framed links between processes, HTTP servers, and connections to model servers.

pub mod client;
pub mod link;
pub mod mesh;
pub mod server;
pub mod socket;
