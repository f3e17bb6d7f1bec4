//! Evacuation: streams move away from a model server that ends at short notice.
//!
//! A model server that reports `draining` with `remaining_ms` ends after that time, whatever it runs. Streams
//! that another model server can resume move before that, in the order of their deadlines and spread evenly
//! over the remaining time: a model server that prefills many prompts at once stalls all its streams. Other
//! requests stay and share the free slots. Without `remaining_ms` no stream moves: the model server completes
//! its requests.

use crate::{Millis, RequestId};
use std::collections::BTreeMap;

/// The last stream moves this long before the model server ends: its report may have been delayed.
pub const EVACUATION_MARGIN_MS: Millis = 400;
/// A stream that should complete this long before the model server ends does not move.
const COMPLETION_MARGIN_MS: f64 = 150.0;

/// A stream at a model server that announced when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// The request.
    pub id: RequestId,
    /// The client's deadline.
    pub deadline: Millis,
}

/// Plans when each stream moves. `draw`: a number from 0 to 1 that differs by edge, so that edges do not move
/// streams at the same moments.
pub fn plan(
    now: Millis,
    ends_at: Millis,
    mut streams: Vec<Stream>,
    draw: f64,
) -> BTreeMap<RequestId, Millis> {
    streams.sort_by_key(|stream| (stream.deadline, stream.id));
    let left = ends_at.saturating_sub(EVACUATION_MARGIN_MS).saturating_sub(now) as f64;
    let each = left / streams.len().max(1) as f64;
    let evacuates_at = |position: usize| now + ((position as f64 + draw) * each) as Millis;
    streams.iter().enumerate().map(|(position, stream)| (stream.id, evacuates_at(position))).collect()
}

/// Events of a stream per token of its output limit: a moving average over complete streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventRate {
    per_token: Option<f64>,
}

/// Weight of one stream in the moving average.
const EVENT_RATE_WEIGHT: f64 = 0.1;

impl EventRate {
    /// Records a complete stream.
    pub fn observe(&mut self, output_tokens: u64, events: u64) {
        if output_tokens == 0 || events == 0 {
            return;
        }
        let seen = events as f64 / output_tokens as f64;
        self.per_token =
            Some(self.per_token.map_or(seen, |known| known + EVENT_RATE_WEIGHT * (seen - known)));
    }

    /// Events that a stream should have in total; `None`: not known yet.
    pub fn expected(&self, output_tokens: u64) -> Option<f64> {
        self.per_token.map(|per_token| per_token * output_tokens as f64)
    }
}

/// The progress of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Time of its first event.
    pub started_at: Millis,
    /// Events so far.
    pub events: u64,
    /// Events that it should have in total, if known.
    pub expected: Option<f64>,
}

impl Progress {
    /// Whether the stream should complete before its model server ends, at its pace so far.
    pub fn completes_before(&self, now: Millis, ends_at: Millis) -> bool {
        let Some(expected) = self.expected.filter(|_| self.events > 1) else { return false };
        let each = now.saturating_sub(self.started_at) as f64 / (self.events - 1) as f64;
        let remaining = (expected - self.events as f64).max(0.0) * each;
        now as f64 + remaining + COMPLETION_MARGIN_MS < ends_at as f64
    }
}
