//! All that knows sockets: the three fronts, what is behind them, discovery, and
//! what heads say to each other.

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
pub mod lifecycle;
pub mod ops;
pub mod passed;
pub mod peers;
pub mod pool;
pub mod sftp;
pub mod slots;
pub mod source;
