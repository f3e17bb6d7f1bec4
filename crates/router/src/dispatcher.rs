//! Which request goes to which model server next.
//!
//! A request is queued at one model server on its arrival: the one where it should be answered first. When
//! that model server has a free slot, the fair queue decides which of its requests goes there. A request for
//! what no model server holds waits until one does. Whatever cannot be served in time is refused early, with
//! the time after which to come back.

mod cost;
mod demand;
mod evacuations;
mod load_shedding;
mod model_eta;
mod offer;
mod prefix_cache;

use crate::Millis;
use crate::engine_estimates::{EngineEstimates, PrefillSample};
use crate::model_servers::{AttemptOutcome, Instance, KnownModelServer, ModelServerTable};
use crate::prompt::ModelName;
use load_shedding::Forecast;
use model_eta::ModelEta;
pub use offer::{Action, Offer};
use pathbank_control::result_code::ResultCode;
use pathbank_fair_queue::{FairQueue, Settings};
use pathbank_protocol::message::{ExpectedModel, ModelDemand, ModelServerLoad, ModelServerUpdate};
use prefix_cache::PrefixCache;
use std::collections::{BTreeMap, BTreeSet};

/// Names one client request at this edge.
pub type RequestId = u64;

/// A request that waits longer is queued anew, milliseconds.
const REQUEUE_INTERVAL_MS: Millis = 40;
/// When to come back while no model server of the service is known: they say something within this,
/// milliseconds.
const NO_BACKEND_RETRY_MS: Millis = 1_000;
/// Model servers that are all busy have answered so many of their requests after this part of an answer's
/// time.
const BUSY_RETRY_FRACTION: f64 = 0.6;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// No model server holds what it asks for.
    Unassigned,
    /// Waits for a slot of a model server.
    Queued(Instance),
    /// Is at a model server.
    Sent(Instance),
}

#[derive(Clone, Debug)]
struct PendingRequest {
    offer: Offer,
    stage: Stage,
    since: Millis,
    reported: bool,
    /// When it was reported that it waits for a model server, one held its model without its adapter.
    is_model_resident: bool,
    /// Tokens that its model server had to read, where no other prompt of this edge was before it there.
    uncontended_tokens: Option<u64>,
    evacuation: Evacuation,
}

/// Whether a request leaves its model server before that is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evacuation {
    /// Nothing says so.
    NotPlanned,
    /// Its model server is taken away; it leaves at this time.
    Planned(Millis),
    /// It was told to leave.
    Notified,
}

/// The flow of a request: its service and model.
type FlowKey = (String, String);

/// All requests of this edge that are not answered yet, and the model servers for them.
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
}

