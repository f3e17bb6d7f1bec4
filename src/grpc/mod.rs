//! What the gRPC front decides, without I/O: which call is what, how calls end, which
//! connection to a node takes a stream, and when a client's connection costs too much. Bytes, sockets and time come
//! from `net::grpc`; every type here is told the time.

pub mod channels;
pub mod frames;
pub mod guard;
pub mod routes;
pub mod status;
pub mod timeout;
