//! Plays training steps in virtual time beside the two baselines, audits them, and prints a table; with
//! `--plots` it draws the change of versions by step.
//!
//! ```sh
//! cargo run --release -p pathbank-rollout --example training_steps -- --steps 1000 --workers 20 --faults 600
//! ```

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

#[path = "../tests/steps/engine.rs"]
mod engine;
#[path = "../tests/steps/world.rs"]
mod world;

use clap::Parser;
use plotters::prelude::*;
use std::path::{Path, PathBuf};
use world::{Fault, Mode, Plan, StepMetrics, World};

/// Plays training steps beside their baselines.
#[derive(Parser)]
struct Arguments {
    /// Steps in a row.
    #[arg(long, default_value_t = 100)]
    steps: usize,
    /// Workers that serve and draw.
    #[arg(long, default_value_t = 20)]
    workers: usize,
    /// Prompts of each step.
    #[arg(long, default_value_t = 60)]
    prompts: u64,
    /// Faults of all kinds, at drawn moments.
    #[arg(long, default_value_t = 0)]
    faults: usize,
    /// The same seed plays the same run.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A folder for plots.
    #[arg(long)]
    plots: Option<PathBuf>,
}

fn plan(arguments: &Arguments, mode: Mode) -> Plan {
    let mut draw = fastrand::Rng::with_seed(arguments.seed);
    let span = 8_000 * arguments.steps as u64;
    let fault = |_| (draw.u64(0..span), Fault::ALL[draw.usize(..Fault::ALL.len())]);
    Plan {
        seed: arguments.seed,
        workers: arguments.workers,
        steps: arguments.steps,
        prompts: arguments.prompts,
        faults: (0..arguments.faults).map(fault).collect(),
        mode,
    }
}

fn mean(metrics: &[StepMetrics], of: impl Fn(&StepMetrics) -> f64) -> f64 {
    metrics.iter().map(of).sum::<f64>() / metrics.len().max(1) as f64
}

fn print_row(name: &str, world: &World, without: f64) {
    let audit = world.audit();
    let metrics = world.metrics();
    let lost = audit.problems.len();
    println!(
        "| {name} | {} | {} | {} | {lost} | {:.3} | {:.0} | {:.2} | {:.0} |",
        audit.sealed,
        audit.mixed,
        audit.overlapping,
        world.requests_served() / without,
        mean(metrics, |step| step.rollout_ms as f64),
        mean(metrics, |step| step.rollout_ms as f64 / step.bound_ms as f64),
        mean(metrics, |step| (step.sealed - step.opened) as f64),
    );
}

fn plot(path: &Path, metrics: &[StepMetrics]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (760, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let longest = metrics.iter().map(|step| step.rollout_ms.max(step.bound_ms)).max().unwrap_or(1);
    let last = metrics.last().map_or(1, |step| step.step);
    let mut chart = ChartBuilder::on(&area)
        .caption("Change of versions by step, ms (red: its bound)", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(72)
        .build_cartesian_2d(0..last + 1, 0..longest + longest / 10)?;
    chart.configure_mesh().x_desc("step").draw()?;
    chart.draw_series(
        metrics.iter().map(|step| Circle::new((step.step, step.rollout_ms), 2, BLUE.filled())),
    )?;
    chart.draw_series(LineSeries::new(metrics.iter().map(|step| (step.step, step.bound_ms)), &RED))?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments = Arguments::parse();
    let mut steps = World::new(plan(&arguments, Mode::Steps));
    steps.run();
    let until = steps.now();
    let of = |mode| {
        let mut world = World::new(plan(&arguments, mode));
        world.run_until(until);
        world
    };
    let without = of(Mode::Nothing).requests_served();
    println!(
        "{} workers, {} ms, {} faults, seed {}",
        arguments.workers, until, arguments.faults, arguments.seed
    );
    println!(
        "| way | sealed | mixed | epochs at once | problems | merchants beside none | change-over, ms | of its bound | open to sealed, ms |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    print_row("steps", &steps, without);
    print_row("stop everything", &of(Mode::StopAll), without);
    print_row("rolling without epochs", &of(Mode::Rolling), without);
    if let Some(folder) = &arguments.plots {
        std::fs::create_dir_all(folder)?;
        plot(&folder.join("training-steps-change-over.svg"), steps.metrics())?;
    }
    Ok(())
}
