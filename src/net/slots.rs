//! The slots for the client connections of a front: how many there are, the activity of each connection, and
//! which connection is asked to leave when no slot is free or a time limit has passed. Shared by the fronts.

mod head_scanner;

use crate::config::ClientLimits;
use crate::handover::CapacityShare;
use head_scanner::HeadScanner;
use pathbank_memory::share::{MemoryLease, MemoryShare};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep, timeout};

/// How often connections are checked against their time limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long a new connection waits for one that was asked to leave before another is asked.
const EVICTION_INTERVAL: Duration = Duration::from_millis(10);
/// A connection that was asked to leave, has no open request and does not take its last bytes is cut off
/// after this.
const CLOSE_LIMIT: Duration = Duration::from_millis(2_500);

/// A head's buffer is at times twice as long as what it holds.
const HEAD_GROWTH_FACTOR: usize = 2;
/// A long head that has been arriving for this time gives way to another one.
const HEAD_STALLED_AFTER: Duration = Duration::from_millis(500);

/// Whether there is memory for the next bytes of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadMemory {
    /// There is.
    Taken,
    /// Not yet: another connection leaves.
    Awaited,
    /// There is none.
    Refused,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// Connected, or in the middle of a request's head.
    Asking,
    /// In the middle of a request's body, whose reader enforces its time limits.
    Reading,
    /// Its request awaits the end of its answer.
    Waiting,
    /// Between two requests.
    Idle,
    /// Everything is written and the write end is shut down.
    Lingering,
}

/// The state of a connection.
struct State {
    activity: Activity,
    since: Instant,
    /// Whether `mark_answered` was called before. HTTP calls it with an answer; gRPC also after the
    /// handshake, and SFTP whenever the client has no command in flight.
    answered_before: bool,
    asked_at: Option<Instant>,
    leave: Arc<Notify>,
    /// Which headers the request's head has, as far as it is read.
    head: HeadScanner,
    /// The memory for a head that is longer than what every connection holds, whose buffer the connection keeps.
    head_memory: Option<MemoryLease>,
}

impl State {
    fn ask_to_leave(&mut self, now: Instant) {
        self.asked_at = Some(now);
        self.leave.notify_one();
    }
}

#[derive(Default)]
struct SlotTable {
    slots: BTreeMap<u64, State>,
    last: u64,
    counts: Counts,
}

/// Counts of connections that took a slot and of those asked to leave.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Connections that took a slot.
    pub taken: u64,
    /// Connections that were asked to leave because a time limit passed.
    pub over_limit: u64,
    /// Connections that were asked to leave to free a slot for another.
    pub for_others: u64,
}

/// The slots for clients' connections of one front.
#[derive(Clone)]
pub struct Slots {
    limits: ClientLimits,
    taken: Arc<Mutex<SlotTable>>,
    freed: Arc<Notify>,
    capacity_share: CapacityShare,
}

impl Slots {
    /// Creates the slots, all free.
    pub fn new(limits: ClientLimits) -> Slots {
        Slots {
            limits,
            taken: Arc::default(),
            freed: Arc::default(),
            capacity_share: CapacityShare::default(),
        }
    }

    /// Sets this process's share: while another process of this host runs, half of the slots belong to
    /// that process.
    pub fn with_capacity_share(mut self, capacity_share: CapacityShare) -> Slots {
        self.capacity_share = capacity_share;
        self
    }

    fn taken(&self) -> MutexGuard<'_, SlotTable> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of slots that are taken.
    pub fn held(&self) -> usize {
        self.taken().slots.len()
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.taken().counts
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.taken().slots.values().filter(|state| state.activity == Activity::Idle).count()
    }

    /// Takes a slot for an accepted connection. If none is free, another connection is asked to leave, unless
    /// its request awaits its answer. Chosen is first one that lingers, then the oldest that was never idle,
    /// so that a flood of those displaces nobody else, then the longest idle, and at last one in the middle
    /// of a request's head or body. Meanwhile the new connection takes a spare slot: waiting for the other to
    /// leave before the next accept would keep clients, whose timeouts run already, in the kernel's queue.
    pub async fn take(&self) -> Slot {
        let slot = self.insert();
        if self.held() > self.capacity_share.of(self.limits.most) {
            self.ask_one_to_leave(slot.0.id);
        }
        while self.held() > self.capacity_share.of(self.limits.most + self.limits.spare) {
            let freed = self.freed.notified();
            if timeout(EVICTION_INTERVAL, freed).await.is_err() {
                self.ask_one_to_leave(slot.0.id);
            }
        }
        slot
    }

