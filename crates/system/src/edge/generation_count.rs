//! The number of generations that an edge draws at the moment.

use std::sync::atomic::AtomicUsize;

/// Generations that this edge draws.
#[derive(Debug, Default)]
pub struct GenerationCount {
    /// Their number.
    pub running: AtomicUsize,
}
