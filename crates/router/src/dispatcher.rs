//! Which request goes to which model server next.
//!
//! A request is queued at one model server on its arrival: the one where it should be answered first. When
//! that model server has a free slot, the fair queue decides which of its requests goes there. A request for
//! what no model server holds waits until one does. Whatever cannot be served in time is refused early, with
//! the time after which to come back.

mod affinity;
mod arrivals;
mod cost;
mod moves;
mod offer;
mod refusal;
mod reports;

use crate::Millis;
use crate::engine_estimates::{EngineEstimates, ReadSample};
use crate::model_servers::{AttemptOutcome, Instance, KnownModelServer, ModelServerTable};
use crate::prompt::ModelName;
use affinity::Affinity;
use arrivals::Arrivals;
pub use offer::{Action, Offer};
use pathbank_control::result_code::ResultCode;
use pathbank_fair_queue::{FairQueue, Settings};
use pathbank_protocol::message::{ExpectedModel, ModelDemand, ModelServerLoad, ModelServerUpdate};
use refusal::Outlook;
use std::collections::{BTreeMap, BTreeSet};

/// Names one client request at this edge.
pub type RequestId = u64;

/// A request that waits longer is queued anew, milliseconds.
const REQUEUE_AFTER: Millis = 40;
/// When to come back while no model server of the service is known: they say something within this,
/// milliseconds.
const HEARTBEAT_RETRY: Millis = 1_000;
/// Model servers that are all busy have answered so many of their requests after this part of an answer's
/// time.
const BUSY_RETRY_PART: f64 = 0.6;

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// No model server holds what it asks for.
    Unplaced,
    /// Waits for a slot of a model server.
    Queued(Instance),
    /// Is at a model server.
    Sent(Instance),
}

#[derive(Clone, Debug)]
struct Held {
    offer: Offer,
    stage: Stage,
    since: Millis,
    reported: bool,
    /// When it was reported that it waits for a model server, one held its model without its adapter.
    model_held: bool,
    /// Tokens that its model server had to read, where no other prompt of this edge was before it there.
    reads_alone: Option<u64>,
    leaving: Leaving,
}

/// Whether a request leaves its model server before that is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    /// Nothing says so.
    Stays,
    /// Its model server is taken away; it leaves at this time.
    At(Millis),
    /// It was told to leave.
    Told,
}

/// The flow of a request: its service and model.
type FlowKey = (String, String);

/// All requests of this edge that are not answered yet, and the model servers for them.
#[derive(Debug)]
pub struct Dispatcher {
    zone: String,
    seed: u64,
    servers: ModelServerTable,
    fair: FairQueue<FlowKey, Instance, RequestId>,
    held: BTreeMap<RequestId, Held>,
    affinity: Affinity,
    arrivals: Arrivals,
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
            fair: FairQueue::new(Settings::default()),
            held: BTreeMap::new(),
            affinity: Affinity::default(),
            arrivals: Arrivals::default(),
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
    pub fn open(&self) -> usize {
        self.held.len()
    }

    /// A request that is at no model server yet, and what it waits for.
    pub fn waiting(&self, id: RequestId) -> Option<(&Offer, &'static str)> {
        let held = self.held.get(&id)?;
        let waits_for = match held.stage {
            Stage::Unplaced => "a model server that holds its model",
            Stage::Queued(_) => "a slot",
            Stage::Sent(_) => return None,
        };
        Some((&held.offer, waits_for))
    }

    /// A request came, or comes again after a model server did not run it.
    pub fn offer(&mut self, now: Millis, offer: Offer, first: bool) -> Vec<Action> {
        if first {
            self.note_demand(now, &offer);
        }
        let id = offer.id;
        self.held.insert(
            id,
            Held {
                offer,
                stage: Stage::Unplaced,
                since: now,
                reported: false,
                model_held: false,
                reads_alone: None,
                leaving: Leaving::Stays,
            },
        );
        self.place(now, id);
        self.dispatch(now)
    }