    /// Asks one connection to leave, other than `but`.
    fn ask_one_to_leave(&self, but: u64) {
        let mut taken = self.taken();
        let others = taken.slots.iter_mut().filter(|(id, _)| **id != but).map(|(_, state)| state);
        let able = others.filter(|s| s.activity != Activity::Waiting && s.asked_at.is_none());
        if let Some(state) = able.min_by_key(|s| {
            (s.activity != Activity::Lingering, s.answered_before, s.activity != Activity::Idle, s.since)
        }) {
            state.ask_to_leave(Instant::now());
            taken.counts.for_others += 1;
        }
    }

    /// Asks the connection to leave that has had memory for a long head for the longest time and is idle, or whose
    /// head has been arriving for too long; other than `but`. Returns whether one leaves.
    fn ask_head_to_leave(&self, but: u64) -> bool {
        let mut taken = self.taken();
        let others = taken.slots.iter_mut().filter(|(id, _)| **id != but).map(|(_, state)| state);
        let holds = |state: &&mut State| {
            let is_stalled = match state.activity {
                Activity::Asking => state.since.elapsed() >= HEAD_STALLED_AFTER,
                Activity::Idle => true,
                Activity::Reading | Activity::Waiting | Activity::Lingering => false,
            };
            is_stalled && state.head_memory.as_ref().is_some_and(|lease| lease.bytes() > 0)
        };
        let Some(state) = others.filter(holds).min_by_key(|state| (state.asked_at.is_none(), state.since))
        else {
            return false;
        };
        let asked_before = state.asked_at.is_some();
        state.ask_to_leave(Instant::now());
        taken.counts.for_others += u64::from(!asked_before);
        true
    }

    fn insert(&self) -> Slot {
        let (mut taken, leave) = (self.taken(), Arc::new(Notify::new()));
        taken.last += 1;
        taken.counts.taken += 1;
        let (id, since) = (taken.last, Instant::now());
        let state = State {
            activity: Activity::Asking,
            since,
            answered_before: false,
            asked_at: None,
            leave: leave.clone(),
            head: HeadScanner::default(),
            head_memory: None,
        };
        taken.slots.insert(id, state);
        Slot(Arc::new(SlotGuard { id, slots: self.clone(), leave }))
    }

    /// Waits until no slot is taken.
    pub async fn empty(&self) {
        while self.held() > 0 {
            let freed = self.freed.notified();
            let _ = timeout(EVICTION_INTERVAL, freed).await; // checked again on both a notification and a timeout
        }
    }

    /// Asks connections that are over a time limit to leave, for as long as the program runs.
    pub async fn watch(self) {
        loop {
            sleep(CHECK_INTERVAL).await;
            self.check_limits(Instant::now());
        }
    }

    fn check_limits(&self, now: Instant) {
        let (limits, mut taken) = (self.limits, self.taken());
        let SlotTable { slots, counts, .. } = &mut *taken;
        let many = slots.len() > self.capacity_share.of(limits.most) / 2;
        for state in slots.values_mut() {
            let limit = match (state.activity, state.asked_at) {
                (Activity::Waiting | Activity::Reading | Activity::Lingering, _) => continue,
                (_, Some(asked_at)) if now > asked_at + CLOSE_LIMIT => Duration::ZERO,
                (_, Some(_)) => continue,
                (Activity::Asking, None) => limits.request,
                (Activity::Idle, None) => {
                    if many {
                        limits.idle_if_many
                    } else {
                        limits.idle
                    }
                }
            };
            if now >= state.since + limit {
                state.ask_to_leave(now);
                counts.over_limit += 1;
            }
        }
    }
}

/// The slot of a connection; it is free again when its last clone is dropped.
#[derive(Clone)]
pub struct Slot(Arc<SlotGuard>);

struct SlotGuard {
    id: u64,
    slots: Slots,
    leave: Arc<Notify>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slots.taken().slots.remove(&self.id);
        self.slots.freed.notify_waiters();
    }
}

impl Slot {
    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> Option<T> {
        self.0.slots.taken().slots.get_mut(&self.0.id).map(f)
    }

    fn set(&self, activity: Activity) {
        self.with(|slot| {
            if slot.activity != activity {
                (slot.activity, slot.since) = (activity, Instant::now());
            }
        });
    }

