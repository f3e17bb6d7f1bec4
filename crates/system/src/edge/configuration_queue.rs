//! Configuration updates from cores that the edge has not applied yet, in the order of their arrival.

use pathbank_protocol::message::ConfigurationUpdate;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Mutex;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Configuration updates that are not applied yet, and when the latest one was applied.
pub struct ConfigurationQueue {
    sender: UnboundedSender<ConfigurationUpdate>,
    /// The task that applies updates holds this lock.
    pub receiver: Mutex<UnboundedReceiver<ConfigurationUpdate>>,
    /// When the current configuration came into force, milliseconds of the steady clock.
    in_force_since: AtomicU64,
}

impl Default for ConfigurationQueue {
    fn default() -> ConfigurationQueue {
        let (sender, receiver) = unbounded_channel();
        ConfigurationQueue { sender, receiver: Mutex::new(receiver), in_force_since: AtomicU64::new(0) }
    }
}

impl ConfigurationQueue {
    /// When the current configuration came into force, milliseconds of the steady clock.
    pub fn in_force_since(&self) -> u64 {
        self.in_force_since.load(Ordering::Relaxed)
    }

    /// Records that a configuration came into force at `now`.
    pub fn set_in_force_since(&self, now: u64) {
        self.in_force_since.store(now, Ordering::Relaxed);
    }

    /// Adds an update at the end.
    pub fn push(&self, update: ConfigurationUpdate) {
        // Sending cannot fail: the receiver lives as long as this queue.
        let _ = self.sender.send(update);
    }
}
