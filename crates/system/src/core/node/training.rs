//! Training steps at the leader: trainers' calls, workers that change versions, generations that edges draw.

use super::{Event, Node, Reply};
use crate::core::brick_json::ReportJson;
use crate::core::orders::{self, Authority, OrderEnd};
use crate::core::peers::LinkId;
use crate::core::training::call::{self, TrainingCall};
use crate::core::training::lead::{
    ASK_CHANGING_EVERY, ASK_EVERY, ChangePhase, LOOK_EVERY, MOST_OFFERED, ModelTraining, OFFER_APART,
    WATCH_WITHIN, Watcher,
};
use crate::core::training::view;
use pathbank_control::configuration::{Rejection, Runtime};
use pathbank_control::placement::{Operation, Order};
use pathbank_control::result_code::ResultCode;
use pathbank_control::state::Command;
use pathbank_control::training::workers::{self, Workers};
use pathbank_control::training::{Output, TrainingCommand};
use pathbank_protocol::message::{
    Brick, DrawEnding, DrawGrant, DrawId, DrawOffer, DrawRequest, DrawResult, DrawTask, Frame, LoadedModel,
    ProcessRole,
};
use pathbank_rollout::change_over::Bounds;
use pathbank_rollout::conductor::{Action, Conductor, Draw, DrawEnd, DrawOutcome, Settings};
use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::ledger::Command as StepCommand;
use pathbank_rollout::step::{Step, StepRequest};
use pathbank_rollout::worker::WorkerReport;
use pathbank_rollout::{Millis, StepNumber};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// What a worker has when it begins to drain may go on for so long, milliseconds; then the order to unload waits for it.
const DRAIN_MS: Millis = 2_000;
/// An edge begins what it was given so long after it asked, or not at all, milliseconds.
const BEGIN_WITHIN_MS: Millis = 500;
/// A request that was written may lie in the network for so long, milliseconds; then its connection is broken.
const IN_NETWORK_MS: Millis = 2_500;
/// An earlier leader's lease is over before another one is elected; clocks drift by no more, milliseconds.
const LEASE_DRIFT_MS: Millis = 200;
/// A step whose workers hold its version waits so long for the rest, milliseconds.
const STRAGGLER_MS: Millis = 5_000;
/// A worker that says nothing for so long leaves its step, milliseconds.
const SILENCE_MS: Millis = 4_000;
/// Of a worker's slots, one in so many is left to what it serves.
const SERVING_SLOTS_ONE_IN: u32 = 4;
/// Of the loads that the weight store permits, so much is used.
const LOADS_USED: f64 = 0.95;

/// Who a step's workers are, as its configuration has them.
struct Place {
    runtime: Runtime,
    workers: Workers,
    serving_slots: u32,
}

impl Node {
    // ---- trainers' calls ----

    pub(super) fn on_training_call(&mut self, now: u64, call: TrainingCall, reply: oneshot::Sender<Reply>) {
        let Some(reply) = self.as_leader(now, reply) else { return };
        // Whoever waits for a step waits at the leader of this term.
        self.leadership.enter_term(now, self.replication.replica.term());
        let certain = self.replication.replica.lease_until() > now;
        if !certain {
            let message = "the lease is not certain".to_owned();
            let _ = reply.send(Reply::Result(ResultCode::NoLeader, message));
            return;
        }
        match self.training_command(&call) {
            Ok(Some(command)) => self.propose_for(now, &Command::Training(command), reply),
            Ok(None) => self.read_training(now, call, reply),
            Err(rejection) => drop(reply.send(Reply::Result(rejection.code, rejection.message))),
        }
    }

