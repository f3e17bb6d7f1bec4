//! Applies the decisions of `life`: publishes each phase to the fronts when it begins, by time or by a call.

use crate::event;
use crate::life::{Ends, Life, Phase};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, Instant, sleep_until};

/// A handle that starts and stops draining and ends the program. Its calls may come from any thread and never
/// block.
#[derive(Clone)]
pub struct Lifecycle(Arc<Inner>);

struct Inner {
    life: Mutex<Life>,
    phase: watch::Sender<Phase>,
    changed: Notify,
}

impl Lifecycle {
    /// Creates the lifecycle of a serving process, and the receiver of its phases. `longest` is the longest
    /// deadline of a request.
    pub fn new(longest: Duration) -> (Lifecycle, watch::Receiver<Phase>) {
        let life = Life::new(longest);
        let (phase, watched) = watch::channel(life.phase(now()));
        (Lifecycle(Arc::new(Inner { life: Mutex::new(life), phase, changed: Notify::new() })), watched)
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.0.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a call. The new phase is published before this returns.
    fn call<T>(&self, call: impl FnOnce(&mut Life) -> T) -> T {
        let mut life = self.life();
        let done = call(&mut life);
        self.publish(&life);
        self.0.changed.notify_one();
        done
    }

    /// Starts draining.
    ///
    /// # Errors
    ///
    /// Fails if the program is ending.
    pub fn drain(&self) -> Result<(), Ends> {
        self.call(|life| life.drain(now())).inspect(|()| event!(DRAIN, on = "yes"))
    }

    /// Stops draining and serves again.
    ///
    /// # Errors
    ///
    /// Fails if the program is ending.
    pub fn undrain(&self) -> Result<(), Ends> {
        self.call(Life::undrain).inspect(|()| event!(DRAIN, on = "no"))
    }

    /// Starts the end of the program. `shared`: another process accepts on the same socket.
    pub fn end(&self, shared: bool) {
        self.call(|life| life.end(now(), shared));
    }

    /// Sets the longest deadline of a request.
    pub fn set_longest(&self, longest: Duration) {
        self.call(|life| life.set_longest(longest));
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.life().phase(now())
    }

    /// Returns when requests that are still open have to fail; `None` unless the program is ending.
    pub fn last(&self) -> Option<Instant> {
        self.life().last().map(Instant::from_std)
    }

    /// Publishes each phase as its time comes, for as long as the program runs.
    pub async fn run(self) {
        loop {
            let next = self.life().next_change(now()).map(Instant::from_std);
            let changes = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = changes => {}
                () = self.0.changed.notified() => {}
            }
            self.publish(&self.life());
        }
    }

    /// Publishes the current phase. The caller holds the lock on `life`: otherwise a phase could be published
    /// after a later one.
    fn publish(&self, life: &Life) {
        let phase = life.phase(now());
        self.0.phase.send_if_modified(|published| std::mem::replace(published, phase) != phase);
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Waits for a phase that satisfies `wanted`. Returns too if the sender is gone, which means that the program
/// ends.
pub async fn until(phase: &mut watch::Receiver<Phase>, wanted: impl Fn(&Phase) -> bool) {
    let _ = phase.wait_for(|phase| wanted(phase)).await;
}
