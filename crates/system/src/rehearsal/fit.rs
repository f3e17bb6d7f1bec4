//! A straight line through measured figures, by least squares, and what it says at another size.

/// A line `base + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The figure at size 0.
    pub base: f64,
    /// What the figure grows by with each unit of size.
    pub slope: f64,
    /// The part of the figures' variation that the line leaves unexplained; 0 is a perfect fit, 1 none at all.
    pub residual: f64,
}

/// Sizes that a fit needs at least.
pub const LEAST_SIZES: usize = 4;
/// A line that leaves more than this is no fit.
const MOST_RESIDUAL: f64 = 0.1;

impl Line {
    /// The line through `(size, figure)` pairs. `None`: fewer than [`LEAST_SIZES`] different sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let mut sizes: Vec<f64> = points.iter().map(|(size, _)| *size).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        if sizes.len() < LEAST_SIZES {
            return None;
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean = points.iter().map(|(_, figure)| figure).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let joint: f64 = points.iter().map(|(size, figure)| (size - mean_size) * (figure - mean)).sum();
        let slope = joint / spread;
        let base = mean - slope * mean_size;
        let total: f64 = points.iter().map(|(_, figure)| (figure - mean).powi(2)).sum();
        let left: f64 = points.iter().map(|(size, figure)| (figure - base - slope * size).powi(2)).sum();
        let residual = if total > 0.0 { left / total } else { 0.0 };
        Some(Line { base, slope, residual })
    }

    /// The figure at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }

    /// Whether the line explains the figures.
    pub fn fits(&self) -> bool {
        self.residual <= MOST_RESIDUAL
    }
}
