//! Generations of a step as edges get them, and their results as edges send them.

use pathbank_control::configuration::Runtime;
use pathbank_control::training::{Output, TrainingCommand, TrainingState};
use pathbank_protocol::message::{DrawEnding, DrawId, DrawResult, DrawTask};
use pathbank_rollout::controller::{Action, Draw, DrawEnd, DrawOutcome};
use pathbank_rollout::evidence::VersionTrail;
use pathbank_rollout::step_table::Command as StepCommand;

/// A generation that has ended, and its text.
pub struct FinishedDraw {
    /// The generation and its outcome.
    pub end: DrawEnd,
    /// What the worker generated.
    pub output: Output,
}

impl FinishedDraw {
    /// A generation that was not started.
    pub fn not_started(draw: Draw) -> FinishedDraw {
        FinishedDraw {
            end: DrawEnd { draw, outcome: DrawOutcome::Over, tokens: 0 },
            output: Output::default(),
        }
    }

    /// The result that an edge sent.
    pub fn from_result(result: DrawResult) -> FinishedDraw {
        let DrawId { step, epoch, prompt, instance, version } = result.id;
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
        FinishedDraw { end: DrawEnd { draw, outcome, tokens }, output }
    }
}

/// The commands among what the step controller wants done; a recorded generation gets its text.
pub fn commands(actions: Vec<Action>, output: &Output) -> Vec<TrainingCommand> {
    let command = |action| match action {
        Action::Propose(StepCommand::Record(generation)) => {
            Some(TrainingCommand::Record { generation, output: output.clone() })
        }
        Action::Propose(command) => Some(TrainingCommand::Step(command)),
        _ => None,
    };
    actions.into_iter().filter_map(command).collect()
}

/// A generation as a task for an edge. `None`: its step or prompt does not exist any more.
pub fn draw_task(
    state: &TrainingState,
    model: &str,
    draw: &Draw,
    address: String,
    runtime: Option<&Runtime>,
) -> Option<DrawTask> {
    let step = state.step_table().step(draw.step)?;
    let prompt = state.prompt(draw.step, draw.prompt)?;
    let stride = runtime.map_or(1.0, |runtime| runtime.stride);
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
