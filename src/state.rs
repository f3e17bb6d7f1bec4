//! The state of the scheduling policy: flows, pending requests, nodes, and the token buckets and queues that they are made
//! of. Decisions on it are in `policy`.

use crate::interface::*;
use fair_queue::FlowState;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const SECOND: f64 = 1e6;
/// The weight of one answer in a node's moving averages.
pub const EWMA_WEIGHT: f64 = 0.125;
/// A queue of this many requests or more tells how long each of them takes; a shorter one is noise.
const MIN_TELLING_QUEUE: f64 = 4.0;
/// How fast a queue of which nothing is heard is taken to shrink, in time worked off for each time passed.
const QUEUE_DECAY: f64 = 0.5;

pub type FlowIndex = usize;
/// Where a request may be served: the node of a shard, or (`None`, a new object) any node.
pub type Destination = Option<u16>;

/// A token bucket: it fills at a rate up to a cap.
#[derive(Debug, Default)]
pub struct TokenBucket {
    pub level: f64,
    pub at: Micros,
}

impl TokenBucket {
    pub fn fill(&mut self, now: Micros, rate: f64, cap: f64) -> f64 {
        self.level = (self.level + rate * (now - self.at) as f64 / SECOND).min(cap);
        self.at = now;
        self.level
    }
}

/// A running mean of units a second, of what came before the latest.
#[derive(Debug, Default)]
pub struct Rate {
    sum: f64,
    latest: f64,
    /// When the latest came.
    pub at: Micros,
}

impl Rate {
    /// The mean's memory, and the least time that it is taken over: a burst is no rate.
    const SPAN: f64 = 10.0 * SECOND;
    const LEAST: f64 = 2.0 * SECOND;

    pub fn add(&mut self, now: Micros, units: f64) {
        let faded = (-((now - self.at) as f64) / Self::SPAN).exp();
        (self.sum, self.latest, self.at) = ((self.sum + self.latest) * faded, units, now);
    }

    /// Counted from `start` on. Without the latest, which did not come at any time but just now.
    pub fn before(&self, now: Micros, start: Micros) -> f64 {
        let faded = |since| (-((now - since) as f64) / Self::SPAN).exp();
        self.sum * faded(self.at) * SECOND / (Self::SPAN * (1.0 - faded(start))).max(Self::LEAST)
    }
}

/// One volume at this host.
#[derive(Debug, Default)]
pub struct Flow {
    pub plan: Plan,
    pub plan_number: usize,
    pub hosts: f64,
    /// Its virtual time and activity.
    pub fair: FlowState,
    pub limit: TokenBucket,
    pub reserve: TokenBucket,
    /// Units a second served here, and by the reports elsewhere.
    pub own_use: f64,
    pub own_use_at: Micros,
    pub elsewhere: Option<f64>,
}

impl Flow {
    /// Weight of one report of use in the estimate of what the volume gets elsewhere, and the time over which
    /// this host's own part is averaged, in use periods.
    const USE_LEARN: f64 = 0.3;
    const USE_PERIODS: f64 = 1.5;

    /// Units of the volume's limit that this host may draw now: it keeps an even part of rate and burst.
    pub fn limit_available(&mut self, now: Micros, share: f64) -> f64 {
        let hosts = self.hosts / share;
        self.limit.fill(now, self.plan.limit / hosts, self.plan.limit_burst / hosts)
    }

    /// The part of the volume's reserve that is this host's to use: what the others leave by the reports of
    /// use, an even part at least. Without reports it is the whole: underrating the host that leads a
    /// volume's traffic costs more than overrating the others.
    pub fn reserve_rate(&self) -> f64 {
        let reserve = self.plan.reserve;
        match self.elsewhere {
            Some(elsewhere) => (reserve - elsewhere).clamp(reserve / self.hosts, reserve),
            None => reserve / self.hosts.sqrt(),
        }
    }

