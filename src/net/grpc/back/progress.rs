//! What has been sent and received on a channel to a node, by stream.

use crate::core::WriteState;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// What a channel has sent and received, by stream. The `Notify` wakes tasks when the socket is writable
/// again.
#[derive(Clone, Default)]
pub(super) struct ChannelProgress(Arc<(Mutex<Progress>, Notify)>);

#[derive(Default)]
pub(super) struct Progress {
    /// The node's first SETTINGS frame has arrived.
    pub(super) has_settings: bool,
    /// The socket accepts no bytes at the moment: the node does not read.
    pub(super) write_blocked: bool,
    /// The last stream that the node may still process, from its GOAWAY frame.
    pub(super) last_stream: Option<u32>,
    pub(super) streams: BTreeMap<u32, StreamProgress>,
}

/// What has been written of the request on one stream.
#[derive(Default)]
pub(super) struct StreamProgress {
    pub(super) write_state: Arc<WriteState>,
    /// A DATA frame was written.
    pub(super) data: bool,
    /// A frame with END_STREAM was written.
    pub(super) end_stream: bool,
    /// The request's last frame was written.
    pub(super) complete: bool,
}

impl ChannelProgress {
    pub(super) fn with<T>(&self, f: impl FnOnce(&mut Progress) -> T) -> T {
        let mut progress: MutexGuard<'_, Progress> = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        f(&mut progress)
    }

    pub(super) fn mark_writable(&self) {
        if self.with(|progress| std::mem::take(&mut progress.write_blocked)) {
            self.0.1.notify_waiters();
        }
    }

    /// Waits until the socket accepts bytes. A request that h2 gets earlier stays in its buffer, and is
    /// written later with a `grpc-timeout` that is out of date, even if its client has left.
    pub(super) async fn writable(&self) {
        loop {
            let mut writable = std::pin::pin!(self.0.1.notified());
            writable.as_mut().enable();
            if !self.with(|progress| progress.write_blocked) {
                return;
            }
            writable.await;
        }
    }
}

/// Tracks what is written on one stream until it is dropped.
pub(super) struct TrackedStream {
    pub(super) channel: ChannelProgress,
    pub(super) stream: u32,
}

impl TrackedStream {
    pub(super) fn new(channel: &ChannelProgress, stream: u32, write_state: Arc<WriteState>) -> TrackedStream {
        let tracked = StreamProgress { write_state, ..StreamProgress::default() };
        channel.with(|progress| progress.streams.insert(stream, tracked));
        TrackedStream { channel: channel.clone(), stream }
    }

    pub(super) fn progress<T>(&self, f: impl FnOnce(&StreamProgress) -> T) -> Option<T> {
        self.channel.with(|progress| progress.streams.get(&self.stream).map(f))
    }

    /// Returns whether the node's GOAWAY frame says that the node has not processed and will not process this
    /// stream.
    pub(super) fn above_goaway(&self) -> bool {
        self.channel.with(|progress| progress.last_stream.is_some_and(|last| self.stream > last))
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        self.channel.with(|progress| progress.streams.remove(&self.stream));
    }
}
