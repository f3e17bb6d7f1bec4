//! Addresses of replicas that sent a message recently, whether they are in the membership or not.

use crate::types::Millis;
use std::collections::BTreeMap;

/// How long a peer is kept after its last message.
const PEER_RETENTION_MS: Millis = 30_000;
/// Maximum number of peers; a new peer beyond it replaces the peer that was heard longest ago.
const MAX_PEERS: usize = 64;

/// When each peer, by address, last sent a message.
///
/// ```
/// use pathbank_coordination::recent_peers::RecentPeers;
///
/// let mut peers = RecentPeers::default();
/// assert!(peers.record(1_000, "10.0.0.4:7000"), "it is new");
/// assert!(!peers.record(2_000, "10.0.0.4:7000"));
/// peers.expire(40_000);
/// assert_eq!(peers.addresses().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentPeers {
    last_heard_at: BTreeMap<String, Millis>,
}

impl RecentPeers {
    /// Records a message. Returns whether the peer is new.
    pub fn record(&mut self, now: Millis, address: &str) -> bool {
        if let Some(last_heard_at) = self.last_heard_at.get_mut(address) {
            *last_heard_at = now;
            return false;
        }
        if self.last_heard_at.len() >= MAX_PEERS {
            let oldest = self.last_heard_at.iter().min_by_key(|(_, last_heard_at)| **last_heard_at);
            let oldest = oldest.map(|(address, _)| address.clone());
            oldest.map(|oldest| self.last_heard_at.remove(&oldest));
        }
        self.last_heard_at.insert(address.to_owned(), now);
        true
    }

    /// Removes the peers whose retention time is over.
    pub fn expire(&mut self, now: Millis) {
        self.last_heard_at.retain(|_, last_heard_at| now < *last_heard_at + PEER_RETENTION_MS);
    }

    /// The addresses of the peers.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.last_heard_at.keys().map(String::as_str)
    }
}
