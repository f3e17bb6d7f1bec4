//! Updates of the configuration from cores, in the order in which they arrived.

use pathbank_protocol::message::ConfigurationUpdate;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Mutex;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Updates that are not in force yet, and since when the present configuration is.
pub struct ConfigurationQueue {
    sender: UnboundedSender<ConfigurationUpdate>,
    /// Locked by the one task that applies updates.
    pub receiver: Mutex<UnboundedReceiver<ConfigurationUpdate>>,
    /// When the configuration in force came into force, milliseconds.
    in_force_since: AtomicU64,
}

impl Default for ConfigurationQueue {
    fn default() -> ConfigurationQueue {
        let (sender, receiver) = unbounded_channel();
        ConfigurationQueue { sender, receiver: Mutex::new(receiver), in_force_since: AtomicU64::new(0) }
    }
}

impl ConfigurationQueue {
    /// When the configuration in force came into force, milliseconds.
    pub fn in_force_since(&self) -> u64 {
        self.in_force_since.load(Ordering::Relaxed)
    }

    /// A configuration has come into force.
    pub fn set_in_force_since(&self, now: u64) {
        self.in_force_since.store(now, Ordering::Relaxed);
    }

    /// Adds an update.
    pub fn push(&self, update: ConfigurationUpdate) {
        // The receiver lives as long as this.
        let _ = self.sender.send(update);
    }
}
