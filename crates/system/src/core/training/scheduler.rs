//! The training of all models at the leader of this term: when steps are looked at, which workers change versions, which
//! generations edges are offered.

use super::model_training::{ChangePhase, ModelTraining};
use super::watchers::{Watcher, Watchers};
use super::workers::{WorkerSelection, worker_report};
use crate::core::event::LinkId;
use crate::core::model_server_json::ReportJson;
use crate::core::orders::OrderOutcome;
use pathbank_control::configuration::Runtime;
use pathbank_control::operator_calls::Reply;
use pathbank_control::order::Order;
use pathbank_control::placement::TrainingReservations;
use pathbank_control::state::ControlState;
use pathbank_control::training::TrainingState;
use pathbank_control::training::workers;
use pathbank_protocol::message::{DrawOffer, ModelServer};
use pathbank_rollout::StepNumber;
use pathbank_rollout::controller::{Action, DrawEnd, StepController};
use pathbank_rollout::step::StepState;
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::oneshot;

const TRAINING_INTERVAL_MS: u64 = 50;
/// Between offers of generations to the same edge.
const MIN_OFFER_INTERVAL_MS: u64 = 100;
/// Generations in one offer.
const MAX_OFFERED_GENERATIONS: usize = 16;

/// All training of the present term.
#[derive(Debug, Default)]
pub struct TrainingScheduler {
    models: BTreeMap<String, ModelTraining>,
    watchers: Watchers,
    next_pass_at: u64,
    /// When each edge, by name, may be offered generations again.
    next_offer_at: BTreeMap<String, u64>,
}

impl TrainingScheduler {
    // ---- passes ----