    /// The command that a call asks for; `None`: it only reads.
    fn training_command(&mut self, call: &TrainingCall) -> Result<Option<TrainingCommand>, Rejection> {
        let ledger = |command| Ok(Some(TrainingCommand::Ledger(command)));
        match call {
            TrainingCall::Open(body) => {
                let Some(backends) = self.state.backends() else {
                    return Err(Rejection::new(ResultCode::NoConfiguration, "there is no configuration yet"));
                };
                ledger(StepCommand::Announce(body.clone().request(backends)?))
            }
            TrainingCall::Submit(step, prompts) => {
                Ok(Some(TrainingCommand::Submit { step: *step, prompts: prompts.clone() }))
            }
            TrainingCall::Seal(step, body) => {
                ledger(StepCommand::Close { step: *step, allow_missing: body.allow_missing })
            }
            TrainingCall::Abort(step) => ledger(StepCommand::Abort { step: *step }),
            TrainingCall::List
            | TrainingCall::Read { .. }
            | TrainingCall::Results { .. }
            | TrainingCall::Explain(_) => Ok(None),
        }
    }

    fn read_training(&mut self, now: u64, call: TrainingCall, reply: oneshot::Sender<Reply>) {
        let state = self.state.training();
        let number = match call {
            TrainingCall::Read { step, .. } | TrainingCall::Results { step, .. } => step,
            TrainingCall::Explain(step) => step,
            _ => {
                let steps: Vec<_> = state
                    .ledger()
                    .steps()
                    .map(|step| view::step(state, step, self.waits(now, step)))
                    .collect();
                return send_json(reply, &serde_json::json!({ "steps": steps }));
            }
        };
        let Some(step) = state.ledger().step(number) else {
            let message = format!("there is no step {number}");
            let _ = reply.send(Reply::Result(ResultCode::UnknownStep, message));
            return;
        };
        match call {
            TrainingCall::Results { after, most, .. } => {
                send_json(reply, &view::results(state, step, after, most.min(call::MOST_RESULTS)));
            }
            TrainingCall::Explain(_) => {
                let training = self.leadership.training.models.get(&step.request.model);
                send_json(reply, &view::explain(state, step, training, now, number));
            }
            TrainingCall::Read { seen: Some(seen), .. } if state.changed(number) <= seen => {
                let until = now + WATCH_WITHIN;
                self.leadership.training.watchers.push(Watcher { step: number, seen, until, reply });
            }
            _ => send_json(reply, &view::step(state, step, self.waits(now, step))),
        }
    }

    fn waits(&self, now: u64, step: &Step) -> Option<pathbank_rollout::conductor::Waits> {
        let training = self.leadership.training.models.get(&step.request.model)?;
        training.conductor.waits(now, self.state.training().ledger(), step.number)
    }

    fn answer_watchers(&mut self, now: u64) {
        let due = self.leadership.training.due_watchers(now, self.state.training());
        for watcher in due {
            let call = TrainingCall::Read { step: watcher.step, seen: None };
            self.read_training(now, call, watcher.reply);
        }
    }

    /// A command about steps was applied.
    pub(super) fn on_training_applied(&mut self, now: u64, command: &TrainingCommand, refused: bool) {
        if refused {
            // What was proposed and is refused may be proposed again, on what stands then.
            for training in self.leadership.training.models.values_mut() {
                training.conductor.proposal_lost();
            }
        }
        if let TrainingCommand::Ledger(command) = command {
            log_step(command, refused);
        }
        self.leadership.training.look_at = now;
        self.answer_watchers(now);
    }

    // ---- regular work ----

    /// Looks at the steps that are under way. Without the lead, nothing of them is this head's.
    pub(super) fn train(&mut self, now: u64) {
        if now < self.leadership.training.look_at {
            return;
        }
        self.leadership.training.look_at = now + LOOK_EVERY;
        self.answer_watchers(now);
        let open = self.state.training().ledger().models();
        let idle = open.is_empty() && self.leadership.training.models.is_empty();
        let models: Vec<String> = open.into_iter().map(str::to_owned).collect();
        if idle {
            return;
        }
        let Some(permit) = self.permit(now) else { return };
        let authority = self.authority(permit);
        self.forget_models(&models);
        for model in &models {
            self.look_at_workers(now, model);
            self.act(now, model, 0, &authority);
        }
        let hold = self.leadership.training.hold(self.state.training());
        self.leadership.placer.hold_for_training(hold);
        self.offer_generations(now, &models);
    }

