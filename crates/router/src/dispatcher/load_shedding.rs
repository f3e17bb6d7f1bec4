//! Load shedding: when a waiting request is rejected, and when its client should retry.
//!
//! A request waits as long as it can be served in the time that its client has left: its answer has to begin
//! before the client abandons it and to be complete by the client's deadline. A request that cannot be served
//! in that time is rejected as soon as this is known, with the time at which a model server could take it.
//! Nothing else counts: neither whether the client tried before, nor its latency target.

use super::pending::{PendingRequest, Stage};
use super::{Action, Dispatcher, Offer, RequestId};
use crate::Millis;
use crate::model_servers::{AttemptOutcome, Instance, KnownModelServer};
use crate::prompt::ModelName;
use pathbank_control::result_code::ResultCode;
use std::collections::BTreeMap;

/// Clients wait as `Retry-After` says up to this fraction of their remaining time (PROTOCOL.md, "Answers").
const MAX_RETRY_AFTER_FRACTION: f64 = 1.0 / 3.0;
/// A model server that runs sends a heartbeat within this time.
const HEARTBEAT_INTERVAL_MS: Millis = 1_000;

/// When a model server should take a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Forecast {
    /// The reason of a rejection.
    code: ResultCode,
    /// Time until a model server takes the request, milliseconds; `None`: none is expected to.
    ready_in: Option<Millis>,
    /// Time until a model server takes a further request of the client, milliseconds.
    retry_in: Millis,
}

/// When slots should become free, milliseconds from now in ascending order, by model server. No list is empty.
type SlotEnds = BTreeMap<Instance, Vec<Millis>>;

impl Forecast {
    /// A model server takes the request in this time, and would take a further one.
    fn ready(code: ResultCode, ready_in: Millis) -> Forecast {
        Forecast { code, ready_in: Some(ready_in), retry_in: ready_in }
    }
}

impl Dispatcher {
    /// Rejects all requests that were not sent to a model server, because the edge shuts down. `retry_after`:
    /// milliseconds.
    pub fn reject_queued(&mut self, now: Millis, retry_after: Millis) -> Vec<Action> {
        let waiting = self.waiting_requests();
        let reject = |id: RequestId| {
            if let Some(pending) = self.pending.remove(&id) {
                self.end_stage(now, &pending, AttemptOutcome::Abandoned);
            }
            Action::Reject { id, code: ResultCode::Stopping, retry_after }
        };
        waiting.into_iter().map(reject).collect()
    }

    /// For how long a request should occupy a slot, milliseconds.
    pub(super) fn work_ms(&self, now: Millis, offer: &Offer) -> f64 {
        self.engines.work_ms(now, &offer.backend, &offer.name.model, offer.tokens)
    }

    /// The latest time at which a model server can take a request and still serve it in the time that its
    /// client has left.
    pub fn latest_start(&self, now: Millis, offer: &Offer) -> Millis {
        let begins_ms = self.engines.typical_prefill_ms(now, &offer.name.model, offer.tokens.input) as Millis;
        let complete_ms = self.work_ms(now, offer) as Millis;
        let begins_in_time = offer.abandon_at.saturating_sub(begins_ms);
        let completes_in_time = offer.deadline.saturating_sub(complete_ms);
        begins_in_time.min(completes_in_time)
    }

    /// Rejects a request that has just arrived if it cannot be served in time.
    pub(super) fn shed_arrival(&mut self, now: Millis, id: RequestId, actions: &mut Vec<Action>) {
        let ahead = match self.pending.get(&id).map(|pending| &pending.stage) {
            Some(Stage::Queued(instance)) => self.queue.queued_at(instance).saturating_sub(1),
            Some(Stage::Unassigned) => 0,
            Some(Stage::Sent(_)) | None => return,
        };
        let slot_ends = self.slot_ends(now);
        self.shed_or_keep(now, id, &slot_ends, ahead, actions);
        actions.append(&mut self.dispatch(now));
    }

