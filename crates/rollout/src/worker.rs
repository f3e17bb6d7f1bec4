//! The states of a worker. A worker counts as holding a version only by its own report.

use crate::{Millis, Version, WorkerId};

/// A worker's report of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerReport {
    /// The incarnation.
    pub worker: WorkerId,
    /// Its failure domain.
    pub zone: String,
    /// The version of the model that is resident; `None`: the model is not resident.
    pub loaded_version: Option<Version>,
    /// It is carrying out an order.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub sequence: u64,
    /// Requests that it is running.
    pub active: u32,
    /// Requests that it can run at once (slots).
    pub capacity: u32,
}

/// The state of a worker in the rollout of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It serves, and the version that it holds is not known or the model is not resident.
    Serving,
    /// It gets no new requests of the model; those that it has end by `until`.
    Draining {
        /// When the remaining requests are moved.
        until: Millis,
    },
    /// It was ordered to load.
    Loading {
        /// Orders that it had accepted before this one.
        sequence: u64,
    },
    /// It serves, and its report, later than its last order, names this version.
    Verified(Version),
}

/// A worker as the leader knows it.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its last report.
    pub report: WorkerReport,
    /// When that report came.
    pub reported_at: Millis,
    state: WorkerState,
}

/// How long a report counts, milliseconds: a worker with an older one takes no part in a step that opens.
pub const REPORT_TTL_MS: Millis = 3_000;

impl Worker {
    /// A worker with its first report.
    pub fn new(now: Millis, report: WorkerReport) -> Worker {
        let mut worker = Worker { report, reported_at: now, state: WorkerState::Serving };
        worker.update_state();
        worker
    }

    /// Its state.
    pub fn state(&self) -> WorkerState {
        self.state
    }

    /// Changes the state; no other function does.
    fn set_state(&mut self, state: WorkerState) {
        self.state = state;
    }

    /// Takes a report. One that is older by its count of orders is ignored.
    pub fn observe_report(&mut self, now: Millis, report: WorkerReport) {
        if report.sequence < self.report.sequence {
            return;
        }
        (self.report, self.reported_at) = (report, now);
        self.update_state();
    }

    /// Derives the state from the last report.
    fn update_state(&mut self) {
        let loaded_version = self.report.loaded_version.filter(|_| !self.report.busy);
        match (self.state, loaded_version) {
            // The report is older than the order, so it does not show the order's effect.
            (WorkerState::Loading { sequence }, _) if self.report.sequence <= sequence => {}
            (
                WorkerState::Loading { .. } | WorkerState::Serving | WorkerState::Verified(_),
                Some(version),
            ) => {
                self.set_state(WorkerState::Verified(version));
            }
            (WorkerState::Verified(_), None) => self.set_state(WorkerState::Serving),
            _ => {}
        }
    }

    /// Takes the worker out of service until it has loaded; its requests end by `until`.
    pub fn drain(&mut self, until: Millis) {
        self.set_state(WorkerState::Draining { until });
    }

    /// The worker was ordered to load.
    pub fn load_ordered(&mut self) {
        self.set_state(WorkerState::Loading { sequence: self.report.sequence });
    }

    /// The order was rejected, or its end will not be known: the last report decides.
    pub fn order_failed(&mut self) {
        self.set_state(WorkerState::Serving);
        self.update_state();
    }

    /// Whether it takes requests.
    pub fn serves(&self) -> bool {
        matches!(self.state, WorkerState::Serving | WorkerState::Verified(_))
    }

    /// Whether it takes requests of the model.
    pub fn serves_model(&self) -> bool {
        self.serves() && self.report.loaded_version.is_some()
    }

    /// Whether a fresh report shows that it can generate with a version now.
    pub fn is_verified(&self, now: Millis, version: Version) -> bool {
        self.state == WorkerState::Verified(version) && now < self.reported_at + REPORT_TTL_MS
    }
}
