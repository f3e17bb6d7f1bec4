//! The places for a front's connections: how many there are, what each connection is at, and who has to go when
//! none is left or a limit has passed. Shared by both fronts.

use crate::config::ClientLimits;
use crate::handover::Part;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::time::{Duration, Instant, sleep, timeout};

/// How often connections are looked at, and the wait for one told to go before the next one is told.
const LOOK: Duration = Duration::from_millis(200);
const NEXT_VICTIM: Duration = Duration::from_millis(10);
/// What was told to go in order and has nothing open any more, but does not take its last bytes, is cut off after this.
const LAST_BYTES: Duration = Duration::from_millis(2_500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    /// Connected, or in the middle of a request's head.
    Asking,
    /// In the middle of a request's body, which whoever reads it watches.
    Reading,
    /// Its request is open.
    Waiting,
    Idle,
    /// All is said, and its write end is shut.
    Lingering,
}

struct State {
    doing: Doing,
    since: Instant,
    /// It has had an answer before.
    known: bool,
    told: Option<Instant>,
    leave: Arc<Notify>,
    /// The bytes of the request's head, as far as they were read, and what came in the same piece behind it.
    head: Vec<u8>,
}

impl State {
    fn tell(&mut self, now: Instant) {
        self.told = Some(now);
        self.leave.notify_one();
    }
}

#[derive(Default)]
struct Taken {
    slots: BTreeMap<u64, State>,
    last: u64,
    counts: Counts,
}

/// Connections so far: taken, told to go over a limit, and told to go because another wanted the place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Connections that got a slot.
    pub taken: u64,
    /// Connections that were closed because all slots were taken.
    pub over_limit: u64,
    /// Connections that were closed to free a slot.
    pub for_others: u64,
}

/// The slots for clients' connections of one front.
#[derive(Clone)]
pub struct Slots {
    limits: ClientLimits,
    taken: Arc<Mutex<Taken>>,
    freed: Arc<Notify>,
    part: Part,
}

impl Slots {
    /// Free slots.
    pub fn new(limits: ClientLimits) -> Slots {
        Slots { limits, taken: Arc::default(), freed: Arc::default(), part: Part::default() }
    }

    /// While another process of this head lives, half of the places are its own.
    pub fn shared(mut self, part: Part) -> Slots {
        self.part = part;
        self
    }

    fn taken(&self) -> MutexGuard<'_, Taken> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Slots that are taken.
    pub fn held(&self) -> usize {
        self.taken().slots.len()
    }

    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        self.taken().counts
    }

    /// Idle connections.
    pub fn idle(&self) -> usize {
        self.taken().slots.values().filter(|state| state.doing == Doing::Idle).count()
    }

    /// A place for a connection that has come. Where none is left, one without an open request goes: first what only
    /// lingers, then the oldest that never had an answer, so that a flood of such costs nobody else; then the longest idle. What
    /// comes meanwhile takes a spare place: waiting for each to go before the next is accepted would leave others
    /// in the system's queue, whose time runs already.
    pub async fn take(&self) -> Slot {
        let slot = self.sit();
        if self.held() > self.part.of(self.limits.most) {
            self.tell_one(slot.0.id);
        }
        while self.held() > self.part.of(self.limits.most + self.limits.spare) {
            let freed = self.freed.notified();
            if timeout(NEXT_VICTIM, freed).await.is_err() {
                self.tell_one(slot.0.id);
            }
        }
        slot
    }

    fn tell_one(&self, but: u64) {
        let mut taken = self.taken();
        let others = taken.slots.iter_mut().filter(|(id, _)| **id != but).map(|(_, state)| state);
        let able = others.filter(|s| s.doing != Doing::Waiting && s.told.is_none());
        if let Some(state) =
            able.min_by_key(|s| (s.doing != Doing::Lingering, s.known, s.doing != Doing::Idle, s.since))
        {
            state.tell(Instant::now());
            taken.counts.for_others += 1;
        }
    }

    fn sit(&self) -> Slot {
        let (mut taken, leave) = (self.taken(), Arc::new(Notify::new()));
        taken.last += 1;
        taken.counts.taken += 1;
        let (id, since) = (taken.last, Instant::now());
        let (head, leave_too) = (Vec::new(), leave.clone());
        let state = State { doing: Doing::Asking, since, known: false, told: None, leave: leave_too, head };
        taken.slots.insert(id, state);
        Slot(Arc::new(Held { id, slots: self.clone(), leave }))
    }

    /// Waits until all connections are gone.
    pub async fn empty(&self) {
        while self.held() > 0 {
            let freed = self.freed.notified();
            let _ = timeout(NEXT_VICTIM, freed).await; // looked at again either way
        }
    }

    /// Tells those to go that are over a limit, for as long as the program runs.
    pub async fn watch(self) {
        loop {
            sleep(LOOK).await;
            self.look(Instant::now());
        }
    }

    fn look(&self, now: Instant) {
        let (limits, mut taken) = (self.limits, self.taken());
        let Taken { slots, counts, .. } = &mut *taken;
        let many = slots.len() > self.part.of(limits.most) / 2;
        for state in slots.values_mut() {
            let limit = match (state.doing, state.told) {
                (Doing::Waiting | Doing::Reading | Doing::Lingering, _) => continue,
                (_, Some(told)) if now > told + LAST_BYTES => Duration::ZERO,
                (_, Some(_)) => continue,
                (Doing::Asking, None) => limits.request,
                (Doing::Idle, None) => {
                    if many {
                        limits.idle_if_many
                    } else {
                        limits.idle
                    }
                }
            };
            if now >= state.since + limit {
                state.tell(now);
                counts.over_limit += 1;
            }
        }
    }
}

