//! The decisions of the gRPC front, without I/O: the route of a call, its final status, the connection to a
//! node that takes a stream, and when a client's connection costs too much. `net::grpc` supplies bytes,
//! sockets and the time.

pub mod channels;
pub mod frames;
pub mod guard;
pub mod messages;
pub mod routes;
pub mod status;
pub mod timeout;