    /// Records bytes read. An idle connection becomes one that sends a request.
    pub fn bytes_came(&self, bytes: &[u8]) {
        self.with(|slot| {
            if slot.activity == Activity::Idle {
                (slot.activity, slot.since) = (Activity::Asking, Instant::now());
                slot.head = HeadScanner::default();
            }
            if slot.activity == Activity::Asking {
                slot.head.scan(bytes);
            }
        });
    }

    /// Reports whether the request's head, as it was read, has a `Content-Length`. Of pipelined requests that
    /// were read together, only the first one's head is looked at.
    pub fn head_has_length(&self) -> bool {
        self.with(|slot| slot.head.has_length()).unwrap_or(false)
    }

    /// Takes the memory for the next read of at most `next` bytes: a head beyond `covered` bytes, which every
    /// connection holds anyway, takes its bytes of `share`. Where that is exhausted another connection is asked to
    /// leave, and [`HeadMemory::Awaited`] is returned.
    pub fn cover_head(&self, next: usize, covered: usize, share: &MemoryShare) -> HeadMemory {
        let grown = self.with(|slot| {
            if !matches!(slot.activity, Activity::Asking | Activity::Idle) {
                return Ok(());
            }
            let wanted = HEAD_GROWTH_FACTOR * (slot.head.length() + next).saturating_sub(covered);
            let lease = slot.head_memory.get_or_insert_with(|| share.empty_lease());
            lease.grow(wanted.saturating_sub(lease.bytes()))
        });
        match grown {
            Some(Ok(())) | None => HeadMemory::Taken,
            Some(Err(_)) => {
                share.count_refusal();
                match self.0.slots.ask_head_to_leave(self.0.id) {
                    true => HeadMemory::Awaited,
                    false => HeadMemory::Refused,
                }
            }
        }
    }

    /// Marks that the request's head is read and its body is not.
    pub fn mark_reading(&self) {
        self.set(Activity::Reading);
    }

    /// Sets the activity to `Asking`: a request has begun.
    pub fn mark_awaiting_request(&self) {
        self.set(Activity::Asking);
    }

    /// Marks that the request is complete or queued: the connection is not cut off before its answer.
    pub fn mark_waiting(&self) {
        self.set(Activity::Waiting);
    }

    /// Sets the activity to `Idle` and `answered_before` to true. Returns true if the connection should close
    /// after its answer because many are idle: clients, whose descriptors are limited too, would have few
    /// left for requests. A connection for which this was called before is kept for longer.
    pub fn mark_answered(&self) -> bool {
        self.set(Activity::Idle);
        let answered_before =
            self.with(|state| std::mem::replace(&mut state.answered_before, true)).unwrap_or(false);
        self.too_many_idle(answered_before)
    }

    /// Returns whether the connection should close after an answer that is still being sent, by the same
    /// rule.
    pub fn should_close(&self) -> bool {
        self.too_many_idle(self.with(|state| state.answered_before).unwrap_or(false))
    }

    fn too_many_idle(&self, answered_before: bool) -> bool {
        let slots = &self.0.slots;
        let (idle, most) = (slots.idle(), slots.capacity_share.of(slots.limits.most_idle));
        idle > if answered_before { most + most / 3 } else { most }
    }

    /// Marks that everything is written: further bytes are read for a while and discarded. The connection may
    /// be asked to leave once more.
    pub fn lingers(&self) {
        self.set(Activity::Lingering);
        self.with(|slot| slot.asked_at = None);
    }

    /// Returns whether the connection was asked to leave: its next answer is its last.
    pub fn was_asked_to_leave(&self) -> bool {
        self.with(|slot| slot.asked_at.is_some()).unwrap_or(true)
    }

    /// Returns whether the activity is `Asking` or `Reading`: the first request is awaited, or a request's
    /// head or body is being read.
    pub fn is_asking(&self) -> bool {
        matches!(self.with(|state| state.activity), Some(Activity::Asking | Activity::Reading))
    }

    /// Waits until the connection is asked to leave. Returns true if it may finish its open answer first;
    /// false if no complete request has been read, so that it is cut off.
    pub async fn asked_to_leave(&self) -> bool {
        self.0.leave.notified().await;
        self.with(|slot| !matches!(slot.activity, Activity::Asking | Activity::Reading)).unwrap_or(false)
    }
}

#[cfg(test)]
mod tests;
