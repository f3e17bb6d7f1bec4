//! All that knows sockets: the three fronts, what is behind them, discovery, and
//! what heads say to each other.

pub mod agree;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod back;
pub mod body;
pub mod discovery;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod fleet;
pub mod front;
pub mod grpc;
pub mod hot_restart;
pub mod ids;
pub mod inbound;
pub mod lifecycle;
pub mod ops;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod passed;
pub mod peers;
pub mod pool;
#[expect(missing_docs, reason = "not documented item by item yet")]
pub mod sftp;
pub mod slots;
pub mod source;
