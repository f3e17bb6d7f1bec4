//! Dispatch: which request goes to which model server next.
//!
//! On its arrival a request is queued for one model server, the one that should answer it first. When that
//! server has a free slot, the fair queue decides which of its requests is sent. A request for a model that
//! is resident nowhere waits until the model is resident. A request that cannot be served in the time that its
//! client has left is rejected at once, with a time to retry.
//!
//! `load_shedding` decides rejections, `assignment` and `cost` the model server, `evacuations` which streams
//! move before their server ends, `demand` what is reported to the leader.

mod assignment;
mod cost;
mod demand;
mod evacuations;
mod load_shedding;
mod model_eta;
mod offer;
mod pending;
mod prefix_cache;
mod recent_urgencies;

use crate::Millis;
pub use crate::RequestId;
use crate::engine_estimates::{EngineEstimates, PrefillSample};
use crate::model_servers::{AttemptOutcome, Instance, ModelServerTable};
use crate::prompt::ModelName;
use model_eta::ModelEta;
pub use offer::{Action, Offer};
use pathbank_control::urgency::Urgency;
use pathbank_fair_queue::{FairQueue, Settings};
use pathbank_protocol::message::{ExpectedModel, ModelDemand, ModelServerLoad, ModelServerUpdate};
use pending::{Evacuation, PendingRequest, Stage};
use prefix_cache::PrefixCache;
use recent_urgencies::RecentUrgencies;
use std::collections::{BTreeMap, BTreeSet};

/// The interval at which a waiting request is assigned to a model server again.
const REQUEUE_INTERVAL_MS: Millis = 40;

/// The flow of a request in the fair queue: its backend and model.
type FlowKey = (String, String);

/// The event-driven state of all pending requests of an edge, and of the model servers for them.
#[derive(Debug)]
pub struct Dispatcher {
    zone: String,
    seed: u64,
    servers: ModelServerTable,
    queue: FairQueue<FlowKey, Instance, RequestId>,
    pending: BTreeMap<RequestId, PendingRequest>,
    prefix_cache: PrefixCache,
    model_eta: ModelEta,
    engines: EngineEstimates,
    demand: BTreeMap<(String, ModelName), ModelDemand>,
    urgent: bool,
    /// Backends without any model server, and since when requests find none.
    without_servers_since: BTreeMap<String, Millis>,
    urgencies: RecentUrgencies,
}

impl Dispatcher {
    /// An empty dispatcher of an edge in `zone`. `seed`: any number that differs by edge.
    pub fn new(zone: String, seed: u64) -> Dispatcher {
        Dispatcher {
            zone,
            seed,
            servers: ModelServerTable::new(seed),
            queue: FairQueue::new(Settings::default()),
            pending: BTreeMap::new(),
            prefix_cache: PrefixCache::default(),
            model_eta: ModelEta::default(),
            engines: EngineEstimates::default(),
            demand: BTreeMap::new(),
            urgent: false,
            without_servers_since: BTreeMap::new(),
            urgencies: RecentUrgencies::default(),
        }
    }

    /// The model servers that this edge knows.
    pub fn servers(&self) -> &ModelServerTable {
        &self.servers
    }

    /// This edge's estimates of the engines behind model servers.
    pub fn engines(&self) -> &EngineEstimates {
        &self.engines
    }

    /// The number of pending requests.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// A request that was not sent to a model server yet, and a text that says what the request waits for.
    pub fn queued(&self, id: RequestId) -> Option<(&Offer, &'static str)> {
        let pending = self.pending.get(&id)?;
        let waits_for = match pending.stage {
            Stage::Unassigned => "a model server that holds its model",
            Stage::Queued(_) => "a slot",
            Stage::Sent(_) => return None,
        };
        Some((&pending.offer, waits_for))
    }

