//! A replica's data directory for a test.

use std::fs;
use std::path::PathBuf;

/// A data directory that is removed when the value is dropped.
pub struct DataDirectory {
    pub path: PathBuf,
}

impl DataDirectory {
    /// A path for the test `name` of this process. Nothing exists at the path.
    pub fn new(name: &str) -> DataDirectory {
        let path = std::env::temp_dir().join(format!("pathbank-log-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        DataDirectory { path }
    }

    /// The path of the log file.
    pub fn log(&self) -> PathBuf {
        self.path.join("replica.log")
    }
}

impl Drop for DataDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
