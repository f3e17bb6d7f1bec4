//! Requests to the leader that wait for its grant.

use pathbank_protocol::message::AdmissionGrant;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// After this many requests in a row without a grant the leader is not asked for a while.
const MAX_UNANSWERED: u32 = 3;
/// How long the leader is not asked then, milliseconds.
const UNANSWERED_BACKOFF_MS: u64 = 500;
/// From this many pending requests on, those whose clients have left are removed.
const CLEANUP_THRESHOLD: usize = 64;

/// Requests to the leader that wait for its grant.
#[derive(Default)]
pub struct PendingAdmissions {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    waiting: HashMap<u64, oneshot::Sender<AdmissionGrant>>,
    unanswered: u32,
    backoff_until: u64,
}

impl PendingAdmissions {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The leader's grant came.
    pub fn granted(&self, grant: AdmissionGrant) {
        let mut state = self.state();
        state.unanswered = 0;
        if let Some(waiting) = state.waiting.remove(&grant.request) {
            // The request may have gone on without the grant.
            let _ = waiting.send(grant);
        }
    }

    /// Adds a request. `None`: the leader did not answer the last ones.
    pub fn add(&self, now: u64, request: u64) -> Option<oneshot::Receiver<AdmissionGrant>> {
        let mut state = self.state();
        if now < state.backoff_until {
            return None;
        }
        // Requests whose clients have left wait no longer.
        if state.waiting.len() >= CLEANUP_THRESHOLD {
            state.waiting.retain(|_, waiting| !waiting.is_closed());
        }
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(request, sender);
        Some(receiver)
    }

    /// A request had no grant in time.
    pub fn timed_out(&self, now: u64, request: u64) {
        let mut state = self.state();
        state.waiting.remove(&request);
        state.unanswered += 1;
        if state.unanswered >= MAX_UNANSWERED {
            (state.unanswered, state.backoff_until) = (0, now + UNANSWERED_BACKOFF_MS);
        }
    }
}
