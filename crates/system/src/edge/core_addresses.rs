//! Addresses at which the edge may reach cores.

use std::net::SocketAddr;

/// Internal addresses of cores, by where the edge learned them.
#[derive(Debug, Default)]
pub struct CoreAddresses {
    /// From the settings file.
    pub seeds: Vec<SocketAddr>,
    /// From the latest status of a core.
    pub members: Vec<SocketAddr>,
}

impl CoreAddresses {
    /// All addresses without duplicates, in order.
    pub fn all(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self.seeds.iter().chain(&self.members).copied().collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
