//! Streams leave a model server that is taken away at short notice, before it goes.
//!
//! A model server that says `draining` with `remaining_ms` is gone once that time is out, whatever it runs.
//! Streams that another model server may take up are moved before: those whose clients stop waiting first go
//! first, evenly over the time that is left, for a model server that reads many prompts at once holds up all
//! its streams. What cannot be taken up elsewhere stays; it has the model server's slots to itself. Nothing
//! moves where no time is told: such a model server serves what it has.

use crate::Millis;
use crate::dispatcher::RequestId;
use std::collections::BTreeMap;

/// The last streams have left so long before the model server goes, milliseconds: word of it may have been on
/// its way for a while.
pub const EVACUATION_MARGIN_MS: Millis = 400;
/// A stream that ends this much before the model server goes is left to end, milliseconds.
const COMPLETION_MARGIN_MS: f64 = 150.0;

/// A stream at a model server that is taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// The request.
    pub id: RequestId,
    /// When its client stops waiting.
    pub deadline: Millis,
}

/// When each stream leaves. `draw`: from 0 to 1, another one at each edge, so that edges do not move theirs
/// together.
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

/// How many events a stream has for each token that its client asked for at most: a running mean over streams
/// that were complete.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventRate {
    per_token: Option<f64>,
}

/// Weight of one stream in the mean.
const EVENT_RATE_WEIGHT: f64 = 0.1;

impl EventRate {
    /// A stream was complete with so many events.
    pub fn observe(&mut self, output_tokens: u64, events: u64) {
        if output_tokens == 0 || events == 0 {
            return;
        }
        let seen = events as f64 / output_tokens as f64;
        self.per_token =
            Some(self.per_token.map_or(seen, |known| known + EVENT_RATE_WEIGHT * (seen - known)));
    }

    /// Events that a stream should have in all; `None`: no stream was complete yet.
    pub fn expected(&self, output_tokens: u64) -> Option<f64> {
        self.per_token.map(|per_token| per_token * output_tokens as f64)
    }
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// When its first event came.
    pub started_at: Millis,
    /// Events so far.
    pub events: u64,
    /// Events that it should have in all, if that is known.
    pub expected: Option<f64>,
}

impl Progress {
    /// Whether the stream should be complete before its model server goes, at the pace that it had so far.
    pub fn completes_before(&self, now: Millis, ends_at: Millis) -> bool {
        let Some(expected) = self.expected.filter(|_| self.events > 1) else { return false };
        let each = now.saturating_sub(self.started_at) as f64 / (self.events - 1) as f64;
        let remaining = (expected - self.events as f64).max(0.0) * each;
        now as f64 + remaining + COMPLETION_MARGIN_MS < ends_at as f64
    }
}
