//! Training steps as part of the replicated state: the step table, with the contents of prompts and
//! generations and the limits of both.

pub mod workers;

use crate::command_outcome::CommandOutcome;
use crate::configuration::Rejection;
use crate::result_code::ResultCode;
use pathbank_rollout::step::{Step, StepState};
use pathbank_rollout::step_table::{Applied, Command, Generation, StepError, StepTable};
use pathbank_rollout::{PromptId, StepNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The limit of unfinished steps; a further step is rejected.
pub const MAX_OPEN_STEPS: usize = 32;
/// The limit of bytes of a step's prompts; further prompts are rejected.
pub const MAX_PROMPT_BYTES: usize = 4 * 1024 * 1024;
/// The limit of bytes of a step's outputs. A generation beyond it counts, but its text is not kept.
pub const MAX_OUTPUT_BYTES: usize = 8 * 1024 * 1024;
/// The number of finished steps whose prompts and outputs are kept.
const MAX_FINISHED_CONTENTS: usize = 4;
/// The number of finished steps whose counts are kept.
const MAX_FINISHED_STEPS: usize = 128;

/// A prompt as a trainer submitted it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The body that the worker gets.
    pub body: String,
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// The limit of output tokens.
    pub output_tokens: u64,
    /// Its prefix parts, as in the header `X-Pathbank-Prompt-Prefix`; empty: unknown.
    #[serde(default)]
    pub prefix: String,
}

impl Prompt {
    fn bytes(&self) -> usize {
        self.body.len() + self.prefix.len()
    }
}

/// What a worker generated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Output {
    /// The text of the events as received.
    pub text: String,
    /// Whether a part of the text was dropped.
    pub truncated: bool,
}

/// A command of the replicated log about training steps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrainingCommand {
    /// A command of the step table alone.
    #[serde(rename = "Ledger")]
    Step(Command),
    /// A trainer submits prompts.
    Submit {
        /// The step.
        step: StepNumber,
        /// The prompts.
        prompts: BTreeMap<PromptId, Prompt>,
    },
    /// A generation ended.
    Record {
        /// Its worker, prompt and versions.
        generation: Generation,
        /// Its text.
        output: Output,
    },
}

/// The prompts and outputs of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct StepContents {
    prompts: BTreeMap<PromptId, Prompt>,
    outputs: BTreeMap<PromptId, Output>,
    prompt_bytes: usize,
    output_bytes: usize,
}

/// The replicated state of all training steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrainingState {
    #[serde(rename = "ledger")]
    steps: StepTable,
    contents: BTreeMap<StepNumber, StepContents>,
    /// The index of the log entry that changed each step last.
    #[serde(rename = "changed")]
    last_changed: BTreeMap<StepNumber, u64>,
}

impl TrainingState {
    /// The step table.
    pub fn step_table(&self) -> &StepTable {
        &self.steps
    }

    /// The index of the log entry that changed a step last; 0: none did.
    pub fn last_changed(&self, step: StepNumber) -> u64 {
        self.last_changed.get(&step).copied().unwrap_or(0)
    }

    /// A prompt of a step, for as long as it is kept.
    pub fn prompt(&self, step: StepNumber, prompt: PromptId) -> Option<&Prompt> {
        self.contents.get(&step)?.prompts.get(&prompt)
    }

    /// The output of a prompt's generation, for as long as it is kept.
    pub fn output(&self, step: StepNumber, prompt: PromptId) -> Option<&Output> {
        self.contents.get(&step)?.outputs.get(&prompt)
    }

    /// Applies the command of the log entry `index`. Nothing else changes the state.
    ///
    /// # Errors
    ///
    /// The command is rejected, and changes nothing.
    pub fn apply(&mut self, index: u64, command: &TrainingCommand) -> Result<CommandOutcome, Rejection> {
        let (step, outcome) = match command {
            TrainingCommand::Step(command) => self.apply_to_steps(index, command)?,
            TrainingCommand::Submit { step, prompts } => (*step, self.submit(index, *step, prompts)?),
            TrainingCommand::Record { generation, output } => {
                (generation.step, self.record(index, generation, output)?)
            }
        };
        if outcome != CommandOutcome::AlreadyApplied {
            self.last_changed.insert(step, index);
        }
        self.expire_finished();
        Ok(outcome)
    }

    fn apply_to_steps(
        &mut self,
        index: u64,
        command: &Command,
    ) -> Result<(StepNumber, CommandOutcome), Rejection> {
        if let Command::Announce(request) = command {
            let known = self.steps.steps().any(|step| step.request.key == request.key);
            let open = self.steps.steps().filter(|step| !step.state().is_final()).count();
            if !known && open >= MAX_OPEN_STEPS {
                let message = format!("{open} steps are not over");
                return Err(Rejection::new(ResultCode::TooManySteps, message));
            }
        }
        let applied = self.steps.apply(index, command).map_err(rejection)?;
        let step = match applied {
            Applied::Step(number) => number,
            Applied::Done | Applied::AlreadyApplied | Applied::Discarded(_) => step_of(command),
        };
        Ok((step, outcome(applied)))
    }

