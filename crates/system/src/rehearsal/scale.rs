//! One rehearsal: so many hollow edges and model servers before real cores, and what it cost them.

use super::stage::{Stage, millis};
use anyhow::{Context, Result};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How large the rehearsal is.
#[derive(Clone, Debug, Args)]
pub struct ScalePlan {
    /// Hollow edges.
    #[arg(long, default_value_t = 46)]
    pub(super) edges: usize,
    /// Hollow model servers.
    #[arg(long = "bricks", default_value_t = 150)]
    pub(super) servers: usize,
    /// Models of the service.
    #[arg(long, default_value_t = 1_900)]
    pub(super) models: usize,
    /// Cores, each a process.
    #[arg(long, default_value_t = 5)]
    pub(super) cores: usize,
    /// How long the steady state is watched, seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Changes of the configuration whose way is timed.
    #[arg(long, default_value_t = 20)]
    changes: usize,
    /// A region's edges, a fifth of all, are cut off from control for so long, seconds; 0: not.
    #[arg(long, default_value_t = 10)]
    cut_seconds: u64,
    /// All edges are started again within so long, seconds; 0: not.
    #[arg(long, default_value_t = 60)]
    restart_seconds: u64,
    /// All cores and edges are dark at once for so long, seconds; 0: not.
    #[arg(long, default_value_t = 1)]
    dark_seconds: u64,
    /// Changes of a day, one right after the other; 0: none.
    #[arg(long, default_value_t = 0)]
    day_changes: usize,
    /// Where the figures go, as JSON.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// What a rehearsal measured. Figures of parts that were not played are 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ScaleRun {
    /// Hollow edges.
    pub edges: usize,
    /// Hollow model servers.
    #[serde(rename = "bricks")]
    pub servers: usize,
    /// Models.
    pub models: usize,
    /// Cores.
    pub cores: usize,
    /// Until every edge knew every model server and the configuration, milliseconds.
    pub settled_ms: f64,
    /// Processor time of the busiest and of the mean core in the steady state, cores.
    pub core_cpu_most: f64,
    /// The mean.
    pub core_cpu_mean: f64,
    /// Memory of the largest core, megabytes.
    pub core_memory_mb: f64,
    /// Bytes a second that one edge got from all cores, and sent to them.
    pub edge_in_bytes_s: f64,
    /// Sent.
    pub edge_out_bytes_s: f64,
    /// Heartbeats a second that were acknowledged, and the part that was not.
    pub heartbeats_s: f64,
    /// Not acknowledged.
    pub heartbeats_failed_part: f64,
    /// From an acknowledgement until an edge had the change in force: half of the edges, 99 in 100, all;
    /// milliseconds.
    pub change_p50_ms: f64,
    /// 99 in 100.
    pub change_p99_ms: f64,
    /// All, the slowest change.
    pub change_most_ms: f64,
    /// Bytes that one change brought to one edge.
    pub change_bytes: f64,
    /// From the end of the leader until the next change was acknowledged, milliseconds.
    pub leader_lost_ms: f64,
    /// From the return of a region that was cut off until all its edges had the newest configuration and all
    /// model servers, milliseconds.
    #[serde(default)]
    pub region_back_ms: f64,
    /// Bytes that the return brought to one of its edges.
    #[serde(default)]
    pub region_back_bytes: f64,
    /// From an edge's start until it had the configuration and all model servers, while all edges are started
    /// again, milliseconds: half of them, all.
    #[serde(default)]
    pub restart_p50_ms: f64,
    /// All.
    #[serde(default)]
    pub restart_most_ms: f64,
    /// Processor time of the busiest core meanwhile, cores.
    #[serde(default)]
    pub restart_core_cpu: f64,
    /// From the last start after all cores and edges were dark until an edge had the configuration: half of
    /// them, all; milliseconds.
    #[serde(default)]
    pub dark_configured_p50_ms: f64,
    /// All.
    #[serde(default)]
    pub dark_configured_most_ms: f64,
    /// Until every edge knew every model server as well, milliseconds.
    #[serde(default)]
    pub dark_back_ms: f64,
    /// A day's changes one right after the other: how many a second were acknowledged.
    #[serde(default)]
    pub day_changes_s: f64,
    /// And from the last acknowledgement until it was in force everywhere, milliseconds.
    #[serde(default)]
    pub day_in_force_ms: f64,
}

/// Plays the rehearsal and prints its figures.
pub fn run(plan: &ScalePlan) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let measured = runtime.block_on(measure(plan))?;
    let text = serde_json::to_string_pretty(&measured)?;
    println!("{text}");
    if let Some(path) = &plan.out {
        fs::write(path, format!("{text}\n")).with_context(|| path.display().to_string())?;
    }
    Ok(())
}

/// The parts of a rehearsal, in order.
const PARTS: [&str; 8] = [
    "until all edges know all",
    "steady state",
    "changes",
    "a region cut off",
    "all edges start again",
    "all heads dark",
    "a day's changes",
    "the leader lost",
];

/// Tells on standard error how far the rehearsal is.
struct Progress(ProgressBar);

impl Progress {
    fn new() -> Result<Progress> {
        let bar = ProgressBar::new(PARTS.len() as u64);
        bar.set_style(ProgressStyle::with_template("{bar:28} {pos}/{len} {msg} {elapsed}")?);
        bar.enable_steady_tick(Duration::from_millis(250));
        bar.set_message(PARTS[0]);
        Ok(Progress(bar))
    }

    fn next(&self) {
        self.0.inc(1);
        let part = PARTS.get(self.0.position() as usize).copied();
        self.0.set_message(part.unwrap_or("done"));
    }
}

async fn measure(plan: &ScalePlan) -> Result<ScaleRun> {
    let progress = Progress::new()?;
    let mut stage = Stage::start(plan)?;
    let mut run = ScaleRun {
        edges: plan.edges,
        servers: plan.servers,
        models: plan.models,
        cores: plan.cores,
        ..ScaleRun::default()
    };
    let start = Instant::now();
    stage.change().await?;
    stage.until_all_know().await?;
    run.settled_ms = millis(start.elapsed());
    progress.next();
    stage.watch(plan.seconds, &mut run).await?;
    progress.next();
    stage.time_changes(plan.changes, &mut run).await?;
    progress.next();
    if plan.cut_seconds > 0 {
        stage.cut_a_region(plan.cut_seconds, &mut run).await?;
    }
    progress.next();
    if plan.restart_seconds > 0 {
        stage.restart_all(plan.restart_seconds, &mut run).await?;
    }
    progress.next();
    if plan.dark_seconds > 0 {
        stage.all_dark(plan.dark_seconds, &mut run).await?;
    }
    progress.next();
    if plan.day_changes > 0 {
        stage.play_a_day(plan.day_changes, &mut run).await?;
    }
    progress.next();
    run.leader_lost_ms = stage.lose_the_leader().await?;
    progress.next();
    progress.0.finish();
    Ok(run)
}
