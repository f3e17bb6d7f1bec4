//! The training of one model at the leader: its step controller and its workers.

use super::workers::{PreviousSelection, WorkerSelection, worker_report};
use crate::core::orders::OrderOutcome;
use pathbank_protocol::message::ModelServer;
use pathbank_rollout::controller::StepController;
use std::collections::{BTreeMap, BTreeSet};

/// Between requests for the report of a worker that changes its version.
const CHANGING_WORKER_POLL_INTERVAL_MS: u64 = 250;
/// Between requests for the report of another worker.
const WORKER_POLL_INTERVAL_MS: u64 = 1_000;

/// How far a worker is on its way to another version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangePhase {
    /// It gets no new requests of the model.
    Draining,
    /// The order to unload the present version is in progress.
    Unloading,
    /// The order to load the newest version is in progress.
    Loading,
}

/// The training of one model.
#[derive(Debug)]
pub struct ModelTraining {
    backend: String,
    controller: StepController,
    /// Instance ids of the workers.
    workers: BTreeSet<String>,
    /// Workers that change their version.
    changing: BTreeMap<String, ChangePhase>,
    /// When each worker's report is requested next.
    next_poll_at: BTreeMap<String, u64>,
}

impl ModelTraining {
    /// The training of a model of `backend`, without workers.
    pub fn new(backend: String, controller: StepController) -> ModelTraining {
        ModelTraining {
            backend,
            controller,
            workers: BTreeSet::new(),
            changing: BTreeMap::new(),
            next_poll_at: BTreeMap::new(),
        }
    }

    /// The service of the model.
    pub fn backend(&self) -> &str {
        &self.backend
    }

    /// The step controller.
    pub fn controller(&self) -> &StepController {
        &self.controller
    }

    /// The step controller, for its inputs.
    pub fn controller_mut(&mut self) -> &mut StepController {
        &mut self.controller
    }

    /// Instance ids of the workers.
    pub fn workers(&self) -> &BTreeSet<String> {
        &self.workers
    }

    /// Workers that change their version.
    pub fn changing(&self) -> &BTreeMap<String, ChangePhase> {
        &self.changing
    }

    /// The present selection of workers.
    pub fn selection(&self) -> PreviousSelection {
        PreviousSelection { workers: self.workers.clone(), changing: self.changing.keys().cloned().collect() }
    }

    /// Takes over a selection of workers. The step controller forgets those that are no longer among them.
    pub fn select(&mut self, selection: WorkerSelection) {
        self.controller.set_settings(selection.settings);
        for worker in self.workers.difference(&selection.chosen) {
            self.controller.remove_worker(worker);
            self.changing.remove(worker);
            self.next_poll_at.remove(worker);
        }
        self.workers = selection.chosen;
    }

    /// Workers whose report has to be requested now.
    pub fn take_due_polls(&mut self, now: u64) -> Vec<String> {
        let mut due = Vec::new();
        for worker in &self.workers {
            if now >= self.next_poll_at.get(worker).copied().unwrap_or(0) {
                let is_changing = self.changing.contains_key(worker);
                let interval_ms =
                    if is_changing { CHANGING_WORKER_POLL_INTERVAL_MS } else { WORKER_POLL_INTERVAL_MS };
                self.next_poll_at.insert(worker.clone(), now + interval_ms);
                due.push(worker.clone());
            }
        }
        due
    }

    /// A worker has reached a phase of its change.
    pub fn set_phase(&mut self, worker: &str, phase: ChangePhase) {
        self.changing.insert(worker.to_owned(), phase);
    }

    /// The last order of a worker's change to another version of the model has ended. `server`: the worker, if it is still
    /// registered.
    pub fn on_order_finished(
        &mut self,
        now: u64,
        model: &str,
        server: Option<&ModelServer>,
        outcome: &OrderOutcome,
    ) {
        let OrderOutcome { order, report, .. } = outcome;
        self.changing.remove(&order.instance);
        match (server, report) {
            (Some(server), Some(report)) => {
                self.controller.observe_report(now, worker_report(server, model, report));
            }
            _ => self.controller.order_failed(&order.instance),
        }
        let stuck = self.controller.workers().get(&order.instance).is_some_and(|worker| !worker.serves());
        if stuck {
            self.controller.order_failed(&order.instance);
        }
    }
}
