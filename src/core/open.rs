//! Open requests, their attempts that are out, and what is told at their ends.

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

pub(super) struct AttemptInFlight {
    pub(super) node: NodeId,
    pub(super) sent: Micros,
    pub(super) write_state: Arc<WriteState>,
    pub(super) task: AbortHandle,
}

impl AttemptInFlight {
    /// A node begins a request with its last byte: what a slow client takes to send it is no part of the
    /// answer's time.
    pub(super) fn latency(&self, clock: Clock, body_time: bool) -> Micros {
        match self.write_state.completed_at.get().filter(|_| body_time) {
            Some(whole) => micros(whole.elapsed()),
            None => clock.now().saturating_sub(self.sent),
        }
    }
}

pub(super) struct OpenRequest {
    pub(super) work: Arc<dyn AttemptSource>,
    pub(super) answer: Option<oneshot::Sender<Answer>>,
    pub(super) answer_by: Micros,
    /// Each attempt by its number; `None` once its outcome is told.
    pub(super) attempts: Vec<Option<AttemptInFlight>>,
    /// The attempt that the request goes on with, whatever comes of it.
    pub(super) bound: Option<u32>,
    /// Where requests are told.
    pub(super) record: Option<Box<RequestRecord>>,
    /// `None`: its time does not run yet, or no longer.
    pub(super) deadline: Option<Key>,
    /// Its time, where that begins with its last byte.
    pub(super) body_time: Option<Micros>,
    /// It was taken before its last byte came.
    pub(super) arrived_early: bool,
    /// The module has its outcome, and the rest of the answer is being passed on.
    pub(super) passing: bool,
    pub(super) class: usize,
    pub(super) max_attempts: u32,
    /// The agreed rules that it came under.
    pub(super) rules: Option<AdmittedRules>,
    /// An attempt may have run.
    pub(super) ran: bool,
}

/// What is told of a request at its end.
pub(super) struct RequestRecord {
    pub(super) volume: VolumeId,
    pub(super) plan: usize,
    pub(super) class: usize,
    pub(super) units: f64,
    pub(super) arrived: Micros,
    /// By their numbers, those that never started too.
    pub(super) tried: Vec<Tried>,
}

/// Requests by their ends, since when.
#[derive(Default)]
pub(super) struct ResultCounts {
    pub(super) counts: [u64; 4],
    pub(super) no_room: u64,
    pub(super) since: Micros,
}

impl OpenRequest {
    pub(super) fn over(&self) -> bool {
        self.answer.is_none()
    }

    pub(super) fn note(&mut self, sent: Micros, attempt: u32, node: String, result: Option<AttemptResult>) {
        let Some(record) = &mut self.record else { return };
        let why = match record.tried.last() {
            None => Why::First,
            _ if self.attempts.iter().any(Option::is_some) => Why::Copy,
            Some(before) => Why::Another(before.result.unwrap_or(AttemptResult::NotSent)),
        };
        record.tried.resize_with(attempt as usize, || Tried {
            node: String::new(),
            why,
            result: Some(AttemptResult::NotSent),
            sent,
            latency: 0,
        });
        record.tried.push(Tried { node, why, result, sent, latency: 0 });
    }
}
