//! Comparison of the replicated state with the other cores, and what a core does whose state differs.

use super::Node;
use crate::core::event::{DiskEvent, Event};
use crate::core::preparation::DigestedState;
use pathbank_coordination::state_comparison::{ComparisonReport, ComparisonRequest, Verdict};
use pathbank_protocol::message::Frame;

/// How far a core whose state differs is on its way to a new store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum StoreState {
    /// It takes part.
    #[default]
    InUse,
    /// It takes no part any more; its log is being set aside.
    BeingSetAside,
    /// The log is set aside.
    SetAside,
}

impl Node {
    /// As the leader, asks for a comparison when one is due.
    pub(super) fn request_comparison(&mut self, now: u64) {
        if !self.is_established_leader() {
            return;
        }
        let replica = self.replication.replica();
        let (term, last_index) = (replica.term(), replica.durable().last_index());
        if let Some(request) = self.state_check.take_due_request(now, term, last_index) {
            self.links.send_to_comparing_cores(&Frame::ComparisonRequest(request));
            self.on_comparison_request(request);
        }
    }

    /// A core answered on the link that this one opened to it.
    pub(super) fn on_core_said(&mut self, now: u64, frame: &Frame) {
        match frame {
            Frame::ComparisonRequest(request) => self.on_comparison_request(*request),
            Frame::ComparisonReport(report) => self.on_comparison_report(now, *report),
            _ => {}
        }
    }

    /// A leader asks for the digest of the state at an index.
    fn on_comparison_request(&mut self, request: ComparisonRequest) {
        self.state_check.begin(request);
        self.digest_state_if_due();
    }

    /// Has the digest made, if this core has applied exactly what it is asked for.
    pub(super) fn digest_state_if_due(&mut self) {
        if let Some(request) = self.state_check.take_due_digest(self.machine.applied()) {
            self.preparation.digest_state(request, self.machine.state().clone());
        }
    }

    /// The own digest is made.
    pub(super) fn on_state_digested(&mut self, now: u64, digested: DigestedState) {
        let me = self.replication.replica().me().id;
        let report = self.state_check.record_own(me, digested);
        self.links.send_to_comparing_cores(&Frame::ComparisonReport(report));
        self.judge_state(now);
    }

    /// Another core has made its digest.
    fn on_comparison_report(&mut self, now: u64, report: ComparisonReport) {
        self.state_check.record(report);
        self.judge_state(now);
    }

    fn judge_state(&mut self, now: u64) {
        let replica = self.replication.replica();
        match self.state_check.take_new_verdict(replica.me().id, replica.membership()) {
            Some(Verdict::Differs(majority)) => self.set_store_aside(now, majority),
            Some(Verdict::NoMajority) => {
                tracing::error!(
                    index = self.state_check.index(),
                    own = ?self.state_check.own_digest(),
                    "replicated states differ, and none is that of a majority"
                );
            }
            Some(Verdict::Agrees | Verdict::Undecided) | None => {}
        }
    }

    /// Takes no part any more in anything that rests on the state, and sets it aside for engineers. A leader hands over
    /// first.
    fn set_store_aside(&mut self, now: u64, majority: u128) {
        tracing::error!(
            index = self.state_check.index(),
            own = ?self.state_check.own_digest(),
            majority = %format_args!("{majority:032x}"),
            applied = self.machine.applied(),
            "replicated state differs from the majority, starting as a new store"
        );
        self.transfer_leadership(now);
        self.lease.revoke();
        self.replication.abandon_proposals();
        self.store = StoreState::BeingSetAside;
        self.replication.set_store_aside(self.machine.state().clone());
    }

    /// Handles an event while the store is set aside: links are closed and callers get no answer, as if the process were
    /// restarting.
    pub(super) fn on_event_without_store(&mut self, event: &Event) {
        match event {
            Event::Disk(DiskEvent::StoreSetAside) => self.store = StoreState::SetAside,
            Event::LinkOpened(_, _, link) => link.close(),
            _ => {}
        }
    }

    /// Whether the store is set aside: the core goes on as a new one.
    pub fn is_store_set_aside(&self) -> bool {
        self.store == StoreState::SetAside
    }

    /// Ends all links, and what runs beside the event loop. All that it reports is in the queue of events then.
    pub fn discard(self) {
        self.links.close_all();
        self.preparation.end();
    }
}
