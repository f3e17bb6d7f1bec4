//! Bodies that are arriving. Where memory is short, those that do not move give way to those that do.

use super::share::MemoryShare;
use crate::clock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// A body that has begun no block for this time does not move, milliseconds.
const STALLED_AFTER_MS: u64 = 500;
/// How long a body waits for the memory of one that gives way.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(50);
/// How many bodies give way to one block at most.
const MAX_EVICTIONS: usize = 8;

/// From which share a body has taken memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodySize {
    /// From the share of short bodies.
    Small,
    /// From the share of long bodies.
    Large,
}

#[derive(Debug)]
struct Arrival {
    /// When it last began a block, milliseconds of the steady clock.
    moved_at: AtomicU64,
    holds_small: AtomicBool,
    holds_large: AtomicBool,
    evicted: AtomicBool,
    evict: Notify,
}

impl Arrival {
    fn holds(&self, size: BodySize) -> &AtomicBool {
        match size {
            BodySize::Small => &self.holds_small,
            BodySize::Large => &self.holds_large,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    bodies: Mutex<BTreeMap<u64, Arc<Arrival>>>,
    next: AtomicU64,
    released: Notify,
}

/// The bodies that are arriving at this process.
#[derive(Clone, Debug, Default)]
pub struct Arrivals(Arc<State>);

/// One body that is arriving, for as long as it does.
#[derive(Debug)]
pub struct ArrivalGuard {
    arrivals: Arrivals,
    id: u64,
    arrival: Arc<Arrival>,
}

impl Arrivals {
    /// Adds a body.
    pub fn begin(&self) -> ArrivalGuard {
        let arrival = Arc::new(Arrival {
            moved_at: AtomicU64::new(clock::now()),
            holds_small: AtomicBool::new(false),
            holds_large: AtomicBool::new(false),
            evicted: AtomicBool::new(false),
            evict: Notify::new(),
        });
        let id = self.0.next.fetch_add(1, Ordering::Relaxed);
        self.bodies().insert(id, arrival.clone());
        ArrivalGuard { arrivals: self.clone(), id, arrival }
    }

    fn bodies(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Arrival>>> {
        self.0.bodies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the body that has not moved for the longest time give way. Returns whether there is one.
    fn evict_stalled(&self, size: BodySize, asking: u64) -> bool {
        let moved_before = clock::now().saturating_sub(STALLED_AFTER_MS);
        let bodies = self.bodies();
        let stalled = bodies.iter().filter(|(id, body)| {
            let is_held = body.holds(size).load(Ordering::Relaxed);
            let is_free = !body.evicted.load(Ordering::Relaxed);
            **id != asking && is_held && is_free && body.moved_at.load(Ordering::Relaxed) <= moved_before
        });
        let Some((_, victim)) = stalled.min_by_key(|(_, body)| body.moved_at.load(Ordering::Relaxed)) else {
            return false;
        };
        victim.evicted.store(true, Ordering::Relaxed);
        victim.evict.notify_one();
        true
    }
}

impl ArrivalGuard {
    /// Records that the body took memory of a share.
    pub fn moved(&self, size: BodySize) {
        self.arrival.moved_at.store(clock::now(), Ordering::Relaxed);
        self.arrival.holds(size).store(true, Ordering::Relaxed);
    }

    /// Records that the body holds nothing of a share any more.
    pub fn gave_back(&self, size: BodySize) {
        self.arrival.holds(size).store(false, Ordering::Relaxed);
    }

    /// Waits until this body has to give way.
    pub async fn evicted(&self) {
        self.arrival.evict.notified().await;
    }

    /// Tries to get so many bytes of a share free by having other bodies give way. Returns whether there may be room.
    pub async fn make_room(&self, size: BodySize, share: &MemoryShare, bytes: usize) -> bool {
        for _ in 0..MAX_EVICTIONS {
            let released = self.arrivals.0.released.notified();
            if !self.arrivals.evict_stalled(size, self.id) {
                return false;
            }
            let _ = tokio::time::timeout(RELEASE_TIMEOUT, released).await;
            if share.has(bytes) {
                return true;
            }
        }
        false
    }
}

impl Drop for ArrivalGuard {
    fn drop(&mut self) {
        self.arrivals.bodies().remove(&self.id);
        self.arrivals.0.released.notify_waiters();
    }
}