    /// A request is over for this edge: its client left, or it is answered. Ends its stay at a model server.
    pub fn finish(&mut self, now: Millis, id: RequestId, outcome: AttemptOutcome) -> Vec<Action> {
        let Some(held) = self.held.remove(&id) else { return Vec::new() };
        self.leave(now, &held, outcome);
        self.note_held(now, &held, outcome);
        self.dispatch(now)
    }

    /// A model server began to answer a request. `is_read`: the answer is a success, so the prompt was read;
    /// a failure may come sooner than any prompt is read.
    pub fn began(&mut self, now: Millis, id: RequestId, is_read: bool) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let Stage::Sent(instance) = &held.stage else { return };
        self.servers.began(instance, id);
        if let Some(tokens) = held.reads_alone.take().filter(|_| is_read) {
            let (model, took) = (held.offer.name.model.as_str(), now.saturating_sub(held.since));
            self.engines.note_read(now, ReadSample { instance, model, tokens, took });
        }
    }

    /// A model server's answer told its load.
    pub fn note_load(&mut self, now: Millis, instance: &str, running: u32, waiting: u32) {
        self.servers.note_load(now, instance, running, waiting);
    }

    /// A request's stream is complete, and its events came so many milliseconds apart while nothing held them
    /// up.
    pub fn note_pace(&mut self, now: Millis, id: RequestId, pace_ms: f64) {
        let Some(held) = self.held.get(&id) else { return };
        if let Stage::Sent(instance) = &held.stage {
            self.engines.note_pace(now, instance, &held.offer.name.model, pace_ms);
        }
    }

    /// The leader told what all edges together see of model servers.
    pub fn note_totals(&mut self, now: Millis, loads: &[ModelServerLoad]) {
        loads.iter().for_each(|load| self.servers.note_joint(now, load));
    }

    /// The leader told which models model servers are loading.
    pub fn note_expected(&mut self, now: Millis, models: Vec<ExpectedModel>) {
        self.arrivals.note_expected(now, models);
    }

    /// A core told of model servers.
    pub fn update_servers(&mut self, now: Millis, update: ModelServerUpdate) -> Vec<Action> {
        let closed = self.servers.update(now, update);
        let stranded = self.held.iter().filter(|(_, held)| match &held.stage {
            Stage::Queued(instance) => closed.contains(instance),
            Stage::Unplaced => true,
            Stage::Sent(_) => false,
        });
        let stranded: Vec<RequestId> = stranded.map(|(id, _)| *id).collect();
        stranded.into_iter().for_each(|id| self.place(now, id));
        closed.iter().for_each(|instance| self.plan_moves(now, instance));
        let mut actions = self.dispatch(now);
        self.move_due(now, &mut actions);
        actions
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let waiting = self.held.iter().filter(|(_, held)| !matches!(held.stage, Stage::Sent(_)));
        let waiting: Vec<RequestId> =
            waiting.filter(|(_, held)| now >= held.since + REQUEUE_AFTER).map(|(id, _)| *id).collect();
        waiting.into_iter().for_each(|id| self.place(now, id));
        let mut actions = self.dispatch(now);
        self.refuse_hopeless(now, &mut actions);
        self.move_due(now, &mut actions);
        self.fair.tidy(now);
        self.servers.tidy(now);
        self.affinity.tidy(now);
        self.arrivals.tidy(now);
        self.engines.tidy(now);
        actions
    }

    /// When [`Dispatcher::tick`] has something to do, if ever.
    pub fn next_tick(&self, now: Millis) -> Option<Millis> {
        let waits =
            |held: &Held| !matches!(held.stage, Stage::Sent(_)) || matches!(held.leaving, Leaving::At(_));
        self.held.values().any(waits).then_some(now + REQUEUE_AFTER)
    }

    /// The edge stops: whatever is not at a model server is refused.
    pub fn refuse_waiting(&mut self, now: Millis, retry_after: Millis) -> Vec<Action> {
        let waiting = self.held.iter().filter(|(_, held)| !matches!(held.stage, Stage::Sent(_)));
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        let refuse = |id: RequestId| {
            if let Some(held) = self.held.remove(&id) {
                self.leave(now, &held, AttemptOutcome::Abandoned);
            }
            Action::Refuse { id, code: ResultCode::Stopping, retry_after }
        };
        waiting.into_iter().map(refuse).collect()
    }

    // ---- stages: the one function that changes a request's stage ----

    fn enter(&mut self, now: Millis, id: RequestId, stage: Stage) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let before = std::mem::replace(&mut held.stage, stage.clone());
        let (flow, size, tokens) = (flow_of(&held.offer), held.offer.size as f64, held.offer.input_tokens);
        match (&before, &stage) {
            (Stage::Queued(_), Stage::Queued(to)) => self.fair.move_to(id, to.clone()),
            (Stage::Queued(_), Stage::Unplaced) => drop(self.fair.remove(now, id)),
            (Stage::Unplaced, Stage::Queued(at)) => self.fair.push(now, flow, at.clone(), id, size),
            (Stage::Queued(_), Stage::Sent(at)) => self.servers.sent(at, id, tokens),
            (Stage::Sent(_), _) | (Stage::Unplaced, _) => {}
        }
        if before != stage {
            held.since = now;
        }
    }

    fn leave(&mut self, now: Millis, held: &Held, outcome: AttemptOutcome) {
        let offer = &held.offer;
        match &held.stage {
            Stage::Unplaced => {}
            Stage::Queued(_) => drop(self.fair.remove(now, offer.id)),
            Stage::Sent(instance) => {
                self.fair.done(&flow_of(offer));
                self.servers.began(instance, offer.id);
                self.servers.ended(now, instance, &offer.name, outcome);
            }
        }
    }

    // ---- where a request is queued ----

    fn place(&mut self, now: Millis, id: RequestId) {
        let Some(held) = self.held.get(&id) else { return };
        let granted = held.offer.granted.as_ref().filter(|instance| self.is_open(now, &held.offer, instance));
        let stage = match granted.cloned().or_else(|| self.best_server(now, &held.offer)) {
            Some(instance) => Stage::Queued(instance),
            None => Stage::Unplaced,
        };
        // A load brings in the newest version: of no use to a request that needs another one than model
        // servers hold.
        let offer = &held.offer;
        let is_held = || self.servers.holding(now, &offer.backend, &offer.name).next().is_some();
        let other_version = offer.version.is_some() && is_held();
        let reports = stage == Stage::Unplaced && !held.reported && !other_version;
        let arrived = matches!(stage, Stage::Queued(_)) && held.stage == Stage::Unplaced && held.reported;
        let missed = arrived.then(|| (offer.clone(), held.model_held));
        if reports {
            self.note_unplaced(now, id);
        }
        self.enter(now, id, stage);
        if let Some((offer, model_held)) = missed {
            let waited = now.saturating_sub(offer.arrived);
            self.arrivals.note_miss(now, &offer.name, model_held, offer.load_ms, waited);
        }
    }

    /// Model servers that hold what a request asks for and may get it.
    fn candidates<'a>(
        &'a self,
        now: Millis,
        offer: &'a Offer,
    ) -> impl Iterator<Item = (&'a Instance, &'a KnownModelServer)> {
        let holding = self.servers.holding(now, &offer.backend, &offer.name);
        holding.filter(|(instance, known)| {
            !offer.excluded.contains(*instance) && known.holds_version(&offer.name.model, offer.version)
        })
    }

    /// Whether a request may go to a model server now.
    fn is_open(&self, now: Millis, offer: &Offer, instance: &Instance) -> bool {
        let known = self.servers.get(instance).filter(|known| known.has_slot(now));
        let holds = |known: &KnownModelServer| {
            known.holds(now, &offer.name) && known.holds_version(&offer.name.model, offer.version)
        };
        known.is_some_and(holds) && !offer.excluded.contains(instance)
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
        if self.fair.is_empty() {
            return actions;
        }
        let wanted: BTreeSet<Instance> = self.fair.waiting().map(|(_, instance)| instance.clone()).collect();
        for instance in wanted {
            while self.servers.get(&instance).is_some_and(|known| known.has_slot(now)) {
                let (held, servers) = (&self.held, &self.servers);
                let is_open = |id| match (held.get(&id), servers.get(&instance)) {
                    (Some(held), Some(known)) => known.has_slot_for(now, held.offer.urgency),
                    _ => false,
                };
                let Some(id) = self.fair.take_where(now, &instance, is_open) else { break };
                self.send(now, id, &instance, &mut actions);
            }
        }
        actions
    }

    fn send(&mut self, now: Millis, id: RequestId, instance: &Instance, actions: &mut Vec<Action>) {
        let Some(known) = self.servers.get(instance) else { return };
        let address = known.server.address.clone();
        let is_alone = known.unread_tokens() == 0 && known.occupancy(now) < 1.0;
        let tokens = self.held.get(&id).map(|held| self.own_tokens(&held.offer, instance));
        self.enter(now, id, Stage::Sent(instance.clone()));
        if let Some(held) = self.held.get_mut(&id) {
            held.reads_alone = tokens.filter(|_| is_alone);
            self.affinity.note(now, instance, &held.offer.name, &held.offer.parts);
        }
        actions.push(Action::Send { id, instance: instance.clone(), address });
    }

    // ---- refusals ----

    fn refuse_hopeless(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let refusals: Vec<_> =
            self.held.iter().filter_map(|(id, held)| Some((*id, self.refusal(now, held)?))).collect();
        for (id, (code, retry_after)) in refusals {
            if let Some(held) = self.held.remove(&id) {
                self.leave(now, &held, AttemptOutcome::Abandoned);
            }
            actions.push(Action::Refuse { id, code, retry_after });
        }
    }

    /// Whether a waiting request is given up now, why, and when its client should come back.
    fn refusal(&self, now: Millis, held: &Held) -> Option<(ResultCode, Millis)> {
        let offer = &held.offer;
        let (code, ready_in) = match &held.stage {
            Stage::Sent(_) => return None,
            Stage::Unplaced if !self.servers.has_backend(&offer.backend) => {
                (ResultCode::NoModelServer, HEARTBEAT_RETRY)
            }
            Stage::Unplaced => (ResultCode::NoModelServer, self.ready_in(now, offer)),
            Stage::Queued(instance) => (ResultCode::Overloaded, self.slot_in(now, instance)),
        };
        let prefill_ms = self.engines.typical_read_ms(now, &offer.name.model, offer.input_tokens);
        let begins_in = prefill_ms as Millis;
        refusal::judge(now, held, Outlook { code, ready_in, begins_in })
    }

    /// How long it takes until a model server takes one more request: until it has rested, or until a good
    /// part of its slots is free.
    fn slot_in(&self, now: Millis, instance: &Instance) -> Millis {
        match self.servers.get(instance).map_or(0, |known| known.rests_for(now)) {
            0 => (BUSY_RETRY_PART * self.engines.any_answer_ms()) as Millis,
            rests_for => rests_for,
        }
    }

    /// How long it takes until a model server holds what a request asks for.
    fn ready_in(&self, now: Millis, offer: &Offer) -> Millis {
        let waited = now.saturating_sub(offer.arrived);
        let model_held = self.holds_model(now, offer);
        self.arrivals.ready_in(now, &offer.backend, &offer.name, model_held, offer.load_ms, waited)
    }

    /// Whether a model server holds the model of a request, with or without its adapter.
    fn holds_model(&self, now: Millis, offer: &Offer) -> bool {
        let model = ModelName { model: offer.name.model.clone(), adapter: String::new() };
        !offer.name.adapter.is_empty() && self.servers.holding(now, &offer.backend, &model).next().is_some()
    }
}

fn flow_of(offer: &Offer) -> FlowKey {
    (offer.backend.clone(), offer.name.model.clone())
}
