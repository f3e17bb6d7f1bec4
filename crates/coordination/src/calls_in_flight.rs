//! Calls that a leader has made outside the group, and that may still arrive where they were sent to.
//!
//! What a process has written to a connection is delivered by its machine for as long as the machine retransmits, also
//! after the process has given the call up or has ended. A later leader whose calls must not arrive before such a one
//! has to wait, unless the earlier leader knows that its calls are settled.

use crate::types::Millis;
use std::collections::BTreeMap;

/// Identifies a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

/// The calls that may still arrive.
///
/// ```
/// use pathbank_coordination::calls_in_flight::CallsInFlight;
///
/// let mut calls = CallsInFlight::new(3_000);
/// let (answered, lost) = (calls.begin(1_000), calls.begin(1_200));
/// calls.settle(answered);
/// assert!(!calls.are_settled(4_199), "the other call may still arrive");
/// assert!(calls.are_settled(4_200));
/// # let _ = lost;
/// ```
#[derive(Clone, Debug)]
pub struct CallsInFlight {
    max_delivery_ms: Millis,
    next: CallId,
    begun_at: BTreeMap<CallId, Millis>,
}

impl CallsInFlight {
    /// No calls. A call arrives within `max_delivery_ms` of its beginning, or never.
    pub fn new(max_delivery_ms: Millis) -> CallsInFlight {
        CallsInFlight { max_delivery_ms, next: CallId(0), begun_at: BTreeMap::new() }
    }

    /// A call is about to be written.
    pub fn begin(&mut self, now: Millis) -> CallId {
        let max_delivery_ms = self.max_delivery_ms;
        self.begun_at.retain(|_, begun_at| now < *begun_at + max_delivery_ms);
        let id = self.next;
        self.next = CallId(id.0 + 1);
        self.begun_at.insert(id, now);
        id
    }

    /// A call was answered, or was not written after all.
    pub fn settle(&mut self, id: CallId) {
        self.begun_at.remove(&id);
    }

    /// Whether no call may still arrive.
    pub fn are_settled(&self, now: Millis) -> bool {
        self.begun_at.values().all(|begun_at| now >= begun_at + self.max_delivery_ms)
    }
}