impl Dispatcher {
    /// A dispatcher of an edge in `zone`, with no model server and no request. `seed`: any number, another
    /// one at each edge.
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
        }
    }

    /// The model servers as this edge knows them.
    pub fn servers(&self) -> &ModelServerTable {
        &self.servers
    }

    /// What this edge has seen of the engines behind model servers.
    pub fn engines(&self) -> &EngineEstimates {
        &self.engines
    }

    /// Requests that are not answered yet.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// A request that is at no model server yet, and what it waits for.
    pub fn queued(&self, id: RequestId) -> Option<(&Offer, &'static str)> {
        let pending = self.pending.get(&id)?;
        let waits_for = match pending.stage {
            Stage::Unassigned => "a model server that holds its model",
            Stage::Queued(_) => "a slot",
            Stage::Sent(_) => return None,
        };
        Some((&pending.offer, waits_for))
    }

    /// A request came, or comes again after a model server did not run it.
    pub fn offer(&mut self, now: Millis, offer: Offer, first: bool) -> Vec<Action> {
        if first {
            self.record_demand(now, &offer);
        }
        let id = offer.id;
        self.pending.insert(
            id,
            PendingRequest {
                offer,
                stage: Stage::Unassigned,
                since: now,
                reported: false,
                is_model_resident: false,
                uncontended_tokens: None,
                evacuation: Evacuation::NotPlanned,
            },
        );
        self.assign(now, id);
        self.dispatch(now)
    }

    /// A request is over for this edge: its client left, or it is answered. Ends its stay at a model server.
    pub fn finish(&mut self, now: Millis, id: RequestId, outcome: AttemptOutcome) -> Vec<Action> {
        let Some(pending) = self.pending.remove(&id) else { return Vec::new() };
        self.end_stage(now, &pending, outcome);
        self.record_slot_time(now, &pending, outcome);
        self.dispatch(now)
    }

    /// A model server began to answer a request. `is_success`: the answer is a success, so the prompt was read;
    /// a failure may come sooner than any prompt is read.
    pub fn response_started(&mut self, now: Millis, id: RequestId, is_success: bool) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Stage::Sent(instance) = &pending.stage else { return };
        self.servers.response_started(instance, id);
        if let Some(tokens) = pending.uncontended_tokens.take().filter(|_| is_success) {
            let (model, took_ms) = (pending.offer.name.model.as_str(), now.saturating_sub(pending.since));
            self.engines.observe_prefill(now, PrefillSample { instance, model, tokens, took_ms });
        }
    }

    /// A model server's answer told its load.
    pub fn observe_load(&mut self, now: Millis, instance: &str, running: u32, waiting: u32) {
        self.servers.observe_load(now, instance, running, waiting);
    }

    /// A request's stream is complete, and its events came so many milliseconds apart while nothing held them
    /// up.
    pub fn observe_decode_pace(&mut self, now: Millis, id: RequestId, pace_ms: f64) {
        let Some(pending) = self.pending.get(&id) else { return };
        if let Stage::Sent(instance) = &pending.stage {
            self.engines.observe_decode_pace(now, instance, &pending.offer.name.model, pace_ms);
        }
    }

    /// The leader told what all edges together see of model servers.
    pub fn observe_total_loads(&mut self, now: Millis, loads: &[ModelServerLoad]) {
        loads.iter().for_each(|load| self.servers.observe_total_load(now, load));
    }

    /// The leader told which models model servers are loading.
    pub fn set_expected_models(&mut self, now: Millis, models: Vec<ExpectedModel>) {
        self.model_eta.set_expected_models(now, models);
    }

    /// A core told of model servers.
    pub fn update_servers(&mut self, now: Millis, update: ModelServerUpdate) -> Vec<Action> {
        let closed = self.servers.update(now, update);
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

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let waiting = self.pending.iter().filter(|(_, pending)| !matches!(pending.stage, Stage::Sent(_)));
        let waiting: Vec<RequestId> = waiting
            .filter(|(_, pending)| now >= pending.since + REQUEUE_INTERVAL_MS)
            .map(|(id, _)| *id)
            .collect();
        waiting.into_iter().for_each(|id| self.assign(now, id));
        let mut actions = self.dispatch(now);
        self.reject_hopeless(now, &mut actions);
        self.evacuate_due(now, &mut actions);
        self.queue.tidy(now);
        self.servers.tidy(now);
        self.prefix_cache.tidy(now);
        self.model_eta.tidy(now);
        self.engines.tidy(now);
        actions
    }

    /// When [`Dispatcher::tick`] has something to do, if ever.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let waits = |pending: &PendingRequest| {
            !matches!(pending.stage, Stage::Sent(_)) || matches!(pending.evacuation, Evacuation::Planned(_))
        };
        self.pending.values().any(waits).then_some(now + REQUEUE_INTERVAL_MS)
    }

    /// The edge stops: whatever is not at a model server is refused.
    pub fn reject_queued(&mut self, now: Millis, retry_after: Millis) -> Vec<Action> {
        let waiting = self.pending.iter().filter(|(_, pending)| !matches!(pending.stage, Stage::Sent(_)));
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        let refuse = |id: RequestId| {
            if let Some(pending) = self.pending.remove(&id) {
                self.end_stage(now, &pending, AttemptOutcome::Abandoned);
            }
            Action::Reject { id, code: ResultCode::Stopping, retry_after }
        };
        waiting.into_iter().map(refuse).collect()
    }

    // ---- stages: the one function that changes a request's stage ----

    fn set_stage(&mut self, now: Millis, id: RequestId, stage: Stage) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let before = std::mem::replace(&mut pending.stage, stage.clone());
        let (flow, size, tokens) =
            (flow_of(&pending.offer), pending.offer.size as f64, pending.offer.input_tokens);
        match (&before, &stage) {
            (Stage::Queued(_), Stage::Queued(to)) => self.queue.move_to(id, to.clone()),
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
                self.queue.done(&flow_of(offer));
                self.servers.response_started(instance, offer.id);
                self.servers.request_ended(now, instance, &offer.name, outcome);
            }
        }
    }

    // ---- where a request is queued ----

    fn assign(&mut self, now: Millis, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else { return };
        let granted =
            pending.offer.granted.as_ref().filter(|instance| self.may_send_to(now, &pending.offer, instance));
        let stage = match granted.cloned().or_else(|| self.best_server(now, &pending.offer)) {
            Some(instance) => Stage::Queued(instance),
            None => Stage::Unassigned,
        };
        // A load brings in the newest version: of no use to a request that needs another one than model
        // servers hold.
        let offer = &pending.offer;
        let is_loaded = || self.servers.with_model(now, &offer.backend, &offer.name).next().is_some();
        let other_version = offer.version.is_some() && is_loaded();
        let is_first_report = stage == Stage::Unassigned && !pending.reported && !other_version;
        let arrived =
            matches!(stage, Stage::Queued(_)) && pending.stage == Stage::Unassigned && pending.reported;
        let missed = arrived.then(|| (offer.clone(), pending.is_model_resident));
        if is_first_report {
            self.record_unassigned(now, id);
        }
        self.set_stage(now, id, stage);
        if let Some((offer, is_model_resident)) = missed {
            let waited = now.saturating_sub(offer.arrived);
            self.model_eta.observe_miss(now, &offer.name, is_model_resident, offer.load_ms, waited);
        }
    }

    /// Model servers that hold what a request asks for and may get it.
    fn candidates<'a>(
        &'a self,
        now: Millis,
        offer: &'a Offer,
    ) -> impl Iterator<Item = (&'a Instance, &'a KnownModelServer)> {
        let with_model = self.servers.with_model(now, &offer.backend, &offer.name);
        with_model.filter(|(instance, known)| {
            !offer.excluded.contains(*instance) && known.has_version(&offer.name.model, offer.version)
        })
    }

    /// Whether a request may go to a model server now.
    fn may_send_to(&self, now: Millis, offer: &Offer, instance: &Instance) -> bool {
        let known = self.servers.get(instance).filter(|known| known.has_slot(now));
        let has_model = |known: &KnownModelServer| {
            known.has_model(now, &offer.name) && known.has_version(&offer.name.model, offer.version)
        };
        known.is_some_and(has_model) && !offer.excluded.contains(instance)
    }

    /// The model server at which the request should be answered first.
    fn best_server(&self, now: Millis, offer: &Offer) -> Option<Instance> {
        let scored = self
            .candidates(now, offer)
            .map(|(instance, known)| (self.cost(now, offer, instance, known), instance));
        scored.min_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, instance)| instance.clone())
    }

    // ---- the ordinary path: free slots take requests ----

    fn dispatch(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.queue.is_empty() {
            return actions;
        }
        let wanted: BTreeSet<Instance> = self.queue.waiting().map(|(_, instance)| instance.clone()).collect();
        for instance in wanted {
            while self.servers.get(&instance).is_some_and(|known| known.has_slot(now)) {
                let (pending, servers) = (&self.pending, &self.servers);
                let may_send_to = |id| match (pending.get(&id), servers.get(&instance)) {
                    (Some(pending), Some(known)) => known.has_slot_for(now, pending.offer.urgency),
                    _ => false,
                };
                let Some(id) = self.queue.take_where(now, &instance, may_send_to) else { break };
                self.send(now, id, &instance, &mut actions);
            }
        }
        actions
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

    // ---- refusals ----

    fn reject_hopeless(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let refusals: Vec<_> = self
            .pending
            .iter()
            .filter_map(|(id, pending)| Some((*id, self.refusal(now, pending)?)))
            .collect();
        for (id, (code, retry_after)) in refusals {
            if let Some(pending) = self.pending.remove(&id) {
                self.end_stage(now, &pending, AttemptOutcome::Abandoned);
            }
            actions.push(Action::Reject { id, code, retry_after });
        }
    }

    /// Whether a waiting request is given up now, why, and when its client should come back.
    fn refusal(&self, now: Millis, pending: &PendingRequest) -> Option<(ResultCode, Millis)> {
        let offer = &pending.offer;
        let (code, ready_in) = match &pending.stage {
            Stage::Sent(_) => return None,
            Stage::Unassigned if !self.servers.has_backend(&offer.backend) => {
                (ResultCode::NoModelServer, NO_BACKEND_RETRY_MS)
            }
            Stage::Unassigned => (ResultCode::NoModelServer, self.ready_in(now, offer)),
            Stage::Queued(instance) => (ResultCode::Overloaded, self.slot_in(now, instance)),
        };
        let prefill_ms = self.engines.typical_read_ms(now, &offer.name.model, offer.input_tokens);
        let begins_in = prefill_ms as Millis;
        load_shedding::judge(now, pending, Forecast { code, ready_in, begins_in })
    }

    /// How long it takes until a model server takes one more request: until it has rested, or until a good
    /// part of its slots is free.
    fn slot_in(&self, now: Millis, instance: &Instance) -> Millis {
        match self.servers.get(instance).map_or(0, |known| known.ejected_for_ms(now)) {
            0 => (BUSY_RETRY_FRACTION * self.engines.mean_slot_time_ms()) as Millis,
            ejected_for_ms => ejected_for_ms,
        }
    }

    /// How long it takes until a model server holds what a request asks for.
    fn ready_in(&self, now: Millis, offer: &Offer) -> Millis {
        let waited = now.saturating_sub(offer.arrived);
        let is_model_resident = self.is_model_resident(now, offer);
        self.model_eta.ready_in(now, &offer.backend, &offer.name, is_model_resident, offer.load_ms, waited)
    }

    /// Whether a model server holds the model of a request, with or without its adapter.
    fn is_model_resident(&self, now: Millis, offer: &Offer) -> bool {
        let model = ModelName { model: offer.name.model.clone(), adapter: String::new() };
        !offer.name.adapter.is_empty()
            && self.servers.with_model(now, &offer.backend, &model).next().is_some()
    }
}

fn flow_of(offer: &Offer) -> FlowKey {
    (offer.backend.clone(), offer.name.model.clone())
}
