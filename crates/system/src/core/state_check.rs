//! The comparison of this core's replicated state with that of the others: when the leader asks for it, and what is known.

use super::preparation::DigestedState;
use pathbank_coordination::state_comparison::{
    ComparisonReport, ComparisonRequest, StateComparison, StateDigest, Verdict,
};
use pathbank_coordination::types::{Index, Membership, StoreId, Term};
use serde_json::{Value, json};

/// Between two comparisons, milliseconds.
const COMPARISON_INTERVAL_MS: u64 = 10_000;
/// At least this lies between them where the log was compacted or a replica has caught up, milliseconds.
const MIN_COMPARISON_INTERVAL_MS: u64 = 1_000;

/// Digests take at most this fraction of a processor, as its reciprocal.
const MIN_INTERVAL_PER_DIGEST: u64 = 200;

/// This core's part in the comparison.
#[derive(Default)]
pub struct StateCheck {
    comparison: StateComparison,
    verdict: Option<Verdict>,
    /// The own digest of the last comparison.
    own: Option<StateDigest>,
    /// How long that took, milliseconds.
    took_ms: u64,
    last_requested_at: u64,
    /// Something happened after which states are worth a comparison soon.
    requested_soon: bool,
}

impl StateCheck {
    /// The log was compacted, or a replica has caught up: its state came by a way of its own.
    pub fn request_soon(&mut self) {
        self.requested_soon = true;
    }

    /// The comparison that the leader of `term` has to ask for now, if one is due. `last_index`: of its log.
    pub fn take_due_request(&mut self, now: u64, term: Term, last_index: Index) -> Option<ComparisonRequest> {
        let interval_ms =
            if self.requested_soon { MIN_COMPARISON_INTERVAL_MS } else { COMPARISON_INTERVAL_MS };
        let interval_ms = interval_ms.max(self.took_ms * MIN_INTERVAL_PER_DIGEST);
        if now < self.last_requested_at + interval_ms {
            return None;
        }
        (self.last_requested_at, self.requested_soon) = (now, false);
        Some(ComparisonRequest { id: self.comparison.next_id(term), index: last_index })
    }

    /// Takes a leader's request.
    pub fn begin(&mut self, request: ComparisonRequest) {
        self.comparison.begin(request);
    }

    /// The request whose digest has to be made now: `applied` is the last entry that was applied.
    pub fn take_due_digest(&mut self, applied: Index) -> Option<ComparisonRequest> {
        self.comparison.take_due(applied)
    }

    /// Takes the digest of this core's own state. Returns what the others are to be sent.
    pub fn record_own(&mut self, me: StoreId, digested: DigestedState) -> ComparisonReport {
        let DigestedState { request, digest, took_ms } = digested;
        let report = ComparisonReport { store: me, request, state: digest };
        self.comparison.record(report);
        (self.own, self.took_ms) = (Some(digest), took_ms);
        report
    }

    /// Takes a report of another core.
    pub fn record(&mut self, report: ComparisonReport) {
        self.comparison.record(report);
    }

    /// What is known of this core's state, if that is news; `None`: it is not, or nothing is known yet.
    pub fn take_new_verdict(&mut self, me: StoreId, membership: &Membership) -> Option<Verdict> {
        let verdict = self.comparison.verdict(me, membership);
        let is_new = verdict != Verdict::Undecided && self.verdict != Some(verdict);
        if is_new {
            self.verdict = Some(verdict);
        }
        is_new.then_some(verdict)
    }

    /// The entry of the comparison that goes on; 0: there was none.
    pub fn index(&self) -> Index {
        self.comparison.request().map_or(0, |request| request.index)
    }

    /// The own digest of the last comparison.
    pub fn own_digest(&self) -> Option<StateDigest> {
        self.own
    }

    /// For the status of this core.
    pub fn to_json(&self) -> Value {
        let verdict = match self.verdict {
            None | Some(Verdict::Undecided) => "undecided",
            Some(Verdict::Agrees) => "agrees",
            Some(Verdict::Differs(_)) => "differs",
            Some(Verdict::NoMajority) => "no_majority",
        };
        let digest = self.own_digest();
        json!({
            "index": self.index(),
            "format": digest.map(|state| state.format),
            "digest": digest.map(|state| format!("{:032x}", state.digest)),
            "verdict": verdict,
        })
    }
}
