//! Training steps as part of the replicated state: the ledger, with what prompts and generations say, and the
//! bounds of both.

pub mod workers;

use crate::command_outcome::CommandOutcome;
use crate::configuration::Rejection;
use crate::result_code::ResultCode;
use pathbank_rollout::step::{Step, StepState};
use pathbank_rollout::step_table::{Applied, Command, Generation, StepError, StepTable};
use pathbank_rollout::{PromptId, StepNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Steps that are not over; a further one is not taken.
pub const MAX_OPEN_STEPS: usize = 32;
/// Bytes of a step's prompts.
pub const MAX_PROMPT_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of a step's generations; what comes beyond counts, and is kept without its text.
pub const MAX_OUTPUT_BYTES: usize = 8 * 1024 * 1024;
/// Steps that are over and whose prompts and generations are kept.
const MAX_FINISHED_CONTENTS: usize = 4;
/// Steps that are over and whose counts are kept.
const MAX_FINISHED_STEPS: usize = 128;

/// What a trainer wants to have drawn.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The body that the worker gets.
    pub body: String,
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// Tokens that may come out.
    pub output_tokens: u64,
    /// Its parts, as `X-Pathbank-Prompt-Prefix` has them; empty: not told.
    #[serde(default)]
    pub prefix: String,
}

impl Prompt {
    fn bytes(&self) -> usize {
        self.body.len() + self.prefix.len()
    }
}

/// What a worker drew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Output {
    /// The events' text, as it came.
    pub text: String,
    /// There was more than is kept.
    pub truncated: bool,
}

/// What the log's entries about training steps are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrainingCommand {
    /// What needs no more than the ledger.
    #[serde(rename = "Ledger")]
    Step(Command),
    /// A trainer submits prompts.
    Submit {
        /// The step.
        step: StepNumber,
        /// The prompts.
        prompts: BTreeMap<PromptId, Prompt>,
    },
    /// A generation came to its end.
    Record {
        /// Who drew for what, and from which versions.
        generation: Generation,
        /// What was drawn.
        output: Output,
    },
}

/// What a step's prompts and generations say.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Content {
    prompts: BTreeMap<PromptId, Prompt>,
    outputs: BTreeMap<PromptId, Output>,
    prompt_bytes: usize,
    output_bytes: usize,
}

/// All training steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrainingState {
    #[serde(rename = "ledger")]
    steps: StepTable,
    contents: BTreeMap<StepNumber, Content>,
    /// The log's entry that changed a step last.
    #[serde(rename = "changed")]
    last_changed: BTreeMap<StepNumber, u64>,
}

impl TrainingState {
    /// Where the steps stand.
    pub fn step_table(&self) -> &StepTable {
        &self.steps
    }

    /// The log's entry that changed a step last; 0: none did.
    pub fn last_changed(&self, step: StepNumber) -> u64 {
        self.last_changed.get(&step).copied().unwrap_or(0)
    }

    /// A prompt of a step, for as long as it is kept.
    pub fn prompt(&self, step: StepNumber, prompt: PromptId) -> Option<&Prompt> {
        self.contents.get(&step)?.prompts.get(&prompt)
    }

    /// What was drawn for a prompt, for as long as it is kept.
    pub fn output(&self, step: StepNumber, prompt: PromptId) -> Option<&Output> {
        self.contents.get(&step)?.outputs.get(&prompt)
    }

    /// The one function that changes the state: applies the command of the log's entry `index`.
    ///
    /// # Errors
    ///
    /// The command is refused, and nothing changes.
    pub fn apply(&mut self, index: u64, command: &TrainingCommand) -> Result<CommandOutcome, Rejection> {
        let (step, accepted) = match command {
            TrainingCommand::Step(command) => self.apply_to_steps(index, command)?,
            TrainingCommand::Submit { step, prompts } => (*step, self.submit(index, *step, prompts)?),
            TrainingCommand::Record { generation, output } => {
                (generation.step, self.record(index, generation, output)?)
            }
        };
        if accepted != CommandOutcome::AlreadyApplied {
            self.last_changed.insert(step, index);
        }
        self.forget_old();
        Ok(accepted)
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
        Ok((step, accepted(applied)))
    }

    fn submit(
        &mut self,
        index: u64,
        number: StepNumber,
        prompts: &BTreeMap<PromptId, Prompt>,
    ) -> Result<CommandOutcome, Rejection> {
        let known = self.contents.get(&number);
        let stands = |id: &PromptId| known.and_then(|content| content.prompts.get(id));
        let differs = |(id, prompt): &(&PromptId, &Prompt)| stands(id).is_some_and(|known| known != *prompt);
        if let Some((id, _)) = prompts.iter().find(differs) {
            return Err(Rejection::new(ResultCode::PromptTaken, format!("prompt {id} is another one")));
        }
        let fresh = prompts.iter().filter(|(id, _)| stands(id).is_none());
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
        Ok(accepted(applied))
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
            let kept = if fits { output.clone() } else { Output { text: String::new(), truncated: true } };
            content.output_bytes += kept.text.len();
            content.outputs.insert(generation.prompt, kept);
        }
        Ok(accepted(applied))
    }

    fn forget_old(&mut self) {
        let over = |step: &&Step| step.state().is_final();
        let last_over = self.steps.steps().rev().filter(over).map(|step| step.number);
        let oldest_kept = last_over.take(MAX_FINISHED_CONTENTS).last().unwrap_or(0);
        let steps = &self.steps;
        self.contents.retain(|number, _| {
            *number >= oldest_kept || steps.step(*number).is_some_and(|step| !step.state().is_final())
        });
        self.steps.remove_old(MAX_FINISHED_STEPS);
        let steps = &self.steps;
        self.last_changed.retain(|number, _| steps.step(*number).is_some());
    }
}

/// The step that a command is about.
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

fn accepted(applied: Applied) -> CommandOutcome {
    match applied {
        Applied::Done | Applied::Discarded(_) => CommandOutcome::Applied,
        Applied::AlreadyApplied => CommandOutcome::AlreadyApplied,
        Applied::Step(number) => CommandOutcome::StepAnnounced(number),
    }
}

impl From<&StepError> for ResultCode {
    fn from(refusal: &StepError) -> ResultCode {
        match refusal {
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

fn rejection(refusal: StepError) -> Rejection {
    Rejection::new(ResultCode::from(&refusal), refusal.to_string())
}

/// Where a step stands, as operators and trainers read it.
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