    /// Notes what the volume got here and, where the answer tells its whole use, what it gets elsewhere.
    pub fn observe_use(&mut self, now: Micros, units: f64, used: Option<f64>, period: f64) {
        let span = Self::USE_PERIODS * if period > 0.0 { period } else { SECOND };
        let faded = (-((now - self.own_use_at) as f64) / span).exp();
        self.own_use = self.own_use * faded + units * SECOND / span;
        self.own_use_at = now;
        if let Some(used) = used {
            let elsewhere = (used * self.plan.rate - self.own_use).max(0.0);
            let before = self.elsewhere.unwrap_or(elsewhere);
            self.elsewhere = Some(before + Self::USE_LEARN * (elsewhere - before));
        }
    }
}

#[derive(Debug, PartialEq, Clone, Copy)]
pub enum AttemptState {
    InFlight,
    NotRun,
    MayHaveRun,
}

#[derive(Debug)]
pub struct Attempt {
    /// The node, and where it stands: it may be gone before the request is.
    pub node: NodeId,
    pub zone: u16,
    pub shard: u16,
    pub sent: Micros,
    pub state: AttemptState,
}

#[derive(Debug)]
pub struct PendingRequest {
    pub flow: FlowIndex,
    pub destination: Destination,
    pub class: usize,
    pub key: u64,
    pub units: f64,
    /// Order of arrival at this host.
    pub serial: u64,
    pub target_at: Micros,
    pub answer_by: Micros,
    /// Without any attempt that may have run by then, it is given up.
    pub give_up_at: Micros,
    pub reserved: bool,
    pub drawn: bool,
    pub streaming: bool,
    /// As it was when it came.
    pub max_attempts: u32,
    pub over: bool,
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.state == AttemptState::InFlight)
    }

    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.state != AttemptState::NotRun)
    }
}

/// What became of later requests while one is out: how many were answered, and whether it was called off.
#[derive(Debug, Default)]
pub struct InFlightMark {
    pub overtaken: u32,
    pub cancelled: bool,
    /// Some of its request or answer is on its way: it may take as long as it does.
    pub streaming: bool,
}

#[derive(Debug)]
pub struct Node {
    pub zone: u16,
    pub shard: u16,
    pub ready: bool,
    /// Off the list: forgotten once nothing is out there.
    pub removed: bool,
    pub started: Micros,
    pub depth: f64,
    /// What is out, oldest first.
    pub in_flight: BTreeMap<(Micros, RequestId), InFlightMark>,
    /// When the node last answered a request.
    pub last_answer_at: Micros,
    /// Running means of an answer's time and units, and the best time for a unit.
    pub latency: f64,
    pub units: f64,
    pub best: f64,
    pub ejected_until: Micros,
    pub unresponsive_since: Option<Micros>,
    /// Connections that did not come up, and attempts that timed out, since its last answer.
    pub failures: u32,
    pub slow_start_since: Option<Micros>,
    pub slow_start_sends: VecDeque<(Micros, f64)>,
    /// What this host has saved up of its part of what a cold node bears.
    pub slow_start_credit: TokenBucket,
    /// Time to work off the node's own queue as last told by the node or another host, when that was heard,
    /// when it was last passed on or asked for, and the time that each queued request takes.
    pub queue_wait: f64,
    pub queue_wait_at: Micros,
    pub queue_view_at: Micros,
    pub latency_per_queued: f64,
    pub admitted_fraction: f64,
    pub admitted_at: Micros,
    /// A probe is out since then.
    pub asked: Option<Micros>,
}

impl Node {
    /// A node that the list has just named, with nothing out and nothing known.
    pub fn new(entry: &NodeEntry, now: Micros, depth: f64) -> Self {
        Node {
            zone: entry.zone,
            shard: entry.shard,
            ready: false,
            removed: false,
            started: entry.started,
            depth,
            in_flight: BTreeMap::new(),
            last_answer_at: 0,
            latency: 0.0,
            units: 0.0,
            best: 0.0,
            ejected_until: 0,
            unresponsive_since: None,
            failures: 0,
            slow_start_since: None,
            slow_start_sends: VecDeque::new(),
            slow_start_credit: TokenBucket::default(),
            queue_wait: 0.0,
            queue_wait_at: 0,
            queue_view_at: 0,
            latency_per_queued: 0.0,
            admitted_fraction: 1.0,
            admitted_at: now,
            asked: None,
        }
    }
}

