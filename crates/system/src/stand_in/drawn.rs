//! What a stand-in model server really drew for training steps, for an audit: kept in memory, and appended to
//! a file where one is named, so that it outlives the process.

use pathbank_rollout::audit::EngineRecord;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// One token, or the end, of a generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DrawnLine {
    /// The request's id, which names step, epoch and prompt.
    id: String,
    /// The model server's incarnation.
    worker: String,
    /// The version that it was drawn from.
    version: u64,
    /// The machine's time of day, milliseconds.
    at: u64,
    /// It was the last one.
    complete: bool,
}

/// What a model server drew.
#[derive(Debug, Default)]
pub struct DrawnLog {
    lines: Mutex<Vec<DrawnLine>>,
    file: Option<Mutex<File>>,
}

impl DrawnLog {
    /// One that appends to a file.
    ///
    /// # Errors
    ///
    /// The file cannot be opened.
    pub fn at(path: &Path) -> std::io::Result<DrawnLog> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(DrawnLog { lines: Mutex::default(), file: Some(Mutex::new(file)) })
    }

    /// A token was drawn. Requests that are no generations of a step are left out.
    pub fn note(&self, id: &str, worker: &str, version: u64, at: u64, complete: bool) {
        if !id.starts_with(STEP_PREFIX) {
            return;
        }
        let line = DrawnLine { id: id.to_owned(), worker: worker.to_owned(), version, at, complete };
        if let Some(file) = &self.file {
            let text = serde_json::to_string(&line).unwrap_or_default();
            let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
            // What an audit does not see it cannot praise: a line that is lost shows as a missing generation.
            let _ = file.write_all(format!("{text}\n").as_bytes());
        }
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<DrawnLine> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

const STEP_PREFIX: &str = "step-";

/// The lines of a file; one that was cut short by a kill is left out.
pub fn read_lines(text: &str) -> Vec<DrawnLine> {
    text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// Generations out of their tokens.
pub fn generations(lines: &[DrawnLine]) -> Vec<EngineRecord> {
    let mut by_id: BTreeMap<&str, EngineRecord> = BTreeMap::new();
    for line in lines {
        let Some((step, epoch, prompt)) = names(&line.id) else { continue };
        let drawn = by_id.entry(&line.id).or_insert_with(|| EngineRecord {
            step,
            epoch,
            prompt,
            worker: line.worker.clone(),
            versions: Vec::new(),
            began: line.at,
            ended: line.at,
            complete: false,
        });
        if drawn.versions.last() != Some(&line.version) {
            drawn.versions.push(line.version);
        }
        drawn.ended = drawn.ended.max(line.at);
        drawn.complete |= line.complete;
    }
    by_id.into_values().collect()
}

/// Step, epoch and prompt of a generation's id.
fn names(id: &str) -> Option<(u64, u64, u64)> {
    let mut parts = id.strip_prefix(STEP_PREFIX)?.split('.').map(|part| part.parse().ok());
    Some((parts.next()??, parts.next()??, parts.next()??))
}
