//! Where cores may be reached.

use std::net::SocketAddr;

/// Addresses of cores for messages.
#[derive(Debug, Default)]
pub struct CoreAddresses {
    /// From the settings file.
    pub seeds: Vec<SocketAddr>,
    /// From the cores themselves.
    pub members: Vec<SocketAddr>,
}

impl CoreAddresses {
    /// All of them, each once.
    pub fn all(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self.seeds.iter().chain(&self.members).copied().collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
