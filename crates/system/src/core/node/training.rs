//! The node's work for training steps: carries out what [`TrainingScheduler`] and the step controllers decide.
//!
//! [`TrainingScheduler`]: crate::core::training::scheduler::TrainingScheduler

use super::{Node, send_json};
use crate::clock;
use crate::core::event::{Event, LinkId};
use crate::core::lease::LeaseGuard;
use crate::core::model_server_json::ReportJson;
use crate::core::orders::{self, OrderDrop, OrderOutcome, OrderTask};
use crate::core::training::answer::{self, ReadOutcome};
use crate::core::training::call::TrainingCall;
use crate::core::training::generations::{self, FinishedDraw};
use crate::core::training::step_log::log_step;
use crate::core::training::workers::START_TIMEOUT_MS;
use pathbank_control::model_catalog::LoadObstacle;
use pathbank_control::operator_calls::Reply;
use pathbank_control::order::{Operation, Order};
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::Command;
use pathbank_control::training::{TrainingCommand, TrainingState, workers};
use pathbank_protocol::message::{DrawGrant, DrawRequest, DrawResult, DrawTask, Frame};
use pathbank_rollout::controller::{Action, Draw};
use std::net::SocketAddr;
use tokio::sync::oneshot;

impl Node {
    fn steps(&self) -> &TrainingState {
        self.machine.state().training()
    }

    // ---- passes ----

    /// Works on the steps in progress, if this core leads.
    pub(super) fn train(&mut self, now: u64) {
        if !self.training.take_due(now) {
            return;
        }
        self.answer_watchers(now);
        let in_progress: Vec<String> =
            self.steps().step_table().models().into_iter().map(str::to_owned).collect();
        if in_progress.is_empty() && self.training.is_idle() {
            return;
        }
        let Some(permit) = self.permit(now) else { return };
        let guard = self.guard(permit);
        for worker in self.training.retain(&in_progress) {
            self.servers.release(&self.links, &worker);
        }
        for model in &in_progress {
            self.select_workers(now, model);
            self.run_step_controller(now, model, 0, &guard);
        }
        self.placement.set_training_reservations(self.training.reservations(self.steps()));
        self.offer_generations(now, &in_progress);
    }

    fn select_workers(&mut self, now: u64, model: &str) {
        let servers = self.servers.ready();
        let due = self.training.select_workers(now, model, self.machine.state(), &servers);
        for worker in due {
            self.request_report(model, worker);
        }
    }

    fn request_report(&self, model: &str, worker: String) {
        let server = self.servers.directory().server(&worker);
        let Some(address) = server.and_then(|server| server.address.parse::<SocketAddr>().ok()) else {
            return;
        };
        let (pool, events, model) = (self.pool.clone(), self.events.clone(), model.to_owned());
        tokio::spawn(async move {
            if let Some(report) = orders::fetch_report(&pool, address, &worker).await {
                let _ = events.send(Event::WorkerReported { model, worker, report });
            }
        });
    }

    pub(super) fn on_worker_reported(&mut self, now: u64, model: &str, worker: &str, report: &ReportJson) {
        if let Some(server) = self.servers.directory().server(worker) {
            self.training.observe_report(now, model, &server, report);
        }
    }

    /// Carries out what the step controller of a model wants. Returns the generations that start, at most `max_draws`.
    fn run_step_controller(
        &mut self,
        now: u64,
        model: &str,
        max_draws: usize,
        guard: &LeaseGuard,
    ) -> Vec<Draw> {
        let actions = self.training.tick(now, model, self.machine.state().training(), max_draws);
        let mut draws = Vec::new();
        for action in actions {
            match action {
                Action::Propose(command) => self.propose_training(now, TrainingCommand::Step(command)),
                Action::Drain(worker) => {
                    self.servers.withhold(&self.links, &worker, model, "");
                    self.training.begin_drain(model, &worker);
                }
                Action::Load { worker, .. } => self.change_version(now, model, &worker, guard),
                Action::Draw(draw) => draws.push(draw),
            }
        }
        draws
    }

    fn propose_training(&mut self, now: u64, command: TrainingCommand) {
        self.propose(now, &Command::Training(command));
    }

    // ---- workers that change versions ----

    fn change_version(&mut self, now: u64, model: &str, worker: &str, guard: &LeaseGuard) {
        let Some(server) = self.servers.directory().server(worker) else { return };
        let Some(runtime) = self.runtime_of(worker) else { return };
        let Some(backend) = self.training.backend(model) else { return };
        if !self.placement.take_training_load(now, worker, backend, runtime.loads_per_s) {
            return self.training.defer_load(now, model, worker);
        }
        if let Some(order) = self.training.begin_change(model, &server, &runtime) {
            self.send_version_order(order, guard.clone());
        }
    }

    fn send_version_order(&mut self, order: Order, guard: LeaseGuard) {
        let Some(runtime) = self.runtime_of(&order.instance) else { return };
        tracing::info!(worker = order.instance, model = order.model, operation = ?order.operation, "version order");
        self.placement.take_contents(&order.instance);
        let task = OrderTask { order, runtime, guard, known: None, version: 0 };
        self.spawn_order(task, Event::VersionOrderFinished);
    }

    pub(super) fn on_version_order_finished(&mut self, now: u64, outcome: &OrderOutcome) {
        if let Some(cause) = &outcome.dropped {
            self.placement.record_dropped(&outcome.order, cause);
        }
        let instance = &outcome.order.instance;
        let model = self.training.changing_model(instance).unwrap_or(&outcome.order.model).to_owned();
        if let Some((next, guard)) = self.next_version_order(now, &model, outcome) {
            return self.send_version_order(next, guard);
        }
        let server = self.servers.directory().server(instance);
        self.training.on_order_finished(now, &model, server.as_ref(), outcome);
        self.on_server_released(clock::now(), outcome);
    }

