//! What goes wrong during a rehearsal of training steps, at seeded moments.

use super::stage::Stage;
use anyhow::Result;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a fault lasts, milliseconds.
const LASTS_MS: std::ops::Range<u64> = 500..3_000;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A worker is killed, and comes back with what is the newest then.
    KillWorker,
    /// A worker stands still for a while.
    FreezeWorker,
    /// A worker draws from another version than it says.
    WorkerLies,
    /// A worker tells no version.
    WorkerTellsNoVersion,
    /// A worker's next load does not end; it is killed later.
    LoadSticks,
    /// The store publishes once more.
    Publish,
    /// The leader of control is killed.
    KillLeader,
    /// The leader of control loses its disk, and all others lose power.
    LeaderLosesDisk,
    /// A core stands still.
    FreezeCore,
    /// An edge is killed.
    KillEdge,
    /// An edge stands still.
    FreezeEdge,
}

impl Fault {
    const ALL: [Fault; 11] = [
        Fault::KillWorker,
        Fault::FreezeWorker,
        Fault::WorkerLies,
        Fault::WorkerTellsNoVersion,
        Fault::LoadSticks,
        Fault::Publish,
        Fault::KillLeader,
        Fault::LeaderLosesDisk,
        Fault::FreezeCore,
        Fault::KillEdge,
        Fault::FreezeEdge,
    ];
}

/// What is to be made good, and when.
struct Repair {
    at: Instant,
    fault: Fault,
    target: usize,
}

/// Strikes one after the other, and makes each good after a while.
pub struct Faults {
    draw: fastrand::Rng,
    left: usize,
    pause: Duration,
    next: Instant,
    repairs: Vec<Repair>,
    /// How often each kind struck.
    pub struck: BTreeMap<Fault, usize>,
}

impl Faults {
    /// So many faults, about so long apart.
    pub fn new(seed: u64, count: usize, pause: Duration) -> Faults {
        Faults {
            draw: fastrand::Rng::with_seed(seed),
            left: count,
            pause,
            next: Instant::now() + pause,
            repairs: Vec::new(),
            struck: BTreeMap::new(),
        }
    }

    /// Time has passed.
    ///
    /// # Errors
    ///
    /// A process cannot be started again.
    pub fn look(&mut self, stage: &mut Stage) -> Result<()> {
        let now = Instant::now();
        for repair in self.repairs.extract_if(.., |repair| now >= repair.at).collect::<Vec<_>>() {
            stage.repair(repair.fault, repair.target)?;
        }
        if self.left == 0 || now < self.next {
            return Ok(());
        }
        self.next = now + self.pause.mul_f64(0.5 + self.draw.f64());
        let fault = Fault::ALL[self.draw.usize(..Fault::ALL.len())];
        let drawn = self.draw.usize(..);
        // Control bears the loss of one core at a time, and a target that is not well yet is left alone.
        let Some(target) =
            stage.target(fault, drawn, self.repairs.iter().map(|repair| (repair.fault, repair.target)))
        else {
            return Ok(());
        };
        self.left -= 1;
        *self.struck.entry(fault).or_default() += 1;
        stage.strike(fault, target)?;
        let lasts = Duration::from_millis(self.draw.u64(LASTS_MS));
        self.repairs.push(Repair { at: now + lasts, fault, target });
        Ok(())
    }

    /// Makes good whatever is not.
    ///
    /// # Errors
    ///
    /// A process cannot be started again.
    pub fn finish(&mut self, stage: &mut Stage) -> Result<()> {
        self.repairs.drain(..).try_for_each(|repair| stage.repair(repair.fault, repair.target))
    }
}
