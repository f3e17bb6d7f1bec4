//! A worker's states, each entered with its evidence.

use crate::{Millis, Version, WorkerId};

/// What a worker reported of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// The incarnation.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: String,
    /// The version of the model that it holds; `None`: it does not hold it.
    pub loaded_version: Option<Version>,
    /// An order is under way.
    pub busy: bool,
    /// Orders that it took since its start.
    pub sequence: u64,
    /// Requests that it runs.
    pub active: u32,
    /// Requests that it can run at once.
    pub capacity: u32,
}

/// Where a worker stands in a change of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It serves; nothing is asked of it.
    Serving,
    /// It gets nothing new of the model; what it has ends, at the latest at this time.
    Draining {
        /// When what is left is moved.
        until: Millis,
    },
    /// It was ordered to load; `sequence`: its orders before that.
    Loading {
        /// Orders that it had taken before.
        sequence: u64,
    },
    /// Its own report, after its last order, says that it holds this version.
    Verified(Version),
}

/// A worker as the leader knows it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its last report.
    pub report: WorkerReport,
    /// When that came.
    pub reported_at: Millis,
    state: WorkerState,
}

/// A worker that has said nothing for so long takes no part in a step that begins, milliseconds.
pub const REPORT_TTL_MS: Millis = 3_000;

impl Worker {
    /// A worker that reported for the first time. What it holds is known from that report.
    pub fn new(now: Millis, report: WorkerReport) -> Worker {
        let mut worker = Worker { report, reported_at: now, state: WorkerState::Serving };
        worker.look();
        worker
    }

    /// Where it stands.
    pub fn state(&self) -> WorkerState {
        self.state
    }

    /// The one function that changes a worker's state.
    fn enter(&mut self, state: WorkerState) {
        self.state = state;
    }

    /// A report came. An older one, by the orders that it counts, changes nothing.
    pub fn observe_report(&mut self, now: Millis, report: WorkerReport) {
        if report.sequence < self.report.sequence {
            return;
        }
        (self.report, self.reported_at) = (report, now);
        self.look();
    }

    /// What its last report says of its state.
    fn look(&mut self) {
        let loaded_version = self.report.loaded_version.filter(|_| !self.report.busy);
        match (self.state, loaded_version) {
            // A report from before the order says nothing of what it brought.
            (WorkerState::Loading { sequence }, _) if self.report.sequence <= sequence => {}
            (
                WorkerState::Loading { .. } | WorkerState::Serving | WorkerState::Verified(_),
                Some(version),
            ) => {
                self.enter(WorkerState::Verified(version));
            }
            (WorkerState::Verified(_), None) => self.enter(WorkerState::Serving),
            _ => {}
        }
    }

    /// It is to get nothing new until it has loaded.
    pub fn drain(&mut self, until: Millis) {
        self.enter(WorkerState::Draining { until });
    }

    /// It was ordered to load.
    pub fn ordered(&mut self) {
        self.enter(WorkerState::Loading { sequence: self.report.sequence });
    }

    /// The order was turned away, or nothing more will be heard of it.
    pub fn order_failed(&mut self) {
        self.enter(WorkerState::Serving);
        self.look();
    }

    /// Whether it takes requests.
    pub fn serves(&self) -> bool {
        matches!(self.state, WorkerState::Serving | WorkerState::Verified(_))
    }

    /// Whether requests of the model would miss it.
    pub fn serves_model(&self) -> bool {
        self.serves() && self.report.loaded_version.is_some()
    }

    /// Whether it can draw from a version now, as far as its own fresh word says.
    pub fn is_verified(&self, now: Millis, version: Version) -> bool {
        self.state == WorkerState::Verified(version) && now < self.reported_at + REPORT_TTL_MS
    }

    /// Requests that it could run beside those it has.
    pub fn idle_slots(&self) -> u32 {
        self.report.capacity.saturating_sub(self.report.active)
    }
}