    /// The order that follows at a worker which changes its version, if this core still leads: it unloads what kept the
    /// last order from being sent, or loads the newest version once the present one is dropped.
    fn next_version_order(
        &mut self,
        now: u64,
        model: &str,
        outcome: &OrderOutcome,
    ) -> Option<(Order, LeaseGuard)> {
        let OrderOutcome { order, report, dropped, .. } = outcome;
        let permit = self.permit(now)?;
        let guard = self.guard(permit);
        let server = self.servers.directory().server(&order.instance)?;
        if let Some(OrderDrop::Obstacle(LoadObstacle::UnconfiguredModel(unconfigured))) = dropped {
            return Some((workers::unload_order(&server, unconfigured), guard));
        }
        let report = report.as_ref().filter(|report| !report.busy)?;
        let has_dropped = !report.models().any(|loaded| loaded.name == order.model);
        if order.operation != Operation::Unload || !has_dropped {
            return None;
        }
        let runtime = self.runtime_of(&order.instance)?;
        Some((self.training.begin_load(model, &server, &runtime), guard))
    }

    // ---- generations ----

    fn offer_generations(&mut self, now: u64, models: &[String]) {
        let state = self.machine.state().training();
        for (id, offer) in self.training.take_offers(now, models, state, self.links.edges()) {
            self.links.send(id, &Frame::DrawOffer(offer));
        }
    }

    /// An edge asks for generations. It starts them within [`START_TIMEOUT_MS`], by its clock.
    pub(super) fn on_draw_request(&mut self, now: u64, id: LinkId, request: DrawRequest) {
        let Some(permit) = self.permit(now) else { return };
        let guard = self.guard(permit);
        let mut draws: Vec<(String, Draw)> = Vec::new();
        for model in self.training.models() {
            let max_draws = (request.count as usize).saturating_sub(draws.len());
            let started = self.run_step_controller(now, &model, max_draws, &guard);
            draws.extend(started.into_iter().map(|draw| (model.clone(), draw)));
        }
        if draws.is_empty() {
            return;
        }
        let tasks = draws.iter().filter_map(|(model, draw)| self.draw_task(model, draw)).collect();
        let grant =
            DrawGrant { requested_at: request.requested_at, start_timeout_ms: START_TIMEOUT_MS, tasks };
        if !self.links.send(id, &Frame::DrawGrant(grant)) {
            for (model, draw) in draws {
                self.on_draw_ended(now, &model, FinishedDraw::not_started(draw));
            }
        }
    }

    fn draw_task(&self, model: &str, draw: &Draw) -> Option<DrawTask> {
        let address = self.servers.directory().server(&draw.worker)?.address;
        let runtime = self.runtime_of(&draw.worker);
        generations::draw_task(self.steps(), model, draw, address, runtime.as_deref())
    }

    /// An edge reports the end of a generation. Only the leader puts it into the log.
    pub(super) fn on_draw_result(&mut self, now: u64, result: DrawResult) {
        if !self.is_established_leader() {
            return;
        }
        let Some(step) = self.steps().step_table().step(result.id.step) else { return };
        let model = step.request.model.clone();
        self.on_draw_ended(now, &model, FinishedDraw::from_result(result));
    }

    fn on_draw_ended(&mut self, now: u64, model: &str, finished: FinishedDraw) {
        let FinishedDraw { end, output } = finished;
        let actions = self.training.on_draw_ended(model, end, self.machine.state().training());
        for command in generations::commands(actions, &output) {
            self.propose_training(now, command);
        }
    }

    // ---- trainers' calls ----

    pub(super) fn on_training_call(&mut self, now: u64, call: TrainingCall, reply: oneshot::Sender<Reply>) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        // Calls that wait for a step wait at the leader of this term.
        self.enter_term(now);
        if self.replication.replica().lease_until() <= now {
            let message = "the lease is not certain".to_owned();
            let _ = reply.send(Reply::Result(ResultCode::NoLeader, message));
            return;
        }
        match call.command(self.machine.state().backends().map(|backends| &**backends)) {
            Ok(Some(command)) => self.propose_for(now, &Command::Training(command), reply),
            Ok(None) => self.read_training(now, &call, reply),
            Err(rejection) => drop(reply.send(Reply::Result(rejection.code, rejection.message))),
        }
    }

    fn read_training(&mut self, now: u64, call: &TrainingCall, reply: oneshot::Sender<Reply>) {
        match answer::read(now, call, self.steps(), &self.training) {
            ReadOutcome::Answer(answer) => send_json(reply, &answer),
            ReadOutcome::UnknownStep(step) => {
                let message = format!("there is no step {step}");
                let _ = reply.send(Reply::Result(ResultCode::UnknownStep, message));
            }
            ReadOutcome::Unchanged { step, seen } => self.training.watch(now, step, seen, reply),
        }
    }

    fn answer_watchers(&mut self, now: u64) {
        for watcher in self.training.take_due_watchers(now, self.machine.state().training()) {
            let call = TrainingCall::Read { step: watcher.step, seen: None };
            self.read_training(now, &call, watcher.reply);
        }
    }

    /// A command about steps was applied.
    pub(super) fn on_training_applied(&mut self, now: u64, command: &TrainingCommand, rejected: bool) {
        if rejected {
            self.training.on_proposal_rejected();
        }
        if let TrainingCommand::Step(command) = command {
            log_step(command, rejected);
        }
        self.training.request_pass(now);
        self.answer_watchers(now);
    }
}
