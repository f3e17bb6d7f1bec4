//! Training steps at the leader: their regular work, and workers that change versions.

mod calls;
mod generations;

use super::Node;
use crate::clock;
use crate::core::event::Event;
use crate::core::lease::LeaseGuard;
use crate::core::model_server_json::ReportJson;
use crate::core::orders::{self, OrderOutcome, OrderTask};
use crate::core::training::lead::{
    CHANGING_WORKER_POLL_INTERVAL_MS, ChangePhase, ModelTraining, TRAINING_INTERVAL_MS,
    WORKER_POLL_INTERVAL_MS,
};
use pathbank_control::configuration::Runtime;
use pathbank_control::order::{Operation, Order};
use pathbank_control::state::Command;
use pathbank_control::training::TrainingCommand;
use pathbank_control::training::workers::{self, Workers};
use pathbank_protocol::message::{LoadedModel, ModelServer};
use pathbank_rollout::Millis;
use pathbank_rollout::controller::{Action, Draw, Settings, StepController};
use pathbank_rollout::step::StepRequest;
use pathbank_rollout::version_rollout::RolloutLimits;
use pathbank_rollout::worker::WorkerReport;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// What a worker has when it begins to drain may go on for so long, milliseconds; then the order to unload
/// waits for it.
const DRAIN_TIMEOUT_MS: Millis = 2_000;
/// An edge begins what it was given so long after it asked, or not at all, milliseconds.
const START_TIMEOUT_MS: Millis = 500;
/// A request that was written may lie in the network for so long, milliseconds; then its connection is
/// broken.
const MAX_NETWORK_DELAY_MS: Millis = 2_500;
/// An earlier leader's lease is over before another one is elected; clocks drift by no more, milliseconds.
const MAX_LEASE_DRIFT_MS: Millis = 200;
/// A step whose workers hold its version waits so long for the rest, milliseconds.
const STRAGGLER_TIMEOUT_MS: Millis = 5_000;
/// A worker that says nothing for so long leaves its step, milliseconds.
const WORKER_SILENCE_TIMEOUT_MS: Millis = 4_000;
/// Of a worker's slots, one in so many is left to what it serves.
const SERVING_SLOTS_ONE_IN: u32 = 4;
/// Of the loads that the weight store permits, so much is used.
const LOAD_RATE_FRACTION: f64 = 0.95;

/// Who a step's workers are, as its configuration has them.
struct Place {
    runtime: Runtime,
    workers: Workers,
    serving_slots: u32,
}

impl Node {
    // ---- regular work ----

    /// Looks at the steps that are under way. Without the lead, nothing of them is this head's.
    pub(super) fn train(&mut self, now: u64) {
        if now < self.training.look_at {
            return;
        }
        self.training.look_at = now + TRAINING_INTERVAL_MS;
        self.answer_watchers(now);
        let open = self.machine.state().training().step_table().models();
        let idle = open.is_empty() && self.training.models.is_empty();
        let models: Vec<String> = open.into_iter().map(str::to_owned).collect();
        if idle {
            return;
        }
        let Some(permit) = self.permit(now) else { return };
        let guard = self.guard(permit);
        self.forget_models(&models);
        for model in &models {
            self.look_at_workers(now, model);
            self.act(now, model, 0, &guard);
        }
        let hold = self.training.hold(self.machine.state().training());
        self.placement.set_training_reservations(hold);
        self.offer_generations(now, &models);
    }

    /// Models without a step under way: their workers are placement's again.
    fn forget_models(&mut self, open: &[String]) {
        let over: Vec<String> =
            self.training.models.keys().filter(|model| !open.contains(model)).cloned().collect();
        for model in over {
            let Some(training) = self.training.models.remove(&model) else { continue };
            for (worker, _) in training.changing.iter().filter(|(_, phase)| phase.is_none()) {
                self.servers.release(&self.links, worker);
            }
        }
    }

