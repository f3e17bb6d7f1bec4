//! Plots of a rehearsal of training steps: which worker drew from which version, and how long each part of a step took.

use super::{StepFigures, StepsRun};
use anyhow::{Result, anyhow};
use plotters::prelude::*;
use std::collections::BTreeSet;
use std::path::Path;

const SIZE: (u32, u32) = (860, 360);
const LABEL: (&str, u32) = ("sans-serif", 18);
/// Versions that follow each other have colours that differ.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
];

fn failed(error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("plot: {error}")
}

/// A strip for each worker: the version that it drew from in each step. A worker that drew from two is split.
///
/// # Errors
///
/// The file cannot be written.
pub fn versions(path: &Path, run: &StepsRun) -> Result<()> {
    let machines: BTreeSet<&String> = run.steps.iter().flat_map(|step| step.drawn_by.keys()).collect();
    let machines: Vec<&String> = machines.into_iter().collect();
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let (columns, rows) = (run.steps.len().max(1), machines.len().max(1));
    let mut chart = ChartBuilder::on(&area)
        .caption("Version drawn from, by worker and step (white: it drew nothing)", LABEL)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..columns as f64, 0.0..rows as f64)
        .map_err(failed)?;
    chart.configure_mesh().disable_mesh().x_desc("step").y_desc("worker").draw().map_err(failed)?;
    for (column, step) in run.steps.iter().enumerate() {
        for (row, machine) in machines.iter().enumerate() {
            let Some(drawn) = step.drawn_by.get(*machine) else { continue };
            let height = 0.9 / drawn.len().max(1) as f64;
            for (part, version) in drawn.iter().enumerate() {
                let bottom = row as f64 + part as f64 * height;
                let corners = [(column as f64, bottom), (column as f64 + 0.95, bottom + height)];
                let colour = COLOURS[*version as usize % COLOURS.len()];
                chart.draw_series([Rectangle::new(corners, colour.filled())]).map_err(failed)?;
            }
        }
    }
    area.present().map_err(failed)
}

/// Bars for each step: until it was open, drawn, and sealed.
///
/// # Errors
///
/// The file cannot be written.
pub fn times(path: &Path, run: &StepsRun) -> Result<()> {
    let longest = run.steps.iter().map(|step| step.sealed_ms).max().unwrap_or(1);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Milliseconds until open (blue), drawn (green), sealed (orange); red: bound of a change-over",
            LABEL,
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..run.steps.len().max(1) as f64, 0..longest + longest / 10 + 1)
        .map_err(failed)?;
    chart.configure_mesh().x_desc("step").draw().map_err(failed)?;
    for (column, step) in run.steps.iter().enumerate() {
        let StepFigures { opened_ms, drawn_ms, sealed_ms, .. } = *step;
        let parts = [
            (COLOURS[0], 0, opened_ms),
            (COLOURS[2], opened_ms, drawn_ms),
            (COLOURS[1], drawn_ms, sealed_ms),
        ];
        for (colour, from, to) in parts {
            let corners = [(column as f64, from), (column as f64 + 0.95, to)];
            chart.draw_series([Rectangle::new(corners, colour.filled())]).map_err(failed)?;
        }
    }
    let bound = [(0.0, run.change_over_bound_ms), (run.steps.len() as f64, run.change_over_bound_ms)];
    chart.draw_series(LineSeries::new(bound, &RED)).map_err(failed)?;
    area.present().map_err(failed)
}
