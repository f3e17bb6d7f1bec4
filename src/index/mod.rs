//! General data structures, independent of requests, nodes and policies. Each is tested against a simple
//! reference implementation.

pub mod wheel;
