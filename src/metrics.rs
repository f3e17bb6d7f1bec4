//! The metrics that operators read. A request is counted once, when it ends, unless its client left before;
//! an attempt is counted when its last byte is written. Probes and requests of classes without a name are
//! not counted. Counts start at 0 with the process.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::{Duration, Instant};

/// What is counted for each class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// Answered by a node.
    Passed,
    /// Refused, also because too many requests were open.
    Dropped,
    /// Failed.
    BadGateway,
    /// Attempts written completely to a node.
    Tries,
}

/// The outcomes of requests with the values of their label.
const OUTCOMES: [(Count, &str); 3] =
    [(Count::Passed, "passed"), (Count::Dropped, "dropped"), (Count::BadGateway, "bad_gateway")];

/// The counts of the classes.
#[derive(Debug, Default)]
struct Classes {
    /// Name and counts of each class, in the order in which the names first appeared; rows are never removed.
    rows: Vec<(String, [u64; 4])>,
    /// The row of each class number; `usize::MAX`: none.
    row_of: Vec<usize>,
}

/// The values of the metrics.
#[derive(Debug, Default)]
struct Values {
    classes: Mutex<Classes>,
    in_progress: AtomicUsize,
    known: AtomicUsize,
    skipped: AtomicUsize,
    loads: AtomicU64,
    load_errors: AtomicU64,
    silences: AtomicU64,
    overdue: AtomicU64,
    overdue_ms: AtomicU64,
    /// When the event loop last reported.
    reported_at: Mutex<Option<Instant>>,
}

/// A handle to the metrics; all clones share them.
#[derive(Clone, Debug, Default)]
pub struct Metrics(Arc<Values>);

impl Metrics {
    /// Locks the counts of the classes.
    fn classes(&self) -> MutexGuard<'_, Classes> {
        self.0.classes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the names of the class numbers. A name that is already known keeps its counts, whatever its
    /// number.
    pub fn name_classes(&self, names: &[String]) {
        let mut classes = self.classes();
        let Classes { rows, row_of } = &mut *classes;
        // A class that a front adds has no name and is not counted.
        let row = |name: &String| {
            if name.is_empty() {
                return usize::MAX;
            }
            rows.iter().position(|(known, _)| known == name).unwrap_or_else(|| {
                rows.push((name.clone(), [0; 4]));
                rows.len() - 1
            })
        };
        *row_of = names.iter().map(row).collect();
    }

    /// Counts an event of a class. A class without a name, which a front added, is not counted.
    pub fn count(&self, class: usize, what: Count) {
        let mut classes = self.classes();
        let row = classes.row_of.get(class).copied().unwrap_or(usize::MAX);
        if let Some((_, counts)) = classes.rows.get_mut(row) {
            counts[what as usize] += 1;
        }
    }

    /// Counts a request as in progress until the returned value is dropped.
    pub fn track_open(&self) -> InProgress {
        self.0.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// The number of open requests.
    pub fn in_progress(&self) -> usize {
        self.0.in_progress.load(Ordering::Relaxed)
    }

    /// Sets the number of nodes on the list, and the number of those that are skipped now.
    pub fn set_storage_nodes(&self, known: usize, skipped: usize) {
        self.0.known.store(known, Ordering::Relaxed);
        self.0.skipped.store(skipped, Ordering::Relaxed);
    }

    /// The number of nodes on the list.
    pub fn known_nodes(&self) -> usize {
        self.0.known.load(Ordering::Relaxed)
    }

    /// Counts a reload of the configuration, by whether it was accepted.
    pub fn loaded(&self, accepted: bool) {
        let count = if accepted { &self.0.loads } else { &self.0.load_errors };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts that a watch on the node list became silent.
    pub fn count_silence(&self) {
        self.0.silences.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets whether the node list is overdue. `Some`: it is up to date again after that many milliseconds;
    /// `None`: it is overdue.
    pub fn set_list_state(&self, good_after_ms: Option<u64>) {
        self.0.overdue.store(u64::from(good_after_ms.is_none()), Ordering::Relaxed);
        self.0.overdue_ms.fetch_add(good_after_ms.unwrap_or(0), Ordering::Relaxed);
    }

    /// Records that the event loop runs and has updated its metrics.
    pub fn report_alive(&self, now: Instant) {
        *self.0.reported_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// Returns the time since the event loop last reported.
    pub fn silent_for(&self, now: Instant) -> Duration {
        let reported_at = *self.0.reported_at.lock().unwrap_or_else(PoisonError::into_inner);
        reported_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Returns the metrics as text, one per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, labels: &str, value: u64| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "edge_gw_{name}{labels} {value}");
        };
        for (name, counts) in &self.classes().rows {
            let name = name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
            for (count, outcome) in OUTCOMES {
                let labels = format!("{{category=\"{name}\",outcome=\"{outcome}\"}}");
                line("handled", &labels, counts[count as usize]);
            }
            line("upstream_tries", &format!("{{category=\"{name}\"}}"), counts[Count::Tries as usize]);
        }
        let values = &self.0;
        for (name, value) in [
            ("in_progress", values.in_progress.load(Ordering::Relaxed) as u64),
            ("known_bricks", values.known.load(Ordering::Relaxed) as u64),
            ("skipped_bricks", values.skipped.load(Ordering::Relaxed) as u64),
            ("loads", values.loads.load(Ordering::Relaxed)),
            ("load_errors", values.load_errors.load(Ordering::Relaxed)),
            ("list_silences", values.silences.load(Ordering::Relaxed)),
            ("list_overdue", values.overdue.load(Ordering::Relaxed)),
            ("list_overdue_ms", values.overdue_ms.load(Ordering::Relaxed)),
        ] {
            line(name, "", value);
        }
        text
    }
}

/// Counts one open request until it is dropped.
#[derive(Debug)]
pub struct InProgress(Metrics);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
