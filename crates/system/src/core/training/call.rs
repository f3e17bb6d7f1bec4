//! Trainers' calls with their JSON bodies. Invalid input is rejected with a reason and changes nothing.

use pathbank_control::configuration::{Backend, Rejection};
use pathbank_control::result_code::ResultCode;
use pathbank_control::training::{Prompt, TrainingCommand};
use pathbank_rollout::step::{DEFAULT_GENERATION_MS, RequestedVersion, RequestedWorkers, StepRequest};
use pathbank_rollout::step_table::Command as StepCommand;
use pathbank_rollout::{Millis, PromptId, StepNumber, Version};
use serde::Deserialize;
use std::collections::BTreeMap;

/// A generation may take no longer than this, milliseconds: a new leader waits so long before it seals a
/// step.
const MAX_GENERATION_MS: Millis = 120_000;
const MAX_NAME_BYTES: usize = 256;
const MAX_PATH_BYTES: usize = 2_048;
const MAX_PREFIX_BYTES: usize = 8 * 1024;
/// Results in one answer.
pub const MAX_RESULTS: usize = 256;

/// A trainer's call.
#[derive(Clone, Debug)]
pub enum TrainingCall {
    /// Opens a step, or finds the one that has the same key.
    Open(OpenBody),
    /// Adds prompts to a step.
    Submit(StepNumber, BTreeMap<PromptId, Prompt>),
    /// Seals a step: no more prompts.
    Seal(StepNumber, SealBody),
    /// Aborts a step.
    Abort(StepNumber),
    /// All steps.
    List,
    /// One step; with `seen`, once it has changed since that entry of the log.
    Read {
        /// The step.
        step: StepNumber,
        /// The entry that the caller has seen.
        seen: Option<u64>,
    },
    /// Generations of a step that count, in the order of their prompts.
    Results {
        /// The step.
        step: StepNumber,
        /// The last prompt that the caller has; `None`: from the first.
        after: Option<PromptId>,
        /// The maximum of results.
        most: usize,
    },
    /// Why a step does not advance, with its workers.
    Explain(StepNumber),
}

impl TrainingCall {
    /// The command that the call asks for; `None`: it only reads. `backends`: those of the configuration, if there is
    /// one.
    ///
    /// # Errors
    ///
    /// A step is asked for that the configuration cannot have.
    pub fn command(&self, backends: Option<&[Backend]>) -> Result<Option<TrainingCommand>, Rejection> {
        let command = match self {
            TrainingCall::Open(body) => {
                let Some(backends) = backends else {
                    return Err(Rejection::new(ResultCode::NoConfiguration, "there is no configuration yet"));
                };
                TrainingCommand::Step(StepCommand::Announce(body.clone().request(backends)?))
            }
            TrainingCall::Submit(step, prompts) => {
                TrainingCommand::Submit { step: *step, prompts: prompts.clone() }
            }
            TrainingCall::Seal(step, body) => {
                let allow_missing = body.allow_missing;
                TrainingCommand::Step(StepCommand::Close { step: *step, allow_missing })
            }
            TrainingCall::Abort(step) => TrainingCommand::Step(StepCommand::Abort { step: *step }),
            TrainingCall::List
            | TrainingCall::Read { .. }
            | TrainingCall::Results { .. }
            | TrainingCall::Explain(_) => return Ok(None),
        };
        Ok(Some(command))
    }
}

/// The version that a step generates from.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum VersionJson {
    Number(Version),
    Keyword(String),
}

/// How many workers take part.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum WorkersJson {
    Count(u32),
    Keyword(String),
}

/// The body of a call that opens a step.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenBody {
    key: String,
    model: String,
    backend: Option<String>,
    version: Option<VersionJson>,
    workers: Option<WorkersJson>,
    share: Option<f64>,
    floor: Option<u32>,
    path: Option<String>,
    generation_ms: Option<Millis>,
    deadline_ms: Option<Millis>,
}

/// The body of a call that seals a step.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SealBody {
    /// Seals the step although results are missing.
    #[serde(default)]
    pub allow_missing: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PromptJson {
    id: PromptId,
    body: String,
    #[serde(default)]
    input_tokens: u64,
    #[serde(default)]
    output_tokens: u64,
    #[serde(default)]
    prefix: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    prompts: Vec<PromptJson>,
}

fn bad(message: impl Into<String>) -> Rejection {
    Rejection::new(ResultCode::BadStep, message)
}

