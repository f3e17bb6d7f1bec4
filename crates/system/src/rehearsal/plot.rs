//! Plots of recorded rehearsals: each figure by size, with the line that was fitted, as SVG.

use super::fit::Line;
use anyhow::{Result, anyhow};
use plotters::prelude::*;
use std::path::Path;

const WIDTH: u32 = 640;
const HEIGHT: u32 = 400;
/// Room above the largest figure, as a part of it.
const HEADROOM: f64 = 1.15;

/// Draws a figure's points, and its line where it fits, to a file.
pub fn draw(path: &Path, title: &str, points: &[(f64, f64)]) -> Result<()> {
    let failed = |error: &dyn std::fmt::Display| anyhow!("{}: {error}", path.display());
    let area = SVGBackend::new(path, (WIDTH, HEIGHT)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let most = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(0.0, f64::max).max(f64::MIN_POSITIVE);
    let (widest, highest) = (most(|(size, _)| *size), most(|(_, figure)| *figure));
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(72)
        .build_cartesian_2d(0.0..widest * HEADROOM, 0.0..highest * HEADROOM)
        .map_err(|error| failed(&error))?;
    chart.configure_mesh().x_desc("edge heads").draw().map_err(|error| failed(&error))?;
    let dots = points.iter().map(|point| Circle::new(*point, 4, BLUE.filled()));
    chart.draw_series(dots).map_err(|error| failed(&error))?;
    if let Some(line) = Line::through(points).filter(Line::fits) {
        let ends = [0.0, widest * HEADROOM].map(|size| (size, line.at(size).max(0.0)));
        chart.draw_series(LineSeries::new(ends, &RED)).map_err(|error| failed(&error))?;
    }
    area.present().map_err(|error| failed(&error))
}
