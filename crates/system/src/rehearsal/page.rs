//! The tables of the capacity page, made from recorded rehearsals, so that page and runs agree.

use super::fit::Line;
use super::plot;
use super::scale::ScaleRun;
use anyhow::{Context, Result, ensure};
use clap::Args;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// The page's tables stand between these lines.
const BEGIN: &str = "<!-- tables: made by `pathbank-system capacity` from the recorded runs -->";
const END: &str = "<!-- end of tables -->";

/// Which page is written from which runs.
#[derive(Clone, Debug, Args)]
pub struct PageCommand {
    /// The folder with recorded runs.
    #[arg(long, default_value = "docs/capacity")]
    runs: PathBuf,
    /// The page.
    #[arg(long, default_value = "docs/CAPACITY.md")]
    page: PathBuf,
    /// Changes nothing, and fails where the page does not agree with the runs.
    #[arg(long)]
    check: bool,
    /// Draws each figure by size as SVG into this folder.
    #[arg(long)]
    plots: Option<PathBuf>,
}

struct Figure {
    name: &'static str,
    of: fn(&ScaleRun) -> f64,
}

/// The figures that are fitted against the number of edges.
const FIGURES: [Figure; 14] = [
    Figure { name: "busiest control head, cores", of: |run| run.core_cpu_most },
    Figure { name: "mean control head, cores", of: |run| run.core_cpu_mean },
    Figure { name: "largest control head, MB", of: |run| run.core_memory_mb },
    Figure { name: "to one edge, bytes a second", of: |run| run.edge_in_bytes_s },
    Figure { name: "from one edge, bytes a second", of: |run| run.edge_out_bytes_s },
    Figure { name: "one change to one edge, bytes", of: |run| run.change_bytes },
    Figure { name: "change in force, 99 in 100, ms", of: |run| run.change_p99_ms },
    Figure { name: "all edges know all model servers, ms", of: |run| run.settled_ms },
    Figure { name: "leader lost to next acknowledgement, ms", of: |run| run.leader_lost_ms },
    Figure { name: "a region back after a cut, ms", of: |run| run.region_back_ms },
    Figure { name: "its return, bytes to one edge", of: |run| run.region_back_bytes },
    Figure { name: "all edges started again: half know all, ms", of: |run| run.restart_p50_ms },
    Figure { name: "all edges started again: all know all, ms", of: |run| run.restart_most_ms },
    Figure { name: "busiest control head meanwhile, cores", of: |run| run.restart_core_cpu },
];

/// Writes or checks the page.
pub fn run(command: &PageCommand) -> Result<()> {
    let runs = read_runs(&command.runs)?;
    let page = fs::read_to_string(&command.page).with_context(|| command.page.display().to_string())?;
    let made = with_tables(&page, &tables(&runs)).context("the page has no place for the tables")?;
    if let Some(folder) = &command.plots {
        draw_all(folder, &runs)?;
    }
    if command.check {
        ensure!(made == page, "{} does not agree with {}", command.page.display(), command.runs.display());
        return Ok(());
    }
    fs::write(&command.page, made)?;
    Ok(())
}

/// Draws every figure by size; a file is named after its figure.
fn draw_all(folder: &Path, runs: &[ScaleRun]) -> Result<()> {
    fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    for figure in played(runs) {
        let words: Vec<&str> = figure
            .name
            .split(|letter: char| !letter.is_alphanumeric())
            .filter(|word| !word.is_empty())
            .collect();
        let path = folder.join(format!("{}.svg", words.join("-")));
        plot::draw(&path, figure.name, &points(figure, runs))?;
    }
    Ok(())
}

/// The figures that every run has; those of parts that a run did not play are 0 there.
fn played(runs: &[ScaleRun]) -> impl Iterator<Item = &'static Figure> {
    FIGURES.iter().filter(|figure| runs.iter().all(|run| (figure.of)(run) > 0.0))
}

fn points(figure: &Figure, runs: &[ScaleRun]) -> Vec<(f64, f64)> {
    runs.iter().map(|run| (run.edges as f64, (figure.of)(run))).collect()
}

/// The recorded runs of a folder, smallest first.
pub fn read_runs(folder: &Path) -> Result<Vec<ScaleRun>> {
    let entries = fs::read_dir(folder).with_context(|| folder.display().to_string())?;
    let mut runs = Vec::new();
    for entry in entries {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            let text = fs::read_to_string(&path)?;
            runs.push(serde_json::from_str::<ScaleRun>(&text).with_context(|| path.display().to_string())?);
        }
    }
    runs.sort_by_key(|run| (run.edges, run.servers));
    Ok(runs)
}

/// The page with its tables replaced; `None`: it has no place for them.
pub fn with_tables(page: &str, tables: &str) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    Some(format!("{before}{BEGIN}\n\n{tables}\n{END}{after}"))
}

/// The tables of some runs: the figures by size, and the lines through them.
pub fn tables(runs: &[ScaleRun]) -> String {
    let mut text = String::new();
    let heads: Vec<String> = runs.iter().map(|run| format!("{} / {}", run.edges, run.servers)).collect();
    let _ = writeln!(
        text,
        "| figure, at edges / model servers | {} | each edge adds | at 0 | residual |",
        heads.join(" | ")
    );
    let _ = writeln!(text, "| --- |{}", " ---: |".repeat(runs.len() + 3));
    for figure in played(runs) {
        let values: Vec<String> = runs.iter().map(|run| number((figure.of)(run))).collect();
        let line = match Line::through(&points(figure, runs)) {
            Some(line) if line.fits() => {
                format!("{} | {} | {:.3}", number(line.slope), number(line.base), line.residual)
            }
            Some(line) => format!("no line fits | | {:.3}", line.residual),
            None => "too few sizes | | ".into(),
        };
        let _ = writeln!(text, "| {} | {} | {line} |", figure.name, values.join(" | "));
    }
    text
}

/// A figure with three digits that count.
fn number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