/// A connection's place; free again when the last of its clones is dropped.
#[derive(Clone)]
pub struct Slot(Arc<Held>);

struct Held {
    id: u64,
    slots: Slots,
    leave: Arc<Notify>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.slots.taken().slots.remove(&self.id);
        self.slots.freed.notify_waiters();
    }
}

impl Slot {
    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> Option<T> {
        self.0.slots.taken().slots.get_mut(&self.0.id).map(f)
    }

    fn set(&self, doing: Doing) {
        self.with(|slot| {
            if slot.doing != doing {
                (slot.doing, slot.since) = (doing, Instant::now());
            }
        });
    }

    /// Bytes have come. Inside an open request that changes nothing; a request's head is kept, up to so many bytes.
    pub fn bytes_came(&self, bytes: &[u8], most: usize) {
        self.with(|slot| {
            if slot.doing == Doing::Idle {
                (slot.doing, slot.since) = (Doing::Asking, Instant::now());
                slot.head.clear();
            }
            if slot.doing == Doing::Asking {
                let room = most.saturating_sub(slot.head.len());
                slot.head.extend_from_slice(&bytes[..room.min(bytes.len())]);
            }
        });
    }

    /// Whether the head of the request has a field of that name, as it was read. Of requests that came in one piece
    /// behind another only the first one's is known.
    pub fn head_has(&self, name: &str) -> bool {
        let found = self.with(|slot| {
            let lines = slot.head.split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end).skip(1);
            let mut fields = lines.take_while(|line| !line.is_empty());
            fields.any(|line| {
                line.split(|byte| *byte == b':')
                    .next()
                    .is_some_and(|field| field.trim_ascii().eq_ignore_ascii_case(name.as_bytes()))
            })
        });
        found.unwrap_or(false)
    }

    /// Its head is read, its body is not.
    pub fn reading(&self) {
        self.with(|slot| slot.head = Vec::new());
        self.set(Doing::Reading);
    }

    /// A request's head has come.
    pub fn asking(&self) {
        self.set(Doing::Asking);
    }

    /// A whole request has come: the connection is not cut off before its answer.
    pub fn waiting(&self) {
        self.set(Doing::Waiting);
    }

    /// Its request has its answer. True if that had better be the connection's last: so many are idle that clients,
    /// who hold no more than their part of the descriptors, have few left to ask on. One that has asked more than
    /// once is kept for longer.
    pub fn answered(&self) -> bool {
        self.set(Doing::Idle);
        let known = self.with(|state| std::mem::replace(&mut state.known, true)).unwrap_or(false);
        self.too_many_idle(known)
    }

    /// The same of an answer that is still going out.
    pub fn had_better_go(&self) -> bool {
        self.too_many_idle(self.with(|state| state.known).unwrap_or(false))
    }

    fn too_many_idle(&self, known: bool) -> bool {
        let slots = &self.0.slots;
        let (idle, most) = (slots.idle(), slots.part.of(slots.limits.most_idle));
        idle > if known { most + most / 3 } else { most }
    }

    /// All is said: what still comes on it is read for a while and thrown away. It may be told to go once more.
    pub fn lingers(&self) {
        self.set(Doing::Lingering);
        self.with(|slot| slot.told = None);
    }

    /// It has been told to go: its next answer is its last.
    pub fn is_told(&self) -> bool {
        self.with(|slot| slot.told.is_some()).unwrap_or(true)
    }

    /// Whether a request is open on the connection.
    pub fn is_asking(&self) -> bool {
        matches!(self.with(|state| state.doing), Some(Doing::Asking | Doing::Reading))
    }

    /// Told to go: true while a request is open or an answer is on its way, which go first.
    pub async fn told_to_leave(&self) -> bool {
        self.0.leave.notified().await;
        self.with(|slot| !matches!(slot.doing, Doing::Asking | Doing::Reading)).unwrap_or(false)
    }
}

#[cfg(test)]
mod tests;
