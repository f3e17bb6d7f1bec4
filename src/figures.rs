//! The figures that operators read: counted where things end, once, from 0 at the program's start.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::{Duration, Instant};

/// What is counted for each class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// Answered by a node.
    Passed,
    /// Refused.
    Dropped,
    /// Failed.
    BadGateway,
    /// Attempts written whole to nodes.
    Tries,
}

/// The ends of requests, as their label says them.
const OUTCOMES: [(Count, &str); 3] =
    [(Count::Passed, "passed"), (Count::Dropped, "dropped"), (Count::BadGateway, "bad_gateway")];

#[derive(Debug, Default)]
struct Classes {
    /// In the order in which their names were first heard; none ever goes.
    rows: Vec<(String, [u64; 4])>,
    /// The row of each class number.
    row_of: Vec<usize>,
}

#[derive(Debug, Default)]
struct All {
    classes: Mutex<Classes>,
    in_progress: AtomicUsize,
    known: AtomicUsize,
    skipped: AtomicUsize,
    loads: AtomicU64,
    load_errors: AtomicU64,
    silences: AtomicU64,
    overdue: AtomicU64,
    overdue_ms: AtomicU64,
    /// When the core last said that it runs.
    beat: Mutex<Option<Instant>>,
}

/// One registry, whoever holds it.
#[derive(Clone, Debug, Default)]
pub struct Figures(Arc<All>);

impl Figures {
    fn classes(&self) -> MutexGuard<'_, Classes> {
        self.0.classes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The names of the class numbers. A name that was there before keeps what it counted, under any number.
    pub fn name_classes(&self, names: &[String]) {
        let mut classes = self.classes();
        let Classes { rows, row_of } = &mut *classes;
        // A front's own class has no name, and counts nowhere.
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

    /// A class without a name (another front's own) is counted nowhere.
    pub fn count(&self, class: usize, what: Count) {
        let mut classes = self.classes();
        let row = classes.row_of.get(class).copied().unwrap_or(usize::MAX);
        if let Some((_, counts)) = classes.rows.get_mut(row) {
            counts[what as usize] += 1;
        }
    }

    /// A request is taken; it counts as in progress until the value is dropped.
    pub fn taken(&self) -> InProgress {
        self.0.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    /// Open requests.
    pub fn in_progress(&self) -> usize {
        self.0.in_progress.load(Ordering::Relaxed)
    }

    /// Nodes on the list, and those of them that are avoided now.
    pub fn set_storage_nodes(&self, known: usize, skipped: usize) {
        self.0.known.store(known, Ordering::Relaxed);
        self.0.skipped.store(skipped, Ordering::Relaxed);
    }

    /// Nodes on the list.
    pub fn known_nodes(&self) -> usize {
        self.0.known.load(Ordering::Relaxed)
    }

    /// A configuration was read again.
    pub fn loaded(&self, taken: bool) {
        let count = if taken { &self.0.loads } else { &self.0.load_errors };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// A watch on the list of nodes has fallen silent.
    pub fn silence(&self) {
        self.0.silences.fetch_add(1, Ordering::Relaxed);
    }

    /// The list is overdue now, or has been for so many milliseconds and is good again.
    pub fn list(&self, good_after_ms: Option<u64>) {
        self.0.overdue.store(u64::from(good_after_ms.is_none()), Ordering::Relaxed);
        self.0.overdue_ms.fetch_add(good_after_ms.unwrap_or(0), Ordering::Relaxed);
    }

    /// The core runs, and has told its figures.
    pub fn beat(&self, now: Instant) {
        *self.0.beat.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    /// How long the core's event loop has not reported.
    pub fn silent_for(&self, now: Instant) -> Duration {
        let beat = *self.0.beat.lock().unwrap_or_else(PoisonError::into_inner);
        beat.map_or(Duration::MAX, |beat| now.saturating_duration_since(beat))
    }

    /// One figure a line.
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
        let all = &self.0;
        for (name, value) in [
            ("in_progress", all.in_progress.load(Ordering::Relaxed) as u64),
            ("known_bricks", all.known.load(Ordering::Relaxed) as u64),
            ("skipped_bricks", all.skipped.load(Ordering::Relaxed) as u64),
            ("loads", all.loads.load(Ordering::Relaxed)),
            ("load_errors", all.load_errors.load(Ordering::Relaxed)),
            ("list_silences", all.silences.load(Ordering::Relaxed)),
            ("list_overdue", all.overdue.load(Ordering::Relaxed)),
            ("list_overdue_ms", all.overdue_ms.load(Ordering::Relaxed)),
        ] {
            line(name, "", value);
        }
        text
    }
}

/// Counts one open request until it is dropped.
#[derive(Debug)]
pub struct InProgress(Figures);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
