//! A replica's data directory for a test.

use std::fs;
use std::path::PathBuf;

/// A data directory that is removed with the value.
pub struct DataDirectory {
    pub path: PathBuf,
}

impl DataDirectory {
    /// A path of its own for that name, at which there is nothing yet.
    pub fn new(name: &str) -> DataDirectory {
        let path = std::env::temp_dir().join(format!("pathbank-log-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        DataDirectory { path }
    }

    /// The log's file.
    pub fn log(&self) -> PathBuf {
        self.path.join("replica.log")
    }
}

impl Drop for DataDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
