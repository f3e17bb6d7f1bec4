//! Agreement on real sockets and disks.

pub mod archive;
mod backup;
pub mod call;
pub mod command;
pub mod disk;
pub mod office;
mod serve;
pub mod wire;

#[cfg(test)]
mod tests;