    /// Whether a pass is due; the next one is an interval later.
    pub fn take_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.next_pass_at;
        if is_due {
            self.next_pass_at = now + TRAINING_INTERVAL_MS;
        }
        is_due
    }

    /// Steps have changed: the next pass is due now.
    pub fn request_pass(&mut self, now: u64) {
        self.next_pass_at = now;
    }

    /// Whether no model is in training here.
    pub fn is_idle(&self) -> bool {
        self.models.is_empty()
    }

    /// Models that are in training here.
    pub fn models(&self) -> Vec<String> {
        self.models.keys().cloned().collect()
    }

    /// The step controller of a model.
    pub fn controller(&self, model: &str) -> Option<&StepController> {
        self.models.get(model).map(ModelTraining::controller)
    }

    /// Ends the training of models without a step in progress. Returns the workers that drained for it: they serve
    /// again.
    pub fn retain(&mut self, in_progress: &[String]) -> Vec<String> {
        let finished = self.models.extract_if(.., |model, _| !in_progress.contains(model));
        let workers = finished.flat_map(|(_, training)| {
            let changing = training.changing().iter();
            let draining = changing.filter(|(_, phase)| **phase == ChangePhase::Draining);
            draining.map(|(worker, _)| worker.clone()).collect::<Vec<_>>()
        });
        workers.collect()
    }

    /// Chooses the workers of a model's step. Returns those whose report has to be requested now.
    pub fn select_workers(
        &mut self,
        now: u64,
        model: &str,
        state: &ControlState,
        servers: &[ModelServer],
    ) -> Vec<String> {
        let previous = self.models.get(model).map(ModelTraining::selection);
        let Some(selection) = WorkerSelection::choose(state, model, servers, previous) else {
            return Vec::new();
        };
        let training = self.models.entry(model.to_owned()).or_insert_with(|| {
            let controller = StepController::new(model.to_owned(), selection.settings, now);
            ModelTraining::new(selection.backend.clone(), controller)
        });
        training.select(selection);
        training.take_due_polls(now)
    }

    /// What the step controller of a model wants done, with no more than `max_draws` generations.
    pub fn tick(&mut self, now: u64, model: &str, state: &TrainingState, max_draws: usize) -> Vec<Action> {
        let Some(training) = self.models.get_mut(model) else { return Vec::new() };
        training.controller_mut().tick_with_limit(now, state.step_table(), max_draws)
    }

    /// A command about steps was rejected: what was proposed may be proposed again.
    pub fn on_proposal_rejected(&mut self) {
        for training in self.models.values_mut() {
            training.controller_mut().proposal_lost();
        }
    }

    /// What placement has to leave to training steps.
    pub fn reservations(&self, state: &TrainingState) -> TrainingReservations {
        let mut reservations = TrainingReservations::default();
        for (model, training) in &self.models {
            let changing = training.changing().keys().map(|worker| (worker.clone(), model.clone()));
            reservations.changing_version.extend(changing);
            let Some(step) = state.step_table().current(model) else { continue };
            // Once the first order was sent, what workers have loaded is the step's.
            let is_announced = step.state() < StepState::Preparing;
            let pinned = if is_announced { &BTreeSet::new() } else { training.workers() };
            for worker in pinned {
                reservations.pinned.entry(worker.clone()).or_default().insert(model.clone());
            }
        }
        reservations
    }

    // ---- workers ----

    /// A worker answered the request for its report.
    pub fn observe_report(&mut self, now: u64, model: &str, server: &ModelServer, report: &ReportJson) {
        let Some(training) = self.models.get_mut(model) else { return };
        if training.workers().contains(&server.instance) {
            training.controller_mut().observe_report(now, worker_report(server, model, report));
        }
    }

    /// A worker gets no new requests of the model.
    pub fn begin_drain(&mut self, model: &str, worker: &str) {
        if let Some(training) = self.models.get_mut(model) {
            training.set_phase(worker, ChangePhase::Draining);
        }
    }

    /// The service of a model in training.
    pub fn backend(&self, model: &str) -> Option<&str> {
        self.models.get(model).map(ModelTraining::backend)
    }

    /// A worker cannot change its version yet.
    pub fn defer_load(&mut self, now: u64, model: &str, worker: &str) {
        if let Some(training) = self.models.get_mut(model) {
            training.controller_mut().defer_load(now, worker);
        }
    }

    /// The first order that brings a worker to the newest version. What it has loaded is dropped first: an order to
    /// load a model that is resident changes nothing.
    pub fn begin_change(&mut self, model: &str, server: &ModelServer, runtime: &Runtime) -> Option<Order> {
        let training = self.models.get_mut(model)?;
        let known = training.controller().workers().get(&server.instance);
        let (phase, order) = match known.is_some_and(|worker| worker.report.loaded_version.is_some()) {
            true => (ChangePhase::Unloading, workers::unload_order(server, model)),
            false => (ChangePhase::Loading, workers::load_order(server, model, runtime)),
        };
        training.set_phase(&server.instance, phase);
        Some(order)
    }

    /// The order that loads the newest version, after the one before was dropped. Also where the step was aborted
    /// meanwhile.
    pub fn begin_load(&mut self, model: &str, server: &ModelServer, runtime: &Runtime) -> Order {
        if let Some(training) = self.models.get_mut(model) {
            training.set_phase(&server.instance, ChangePhase::Loading);
        }
        workers::load_order(server, model, runtime)
    }

    /// The model whose version a worker changes.
    pub fn changing_model(&self, worker: &str) -> Option<&str> {
        let mut changing =
            self.models.iter().filter(|(_, training)| training.changing().contains_key(worker));
        changing.next().map(|(model, _)| model.as_str())
    }

    /// The last order of a worker's change to another version of the model has ended. `server`: the worker, if it is still
    /// registered.
    pub fn on_order_finished(
        &mut self,
        now: u64,
        model: &str,
        server: Option<&ModelServer>,
        outcome: &OrderOutcome,
    ) {
        if let Some(training) = self.models.get_mut(model) {
            training.on_order_finished(now, model, server, outcome);
        }
    }

    // ---- generations ----

    /// Offers of the generations that could start now, spread over all edges that are due for one.
    pub fn take_offers<'a>(
        &mut self,
        now: u64,
        models: &[String],
        state: &TrainingState,
        edges: impl Iterator<Item = (LinkId, &'a str)>,
    ) -> Vec<(LinkId, DrawOffer)> {
        let drawable =
            |model: &String| Some(self.controller(model)?.drawable_prompts(now, state.step_table()));
        let waiting: usize = models.iter().filter_map(drawable).sum();
        if waiting == 0 {
            return Vec::new();
        }
        let is_due = |name: &str| now >= self.next_offer_at.get(name).copied().unwrap_or(0);
        let edges: Vec<(LinkId, &str)> = edges.filter(|(_, name)| is_due(name)).collect();
        let each = waiting.div_ceil(edges.len().max(1)).clamp(1, MAX_OFFERED_GENERATIONS);
        let mut offers = Vec::new();
        for (id, name) in edges.into_iter().take(waiting.div_ceil(each)) {
            self.next_offer_at.insert(name.to_owned(), now + MIN_OFFER_INTERVAL_MS);
            offers.push((id, DrawOffer { count: each as u32 }));
        }
        offers
    }

    /// A generation has ended.
    pub fn on_draw_ended(&mut self, model: &str, end: DrawEnd, state: &TrainingState) -> Vec<Action> {
        let Some(training) = self.models.get_mut(model) else { return Vec::new() };
        training.controller_mut().draw_ended(end, state.step_table())
    }

    // ---- watchers ----

    /// A call waits until a step has changed since the log entry `seen`.
    pub fn watch(&mut self, now: u64, step: StepNumber, seen: u64, reply: oneshot::Sender<Reply>) {
        self.watchers.add(now, step, seen, reply);
    }

    /// Calls that have to be answered now.
    pub fn take_due_watchers(&mut self, now: u64, state: &TrainingState) -> Vec<Watcher> {
        self.watchers.take_due(now, state)
    }
}
