//! Starts attempts and probes.

use super::attempt::{Begun, Binder, Client, Try, written_by};
use super::handle::Input;
use super::open::Out;
use super::{Core, PROBE_TIME};
use crate::attempt_end::AttemptEnd;
use crate::clock::micros;
use crate::interface::*;
use futures_util::FutureExt;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use tokio::time::Instant;

impl Core {
    /// A probe is no request's: it has no id, nothing is counted of it, and its only end is its time-out.
    pub(super) fn probe(&mut self, node: NodeId) {
        let (Some(probes), Some(at)) = (&self.probes, self.nodes.get(&node).filter(|node| node.ready)) else {
            return;
        };
        let (begun, answer_by) = (Instant::now(), Instant::now() + PROBE_TIME);
        let binder = Binder { handle: self.handle.clone(), id: 0, attempt: 0 };
        let begins = Arc::new(Begun { class: usize::MAX, ..Begun::default() });
        let work = probes.attempt(Try { address: at.address.clone(), answer_by, begun: begins, binder });
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let done = tokio::time::timeout_at(answer_by, AssertUnwindSafe(work).catch_unwind()).await;
            let report = match done {
                Ok(Ok(report)) => report,
                Ok(Err(_)) => AttemptEnd::Broke.into(),
                Err(_) => AttemptEnd::TimedOut.into(),
            };
            handle.send(Input::Probed { node, latency: micros(begun.elapsed()), report });
        });
    }

    pub(super) fn start(
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
        let able = !open.over() && open.bound.is_none() && until > now && attempt < open.max_attempts;
        let looked = self.may_start(open, attempt, node).filter(|_| able);
        let Some(open) = self.requests.get_mut(&id) else { return };
        let (Some(looked), Some(address)) = (looked, address) else {
            let load = Load::default();
            let over = open.over();
            let result = AttemptEnd::NotStarted.result();
            let moot = Outcome { request: id, attempt, node, result, latency: 0, over, used: None, load };
            open.note(now, attempt, String::new(), Some(result));
            open.attempts.push(None);
            return self.tell(Event::Outcome(moot));
        };
        let (client, figures) = (Client(Some(open.work.clone())), self.figures.clone());
        let begun = Arc::new(Begun { class: open.class, figures, client, ..Begun::default() });
        let answer_by = self.clock.instant(until);
        if open.noted.is_some() {
            let name = self.nodes.get(&node).map_or(String::new(), |node| node.id.clone());
            open.note(now, attempt, name, None);
        }
        let binder = Binder { handle: self.handle.clone(), id, attempt };
        let work = open.work.attempt(Try { address, answer_by, begun: begun.clone(), binder });
        let handle = self.handle.clone();
        let write_by = (write_by < Micros::MAX).then(|| self.clock.instant(write_by));
        let written = begun.clone();
        let task = tokio::spawn(async move {
            let work = AssertUnwindSafe(written_by(work, written.clone(), write_by)).catch_unwind();
            // Without a time of its own it ends with its request's, which may come later than was known here.
            let done = match time_out {
                0 => Ok(work.await),
                _ => tokio::time::timeout_at(answer_by, work).await,
            };
            let report = match done {
                Ok(Ok(report)) => report,
                Ok(Err(_)) => AttemptEnd::Broke.into(),
                Err(_) => AttemptEnd::TimedOut.into(),
            };
            if written.refused() {
                // The word of it is still on its way from the front.
                handle.send(Input::Left { id });
            }
            handle.send(Input::Report { id, attempt, report });
        });
        open.attempts.push(Some(Out { node, sent: now, begun, task: task.abort_handle() }));
        let class = open.class;
        if let Some(node) = self.nodes.get_mut(&node) {
            node.out += 1;
        }
        self.note_act(id, class, attempt, node, looked);
    }
}