    /// Chooses a model's workers, forgets those that are gone, and asks each for its report when that is due.
    fn look_at_workers(&mut self, now: u64, model: &str) {
        let Some(place) = self.place_of(model) else { return };
        let Some(step) = self.machine.state().training().step_table().current(model) else { return };
        let settings = settings_of(&place, self.longest_generation(model));
        let backend = step.request.backend.clone();
        let training = self.training.models.entry(model.to_owned()).or_insert_with(|| {
            ModelTraining::new(backend, StepController::new(model.to_owned(), settings, now))
        });
        training.controller.set_settings(settings);
        let gone: Vec<String> = training.workers.difference(&place.workers.chosen).cloned().collect();
        for worker in gone {
            training.controller.remove_worker(&worker);
            training.changing.remove(&worker);
            training.ask_at.remove(&worker);
        }
        training.workers = place.workers.chosen;
        let mut due = Vec::new();
        for worker in &training.workers {
            if now >= training.ask_at.get(worker).copied().unwrap_or(0) {
                let changes = training.changing.contains_key(worker);
                let pause = if changes { CHANGING_WORKER_POLL_INTERVAL_MS } else { WORKER_POLL_INTERVAL_MS };
                training.ask_at.insert(worker.clone(), now + pause);
                due.push(worker.clone());
            }
        }
        for worker in due {
            self.ask_worker(model, worker);
        }
    }

    fn place_of(&self, model: &str) -> Option<Place> {
        let step = self.machine.state().training().step_table().current(model)?;
        let request: &StepRequest = &step.request;
        let backend = self.machine.state().backends()?.iter().find(|known| known.name == request.backend)?;
        let runtime = backend.runtime.clone()?;
        let servers = self.servers.ready();
        let known = self.training.models.get(model);
        // After a change of leaders a step's own members come first.
        let members: BTreeSet<String> = step.active_workers().cloned().collect();
        let before = known.map_or(&members, |training| &training.workers);
        let changing = known.map(|training| training.changing.keys().cloned().collect()).unwrap_or_default();
        let workers = workers::choose(request, &runtime, &servers, before, &changing);
        let of_workers = servers.iter().filter(|server| workers.chosen.contains(&server.instance));
        let capacity = of_workers.map(|server| server.capacity).max().unwrap_or(0);
        let serving_slots = capacity.div_ceil(SERVING_SLOTS_ONE_IN);
        Some(Place { runtime, workers, serving_slots })
    }

    /// The longest time that a generation of a model's steps may take.
    fn longest_generation(&self, model: &str) -> Millis {
        let steps =
            self.machine.state().training().step_table().steps().filter(|step| step.request.model == model);
        steps.map(|step| step.request.generation_ms).max().unwrap_or(0)
    }

    fn ask_worker(&self, model: &str, worker: String) {
        let address = self
            .servers
            .directory()
            .server(&worker)
            .and_then(|server| server.address.parse::<SocketAddr>().ok());
        let Some(address) = address else { return };
        let (pool, events, model) = (self.pool.clone(), self.events.clone(), model.to_owned());
        tokio::spawn(async move {
            if let Some(report) = orders::fetch_report(&pool, address, &worker).await {
                let _ = events.send(Event::WorkerReported { model, worker, report });
            }
        });
    }

    pub(super) fn on_worker_reported(&mut self, now: u64, model: &str, worker: &str, report: &ReportJson) {
        let Some(server) = self.servers.directory().server(worker) else { return };
        let Some(training) = self.training.models.get_mut(model) else { return };
        if training.workers.contains(worker) {
            training.controller.observe_report(now, worker_report(&server, model, report));
        }
    }

    // ---- what the conductor wants ----

    /// Carries out what is due for a model. Returns the generations that begin, `most_draws` at the most.
    fn act(&mut self, now: u64, model: &str, most_draws: usize, guard: &LeaseGuard) -> Vec<Draw> {
        let Some(training) = self.training.models.get_mut(model) else { return Vec::new() };
        let actions = training.controller.tick_with_limit(
            now,
            self.machine.state().training().step_table(),
            most_draws,
        );
        let mut draws = Vec::new();
        for action in actions {
            match action {
                Action::Propose(command) => self.propose_step(now, TrainingCommand::Step(command)),
                Action::Drain(worker) => self.drain_worker(model, worker),
                Action::Load { worker, .. } => self.change_worker(now, model, &worker, guard),
                Action::Draw(draw) => draws.push(draw),
            }
        }
        draws
    }

    fn propose_step(&mut self, now: u64, command: TrainingCommand) {
        self.propose(now, &Command::Training(command));
    }

    /// A worker gets nothing new of the model from now on.
    fn drain_worker(&mut self, model: &str, worker: String) {
        self.servers.withhold(&self.links, &worker, model, "");
        if let Some(training) = self.training.models.get_mut(model) {
            training.changing.insert(worker, None);
        }
    }

