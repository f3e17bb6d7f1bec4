//! Training steps on real processes: step after step while merchants are served and things go wrong, and an
//! audit of what workers drew and trainers were told.

mod faults;
mod merchants;
mod plot;
mod stage;

use crate::stand_in::drawn;
use crate::trainer::{SealedStep, StepPlan, Trainer};
use anyhow::{Context, Result};
use clap::Args;
use faults::Faults;
use indicatif::{ProgressBar, ProgressStyle};
use merchants::{Merchants, Served};
use pathbank_rollout::audit::{Audit, EngineRecord, TrainerRecord, audit};
use pathbank_rollout::version_rollout::{RolloutLimits, max_duration_ms};
use serde::{Deserialize, Serialize};
use stage::Stage;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// A step that is not sealed within this is given up, and asked for anew.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Merchants are watched alone for so long before the first step.
const ALONE: Duration = Duration::from_secs(8);
/// A client asks again so long after its last answer.
const CLIENT_PAUSE: Duration = Duration::from_millis(60);
/// Of the workers, so many serve at any time; what a worker has ends within this before it loads,
/// milliseconds.
const SERVING_PART: f64 = 0.7;
const DRAIN_MS: u64 = 2_000;

/// A rehearsal of training steps.
#[derive(Clone, Debug, Args)]
pub struct StepsPlan {
    /// Steps in a row.
    #[arg(long, default_value_t = 5)]
    steps: usize,
    /// Workers, each a process.
    #[arg(long, default_value_t = 6)]
    workers: u8,
    /// Cores.
    #[arg(long, default_value_t = 3)]
    cores: u8,
    /// Edges.
    #[arg(long, default_value_t = 2)]
    edges: u8,
    /// Prompts of each step.
    #[arg(long, default_value_t = 60)]
    prompts: u64,
    /// Clients that ask for streams all the while.
    #[arg(long, default_value_t = 6)]
    merchants: usize,
    /// Faults of all kinds.
    #[arg(long, default_value_t = 0)]
    faults: usize,
    /// About so long apart, milliseconds.
    #[arg(long, default_value_t = 2_500)]
    fault_pause_ms: u64,
    /// The same seed draws the same faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Requests that a worker runs at once.
    #[arg(long, default_value_t = 8)]
    capacity: u32,
    /// What a load takes, milliseconds.
    #[arg(long, default_value_t = 400)]
    load_ms: u64,
    /// Pieces of a stream.
    #[arg(long, default_value_t = 8)]
    pieces: u32,
    /// The pause between two pieces, milliseconds.
    #[arg(long, default_value_t = 25)]
    pause_ms: u64,
    /// A generation's time, milliseconds.
    #[arg(long, default_value_t = 1_500)]
    generation_ms: u64,
    /// Where the figures go, as JSON.
    #[arg(long)]
    out: Option<PathBuf>,
    /// A folder for plots.
    #[arg(long)]
    plots: Option<PathBuf>,
}

/// A step as it went.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StepFigures {
    /// Its number.
    step: u64,
    /// Its version.
    version: u64,
    /// From the trainer's call until it was open, milliseconds.
    opened_ms: u64,
    /// Until all prompts had been drawn for.
    drawn_ms: u64,
    /// Until it was sealed.
    sealed_ms: u64,
    /// Of the slots that training may take, the part that drew between opening and the last generation.
    slots_used: f64,
    /// Versions that each worker drew from for this step, by its machine.
    drawn_by: BTreeMap<String, Vec<u64>>,
}

/// What a rehearsal came to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StepsRun {
    workers: u8,
    edges: u8,
    cores: u8,
    prompts: u64,
    seed: u64,
    faults: BTreeMap<String, usize>,
    sealed: usize,
    given_up: usize,
    mixed: usize,
    overlapping: usize,
    problems: Vec<String>,
    /// The part of merchants' requests that was served alone, and beside the steps.
    merchants_alone: f64,
    merchants_beside: f64,
    first_piece_alone_p95_ms: u64,
    first_piece_beside_p95_ms: u64,
    /// The time within which all workers can change, milliseconds.
    change_over_bound_ms: u64,
    steps: Vec<StepFigures>,
}

/// What the trainer tells as it goes.
enum RunEvent {
    Sealed(SealedStep),
    GivenUp(String),
}

