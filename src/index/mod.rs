//! Data structures made for the job, which know nothing of requests, nodes or policies. Each is tested against a plain
//! twin.

pub mod wheel;