    fn submit(
        &mut self,
        index: u64,
        number: StepNumber,
        prompts: &BTreeMap<PromptId, Prompt>,
    ) -> Result<CommandOutcome, Rejection> {
        let known = self.contents.get(&number);
        let existing = |id: &PromptId| known.and_then(|content| content.prompts.get(id));
        let differs =
            |(id, prompt): &(&PromptId, &Prompt)| existing(id).is_some_and(|known| known != *prompt);
        if let Some((id, _)) = prompts.iter().find(differs) {
            return Err(Rejection::new(ResultCode::PromptTaken, format!("prompt {id} is another one")));
        }
        let fresh = prompts.iter().filter(|(id, _)| existing(id).is_none());
        let bytes = known.map_or(0, |content| content.prompt_bytes)
            + fresh.map(|(_, prompt)| prompt.bytes()).sum::<usize>();
        if bytes > MAX_PROMPT_BYTES {
            let message = format!("{bytes} bytes of prompts, {MAX_PROMPT_BYTES} at most");
            return Err(Rejection::new(ResultCode::StepTooLarge, message));
        }
        let ids = prompts.keys().copied().collect();
        let applied =
            self.steps.apply(index, &Command::Submit { step: number, prompts: ids }).map_err(rejection)?;
        let content = self.contents.entry(number).or_default();
        content.prompt_bytes = bytes;
        content.prompts.extend(prompts.iter().map(|(id, prompt)| (*id, prompt.clone())));
        Ok(outcome(applied))
    }

    fn record(
        &mut self,
        index: u64,
        generation: &Generation,
        output: &Output,
    ) -> Result<CommandOutcome, Rejection> {
        let applied = self.steps.apply(index, &Command::Record(generation.clone())).map_err(rejection)?;
        if applied == Applied::Done {
            let content = self.contents.entry(generation.step).or_default();
            let fits = content.output_bytes + output.text.len() <= MAX_OUTPUT_BYTES;
            let output = if fits { output.clone() } else { Output { text: String::new(), truncated: true } };
            content.output_bytes += output.text.len();
            content.outputs.insert(generation.prompt, output);
        }
        Ok(outcome(applied))
    }

    fn expire_finished(&mut self) {
        let is_finished = |step: &&Step| step.state().is_final();
        let finished = self.steps.steps().rev().filter(is_finished).map(|step| step.number);
        let oldest_kept = finished.take(MAX_FINISHED_CONTENTS).last().unwrap_or(0);
        let steps = &self.steps;
        self.contents.retain(|number, _| {
            *number >= oldest_kept || steps.step(*number).is_some_and(|step| !step.state().is_final())
        });
        self.steps.remove_old(MAX_FINISHED_STEPS);
        let steps = &self.steps;
        self.last_changed.retain(|number, _| steps.step(*number).is_some());
    }
}

/// The step that a command names; 0 where it creates one.
fn step_of(command: &Command) -> StepNumber {
    match command {
        Command::Announce(_) => 0,
        Command::Submit { step, .. }
        | Command::FixVersion { step, .. }
        | Command::Open { step, .. }
        | Command::RemoveWorker { step, .. }
        | Command::Close { step, .. }
        | Command::Seal { step }
        | Command::Abort { step } => *step,
        Command::Record(generation) => generation.step,
    }
}

fn outcome(applied: Applied) -> CommandOutcome {
    match applied {
        Applied::Done | Applied::Discarded(_) => CommandOutcome::Applied,
        Applied::AlreadyApplied => CommandOutcome::AlreadyApplied,
        Applied::Step(number) => CommandOutcome::StepAnnounced(number),
    }
}

impl From<&StepError> for ResultCode {
    fn from(error: &StepError) -> ResultCode {
        match error {
            StepError::UnknownStep(_) => ResultCode::UnknownStep,
            StepError::WrongState { .. } => ResultCode::WrongStepState,
            StepError::EarlierStep(_) => ResultCode::EarlierStep,
            StepError::KeyConflict(_) => ResultCode::StepKeyTaken,
            StepError::WrongVersion(_) => ResultCode::WrongVersion,
            StepError::TooFewWorkers { .. } => ResultCode::BelowFloor,
            StepError::Missing(_) => ResultCode::MissingGenerations,
        }
    }
}

fn rejection(error: StepError) -> Rejection {
    Rejection::new(ResultCode::from(&error), error.to_string())
}

/// The name of a step's state in answers to operators and trainers.
pub fn state_name(state: StepState) -> &'static str {
    match state {
        StepState::Announced => "announced",
        StepState::Preparing => "preparing",
        StepState::Open => "open",
        StepState::Sealing => "sealing",
        StepState::Sealed => "sealed",
        StepState::Aborted => "aborted",
    }
}