    /// Rejects waiting requests that cannot be served in time. Requests that can be served in time at another
    /// model server only move there.
    pub(super) fn shed_load(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let waiting = self.waiting_requests();
        if waiting.is_empty() {
            return;
        }
        let slot_ends = self.slot_ends(now);
        let mut ahead: BTreeMap<Instance, usize> = BTreeMap::new();
        for id in waiting {
            let queue = match self.pending.get(&id).map(|pending| &pending.stage) {
                Some(Stage::Queued(instance)) => Some(instance.clone()),
                _ => None,
            };
            let ahead_here = queue.as_ref().and_then(|instance| ahead.get(instance)).copied().unwrap_or(0);
            let is_kept = self.shed_or_keep(now, id, &slot_ends, ahead_here, actions);
            if let Some(instance) = queue.filter(|_| is_kept) {
                *ahead.entry(instance).or_default() += 1;
            }
        }
        actions.append(&mut self.dispatch(now));
    }

    /// When the slots of this edge's requests should become free: milliseconds from now in ascending order, by
    /// model server. A request is expected to take as long again as it is overdue.
    fn slot_ends(&self, now: Millis) -> SlotEnds {
        let mut ends = SlotEnds::new();
        for pending in self.pending.values() {
            let Stage::Sent(instance) = &pending.stage else { continue };
            let expected = pending.since + self.work_ms(now, &pending.offer) as Millis;
            ends.entry(instance.clone()).or_default().push(expected.abs_diff(now));
        }
        ends.values_mut().for_each(|ends| ends.sort_unstable());
        ends
    }

    /// Rejects or moves one waiting request if it cannot be served in time where it is. `ahead`: requests
    /// before it in its queue. Returns whether it stays where it is.
    fn shed_or_keep(
        &mut self,
        now: Millis,
        id: RequestId,
        slot_ends: &SlotEnds,
        ahead: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(pending) = self.pending.get(&id).filter(|pending| pending.is_waiting()) else {
            return false;
        };
        let latest_start = self.latest_start(now, &pending.offer);
        let is_in_time = |ready_in: Option<Millis>| ready_in.is_some_and(|wait| now + wait <= latest_start);
        let here = self.forecast(now, pending, slot_ends, ahead);
        if is_in_time(here.ready_in) {
            return true;
        }
        let elsewhere = self.soonest_server(now, &pending.offer, slot_ends);
        let retry_in = elsewhere.as_ref().map_or(here.retry_in, |(ready_in, _)| here.retry_in.min(*ready_in));
        match elsewhere {
            Some((ready_in, instance)) if is_in_time(Some(ready_in)) => {
                self.set_stage(now, id, Stage::Queued(instance));
            }
            _ => self.reject(now, id, Forecast { retry_in, ..here }, actions),
        }
        false
    }

    fn reject(&mut self, now: Millis, id: RequestId, forecast: Forecast, actions: &mut Vec<Action>) {
        let Some(pending) = self.pending.remove(&id) else { return };
        self.end_stage(now, &pending, AttemptOutcome::Abandoned);
        let remaining = pending.offer.deadline.saturating_sub(now) as f64;
        let longest = (MAX_RETRY_AFTER_FRACTION * remaining) as Millis;
        let retry_after = forecast.retry_in.min(longest);
        actions.push(Action::Reject { id, code: forecast.code, retry_after });
    }

    /// The requests that were not sent to a model server, in the order of their arrival.
    fn waiting_requests(&self) -> Vec<RequestId> {
        let waiting = self.pending.iter().filter(|(_, pending)| pending.is_waiting());
        waiting.map(|(id, _)| *id).collect()
    }

    /// When a model server should take a waiting request. `ahead`: requests before it in its queue.
    fn forecast(
        &self,
        now: Millis,
        pending: &PendingRequest,
        slot_ends: &SlotEnds,
        ahead: usize,
    ) -> Forecast {
        let offer = &pending.offer;
        match &pending.stage {
            Stage::Queued(instance) => {
                let known = self.servers.get(instance);
                let slot_in = known.map_or(0, |known| self.slot_in(now, offer, known, slot_ends, ahead));
                Forecast::ready(ResultCode::Overloaded, slot_in)
            }
            Stage::Unassigned if !self.servers.has_backend(&offer.backend) => Forecast {
                code: ResultCode::NoModelServer,
                ready_in: self.heartbeat_in(now, &offer.backend),
                retry_in: HEARTBEAT_INTERVAL_MS,
            },
            Stage::Unassigned => self.forecast_unassigned(now, offer, slot_ends),
            Stage::Sent(_) => Forecast::ready(ResultCode::Overloaded, 0),
        }
    }