    /// Models without a step under way: their workers are placement's again.
    fn forget_models(&mut self, open: &[String]) {
        let over: Vec<String> =
            self.leadership.training.models.keys().filter(|model| !open.contains(model)).cloned().collect();
        for model in over {
            let Some(training) = self.leadership.training.models.remove(&model) else { continue };
            for (worker, _) in training.changing.iter().filter(|(_, phase)| phase.is_none()) {
                self.directory.release(worker);
                self.publish_order_update(worker, false);
            }
        }
    }

    /// Chooses a model's workers, forgets those that are gone, and asks each for its report when that is due.
    fn look_at_workers(&mut self, now: u64, model: &str) {
        let Some(place) = self.place_of(model) else { return };
        let Some(step) = self.state.training().ledger().current(model) else { return };
        let settings = settings_of(&place, self.longest_generation(model));
        let backend = step.request.backend.clone();
        let training =
            self.leadership.training.models.entry(model.to_owned()).or_insert_with(|| {
                ModelTraining::new(backend, Conductor::new(model.to_owned(), settings, now))
            });
        training.conductor.set_settings(settings);
        let gone: Vec<String> = training.workers.difference(&place.workers.chosen).cloned().collect();
        for worker in gone {
            training.conductor.gone(&worker);
            training.changing.remove(&worker);
            training.ask_at.remove(&worker);
        }
        training.workers = place.workers.chosen;
        let mut due = Vec::new();
        for worker in &training.workers {
            if now >= training.ask_at.get(worker).copied().unwrap_or(0) {
                let changes = training.changing.contains_key(worker);
                let pause = if changes { ASK_CHANGING_EVERY } else { ASK_EVERY };
                training.ask_at.insert(worker.clone(), now + pause);
                due.push(worker.clone());
            }
        }
        for worker in due {
            self.ask_worker(model, worker);
        }
    }

    fn place_of(&self, model: &str) -> Option<Place> {
        let step = self.state.training().ledger().current(model)?;
        let request: &StepRequest = &step.request;
        let backend = self.state.backends()?.iter().find(|known| known.name == request.backend)?;
        let runtime = backend.runtime.clone()?;
        let bricks: Vec<Brick> = self.directory.ready().collect();
        let known = self.leadership.training.models.get(model);
        // After a change of leaders a step's own members come first.
        let members: BTreeSet<String> = step.present().cloned().collect();
        let before = known.map_or(&members, |training| &training.workers);
        let changing = known.map(|training| training.changing.keys().cloned().collect()).unwrap_or_default();
        let workers = workers::choose(request, &runtime, &bricks, before, &changing);
        let of_workers = bricks.iter().filter(|brick| workers.chosen.contains(&brick.instance));
        let capacity = of_workers.map(|brick| brick.capacity).max().unwrap_or(0);
        let serving_slots = capacity.div_ceil(SERVING_SLOTS_ONE_IN);
        Some(Place { runtime, workers, serving_slots })
    }

    /// The longest time that a generation of a model's steps may take.
    fn longest_generation(&self, model: &str) -> Millis {
        let steps = self.state.training().ledger().steps().filter(|step| step.request.model == model);
        steps.map(|step| step.request.generation_ms).max().unwrap_or(0)
    }

    fn ask_worker(&self, model: &str, worker: String) {
        let address =
            self.directory.brick(&worker).and_then(|brick| brick.address.parse::<SocketAddr>().ok());
        let Some(address) = address else { return };
        let (pool, events, model) = (self.pool.clone(), self.events.clone(), model.to_owned());
        tokio::spawn(async move {
            if let Some(report) = orders::report(&pool, address, &worker).await {
                let _ = events.send(Event::WorkerReported { model, worker, report });
            }
        });
    }

    pub(super) fn on_worker_reported(&mut self, now: u64, model: &str, worker: &str, report: &ReportJson) {
        let Some(brick) = self.directory.brick(worker) else { return };
        let Some(training) = self.leadership.training.models.get_mut(model) else { return };
        if training.workers.contains(worker) {
            training.conductor.reported(now, worker_report(&brick, model, report));
        }
    }