impl Node {
    /// How long a request sent now would wait in the node's own queue.
    pub fn queue_wait(&self, now: Micros) -> f64 {
        (self.queue_wait - QUEUE_DECAY * (now - self.queue_wait_at) as f64).max(0.0)
    }

    /// What a queue of so many requests tells, with the time that an answer behind it took.
    pub fn observe_queue(&mut self, now: Micros, queue: f64, latency: Option<f64>, usual: f64) {
        let idle = self.best * self.units;
        if let Some(latency) = latency.filter(|_| queue >= MIN_TELLING_QUEUE) {
            let each = (latency - idle).max(0.0) / queue;
            self.latency_per_queued += if self.latency_per_queued > 0.0 {
                EWMA_WEIGHT * (each - self.latency_per_queued)
            } else {
                each
            };
        }
        let each =
            [self.latency_per_queued, idle / 2.0, usual].into_iter().find(|each| *each > 0.0).unwrap_or(0.0);
        (self.queue_wait, self.queue_wait_at) = (queue * each, now);
    }

    /// It gets no work now, or one request at a time.
    pub fn avoided(&self, now: Micros) -> bool {
        !self.ready || self.unresponsive_since.is_some() || self.ejected_until > now
    }
}

/// The flows' queues, one for each place; in each the requests by their order of arrival.
#[derive(Debug, Default)]
pub struct Queues(BTreeMap<(Destination, FlowIndex), BTreeSet<(u64, RequestId)>>);

impl Queues {
    pub fn insert(&mut self, destination: Destination, flow: FlowIndex, request: (u64, RequestId)) {
        self.0.entry((destination, flow)).or_default().insert(request);
    }

    /// Whether it was there.
    pub fn remove(&mut self, destination: Destination, flow: FlowIndex, request: (u64, RequestId)) -> bool {
        let Some(queue) = self.0.get_mut(&(destination, flow)) else { return false };
        let removed = queue.remove(&request);
        if queue.is_empty() {
            self.0.remove(&(destination, flow));
        }
        removed
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = (Destination, FlowIndex, &BTreeSet<(u64, RequestId)>)> {
        self.0.iter().map(|((destination, flow), queue)| (*destination, *flow, queue))
    }

    /// What waits of one flow, at all places.
    pub fn of(&self, flow: FlowIndex) -> impl Iterator<Item = &RequestId> {
        self.iter().filter(move |(_, of, _)| *of == flow).flat_map(|(.., queue)| queue).map(|(_, id)| id)
    }

    /// The queues at one place.
    pub fn at(
        &self,
        destination: Destination,
    ) -> impl Iterator<Item = (FlowIndex, &BTreeSet<(u64, RequestId)>)> {
        self.0
            .range((destination, 0)..=(destination, FlowIndex::MAX))
            .map(|((_, flow), queue)| (*flow, queue))
    }
}

/// The pending requests of one key of an ordered class.
#[derive(Debug, Default)]
pub struct KeyQueue {
    /// Pending requests in order of arrival; only the first may be sent.
    pub queue: VecDeque<RequestId>,
    /// No request is sent before this: an earlier attempt may still run.
    pub blocked_until: Micros,
}

pub fn forget(times: &mut VecDeque<Micros>, now: Micros, window: Micros) {
    while times.front().is_some_and(|t| t + window < now) {
        times.pop_front();
    }
}

/// A number from 0 to 1 that looks random and differs by host and thing.
pub fn hash_fraction(seed: u64, thing: u64) -> f64 {
    let mixed = (seed ^ thing.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    ((mixed ^ (mixed >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 11) as f64 / (1u64 << 53) as f64
}
