//! Carries out what `life` decides: tells the fronts each phase when it begins, by the clock and as it is called.

use crate::event;
use crate::life::{Ends, Life, Phase};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, Instant, sleep_until};

/// Held by whoever may say what the program does; may be called from any thread, and never waits.
#[derive(Clone)]
pub struct Lifecycle(Arc<Inner>);

struct Inner {
    life: Mutex<Life>,
    phase: watch::Sender<Phase>,
    changed: Notify,
}

impl Lifecycle {
    /// A process that serves, and its phases. `longest`: the longest deadline of a request.
    pub fn new(longest: Duration) -> (Lifecycle, watch::Receiver<Phase>) {
        let life = Life::new(longest);
        let (phase, watched) = watch::channel(life.phase(now()));
        (Lifecycle(Arc::new(Inner { life: Mutex::new(life), phase, changed: Notify::new() })), watched)
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.0.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fronts hear of it before the call is over.
    fn call<T>(&self, call: impl FnOnce(&mut Life) -> T) -> T {
        let mut life = self.life();
        let done = call(&mut life);
        self.tell(&life);
        self.0.changed.notify_one();
        done
    }

    /// Begins to drain.
    pub fn drain(&self) -> Result<(), Ends> {
        self.call(|life| life.drain(now())).inspect(|()| event!(DRAIN, on = "yes"))
    }

    /// Serves again.
    pub fn undrain(&self) -> Result<(), Ends> {
        self.call(Life::undrain).inspect(|()| event!(DRAIN, on = "no"))
    }

    /// Begins to end. `shared`: another process serves from the same socket.
    pub fn end(&self, shared: bool) {
        self.call(|life| life.end(now(), shared));
    }

    /// Sets the longest deadline of a request.
    pub fn set_longest(&self, longest: Duration) {
        self.call(|life| life.set_longest(longest));
    }

    /// The phase now.
    pub fn phase(&self) -> Phase {
        self.life().phase(now())
    }

    /// While the program ends: when what is still open has to fail.
    pub fn last(&self) -> Option<Instant> {
        self.life().last().map(Instant::from_std)
    }

    /// Tells each phase as its time comes, for as long as the program runs.
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
            self.tell(&self.life());
        }
    }

    /// With `life` held: told outside of that, a phase could go out behind a later one.
    fn tell(&self, life: &Life) {
        let phase = life.phase(now());
        self.0.phase.send_if_modified(|told| std::mem::replace(told, phase) != phase);
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// Waits for a phase of that kind. An error says that the sender is gone: the program ends.
pub async fn until(phase: &mut watch::Receiver<Phase>, wanted: impl Fn(&Phase) -> bool) {
    let _ = phase.wait_for(|phase| wanted(phase)).await;
}