    // ---- what the conductor wants ----

    /// Carries out what is due for a model. Returns the generations that begin, `most_draws` at the most.
    fn act(&mut self, now: u64, model: &str, most_draws: usize, authority: &Authority) -> Vec<Draw> {
        let Some(training) = self.leadership.training.models.get_mut(model) else { return Vec::new() };
        let actions = training.conductor.tick_within(now, self.state.training().ledger(), most_draws);
        let mut draws = Vec::new();
        for action in actions {
            match action {
                Action::Propose(command) => self.propose_step(now, TrainingCommand::Ledger(command)),
                Action::Drain(worker) => self.drain_worker(model, worker),
                Action::Load { worker, .. } => self.change_worker(now, model, &worker, authority),
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
        self.directory.withhold(&worker, model, "");
        self.publish_order_update(&worker, false);
        if let Some(training) = self.leadership.training.models.get_mut(model) {
            training.changing.insert(worker, None);
        }
    }

    /// Brings a worker to the newest version: what it holds is dropped, then loaded anew. An order to load a model that is
    /// held would change nothing.
    fn change_worker(&mut self, now: u64, model: &str, worker: &str, authority: &Authority) {
        let Some(brick) = self.directory.brick(worker) else { return };
        let Some(runtime) = self.runtime_of(worker) else { return };
        let Some(training) = self.leadership.training.models.get_mut(model) else { return };
        let placer = &mut self.leadership.placer;
        let may = !placer.is_ordered(worker)
            && placer.take_training_load(now, &training.backend, runtime.loads_per_s);
        if !may {
            return training.conductor.load_deferred(now, worker);
        }
        let holds =
            training.conductor.workers().get(worker).is_some_and(|known| known.report.holds.is_some());
        let (phase, order) = match holds {
            true => (ChangePhase::Unloading, workers::unload_order(&brick, model)),
            false => (ChangePhase::Loading, workers::load_order(&brick, model, &runtime)),
        };
        training.changing.insert(worker.to_owned(), Some(phase));
        self.give_version_order(order, authority.clone());
    }

    fn give_version_order(&mut self, order: Order, authority: Authority) {
        let Some(runtime) = self.runtime_of(&order.instance) else { return };
        tracing::info!(worker = order.instance, model = order.model, operation = ?order.operation, "version order");
        let (pool, events) = (self.pool.clone(), self.events.clone());
        tokio::spawn(async move {
            let end = orders::carry_out(pool, order, runtime, authority).await;
            let _ = events.send(Event::VersionOrderEnded(Box::new(end)));
        });
    }

    pub(super) fn on_version_order_ended(&mut self, now: u64, end: OrderEnd) {
        let OrderEnd { order, report } = end;
        let has_dropped = report
            .as_ref()
            .is_some_and(|report| !report.busy && !report.models().any(|held| held.name == order.model));
        if order.operation == Operation::Unload && has_dropped && self.load_next(now, &order) {
            return;
        }
        let brick = self.directory.brick(&order.instance);
        if let Some(training) = self.leadership.training.models.get_mut(&order.model) {
            training.changing.remove(&order.instance);
            match (&brick, &report) {
                (Some(brick), Some(report)) => {
                    training.conductor.reported(now, worker_report(brick, &order.model, report));
                }
                _ => training.conductor.order_failed(&order.instance),
            }
            let stuck =
                training.conductor.workers().get(&order.instance).is_some_and(|known| !known.serves());
            if stuck {
                training.conductor.order_failed(&order.instance);
            }
        }
        self.order_is_known(&order.instance, report);
    }

    /// A worker has dropped a model: it loads the newest version, if this head still leads, also where the step was given up
    /// meanwhile. Returns whether it does.
    fn load_next(&mut self, now: u64, order: &Order) -> bool {
        let Some(permit) = self.permit(now) else { return false };
        let authority = self.authority(permit);
        let Some(brick) = self.directory.brick(&order.instance) else { return false };
        let Some(runtime) = self.runtime_of(&order.instance) else { return false };
        if let Some(training) = self.leadership.training.models.get_mut(&order.model) {
            training.changing.insert(order.instance.clone(), Some(ChangePhase::Loading));
        }
        self.give_version_order(workers::load_order(&brick, &order.model, &runtime), authority);
        true
    }

    // ---- generations ----

    /// Tells edges that generations wait, as many as could begin, spread over all of them.
    fn offer_generations(&mut self, now: u64, models: &[String]) {
        let ledger = self.state.training().ledger();
        let training = &self.leadership.training;
        let of_model = |model: &String| Some(training.models.get(model)?.conductor.could_draw(now, ledger));
        let waiting: usize = models.iter().filter_map(of_model).sum();
        if waiting == 0 {
            return;
        }
        let free = |name: &str| now >= training.offer_at.get(name).copied().unwrap_or(0);
        let edges: Vec<(String, LinkId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.hello.role == ProcessRole::Edge && !peer.link.is_closed())
            .filter(|(_, peer)| free(&peer.hello.name))
            .map(|(id, peer)| (peer.hello.name.clone(), *id))
            .collect();
        let each = waiting.div_ceil(edges.len().max(1)).clamp(1, MOST_OFFERED);
        for (name, id) in edges.into_iter().take(waiting.div_ceil(each)) {
            if let Some(peer) = self.peers.get(&id) {
                peer.link.send(&Frame::DrawOffer(DrawOffer { count: each as u32 }));
            }
            self.leadership.training.offer_at.insert(name, now + OFFER_APART);
        }
    }

    /// An edge asks for generations: they begin by its clock, and by this head's lease.
    pub(super) fn on_draw_request(&mut self, now: u64, id: LinkId, request: DrawRequest) {
        let Some(permit) = self.permit(now) else { return };
        let authority = self.authority(permit);
        let models: Vec<String> = self.leadership.training.models.keys().cloned().collect();
        let mut draws: Vec<(String, Draw)> = Vec::new();
        for model in models {
            let room = (request.count as usize).saturating_sub(draws.len());
            let begun = self.act(now, &model, room, &authority);
            draws.extend(begun.into_iter().map(|draw| (model.clone(), draw)));
        }
        if draws.is_empty() {
            return;
        }
        let tasks: Vec<DrawTask> = draws.iter().filter_map(|(model, draw)| self.task(model, draw)).collect();
        let grant = DrawGrant { asked_at: request.asked_at, begin_ms: BEGIN_WITHIN_MS, tasks };
        let sent = self.peers.get(&id).is_some_and(|peer| peer.link.send(&Frame::DrawGrant(grant)));
        if !sent {
            draws.into_iter().for_each(|(model, draw)| {
                self.draw_ended(now, &model, draw, DrawOutcome::Over, 0, Output::default());
            });
        }
    }

    fn task(&self, model: &str, draw: &Draw) -> Option<DrawTask> {
        let state = self.state.training();
        let step = state.ledger().step(draw.step)?;
        let prompt = state.prompt(draw.step, draw.prompt)?;
        let address = self.directory.brick(&draw.worker)?.address;
        let stride = self.runtime_of(&draw.worker).map_or(1.0, |runtime| runtime.stride);
        Some(DrawTask {
            id: DrawId {
                step: draw.step,
                epoch: draw.epoch,
                prompt: draw.prompt,
                instance: draw.worker.clone(),
                version: draw.version,
            },
            address,
            model: model.to_owned(),
            path: step.request.path.clone(),
            body: prompt.body.clone(),
            input_tokens: prompt.input_tokens,
            output_tokens: prompt.output_tokens,
            prefix: prompt.prefix.clone(),
            within_ms: draw.within,
            event_tokens: stride.max(1.0) as u32,
        })
    }

    /// An edge tells how a generation ended. Only the leader puts it into the log.
    pub(super) fn on_draw_result(&mut self, now: u64, result: DrawResult) {
        if !self.replication.replica.is_settled_leader() {
            return;
        }
        let DrawId { step, epoch, prompt, instance, version } = result.id;
        let Some(model) = self.model_of(step) else { return };
        let draw = Draw { step, epoch, prompt, worker: instance, version, within: result.within_ms };
        let (outcome, tokens, output) = match result.ending {
            DrawEnding::Complete(answer) => {
                let mut trail = VersionTrail::begin(answer.head);
                answer.events.iter().for_each(|version| trail.event(*version));
                trail.finish();
                let output = Output { text: answer.text, truncated: answer.truncated };
                (DrawOutcome::Complete(trail), answer.tokens, output)
            }
            DrawEnding::Over => (DrawOutcome::Over, 0, Output::default()),
            DrawEnding::Unknown => (DrawOutcome::Unknown, 0, Output::default()),
        };
        self.draw_ended(now, &model, draw, outcome, tokens, output);
    }

    fn model_of(&self, step: StepNumber) -> Option<String> {
        Some(self.state.training().ledger().step(step)?.request.model.clone())
    }

    fn draw_ended(
        &mut self,
        now: u64,
        model: &str,
        draw: Draw,
        outcome: DrawOutcome,
        tokens: u64,
        output: Output,
    ) {
        let Some(training) = self.leadership.training.models.get_mut(model) else { return };
        let end = DrawEnd { draw, outcome, tokens };
        let actions = training.conductor.ended(end, self.state.training().ledger());
        for action in actions {
            let Action::Propose(command) = action else { continue };
            let command = match command {
                StepCommand::Record(generation) => {
                    TrainingCommand::Record { generation, output: output.clone() }
                }
                other => TrainingCommand::Ledger(other),
            };
            self.propose_step(now, command);
        }
    }

    // ---- versions, for edges ----
}

fn settings_of(place: &Place, generation_ms: Millis) -> Settings {
    let loads_per_s = LOADS_USED * place.runtime.loads_per_s;
    Settings {
        change_over: Bounds { serving_floor: place.workers.serving_floor, loads_per_s, drain_ms: DRAIN_MS },
        generation_ms,
        begin_ms: BEGIN_WITHIN_MS + IN_NETWORK_MS,
        lease_ms: LEASE_DRIFT_MS,
        serving_slots: place.serving_slots,
        straggler_ms: STRAGGLER_MS,
        silence_ms: SILENCE_MS,
    }
}

fn worker_report(brick: &Brick, model: &str, report: &ReportJson) -> WorkerReport {
    let held: Option<LoadedModel> = report.models().find(|held| held.name == model);
    WorkerReport {
        worker: brick.instance.clone(),
        zone: brick.zone.clone(),
        holds: held.map(|held| held.version),
        busy: report.busy,
        sequence: report.sequence,
        active: report.active + report.queued,
        capacity: brick.capacity,
    }
}

fn send_json(reply: oneshot::Sender<Reply>, value: &serde_json::Value) {
    let _ = reply.send(Reply::Json(value.to_string().into_bytes()));
}

/// Changes of a step's state, for operators.
fn log_step(command: &StepCommand, refused: bool) {
    match command {
        StepCommand::Announce(request) => {
            tracing::info!(key = request.key, model = request.model, refused, "step announced");
        }
        StepCommand::FixVersion { step, version } => tracing::info!(step, version, refused, "step prepared"),
        StepCommand::Begin { step, members } => {
            tracing::info!(step, workers = members.len(), refused, "step open");
        }
        StepCommand::Leave { step, worker, reason } => {
            tracing::warn!(step, worker, ?reason, refused, "worker left a step");
        }
        StepCommand::Close { step, .. } => tracing::info!(step, refused, "step closed"),
        StepCommand::Seal { step } => tracing::info!(step, refused, "step sealed"),
        StepCommand::Abort { step } => tracing::warn!(step, refused, "step given up"),
        StepCommand::Submit { .. } | StepCommand::Record(_) => {}
    }
}
