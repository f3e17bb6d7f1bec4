//! Generations of training steps: offered to edges, given to those that ask, recorded as they end.

use super::START_TIMEOUT_MS;
use crate::core::event::LinkId;
use crate::core::node::Node;
use crate::core::training::lead::{MAX_OFFERED_GENERATIONS, MIN_OFFER_INTERVAL_MS};
use pathbank_control::training::{Output, TrainingCommand};
use pathbank_protocol::message::{
    DrawEnding, DrawGrant, DrawId, DrawOffer, DrawRequest, DrawResult, DrawTask, Frame,
};
use pathbank_rollout::StepNumber;
use pathbank_rollout::controller::{Action, Draw, DrawEnd, DrawOutcome};
use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::step_table::Command as StepCommand;

impl Node {
    /// Tells edges that generations wait, as many as could begin, spread over all of them.
    pub(super) fn offer_generations(&mut self, now: u64, models: &[String]) {
        let ledger = self.machine.state().training().step_table();
        let training = &self.training;
        let of_model =
            |model: &String| Some(training.models.get(model)?.controller.drawable_prompts(now, ledger));
        let waiting: usize = models.iter().filter_map(of_model).sum();
        if waiting == 0 {
            return;
        }
        let free = |name: &str| now >= training.offer_at.get(name).copied().unwrap_or(0);
        let edges = self.links.edges().filter(|(_, name)| free(name));
        let edges: Vec<(String, LinkId)> = edges.map(|(id, name)| (name.to_owned(), id)).collect();
        let each = waiting.div_ceil(edges.len().max(1)).clamp(1, MAX_OFFERED_GENERATIONS);
        for (name, id) in edges.into_iter().take(waiting.div_ceil(each)) {
            self.links.send(id, &Frame::DrawOffer(DrawOffer { count: each as u32 }));
            self.training.offer_at.insert(name, now + MIN_OFFER_INTERVAL_MS);
        }
    }

    /// An edge asks for generations: they begin by its clock, and by this head's lease.
    pub(in crate::core::node) fn on_draw_request(&mut self, now: u64, id: LinkId, request: DrawRequest) {
        let Some(permit) = self.permit(now) else { return };
        let guard = self.guard(permit);
        let models: Vec<String> = self.training.models.keys().cloned().collect();
        let mut draws: Vec<(String, Draw)> = Vec::new();
        for model in models {
            let room = (request.count as usize).saturating_sub(draws.len());
            let begun = self.act(now, &model, room, &guard);
            draws.extend(begun.into_iter().map(|draw| (model.clone(), draw)));
        }
        if draws.is_empty() {
            return;
        }
        let tasks: Vec<DrawTask> = draws.iter().filter_map(|(model, draw)| self.task(model, draw)).collect();
        let grant =
            DrawGrant { requested_at: request.requested_at, start_timeout_ms: START_TIMEOUT_MS, tasks };
        let sent = self.links.send(id, &Frame::DrawGrant(grant));
        if !sent {
            draws.into_iter().for_each(|(model, draw)| {
                self.draw_ended(now, &model, draw, DrawOutcome::Over, 0, Output::default());
            });
        }
    }

    fn task(&self, model: &str, draw: &Draw) -> Option<DrawTask> {
        let state = self.machine.state().training();
        let step = state.step_table().step(draw.step)?;
        let prompt = state.prompt(draw.step, draw.prompt)?;
        let address = self.servers.directory().server(&draw.worker)?.address;
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
            timeout_ms: draw.within,
            event_tokens: stride.max(1.0) as u32,
        })
    }

    /// An edge tells how a generation ended. Only the leader puts it into the log.
    pub(in crate::core::node) fn on_draw_result(&mut self, now: u64, result: DrawResult) {
        if !self.replication.replica().is_established_leader() {
            return;
        }
        let DrawId { step, epoch, prompt, instance, version } = result.id;
        let Some(model) = self.model_of(step) else { return };
        let draw = Draw { step, epoch, prompt, worker: instance, version, within: result.timeout_ms };
        let (outcome, tokens, output) = match result.ending {
            DrawEnding::Complete(answer) => {
                let mut trail = VersionTrail::begin(answer.header_version);
                answer.event_versions.iter().for_each(|version| trail.record_event(*version));
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
        Some(self.machine.state().training().step_table().step(step)?.request.model.clone())
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
        let Some(training) = self.training.models.get_mut(model) else { return };
        let end = DrawEnd { draw, outcome, tokens };
        let actions = training.controller.draw_ended(end, self.machine.state().training().step_table());
        for action in actions {
            let Action::Propose(command) = action else { continue };
            let command = match command {
                StepCommand::Record(generation) => {
                    TrainingCommand::Record { generation, output: output.clone() }
                }
                other => TrainingCommand::Step(other),
            };
            self.propose_step(now, command);
        }
    }
}