    /// Takes a request. `first`: the request has just arrived; otherwise this is a further attempt after a
    /// model server did not run the request.
    pub fn offer(&mut self, now: Millis, offer: Offer, first: bool) -> Vec<Action> {
        if first {
            self.record_demand(now, &offer);
        }
        let id = offer.id;
        self.note_missing_backend(now, &offer.backend);
        self.urgencies.record(now, &offer.backend, offer.urgency);
        self.pending.insert(id, PendingRequest::new(now, offer));
        self.assign(now, id);
        let mut actions = self.dispatch(now);
        self.shed_arrival(now, id, &mut actions);
        actions
    }

    /// Removes a request that was answered or cancelled; its slot at a model server is free again.
    pub fn finish(&mut self, now: Millis, id: RequestId, outcome: AttemptOutcome) -> Vec<Action> {
        let Some(pending) = self.pending.remove(&id) else { return Vec::new() };
        self.end_stage(now, &pending, outcome);
        self.record_slot_time(now, &pending, outcome);
        self.dispatch(now)
    }

    /// Records that a model server began to answer a request. `is_success`: the answer shows that the prompt
    /// was prefilled; a failure does not.
    pub fn response_started(&mut self, now: Millis, id: RequestId, is_success: bool) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Stage::Sent(instance) = &pending.stage else { return };
        self.servers.response_started(instance, id);
        if let Some(tokens) = pending.uncontended_tokens.take().filter(|_| is_success) {
            let (model, took_ms) = (pending.offer.name.model.as_str(), now.saturating_sub(pending.since));
            self.engines.observe_prefill(now, PrefillSample { instance, model, tokens, took_ms });
        }
    }

    /// Takes a model server's load from its answer: requests running and queued there.
    pub fn observe_load(&mut self, now: Millis, instance: &str, running: u32, waiting: u32) {
        self.servers.observe_load(now, instance, running, waiting);
    }

    /// Records the pace of a complete stream. `pace_ms`: the time between its events while nothing else
    /// delayed them.
    pub fn observe_decode_pace(&mut self, now: Millis, id: RequestId, pace_ms: f64) {
        let Some(pending) = self.pending.get(&id) else { return };
        if let Stage::Sent(instance) = &pending.stage {
            self.engines.observe_decode_pace(now, instance, &pending.offer.name.model, pace_ms);
        }
    }

    /// Takes the leader's report of the loads of model servers over all edges.
    pub fn observe_total_loads(&mut self, now: Millis, loads: &[ModelServerLoad]) {
        loads.iter().for_each(|load| self.servers.observe_total_load(now, load));
    }

    /// Takes the leader's report of the models that are being loaded.
    pub fn set_expected_models(&mut self, now: Millis, models: Vec<ExpectedModel>) {
        self.model_eta.set_expected_models(now, models);
    }

    /// Takes a core's report of model servers.
    pub fn update_servers(&mut self, now: Millis, update: ModelServerUpdate) -> Vec<Action> {
        let closed = self.servers.update(now, update);
        self.forget_present_backends();
        let stranded = self.pending.iter().filter(|(_, pending)| match &pending.stage {
            Stage::Queued(instance) => closed.contains(instance),
            Stage::Unassigned => true,
            Stage::Sent(_) => false,
        });
        let stranded: Vec<RequestId> = stranded.map(|(id, _)| *id).collect();
        stranded.into_iter().for_each(|id| self.assign(now, id));
        closed.iter().for_each(|instance| self.plan_evacuation(now, instance));
        let mut actions = self.dispatch(now);
        self.evacuate_due(now, &mut actions);
        actions
    }

    /// Advances time: assigns, sends, rejects and moves the requests that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let waiting = self.pending.iter().filter(|(_, pending)| pending.is_waiting());
        let waiting: Vec<RequestId> = waiting
            .filter(|(_, pending)| now >= pending.since + REQUEUE_INTERVAL_MS)
            .map(|(id, _)| *id)
            .collect();
        waiting.into_iter().for_each(|id| self.assign(now, id));
        let mut actions = self.dispatch(now);
        self.shed_load(now, &mut actions);
        self.evacuate_due(now, &mut actions);
        self.queue.remove_idle_flows(now);
        self.servers.tidy(now);
        self.prefix_cache.tidy(now);
        self.model_eta.tidy(now);
        self.engines.tidy(now);
        self.urgencies.tidy(now);
        actions
    }

    /// When [`Dispatcher::tick`] has to be called next; `None`: not before the next call of another method.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let waits = |pending: &PendingRequest| {
            pending.is_waiting() || matches!(pending.evacuation, Evacuation::Planned(_))
        };
        self.pending.values().any(waits).then_some(now + REQUEUE_INTERVAL_MS)
    }

    // ---- only these two functions change the stage of a request ----

    fn set_stage(&mut self, now: Millis, id: RequestId, stage: Stage) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let before = std::mem::replace(&mut pending.stage, stage.clone());
        let (flow, tokens) = (flow_of(&pending.offer), pending.offer.tokens.input);
        let (backend, model) = (&pending.offer.backend, &pending.offer.name.model);
        let size = self.engines.work_ms(now, backend, model, pending.offer.tokens).max(1.0);
        match (&before, &stage) {
            (Stage::Queued(_), Stage::Queued(to)) => self.queue.reassign(id, to.clone()),
            (Stage::Queued(_), Stage::Unassigned) => drop(self.queue.remove(now, id)),
            (Stage::Unassigned, Stage::Queued(at)) => self.queue.push(now, flow, at.clone(), id, size),
            (Stage::Queued(_), Stage::Sent(at)) => self.servers.request_sent(at, id, tokens),
            (Stage::Sent(_), _) | (Stage::Unassigned, _) => {}
        }
        if before != stage {
            pending.since = now;
        }
    }

    fn end_stage(&mut self, now: Millis, pending: &PendingRequest, outcome: AttemptOutcome) {
        let offer = &pending.offer;
        match &pending.stage {
            Stage::Unassigned => {}
            Stage::Queued(_) => drop(self.queue.remove(now, offer.id)),
            Stage::Sent(instance) => {
                self.queue.complete(&flow_of(offer));
                self.servers.response_started(instance, offer.id);
                self.servers.request_ended(now, instance, &offer.name, outcome);
            }
        }
    }

    // ---- queued requests are sent to free slots ----

    fn dispatch(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.queue.is_empty() {
            return actions;
        }
        let wanted: BTreeSet<Instance> = self.queue.waiting().map(|(_, instance)| instance.clone()).collect();
        for instance in wanted {
            while self.servers.get(&instance).is_some_and(|known| known.has_slot(now)) {
                let Dispatcher { queue, pending, servers, urgencies, engines, .. } = self;
                let may_send_to = |id| match (pending.get(&id), servers.get(&instance)) {
                    (Some(PendingRequest { offer, .. }), Some(known)) => {
                        known.has_slot_for(now, urgencies.reserving(now, offer, engines))
                    }
                    _ => false,
                };
                let taken = queue.take_where(now, &instance, may_send_to);
                let Some(id) = taken else { break };
                self.send(now, id, &instance, &mut actions);
            }
        }
        actions
    }

    /// The urgency by which slots are reserved before a request.
    pub fn reserving_urgency(&self, now: Millis, offer: &Offer) -> Urgency {
        self.urgencies.reserving(now, offer, &self.engines)
    }

    fn send(&mut self, now: Millis, id: RequestId, instance: &Instance, actions: &mut Vec<Action>) {
        let Some(known) = self.servers.get(instance) else { return };
        let address = known.server.address.clone();
        let is_idle = known.prefill_backlog_tokens() == 0 && known.occupancy(now) < 1.0;
        let tokens = self.pending.get(&id).map(|pending| self.tokens_to_prefill(&pending.offer, instance));
        self.set_stage(now, id, Stage::Sent(instance.clone()));
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.uncontended_tokens = tokens.filter(|_| is_idle);
            self.prefix_cache.record(now, instance, &pending.offer.name, &pending.offer.parts);
        }
        actions.push(Action::Send { id, instance: instance.clone(), address });
    }
}

fn flow_of(offer: &Offer) -> FlowKey {
    (offer.backend.clone(), offer.name.model.clone())
}
