//! Starts attempts and probes.

use super::attempt::{AnswerBinder, AttemptContext, ClientState, WriteState, cancel_unless_written_by};
use super::handle::Input;
use super::open::AttemptInFlight;
use super::{Core, PROBE_TIMEOUT};
use crate::attempt_end::AttemptEnd;
use crate::clock::micros;
use crate::interface::*;
use futures_util::FutureExt;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use tokio::time::Instant;

impl Core {
    /// Probes a node. A probe belongs to no request: it has no id, is not counted in the metrics, and is
    /// limited only by its time-out.
    pub(super) fn probe(&mut self, node: NodeId) {
        let (Some(probes), Some(target)) = (&self.probes, self.nodes.get(&node).filter(|node| node.ready))
        else {
            return;
        };
        let (started_at, answer_by) = (Instant::now(), Instant::now() + PROBE_TIMEOUT);
        let binder = AnswerBinder { handle: self.handle.clone(), id: 0, attempt: 0 };
        let write_state = Arc::new(WriteState { class: usize::MAX, ..WriteState::default() });
        let work = probes.attempt(AttemptContext {
            address: target.address.clone(),
            answer_by,
            write_state,
            binder,
        });
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let done = tokio::time::timeout_at(answer_by, AssertUnwindSafe(work).catch_unwind()).await;
            let report = match done {
                Ok(Ok(report)) => report,
                Ok(Err(_)) => AttemptEnd::Broke.into(),
                Err(_) => AttemptEnd::TimedOut.into(),
            };
            handle.send(Input::Probed { node, latency: micros(started_at.elapsed()), report });
        });
    }

    /// Starts an attempt if the request and the agreed rules allow it; otherwise reports it to the policy as
    /// not started.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        node: NodeId,
        time_out: Micros,
        write_by: Micros,
    ) {
        let Some(open) = self.requests.get(&id) else { return };
        let attempt = open.attempts.len() as u32;
        let until = if time_out > 0 { open.answer_by.min(now + time_out) } else { open.answer_by };
        let address = self.nodes.get(&node).map(|node| node.address.clone());
        let allowed = !open.over() && open.bound.is_none() && until > now && attempt < open.max_attempts;
        let checked_at = self.may_start(open, attempt, node).filter(|_| allowed);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (Some(checked_at), Some(address)) = (checked_at, address) else {
            let load = Load::default();
            let over = open.over();
            let result = AttemptEnd::NotStarted.result();
            let outcome = Outcome { request: id, attempt, node, result, latency: 0, over, used: None, load };
            open.record_attempt(now, attempt, String::new(), Some(result));
            open.attempts.push(None);
            return self.dispatch(Event::Outcome(outcome));
        };
        let (client, metrics) = (ClientState(Some(open.work.clone())), self.metrics.clone());
        let write_state =
            Arc::new(WriteState { class: open.class, metrics, client, ..WriteState::default() });
        let answer_by = self.clock.instant(until);
        if open.record.is_some() {
            let name = self.nodes.get(&node).map_or(String::new(), |node| node.id.clone());
            open.record_attempt(now, attempt, name, None);
        }
        let binder = AnswerBinder { handle: self.handle.clone(), id, attempt };
        let work = open.work.attempt(AttemptContext {
            address,
            answer_by,
            write_state: write_state.clone(),
            binder,
        });
        let handle = self.handle.clone();
        let write_by = (write_by < Micros::MAX).then(|| self.clock.instant(write_by));
        let written = write_state.clone();
        let task = tokio::spawn(async move {
            let work =
                AssertUnwindSafe(cancel_unless_written_by(work, written.clone(), write_by)).catch_unwind();
            // An attempt without a time-out ends at the request's deadline, which may be later than the one
            // known here.
            let done = match time_out {
                0 => Ok(work.await),
                _ => tokio::time::timeout_at(answer_by, work).await,
            };
            let report = match done {
                Ok(Ok(report)) => report,
                Ok(Err(_)) => AttemptEnd::Broke.into(),
                Err(_) => AttemptEnd::TimedOut.into(),
            };
            if written.is_refused() {
                // The front's own report that the client left has not arrived yet.
                handle.send(Input::ClientLeft { id });
            }
            handle.send(Input::Report { id, attempt, report });
        });
        open.attempts.push(Some(AttemptInFlight { node, sent: now, write_state, task: task.abort_handle() }));
        let class = open.class;
        if let Some(node) = self.nodes.get_mut(&node) {
            node.in_flight += 1;
        }
        self.record_start(id, class, attempt, node, checked_at);
    }
}
