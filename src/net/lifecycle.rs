//! Applies the decisions of `lifecycle_state`: publishes each phase to the fronts when it begins, by time or by
//! a call.

use crate::event;
use crate::lifecycle_state::{AlreadyStopping, LifecycleState, Phase};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, Instant, sleep_until};

/// A handle that starts and stops draining and ends the program. Its calls may come from any thread and never
/// block.
#[derive(Clone)]
pub struct Lifecycle(Arc<Inner>);

struct Inner {
    state: Mutex<LifecycleState>,
    phase: watch::Sender<Phase>,
    changed: Notify,
}

impl Lifecycle {
    /// Creates the lifecycle of a serving process, and the receiver of its phases. `longest` is the longest
    /// deadline of a request.
    pub fn new(longest: Duration) -> (Lifecycle, watch::Receiver<Phase>) {
        let state = LifecycleState::new(longest);
        let (phase, watched) = watch::channel(state.phase(now()));
        (Lifecycle(Arc::new(Inner { state: Mutex::new(state), phase, changed: Notify::new() })), watched)
    }

    fn state(&self) -> MutexGuard<'_, LifecycleState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a call. The new phase is published before this returns.
    fn call<T>(&self, call: impl FnOnce(&mut LifecycleState) -> T) -> T {
        let mut state = self.state();
        let done = call(&mut state);
        self.publish(&state);
        self.0.changed.notify_one();
        done
    }

    /// Starts draining.
    ///
    /// # Errors
    ///
    /// Fails if the program is ending.
    pub fn drain(&self) -> Result<(), AlreadyStopping> {
        self.call(|state| state.drain(now())).inspect(|()| event!(DRAIN, on = "yes"))
    }

    /// Stops draining and serves again.
    ///
    /// # Errors
    ///
    /// Fails if the program is ending.
    pub fn undrain(&self) -> Result<(), AlreadyStopping> {
        self.call(LifecycleState::undrain).inspect(|()| event!(DRAIN, on = "no"))
    }

    /// Starts the end of the program. `shared`: another process accepts on the same socket.
    pub fn end(&self, shared: bool) {
        self.call(|state| state.end(now(), shared));
    }

    /// Sets the longest deadline of a request.
    pub fn set_longest(&self, longest: Duration) {
        self.call(|state| state.set_longest(longest));
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.state().phase(now())
    }

    /// Returns when requests that are still open have to fail; `None` unless the program is ending.
    pub fn final_answers_at(&self) -> Option<Instant> {
        self.state().final_answers_at().map(Instant::from_std)
    }

    /// Publishes each phase as its time comes, for as long as the program runs.
    pub async fn run(self) {
        loop {
            let next = self.state().next_change(now()).map(Instant::from_std);
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
            self.publish(&self.state());
        }
    }

    /// Publishes the current phase. The caller holds the lock on `state`: otherwise a phase could be
    /// published after a later one.
    fn publish(&self, state: &LifecycleState) {
        let phase = state.phase(now());
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
