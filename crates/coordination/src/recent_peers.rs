//! Addresses of replicas that spoke to this one lately, whether they are in the group or not.

use crate::types::Millis;
use std::collections::BTreeMap;

/// One that said nothing for so long is forgotten, milliseconds.
const FORGOTTEN_AFTER: Millis = 30_000;
/// So many are kept at most; one that was heard longest ago goes first.
const MOST_CALLERS: usize = 64;

/// Replicas that spoke lately, by address.
///
/// ```
/// use pathbank_coordination::recent_peers::RecentPeers;
///
/// let mut recent_peers = RecentPeers::default();
/// assert!(recent_peers.record(1_000, "10.0.0.4:7000"), "it is new");
/// assert!(!recent_peers.record(2_000, "10.0.0.4:7000"));
/// recent_peers.expire(40_000);
/// assert_eq!(recent_peers.addresses().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentPeers {
    heard: BTreeMap<String, Millis>,
}

impl RecentPeers {
    /// A replica spoke. Returns whether it had not lately.
    pub fn record(&mut self, now: Millis, address: &str) -> bool {
        if let Some(heard) = self.heard.get_mut(address) {
            *heard = now;
            return false;
        }
        if self.heard.len() >= MOST_CALLERS {
            let oldest =
                self.heard.iter().min_by_key(|(_, heard)| **heard).map(|(address, _)| address.clone());
            oldest.map(|oldest| self.heard.remove(&oldest));
        }
        self.heard.insert(address.to_owned(), now);
        true
    }

    /// Forgets those that fell silent.
    pub fn expire(&mut self, now: Millis) {
        self.heard.retain(|_, heard| now < *heard + FORGOTTEN_AFTER);
    }

    /// The addresses.
    pub fn addresses(&self) -> impl Iterator<Item = &str> {
        self.heard.keys().map(String::as_str)
    }
}
