//! Agreement on real sockets and disks.

pub mod disk;
