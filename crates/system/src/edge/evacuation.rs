//! The notice to a stream that its model server will end.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Notify;

/// Tells one stream that its model server will end, and when.
#[derive(Debug, Default)]
pub struct EvacuationNotice {
    ends_at: AtomicU64,
    notified: Notify,
}

impl EvacuationNotice {
    /// Waits for the notice; the time at which the model server ends, milliseconds.
    pub async fn notified(&self) -> u64 {
        self.notified.notified().await;
        self.ends_at.load(Ordering::Relaxed)
    }

    /// The model server ends at `ends_at`, milliseconds.
    pub fn notify(&self, ends_at: u64) {
        self.ends_at.store(ends_at, Ordering::Relaxed);
        self.notified.notify_one();
    }
}