    /// The forecast of a request that no model server may get at present: its model is resident nowhere, or
    /// every model server that has it was tried. Those are open to the client's next request.
    fn forecast_unassigned(&self, now: Millis, offer: &Offer, slot_ends: &SlotEnds) -> Forecast {
        let tried = self.servers_for(now, offer);
        match tried.map(|(_, known)| self.slot_at_end_in(now, offer, known, slot_ends)).min() {
            Some(retry_in) => Forecast { code: ResultCode::Overloaded, ready_in: None, retry_in },
            None => Forecast::ready(ResultCode::NoModelServer, self.resident_in(now, offer)),
        }
    }

    /// The model server that should take a request first if it joins the end of a queue, and the time until
    /// then, milliseconds.
    fn soonest_server(&self, now: Millis, offer: &Offer, slot_ends: &SlotEnds) -> Option<(Millis, Instance)> {
        let candidates = self.candidates(now, offer);
        let waits =
            candidates.map(|(instance, known)| (self.slot_at_end_in(now, offer, known, slot_ends), instance));
        waits.min().map(|(wait, instance)| (wait, instance.clone()))
    }

    /// Time until a model server takes a request that joins the end of its queue, milliseconds.
    fn slot_at_end_in(
        &self,
        now: Millis,
        offer: &Offer,
        known: &KnownModelServer,
        slot_ends: &SlotEnds,
    ) -> Millis {
        self.slot_in(now, offer, known, slot_ends, self.queue.queued_at(&known.server.instance))
    }

    /// Time until a model server takes a request behind `ahead` others, milliseconds. Its ejection has to end,
    /// and its free slots are taken first. Then each request waits for the end of one that runs, and after
    /// these for one of those that wait. Without requests of this edge there, slots become free evenly.
    fn slot_in(
        &self,
        now: Millis,
        offer: &Offer,
        known: &KnownModelServer,
        slot_ends: &SlotEnds,
        ahead: usize,
    ) -> Millis {
        let urgency = self.reserving_urgency(now, offer);
        let slots = known.slots_for(now, urgency);
        let takes_one = known.ejected_for_ms(now) > 0 || known.has_slot_for(now, urgency);
        let free = if takes_one { (slots - f64::from(known.in_flight)).max(0.0) as usize } else { 0 };
        let Some(turn) = ahead.checked_sub(free) else { return known.ejected_for_ms(now) };
        let slot_time_ms = self.engines.backend_slot_time_ms(now, &offer.backend);
        let wait_ms = match slot_ends.get(&known.server.instance) {
            Some(ends) => ends[turn % ends.len()] + ((turn / ends.len()) as f64 * slot_time_ms) as Millis,
            None => ((turn + 1) as f64 * slot_time_ms / slots) as Millis,
        };
        known.ejected_for_ms(now).max(wait_ms)
    }

    /// Time until a model server of a backend without any could be known, milliseconds. `None`: the backend
    /// has had none for longer than a model server that runs is silent.
    fn heartbeat_in(&self, now: Millis, backend: &str) -> Option<Millis> {
        let since = self.without_servers_since.get(backend).copied().unwrap_or(now);
        (since + HEARTBEAT_INTERVAL_MS).checked_sub(now).filter(|wait| *wait > 0)
    }

    /// Time until the model of a request is resident somewhere, milliseconds.
    fn resident_in(&self, now: Millis, offer: &Offer) -> Millis {
        let lacks_adapter_only = self.lacks_adapter_only(now, offer);
        self.model_eta.ready_in(now, offer, lacks_adapter_only)
    }

    /// Whether a request lacks only its adapter, because its model is resident at some model server.
    pub(super) fn lacks_adapter_only(&self, now: Millis, offer: &Offer) -> bool {
        let model = ModelName { model: offer.name.model.clone(), adapter: String::new() };
        !offer.name.adapter.is_empty()
            && self.servers.with_model(now, &offer.backend, &model).next().is_some()
    }

    /// Records since when a backend has had no model server, at a request for it.
    pub(super) fn note_missing_backend(&mut self, now: Millis, backend: &str) {
        if !self.servers.has_backend(backend) {
            self.without_servers_since.entry(backend.to_owned()).or_insert(now);
        }
    }

    /// Forgets backends that have a model server again.
    pub(super) fn forget_present_backends(&mut self) {
        let servers = &self.servers;
        self.without_servers_since.retain(|backend, _| !servers.has_backend(backend));
    }
}
