//! The two processes of one upgrade see each other by locks on files in `$TMPDIR`: the system lets go of a lock when
//! its holder ends, however it ends. What those files hold is of no meaning, so that nothing in them can mislead. Beside
//! them each has a file of the ids that it took (`idlog`), which the other one reads.

use crate::core::{Handle, Input};
use crate::event;
use crate::handover::{LOOK, Pair, Part, Seen, Stand};
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::time::{Duration, Instant, sleep};

/// A process that has only just come looks so often.
pub const SOON: Duration = Duration::from_millis(10);
/// A look by the other one holds a lock for a moment.
const AGAIN: Duration = Duration::from_millis(5);
const TIMES: usize = 20;

/// The files of one of the two.
struct Place {
    lives: File,
    halved: File,
    /// The ids that it takes (`idlog`).
    ids: Arc<File>,
}

impl Place {
    fn open(folder: &Path, head: &str, number: u32) -> io::Result<Place> {
        let open = |what: &str| {
            let path: PathBuf = folder.join(format!("pathbank.{head}.{number}.{what}"));
            OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)
        };
        Ok(Place { lives: open("lives")?, halved: open("halved")?, ids: Arc::new(open("ids")?) })
    }
}

fn held(file: &File) -> bool {
    match file.try_lock_shared() {
        // Nobody has it; given back at once.
        Ok(()) => file.unlock().is_err(),
        Err(_) => true,
    }
}

/// This process's place, and the other one's.
pub struct HotRestart {
    ours: Place,
    other: Place,
    pair: Pair,
    said: bool,
}

impl HotRestart {
    /// `None`: both places are taken, or the folder cannot be used.
    pub async fn join(folder: &Path, head: &str) -> Option<HotRestart> {
        let places = (Place::open(folder, head, 0), Place::open(folder, head, 1));
        let (Ok(first), Ok(second)) = places else { return None };
        let mut places = [Some(first), Some(second)];
        for _ in 0..TIMES {
            for number in 0..2 {
                let lock = places[number].as_ref().map(|place| place.lives.try_lock());
                match lock {
                    Some(Ok(())) => {
                        let (ours, other) = (places[number].take()?, places[1 - number].take()?);
                        return Some(HotRestart { ours, other, pair: Pair::new(now()), said: false });
                    }
                    Some(Err(TryLockError::Error(_))) => return None,
                    _ => {}
                }
            }
            sleep(AGAIN).await;
        }
        None
    }

    /// The files of the ids that this process takes, and the other one.
    pub fn ids(&self) -> (Arc<File>, Arc<File>) {
        (self.ours.ids.clone(), self.other.ids.clone())
    }

    fn seen(&self) -> Seen {
        Seen { lives: held(&self.other.lives), halved: held(&self.other.halved) }
    }

    /// Says that it keeps to its half only after `tell` was told so, and takes more only after it has ceased to say it:
    /// one that came meanwhile either sees that, or is seen.
    pub fn look(&mut self, mut tell: impl FnMut(bool)) -> Stand {
        let mut stand = self.pair.look(now(), self.seen());
        if self.said && !stand.halved {
            self.said = self.ours.halved.unlock().is_err();
            stand = self.pair.look(now(), self.seen());
        }
        tell(stand.halved);
        if stand.halved && !self.said {
            self.said = self.ours.halved.try_lock().is_ok();
        }
        stand
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Looks for the other process for as long as the program runs; tells each change of the half before it is said.
pub async fn watch(mut restart: HotRestart, mut tell: impl FnMut(bool)) {
    loop {
        restart.look(&mut tell);
        sleep(LOOK).await;
    }
}

/// Tells the core and the bounds of connections each change.
pub fn teller(part: Part, handle: Handle) -> impl FnMut(bool) {
    let mut told = None;
    move |halved| {
        if told.replace(halved) != Some(halved) {
            part.halve(halved);
            handle.send(Input::CapacityShare { halved });
            event!(TWIN, here = if halved { "yes" } else { "no" });
        }
    }
}

#[cfg(test)]
mod tests;
