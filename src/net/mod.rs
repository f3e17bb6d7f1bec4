//! Everything that uses sockets: the three fronts, the connections to nodes, discovery, and messages between
//! hosts.

pub mod agree;
pub mod back;
pub mod body;
pub mod discovery;
pub mod fleet;
pub mod front;
pub mod grpc;
pub mod hot_restart;
pub mod ids;
pub mod inbound;
pub mod incoming_body;
pub mod lifecycle;
pub mod ops;
pub mod passed;
pub mod peers;
pub mod pool;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod sftp;
pub mod slots;
pub mod socket;