/// Plays a rehearsal and prints what it came to.
///
/// # Errors
///
/// A process cannot be started, a file cannot be written, or the audit found something wrong.
pub fn run(plan: &StepsPlan) -> Result<()> {
    let mut stage = Stage::start(plan)?;
    let merchants = Merchants::start(&stage.ingress(), plan.merchants, CLIENT_PAUSE, plan.pieces)?;
    std::thread::sleep(ALONE);
    let alone = merchants.take();
    let played = play(plan, &mut stage)?;
    let beside = merchants.take();
    drop(merchants);
    let drawn = drawn::generations(&stage.drawn()?);
    let told: Vec<TrainerRecord> = played.sealed.iter().map(told).collect();
    let trainer = Trainer::new(stage.control().to_vec(), TIMEOUT);
    let read_back: Result<Vec<TrainerRecord>> = told
        .iter()
        .map(|told| Ok(TrainerRecord { results: trainer.results(told.step)?, ..told.clone() }))
        .collect();
    let audit = audit(&drawn, &told, &read_back?);
    let run = figures(plan, Seen { played, drawn, audit, alone, beside });
    report(plan, &run)?;
    anyhow::ensure!(run.problems.is_empty() && run.sealed == plan.steps, "the audit: {:?}", run.problems);
    Ok(())
}

fn told(sealed: &SealedStep) -> TrainerRecord {
    TrainerRecord { step: sealed.step, version: sealed.version, results: sealed.results.clone() }
}

/// What the trainer and the faults came to.
struct Played {
    sealed: Vec<SealedStep>,
    given_up: usize,
    struck: BTreeMap<String, usize>,
}

/// All that was seen of a rehearsal.
struct Seen {
    played: Played,
    drawn: Vec<EngineRecord>,
    audit: Audit,
    alone: Served,
    beside: Served,
}