    /// Brings a worker to the newest version: what it holds is dropped, then loaded anew. An order to load a
    /// model that is held would change nothing.
    fn change_worker(&mut self, now: u64, model: &str, worker: &str, guard: &LeaseGuard) {
        let Some(server) = self.servers.directory().server(worker) else { return };
        let Some(runtime) = self.runtime_of(worker) else { return };
        let Some(training) = self.training.models.get_mut(model) else { return };
        if !self.placement.take_training_load(now, worker, &training.backend, runtime.loads_per_s) {
            return training.controller.defer_load(now, worker);
        }
        let holds = training
            .controller
            .workers()
            .get(worker)
            .is_some_and(|known| known.report.loaded_version.is_some());
        let (phase, order) = match holds {
            true => (ChangePhase::Unloading, workers::unload_order(&server, model)),
            false => (ChangePhase::Loading, workers::load_order(&server, model, &runtime)),
        };
        training.changing.insert(worker.to_owned(), Some(phase));
        self.give_version_order(order, guard.clone());
    }

    fn give_version_order(&mut self, order: Order, guard: LeaseGuard) {
        let Some(runtime) = self.runtime_of(&order.instance) else { return };
        tracing::info!(worker = order.instance, model = order.model, operation = ?order.operation, "version order");
        self.placement.take_contents(&order.instance);
        let task = OrderTask { order, runtime, guard, known: None, version: 0 };
        self.spawn_order(task, Event::VersionOrderFinished);
    }

    pub(super) fn on_version_order_finished(&mut self, now: u64, outcome: &OrderOutcome) {
        let OrderOutcome { order, report, .. } = outcome;
        let has_dropped = report
            .as_ref()
            .is_some_and(|report| !report.busy && !report.models().any(|held| held.name == order.model));
        if order.operation == Operation::Unload && has_dropped && self.load_next(now, order) {
            return;
        }
        let server = self.servers.directory().server(&order.instance);
        if let Some(training) = self.training.models.get_mut(&order.model) {
            training.changing.remove(&order.instance);
            match (&server, &report) {
                (Some(server), Some(report)) => {
                    training.controller.observe_report(now, worker_report(server, &order.model, report));
                }
                _ => training.controller.order_failed(&order.instance),
            }
            let stuck =
                training.controller.workers().get(&order.instance).is_some_and(|known| !known.serves());
            if stuck {
                training.controller.order_failed(&order.instance);
            }
        }
        self.on_server_released(clock::now(), outcome);
    }

    /// A worker has dropped a model: it loads the newest version, if this head still leads, also where the
    /// step was given up meanwhile. Returns whether it does.
    fn load_next(&mut self, now: u64, order: &Order) -> bool {
        let Some(permit) = self.permit(now) else { return false };
        let guard = self.guard(permit);
        let Some(server) = self.servers.directory().server(&order.instance) else { return false };
        let Some(runtime) = self.runtime_of(&order.instance) else { return false };
        if let Some(training) = self.training.models.get_mut(&order.model) {
            training.changing.insert(order.instance.clone(), Some(ChangePhase::Loading));
        }
        self.give_version_order(workers::load_order(&server, &order.model, &runtime), guard);
        true
    }
}

fn settings_of(place: &Place, generation_ms: Millis) -> Settings {
    let loads_per_s = LOAD_RATE_FRACTION * place.runtime.loads_per_s;
    Settings {
        version_rollout: RolloutLimits {
            min_serving: place.workers.serving_floor,
            max_loads_per_s: loads_per_s,
            drain_timeout_ms: DRAIN_TIMEOUT_MS,
        },
        generation_ms,
        begin_timeout_ms: START_TIMEOUT_MS + MAX_NETWORK_DELAY_MS,
        lease_ms: MAX_LEASE_DRIFT_MS,
        reserved_slots: place.serving_slots,
        straggler_timeout_ms: STRAGGLER_TIMEOUT_MS,
        silence_timeout_ms: WORKER_SILENCE_TIMEOUT_MS,
    }
}

fn worker_report(server: &ModelServer, model: &str, report: &ReportJson) -> WorkerReport {
    let held: Option<LoadedModel> = report.models().find(|held| held.name == model);
    WorkerReport {
        worker: server.instance.clone(),
        zone: server.zone.clone(),
        loaded_version: held.map(|held| held.version),
        busy: report.busy,
        sequence: report.sequence,
        active: report.active + report.queued,
        capacity: server.capacity,
    }
}
