//! What operators ask about training steps: which there are, how one stands, why it waits.

use super::operator::{Target, fetch, text};
use anyhow::Result;
use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::Value;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// What is asked about training steps.
#[derive(Debug, Subcommand)]
pub enum StepsCommand {
    /// A line for each step that is known.
    List(Target),
    /// Prints how one step stands.
    Show(OneStep),
    /// Follows one step to its end, with a progress bar.
    Watch(OneStep),
    /// Tells why a step waits, by worker; who left it, and which generations were drawn again.
    Explain(OneStep),
}

/// One step of a system.
#[derive(Debug, Args)]
pub struct OneStep {
    #[command(flatten)]
    target: Target,
    /// The step's number.
    step: u64,
}

impl OneStep {
    fn path(&self, part: &str) -> String {
        format!("/api/v1/steps/{}{part}", self.step)
    }
}

/// Carries out what is asked.
///
/// # Errors
///
/// No control plane answers, or there is no such step.
pub fn run(command: &StepsCommand) -> Result<()> {
    match command {
        StepsCommand::List(target) => list(&fetch(target, "/api/v1/steps")?),
        StepsCommand::Show(one) => {
            println!("{}", serde_json::to_string_pretty(&fetch(&one.target, &one.path(""))?)?);
        }
        StepsCommand::Watch(one) => watch(one)?,
        StepsCommand::Explain(one) => explain(&fetch(&one.target, &one.path("/explain"))?),
    }
    Ok(())
}

fn number(value: &Value, key: &str) -> u64 {
    value.get(key).and_then(Value::as_u64).unwrap_or(0)
}

fn items(value: &Value, key: &str) -> Vec<Value> {
    value.get(key).and_then(Value::as_array).cloned().unwrap_or_default()
}

fn known(value: &Value, key: &str) -> String {
    value.get(key).filter(|value| !value.is_null()).map_or("-".to_owned(), Value::to_string)
}

fn list(told: &Value) {
    println!("step\tmodel\tstate\tversion\tworkers\tcounted\tsubmitted\tdiscarded\twaits");
    for step in items(told, "steps") {
        println!(
            "{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}\t{}",
            number(&step, "step"),
            text(&step, "model"),
            text(&step, "state"),
            known(&step, "version"),
            items(&step, "workers").len(),
            number(&step, "counted"),
            number(&step, "submitted"),
            number(&step, "discarded"),
            text(&step, "waits"),
        );
    }
}

fn watch(one: &OneStep) -> Result<()> {
    let bar = ProgressBar::new(0);
    bar.set_style(ProgressStyle::with_template("{prefix:>10} [{bar:40}] {pos}/{len} {msg}")?);
    loop {
        let step = fetch(&one.target, &one.path(""))?;
        let state = text(&step, "state").to_owned();
        bar.set_length(number(&step, "submitted"));
        bar.set_position(number(&step, "counted"));
        bar.set_prefix(state.clone());
        bar.set_message(format!("version {}, {}", known(&step, "version"), text(&step, "waits")));
        if state == "sealed" || state == "aborted" {
            bar.abandon();
            println!("step {} is {state}, version {}", one.step, known(&step, "version"));
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn explain(step: &Value) {
    let waits = text(step, "waits");
    println!("step {} of {}: {}", number(step, "step"), text(step, "model"), text(step, "state"));
    println!("version {}, epoch {}; waits {waits}", known(step, "version"), known(step, "epoch"));
    let workers = items(step, "known_workers");
    if !workers.is_empty() {
        println!("worker\tzone\tin step\tstate\tholds\tactive\tcapacity\theard");
    }
    for worker in &workers {
        let at = worker.get("at").map_or("-", |at| text(at, "state"));
        println!(
            "{}\t{}\t{}\t{at}\t{}\t{}\t{}\t{} ms ago",
            text(worker, "worker"),
            text(worker, "zone"),
            known(worker, "in_step"),
            known(worker, "holds"),
            number(worker, "active"),
            number(worker, "capacity"),
            number(worker, "heard_ms_ago"),
        );
    }
    for left in items(step, "left") {
        println!("left: {} ({})", text(&left, "worker"), text(&left, "reason"));
    }
    for again in items(step, "drawn_again") {
        println!("drawn again: prompt {}, {} times", number(&again, "prompt"), number(&again, "times"));
    }
}