/// All steps in a row, while faults strike.
fn play(plan: &StepsPlan, stage: &mut Stage) -> Result<Played> {
    let bar = ProgressBar::new(plan.steps as u64);
    bar.set_style(ProgressStyle::with_template("steps [{bar:40}] {pos}/{len} {msg}")?);
    let (sender, news) = mpsc::channel();
    let trainer = Trainer::new(stage.control().to_vec(), TIMEOUT);
    let (steps, template) = (plan.steps, step_plan(plan));
    let (publish, published) = mpsc::channel();
    let training = std::thread::Builder::new().name("trainer".into()).spawn(move || {
        train(&trainer, steps, &template, &sender, &publish);
    })?;
    let mut faults = Faults::new(plan.seed, plan.faults, Duration::from_millis(plan.fault_pause_ms));
    let (mut sealed, mut given_up) = (Vec::new(), 0);
    while !training.is_finished() {
        faults.look(stage)?;
        for () in published.try_iter() {
            stage.store.publish()?;
        }
        for news in news.try_iter() {
            match news {
                RunEvent::Sealed(step) => {
                    bar.inc(1);
                    sealed.push(step);
                }
                RunEvent::GivenUp(why) => {
                    bar.set_message(why.chars().take(60).collect::<String>());
                    given_up += 1;
                }
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    faults.finish(stage)?;
    sealed.extend(news.try_iter().filter_map(|news| match news {
        RunEvent::Sealed(step) => Some(step),
        RunEvent::GivenUp(_) => None,
    }));
    bar.finish_and_clear();
    let struck = faults.struck.iter().map(|(fault, count)| (format!("{fault:?}"), *count)).collect();
    Ok(Played { sealed, given_up, struck })
}

fn step_plan(plan: &StepsPlan) -> StepPlan {
    StepPlan {
        key: String::new(),
        model: "m1".into(),
        floor: u32::from(plan.workers).div_ceil(2),
        prompts: plan.prompts,
        generation_ms: plan.generation_ms,
    }
}

/// One step after the other; the trainer publishes what it learned after each. A step that does not end is
/// given up.
fn train(
    trainer: &Trainer,
    steps: usize,
    template: &StepPlan,
    news: &mpsc::Sender<RunEvent>,
    publish: &mpsc::Sender<()>,
) {
    let (mut done, mut attempt) = (0, 0);
    // A rehearsal ends although its steps do not.
    while done < steps && attempt < 3 * steps {
        attempt += 1;
        let plan = StepPlan { key: format!("step-{attempt}"), ..template.clone() };
        let played = trainer.play(&plan);
        let told = match played {
            Ok(sealed) => {
                done += 1;
                let _ = publish.send(());
                RunEvent::Sealed(sealed)
            }
            Err(error) => {
                give_up(trainer, &plan);
                RunEvent::GivenUp(format!("{error:#}"))
            }
        };
        if news.send(told).is_err() {
            return;
        }
    }
}

fn give_up(trainer: &Trainer, plan: &StepPlan) {
    // The key names the step; a step that is sealed after all stays so.
    if let Ok(step) = trainer.open(plan) {
        let _ = trainer.abort(step);
    }
}

fn figures(plan: &StepsPlan, seen: Seen) -> StepsRun {
    let Seen { played: Played { sealed, given_up, struck }, drawn, audit, alone, beside } = seen;
    let workers = usize::from(plan.workers);
    let serving_floor = (SERVING_PART * workers as f64) as usize;
    let bounds = RolloutLimits {
        min_serving: serving_floor,
        max_loads_per_s: stage::loads_per_s(plan),
        drain_timeout_ms: DRAIN_MS,
    };
    StepsRun {
        workers: plan.workers,
        edges: plan.edges,
        cores: plan.cores,
        prompts: plan.prompts,
        seed: plan.seed,
        faults: struck,
        sealed: audit.sealed,
        given_up,
        mixed: audit.mixed,
        overlapping: audit.overlapping,
        problems: audit.problems,
        merchants_alone: alone.part(),
        merchants_beside: beside.part(),
        first_piece_alone_p95_ms: alone.first_piece_p95_ms,
        first_piece_beside_p95_ms: beside.first_piece_p95_ms,
        change_over_bound_ms: max_duration_ms(&bounds, workers, workers, plan.load_ms),
        steps: sealed.iter().map(|step| step_figures(plan, step, &drawn)).collect(),
    }
}

fn step_figures(plan: &StepsPlan, sealed: &SealedStep, drawn: &[EngineRecord]) -> StepFigures {
    let of_step = || drawn.iter().filter(|one| one.step == sealed.step);
    let mut drawn_by: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for one in of_step() {
        let machine = one.worker.split('.').next().unwrap_or_default().to_owned();
        let versions = drawn_by.entry(machine).or_default();
        versions.extend(
            one.versions.iter().filter(|version| !versions.contains(version)).copied().collect::<Vec<_>>(),
        );
    }
    let busy_ms: u64 = of_step().map(|one| one.ended - one.began).sum();
    let span_ms = (sealed.drawn - sealed.opened).as_millis() as f64;
    let slots = f64::from(plan.workers) * f64::from(plan.capacity - plan.capacity.div_ceil(4));
    StepFigures {
        step: sealed.step,
        version: sealed.version,
        opened_ms: sealed.opened.as_millis() as u64,
        drawn_ms: sealed.drawn.as_millis() as u64,
        sealed_ms: sealed.sealed.as_millis() as u64,
        slots_used: busy_ms as f64 / (slots * span_ms).max(1.0),
        drawn_by,
    }
}

fn mean(steps: &[StepFigures], of: impl Fn(&StepFigures) -> f64) -> f64 {
    steps.iter().map(of).sum::<f64>() / steps.len().max(1) as f64
}

fn report(plan: &StepsPlan, run: &StepsRun) -> Result<()> {
    let StepsRun { sealed, given_up, mixed, overlapping, steps, .. } = run;
    println!(
        "{} workers, {} edge heads, {} control heads, seed {}; faults: {:?}",
        run.workers, run.edges, run.cores, run.seed, run.faults
    );
    println!(
        "| sealed | given up | mixed | epochs at once | problems | merchants alone | beside | first piece p95, ms | beside | to open, ms | bound, ms | to draw, ms | to seal, ms | slots used |"
    );
    println!(
        "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    );
    println!(
        "| {sealed} | {given_up} | {mixed} | {overlapping} | {} | {:.4} | {:.4} | {} | {} | {:.0} | {} | {:.0} | {:.0} | {:.2} |",
        run.problems.len(),
        run.merchants_alone,
        run.merchants_beside,
        run.first_piece_alone_p95_ms,
        run.first_piece_beside_p95_ms,
        mean(steps, |step| step.opened_ms as f64),
        run.change_over_bound_ms,
        mean(steps, |step| (step.drawn_ms - step.opened_ms) as f64),
        mean(steps, |step| (step.sealed_ms - step.drawn_ms) as f64),
        mean(steps, |step| step.slots_used),
    );
    if let Some(path) = &plan.out {
        let text = serde_json::to_string_pretty(run)?;
        std::fs::write(path, text + "\n").with_context(|| path.display().to_string())?;
    }
    if let Some(folder) = &plan.plots {
        std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
        plot::versions(&folder.join("training-steps-versions.svg"), run)?;
        plot::times(&folder.join("training-steps-times.svg"), run)?;
    }
    Ok(())
}
