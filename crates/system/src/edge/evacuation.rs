//! The notice to a stream that its model server will stop.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Tells one stream that its model server will stop, and when.
#[derive(Debug, Default)]
pub struct EvacuationNotice {
    ends_at: AtomicU64,
    notified: Notify,
}

impl EvacuationNotice {
    /// Waits for the notice. Returns when the model server stops, milliseconds of the steady clock.
    pub async fn notified(&self) -> u64 {
        self.notified.notified().await;
        self.ends_at.load(Ordering::Relaxed)
    }

    /// Notifies the stream that its model server stops at `ends_at`, milliseconds of the steady clock.
    pub fn notify(&self, ends_at: u64) {
        self.ends_at.store(ends_at, Ordering::Relaxed);
        self.notified.notify_one();
    }
}
