//! What goes wrong, at seeded moments.

use super::super::engine::Running;
use super::{BURST_MS, LEASE_MS, World};
use pathbank_rollout::controller::{DrawEnd, DrawOutcome};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill,
    Freeze,
    PartitionedFromCores,
    PartitionedFromEdges,
    Publish,
    WrongVersion,
    NoVersion,
    HungLoad,
    KillLeader,
    Burst,
    LateResult,
    ZoneLost,
}

impl Fault {
    pub const ALL: [Fault; 12] = [
        Fault::Kill,
        Fault::Freeze,
        Fault::PartitionedFromCores,
        Fault::PartitionedFromEdges,
        Fault::Publish,
        Fault::WrongVersion,
        Fault::NoVersion,
        Fault::HungLoad,
        Fault::KillLeader,
        Fault::Burst,
        Fault::LateResult,
        Fault::ZoneLost,
    ];
}

impl World {
    pub(super) fn inject_faults(&mut self) {
        while self.plan.faults.last().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, fault)) = self.plan.faults.pop() else { return };
            let at = self.random.usize(..self.engines.len());
            let (now, span) = (self.now, self.random.u64(500..4_000));
            let engine = &mut self.engines[at];
            match fault {
                Fault::Kill => self.kill(at, span),
                Fault::Freeze => engine.frozen_until = now + span,
                Fault::PartitionedFromCores => engine.partitioned_from_cores_until = now + span,
                Fault::PartitionedFromEdges => engine.partitioned_from_edges_until = now + span,
                Fault::Publish => self.newest += 1,
                Fault::WrongVersion => engine.names_wrong_version_until = now + span,
                Fault::NoVersion => engine.names_no_version_until = now + span,
                Fault::HungLoad => engine.next_load_hangs = true,
                Fault::KillLeader => {
                    self.controller = None;
                    self.leads_from = now + self.random.u64(LEASE_MS..1_000);
                    // What it had proposed is in the log, or is not.
                    let kept = self.random.usize(..=self.proposed.len());
                    self.proposed.truncate(kept);
                }
                Fault::Burst => self.burst_until = now + BURST_MS,
                Fault::LateResult => self.late_results = true,
                Fault::ZoneLost => {
                    (0..self.engines.len()).filter(|at| at % 4 == 1).for_each(|at| self.kill(at, 3_000));
                }
            }
        }
    }

    fn kill(&mut self, at: usize, span: u64) {
        let (now, newest) = (self.now, self.newest);
        let lost: Vec<Running> = std::mem::take(&mut self.engines[at].running);
        for running in lost {
            self.record_generation(&running, &self.engines[at].id(), false);
            let outcome = DrawOutcome::Over;
            self.ends.push((now + 50, DrawEnd { draw: running.draw, outcome, tokens: 0 }));
        }
        let id = self.engines[at].id();
        if let Some(controller) = &mut self.controller {
            controller.remove_worker(&id);
        }
        self.engines[at].dead_until = now + span;
        self.engines[at].restart(newest);
    }
}
