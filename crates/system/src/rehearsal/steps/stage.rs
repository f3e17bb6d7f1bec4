//! The processes of a rehearsal of training steps: cores, edges, workers with a store.

use super::StepsPlan;
use super::faults::Fault;
use crate::command::call;
use crate::local::{LocalPlan, LocalSystem, Process, until};
use crate::stand_in::drawn::{self, DrawnLine};
use crate::stand_in::store::WeightStore;
use anyhow::{Context, Result};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(30);
const ZONES: u8 = 3;
/// Loads a second that the store permits, for each worker.
const LOADS_PER_WORKER_S: f64 = 1.0;

struct Worker {
    address: SocketAddr,
    drawn: PathBuf,
    process: Process,
}

/// All processes.
pub struct Stage {
    system: LocalSystem,
    workers: Vec<Worker>,
    /// The weights' versions.
    pub store: WeightStore,
}

impl Stage {
    /// Starts all of it, and waits until it serves.
    ///
    /// # Errors
    ///
    /// A process cannot be started, or nothing is served in time.
    pub fn start(plan: &StepsPlan) -> Result<Stage> {
        let program = std::env::current_exe()?;
        let local = LocalPlan { program, cores: plan.cores, edges: plan.edges, zones: ZONES, quiet: true };
        let mut system = LocalSystem::new(&local)?;
        system.start()?;
        let store_file = system.folder.join("store");
        let store = WeightStore::File(store_file.clone());
        store.publish()?;
        let mut stage = Stage { system, workers: Vec::new(), store };
        for number in 0..plan.workers {
            let worker = stage.worker(plan, number, &store_file)?;
            stage.workers.push(worker);
        }
        stage.workers.iter_mut().try_for_each(|worker| worker.process.start())?;
        let document = document(plan);
        let control = stage.control().to_vec();
        until("the configuration is taken", TIMEOUT, || {
            control.iter().any(|control| {
                call(*control, "POST", "/api/config/replace", Some(0), &document)
                    .is_ok_and(|answer| answer.status == 200)
            })
        })?;
        let readiness: Vec<SocketAddr> = stage.system.edges.iter().map(|edge| edge.readiness).collect();
        until("all edge heads are ready", TIMEOUT, || {
            readiness.iter().all(|head| {
                call(*head, "GET", "/api/readyz", None, "").is_ok_and(|answer| answer.status == 200)
            })
        })?;
        Ok(stage)
    }

    fn worker(&self, plan: &StepsPlan, number: u8, store: &std::path::Path) -> Result<Worker> {
        let address = self.system.server_address(number)?;
        let name = format!("w{number}");
        let drawn = self.system.folder.join(format!("{name}.drawn"));
        let control: Vec<String> = self.control().iter().map(SocketAddr::to_string).collect();
        let zone = format!("z{}", number % ZONES + 1);
        let numbers =
            [plan.load_ms, plan.pieces.into(), plan.pause_ms, plan.capacity.into()].map(|n| n.to_string());
        let [load_ms, pieces, pause_ms, capacity] = &numbers;
        let arguments = [
            "stand-in",
            "--name",
            &name,
            "--backend",
            "llm",
            "--zone",
            &zone,
            "--models",
            "m1",
            "--listen",
            &address.to_string(),
            "--control",
            &control.join(","),
            "--store",
            &store.display().to_string(),
            "--drawn",
            &drawn.display().to_string(),
            "--load-ms",
            load_ms,
            "--pieces",
            pieces,
            "--pause-ms",
            pause_ms,
            "--capacity",
            capacity,
        ];
        let process = Process::new(&name, &std::env::current_exe()?, &arguments, true);
        Ok(Worker { address, drawn, process })
    }

    /// The control planes.
    pub fn control(&self) -> &[SocketAddr] {
        &self.system.control
    }

    /// Where clients come in.
    pub fn ingress(&self) -> Vec<SocketAddr> {
        self.system.edges.iter().map(|edge| edge.ingress).collect()
    }

    fn leader(&self) -> Option<usize> {
        let leads = |control: &SocketAddr| {
            call(*control, "GET", "/api/status", None, "")
                .is_ok_and(|answer| answer.body.contains("\"role\":\"Leader\""))
        };
        self.control().iter().position(leads)
    }

    /// Whom a fault strikes; `None`: nobody could be struck now.
    pub fn target(
        &self,
        fault: Fault,
        drawn: usize,
        mut ill: impl Iterator<Item = (Fault, usize)>,
    ) -> Option<usize> {
        let kind = kind_of(fault);
        let target = match kind {
            Kind::Worker => drawn % self.workers.len(),
            Kind::Edge => drawn % self.system.edges.len(),
            Kind::Core if fault == Fault::FreezeCore => drawn % self.system.cores.len(),
            Kind::Core => self.leader()?,
            Kind::Store => 0,
        };
        // One core or one edge at a time; of workers any, but none twice.
        let is_ill = ill.any(|(other, of)| kind_of(other) == kind && (kind != Kind::Worker || of == target));
        (!is_ill).then_some(target)
    }

