//! Lets the two processes of an upgrade detect each other by locks on files in `$TMPDIR`. The kernel releases
//! a lock when its holder ends, however it ends. The contents of the lock files are ignored, so that stale
//! contents can't mislead. Each process also has a file of the request ids that it accepted (`idlog`), which
//! the other process reads.

use crate::core::{Handle, Input};
use crate::event;
use crate::handover::{CHECK_INTERVAL, CapacityShare, Pair, PeerProcess, Permissions};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::time::{Duration, Instant, sleep};

/// How often a process that has just started checks for the other one.
pub const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long to wait before trying a lock again: a check by the other process holds the lock for a moment.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How many times the locks are tried.
const LOCK_ATTEMPTS: usize = 20;

/// The files of one of the two processes.
struct ProcessFiles {
    /// The lock file `lives`: locked for as long as the process runs.
    lives: File,
    /// The lock file `halved`: locked while the process keeps to half of the limits.
    halved: File,
    /// The ids that the process accepted (`idlog`).
    ids: Arc<File>,
}

impl ProcessFiles {
    fn open(folder: &Path, head: &str, number: u32) -> io::Result<ProcessFiles> {
        let open = |what: &str| {
            let path: PathBuf = folder.join(format!("pathbank.{head}.{number}.{what}"));
            OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)
        };
        Ok(ProcessFiles { lives: open("lives")?, halved: open("halved")?, ids: Arc::new(open("ids")?) })
    }
}

/// Returns whether another process holds the lock.
fn held(file: &File) -> bool {
    match file.try_lock_shared() {
        // No process holds the lock: release it at once.
        Ok(()) => file.unlock().is_err(),
        Err(_) => true,
    }
}

/// The files of this process and of the other one.
pub struct HotRestart {
    ours: ProcessFiles,
    other: ProcessFiles,
    pair: Pair,
    announced: bool,
}

impl HotRestart {
    /// Takes the files of one of the two processes; `None` if both are taken or the folder cannot be used.
    pub async fn join(folder: &Path, head: &str) -> Option<HotRestart> {
        let places = (ProcessFiles::open(folder, head, 0), ProcessFiles::open(folder, head, 1));
        let (Ok(first), Ok(second)) = places else { return None };
        let mut places = [Some(first), Some(second)];
        for _ in 0..LOCK_ATTEMPTS {
            for number in 0..2 {
                let lock = places[number].as_ref().map(|place| place.lives.try_lock());
                match lock {
                    Some(Ok(())) => {
                        let (ours, other) = (places[number].take()?, places[1 - number].take()?);
                        return Some(HotRestart { ours, other, pair: Pair::new(now()), announced: false });
                    }
                    Some(Err(TryLockError::Error(_))) => return None,
                    _ => {}
                }
            }
            sleep(LOCK_RETRY_INTERVAL).await;
        }
        None
    }

    /// Returns the files of the ids accepted by this process and by the other one.
    pub fn ids(&self) -> (Arc<File>, Arc<File>) {
        (self.ours.ids.clone(), self.other.ids.clone())
    }

    fn observe_peer(&self) -> PeerProcess {
        PeerProcess { lives: held(&self.other.lives), halved: held(&self.other.halved) }
    }

    /// Checks for the other process. Locks `halved` only after `tell` has limited this process to half of the
    /// capacity, and lifts that limit only after the lock is released: a process that starts meanwhile either
    /// sees that or is seen.
    pub fn check(&mut self, mut tell: impl FnMut(bool)) -> Permissions {
        let mut permissions = self.pair.check(now(), self.observe_peer());
        if self.announced && !permissions.halved {
            self.announced = self.ours.halved.unlock().is_err();
            permissions = self.pair.check(now(), self.observe_peer());
        }
        tell(permissions.halved);
        if permissions.halved && !self.announced {
            self.announced = self.ours.halved.try_lock().is_ok();
        }
        permissions
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Checks for the other process for as long as the program runs, and passes each result to `tell`.
pub async fn watch(mut restart: HotRestart, mut tell: impl FnMut(bool)) {
    loop {
        restart.check(&mut tell);
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns a function that passes each change to the core and to the limits of connections.
pub fn capacity_share_notifier(capacity_share: CapacityShare, handle: Handle) -> impl FnMut(bool) {
    let mut last_notified = None;
    move |halved| {
        if last_notified.replace(halved) != Some(halved) {
            capacity_share.halve(halved);
            handle.send(Input::CapacityShare { halved });
            event!(TWIN, here = if halved { "yes" } else { "no" });
        }
    }
}

#[cfg(test)]
mod tests;
