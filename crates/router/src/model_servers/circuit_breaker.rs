//! The circuit breaker of a model server. A model server that fails is ejected: it gets no requests for a
//! time that grows with each consecutive failure.

use crate::Millis;

/// Duration of the first ejection. It doubles with each further failure up to [`MAX_EJECTION_MS`].
const BASE_EJECTION_MS: Millis = 250;
const MAX_EJECTION_MS: Millis = 5_000;
/// The limit of doublings: the ejection is at its maximum by then.
const MAX_DOUBLINGS: u32 = 5;
/// Ejections are longer or shorter by up to this fraction, so that edges do not return at the same moment.
const EJECTION_JITTER: f64 = 0.3;
/// Back-off from a model server that rejected a request because it is full.
const FULL_BACKOFF_MS: Millis = 60;
/// Failed requests in a row after which a model server is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 2;
/// Misdirected requests in a row after which a model server is ejected: another incarnation may be at its
/// address.
const CONSECUTIVE_MISDIRECTED_TO_EJECT: u32 = 3;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Circuit {
    /// Requests pass as long as there are slots.
    #[default]
    Closed,
    /// The model server was ejected. One request at a time passes, until one is answered.
    HalfOpen,
}

/// The circuit breaker of one model server.
#[derive(Clone, Debug, Default)]
pub(super) struct CircuitBreaker {
    ejected_until: Millis,
    circuit: Circuit,
    /// Failures in a row.
    failures: u32,
    /// Misdirected requests in a row: the server is another incarnation, or does not hold the model.
    misdirected: u32,
}

impl CircuitBreaker {
    /// Whether the model server is ejected.
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// Remaining time of its ejection, milliseconds; 0: it is not ejected.
    pub(super) fn ejected_for_ms(&self, now: Millis) -> Millis {
        self.ejected_until.saturating_sub(now)
    }

    /// Whether only one request at a time may pass.
    pub(super) fn is_half_open(&self) -> bool {
        self.circuit == Circuit::HalfOpen
    }

    /// Records that a request was answered.
    pub(super) fn on_success(&mut self) {
        (self.failures, self.misdirected, self.circuit) = (0, 0, Circuit::Closed);
    }

    /// Records that a request was rejected because the server is full.
    pub(super) fn on_full(&mut self, now: Millis) {
        self.ejected_until = self.ejected_until.max(now + FULL_BACKOFF_MS);
    }

    /// Records that a request reached another incarnation, or a server without the model. `jitter`: from 0 to
    /// 1.
    pub(super) fn on_misdirected(&mut self, now: Millis, jitter: f64) {
        self.misdirected += 1;
        if self.misdirected >= CONSECUTIVE_MISDIRECTED_TO_EJECT {
            self.eject(now, self.misdirected - CONSECUTIVE_MISDIRECTED_TO_EJECT, jitter);
        }
    }

    /// Records that a request failed without an answer. `jitter`: from 0 to 1.
    pub(super) fn on_failure(&mut self, now: Millis, jitter: f64) {
        self.failures += 1;
        if self.failures >= CONSECUTIVE_FAILURES_TO_EJECT {
            self.eject(now, self.failures - CONSECUTIVE_FAILURES_TO_EJECT, jitter);
        }
    }

    fn eject(&mut self, now: Millis, doublings: u32, jitter: f64) {
        let duration_ms = (BASE_EJECTION_MS << doublings.min(MAX_DOUBLINGS)).min(MAX_EJECTION_MS) as f64;
        self.ejected_until =
            now + (duration_ms * (1.0 - EJECTION_JITTER + 2.0 * EJECTION_JITTER * jitter)) as Millis;
        self.circuit = Circuit::HalfOpen;
    }
}