    /// Something goes wrong.
    ///
    /// # Errors
    ///
    /// A file cannot be written.
    pub fn strike(&mut self, fault: Fault, target: usize) -> Result<()> {
        match fault {
            Fault::KillWorker => self.workers[target].process.kill(),
            Fault::FreezeWorker => self.workers[target].process.freeze(),
            Fault::WorkerLies => self.tell_worker(target, "lies"),
            Fault::WorkerTellsNoVersion => self.tell_worker(target, "tells_no_version"),
            Fault::LoadSticks => self.tell_worker(target, "load_sticks"),
            Fault::Publish => drop(self.store.publish()?),
            Fault::KillLeader => self.system.cores[target].kill(),
            Fault::LeaderLosesDisk => {
                self.system.cores.iter_mut().for_each(Process::kill);
                fs::remove_dir_all(self.system.data(target)).context("the leader's disk")?;
                self.system.cores[target].allow_bootstrap(false)?;
            }
            Fault::FreezeCore => self.system.cores[target].freeze(),
            Fault::KillEdge => self.system.edges[target].process.kill(),
            Fault::FreezeEdge => self.system.edges[target].process.freeze(),
        }
        Ok(())
    }

    /// It is well again.
    ///
    /// # Errors
    ///
    /// A process cannot be started.
    pub fn repair(&mut self, fault: Fault, target: usize) -> Result<()> {
        match fault {
            Fault::KillWorker => self.workers[target].process.start()?,
            Fault::FreezeWorker => self.workers[target].process.thaw(),
            Fault::WorkerLies | Fault::WorkerTellsNoVersion => self.tell_worker(target, "none"),
            Fault::LoadSticks => {
                self.workers[target].process.kill();
                self.workers[target].process.start()?;
            }
            Fault::Publish => {}
            Fault::KillLeader | Fault::LeaderLosesDisk => {
                self.system.cores.iter_mut().try_for_each(Process::start)?;
            }
            Fault::FreezeCore => self.system.cores[target].thaw(),
            Fault::KillEdge => self.system.edges[target].process.start()?,
            Fault::FreezeEdge => self.system.edges[target].process.thaw(),
        }
        Ok(())
    }

    fn tell_worker(&self, target: usize, fault: &str) {
        // A worker that is down at the moment comes back without a fault.
        let _ = call(self.workers[target].address, "POST", "/stand-in/fault", None, &format!("\"{fault}\""));
    }

    /// What all workers drew, in all their lives.
    ///
    /// # Errors
    ///
    /// A worker's file cannot be read.
    pub fn drawn(&self) -> Result<Vec<DrawnLine>> {
        let mut lines = Vec::new();
        for worker in &self.workers {
            let text =
                fs::read_to_string(&worker.drawn).with_context(|| worker.drawn.display().to_string())?;
            lines.extend(drawn::read_lines(&text));
        }
        Ok(lines)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Core,
    Edge,
    Worker,
    Store,
}

fn kind_of(fault: Fault) -> Kind {
    match fault {
        Fault::KillWorker
        | Fault::FreezeWorker
        | Fault::WorkerLies
        | Fault::WorkerTellsNoVersion
        | Fault::LoadSticks => Kind::Worker,
        Fault::Publish => Kind::Store,
        Fault::KillLeader | Fault::LeaderLosesDisk | Fault::FreezeCore => Kind::Core,
        Fault::KillEdge | Fault::FreezeEdge => Kind::Edge,
    }
}

/// Loads a second that the store permits.
pub fn loads_per_s(plan: &StepsPlan) -> f64 {
    LOADS_PER_WORKER_S * f64::from(plan.workers)
}

fn document(plan: &StepsPlan) -> String {
    serde_json::json!({
        "version": 1,
        "routes": [{ "name": "r1", "hostname": "shop.example", "path_prefix": "/llm/", "type": "streaming",
            "timeout_ms": 5_000, "target_latency_ms": 1_000, "priority": 0, "backend": "llm", "max_attempts": 3,
            "resumable": true, "session_affinity": true }],
        "backends": [{ "name": "llm", "runtime": { "capacity": plan.capacity, "kv_capacity": 100_000,
            "weights_mb": 100.0, "max_adapters": 2, "loads_per_s": loads_per_s(plan), "stride": 3, "models": [
                { "name": "m1", "weights_mb": 40.0, "load_s": plan.load_ms as f64 / 1_000.0, "adapters": 0,
                  "adapter_mb": 1.0 }] } }],
    })
    .to_string()
}
