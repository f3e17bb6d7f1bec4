//! Calls with long bodies: as many are carried out at once as fit into their share, the others wait.

use super::plan;
use super::share::{MemoryLease, MemoryShare};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// A body is parsed, checked and stored: so many times its length are held meanwhile.
const COPIES: usize = 4;

/// The share of calls that are carried out, and those that wait for it.
#[derive(Clone, Debug)]
pub struct CallQueue {
    /// The memory.
    pub share: MemoryShare,
    released: Arc<Notify>,
}

/// The memory of a call that is carried out.
#[derive(Debug)]
pub struct CallLease {
    lease: Option<MemoryLease>,
    released: Arc<Notify>,
}

impl CallQueue {
    /// Creates a queue before a share of so many bytes.
    pub fn new(name: &'static str, limit: usize) -> CallQueue {
        CallQueue { share: plan::share(name, limit), released: Arc::default() }
    }

    /// Waits until a call with a body of this length may be carried out. `None`: not within this time. A call that needs
    /// more than the whole share is carried out alone.
    pub async fn admit(&self, body_bytes: usize, within: Duration) -> Option<CallLease> {
        self.admit_bytes(body_bytes.saturating_mul(COPIES), within).await
    }

    /// Waits until so many bytes may be held, like [`CallQueue::admit`].
    pub async fn admit_bytes(&self, bytes: usize, within: Duration) -> Option<CallLease> {
        let bytes = bytes.min(self.share.limit());
        let lease = timeout(within, self.lease(bytes)).await;
        let lease = lease.inspect_err(|_| self.share.count_refusal()).ok()?;
        Some(CallLease { lease: Some(lease), released: self.released.clone() })
    }

    async fn lease(&self, bytes: usize) -> MemoryLease {
        loop {
            let released = self.released.notified();
            if let Ok(lease) = self.share.lease(bytes) {
                return lease;
            }
            released.await;
        }
    }
}

impl Drop for CallLease {
    fn drop(&mut self) {
        self.lease = None;
        self.released.notify_waiters();
    }
}
