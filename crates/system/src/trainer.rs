//! A trainer's end of the control plane: opens steps, submits prompts, takes results. For examples,
//! rehearsals and tests.

use crate::command::{Answer, call};
use anyhow::{Context, Result, bail};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A call without a clear answer is made again, at another core, after this.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A trainer before some control planes.
#[derive(Clone, Debug)]
pub struct Trainer {
    control: Vec<SocketAddr>,
    patience: Duration,
}

/// What a trainer wants of a step.
#[derive(Clone, Debug)]
pub struct StepPlan {
    /// The trainer's name for the step.
    pub key: String,
    /// The model.
    pub model: String,
    /// No fewer workers.
    pub floor: u32,
    /// Prompts that are drawn for.
    pub prompts: u64,
    /// A generation's time, milliseconds.
    pub generation_ms: u64,
}

/// A step that was sealed, as its trainer was told.
#[derive(Clone, Debug)]
pub struct SealedStep {
    /// Its number.
    pub step: u64,
    /// Its version.
    pub version: u64,
    /// Who drew for each prompt.
    pub results: BTreeMap<u64, String>,
    /// From the trainer's call until it was open, until all had been drawn, and until it was sealed.
    pub opened: Duration,
    /// Until all had been drawn.
    pub drawn: Duration,
    /// Until it was sealed.
    pub sealed: Duration,
}

impl Trainer {
    /// A trainer who gives a call up after so long.
    pub fn new(control: Vec<SocketAddr>, patience: Duration) -> Trainer {
        Trainer { control, patience }
    }

    /// Makes a call until its answer is clear: nothing is done twice, for every call may be repeated.
    ///
    /// # Errors
    ///
    /// No clear answer came in time.
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
        bail!("{method} {path}: no clear answer within {:?}", self.patience)
    }

    fn ask(&self, method: &str, path: &str, body: &Value) -> Result<Value> {
        let text = if body.is_null() { String::new() } else { body.to_string() };
        let answer = self.call(method, path, &text)?;
        if answer.status != 200 {
            bail!("{method} {path}: status {}: {}", answer.status, answer.body.trim());
        }
        serde_json::from_str(&answer.body).with_context(|| format!("{path}: no JSON"))
    }

    /// Asks for a step. Returns its number.
    ///
    /// # Errors
    ///
    /// It was refused, or no clear answer came in time.
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

    /// How a step stands.
    ///
    /// # Errors
    ///
    /// There is none, or no clear answer came in time.
    pub fn read(&self, step: u64) -> Result<Value> {
        self.ask("GET", &format!("/api/v1/steps/{step}"), &Value::Null)
    }

    /// The results of a step that count, all of them: prompts and who drew for each.
    ///
    /// # Errors
    ///
    /// There is no such step, or no clear answer came in time.
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

    /// Ends the drawing of a step.
    ///
    /// # Errors
    ///
    /// It was refused, or no clear answer came in time.
    pub fn seal(&self, step: u64, allow_missing: bool) -> Result<()> {
        let body = json!({ "allow_missing": allow_missing });
        self.ask("POST", &format!("/api/v1/steps/{step}/seal"), &body).map(drop)
    }

    /// Gives a step up.
    ///
    /// # Errors
    ///
    /// It was refused, or no clear answer came in time.
    pub fn abort(&self, step: u64) -> Result<()> {
        self.ask("POST", &format!("/api/v1/steps/{step}/abort"), &Value::Null).map(drop)
    }

    /// Waits until a step is in one of these states. Returns how it stands.
    ///
    /// # Errors
    ///
    /// It was given up, or does not come there in time.
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
    /// It takes too long, or the step was given up.
    pub fn until_drawn(&self, step: u64) -> Result<()> {
        let start = Instant::now();
        loop {
            let told = self.read(step)?;
            let count = |key: &str| told.get(key).and_then(Value::as_u64).unwrap_or(0);
            if count("counted") == count("submitted") {
                return Ok(());
            }
            if start.elapsed() >= self.patience {
                bail!("step {step} is not drawn after {:?}: {told}", start.elapsed());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// One step from the trainer's first call to its seal.
    ///
    /// # Errors
    ///
    /// It was refused or given up, or takes too long.
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
