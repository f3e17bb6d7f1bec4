//! Admission requests to the leader that wait for its grant.

use pathbank_protocol::message::AdmissionGrant;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// After this many requests in a row without a grant, the edge asks the leader for none for a while.
const MAX_UNANSWERED: u32 = 3;
/// How long the edge asks for no grants then, milliseconds.
const UNANSWERED_BACKOFF_MS: u64 = 500;
/// From this many pending requests on, those whose clients have left are removed.
const CLEANUP_THRESHOLD: usize = 64;

/// Admission requests to the leader that wait for its grant.
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

    /// Passes the leader's grant to the request that waits for it.
    pub fn granted(&self, grant: AdmissionGrant) {
        let mut state = self.state();
        state.unanswered = 0;
        if let Some(waiting) = state.waiting.remove(&grant.request) {
            // The request may no longer wait for the grant.
            let _ = waiting.send(grant);
        }
    }

    /// Adds a request. `None`: the leader did not answer the last ones, and the edge must not ask it now.
    pub fn add(&self, now: u64, request: u64) -> Option<oneshot::Receiver<AdmissionGrant>> {
        let mut state = self.state();
        if now < state.backoff_until {
            return None;
        }
        // A closed channel belongs to a request whose client has left.
        if state.waiting.len() >= CLEANUP_THRESHOLD {
            state.waiting.retain(|_, waiting| !waiting.is_closed());
        }
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(request, sender);
        Some(receiver)
    }

    /// Removes a request that got no grant in time.
    pub fn timed_out(&self, now: u64, request: u64) {
        let mut state = self.state();
        state.waiting.remove(&request);
        state.unanswered += 1;
        if state.unanswered >= MAX_UNANSWERED {
            (state.unanswered, state.backoff_until) = (0, now + UNANSWERED_BACKOFF_MS);
        }
    }
}
