//! A client of the control plane for training: opens steps, submits prompts and reads results. For examples,
//! rehearsals and tests.

use crate::command::{Answer, call};
use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The pause before a call without a definite answer is made again, at another core.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// How often a wait checks the state of a step.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A trainer that calls the control planes of some cores.
#[derive(Clone, Debug)]
pub struct Trainer {
    control: Vec<SocketAddr>,
    patience: Duration,
}

/// The parameters of a training step.
#[derive(Clone, Debug)]
pub struct StepPlan {
    /// The trainer's name for the step.
    pub key: String,
    /// The model that the step trains.
    pub model: String,
    /// The least number of workers.
    pub floor: u32,
    /// The number of prompts.
    pub prompts: u64,
    /// The timeout of a generation, milliseconds.
    pub generation_ms: u64,
}

/// A sealed step, as the control plane reported it.
#[derive(Clone, Debug)]
pub struct SealedStep {
    /// The step's number.
    pub step: u64,
    /// The version of the model's weights that the step used.
    pub version: u64,
    /// The worker whose generation counts, by prompt.
    pub results: BTreeMap<u64, String>,
    /// The time from the trainer's first call until the step was open.
    pub opened: Duration,
    /// The time from the trainer's first call until all prompts had a generation that counts.
    pub drawn: Duration,
    /// The time from the trainer's first call until the step was sealed.
    pub sealed: Duration,
}

impl Trainer {
    /// Creates a trainer that calls these control planes, and gives up a call after `patience`.
    pub fn new(control: Vec<SocketAddr>, patience: Duration) -> Trainer {
        Trainer { control, patience }
    }

    /// Repeats a call, at one core after the other, until the answer is definite. Every call is idempotent,
    /// so nothing is done twice.
    ///
    /// # Errors
    ///
    /// No definite answer came in time.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Result<Answer> {
        let start = Instant::now();
        for turn in 0.. {
            let control = self.control[turn % self.control.len()];
            match call(control, method, path, None, body) {
                Ok(answer) if ![307, 500, 503].contains(&answer.status) => return Ok(answer),
                _ if start.elapsed() >= self.patience => break,
                _ => std::thread::sleep(RETRY_BACKOFF),
            }
        }
        bail!("{method} {path}: no definite answer within {:?}", self.patience)
    }

    /// Makes a call whose answer has to be a success. Returns the answer's JSON.
    fn ask(&self, method: &str, path: &str, body: &Value) -> Result<Value> {
        let text = if body.is_null() { String::new() } else { body.to_string() };
        let answer = self.call(method, path, &text)?;
        if answer.status != 200 {
            bail!("{method} {path}: status {}: {}", answer.status, answer.body.trim());
        }
        serde_json::from_str(&answer.body).with_context(|| format!("{path}: no JSON"))
    }

    /// Opens a step and submits its prompts. Returns the step's number.
    ///
    /// # Errors
    ///
    /// The step was refused, or no definite answer came in time.
    pub fn open(&self, plan: &StepPlan) -> Result<u64> {
        let body = json!({
            "key": plan.key,
            "model": plan.model,
            "floor": plan.floor,
            "generation_ms": plan.generation_ms,
            "path": "/generate",
        });
        let told = self.ask("POST", "/api/v1/steps", &body)?;
        let step = told.get("step").and_then(Value::as_u64).context("no step's number")?;
        let prompt = |id: u64| json!({ "id": id, "body": format!("prompt {id}"), "input_tokens": 20, "output_tokens": 15 });
        let prompts: Vec<Value> = (1..=plan.prompts).map(prompt).collect();
        self.ask("POST", &format!("/api/v1/steps/{step}/prompts"), &json!({ "prompts": prompts }))?;
        Ok(step)
    }

    /// Reads the state of a step.
    ///
    /// # Errors
    ///
    /// There is no such step, or no definite answer came in time.
    pub fn read(&self, step: u64) -> Result<Value> {
        self.ask("GET", &format!("/api/v1/steps/{step}"), &Value::Null)
    }

    /// Reads all results of a step that count: the worker by prompt.
    ///
    /// # Errors
    ///
    /// There is no such step, or no definite answer came in time.
    pub fn results(&self, step: u64) -> Result<BTreeMap<u64, String>> {
        let mut results = BTreeMap::new();
        loop {
            let after = results.keys().next_back().map_or(String::new(), |last| format!("?after={last}"));
            let told = self.ask("GET", &format!("/api/v1/steps/{step}/results{after}"), &Value::Null)?;
            let page = told.get("results").and_then(Value::as_array).cloned().unwrap_or_default();
            if page.is_empty() {
                return Ok(results);
            }
            for result in page {
                let prompt = result.get("prompt").and_then(Value::as_u64).context("no prompt")?;
                let worker = result.get("worker").and_then(Value::as_str).context("no worker")?;
                results.insert(prompt, worker.to_owned());
            }
        }
    }

    /// Seals a step: no further generations count. `allow_missing`: also if prompts have no result.
    ///
    /// # Errors
    ///
    /// The call was refused, or no definite answer came in time.
    pub fn seal(&self, step: u64, allow_missing: bool) -> Result<()> {
        let body = json!({ "allow_missing": allow_missing });
        self.ask("POST", &format!("/api/v1/steps/{step}/seal"), &body).map(drop)
    }

    /// Aborts a step.
    ///
    /// # Errors
    ///
    /// The call was refused, or no definite answer came in time.
    pub fn abort(&self, step: u64) -> Result<()> {
        self.ask("POST", &format!("/api/v1/steps/{step}/abort"), &Value::Null).map(drop)
    }

    /// Waits until a step is in one of these states. Returns the step as [`Trainer::read`] does.
    ///
    /// # Errors
    ///
    /// The step was aborted, or did not reach such a state in time.
    pub fn until(&self, step: u64, states: &[&str]) -> Result<Value> {
        let start = Instant::now();
        loop {
            let told = self.read(step)?;
            let state = told.get("state").and_then(Value::as_str).unwrap_or_default();
            if states.contains(&state) {
                return Ok(told);
            }
            if state == "aborted" || start.elapsed() >= self.patience {
                bail!("step {step} is {state} after {:?}: {told}", start.elapsed());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until all prompts of an open step have a generation that counts.
    ///
    /// # Errors
    ///
    /// Prompts still have no generation after the trainer's patience, as when the step was aborted, or no
    /// definite answer came in time.
    pub fn until_drawn(&self, step: u64) -> Result<()> {
        let start = Instant::now();
        loop {
            let told = self.read(step)?;
            let count = |key: &str| told.get(key).and_then(Value::as_u64).unwrap_or(0);
            if count("counted") == count("submitted") {
                return Ok(());
            }
            if start.elapsed() >= self.patience {
                bail!("step {step} has prompts without a generation after {:?}: {told}", start.elapsed());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Runs one step, from opening it until it is sealed.
    ///
    /// # Errors
    ///
    /// The step was refused or aborted, or took too long.
    pub fn play(&self, plan: &StepPlan) -> Result<SealedStep> {
        let start = Instant::now();
        let step = self.open(plan)?;
        self.until(step, &["open"])?;
        let opened = start.elapsed();
        self.until_drawn(step)?;
        let drawn = start.elapsed();
        self.seal(step, false)?;
        let told = self.until(step, &["sealed"])?;
        let sealed = start.elapsed();
        let version = told.get("version").and_then(Value::as_u64).context("a sealed step has a version")?;
        let results = self.results(step)?;
        Ok(SealedStep { step, version, results, opened, drawn, sealed })
    }
}
