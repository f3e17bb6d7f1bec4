//! Faults of machines, disks and links that a group of three has to tolerate.

use crate::common::Cluster;
use crate::world::{FOUNDERS, MACHINES};
use proptest::prelude::*;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A process is killed.
    Kill(usize),
    /// All machines lose power.
    PowerOff,
    /// A disk is lost, provided that all others are present.
    Wipe(usize),
    /// A disk is lost, provided that all others are present, and all machines lose power at the same time.
    WipeAndPowerOff(usize),
    /// A machine is partitioned from all others.
    Partition(usize),
    /// A machine receives messages, but its own messages are lost.
    PartitionOutbound(usize),
    /// A machine receives no messages, but its own messages arrive.
    PartitionInbound(usize),
    /// Two machines are partitioned from the others.
    PartitionHalves(usize, usize),
    /// A process is paused.
    Freeze(usize),
    /// A disk completes no operation.
    Stall(usize),
    /// A disk is thirty times slower.
    SlowDisk(usize),
    /// Some messages are lost.
    Loss,
    /// All replicas compact their logs.
    Compact,
    /// A new machine joins, and later a member gets SIGTERM.
    Replace(usize),
    /// A process gets SIGTERM and starts again.
    Restart(usize),
    /// All processes get SIGTERM at once and start again.
    RestartAll,
    /// The process of the leader is killed, paused, or its machine partitioned.
    KillLeader,
    FreezeLeader,
    PartitionLeader,
}

/// A fault, its duration, and the pause after it, milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub fault: Fault,
    pub lasts: u64,
    pub pause: u64,
}

/// Random schedules of faults, which proptest can shrink.
pub fn schedules() -> impl Strategy<Value = Vec<Step>> {
    proptest::collection::vec(step(), 1..7)
}

fn step() -> impl Strategy<Value = Step> {
    (fault(), 20_u64..2_500, 0_u64..2_000).prop_map(|(fault, lasts, pause)| Step { fault, lasts, pause })
}

fn fault() -> impl Strategy<Value = Fault> {
    let machine = 0..FOUNDERS;
    prop_oneof![
        machine.clone().prop_map(Fault::Kill),
        Just(Fault::PowerOff),
        machine.clone().prop_map(Fault::Wipe),
        machine.clone().prop_map(Fault::WipeAndPowerOff),
        machine.clone().prop_map(Fault::Partition),
        machine.clone().prop_map(Fault::PartitionOutbound),
        machine.clone().prop_map(Fault::PartitionInbound),
        (0..MACHINES, 0..MACHINES).prop_map(|(one, other)| Fault::PartitionHalves(one, other)),
        machine.clone().prop_map(Fault::Freeze),
        machine.clone().prop_map(Fault::Stall),
        machine.clone().prop_map(Fault::SlowDisk),
        Just(Fault::Loss),
        Just(Fault::Compact),
        machine.clone().prop_map(Fault::Replace),
        machine.prop_map(Fault::Restart),
        Just(Fault::RestartAll),
        Just(Fault::KillLeader),
        Just(Fault::FreezeLeader),
        Just(Fault::PartitionLeader),
    ]
}

fn partition(fleet: &mut Cluster, side: &[usize], inwards: bool, outwards: bool) {
    let others = (0..MACHINES).filter(|machine| !side.contains(machine));
    for (other, machine) in others.flat_map(|other| side.iter().map(move |machine| (other, *machine))) {
        if inwards {
            fleet.partitions.insert((other, machine));
        }
        if outwards {
            fleet.partitions.insert((machine, other));
        }
    }
}

fn power_off(fleet: &mut Cluster) {
    let running: Vec<usize> = (0..MACHINES).filter(|machine| runs(fleet, *machine)).collect();
    running.into_iter().for_each(|machine| fleet.power_off(machine));
}

fn runs(fleet: &Cluster, machine: usize) -> bool {
    fleet.machines[machine].replica.is_some()
}

impl Fault {
    pub fn begin(self, fleet: &mut Cluster, random: &mut fastrand::Rng) {
        let leader = fleet.leader().unwrap_or(0);
        match self {
            Fault::Kill(machine) => fleet.kill(machine),
            Fault::KillLeader => fleet.kill(leader),
            Fault::PowerOff => power_off(fleet),
            Fault::Wipe(machine) if fleet.is_healthy() => fleet.wipe(machine),
            Fault::WipeAndPowerOff(machine) if fleet.is_healthy() => {
                fleet.wipe(machine);
                power_off(fleet);
            }
            Fault::Wipe(_) | Fault::WipeAndPowerOff(_) => {}
            Fault::Partition(machine) => partition(fleet, &[machine], true, true),
            Fault::PartitionLeader => partition(fleet, &[leader], true, true),
            Fault::PartitionOutbound(machine) => partition(fleet, &[machine], false, true),
            Fault::PartitionInbound(machine) => partition(fleet, &[machine], true, false),
            Fault::PartitionHalves(one, other) => partition(fleet, &[one, other], true, true),
            Fault::Freeze(machine) => fleet.machines[machine].paused_until = u64::MAX,
            Fault::FreezeLeader => fleet.machines[leader].paused_until = u64::MAX,
            Fault::Stall(machine) => fleet.machines[machine].disk_stalled = true,
            Fault::SlowDisk(machine) => fleet.machines[machine].sync_ms = 90,
            Fault::Loss => fleet.loss_in_1000 = random.u64(5..120),
            Fault::Compact => (0..MACHINES).for_each(|machine| fleet.compact(machine)),
            Fault::Replace(machine) => {
                if let Some(spare) = (FOUNDERS..MACHINES).find(|spare| !runs(fleet, *spare)) {
                    fleet.start(spare);
                }
                if fleet.is_healthy() && runs(fleet, machine) {
                    fleet.terminate(machine);
                }
            }
            Fault::Restart(machine) => fleet.terminate(machine),
            Fault::RestartAll => (0..MACHINES).for_each(|machine| fleet.terminate(machine)),
        }
    }

    pub fn end(self, fleet: &mut Cluster) {
        if !matches!(self, Fault::Compact) {
            Fault::end_all(fleet);
        }
    }

    /// Ends all faults, and starts the processes that are down.
    pub fn end_all(fleet: &mut Cluster) {
        fleet.partitions.clear();
        fleet.loss_in_1000 = 0;
        for machine in 0..MACHINES {
            let state = &mut fleet.machines[machine];
            state.disk_stalled = false;
            state.sync_ms = crate::common::SYNC_MS;
            fleet.resume(machine);
            let has_run = machine < FOUNDERS || fleet.machines[machine].disk.last_index() > 0;
            if has_run && !runs(fleet, machine) {
                fleet.start(machine);
            }
        }
    }
}
