//! The weight store of stand-in model servers: which version of a model a load brings in.

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

/// The version that a store begins with.
const FIRST_VERSION: u64 = 1;

/// The newest version of all models.
#[derive(Debug)]
pub enum WeightStore {
    /// For model servers of one process.
    Memory(AtomicU64),
    /// For model servers of several: the number stands in a file.
    File(PathBuf),
}

impl Default for WeightStore {
    fn default() -> WeightStore {
        WeightStore::Memory(AtomicU64::new(FIRST_VERSION))
    }
}

impl WeightStore {
    /// The newest version. A file that cannot be read holds the first one.
    pub fn newest(&self) -> u64 {
        match self {
            WeightStore::Memory(version) => version.load(Ordering::Relaxed),
            WeightStore::File(path) => fs::read_to_string(path)
                .ok()
                .and_then(|text| text.trim().parse().ok())
                .unwrap_or(FIRST_VERSION),
        }
    }

    /// Publishes one more version, and returns it.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn publish(&self) -> std::io::Result<u64> {
        match self {
            WeightStore::Memory(version) => Ok(version.fetch_add(1, Ordering::Relaxed) + 1),
            WeightStore::File(path) => {
                let next = self.newest() + 1;
                // Readers see the number before or the one after, never half of it.
                let written = path.with_extension("next");
                fs::write(&written, next.to_string())?;
                fs::rename(&written, path)?;
                Ok(next)
            }
        }
    }
}