/// Reads a body; an empty one is an empty object.
///
/// # Errors
///
/// It is no JSON, lacks a key, or has one that is not known.
pub fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Rejection> {
    let body = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body)
        .map_err(|error| Rejection::new(ResultCode::UnreadableDocument, error.to_string()))
}

/// The prompts of a call's body.
///
/// # Errors
///
/// It cannot be read, has no prompt, or has one that stands twice or cannot be sent.
pub fn read_prompts(body: &[u8]) -> Result<BTreeMap<PromptId, Prompt>, Rejection> {
    let body: SubmitBody = read(body)?;
    if body.prompts.is_empty() {
        return Err(bad("there is no prompt"));
    }
    let mut prompts = BTreeMap::new();
    for PromptJson { id, body, input_tokens, output_tokens, prefix } in body.prompts {
        if prefix.len() > MAX_PREFIX_BYTES || !prefix.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(bad(format!("prompt {id}: its prefix cannot be sent")));
        }
        let prompt = Prompt { body, input_tokens, output_tokens, prefix };
        if prompts.insert(id, prompt).is_some() {
            return Err(bad(format!("prompt {id} stands twice")));
        }
    }
    Ok(prompts)
}

impl OpenBody {
    /// The step that is asked for, where the configuration has its model.
    ///
    /// # Errors
    ///
    /// A name, a number or a path makes no sense, or no service has the model, or several have and none is
    /// named.
    pub fn request(self, backends: &[Backend]) -> Result<StepRequest, Rejection> {
        let named = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        if !named(&self.key) {
            return Err(bad(format!("key: 1 to {MAX_NAME_BYTES} bytes")));
        }
        let backend = backend_of(backends, &self.model, self.backend.as_deref())?;
        let version = wanted_version(self.version)?;
        let workers = wanted_workers(self.workers, self.share)?;
        let path = self.path.unwrap_or_else(|| "/".to_owned());
        let is_path = path.starts_with('/') && path.len() <= MAX_PATH_BYTES;
        if !is_path || !path.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(bad("path: begins with a slash and has no spaces"));
        }
        let generation_ms = self.generation_ms.unwrap_or(DEFAULT_GENERATION_MS);
        if !(1..=MAX_GENERATION_MS).contains(&generation_ms) {
            return Err(bad(format!("generation_ms: 1 to {MAX_GENERATION_MS}")));
        }
        if self.deadline_ms == Some(0) {
            return Err(bad("deadline_ms: above 0"));
        }
        Ok(StepRequest {
            key: self.key,
            backend,
            model: self.model,
            version,
            workers,
            min_workers: self.floor.unwrap_or(1).max(1),
            path,
            generation_ms,
            deadline_ms: self.deadline_ms,
        })
    }
}

fn backend_of(backends: &[Backend], model: &str, named: Option<&str>) -> Result<String, Rejection> {
    let has_model = |runtime: &pathbank_control::configuration::Runtime| {
        runtime.models.iter().any(|known| known.name == model)
    };
    let with_model = backends.iter().filter(|backend| {
        backend.runtime.as_ref().is_some_and(has_model) && named.is_none_or(|name| backend.name == name)
    });
    let names: Vec<&str> = with_model.map(|backend| backend.name.as_str()).collect();
    match names[..] {
        [] => Err(bad(format!("no such service has model {model}"))),
        [name] => Ok(name.to_owned()),
        _ => Err(bad(format!("backend: {} have model {model}", names.join(" and ")))),
    }
}

fn wanted_version(version: Option<VersionJson>) -> Result<RequestedVersion, Rejection> {
    match version {
        None => Ok(RequestedVersion::Newest),
        Some(VersionJson::Keyword(word)) if word == "newest" => Ok(RequestedVersion::Newest),
        Some(VersionJson::Number(version)) if version > 0 => Ok(RequestedVersion::Exactly(version)),
        Some(_) => Err(bad("version: \"newest\" or a number above 0")),
    }
}

fn wanted_workers(workers: Option<WorkersJson>, share: Option<f64>) -> Result<RequestedWorkers, Rejection> {
    match (workers, share) {
        (None, None) => Ok(RequestedWorkers::All),
        (Some(WorkersJson::Keyword(word)), None) if word == "all" => Ok(RequestedWorkers::All),
        (Some(WorkersJson::Count(count)), None) if count > 0 => Ok(RequestedWorkers::Count(count)),
        (None, Some(share)) if share > 0.0 && share <= 1.0 => {
            Ok(RequestedWorkers::Permille((share * 1_000.0).ceil() as u16))
        }
        _ => Err(bad("workers: \"all\" or a number above 0; or share: above 0, 1 at most")),
    }
}
