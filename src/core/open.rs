//! Open requests, their attempts in flight, and the records that are logged when they end.

use super::attempt::{AttemptSource, WriteState};
use super::handle::Answer;
use crate::agree::rules::AdmittedRules;
use crate::clock::{Clock, micros};
use crate::events::requests::{Tried, Why};
use crate::index::wheel::Key;
use crate::interface::{AttemptResult, Micros, NodeId, VolumeId};
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// An attempt in flight.
pub(super) struct AttemptInFlight {
    pub(super) node: NodeId,
    pub(super) sent: Micros,
    pub(super) write_state: Arc<WriteState>,
    pub(super) task: AbortHandle,
}

impl AttemptInFlight {
    /// Returns the latency of the node. For a request whose body was still arriving, it is measured from the
    /// request's last byte: a node starts the request then, and the client's time to send it does not count.
    pub(super) fn latency(&self, clock: Clock, body_time: bool) -> Micros {
        match self.write_state.completed_at.get().filter(|_| body_time) {
            Some(completed_at) => micros(completed_at.elapsed()),
            None => clock.now().saturating_sub(self.sent),
        }
    }
}

/// A request that has no final answer yet, or has attempts in flight.
pub(super) struct OpenRequest {
    pub(super) work: Arc<dyn AttemptSource>,
    pub(super) answer: Option<oneshot::Sender<Answer>>,
    pub(super) answer_by: Micros,
    /// Attempts by number; `None`: it never started, or has ended. An attempt whose answer is being
    /// forwarded stays until forwarding ends, although the policy has its outcome.
    pub(super) attempts: Vec<Option<AttemptInFlight>>,
    /// The attempt that the request is bound to: no other attempt follows.
    pub(super) bound: Option<u32>,
    /// What is logged of the request at its end; `None`: requests are not logged.
    pub(super) record: Option<Box<RequestRecord>>,
    /// The timer of its deadline; `None` while its body arrives and after its answer has begun.
    pub(super) deadline: Option<Key>,
    /// Time until the deadline, where that is counted from the last byte of the body.
    pub(super) body_time: Option<Micros>,
    /// It was accepted before the last byte of its body arrived.
    pub(super) arrived_early: bool,
    /// The policy has the outcome, and the rest of the answer is being forwarded to the client.
    pub(super) forwarding: bool,
    pub(super) class: usize,
    pub(super) max_attempts: u32,
    /// The agreed rules under which it was admitted.
    pub(super) rules: Option<AdmittedRules>,
    /// A node may have run it.
    pub(super) ran: bool,
}

/// What is logged of a request at its end.
pub(super) struct RequestRecord {
    pub(super) volume: VolumeId,
    pub(super) plan: usize,
    pub(super) class: usize,
    pub(super) units: f64,
    pub(super) arrived: Micros,
    /// Attempts by number, including those that never started.
    pub(super) attempts: Vec<Tried>,
}

/// Counts of ended requests since the last summary.
#[derive(Default)]
pub(super) struct ResultCounts {
    /// By `Finish`.
    pub(super) counts: [u64; 4],
    /// The total of requests rejected because too many were open, as of the last summary.
    pub(super) no_room: u64,
    pub(super) since: Micros,
}

impl OpenRequest {
    /// Whether the request has its final answer, or its client has left.
    pub(super) fn over(&self) -> bool {
        self.answer.is_none()
    }

    /// Records the start of an attempt, and as not started the attempts before it that are missing.
    pub(super) fn record_attempt(
        &mut self,
        sent: Micros,
        attempt: u32,
        node: String,
        result: Option<AttemptResult>,
    ) {
        let Some(record) = &mut self.record else { return };
        let why = match record.attempts.last() {
            None => Why::First,
            _ if self.attempts.iter().any(Option::is_some) => Why::Copy,
            Some(before) => Why::Another(before.result.unwrap_or(AttemptResult::NotSent)),
        };
        record.attempts.resize_with(attempt as usize, || Tried {
            node: String::new(),
            why,
            result: Some(AttemptResult::NotSent),
            sent,
            latency: 0,
        });
        record.attempts.push(Tried { node, why, result, sent, latency: 0 });
    }
}
