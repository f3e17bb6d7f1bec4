//! The number of generations that an edge runs at the moment.

use std::sync::atomic::AtomicUsize;

/// Counts the generations that this edge runs.
#[derive(Debug, Default)]
pub struct GenerationCount {
    /// How many run at the moment.
    pub running: AtomicUsize,
}
